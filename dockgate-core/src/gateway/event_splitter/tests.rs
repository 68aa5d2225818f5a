use super::*;
use proptest::prelude::*;

#[test]
fn only_complete_events_are_returned() {
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
fn event_beyond_the_maximum_size_is_rejected() {
    let mut splitter = EventSplitter::default();
    let line = vec![b'x'; EventSplitter::MAX_EVENT_BYTES];
    assert!(splitter.push(&line).is_some());
    assert!(splitter.push(b"x").is_none());
}

proptest! {
    /// Chunk boundaries must not change the events or their bytes.
    #[test]
    fn events_do_not_depend_on_chunk_boundaries(
        texts in prop::collection::vec("[a-z:\r ]{0,12}", 0..20),
        sizes in prop::collection::vec(1_usize..30, 1..20),
    ) {
        let stream: String = texts
            .iter()
            .enumerate()
            .map(|(id, text)| format!("id: {id}\ndata:{text}\n\n"))
            .collect();
        let mut splitter = EventSplitter::default();
        let (mut out, mut ids, mut remaining) = (Vec::new(), Vec::new(), stream.as_bytes());
        for size in sizes.iter().cycle() {
            if remaining.is_empty() {
                break;
            }
            let (chunk, tail) = remaining.split_at((*size).min(remaining.len()));
            let (bytes, events) = splitter.push(chunk).unwrap();
            out.extend(bytes);
            ids.extend(events.into_iter().filter_map(|event| event.id));
            remaining = tail;
        }
        prop_assert_eq!(out, stream.as_bytes());
        prop_assert_eq!(ids, (0..texts.len() as u64).collect::<Vec<_>>());
    }

    /// Arbitrary bytes must not cause a panic.
    #[test]
    fn arbitrary_bytes_are_accepted(chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..50), 0..30)) {
        let mut splitter = EventSplitter::default();
        for chunk in chunks {
            let split = splitter.push(&chunk);
            prop_assert!(split.is_some());
        }
    }
}
