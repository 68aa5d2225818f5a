use super::ResumeGate;

#[test]
fn proofs_from_before_the_suspension_do_not_open_the_gate() {
    let mut gate = ResumeGate::default();
    gate.close(10_000);
    assert!(!gate.is_open(Some(9_999), 10_020));
    assert!(
        !gate.is_open(Some(10_100), 10_120),
        "the report may be delayed"
    );
    assert!(!gate.is_open(None, 10_500));
    assert!(gate.is_open(Some(10_500), 10_500));
    assert!(gate.is_settled());
}

#[test]
fn the_gate_opens_after_a_time_limit_without_proof() {
    let mut gate = ResumeGate::default();
    gate.close(10_000);
    assert!(!gate.is_open(None, 10_999));
    assert!(gate.is_open(None, 11_000));
    assert!(gate.is_open(None, 11_001));
}

#[test]
fn a_second_suspension_closes_the_gate_again() {
    let mut gate = ResumeGate::default();
    gate.close(10_000);
    assert!(gate.is_open(Some(10_150), 10_160));
    gate.close(12_000);
    assert!(!gate.is_open(Some(10_150), 12_010));
}
