//! Simulates a fleet in which a part of prompts crashes endpoints, to check that the part is found
//! in time and that sound parts and requests, which share its endpoints, are hardly ever blamed.
//!
//! Prompts begin with one of a few popular parts; most have a rarer part, the subject, before their
//! private last one. Prompts with the same first part share their endpoints. Boxes exchange reports
//! with delay and loss.

use super::{SuspectRegistry, SuspectReport, VerdictRules};
use crate::gateway::{EndpointId, InterruptedRequest, SuspectKey};
use std::collections::{BTreeMap, BTreeSet};
use yare::parameterized;

const BOXES: usize = 6;
const ENDPOINTS: u64 = 18;
const FIRST_PARTS: u64 = 5;
const SUBJECTS: u64 = 300;
/// The number of endpoints that serve one first part.
const HOMES: u64 = 6;
/// The time until an ended endpoint is back, in milliseconds.
const RESTART_MS: u64 = 3_000;
/// The interval between the reports of a box, in milliseconds.
const REPORT_MS: u64 = 300;
/// The time after the fifth end from which harmful sends are counted as late, in milliseconds.
const BOUND_MS: u64 = 3_000;
/// When harmful requests begin to arrive, and when the simulation ends, in milliseconds.
const HARMFUL_FROM_MS: u64 = 5_000;
const END_MS: u64 = 25_000;
const FIRST_HARMFUL: u64 = 9_000;

/// The load of a simulation.
#[derive(Debug, Clone, Copy)]
struct PartLoad {
    /// The number of harmful parts.
    harmful: u64,
    /// Whether the harmful part is the first of its prompts.
    is_first: bool,
    /// Whether each harmful prompt has the same rare sound part too.
    has_companion: bool,
    /// The average interval between requests with a harmful part, in milliseconds.
    harmful_interval_ms: u64,
    /// The interval between ends for other reasons, in milliseconds.
    crash_interval_ms: Option<u64>,
    /// Whether it is the busiest endpoint that ends for other reasons.
    is_busiest: bool,
    /// The average number of sound requests a second.
    rate: u64,
    /// The upper bound of the run time of a request, in milliseconds.
    run_ms: u64,
    /// Whether parts are evidence; otherwise only requests are.
    has_parts: bool,
}

#[derive(Debug, Default, Clone, Copy)]
struct PartResult {
    runs: u64,
    /// Harmful parts that were quarantined, and the ends that each of them took.
    verdicts: u64,
    ends_sum: u64,
    ends_max: u64,
    late_sends: u64,
    late_max: u64,
    ended: u64,
    /// Sound parts that ever were in quarantine, and the sum over the boxes of the time.
    wrong_parts: u64,
    wrong_part_ms: u64,
    suspected_parts: u64,
    /// Sound requests that ever were in quarantine, of those that lost an endpoint.
    wrong_requests: u64,
    interrupted: u64,
    /// Sound requests that were refused at least once, and those for a part, of all.
    refused: u64,
    refused_for_part: u64,
    started: u64,
}

impl PartResult {
    fn row(&self, harmful: u64) -> String {
        let mean = |sum: u64, count: u64| sum as f64 / count.max(1) as f64;
        format!(
            "verdicts {} of {}, at {:.2} ends (max {}), {:.1} ended a run, late sends {} (max {}), \
             parts {} of {} for {:.2} s, requests {} of {}, refused {} ({} for a part) of {}",
            self.verdicts,
            harmful * self.runs,
            mean(self.ends_sum, self.verdicts),
            self.ends_max,
            mean(self.ended, self.runs),
            self.late_sends,
            self.late_max,
            self.wrong_parts,
            self.suspected_parts,
            mean(self.wrong_part_ms, self.wrong_parts) / 1_000.0 / BOXES as f64,
            self.wrong_requests,
            self.interrupted,
            self.refused,
            self.refused_for_part,
            self.started,
        )
    }
}

#[derive(Debug, Clone)]
struct PartRun {
    keys: InterruptedRequest,
    harmful: Option<u64>,
    first: u64,
    subject: u64,
    at: usize,
    endpoint: u64,
    tried: u64,
    sends: u32,
    rounds: u32,
    ends_ms: u64,
}

enum PartEvent {
    Notice(usize, EndpointId, Vec<InterruptedRequest>),
    Arrival(usize, Vec<SuspectReport>),
    Return(PartRun),
}

