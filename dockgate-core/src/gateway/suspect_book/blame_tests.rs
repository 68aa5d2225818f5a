//! Who is blamed where many requests are at each end: few engines, many victims, ends for other reasons too.
//!
//! Endpoints run what is sent to them for a second or two. One request ends each endpoint that begins to run it,
//! and comes again twice a second; others are sent on when their endpoint ends, in the order of their homes, which
//! requests of one kind share.

use super::SuspectBook;
use crate::gateway::{EndpointId, RequestPrint, best_homes, placement_key};
use std::collections::{BTreeMap, BTreeSet};
use yare::parameterized;

const GUILTY: u32 = 0;
/// How long an endpoint is away that has ended, in milliseconds.
const AWAY_MS: u64 = 3_500;
/// How long after it began the guilty request ends its endpoint.
const ENDS_AFTER_MS: u64 = 80;
/// How many sends the box and its caller make of one request that loses its endpoint.
const SENDS: u32 = 4;

/// What is played.
#[derive(Debug, Clone, Copy)]
struct BlameLoad {
    endpoints: u64,
    /// How many kinds of requests there are: those of one have the same homes.
    kinds: u64,
    /// How often a request begins, in milliseconds.
    every_ms: u64,
    /// How long one takes at most, in milliseconds.
    takes_ms: u64,
    /// How often the guilty one comes, if it does.
    guilty_ms: Option<u64>,
    /// How often an endpoint ends for another reason.
    chance_ms: Option<u64>,
    /// Every so manieth request is the same poll.
    poll_every: Option<u32>,
}

/// What came of it.
#[derive(Debug, Default, PartialEq, Eq)]
struct BlameReport {
    /// How many requests began.
    asked: u32,
    /// Sends of the guilty request.
    guilty_sends: u32,
    /// Other requests that were refused as in quarantine.
    blamed: usize,
    /// Requests that lost an endpoint.
    victims: usize,
}

#[derive(Debug, Clone, Copy)]
struct BlameRun {
    number: u32,
    kind: u64,
    endpoint: u64,
    sends: u32,
    tried: u64,
    ends_ms: u64,
}

struct BlameFleet {
    load: BlameLoad,
    seed: u64,
    now_ms: u64,
    book: SuspectBook,
    runs: Vec<BlameRun>,
    /// The lifetime of each endpoint, and from when on it is there.
    lives: BTreeMap<u64, (u64, u64)>,
    blamed: BTreeSet<u32>,
    victims: BTreeSet<u32>,
    report: BlameReport,
}

fn print(number: u32) -> RequestPrint {
    let mut bytes = [0; 16];
    bytes[..4].copy_from_slice(&number.to_le_bytes());
    RequestPrint::new(bytes)
}

