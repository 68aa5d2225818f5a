use super::*;
use crate::gateway::{LatencyLimits, PromptShape, ShareLevel};
use proptest::prelude::*;
use yare::parameterized;

const CAPACITY: usize = 6;

fn waiting(
    number: u32,
    workspace: u64,
    is_beyond: bool,
    terms: WaitTerms,
    now_ms: u64,
) -> WaitingRequest {
    let limits = LatencyLimits {
        objective_ms: terms.wait_ms * 4,
        shortest_objective_ms: 500,
        budget_ms: 4_000,
    };
    let level = ShareLevel::new(if is_beyond { 2.0 } else { 0.0 });
    let request = AdmissionRequest::new(workspace, &PromptShape::default(), limits).level(level);
    let entry = BoxKey(number % 3);
    WaitingRequest::new(RunKey { entry, number }, request, terms, 30.0, now_ms)
}

/// Guards against a caller that loses its retry, as it is refused too late.
#[parameterized(
    quarter_of_the_objective = { 1_000.0, 10.0, 100.0, 180 },
    already_old = { 1_000.0, 150.0, 100.0, 40 },
    long_own_time = { 1_000.0, 10.0, 940.0, 50 },
    known_to_be_late = { 500.0, 10.0, 495.0, 0 },
    refused_too_late = { 500.0, 70.0, 100.0, 0 },
)]
fn usable_wait_ends_before_the_refusal_is_due(objective: f64, age: f64, own: f64, wait_ms: u32) {
    let budget = WaitBudget {
        objective_ms: objective,
        age_ms: age,
        own_first_ms: own,
        refusal_delay_ms: 60.0,
    };
    assert_eq!(budget.usable_wait_ms(), wait_ms);
}

/// Guards against a predicted wait that follows pauses in the load.
#[test]
fn free_slots_are_predicted_from_the_ends_at_a_full_endpoint() {
    let mut queue = WaitQueue::default();
    assert_eq!(queue.slot_wait_ms(3), 0.0);
    queue.record_end(true, 1_000);
    queue.record_end(true, 1_020);
    queue.record_end(false, 1_500);
    queue.record_end(true, 9_000);
    queue.record_end(true, 9_020);
    assert_eq!(queue.slot_wait_ms(0), 20.0);
    assert_eq!(queue.slot_wait_ms(3), 80.0);
}

/// Guards against an endpoint with one slot, full until it is idle, whose pauses count as intervals:
/// its requests would then be declined instead of queued.
#[test]
fn pause_of_an_idle_endpoint_is_no_interval() {
    let mut queue = WaitQueue::default();
    queue.record_end(true, 1_000);
    queue.record_end(true, 1_020);
    queue.record_idle();
    queue.record_end(true, 9_000);
    assert_eq!(queue.slot_wait_ms(0), 20.0);
}

/// A withdrawal may overtake the request; queueing it then would count a run that nobody ends.
#[test]
fn request_that_arrives_after_its_withdrawal_does_not_wait() {
    let terms = WaitTerms {
        priority: 1,
        wait_ms: 100,
    };
    let mut queue = WaitQueue::default();
    let request = waiting(1, 1, false, terms, 1_000);
    assert_eq!(queue.close(request.key, 1_000), None);
    let offer = queue.offer(request, CAPACITY, 0.0);
    assert_eq!((offer, queue.len()), (WaitOffer::Ignored, 0));
}

/// Guards against holding a request that the owner predicts to be late, as it knows that its own
/// time to the first event is longer than the entry assumed.
#[test]
fn wait_ends_at_the_latest_useful_start() {
    let terms = WaitTerms {
        priority: 1,
        wait_ms: 100,
    };
    let WaitingRequest { key, request, .. } = waiting(1, 1, false, terms, 1_000);
    let mut queue = WaitQueue::default();
    // The objective of 400 ms leaves 40 ms to wait.
    let new = WaitingRequest::new(key, request, terms, 360.0, 1_000);
    assert_eq!(new.until_ms, 1_040);
    assert_eq!(queue.offer(new, CAPACITY, 50.0), WaitOffer::Declined);
}

#[derive(Debug, Clone)]
enum Step {
    Offer {
        workspace: u64,
        is_beyond: bool,
        terms: WaitTerms,
        predicted_ms: u32,
        is_duplicate: bool,
    },
    Grant,
    Leave(u32),
    Restart(u32),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let terms =
        (0..3_u8, 0..200_u32).prop_map(|(priority, wait_ms)| WaitTerms { priority, wait_ms });
    let offer = (0..4_u64, any::<bool>(), terms, 0..250_u32, any::<bool>());
    prop_oneof![
        6 => offer.prop_map(|(workspace, is_beyond, terms, predicted_ms, is_duplicate)| {
            Step::Offer { workspace, is_beyond, terms, predicted_ms, is_duplicate }
        }),
        2 => Just(Step::Grant),
        1 => (0..60_u32).prop_map(Step::Leave),
        1 => (0..3_u32).prop_map(Step::Restart),
        2 => (0..60_u64).prop_map(Step::Pass),
    ]
}