struct PartSimulation {
    load: PartLoad,
    seed: u64,
    now_ms: u64,
    registries: Vec<SuspectRegistry>,
    events: BTreeMap<u64, Vec<PartEvent>>,
    runs: Vec<PartRun>,
    lifetimes: BTreeMap<u64, (u64, u64)>,
    next_request: u64,
    harmful_ends: BTreeMap<u64, Vec<u64>>,
    verdict_ends: BTreeMap<u64, u64>,
    wrong_parts: BTreeSet<SuspectKey>,
    wrong_requests: BTreeSet<SuspectKey>,
    suspected_parts: BTreeSet<SuspectKey>,
    interrupted: BTreeSet<SuspectKey>,
    refused: BTreeSet<SuspectKey>,
    result: PartResult,
}

fn harmful_key(number: u64) -> SuspectKey {
    SuspectKey::of_part("model", FIRST_HARMFUL + number)
}

impl PartSimulation {
    fn new(load: PartLoad, rules: VerdictRules, seed: u64) -> Self {
        let registry = SuspectRegistry {
            rules,
            ..SuspectRegistry::default()
        };
        Self {
            load,
            seed: seed.wrapping_mul(0x2545_f491_4f6c_dd1d),
            now_ms: 1,
            registries: vec![registry; BOXES],
            events: BTreeMap::new(),
            runs: Vec::new(),
            lifetimes: (0..ENDPOINTS).map(|at| (at, (0, 0))).collect(),
            next_request: 1,
            harmful_ends: BTreeMap::new(),
            verdict_ends: BTreeMap::new(),
            wrong_parts: BTreeSet::new(),
            wrong_requests: BTreeSet::new(),
            suspected_parts: BTreeSet::new(),
            interrupted: BTreeSet::new(),
            refused: BTreeSet::new(),
            result: PartResult::default(),
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

    fn schedule(&mut self, delay_ms: u64, event: PartEvent) {
        let at_ms = self.now_ms + delay_ms.max(1);
        self.events.entry(at_ms).or_default().push(event);
    }

    fn begin(&mut self, harmful: Option<u64>) {
        let first = match harmful {
            Some(number) if self.load.is_first => FIRST_HARMFUL + number,
            // Half of the prompts begin with the most popular part.
            Some(_) => 0,
            None => self.draw(2 * FIRST_PARTS).saturating_sub(FIRST_PARTS),
        };
        // The lower subjects are up to ten times as frequent as the others.
        let subject = self.draw(SUBJECTS);
        let subject = match self.draw(2) {
            0 => subject,
            _ => subject * subject / SUBJECTS,
        };
        let middle = self.draw(20);
        let has_middle = self.draw(2) == 0;
        let mut parts = vec![first];
        if has_middle {
            parts.push(1_000 + first * 20 + middle);
        }
        match harmful {
            Some(number) if !self.load.is_first => parts.push(FIRST_HARMFUL + number),
            _ => parts.push(2_000 + subject),
        }
        if harmful.is_some() && self.load.has_companion {
            parts.push(2_000 + SUBJECTS);
        }
        let number = self.next_request;
        self.next_request += 1;
        parts.push(100_000 + number);
        let mut request = [0; 16];
        request[..8].copy_from_slice(&number.to_le_bytes());
        let parts = match self.load.has_parts {
            true => SuspectKey::of_shared_parts("model", &parts),
            false => Vec::new(),
        };
        let run = PartRun {
            keys: InterruptedRequest {
                request: SuspectKey::new(request),
                parts,
            },
            harmful,
            first,
            subject,
            at: self.draw(BOXES as u64) as usize,
            endpoint: 0,
            tried: 0,
            sends: 0,
            rounds: 0,
            ends_ms: 0,
        };
        if harmful.is_none() {
            self.result.started += 1;
        }
        self.send(run);
    }

    fn is_refused(&self, run: &PartRun) -> bool {
        let registry = &self.registries[run.at];
        let mut keys = run.keys.parts.iter().chain([&run.keys.request]);
        keys.any(|key| registry.quarantine(*key, self.now_ms).is_some())
    }

    fn send(&mut self, mut run: PartRun) {
        if self.is_refused(&run) {
            let registry = &self.registries[run.at];
            let mut parts = run.keys.parts.iter();
            let is_for_part = parts.any(|part| registry.quarantine(*part, self.now_ms).is_some());
            if run.harmful.is_none() {
                let is_new = self.refused.insert(run.keys.request);
                self.result.refused_for_part += u64::from(is_new && is_for_part);
            }
            return;
        }
        let homes = (0..HOMES).map(|home| (run.first * 4 + home * 5) % ENDPOINTS);
        let (now_ms, tried) = (self.now_ms, run.tried);
        let is_up = |at: &u64| self.lifetimes[at].1 <= now_ms && tried & (1 << at) == 0;
        let homes: Vec<u64> = homes.filter(is_up).collect();
        let others: Vec<u64> = (0..ENDPOINTS).filter(is_up).collect();
        let from = if homes.is_empty() { others } else { homes };
        if from.is_empty() {
            return self.give_up(run);
        }
        let preferred = (run.subject as usize * 7) % from.len();
        let pick = match self.draw(10) {
            0..6 => preferred,
            _ => self.draw(from.len() as u64) as usize,
        };
        run.endpoint = from[pick];
        run.tried |= 1 << run.endpoint;
        run.sends += 1;
        let run_ms = match run.harmful {
            Some(number) => {
                self.note_harmful_send(number);
                35 + self.draw(35)
            }
            None => 100 + self.draw(self.load.run_ms),
        };
        run.ends_ms = self.now_ms + run_ms;
        self.runs.push(run);
    }

    fn note_harmful_send(&mut self, number: u64) {
        let fifth = self.harmful_ends.get(&number).and_then(|ends| ends.get(4));
        if fifth.is_some_and(|fifth| self.now_ms > fifth + BOUND_MS) {
            self.result.late_sends += 1;
        }
    }

    /// The caller repeats a failed request twice, at another box.
    fn give_up(&mut self, mut run: PartRun) {
        if run.rounds >= 2 || run.harmful.is_some() {
            return;
        }
        run = PartRun {
            rounds: run.rounds + 1,
            sends: 0,
            tried: 0,
            at: self.draw(BOXES as u64) as usize,
            ..run
        };
        let delay_ms = 300 + self.draw(1_000);
        self.schedule(delay_ms, PartEvent::Return(run));
    }

    fn end_endpoint(&mut self, endpoint: u64) {
        let (number, up_ms) = self.lifetimes[&endpoint];
        if up_ms > self.now_ms {
            return;
        }
        self.result.ended += 1;
        self.lifetimes
            .insert(endpoint, (number + 1, self.now_ms + RESTART_MS));
        let lifetime = EndpointId(endpoint * 1_000 + number);
        let (lost, kept): (Vec<PartRun>, Vec<PartRun>) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.endpoint == endpoint);
        self.runs = kept;
        for at in 0..BOXES {
            let there = lost.iter().filter(|run| run.at == at);
            let there: Vec<InterruptedRequest> = there.map(|run| run.keys.clone()).collect();
            let delay_ms = 30 + self.draw(30);
            if !there.is_empty() {
                self.schedule(delay_ms, PartEvent::Notice(at, lifetime, there));
            }
        }
        for run in lost {
            if run.harmful.is_none() {
                self.interrupted.insert(run.keys.request);
                self.suspected_parts.extend(run.keys.parts.iter().copied());
            }
            let max_sends = if run.harmful.is_some() { 2 } else { 3 };
            match run.sends < max_sends {
                true => self.send(run),
                false => self.give_up(run),
            }
        }
    }

    fn finish(&mut self) {
        let now_ms = self.now_ms;
        let (finished, kept): (Vec<PartRun>, Vec<PartRun>) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.ends_ms <= now_ms);
        self.runs = kept;
        for run in finished {
            let Some(number) = run.harmful else {
                let keys = InterruptedRequest::keys(&[run.keys]);
                self.registries[run.at].note_completed(&keys, now_ms);
                continue;
            };
            let endpoint = run.endpoint;
            if self.lifetimes[&endpoint].1 > now_ms {
                // Another request ended the endpoint in the same millisecond.
                continue;
            }
            self.runs.push(run);
            self.harmful_ends.entry(number).or_default().push(now_ms);
            self.end_endpoint(endpoint);
        }
    }

