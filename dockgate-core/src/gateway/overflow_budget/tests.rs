use super::*;
use yare::parameterized;

/// Offers `per_s` prompts a second for ten seconds, of which every `grant_each`-th is granted;
/// returns how many requests were sent.
fn requests_sent(per_s: u64, grant_each: u64) -> u64 {
    let mut budget = OverflowBudget::default();
    let mut sent = 0;
    for number in 0..10 * per_s {
        if budget.try_ask(1_000 + number * 1_000 / per_s) {
            sent += 1;
            if sent % grant_each == 0 {
                budget.record_grant();
            }
        }
    }
    sent
}

#[parameterized(
    all_granted = { 1 },
    a_third_granted = { 3 },
    a_quarter_granted = { 4 },
)]
fn engines_that_grant_prompts_are_always_asked(grant_each: u64) {
    assert_eq!(requests_sent(100, grant_each), 1_000);
}

#[parameterized(
    ten_per_second = { 10 },
    thousand_per_second = { 1_000 },
)]
fn busy_engines_are_asked_rarely_whatever_the_load(per_s: u64) {
    let sent = requests_sent(per_s, u64::MAX);
    assert!((30..=32 + 4 * 10).contains(&sent), "{sent} requests sent");
}

#[test]
fn a_clock_that_steps_back_adds_no_credit() {
    let mut budget = OverflowBudget::default();
    while budget.try_ask(10_000) {}
    assert!(!budget.try_ask(1_000));
    assert!(!budget.try_ask(10_200));
}
