use super::*;

fn credit(per_ms: f64) -> ShareCredit {
    ShareCredit::new(0.0, 1_000)
        .rate(per_ms, 1_000)
        .most(per_ms * 1_000.0)
}

#[test]
fn a_prompt_in_advance_is_waited_for_at_the_rate() {
    let mut credit = credit(10.0);
    assert!(credit.is_left(1_000));
    credit.spend(5_000.0, 1_000);
    assert!(!credit.is_left(1_499));
    assert!(credit.is_left(1_500));
}

#[test]
fn time_without_prompts_earns_a_moment_and_no_more() {
    let mut credit = credit(10.0);
    credit.spend(10_000.0, 61_000);
    assert!(credit.is_left(61_000), "a second's worth was left");
    credit.spend(1.0, 61_000);
    assert!(!credit.is_left(61_000));
}

#[test]
fn a_rate_of_nothing_lets_one_prompt_through() {
    let mut credit = credit(0.0);
    assert!(credit.is_left(1_000));
    credit.spend(100.0, 1_000);
    assert!(!credit.is_left(1_000_000));
}

#[test]
fn another_rate_counts_from_when_it_is_set() {
    let mut credit = credit(10.0);
    credit.spend(1_000.0, 1_000);
    let credit = credit.rate(100.0, 1_050);
    assert!(!credit.is_left(1_054));
    assert!(credit.is_left(1_055));
}