    fn broadcast(&mut self, from: usize) {
        let is_full = self.draw(4) == 0;
        let reports = self.registries[from].reports(is_full, self.now_ms);
        if reports.is_empty() {
            return;
        }
        for to in (0..BOXES).filter(|to| *to != from) {
            // One in ten is lost, and all are up to 100 ms late.
            let delay_ms = 1 + self.draw(100);
            if self.draw(10) > 0 {
                self.schedule(delay_ms, PartEvent::Arrival(to, reports.clone()));
            }
        }
    }

    fn handle(&mut self, event: PartEvent) {
        match event {
            PartEvent::Notice(at, lifetime, interrupted) => {
                let keys = InterruptedRequest::keys(&interrupted);
                self.registries[at].note_ended(&keys, lifetime, self.now_ms);
                self.broadcast(at);
            }
            PartEvent::Arrival(to, reports) => {
                self.registries[to].receive(&reports, self.now_ms);
            }
            PartEvent::Return(run) => self.send(run),
        }
    }

    /// Records which parts and requests are in quarantine.
    fn inspect(&mut self) {
        for registry in &self.registries {
            for (key, known) in registry.quarantines(self.now_ms) {
                if !known.is_active(self.now_ms) {
                    continue;
                }
                let number = (0..self.load.harmful).find(|number| harmful_key(*number) == key);
                let companion = SuspectKey::of_part("model", 2_000 + SUBJECTS);
                match number {
                    Some(number) => {
                        let ends = self.harmful_ends.get(&number).map_or(0, Vec::len);
                        self.verdict_ends.entry(number).or_insert(ends as u64);
                    }
                    None if key == companion => {}
                    None if key.kind() == crate::gateway::SuspectKind::Part => {
                        self.wrong_parts.insert(key);
                        self.result.wrong_part_ms += 10;
                    }
                    None if self.interrupted.contains(&key) => {
                        self.wrong_requests.insert(key);
                    }
                    None => {}
                }
            }
        }
    }

