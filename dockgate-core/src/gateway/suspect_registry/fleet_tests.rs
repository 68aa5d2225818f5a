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
const HARMFUL_PARTS: u64 = 2;
const SOUND_PART: u64 = 77;
/// The number of ends after which the bound of [`CONVERGENCE_MS`] runs for a part.
const BOUND_ENDS: usize = 5;

#[derive(Debug, Clone, Copy)]
enum FleetEvent {
    /// The harmful request arrives at a box.
    Harmful(usize),
    /// A harmless request arrives at a box; its endpoint ends for another reason, or it completes.
    Harmless(usize, u8, bool),
    /// A request with a harmful part, and with a sound one, arrives at a box.
    HarmfulPart(usize, u64),
    /// A request with the sound part that harmful ones share completes at a box.
    SoundPart(usize),
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
        6 => (at.clone(), 0..HARMFUL_PARTS).prop_map(|(at, part)| FleetEvent::HarmfulPart(at, part)),
        3 => at.clone().prop_map(FleetEvent::SoundPart),
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
    /// When endpoints ended because of each harmful part, since a box last lost its memory.
    part_ends_ms: BTreeMap<u64, Vec<u64>>,
}

fn part(number: u64) -> SuspectKey {
    SuspectKey::of_part("model", number)
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
            part_ends_ms: BTreeMap::new(),
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

    fn is_part_quarantined(&self, at: usize, number: u64) -> bool {
        let known = self.registries[at].quarantine(part(number), self.now_ms);
        known.is_some()
    }

    fn end_with_part(&mut self, at: usize, number: u64) {
        self.next_endpoint += 1;
        let endpoint = EndpointId(self.next_endpoint);
        let mut request = [200; 16];
        request[..8].copy_from_slice(&self.next_endpoint.to_le_bytes());
        let keys = [part(number), part(SOUND_PART), SuspectKey::new(request)];
        self.registries[at].note_ended(&keys, endpoint, self.now_ms);
        let ends = self.part_ends_ms.entry(number).or_default();
        ends.push(self.now_ms);
        self.send_reports(at, false);
    }

    /// Returns the number of ends later than the bound after the first ends of a harmful part.
    fn late_ends(&self, number: u64) -> usize {
        let ends = self.part_ends_ms.get(&number);
        let ends = ends.map_or(&[][..], |ends| ends.as_slice());
        let Some(last) = ends.get(BOUND_ENDS - 1) else {
            return 0;
        };
        let late = ends.iter().filter(|at_ms| **at_ms > last + CONVERGENCE_MS);
        late.count()
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
            FleetEvent::HarmfulPart(at, number) if !self.is_part_quarantined(at, number) => {
                self.end_with_part(at, number);
            }
            FleetEvent::HarmfulPart(..) => {}
            FleetEvent::SoundPart(at) => {
                self.registries[at].note_completed(&[part(SOUND_PART)], self.now_ms);
                self.send_reports(at, false);
            }
            FleetEvent::Partition(at, cut) => self.partitioned[at] = cut,
            FleetEvent::Restart(at) => {
                self.registries[at] = SuspectRegistry::default();
                self.part_ends_ms.clear();
            }
            FleetEvent::RestartAll => {
                self.registries = vec![SuspectRegistry::default(); BOXES];
                self.part_ends_ms.clear();
            }
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
    /// After any faults, few requests with harmful parts are sent once the boxes are in touch, and
    /// then all boxes keep the parts in quarantine, but not the sound part that came with them.
    #[test]
    fn all_boxes_quarantine_harmful_parts_in_time(
        events in prop::collection::vec((event(), 50_u64..900), 1..40),
        draws in prop::collection::vec(any::<u8>(), 64..256),
    ) {
        let mut fleet = SimulatedFleet::after(events, draws);
        // What was sent while boxes were out of touch does not count.
        let before: Vec<usize> = (0..HARMFUL_PARTS).map(|number| fleet.late_ends(number)).collect();
        for round in 0..8 * BOXES {
            fleet.apply(FleetEvent::HarmfulPart(round % BOXES, round as u64 % HARMFUL_PARTS));
            fleet.advance(300);
            fleet.apply(FleetEvent::SoundPart((round + 2) % BOXES));
            fleet.advance(300);
        }
        for number in 0..HARMFUL_PARTS {
            let late = fleet.late_ends(number) - before[number as usize];
            prop_assert!(late <= 3, "{late} more: {:?}", fleet.part_ends_ms);
            prop_assert!((0..BOXES).all(|at| fleet.is_part_quarantined(at, number)));
        }
        prop_assert!((0..BOXES).all(|at| !fleet.is_part_quarantined(at, SOUND_PART)));

        // All boxes restart at once and recover the quarantines from the store.
        fleet.registries = vec![SuspectRegistry::default(); BOXES];
        fleet.in_transit.clear();
        fleet.advance(CONVERGENCE_MS);
        for number in 0..HARMFUL_PARTS {
            prop_assert!((0..BOXES).all(|at| fleet.is_part_quarantined(at, number)));
        }
    }

    /// A part that completes is soon released on all boxes.
    #[test]
    fn a_part_that_completes_is_released_on_all_boxes(
        events in prop::collection::vec((event(), 50_u64..900), 1..40),
        draws in prop::collection::vec(any::<u8>(), 64..256),
    ) {
        let mut fleet = SimulatedFleet::after(events, draws);
        let parts = [0, 1, SOUND_PART].map(part);
        fleet.registries[0].note_completed(&parts, fleet.now_ms);
        fleet.send_reports(0, false);
        fleet.advance(CONVERGENCE_MS);
        for key in parts {
            for registry in &fleet.registries {
                prop_assert!(registry.quarantine(key, fleet.now_ms).is_none());
            }
            prop_assert!(fleet.store.get(&key).is_none_or(|known| !known.stage.is_active()));
        }
    }

    /// Whatever ran beside a harmful part is free once all ends are known, in whichever order and
    /// however often they were reported.
    #[test]
    fn verdicts_do_not_depend_on_the_order_of_reports(
        companions in prop::collection::vec(prop::collection::vec(any::<bool>(), 8), 1..12),
        order in prop::collection::vec(any::<prop::sample::Index>(), 60..300),
        batch in 1..20_usize,
    ) {
        // The companions are absent from the last two of the ten ends.
        let keys = companions.iter().enumerate().map(|(at, ends)| {
            let key = match at % 2 {
                0 => part(100 + at as u64),
                _ => SuspectKey::new([100 + at as u8; 16]),
            };
            (key, ends)
        });
        let ended = |key, end: u64| SuspectReport {
            fingerprint: key,
            event: super::SuspectEvent::Ended(EndpointId(end)),
            age_ms: 10_000 - 500 * end as u32,
        };
        let mut reports: Vec<SuspectReport> = (0..10).map(|end| ended(part(1), end)).collect();
        for (key, ends) in keys.clone() {
            let present = (0..8).filter(|end| ends[*end as usize]);
            reports.extend(present.map(|end| ended(key, end)));
        }
        let shuffled = order.iter().map(|index| *index.get(&reports));
        let shuffled: Vec<SuspectReport> = shuffled.chain(reports.iter().copied()).collect();
        let reversed: Vec<SuspectReport> = reports.iter().rev().copied().collect();
        for all in [reports, shuffled, reversed] {
            let mut registry = SuspectRegistry::default();
            for reports in all.chunks(batch) {
                registry.receive(reports, 20_000);
            }
            prop_assert!(registry.quarantine(part(1), 20_000).is_some());
            for (key, _) in keys.clone() {
                prop_assert!(registry.quarantine(key, 20_000).is_none(), "{key}");
            }
        }
    }
}
