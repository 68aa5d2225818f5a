//! Simulates many requests at few engines, to check that a harmful request is found and that
//! requests that merely ran beside it are not quarantined.
//!
//! The harmful request ends its endpoint shortly after it starts there, and its caller repeats it.
//! Other requests are sent to another endpoint when theirs ends, in the order of their homes, which
//! requests of one kind share.

use super::SuspectRegistry;
use crate::gateway::{EndpointId, SuspectKey, best_homes, placement_key};
use std::collections::{BTreeMap, BTreeSet};
use yare::parameterized;

const HARMFUL: u32 = 0;
/// The time until an ended endpoint is back, in milliseconds.
const RESTART_MS: u64 = 3_500;
/// The time after which the harmful request ends its endpoint, in milliseconds.
const ENDS_AFTER_MS: u64 = 80;
/// The maximum number of sends of one request by the box and its caller.
const MAX_SENDS: u32 = 4;

/// The load of a simulation.
#[derive(Debug, Clone, Copy)]
struct FleetLoad {
    endpoints: u64,
    /// The number of request kinds; requests of one kind have the same homes.
    kinds: u64,
    /// The interval between new requests, in milliseconds.
    interval_ms: u64,
    /// The upper bound of the drawn part of the run time, in milliseconds.
    run_ms: u64,
    /// The interval between sends of the harmful request, if there is one, in milliseconds.
    harmful_interval_ms: Option<u64>,
    /// The interval between crashes of endpoints for other reasons, in milliseconds.
    crash_interval_ms: Option<u64>,
    /// Every n-th request is the same polling request.
    poll_every: Option<u32>,
}

/// The result of a simulation.
#[derive(Debug, Default, PartialEq, Eq)]
struct FleetResult {
    /// The number of requests that were started.
    started: u32,
    /// The number of sends of the harmful request.
    harmful_sends: u32,
    /// The number of other requests that were quarantined.
    misjudged: usize,
    /// The number of requests that lost an endpoint.
    interrupted: usize,
}

#[derive(Debug, Clone, Copy)]
struct SimulatedRun {
    number: u32,
    kind: u64,
    endpoint: u64,
    sends: u32,
    tried: u64,
    ends_ms: u64,
}

struct FleetSimulation {
    load: FleetLoad,
    seed: u64,
    now_ms: u64,
    registry: SuspectRegistry,
    runs: Vec<SimulatedRun>,
    /// The lifetime of each endpoint, and when it becomes available.
    lifetimes: BTreeMap<u64, (u64, u64)>,
    misjudged: BTreeSet<u32>,
    interrupted: BTreeSet<u32>,
    result: FleetResult,
}

fn fingerprint(number: u32) -> SuspectKey {
    let mut bytes = [0; 16];
    bytes[..4].copy_from_slice(&number.to_le_bytes());
    SuspectKey::new(bytes)
}

