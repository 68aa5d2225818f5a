//! Several boxes without a network: rows are lost, doubled and late, boxes are cut off and start anew, and a store
//! that is away at times keeps what must last.

use super::{Quarantine, SuspectRegistry, SuspectReport};
use crate::gateway::{EndpointId, RequestFingerprint};
use proptest::prelude::*;
use std::collections::BTreeMap;

const BOXES: usize = 5;
/// How often boxes tell each other what is new.
const BEAT_MS: u64 = 300;
/// How long all boxes may take to know of a verdict.
const KNOWN_WITHIN_MS: u64 = 3_000;
const GUILTY: RequestFingerprint = RequestFingerprint::new([1; 16]);
const VICTIMS: u8 = 4;

#[derive(Debug, Clone, Copy)]
enum FleetStep {
    /// The guilty request comes to a box.
    Return(usize),
    /// A victim comes to a box; an endpoint ends under it for another reason, or it completes.
    Victim(usize, u8, bool),
    /// A box is cut off from the others, or joins them.
    Cut(usize, bool),
    Restart(usize),
    RestartAll,
    /// The store goes away or comes back.
    Store(bool),
}

fn step() -> impl Strategy<Value = FleetStep> {
    let at = 0..BOXES;
    prop_oneof![
        6 => at.clone().prop_map(FleetStep::Return),
        6 => (at.clone(), 2..2 + VICTIMS, any::<bool>())
            .prop_map(|(at, victim, ends)| FleetStep::Victim(at, victim, ends)),
        2 => (at.clone(), any::<bool>()).prop_map(|(at, cut)| FleetStep::Cut(at, cut)),
        1 => at.prop_map(FleetStep::Restart),
        1 => Just(FleetStep::RestartAll),
        1 => any::<bool>().prop_map(FleetStep::Store),
    ]
}

/// Rows on their way: to which box, and when they arrive.
struct FleetMail {
    to: usize,
    at_ms: u64,
    rows: Vec<SuspectReport>,
}

struct TestFleet {
    now_ms: u64,
    books: Vec<SuspectRegistry>,
    cut: [bool; BOXES],
    store: BTreeMap<RequestFingerprint, Quarantine>,
    is_out: bool,
    mail: Vec<FleetMail>,
    draws: Vec<u8>,
    next_draw: usize,
    next_endpoint: u64,
    /// When endpoints ended under the guilty request.
    ends_ms: Vec<u64>,
}

impl TestFleet {
    fn new(draws: Vec<u8>) -> Self {
        Self {
            now_ms: 1_000,
            books: vec![SuspectRegistry::default(); BOXES],
            cut: [false; BOXES],
            store: BTreeMap::new(),
            is_out: false,
            mail: Vec::new(),
            draws,
            next_draw: 0,
            next_endpoint: 0,
            ends_ms: Vec::new(),
        }
    }

    /// Plays troubles, and lets some seconds pass without any.
    fn after(steps: Vec<(FleetStep, u64)>, draws: Vec<u8>) -> Self {
        let mut fleet = Self::new(draws);
        for (step, pause_ms) in steps {
            fleet.play(step);
            fleet.pass(pause_ms);
        }
        fleet.cut = [false; BOXES];
        fleet.is_out = false;
        fleet.pass(KNOWN_WITHIN_MS);
        fleet
    }

    fn draw(&mut self) -> u8 {
        self.next_draw += 1;
        self.draws[self.next_draw % self.draws.len()]
    }

    fn tell(&mut self, from: usize, is_whole: bool) {
        for to in 0..BOXES {
            let is_cut = self.cut[from] || self.cut[to];
            if to == from || is_cut {
                continue;
            }
            let rows = self.books[from].reports(is_whole, self.now_ms);
            // One in eight is lost, one in eight comes twice, and all are up to a quarter of a second late.
            let (fate, late) = (self.draw(), u64::from(self.draw()));
            let copies = match fate % 8 {
                0 => 0,
                1 => 2,
                _ => 1,
            };
            for copy in 0..copies {
                let at_ms = self.now_ms + late + copy * 100;
                let rows = rows.clone();
                self.mail.push(FleetMail { to, at_ms, rows });
            }
        }
    }

