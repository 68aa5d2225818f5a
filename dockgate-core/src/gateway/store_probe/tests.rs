use super::*;
use yare::parameterized;

#[test]
fn only_changes_of_reachability_are_returned() {
    let mut probe = StoreProbe::default();
    assert_eq!(probe.record(true, 1_000), None, "it was never down");
    assert_eq!(probe.record(true, 1_300), None);
    assert_eq!(probe.record(false, 1_600), Some(ProbeChange::Down));
    assert_eq!(probe.record(false, 2_100), None);
    let up = ProbeChange::Up { down_ms: 1_300 };
    assert_eq!(probe.record(true, 2_600), Some(up));
    assert_eq!(probe.answered_since_ms(), Some(2_600));
}

#[test]
fn a_proof_dates_from_the_sending_of_the_probe() {
    let mut probe = StoreProbe::default();
    assert_eq!(probe.proof_ms(), None);
    probe.record(true, 1_000);
    probe.record(true, 1_300);
    assert_eq!(probe.proof_ms(), Some(1_300));
    probe.record(false, 1_600);
    assert_eq!(probe.proof_ms(), None, "an unanswered probe is no proof");
}

#[test]
fn a_pause_clears_the_outcomes() {
    let mut probe = StoreProbe::default();
    probe.record(true, 1_000);
    probe.pause();
    assert_eq!(probe.answered_since_ms(), None);
    assert_eq!(
        probe.record(true, 9_000),
        None,
        "nothing is known about the pause"
    );
}

#[parameterized(
    short = { 2_000, 200, 350, 1_000 },
    middle = { 3_000, 300, 500, 1_000 },
    long = { 7_000, 700, 1_166, 1_750 },
    least = { 500, 200, 350, 1_000 },
)]
fn timing_is_derived_from_the_bound(
    bound_ms: u64,
    interval_ms: u64,
    timeout_ms: u64,
    revision_age_ms: u64,
) {
    let timing = ProbeTiming {
        interval_ms,
        timeout_ms,
        revision_age_ms,
    };
    assert_eq!(ProbeTiming::within(bound_ms), timing);
}

/// Guards against current reads beside calls that have just shown the current revision.
#[test]
fn current_revision_is_read_again_once_it_is_old() {
    let mut age = RevisionAge::default();
    assert!(age.is_over(1_000, 50), "nothing is known yet");
    age.record(2_000);
    assert!(!age.is_over(1_000, 2_999));
    assert!(age.is_over(1_000, 3_000));
    age.record(1_500);
    assert!(
        !age.is_over(1_000, 2_999),
        "an earlier call changes nothing"
    );
}
