use super::{InterruptionStatus, InterruptionTracker};
use crate::gateway::{EndpointId, EndpointName, RequestFingerprint};

const ONE: RequestFingerprint = RequestFingerprint::new([1; 16]);
const OTHER: RequestFingerprint = RequestFingerprint::new([2; 16]);
const ENDPOINT: EndpointId = EndpointId(1);

#[test]
fn one_look_tells_of_all_requests_that_broke_off_together() {
    let mut broken = InterruptionTracker::default();
    assert_eq!(
        broken.note_interruption(ONE, ENDPOINT, "e", 10),
        InterruptionStatus::Unchecked
    );
    assert_eq!(
        broken.note_interruption(OTHER, ENDPOINT, "e", 11),
        InterruptionStatus::CheckRunning
    );
    assert_eq!(
        broken.note_interruption(ONE, ENDPOINT, "e", 11),
        InterruptionStatus::CheckRunning
    );
    assert_eq!(broken.note_ended(ENDPOINT, 40), [ONE, OTHER]);
}

#[test]
fn an_answer_that_breaks_off_after_the_end_is_known_counts_at_once() {
    let mut broken = InterruptionTracker::default();
    broken.note_interruption(ONE, ENDPOINT, "e", 10);
    broken.note_ended(ENDPOINT, 40);
    assert_eq!(
        broken.note_interruption(OTHER, ENDPOINT, "e", 60),
        InterruptionStatus::Ended
    );
}

#[test]
fn an_endpoint_that_lives_ended_under_nothing() {
    let mut broken = InterruptionTracker::default();
    broken.note_interruption(ONE, ENDPOINT, "e", 10);
    broken.note_listening(ENDPOINT);
    assert_eq!(broken.note_ended(ENDPOINT, 500), []);
    assert_eq!(
        broken.note_interruption(ONE, ENDPOINT, "e", 600),
        InterruptionStatus::Unchecked
    );
}

#[test]
fn what_broke_off_long_before_an_end_has_nothing_to_do_with_it() {
    let mut broken = InterruptionTracker::default();
    broken.note_interruption(ONE, ENDPOINT, "e", 10);
    broken.expire(10 + InterruptionTracker::RETENTION_MS);
    assert_eq!(broken.note_ended(ENDPOINT, 20_000), []);
}

#[test]
fn a_later_start_tells_of_an_end_that_nobody_saw() {
    let mut broken = InterruptionTracker::default();
    broken.note_interruption(ONE, ENDPOINT, "e", 10);
    // It started again before anybody looked.
    broken.note_listening(ENDPOINT);
    let same = |_: EndpointName| Some(ENDPOINT);
    assert_eq!(broken.take_restarted(same, 300), []);
    assert_eq!(
        broken.take_restarted(|_| None, 600),
        [],
        "a record that is gone says nothing"
    );
    let again = |_: EndpointName| Some(EndpointId(2));
    assert_eq!(broken.take_restarted(again, 900), [(ENDPOINT, vec![ONE])]);
    assert_eq!(broken.take_restarted(again, 1_200), []);
}

#[test]
fn what_broke_off_before_it_was_seen_to_listen_is_not_there_at_a_later_end() {
    let mut broken = InterruptionTracker::default();
    broken.note_interruption(ONE, ENDPOINT, "e", 10);
    broken.note_listening(ENDPOINT);
    broken.note_interruption(OTHER, ENDPOINT, "e", 2_000);
    assert_eq!(broken.note_ended(ENDPOINT, 2_030), [OTHER]);
}