    /// A box that is heard by the store brings both to the same.
    fn sync(&mut self, at: usize) {
        if self.is_out {
            return;
        }
        for (fingerprint, known) in &self.store {
            self.books[at].merge(*fingerprint, *known, self.now_ms);
        }
        for (fingerprint, known) in self.books[at].quarantines(self.now_ms) {
            self.store.entry(fingerprint).or_default().merge(known);
        }
    }

    fn pass(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.now_ms += 50;
            let now_ms = self.now_ms;
            let (due, waiting) = std::mem::take(&mut self.mail)
                .into_iter()
                .partition(|mail: &FleetMail| mail.at_ms <= now_ms);
            self.mail = waiting;
            for mail in due {
                self.books[mail.to].receive(&mail.rows, now_ms);
            }
            if now_ms.is_multiple_of(BEAT_MS) {
                for at in 0..BOXES {
                    self.books[at].expire(now_ms);
                    self.tell(at, true);
                    self.sync(at);
                }
            }
        }
    }

    fn knows(&self, at: usize) -> bool {
        self.books[at].quarantine(GUILTY, self.now_ms).is_some()
    }

    fn play(&mut self, step: FleetStep) {
        match step {
            FleetStep::Return(at) if !self.knows(at) => {
                self.next_endpoint += 1;
                let endpoint = EndpointId(self.next_endpoint);
                self.books[at].note_ended(GUILTY, endpoint, self.now_ms);
                self.ends_ms.push(self.now_ms);
                self.tell(at, false);
            }
            FleetStep::Return(_) => {}
            FleetStep::Victim(at, number, ends) => {
                let victim = RequestFingerprint::new([number; 16]);
                match ends {
                    true => {
                        self.next_endpoint += 1;
                        let endpoint = EndpointId(self.next_endpoint);
                        self.books[at].note_ended(victim, endpoint, self.now_ms);
                    }
                    false => drop(self.books[at].note_completed(victim, self.now_ms)),
                }
                self.tell(at, false);
            }
            FleetStep::Cut(at, cut) => self.cut[at] = cut,
            FleetStep::Restart(at) => self.books[at] = SuspectRegistry::default(),
            FleetStep::RestartAll => self.books = vec![SuspectRegistry::default(); BOXES],
            FleetStep::Store(out) => self.is_out = out,
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Whatever came before: with no trouble for some seconds, a request under which endpoints end reaches three
    /// more at most, all boxes know it from then on, and know the same of all others.
    #[test]
    fn a_guilty_request_is_known_to_all_boxes_once_three_have_ended(
        steps in prop::collection::vec((step(), 50_u64..900), 1..40),
        draws in prop::collection::vec(any::<u8>(), 64..256),
    ) {
        let mut fleet = TestFleet::after(steps, draws);
        let mut reached = 0;
        for number in 0..4 * BOXES {
            if !fleet.knows(number % BOXES) {
                reached += 1;
            }
            fleet.play(FleetStep::Return(number % BOXES));
            fleet.pass(600);
        }
        prop_assert!(reached <= SuspectRegistry::VERDICT_THRESHOLD, "{} more", reached);
        prop_assert!((0..BOXES).all(|at| fleet.knows(at)));

        // All are killed at once: what stands in the store is enough.
        fleet.books = vec![SuspectRegistry::default(); BOXES];
        fleet.mail.clear();
        fleet.pass(KNOWN_WITHIN_MS);
        prop_assert!((0..BOXES).all(|at| fleet.knows(at)));
    }

    /// A victim that runs to its end is free at all boxes a moment later, whatever it was at the end of.
    #[test]
    fn a_request_that_completes_is_free_at_all_boxes(
        steps in prop::collection::vec((step(), 50_u64..900), 1..40),
        draws in prop::collection::vec(any::<u8>(), 64..256),
    ) {
        let mut fleet = TestFleet::after(steps, draws);
        for number in 2..2 + VICTIMS {
            let victim = RequestFingerprint::new([number; 16]);
            fleet.books[0].note_completed(victim, fleet.now_ms);
            fleet.tell(0, false);
        }
        fleet.pass(KNOWN_WITHIN_MS);
        for number in 2..2 + VICTIMS {
            let victim = RequestFingerprint::new([number; 16]);
            for book in &fleet.books {
                prop_assert!(book.quarantine(victim, fleet.now_ms).is_none());
            }
            prop_assert!(fleet.store.get(&victim).is_none_or(|known| !known.stage.is_active()));
        }
    }
}