    fn simulate(mut self) -> PartResult {
        while self.now_ms < END_MS {
            self.now_ms += 1;
            for event in self.events.remove(&self.now_ms).unwrap_or_default() {
                self.handle(event);
            }
            self.finish();
            if self.draw(1_000) < self.load.rate {
                self.begin(None);
            }
            for number in 0..self.load.harmful {
                let is_due = self.draw(self.load.harmful_interval_ms) == 0;
                if is_due && self.now_ms > HARMFUL_FROM_MS {
                    self.begin(Some(number));
                }
            }
            self.crash_for_another_reason();
            for at in 0..BOXES {
                if (self.now_ms + at as u64 * 50).is_multiple_of(REPORT_MS) {
                    let now_ms = self.now_ms;
                    self.registries[at].expire(now_ms);
                    self.broadcast(at);
                }
            }
            if self.now_ms.is_multiple_of(10) {
                self.inspect();
            }
        }
        let ends = self.verdict_ends.values();
        PartResult {
            runs: 1,
            verdicts: self.verdict_ends.len() as u64,
            ends_sum: ends.clone().sum(),
            ends_max: ends.max().copied().unwrap_or_default(),
            late_max: self.result.late_sends,
            wrong_parts: self.wrong_parts.len() as u64,
            wrong_requests: self.wrong_requests.len() as u64,
            suspected_parts: self.suspected_parts.len() as u64,
            interrupted: self.interrupted.len() as u64,
            refused: self.refused.len() as u64,
            ..self.result
        }
    }

    fn crash_for_another_reason(&mut self) {
        let Some(interval_ms) = self.load.crash_interval_ms else {
            return;
        };
        if self.now_ms < HARMFUL_FROM_MS || !self.now_ms.is_multiple_of(interval_ms) {
            return;
        }
        let drawn = self.draw(ENDPOINTS);
        let runs_at = |at: &u64| self.runs.iter().filter(|run| run.endpoint == *at).count();
        let busiest = (0..ENDPOINTS).max_by_key(runs_at).unwrap_or_default();
        let endpoint = if self.load.is_busiest { busiest } else { drawn };
        self.end_endpoint(endpoint);
    }
}

fn simulate(load: PartLoad, rules: VerdictRules, seeds: u64) -> PartResult {
    let results = (1..=seeds).map(|seed| PartSimulation::new(load, rules, seed).simulate());
    results.fold(PartResult::default(), |sum, one| PartResult {
        runs: sum.runs + one.runs,
        verdicts: sum.verdicts + one.verdicts,
        ends_sum: sum.ends_sum + one.ends_sum,
        ends_max: sum.ends_max.max(one.ends_max),
        late_sends: sum.late_sends + one.late_sends,
        late_max: sum.late_max.max(one.late_max),
        ended: sum.ended + one.ended,
        wrong_parts: sum.wrong_parts + one.wrong_parts,
        wrong_part_ms: sum.wrong_part_ms + one.wrong_part_ms,
        suspected_parts: sum.suspected_parts + one.suspected_parts,
        wrong_requests: sum.wrong_requests + one.wrong_requests,
        interrupted: sum.interrupted + one.interrupted,
        refused: sum.refused + one.refused,
        refused_for_part: sum.refused_for_part + one.refused_for_part,
        started: sum.started + one.started,
    })
}

/// A harmful part in the middle of prompts that share the most popular first part.
const COMMON: PartLoad = PartLoad {
    harmful: 1,
    is_first: false,
    has_companion: false,
    harmful_interval_ms: 300,
    crash_interval_ms: None,
    is_busiest: false,
    rate: 180,
    run_ms: 1_000,
    has_parts: true,
};

