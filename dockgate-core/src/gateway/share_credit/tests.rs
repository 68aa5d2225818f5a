use super::*;

fn credit(per_ms: f64) -> ShareCredit {
    ShareCredit::new(0.0, 1_000)
        .with_rate(per_ms, 1_000)
        .with_max(per_ms * 1_000.0)
}

#[test]
fn overdrawn_credit_is_refilled_at_the_rate() {
    let mut credit = credit(10.0);
    assert!(credit.is_available(1_000));
    credit.spend(5_000.0, 1_000);
    assert!(!credit.is_available(1_499));
    assert!(credit.is_available(1_500));
}

#[test]
fn balance_is_bounded_after_idle_time() {
    let mut credit = credit(10.0);
    credit.spend(10_000.0, 61_000);
    assert!(
        credit.is_available(61_000),
        "one second's worth was available"
    );
    credit.spend(1.0, 61_000);
    assert!(!credit.is_available(61_000));
}

#[test]
fn one_prompt_is_admitted_at_rate_zero() {
    let mut credit = credit(0.0);
    assert!(credit.is_available(1_000));
    credit.spend(100.0, 1_000);
    assert!(!credit.is_available(1_000_000));
}

#[test]
fn new_rate_applies_from_when_it_is_set() {
    let mut credit = credit(10.0);
    credit.spend(1_000.0, 1_000);
    let credit = credit.with_rate(100.0, 1_050);
    assert!(!credit.is_available(1_054));
    assert!(credit.is_available(1_055));
}