fn count_of(queue: &WaitQueue, workspace: u64) -> usize {
    let requests = queue.iter();
    requests
        .filter(|waiting| waiting.request.workspace == workspace)
        .count()
}

proptest! {
    /// Guards against overtaking, unbounded queues, one workspace that takes a full queue, requests
    /// that wait beyond their time, and requests that stay after their caller or its box is gone.
    #[test]
    fn queue_keeps_its_order_and_bounds(steps in prop::collection::vec(step(), 1..80)) {
        let mut queue = WaitQueue::default();
        let (mut now_ms, mut number) = (1_000, 0);
        let mut closed = Vec::new();
        for step in steps {
            match step {
                Step::Offer { workspace, is_beyond, terms, predicted_ms, is_duplicate } => {
                    number += u32::from(!is_duplicate);
                    let new = waiting(number, workspace, is_beyond, terms, now_ms);
                    let (key, rank) = (new.key, new.rank);
                    let was_known = !queue.accepts(key);
                    let ahead: Vec<RunKey> = queue.ahead_of(rank).map(|other| other.key).collect();
                    let offer = queue.offer(new, CAPACITY, f64::from(predicted_ms));
                    prop_assert!(!was_known || offer == WaitOffer::Ignored);
                    prop_assert!(!closed.contains(&key) || offer == WaitOffer::Ignored);
                    if let WaitOffer::Displaces(displaced) = &offer {
                        // The displaced workspace held at least as many as any other.
                        let lost = count_of(&queue, displaced.request.workspace) + 1;
                        let most = (0..4).map(|other| count_of(&queue, other)).max();
                        prop_assert!(lost >= most.unwrap_or_default());
                    }
                    let is_queued = matches!(offer, WaitOffer::Queued | WaitOffer::Displaces(_));
                    prop_assert!(!is_queued || predicted_ms <= terms.wait_ms);
                    if is_queued {
                        let place = queue.iter().position(|other| other.key == key).unwrap();
                        let before: Vec<RunKey> =
                            queue.iter().take(place).map(|other| other.key).collect();
                        prop_assert!(before.iter().all(|key| ahead.contains(key)));
                    }
                }
                Step::Grant => {
                    let best = queue.iter().map(|waiting| waiting.rank).min();
                    prop_assert_eq!(queue.take_first().map(|waiting| waiting.rank), best);
                }
                Step::Leave(number) => {
                    let key = RunKey { entry: BoxKey(number % 3), number };
                    queue.close(key, now_ms);
                    closed.push(key);
                    prop_assert!(queue.iter().all(|waiting| waiting.key != key));
                }
                Step::Restart(entry) => {
                    queue.forget_entry(BoxKey(entry));
                    prop_assert!(queue.iter().all(|waiting| waiting.key.entry != BoxKey(entry)));
                }
                Step::Pass(ms) => {
                    now_ms += ms;
                    closed.clear();
                    queue.expire(now_ms);
                    prop_assert!(queue.iter().all(|waiting| waiting.until_ms > now_ms));
                }
            }
            prop_assert!(queue.len() <= CAPACITY);
            prop_assert!(queue.iter().map(|waiting| waiting.rank).is_sorted());
        }
    }
}

/// Guards against a queue of which one workspace takes everything.
#[test]
fn workspace_with_the_most_requests_loses_its_last_one() {
    let terms = |priority| WaitTerms {
        priority,
        wait_ms: 100,
    };
    let mut queue = WaitQueue::default();
    for number in 0..CAPACITY as u32 {
        let priority = u8::from(number == 2);
        let new = waiting(number, 1, false, terms(priority), 1_000);
        assert_eq!(queue.offer(new, CAPACITY, 0.0), WaitOffer::Queued);
    }
    let other = waiting(7, 2, false, terms(3), 1_000);
    let displaced = match queue.offer(other, CAPACITY, 0.0) {
        WaitOffer::Displaces(displaced) => displaced.key.number,
        offer => panic!("{offer:?}"),
    };
    assert_eq!(displaced, 2);
    let own = waiting(8, 1, false, terms(3), 1_000);
    assert_eq!(queue.offer(own, CAPACITY, 0.0), WaitOffer::Declined);
    let first = queue.take_first().unwrap();
    assert_eq!(first.key.number, 0, "equal ranks stay in order of arrival");
}
