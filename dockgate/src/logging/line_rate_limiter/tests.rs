use super::*;
use proptest::prelude::*;

#[test]
fn a_new_second_has_a_new_budget() {
    let mut budget = LineRateLimiter::new();
    let taken = (0..500).filter(|_| budget.take(1_999)).count() as u64;
    assert_eq!(taken, LineRateLimiter::MOST_A_SECOND);
    assert!(budget.take(2_000));
    assert_eq!(
        budget.take_held_back(),
        500 - LineRateLimiter::MOST_A_SECOND
    );
    assert_eq!(budget.take_held_back(), 0);
}

proptest! {
    /// Every line is written or counted, and no second has more than its budget.
    #[test]
    fn every_line_is_written_or_counted(steps in prop::collection::vec(0_u64..20, 1..3_000)) {
        let mut budget = LineRateLimiter::new();
        let (mut now_ms, mut written) = (0, std::collections::BTreeMap::<u64, u64>::new());
        for step in &steps {
            now_ms += step;
            if budget.take(now_ms) {
                *written.entry(now_ms / 1_000).or_default() += 1;
            }
        }
        prop_assert!(written.values().all(|lines| *lines <= LineRateLimiter::MOST_A_SECOND));
        let all = written.values().sum::<u64>() + budget.take_held_back();
        prop_assert_eq!(all, steps.len() as u64);
    }
}
