use super::*;
use proptest::prelude::*;

#[test]
fn the_limit_is_reset_each_second() {
    let mut limiter = LineRateLimiter::new();
    let admitted = (0..500).filter(|_| limiter.admit(1_999)).count() as u64;
    assert_eq!(admitted, LineRateLimiter::MAX_PER_SECOND);
    assert!(limiter.admit(2_000));
    assert_eq!(
        limiter.take_suppressed(),
        500 - LineRateLimiter::MAX_PER_SECOND
    );
    assert_eq!(limiter.take_suppressed(), 0);
}

proptest! {
    /// Every line is written or counted as suppressed, and no second exceeds the limit.
    #[test]
    fn lines_are_written_or_counted(steps in prop::collection::vec(0_u64..20, 1..3_000)) {
        let mut limiter = LineRateLimiter::new();
        let (mut now_ms, mut written) = (0, std::collections::BTreeMap::<u64, u64>::new());
        for step in &steps {
            now_ms += step;
            if limiter.admit(now_ms) {
                *written.entry(now_ms / 1_000).or_default() += 1;
            }
        }
        prop_assert!(written.values().all(|lines| *lines <= LineRateLimiter::MAX_PER_SECOND));
        let all = written.values().sum::<u64>() + limiter.take_suppressed();
        prop_assert_eq!(all, steps.len() as u64);
    }
}