const NO_HARMFUL: PartLoad = PartLoad {
    harmful: 0,
    crash_interval_ms: Some(500),
    is_busiest: true,
    ..COMMON
};

/// A harmful part must be found in time, and hardly any sound part or request be refused for it.
#[parameterized(
    common = { COMMON },
    frequent = { PartLoad { harmful_interval_ms: 100, ..COMMON } },
    companion = { PartLoad { has_companion: true, ..COMMON } },
    two = { PartLoad { harmful: 2, ..COMMON } },
    other_ends = { PartLoad { crash_interval_ms: Some(1_000), ..COMMON } },
)]
fn harmful_parts_are_quarantined_and_few_others_are(load: PartLoad) {
    let sum = simulate(load, VerdictRules::default(), 2);
    let row = sum.row(load.harmful);
    assert_eq!(sum.verdicts, load.harmful * sum.runs, "{row}");
    assert_eq!(sum.late_sends, 0, "{row}");
    assert!(sum.wrong_parts * 100 <= sum.suspected_parts, "{row}");
    assert!(sum.refused * 1_000 <= sum.started, "{row}");
}

/// Where endpoints end for other reasons, parts must not cause more refusals than requests did.
#[test]
fn ends_for_other_reasons_do_not_refuse_more_than_without_parts() {
    let without = PartLoad {
        has_parts: false,
        ..NO_HARMFUL
    };
    let rules = VerdictRules::default();
    let (sum, today) = (simulate(NO_HARMFUL, rules, 2), simulate(without, rules, 2));
    assert!(
        sum.refused <= today.refused,
        "{} {}",
        sum.row(0),
        today.row(0)
    );
    assert!(sum.refused_for_part * 100 <= sum.started, "{}", sum.row(0));
}

/// Prints the figures by which the rules were chosen, for as many seeds as `SEEDS` says.
#[parameterized(
    common = { COMMON },
    frequent = { PartLoad { harmful_interval_ms: 100, ..COMMON } },
    rare = { PartLoad { harmful_interval_ms: 2_000, ..COMMON } },
    busy = { PartLoad { rate: 250, run_ms: 2_500, ..COMMON } },
    light = { PartLoad { rate: 40, ..COMMON } },
    companion = { PartLoad { has_companion: true, ..COMMON } },
    two = { PartLoad { harmful: 2, ..COMMON } },
    three = { PartLoad { harmful: 3, ..COMMON } },
    other_ends = { PartLoad { crash_interval_ms: Some(1_000), ..COMMON } },
    rare_other_ends = {
        PartLoad { crash_interval_ms: Some(500), harmful_interval_ms: 1_000, ..COMMON }
    },
    none_busiest = { NO_HARMFUL },
    none_busiest_long = { PartLoad { run_ms: 2_500, ..NO_HARMFUL } },
    none_busiest_light = { PartLoad { rate: 40, ..NO_HARMFUL } },
    none_any = { PartLoad { is_busiest: false, ..NO_HARMFUL } },
)]
#[ignore = "prints figures and takes minutes"]
fn strategies(load: PartLoad) {
    let all = VerdictRules::default();
    let plain = VerdictRules {
        explains: false,
        ..all
    };
    let explaining = VerdictRules {
        weighs_completions: false,
        weighs_others: false,
        ..all
    };
    let completions = VerdictRules {
        weighs_completions: true,
        confirmation_ms: 0,
        ..explaining
    };
    let confirmation = VerdictRules {
        weighs_others: false,
        ..all
    };
    let strategies = [
        ("plain 3", plain),
        ("explaining 3", explaining),
        ("+ completions", completions),
        ("+ confirmation", confirmation),
        ("+ others", all),
        (
            "all, from 4",
            VerdictRules {
                common_ends: 4,
                ..all
            },
        ),
        (
            "all, from 5",
            VerdictRules {
                common_ends: 5,
                ..all
            },
        ),
    ];
    let seeds = std::env::var("SEEDS").map_or(1, |seeds| seeds.parse().unwrap());
    let today = PartLoad {
        has_parts: false,
        ..load
    };
    let rows = strategies.map(|(name, rules)| (name, load, rules));
    let rows = [("requests only", today, all)].into_iter().chain(rows);
    let rows = rows.map(|(name, load, rules)| {
        let sum = simulate(load, rules, seeds);
        format!("{name:16} {}\n", sum.row(load.harmful))
    });
    println!("{load:?}\n{}", rows.collect::<String>());
}
