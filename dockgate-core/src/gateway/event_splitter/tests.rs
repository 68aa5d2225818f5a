use super::*;
use proptest::prelude::*;

#[test]
fn only_whole_events_come_out() {
    let mut splitter = EventSplitter::default();
    let (bytes, events) = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
    assert_eq!(bytes, b"id: 1\ndata: a\n\n");
    assert_eq!(
        events,
        [SplitEvent {
            id: Some(1),
            range: 0..15
        }]
    );
    assert!(splitter.has_partial_event());
    let (bytes, events) = splitter.push(b"ta: b\r\n\r\n").unwrap();
    assert_eq!(events[0].id, Some(2));
    assert_eq!(bytes, b"id: 2\ndata: b\r\n\r\n");
    assert!(!splitter.has_partial_event());
}

#[test]
fn what_never_ends_is_no_event() {
    let mut splitter = EventSplitter::default();
    let line = vec![b'x'; EventSplitter::MAX_EVENT_BYTES];
    assert!(splitter.push(&line).is_some());
    assert!(splitter.push(b"x").is_none());
}

proptest! {
    /// However a stream is cut into pieces, the same events come out, byte for byte.
    #[test]
    fn pieces_make_no_difference(
        texts in prop::collection::vec("[a-z:\r ]{0,12}", 0..20),
        cuts in prop::collection::vec(1_usize..30, 1..20),
    ) {
        let stream: String = texts
            .iter()
            .enumerate()
            .map(|(id, text)| format!("id: {id}\ndata:{text}\n\n"))
            .collect();
        let mut splitter = EventSplitter::default();
        let (mut out, mut ids, mut rest) = (Vec::new(), Vec::new(), stream.as_bytes());
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (piece, tail) = rest.split_at((*cut).min(rest.len()));
            let (bytes, events) = splitter.push(piece).unwrap();
            out.extend(bytes);
            ids.extend(events.into_iter().filter_map(|event| event.id));
            rest = tail;
        }
        prop_assert_eq!(out, stream.as_bytes());
        prop_assert_eq!(ids, (0..texts.len() as u64).collect::<Vec<_>>());
    }

    /// No bytes make it panic.
    #[test]
    fn any_bytes_are_taken(pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..50), 0..30)) {
        let mut splitter = EventSplitter::default();
        for piece in pieces {
            let split = splitter.push(&piece);
            prop_assert!(split.is_some());
        }
    }
}