impl BlameFleet {
    fn new(load: BlameLoad, seed: u64) -> Self {
        Self {
            load,
            seed,
            now_ms: 1,
            book: SuspectBook::default(),
            runs: Vec::new(),
            lives: (0..load.endpoints).map(|at| (at, (0, 0))).collect(),
            blamed: BTreeSet::new(),
            victims: BTreeSet::new(),
            report: BlameReport::default(),
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        // Splitmix: the same on every run.
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut drawn = self.seed;
        drawn = (drawn ^ (drawn >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        drawn = (drawn ^ (drawn >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (drawn ^ (drawn >> 31)) % below.max(1)
    }

    /// Sends a request to the first of its homes that is there, of three; spread over them as by load.
    fn send(&mut self, run: BlameRun) {
        let is_held = self
            .book
            .quarantine(print(run.number), self.now_ms)
            .is_some();
        if is_held && run.number != GUILTY {
            self.blamed.insert(run.number);
        }
        if is_held || run.sends >= SENDS {
            return;
        }
        let now_ms = self.now_ms;
        let there = self
            .lives
            .iter()
            .filter(|(_, (_, from_ms))| *from_ms <= now_ms);
        let there = there.map(|(at, _)| EndpointId(*at));
        let subject = placement_key(
            run.kind,
            100 + u64::from(run.number),
            run.sends as usize % 3,
        );
        let homes = best_homes(subject, there, 3, |id| run.tried & (1 << id.0) == 0);
        if homes.is_empty() {
            return;
        }
        let pick = self.draw(homes.len() as u64) as usize;
        let endpoint = homes[pick].0;
        let takes_ms = match run.number {
            GUILTY => ENDS_AFTER_MS,
            _ => 100 + self.draw(self.load.takes_ms),
        };
        if run.number == GUILTY {
            self.report.guilty_sends += 1;
        }
        self.runs.push(BlameRun {
            endpoint,
            sends: run.sends + 1,
            tried: run.tried | (1 << endpoint),
            ends_ms: self.now_ms + takes_ms,
            ..run
        });
    }

    fn end_endpoint(&mut self, endpoint: u64) {
        let (life, _) = self.lives[&endpoint];
        self.lives
            .insert(endpoint, (life + 1, self.now_ms + AWAY_MS));
        let lifetime = EndpointId(endpoint * 1_000 + life);
        let (lost, kept): (Vec<BlameRun>, Vec<BlameRun>) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.endpoint == endpoint);
        self.runs = kept;
        for run in &lost {
            self.victims.insert(run.number);
            self.book
                .note_ended(print(run.number), lifetime, self.now_ms);
        }
        for run in lost {
            if run.number != GUILTY {
                self.send(run);
            }
        }
    }

    fn finish(&mut self) {
        let now_ms = self.now_ms;
        let (over, kept): (Vec<BlameRun>, Vec<BlameRun>) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.ends_ms <= now_ms);
        self.runs = kept;
        for run in over.iter().filter(|run| run.number != GUILTY) {
            self.book.note_completed(print(run.number), now_ms);
        }
        for run in over.into_iter().filter(|run| run.number == GUILTY) {
            // It is at an endpoint that has not ended by another reason meanwhile.
            self.runs.push(run);
            self.end_endpoint(run.endpoint);
        }
    }

    fn play(mut self, for_ms: u64) -> BlameReport {
        let is_due = |every: Option<u64>, now_ms: u64| {
            every.is_some_and(|every| now_ms.is_multiple_of(every))
        };
        while self.now_ms < for_ms {
            self.now_ms += 1;
            self.finish();
            if self.now_ms.is_multiple_of(self.load.every_ms) {
                self.report.asked += 1;
                let asked = self.report.asked;
                let is_poll = self
                    .load
                    .poll_every
                    .is_some_and(|every| asked.is_multiple_of(every));
                let number = if is_poll { 1 } else { 1 + asked };
                let kind = self.draw(self.load.kinds);
                self.begin(number, kind);
            }
            if is_due(self.load.guilty_ms, self.now_ms) {
                self.begin(GUILTY, 0);
            }
            if is_due(self.load.chance_ms, self.now_ms) {
                let endpoint = self.draw(self.load.endpoints);
                self.end_endpoint(endpoint);
            }
            if self.now_ms.is_multiple_of(300) {
                self.book.expire(self.now_ms);
            }
        }
        BlameReport {
            blamed: self.blamed.len(),
            victims: self.victims.len(),
            ..self.report
        }
    }

    fn begin(&mut self, number: u32, kind: u64) {
        self.send(BlameRun {
            number,
            kind,
            endpoint: 0,
            sends: 0,
            tried: 0,
            ends_ms: 0,
        });
    }
}

/// The load of the incident: 18 engines, some 100 requests at each, five kinds.
const BUSY: BlameLoad = BlameLoad {
    endpoints: 18,
    kinds: 5,
    every_ms: 4,
    takes_ms: 2_000,
    guilty_ms: Some(600),
    chance_ms: None,
    poll_every: Some(7),
};

/// Plays a load on several seeds, and adds up what came of it.
fn play(load: BlameLoad) -> BlameReport {
    let reports = (1..=3).map(|seed| BlameFleet::new(load, seed).play(20_000));
    reports.fold(BlameReport::default(), |sum, report| BlameReport {
        asked: sum.asked + report.asked,
        guilty_sends: sum.guilty_sends.max(report.guilty_sends),
        blamed: sum.blamed + report.blamed,
        victims: sum.victims + report.victims,
    })
}

/// Who was at an end, and who is refused for it: of those that complete nobody, of the others one in fifty at most,
/// which has lost three endpoints in a row by then. With the usual homes for the third send as well it is
/// 21 of 1,516 in place of 2 where all have the same ones (ten runs).
#[parameterized(
    busy = { BUSY },
    few_endpoints = { BlameLoad { endpoints: 5, kinds: 1, ..BUSY } },
    one_kind = { BlameLoad { kinds: 1, ..BUSY } },
    ends_for_other_reasons = { BlameLoad { guilty_ms: None, chance_ms: Some(400), ..BUSY } },
    ends_for_both = { BlameLoad { chance_ms: Some(1_000), ..BUSY } },
    returns_quickly = { BlameLoad { guilty_ms: Some(150), ..BUSY } },
)]
fn few_victims_are_blamed_and_the_guilty_one_soon(load: BlameLoad) {
    let report = play(load);
    assert!(report.victims > 50, "{report:?}");
    assert!(report.blamed * 50 <= report.victims, "{report:?}");
    let most_sends = if load.guilty_ms.is_some() { 3 } else { 0 };
    assert_eq!(report.guilty_sends, most_sends, "{report:?}");
}
