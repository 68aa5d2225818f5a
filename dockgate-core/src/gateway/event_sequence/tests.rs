use super::*;
use crate::gateway::{EventSplitter, SplitEvent};
use proptest::prelude::*;
use yare::parameterized;

use EventFault::{Gap, OutOfOrder};
use EventKind::{Comment, Malformed, Numbered, Unnumbered};
use EventVerdict::{Forward, Reject, Repeated};

fn verdicts(mut sequence: EventSequence, kinds: &[EventKind]) -> Vec<EventVerdict> {
    kinds.iter().map(|kind| sequence.judge(*kind)).collect()
}

#[parameterized(
    in_order = { 0, &[Numbered(1), Comment, Numbered(2)], &[Forward, Forward, Forward] },
    continued = { 4, &[Numbered(5), Numbered(6)], &[Forward, Forward] },
    repeated = { 4, &[Numbered(3), Numbered(4), Numbered(5)], &[Repeated, Repeated, Forward] },
    gap = { 0, &[Numbered(1), Numbered(3)], &[Forward, Reject(Gap)] },
    gap_in_repeated = { 4, &[Numbered(2), Numbered(4)], &[Repeated, Reject(Gap)] },
    lower = { 0, &[Numbered(1), Numbered(2), Numbered(1)], &[Forward, Forward, Reject(OutOfOrder)] },
    same = { 4, &[Numbered(5), Numbered(5)], &[Forward, Reject(OutOfOrder)] },
    first_too_high = { 0, &[Numbered(2)], &[Reject(Gap)] },
    zero = { 0, &[Numbered(0)], &[Reject(OutOfOrder)] },
    highest = { u64::MAX, &[Numbered(u64::MAX)], &[Repeated] },
    unnumbered = { 0, &[Numbered(1), Unnumbered], &[Forward, Reject(EventFault::Unnumbered)] },
    malformed = { 0, &[Malformed], &[Reject(EventFault::Malformed)] },
)]
fn events_are_forwarded_in_order(last: u64, kinds: &[EventKind], expected: &[EventVerdict]) {
    assert_eq!(verdicts(EventSequence::after(last), kinds), expected);
}

#[parameterized(
    any_first = { &[Numbered(0), Numbered(1)], &[Forward, Forward] },
    without_ids = { &[Unnumbered, Malformed, Unnumbered], &[Forward, Forward, Forward] },
    unnumbered_between = { &[Numbered(3), Unnumbered, Numbered(5)], &[Forward, Forward, Forward] },
    gap = { &[Numbered(3), Numbered(5)], &[Forward, Reject(Gap)] },
    lower = { &[Numbered(3), Numbered(2)], &[Forward, Reject(OutOfOrder)] },
)]
fn sequence_with_unknown_numbers_cannot_be_resumed(kinds: &[EventKind], expected: &[EventVerdict]) {
    assert_eq!(verdicts(EventSequence::unknown(), kinds), expected);
    assert_eq!(EventSequence::unknown().resume_point(), None);
}

#[test]
fn endpoint_with_repeated_events_alone_is_told_apart() {
    let mut sequence = EventSequence::after(4);
    assert!(!sequence.has_only_repeated());
    sequence.judge(Numbered(4));
    assert!(sequence.has_only_repeated());
    sequence.judge(Numbered(5));
    assert!(!sequence.has_only_repeated());
    sequence.change_source();
    assert!(!sequence.has_only_repeated(), "it has sent nothing yet");
}

/// The text of the events of a stream, some of which change the version of the weights.
fn text_of(events: std::ops::RangeInclusive<u64>) -> String {
    let event = |id: u64| {
        let version = if id % 5 == 3 {
            "x-weight-versions: 2\n"
        } else {
            ""
        };
        format!("{version}id: {id}\ndata: piece {id} of x\n\n")
    };
    events.map(event).collect()
}

/// What an endpoint's bytes lead to.
struct SourceRun {
    forwarded: Vec<u8>,
    is_rejected: bool,
}

/// Reads bytes in chunks, as a gateway does, until an event is rejected.
fn read_source(sequence: &mut EventSequence, bytes: &[u8], sizes: &[usize]) -> SourceRun {
    let mut splitter = EventSplitter::default();
    let mut run = SourceRun {
        forwarded: Vec::new(),
        is_rejected: false,
    };
    let mut rest = bytes;
    for size in sizes.iter().cycle() {
        let (chunk, tail) = rest.split_at((*size).min(rest.len()));
        let (complete, events) = splitter.push(chunk);
        for SplitEvent { kind, range } in events {
            match sequence.judge(kind) {
                Forward => run.forwarded.extend_from_slice(&complete[range]),
                Repeated => {}
                Reject(_) => {
                    run.is_rejected = true;
                    return run;
                }
            }
        }
        rest = tail;
        if rest.is_empty() {
            break;
        }
    }
    run.is_rejected = splitter.has_partial_event() || sequence.has_only_repeated();
    run
}

proptest! {
    /// Guards against a piece that is missing or comes twice in a stream with one wrong byte at any
    /// place, whichever endpoint sends it and however its bytes arrive.
    #[test]
    fn wrong_byte_costs_no_piece(
        count in 1_u64..25,
        last in 0_u64..25,
        repeated in 0_u64..3,
        place in any::<prop::sample::Index>(),
        wrong in prop::sample::select(&b"\n\r: ;x0159di"[..]),
        sizes in prop::collection::vec(1_usize..120, 1..6),
    ) {
        let last = last.min(count - 1);
        let first = last.saturating_sub(repeated) + 1;
        let mut spoiled = text_of(first..=count).into_bytes();
        let place = place.index(spoiled.len());
        spoiled[place] = wrong;
        let mut sequence = EventSequence::after(last);
        let run = read_source(&mut sequence, &spoiled, &sizes);
        let mut received = run.forwarded;
        if run.is_rejected {
            sequence.change_source();
            let point = sequence.resume_point().unwrap();
            let sound = text_of(point + 1..=count);
            received.extend(read_source(&mut sequence, sound.as_bytes(), &sizes).forwarded);
        }
        let expected = text_of(last + 1..=count).into_bytes();
        prop_assert_eq!(received.len(), expected.len());
        let mut differing = received.iter().zip(&expected).filter(|(is, right)| is != right);
        prop_assert!(differing.by_ref().count() <= 1);
        prop_assert_eq!(sequence.resume_point(), Some(count));
    }
}
