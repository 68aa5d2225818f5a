use super::*;

#[test]
fn the_backoff_grows_with_consecutive_failures_and_ends_with_an_answer() {
    let mut health = EndpointHealth::default();
    health.note_outcome(EndpointOutcome::Failed, 1_000);
    assert!(!health.is_available(1_149));
    assert!(health.is_available(1_150));
    health.note_sent(1_150);
    assert!(!health.is_available(1_200), "one probe at a time");
    health.note_outcome(EndpointOutcome::Failed, 1_200);
    assert!(!health.is_available(1_499));
    health.note_outcome(EndpointOutcome::Answered, 1_500);
    assert!(health.is_available(1_500));
}

#[test]
fn an_endpoint_that_fails_every_second_request_is_unreliable_until_it_recovers() {
    let mut health = EndpointHealth::default();
    for at in 0..20 {
        let outcome = [EndpointOutcome::Failed, EndpointOutcome::Answered][at % 2];
        health.note_outcome(outcome, at as u64);
    }
    assert!(health.is_unreliable(20));
    for at in 20..40 {
        health.note_outcome(EndpointOutcome::Answered, at);
    }
    assert!(!health.is_unreliable(40));
}

#[test]
fn an_unreliable_endpoint_without_requests_is_tried_again() {
    let mut health = EndpointHealth::default();
    for at in 0..20 {
        health.note_outcome(EndpointOutcome::Failed, at);
    }
    assert!(health.is_unreliable(1_000));
    assert!(
        !health.is_unreliable(2_000),
        "others must not be preferred for ever"
    );
    health.note_outcome(EndpointOutcome::Failed, 2_001);
    assert!(health.is_unreliable(2_002), "one more failure is enough");
}

#[test]
fn a_full_endpoint_is_avoided_briefly() {
    let mut health = EndpointHealth::default();
    health.note_outcome(EndpointOutcome::Full, 100);
    assert!(!health.is_available(110));
    assert!(health.is_available(115));
    assert!(!health.is_unreliable(115));
}

/// Guards against requests that leave a silent endpoint for one that has failed since its last answer.
#[test]
fn endpoint_is_failing_from_a_failure_to_the_next_answer() {
    let mut health = EndpointHealth::default();
    assert!(!health.is_failing());
    health.note_outcome(EndpointOutcome::Failed, 1_000);
    health.note_outcome(EndpointOutcome::Full, 60_000);
    assert!(health.is_available(90_000) && health.is_failing());
    health.note_outcome(EndpointOutcome::Answered, 90_001);
    assert!(!health.is_failing());
}
