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

/// Guards against a retry that is charged although it was not sent.
#[test]
fn retry_that_is_given_back_can_be_taken_again() {
    let mut budget = RetryBudget::new(RULE);
    while budget.try_take("x", 1_000) {}
    budget.give_back("x", 1_000);
    assert!(budget.try_take("x", 1_200));
    assert!(!budget.try_take("x", 1_200));
}

/// Guards against a budget that grows by retries that have expired, or that others were given for.
#[test]
fn retry_that_has_expired_is_not_given_back() {
    let mut budget = RetryBudget::new(RULE);
    assert!(budget.try_take("x", 1_000));
    while budget.try_take("x", 11_001) {}
    budget.give_back("x", 1_000);
    budget.give_back("y", 11_001);
    assert!(!budget.try_take("x", 11_001));
}

/// A retry that was taken at a box.
#[derive(Debug, Clone, Copy)]
struct TakenRetry {
    index: usize,
    at_ms: u64,
}

proptest! {
    /// However retries are taken and given back, those that were sent stay within the budget, and
    /// giving all back makes the whole budget available again.
    #[test]
    fn retries_that_are_given_back_leave_the_budget_as_it_was(
        events in prop::collection::vec((0_usize..13, 0_u64..40, 0_u8..4), 1..1_000),
    ) {
        let mut boxes: Vec<RetryBudget> = (0..13).map(|_| RetryBudget::new(RULE)).collect();
        let mut without = boxes.clone();
        let (mut now_ms, mut requests, mut sent) = (1_000, Vec::new(), Vec::new());
        let mut reserved: Vec<TakenRetry> = Vec::new();
        for (index, gap_ms, kind) in events {
            now_ms += gap_ms;
            match (kind, reserved.last().copied()) {
                (0, _) => {
                    boxes[index].record_request("x", now_ms);
                    without[index].record_request("x", now_ms);
                    requests.push(now_ms);
                }
                (1, Some(retry)) => {
                    reserved.pop();
                    boxes[retry.index].give_back("x", retry.at_ms);
                }
                (2, Some(retry)) => {
                    reserved.pop();
                    let times = &mut without[retry.index].window("x", now_ms).retries;
                    let position = times.partition_point(|at| *at <= retry.at_ms);
                    times.insert(position, retry.at_ms);
                    sent.push(retry.at_ms);
                }
                _ if boxes[index].try_take("x", now_ms) => {
                    reserved.push(TakenRetry { index, at_ms: now_ms });
                }
                _ => {}
            }
            let since = now_ms.saturating_sub(RULE.window_ms);
            let within = |times: &[u64]| times.iter().filter(|at| **at >= since).count() as f64;
            prop_assert!(within(&sent) <= within(&requests) * RULE.ratio + RULE.slack);
        }
        for retry in reserved {
            boxes[retry.index].give_back("x", retry.at_ms);
        }
        for (used, unused) in boxes.iter_mut().zip(&mut without) {
            let retries = |budget: &mut RetryBudget| budget.window("x", now_ms).retries.len();
            prop_assert_eq!(retries(used), retries(unused));
        }
    }

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
