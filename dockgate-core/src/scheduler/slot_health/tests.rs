use super::*;

#[test]
fn failing_endpoint_is_probed_with_backoff_until_it_answers() {
    let mut health = SlotHealth::default();
    health.record_outcome(SlotOutcome::Lost, 0, 0);
    assert!(!health.is_available(99));
    assert!(health.is_available(100));
    health.record_grant(100);
    assert!(!health.is_available(150), "only one probe runs at a time");
    health.record_outcome(SlotOutcome::Lost, 0, 160);
    assert!(!health.is_available(359));
    assert!(health.is_available(360));
    health.record_grant(360);
    health.record_outcome(SlotOutcome::Answered, 0, 400);
    assert!(health.is_available(400));
}

#[test]
fn full_endpoint_regains_slots_exponentially() {
    let mut health = SlotHealth::default();
    health.record_outcome(SlotOutcome::Full, 3, 10_000);
    assert_eq!(health.slots(16, 10_000), 3);
    assert!(!health.is_available(10_010));
    assert!(health.is_available(10_020));
    assert_eq!(health.slots(16, 10_050), 4);
    assert_eq!(health.slots(16, 10_150), 10);
    assert_eq!(health.slots(16, 10_200), 16);
    for _ in 0..16 {
        health.record_outcome(SlotOutcome::Full, 3, 10_200);
    }
    assert_eq!(
        health.slots(16, 10_250),
        3,
        "the interval doubles after a second refusal"
    );
    assert_eq!(
        health.slots(16, 10_300),
        4,
        "a burst of refusals counts once"
    );
}

#[test]
fn requested_backoff_is_kept_despite_later_answers() {
    let mut health = SlotHealth::default();
    health.record_outcome(SlotOutcome::Backoff(3_000), 2, 1_000);
    health.record_outcome(SlotOutcome::Answered, 1, 1_200);
    health.record_outcome(SlotOutcome::Backoff(500), 1, 1_300);
    health.record_outcome(SlotOutcome::Lost, 0, 1_400);
    assert!(!health.is_available(3_999));
    assert!(health.is_available(4_000));
    assert_eq!(
        health.slots(16, 4_000),
        16,
        "a backoff does not reduce the slots"
    );
}
