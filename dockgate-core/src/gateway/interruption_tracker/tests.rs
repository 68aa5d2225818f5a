use super::{InterruptionStatus, InterruptionTracker};
use crate::gateway::{EndpointId, EndpointName, InterruptedRequest, SuspectKey};

const ONE: SuspectKey = SuspectKey::new([1; 16]);
const OTHER: SuspectKey = SuspectKey::new([2; 16]);
const ENDPOINT: EndpointId = EndpointId(1);

#[test]
fn one_check_covers_all_interrupted_requests() {
    let mut tracker = InterruptionTracker::default();
    assert_eq!(
        tracker.note_interruption(ONE.into(), ENDPOINT, "e", 10),
        InterruptionStatus::Unchecked
    );
    assert_eq!(
        tracker.note_interruption(OTHER.into(), ENDPOINT, "e", 11),
        InterruptionStatus::CheckRunning
    );
    assert_eq!(
        tracker.note_interruption(ONE.into(), ENDPOINT, "e", 11),
        InterruptionStatus::CheckRunning
    );
    assert_eq!(tracker.note_ended(ENDPOINT, 40), [ONE.into(), OTHER.into()]);
}

#[test]
fn an_interruption_after_a_known_end_is_attributed_at_once() {
    let mut tracker = InterruptionTracker::default();
    tracker.note_interruption(ONE.into(), ENDPOINT, "e", 10);
    tracker.note_ended(ENDPOINT, 40);
    assert_eq!(
        tracker.note_interruption(OTHER.into(), ENDPOINT, "e", 60),
        InterruptionStatus::Ended
    );
}

#[test]
fn a_successful_check_clears_the_interrupted_requests() {
    let mut tracker = InterruptionTracker::default();
    tracker.note_interruption(ONE.into(), ENDPOINT, "e", 10);
    tracker.note_listening(ENDPOINT);
    assert_eq!(tracker.note_ended(ENDPOINT, 500), []);
    assert_eq!(
        tracker.note_interruption(ONE.into(), ENDPOINT, "e", 600),
        InterruptionStatus::Unchecked
    );
}

#[test]
fn expired_interruptions_are_not_attributed_to_a_later_end() {
    let mut tracker = InterruptionTracker::default();
    tracker.note_interruption(ONE.into(), ENDPOINT, "e", 10);
    tracker.expire(10 + InterruptionTracker::RETENTION_MS);
    assert_eq!(tracker.note_ended(ENDPOINT, 20_000), []);
}

#[test]
fn a_restart_reveals_an_end_that_no_check_noticed() {
    let mut tracker = InterruptionTracker::default();
    tracker.note_interruption(ONE.into(), ENDPOINT, "e", 10);
    // The endpoint restarted before the check.
    tracker.note_listening(ENDPOINT);
    let same = |_: EndpointName| Some(ENDPOINT);
    assert_eq!(tracker.take_restarted(same, 300), []);
    assert_eq!(
        tracker.take_restarted(|_| None, 600),
        [],
        "a missing record proves no restart"
    );
    let restarted = |_: EndpointName| Some(EndpointId(2));
    assert_eq!(
        tracker.take_restarted(restarted, 900),
        [(ENDPOINT, vec![ONE.into()])]
    );
    assert_eq!(tracker.take_restarted(restarted, 1_200), []);
}

#[test]
fn interruptions_before_a_successful_check_are_not_attributed_to_a_later_end() {
    let mut tracker = InterruptionTracker::default();
    tracker.note_interruption(ONE.into(), ENDPOINT, "e", 10);
    tracker.note_listening(ENDPOINT);
    tracker.note_interruption(OTHER.into(), ENDPOINT, "e", 2_000);
    assert_eq!(tracker.note_ended(ENDPOINT, 2_030), [OTHER.into()]);
}

#[test]
fn an_end_returns_the_parts_of_each_interrupted_request_once() {
    let mut tracker = InterruptionTracker::default();
    let interrupted = InterruptedRequest {
        request: ONE,
        parts: SuspectKey::of_shared_parts("model", &[1, 2, 3]),
    };
    tracker.note_interruption(interrupted.clone(), ENDPOINT, "e", 10);
    tracker.note_interruption(interrupted.clone(), ENDPOINT, "e", 12);
    assert_eq!(tracker.note_ended(ENDPOINT, 40), [interrupted]);
}
