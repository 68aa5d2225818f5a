use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

const ENDPOINT: EndpointId = EndpointId(7);
const LIMIT: WarmupLimit = WarmupLimit {
    duration_ms: 3_000,
    rate_per_s: 10.0,
};
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;
/// The longest time between a grant and the sending of its request, in milliseconds.
const MAX_DELAY_MS: u64 = 700;

fn at(number: u64) -> StoreRevision {
    StoreRevision::from(number)
}

fn pace() -> Option<f64> {
    Some(LIMIT.pace(OVERSHOOT, SLACK))
}

fn cold_endpoint(is_owner: bool) -> WarmupTracker {
    let mut tracker = WarmupTracker::default();
    tracker.observe(ENDPOINT, at(1), 3_000, || is_owner, 0);
    tracker
}

#[test]
fn owner_grants_the_rate_from_the_start() {
    let mut tracker = cold_endpoint(true);
    let granted = (0..3_000).filter(|now| tracker.try_grant(ENDPOINT, pace(), *now).is_ok());
    assert_eq!(granted.count(), 30);
}

#[test]
fn other_boxes_grant_nothing_while_it_is_cold() {
    let mut tracker = cold_endpoint(false);
    assert_eq!(tracker.try_grant(ENDPOINT, pace(), 1_000), Err(2_000));
    assert_eq!(tracker.try_grant(ENDPOINT, pace(), 3_000), Ok(()));
}

#[test]
fn endpoints_of_a_service_without_a_rate_are_not_paced() {
    let mut tracker = cold_endpoint(false);
    assert_eq!(tracker.try_grant(ENDPOINT, None, 0), Ok(()));
}

#[test]
fn new_owner_waits_before_it_grants() {
    let mut tracker = cold_endpoint(false);
    tracker.update_owners(|_| true, 500);
    assert!(tracker.try_grant(ENDPOINT, pace(), 1_599).is_err());
    assert!(tracker.try_grant(ENDPOINT, pace(), 1_600).is_ok());
    tracker.update_owners(|_| false, 1_700);
    assert!(tracker.try_grant(ENDPOINT, pace(), 2_000).is_err());
}

#[test]
fn newer_record_ends_or_extends_the_warm_up() {
    let mut tracker = cold_endpoint(true);
    tracker.observe(ENDPOINT, at(2), 4_000, || true, 1_000);
    assert!(tracker.is_cold(ENDPOINT, 4_999));
    tracker.observe(ENDPOINT, at(1), 9_000, || true, 1_000);
    assert!(!tracker.is_cold(ENDPOINT, 5_000));
    tracker.observe(ENDPOINT, at(3), 0, || true, 1_500);
    assert!(!tracker.is_cold(ENDPOINT, 1_500));
    assert_eq!(tracker.cold_count(1_500), 0);
}

#[test]
fn presumed_warm_up_lasts_until_the_next_record() {
    let mut tracker = WarmupTracker::default();
    tracker.observe(ENDPOINT, at(1), 0, || true, 0);
    tracker.presume_cold(ENDPOINT, at(5), 3_000, || true, 1_000);
    assert!(tracker.is_cold(ENDPOINT, 3_999));
    tracker.observe(ENDPOINT, at(4), 0, || true, 1_500);
    assert!(tracker.is_cold(ENDPOINT, 3_999));
    tracker.observe(ENDPOINT, at(6), 0, || true, 2_000);
    assert!(!tracker.is_cold(ENDPOINT, 2_000));
}

#[test]
fn presumption_does_not_shorten_a_known_warm_up() {
    let mut tracker = cold_endpoint(true);
    tracker.presume_cold(ENDPOINT, at(5), 1_000, || true, 500);
    assert!(tracker.is_cold(ENDPOINT, 2_999));
}

#[test]
fn endpoints_that_are_gone_are_forgotten() {
    let mut tracker = cold_endpoint(true);
    tracker.retain(|_| false);
    assert_eq!(tracker.cold_count(10), 0);
}

/// A simulated request, by the times at which it is sent and arrives.
#[derive(Debug, Clone, Copy)]
struct Delivery {
    sent_ms: u64,
    arrived_ms: u64,
}

/// The fleet around one cold endpoint: boxes ask the box that each takes for the owner.
struct WarmupSimulation {
    trackers: Vec<WarmupTracker>,
    /// The owner as each box sees it.
    owners: Vec<usize>,
}

impl WarmupSimulation {
    fn new(boxes: usize) -> Self {
        let trackers = (0..boxes).map(|index| cold_endpoint(index == 0));
        Self {
            trackers: trackers.collect(),
            owners: vec![0; boxes],
        }
    }

    fn update_owners(&mut self, now_ms: u64) {
        for (index, tracker) in self.trackers.iter_mut().enumerate() {
            let owns = self.owners[index] == index;
            tracker.update_owners(|_| owns, now_ms);
        }
    }

    fn try_grant(&mut self, entry: usize, now_ms: u64) -> bool {
        let owner = self.owners[entry];
        let granted = self.trackers[owner].try_grant(ENDPOINT, pace(), now_ms);
        granted.is_ok()
    }
}

fn most_arrivals_in_a_second(deliveries: &[Delivery]) -> usize {
    let starts: BTreeSet<u64> = deliveries.iter().map(|request| request.sent_ms).collect();
    let count = |start: u64| {
        let window = start..start + 1_000;
        let inside = deliveries.iter().filter(|request| {
            window.contains(&request.sent_ms) && window.contains(&request.arrived_ms)
        });
        inside.count()
    };
    starts.into_iter().map(count).max().unwrap_or(0)
}

proptest! {
    /// The bound holds in each second, with any number of boxes, with grants that are used late,
    /// and with owners that change while boxes disagree on the owner for up to a second.
    #[test]
    fn arrivals_stay_within_the_bound(
        boxes in 3_usize..300,
        draws in prop::collection::vec(
            (0_usize..300, 1_u64..12, 1_u64..8), 300..900,
        ),
        changes in prop::collection::vec((200_u64..2_900, 0_usize..300), 0..3),
        resumed_ms in 700_u64..3_000,
    ) {
        let mut fleet = WarmupSimulation::new(boxes);
        let mut deliveries = Vec::new();
        let mut now_ms = 0;
        let mut tick_ms = 0;
        for (entry, gap_ms, transit_ms) in draws {
            now_ms += gap_ms;
            let entry = entry % boxes;
            let latest = changes.iter().filter(|(at_ms, _)| *at_ms <= now_ms);
            if let Some((at_ms, owner)) = latest.max_by_key(|(at_ms, _)| *at_ms) {
                // Each box learns of the change by its own time within a second.
                let learns_ms = at_ms + entry as u64 * 37 % 1_000;
                if learns_ms <= now_ms {
                    fleet.owners[entry] = owner % boxes;
                }
            }
            if now_ms >= tick_ms {
                fleet.update_owners(now_ms);
                tick_ms = now_ms + 300;
            }
            if now_ms < 3_000 && fleet.try_grant(entry, now_ms) {
                // All boxes are paused before `resumed_ms`, and send then what was granted.
                let is_paused = (resumed_ms - MAX_DELAY_MS..resumed_ms).contains(&now_ms);
                let sent_ms = if is_paused { resumed_ms } else { now_ms };
                deliveries.push(Delivery { sent_ms, arrived_ms: sent_ms + transit_ms });
            }
        }
        let bound = LIMIT.rate_per_s * OVERSHOOT + SLACK;
        prop_assert!(most_arrivals_in_a_second(&deliveries) as f64 <= bound);
    }
}
