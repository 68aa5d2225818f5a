use super::*;

#[test]
fn a_failing_endpoint_is_probed_ever_less_and_trusted_after_one_answer() {
    let mut health = SlotHealth::default();
    health.note(SlotOutcome::Lost, 0, 0);
    assert!(!health.is_open(99));
    assert!(health.is_open(100));
    health.granted(100);
    assert!(!health.is_open(150), "one probe at a time");
    health.note(SlotOutcome::Lost, 0, 160);
    assert!(!health.is_open(359));
    assert!(health.is_open(360));
    health.granted(360);
    health.note(SlotOutcome::Answered, 0, 400);
    assert!(health.is_open(400));
}

#[test]
fn a_full_endpoint_is_believed_and_tried_again_ever_more_boldly() {
    let mut health = SlotHealth::default();
    health.note(SlotOutcome::Full, 3, 10_000);
    assert_eq!(health.slots(16, 10_000), 3);
    assert!(!health.is_open(10_010));
    assert!(health.is_open(10_020));
    assert_eq!(health.slots(16, 10_050), 4);
    assert_eq!(health.slots(16, 10_150), 10);
    assert_eq!(health.slots(16, 10_200), 16);
    for _ in 0..16 {
        health.note(SlotOutcome::Full, 3, 10_200);
    }
    assert_eq!(
        health.slots(16, 10_250),
        3,
        "it waits longer after a second sign"
    );
    assert_eq!(
        health.slots(16, 10_300),
        4,
        "but not for every refusal of a burst"
    );
}

#[test]
fn an_endpoint_that_asks_for_rest_gets_it_whatever_it_answers_meanwhile() {
    let mut health = SlotHealth::default();
    health.note(SlotOutcome::Backoff(3_000), 2, 1_000);
    health.note(SlotOutcome::Answered, 1, 1_200);
    health.note(SlotOutcome::Backoff(500), 1, 1_300);
    health.note(SlotOutcome::Lost, 0, 1_400);
    assert!(!health.is_open(3_999));
    assert!(health.is_open(4_000));
    assert_eq!(health.slots(16, 4_000), 16, "it is not full");
}
