use super::ResumeGate;

#[test]
fn what_was_proved_before_the_box_slept_says_nothing() {
    let mut gate = ResumeGate::default();
    gate.resume(10_000);
    assert!(!gate.is_open(Some(9_999), 10_020));
    assert!(
        !gate.is_open(Some(10_100), 10_120),
        "it may have been told late"
    );
    assert!(!gate.is_open(None, 10_500));
    assert!(gate.is_open(Some(10_500), 10_500));
    assert!(gate.is_settled());
}

#[test]
fn a_box_that_hears_nobody_serves_what_it_can() {
    let mut gate = ResumeGate::default();
    gate.resume(10_000);
    assert!(!gate.is_open(None, 10_999));
    assert!(gate.is_open(None, 11_000));
    assert!(gate.is_open(None, 11_001));
}

#[test]
fn one_that_sleeps_again_waits_again() {
    let mut gate = ResumeGate::default();
    gate.resume(10_000);
    assert!(gate.is_open(Some(10_150), 10_160));
    gate.resume(12_000);
    assert!(!gate.is_open(Some(10_150), 12_010));
}
