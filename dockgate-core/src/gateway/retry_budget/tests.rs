use super::*;
use proptest::prelude::*;

const RULE: RetryRule = RetryRule {
    ratio: 0.2,
    window_ms: 10_000,
    slack: 52.0,
    boxes: 13,
};

#[test]
fn slack_is_divided_among_boxes_without_requests() {
    let mut budget = RetryBudget::new(RULE);
    let taken = (0..100).filter(|_| budget.try_take("x", 1_000)).count();
    assert_eq!(taken, 3, "0.8 of 52 / 13");
    assert!(
        budget.try_take("y", 1_000),
        "each service has its own budget"
    );
}

#[test]
fn retries_expire_after_the_window() {
    let mut budget = RetryBudget::new(RULE);
    while budget.try_take("x", 1_000) {}
    assert!(!budget.try_take("x", 10_999));
    assert!(budget.try_take("x", 11_001));
}

proptest! {
    /// All boxes together must stay within ratio and slack in every window.
    #[test]
    fn fleet_stays_within_its_budget(
        events in prop::collection::vec((0_usize..13, 0_u64..40, any::<bool>()), 1..2_000),
    ) {
        let mut boxes: Vec<RetryBudget> = (0..13).map(|_| RetryBudget::new(RULE)).collect();
        let (mut now_ms, mut requests, mut retries) = (1_000, Vec::new(), Vec::new());
        for (index, gap_ms, is_retry) in events {
            now_ms += gap_ms;
            match is_retry {
                true if boxes[index].try_take("x", now_ms) => retries.push(now_ms),
                true => {}
                false => {
                    boxes[index].record_request("x", now_ms);
                    requests.push(now_ms);
                }
            }
            let since = now_ms.saturating_sub(RULE.window_ms);
            let within = |times: &[u64]| times.iter().filter(|at| **at >= since).count() as f64;
            prop_assert!(within(&retries) <= within(&requests) * RULE.ratio + RULE.slack);
        }
    }
}