impl FleetSimulation {
    fn new(load: FleetLoad, seed: u64) -> Self {
        Self {
            load,
            seed,
            now_ms: 1,
            registry: SuspectRegistry::default(),
            runs: Vec::new(),
            lifetimes: (0..load.endpoints).map(|at| (at, (0, 0))).collect(),
            misjudged: BTreeSet::new(),
            interrupted: BTreeSet::new(),
            result: FleetResult::default(),
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        // SplitMix64: the same draws on every run.
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut drawn = self.seed;
        drawn = (drawn ^ (drawn >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        drawn = (drawn ^ (drawn >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (drawn ^ (drawn >> 31)) % below.max(1)
    }

    /// Sends a request to one of its three best available homes, chosen at random.
    fn send(&mut self, run: SimulatedRun) {
        let is_quarantined = self
            .registry
            .quarantine(fingerprint(run.number), self.now_ms)
            .is_some();
        if is_quarantined && run.number != HARMFUL {
            self.misjudged.insert(run.number);
        }
        if is_quarantined || run.sends >= MAX_SENDS {
            return;
        }
        let now_ms = self.now_ms;
        let available = self
            .lifetimes
            .iter()
            .filter(|(_, (_, from_ms))| *from_ms <= now_ms);
        let available = available.map(|(at, _)| EndpointId(*at));
        let key = placement_key(
            run.kind,
            100 + u64::from(run.number),
            run.sends as usize % 3,
        );
        let homes = best_homes(key, available, 3, |id| run.tried & (1 << id.0) == 0);
        if homes.is_empty() {
            return;
        }
        let pick = self.draw(homes.len() as u64) as usize;
        let endpoint = homes[pick].0;
        let run_ms = match run.number {
            HARMFUL => ENDS_AFTER_MS,
            _ => 100 + self.draw(self.load.run_ms),
        };
        if run.number == HARMFUL {
            self.result.harmful_sends += 1;
        }
        self.runs.push(SimulatedRun {
            endpoint,
            sends: run.sends + 1,
            tried: run.tried | (1 << endpoint),
            ends_ms: self.now_ms + run_ms,
            ..run
        });
    }

    fn end_endpoint(&mut self, endpoint: u64) {
        let (number, _) = self.lifetimes[&endpoint];
        self.lifetimes
            .insert(endpoint, (number + 1, self.now_ms + RESTART_MS));
        let lifetime = EndpointId(endpoint * 1_000 + number);
        let (lost, kept): (Vec<SimulatedRun>, Vec<SimulatedRun>) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.endpoint == endpoint);
        self.runs = kept;
        for run in &lost {
            self.interrupted.insert(run.number);
            self.registry
                .note_ended(&[fingerprint(run.number)], lifetime, self.now_ms);
        }
        for run in lost {
            if run.number != HARMFUL {
                self.send(run);
            }
        }
    }

    fn finish(&mut self) {
        let now_ms = self.now_ms;
        let (finished, kept): (Vec<SimulatedRun>, Vec<SimulatedRun>) =
            std::mem::take(&mut self.runs)
                .into_iter()
                .partition(|run| run.ends_ms <= now_ms);
        self.runs = kept;
        for run in finished.iter().filter(|run| run.number != HARMFUL) {
            self.registry
                .note_completed(&[fingerprint(run.number)], now_ms);
        }
        for run in finished.into_iter().filter(|run| run.number == HARMFUL) {
            // Its endpoint has not ended for another reason in the meantime.
            self.runs.push(run);
            self.end_endpoint(run.endpoint);
        }
    }

    fn simulate(mut self, for_ms: u64) -> FleetResult {
        let is_due = |every: Option<u64>, now_ms: u64| {
            every.is_some_and(|every| now_ms.is_multiple_of(every))
        };
        while self.now_ms < for_ms {
            self.now_ms += 1;
            self.finish();
            if self.now_ms.is_multiple_of(self.load.interval_ms) {
                self.result.started += 1;
                let started = self.result.started;
                let is_poll = self
                    .load
                    .poll_every
                    .is_some_and(|every| started.is_multiple_of(every));
                let number = if is_poll { 1 } else { 1 + started };
                let kind = self.draw(self.load.kinds);
                self.begin(number, kind);
            }
            if is_due(self.load.harmful_interval_ms, self.now_ms) {
                self.begin(HARMFUL, 0);
            }
            if is_due(self.load.crash_interval_ms, self.now_ms) {
                let endpoint = self.draw(self.load.endpoints);
                self.end_endpoint(endpoint);
            }
            if self.now_ms.is_multiple_of(300) {
                self.registry.expire(self.now_ms);
            }
        }
        FleetResult {
            misjudged: self.misjudged.len(),
            interrupted: self.interrupted.len(),
            ..self.result
        }
    }

    fn begin(&mut self, number: u32, kind: u64) {
        self.send(SimulatedRun {
            number,
            kind,
            endpoint: 0,
            sends: 0,
            tried: 0,
            ends_ms: 0,
        });
    }
}

/// Five kinds of requests at 18 busy engines.
const BUSY: FleetLoad = FleetLoad {
    endpoints: 18,
    kinds: 5,
    interval_ms: 4,
    run_ms: 2_000,
    harmful_interval_ms: Some(600),
    crash_interval_ms: None,
    poll_every: Some(7),
};

/// Simulates a load with several seeds and sums the results.
fn simulate(load: FleetLoad) -> FleetResult {
    let results = (1..=3).map(|seed| FleetSimulation::new(load, seed).simulate(20_000));
    results.fold(FleetResult::default(), |sum, result| FleetResult {
        started: sum.started + result.started,
        harmful_sends: sum.harmful_sends.max(result.harmful_sends),
        misjudged: sum.misjudged + result.misjudged,
        interrupted: sum.interrupted + result.interrupted,
    })
}

/// Requests that ran beside the harmful one must not be quarantined with it, apart from the few
/// that lost three endpoints in a row.
#[parameterized(
    busy = { BUSY },
    few_endpoints = { FleetLoad { endpoints: 5, kinds: 1, ..BUSY } },
    one_kind = { FleetLoad { kinds: 1, ..BUSY } },
    crashes = { FleetLoad { harmful_interval_ms: None, crash_interval_ms: Some(400), ..BUSY } },
    harmful_request_and_crashes = { FleetLoad { crash_interval_ms: Some(1_000), ..BUSY } },
    frequent_harmful_request = { FleetLoad { harmful_interval_ms: Some(150), ..BUSY } },
)]
fn the_harmful_request_is_quarantined_and_few_others_are(load: FleetLoad) {
    let result = simulate(load);
    assert!(result.interrupted > 50, "{result:?}");
    assert!(result.misjudged * 50 <= result.interrupted, "{result:?}");
    let expected_sends = if load.harmful_interval_ms.is_some() {
        3
    } else {
        0
    };
    assert_eq!(result.harmful_sends, expected_sends, "{result:?}");
}
