use super::*;
use yare::parameterized;

#[test]
fn only_what_changes_is_news() {
    let mut pulse = StorePulse::default();
    assert_eq!(pulse.note(true, 1_000), None, "it was never lost");
    assert_eq!(pulse.note(true, 1_300), None);
    assert_eq!(pulse.note(false, 1_600), Some(PulseNews::Lost));
    assert_eq!(pulse.note(false, 2_100), None);
    let back = PulseNews::Back { away_ms: 1_300 };
    assert_eq!(pulse.note(true, 2_600), Some(back));
    assert_eq!(pulse.answered_since_ms(), Some(2_600));
}

#[test]
fn a_proof_is_as_old_as_the_call_that_was_answered() {
    let mut pulse = StorePulse::default();
    assert_eq!(pulse.proof_ms(), None);
    pulse.note(true, 1_000);
    pulse.note(true, 1_300);
    assert_eq!(pulse.proof_ms(), Some(1_300));
    pulse.note(false, 1_600);
    assert_eq!(pulse.proof_ms(), None, "silence is no proof");
}

#[test]
fn who_pauses_begins_anew() {
    let mut pulse = StorePulse::default();
    pulse.note(true, 1_000);
    pulse.pause();
    assert_eq!(pulse.answered_since_ms(), None);
    assert_eq!(pulse.note(true, 9_000), None, "nothing is known of between");
}

#[parameterized(
    short = { 2_000, 200, 350 },
    middle = { 3_000, 300, 500 },
    long = { 4_000, 400, 666 },
    least = { 500, 200, 350 },
)]
fn silence_is_found_within_a_part_of_the_bound(bound_ms: u64, every_ms: u64, patience_ms: u64) {
    let rule = PulseRule {
        every_ms,
        patience_ms,
    };
    assert_eq!(PulseRule::within(bound_ms), rule);
}
