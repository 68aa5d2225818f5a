use super::*;
use proptest::prelude::*;
use yare::parameterized;

#[test]
fn only_complete_events_are_returned() {
    let mut splitter = EventSplitter::default();
    let (bytes, events) = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(bytes, b"id: 1\ndata: a\n\n");
    assert_eq!(
        events,
        [SplitEvent {
            kind: EventKind::Numbered(1),
            range: 0..15
        }]
    );
    assert!(splitter.has_partial_event());
    let (bytes, events) = splitter.push(b"ta: b\r\n\r\n");
    assert_eq!(events[0].kind, EventKind::Numbered(2));
    assert_eq!(bytes, b"id: 2\ndata: b\r\n\r\n");
    assert!(!splitter.has_partial_event());
}

#[test]
fn event_beyond_the_maximum_size_is_rejected() {
    let mut splitter = EventSplitter::default();
    let line = vec![b'x'; EventSplitter::MAX_EVENT_BYTES];
    splitter.push(&line);
    assert!(!splitter.is_event_too_long());
    splitter.push(b"x");
    assert!(splitter.is_event_too_long());
}

#[parameterized(
    numbered = { "id: 7\ndata: a\n\n", EventKind::Numbered(7) },
    id_behind_the_data = { "data: a\ndata: b\nid:7\n\n", EventKind::Numbered(7) },
    further_fields = { "x-version: 2\nid: 7\nevent: e\ndata: a\n\n", EventKind::Numbered(7) },
    comment_within_the_data = { "id: 7\ndata: a\n: c\ndata: b\n\n", EventKind::Numbered(7) },
    data_alone = { "data: a\n\n", EventKind::Unnumbered },
    type_alone = { "event: e\n\n", EventKind::Unnumbered },
    text_id = { "id: a7\ndata: a\n\n", EventKind::Unnumbered },
    empty_id = { "id\ndata: a\n\n", EventKind::Unnumbered },
    two_ids = { "id: 7\nid: 8\ndata: a\n\n", EventKind::Malformed },
    two_groups_of_data = { "id: 7\ndata: a\nxid: 8\ndata: b\n\n", EventKind::Malformed },
    id_alone = { "id: 7\n\n", EventKind::Malformed },
    comment = { ": c\n\n", EventKind::Comment },
    retry = { "retry: 5\n\n", EventKind::Comment },
    empty = { "\n", EventKind::Comment },
)]
fn kind_follows_from_the_lines(text: &str, kind: EventKind) {
    let (_, events) = EventSplitter::default().push(text.as_bytes());
    let kinds: Vec<EventKind> = events.iter().map(|event| event.kind).collect();
    assert_eq!(kinds, [kind]);
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
            let (bytes, events) = splitter.push(chunk);
            out.extend(bytes);
            ids.extend(events.into_iter().map(|event| event.kind));
            remaining = tail;
        }
        prop_assert_eq!(out, stream.as_bytes());
        let expected = (0..texts.len() as u64).map(EventKind::Numbered);
        prop_assert_eq!(ids, expected.collect::<Vec<_>>());
    }

    /// Arbitrary bytes must not cause a panic.
    #[test]
    fn arbitrary_bytes_are_accepted(chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..50), 0..30)) {
        let mut splitter = EventSplitter::default();
        for chunk in chunks {
            let (bytes, events) = splitter.push(&chunk);
            let end = events.last().map_or(0, |event| event.range.end);
            prop_assert_eq!(end, bytes.len());
        }
    }
}
