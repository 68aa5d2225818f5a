use super::*;
use yare::parameterized;

#[test]
fn only_what_changes_is_news() {
    let mut probe = StoreProbe::default();
    assert_eq!(probe.record(true, 1_000), None, "it was never lost");
    assert_eq!(probe.record(true, 1_300), None);
    assert_eq!(probe.record(false, 1_600), Some(ProbeChange::Down));
    assert_eq!(probe.record(false, 2_100), None);
    let back = ProbeChange::Up { down_ms: 1_300 };
    assert_eq!(probe.record(true, 2_600), Some(back));
    assert_eq!(probe.answered_since_ms(), Some(2_600));
}

#[test]
fn a_proof_is_as_old_as_the_call_that_was_answered() {
    let mut probe = StoreProbe::default();
    assert_eq!(probe.proof_ms(), None);
    probe.record(true, 1_000);
    probe.record(true, 1_300);
    assert_eq!(probe.proof_ms(), Some(1_300));
    probe.record(false, 1_600);
    assert_eq!(probe.proof_ms(), None, "silence is no proof");
}

#[test]
fn who_pauses_begins_anew() {
    let mut probe = StoreProbe::default();
    probe.record(true, 1_000);
    probe.pause();
    assert_eq!(probe.answered_since_ms(), None);
    assert_eq!(
        probe.record(true, 9_000),
        None,
        "nothing is known of between"
    );
}

#[parameterized(
    short = { 2_000, 200, 350 },
    middle = { 3_000, 300, 500 },
    long = { 4_000, 400, 666 },
    least = { 500, 200, 350 },
)]
fn silence_is_found_within_a_part_of_the_bound(bound_ms: u64, interval_ms: u64, timeout_ms: u64) {
    let rule = ProbeTiming {
        interval_ms,
        timeout_ms,
    };
    assert_eq!(ProbeTiming::within(bound_ms), rule);
}
