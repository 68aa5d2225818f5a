//! Property tests of several boxes without a network: reports are lost, duplicated and delayed,
//! boxes are partitioned and restarted, and the store of quarantines is unavailable at times.

use super::{Quarantine, SuspectRegistry, SuspectReport};
use crate::gateway::{EndpointId, SuspectKey};
use proptest::prelude::*;
use std::collections::BTreeMap;

const BOXES: usize = 5;
/// The interval between the heartbeats of a box, in milliseconds.
const HEARTBEAT_MS: u64 = 300;
/// The time within which all boxes must agree, in milliseconds.
const CONVERGENCE_MS: u64 = 3_000;
const HARMFUL: SuspectKey = SuspectKey::new([1; 16]);
const HARMLESS_COUNT: u8 = 4;

#[derive(Debug, Clone, Copy)]
enum FleetEvent {
    /// The harmful request arrives at a box.
    Harmful(usize),
    /// A harmless request arrives at a box; its endpoint ends for another reason, or it completes.
    Harmless(usize, u8, bool),
    /// A box is partitioned from the others or reconnected.
    Partition(usize, bool),
    Restart(usize),
    RestartAll,
    /// The store becomes unavailable or available.
    Store(bool),
}

fn event() -> impl Strategy<Value = FleetEvent> {
    let at = 0..BOXES;
    prop_oneof![
        6 => at.clone().prop_map(FleetEvent::Harmful),
        6 => (at.clone(), 2..2 + HARMLESS_COUNT, any::<bool>())
            .prop_map(|(at, number, ends)| FleetEvent::Harmless(at, number, ends)),
        2 => (at.clone(), any::<bool>()).prop_map(|(at, cut)| FleetEvent::Partition(at, cut)),
        1 => at.prop_map(FleetEvent::Restart),
        1 => Just(FleetEvent::RestartAll),
        1 => any::<bool>().prop_map(FleetEvent::Store),
    ]
}

/// Reports in transit, with their recipient and time of arrival.
struct DelayedReports {
    to: usize,
    at_ms: u64,
    reports: Vec<SuspectReport>,
}

struct SimulatedFleet {
    now_ms: u64,
    registries: Vec<SuspectRegistry>,
    partitioned: [bool; BOXES],
    store: BTreeMap<SuspectKey, Quarantine>,
    is_store_down: bool,
    in_transit: Vec<DelayedReports>,
    draws: Vec<u8>,
    next_draw: usize,
    next_endpoint: u64,
    /// When endpoints ended because of the harmful request.
    ends_ms: Vec<u64>,
}

impl SimulatedFleet {
    fn new(draws: Vec<u8>) -> Self {
        Self {
            now_ms: 1_000,
            registries: vec![SuspectRegistry::default(); BOXES],
            partitioned: [false; BOXES],
            store: BTreeMap::new(),
            is_store_down: false,
            in_transit: Vec::new(),
            draws,
            next_draw: 0,
            next_endpoint: 0,
            ends_ms: Vec::new(),
        }
    }

    /// Applies events, then lets the fleet converge without faults.
    fn after(events: Vec<(FleetEvent, u64)>, draws: Vec<u8>) -> Self {
        let mut fleet = Self::new(draws);
        for (event, pause_ms) in events {
            fleet.apply(event);
            fleet.advance(pause_ms);
        }
        fleet.partitioned = [false; BOXES];
        fleet.is_store_down = false;
        fleet.advance(CONVERGENCE_MS);
        fleet
    }

    fn draw(&mut self) -> u8 {
        self.next_draw += 1;
        self.draws[self.next_draw % self.draws.len()]
    }

    fn send_reports(&mut self, from: usize, is_full: bool) {
        for to in 0..BOXES {
            let is_partitioned = self.partitioned[from] || self.partitioned[to];
            if to == from || is_partitioned {
                continue;
            }
            let reports = self.registries[from].reports(is_full, self.now_ms);
            // One in eight is lost, one in eight is duplicated, and all are up to 255 ms late.
            let (fate, delay_ms) = (self.draw(), u64::from(self.draw()));
            let copies = match fate % 8 {
                0 => 0,
                1 => 2,
                _ => 1,
            };
            for copy in 0..copies {
                let at_ms = self.now_ms + delay_ms + copy * 100;
                let reports = reports.clone();
                self.in_transit.push(DelayedReports { to, at_ms, reports });
            }
        }
    }

    /// Merges the quarantines of a box and of the store if the store is available.
    fn sync(&mut self, at: usize) {
        if self.is_store_down {
            return;
        }
        for (fingerprint, known) in &self.store {
            self.registries[at].merge(*fingerprint, *known, self.now_ms);
        }
        for (fingerprint, known) in self.registries[at].quarantines(self.now_ms) {
            self.store.entry(fingerprint).or_default().merge(known);
        }
    }

    fn advance(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.now_ms += 50;
            let now_ms = self.now_ms;
            let (due, waiting) = std::mem::take(&mut self.in_transit)
                .into_iter()
                .partition(|delayed: &DelayedReports| delayed.at_ms <= now_ms);
            self.in_transit = waiting;
            for delayed in due {
                self.registries[delayed.to].receive(&delayed.reports, now_ms);
            }
            if now_ms.is_multiple_of(HEARTBEAT_MS) {
                for at in 0..BOXES {
                    self.registries[at].expire(now_ms);
                    self.send_reports(at, true);
                    self.sync(at);
                }
            }
        }
    }

    fn is_quarantined(&self, at: usize) -> bool {
        self.registries[at]
            .quarantine(HARMFUL, self.now_ms)
            .is_some()
    }

    fn apply(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Harmful(at) if !self.is_quarantined(at) => {
                self.next_endpoint += 1;
                let endpoint = EndpointId(self.next_endpoint);
                self.registries[at].note_ended(&[HARMFUL], endpoint, self.now_ms);
                self.ends_ms.push(self.now_ms);
                self.send_reports(at, false);
            }
            FleetEvent::Harmful(_) => {}
            FleetEvent::Harmless(at, number, ends) => {
                let request = SuspectKey::new([number; 16]);
                match ends {
                    true => {
                        self.next_endpoint += 1;
                        let endpoint = EndpointId(self.next_endpoint);
                        self.registries[at].note_ended(&[request], endpoint, self.now_ms);
                    }
                    false => drop(self.registries[at].note_completed(&[request], self.now_ms)),
                }
                self.send_reports(at, false);
            }
            FleetEvent::Partition(at, cut) => self.partitioned[at] = cut,
            FleetEvent::Restart(at) => self.registries[at] = SuspectRegistry::default(),
            FleetEvent::RestartAll => self.registries = vec![SuspectRegistry::default(); BOXES],
            FleetEvent::Store(is_down) => self.is_store_down = is_down,
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// After any faults, a harmful request ends at most three more endpoints, and then all boxes
    /// keep it in quarantine.
    #[test]
    fn all_boxes_quarantine_a_harmful_request_after_three_ends(
        events in prop::collection::vec((event(), 50_u64..900), 1..40),
        draws in prop::collection::vec(any::<u8>(), 64..256),
    ) {
        let mut fleet = SimulatedFleet::after(events, draws);
        let mut ended_count = 0;
        for number in 0..4 * BOXES {
            if !fleet.is_quarantined(number % BOXES) {
                ended_count += 1;
            }
            fleet.apply(FleetEvent::Harmful(number % BOXES));
            fleet.advance(600);
        }
        prop_assert!(ended_count <= SuspectRegistry::VERDICT_THRESHOLD, "{} more", ended_count);
        prop_assert!((0..BOXES).all(|at| fleet.is_quarantined(at)));

        // All boxes restart at once and recover the quarantine from the store.
        fleet.registries = vec![SuspectRegistry::default(); BOXES];
        fleet.in_transit.clear();
        fleet.advance(CONVERGENCE_MS);
        prop_assert!((0..BOXES).all(|at| fleet.is_quarantined(at)));
    }

    /// A request that completes is soon released on all boxes, whatever ended while it was running.
    #[test]
    fn a_request_that_completes_is_released_on_all_boxes(
        events in prop::collection::vec((event(), 50_u64..900), 1..40),
        draws in prop::collection::vec(any::<u8>(), 64..256),
    ) {
        let mut fleet = SimulatedFleet::after(events, draws);
        for number in 2..2 + HARMLESS_COUNT {
            let request = SuspectKey::new([number; 16]);
            fleet.registries[0].note_completed(&[request], fleet.now_ms);
            fleet.send_reports(0, false);
        }
        fleet.advance(CONVERGENCE_MS);
        for number in 2..2 + HARMLESS_COUNT {
            let request = SuspectKey::new([number; 16]);
            for registry in &fleet.registries {
                prop_assert!(registry.quarantine(request, fleet.now_ms).is_none());
            }
            prop_assert!(fleet.store.get(&request).is_none_or(|known| !known.stage.is_active()));
        }
    }
}
