//! A simulation of 60 engines at three speeds, whose rates are measured from their first events.

use super::*;
use crate::gateway::{
    AdmissionRequest, AdmissionRule, AdmissionVerdict, EngineRegistry, EngineSpec, LatencyLimits,
    PrefillMeter, PrefillWork, PromptPart, PromptShape, RunKey, tie_break, weighted_homes,
};
use crate::ids::BoxKey;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use yare::parameterized;

const ENGINES: u64 = 60;
const SERVICE: ReadyService = ReadyService {
    key: 1,
    engines: ENGINES as usize,
};
const SUBJECTS: u64 = 1_200;
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];
const SPEC: EngineSpec = EngineSpec {
    slots: 64,
    memory: 232_000,
};
/// Shared tokens of each prompt, which are cached after the first one of its subject.
const SHARED: u32 = 1_600;
const OWN: u32 = 900;
/// The time of a first event apart from the prefill, and of a run after its first event.
const FIXED_MS: u64 = 25;
const OUTPUT_MS: u64 = 400;
const TICK_MS: u64 = 300;
const SLOW_PHASE_MS: u64 = 600;

/// Returns a random number from 0 to 1.
fn draw(one: u64, other: u64) -> f64 {
    tie_break(one, EndpointId(other)) as f64 / u64::MAX as f64
}

struct Fleet {
    speeds: [f64; 3],
    uses_weights: bool,
    has_slow_phases: bool,
    engines: EngineRegistry,
    weights: EngineWeights,
    /// The weights computed so far, and how many of them were not 1.
    computed: usize,
    other_than_1: usize,
    free_at: Vec<f64>,
    /// Due first events and, if set, ends of runs.
    steps: BinaryHeap<Reverse<(u64, bool, u32, EndpointId)>>,
}

impl Fleet {
    fn new(speeds: [f64; 3], uses_weights: bool) -> Self {
        Self {
            speeds,
            uses_weights,
            has_slow_phases: true,
            engines: EngineRegistry::default(),
            weights: EngineWeights::default(),
            computed: 0,
            other_than_1: 0,
            free_at: vec![0.0; ENGINES as usize],
            steps: BinaryHeap::new(),
        }
    }

    /// Places prompts for `seconds`, at `load` times the capacity of the engines; returns the
    /// portion declined from `counted_ms` on.
    fn run(&mut self, load: f64, seconds: u64, counted_ms: u64) -> f64 {
        let prompt_ms = PrefillMeter::nominal_ms(PrefillWork::new(SHARED, OWN));
        let slow_portion = 1.0 / 7.0 * (1.0 - 1.0 / 2.5);
        let capacity = self.speeds.iter().sum::<f64>() / 3.0 * (1.0 - slow_portion);
        let gap_ms = prompt_ms / (load * capacity * ENGINES as f64);
        let (mut now, mut next_tick_ms, mut declined, mut counted) = (0.0, 0, 0, 0);
        for number in 0.. {
            now -= draw(number.into(), 1).ln() * gap_ms;
            let now_ms = now as u64;
            if now_ms >= seconds * 1_000 {
                break;
            }
            self.advance(now_ms);
            if now_ms >= next_tick_ms {
                self.tick(now_ms);
                next_tick_ms = now_ms + TICK_MS;
            }
            let is_placed = self.place(number, now_ms);
            counted += u32::from(now_ms >= counted_ms);
            declined += u32::from(now_ms >= counted_ms && !is_placed);
        }
        f64::from(declined) / f64::from(counted)
    }

    fn advance(&mut self, now_ms: u64) {
        while let Some(Reverse((at_ms, is_end, run, engine))) = self.steps.peek().copied() {
            match is_end {
                _ if at_ms > now_ms => return,
                true => self.engines.end(engine, key(run)),
                false => self.engines.start(engine, key(run), at_ms, true),
            }
            self.steps.pop();
        }
    }

    fn tick(&mut self, now_ms: u64) {
        for (id, rate) in self.engines.prefill_rates() {
            self.weights.measure(id, rate, now_ms);
        }
        self.weights.refresh(|_| Some(SERVICE), now_ms);
        self.computed += ENGINES as usize;
        self.other_than_1 += self.weights.homes().iter().count();
    }

    fn place(&mut self, number: u32, now_ms: u64) -> bool {
        let subject = (draw(number.into(), 2) * SUBJECTS as f64) as u64;
        let part = |id, tokens| PromptPart { id, tokens };
        let prompt = PromptShape {
            input: SHARED + OWN,
            output: 40,
            parts: vec![
                part(subject, SHARED),
                part(1_000_000 + u64::from(number), OWN),
            ],
            ..PromptShape::default()
        };
        let limits = LatencyLimits {
            objective_ms: 600,
            shortest_objective_ms: 600,
            budget_ms: 6_000,
        };
        let request = AdmissionRequest::new(1, &prompt, limits);
        let none = HomeWeights::default();
        let weights = if self.uses_weights {
            self.weights.homes()
        } else {
            &none
        };
        let homes = weighted_homes(subject, (0..ENGINES).map(EndpointId), weights, 2, |_| true);
        for home in homes {
            let load = self.engines.load_mut(home, SPEC);
            let verdict = AdmissionRule::default().decide(load, &request, 0, now_ms);
            if !matches!(verdict, AdmissionVerdict::Granted(_)) {
                continue;
            }
            let nominal_ms = PrefillMeter::nominal_ms(load.work_of(&request));
            load.place(key(number), &request, now_ms);
            let free_at = &mut self.free_at[home.0 as usize];
            let begins = free_at.max(now_ms as f64);
            let phase = draw(begins as u64 / SLOW_PHASE_MS, 1_000 + home.0);
            let is_slow = self.has_slow_phases && phase < 1.0 / 7.0;
            let slowdown = if is_slow { 2.5 } else { 1.0 };
            *free_at = begins + nominal_ms * slowdown / self.speeds[home.0 as usize % 3];
            let first_ms = *free_at as u64 + FIXED_MS;
            let steps = [(first_ms, false), (first_ms + OUTPUT_MS, true)];
            let steps = steps.map(|(at_ms, is_end)| Reverse((at_ms, is_end, number, home)));
            self.steps.extend(steps);
            return true;
        }
        false
    }

    /// Counts the engines whose weight is within a step of their speed.
    fn matching(&self) -> usize {
        let engines = 0..ENGINES as usize;
        let matching = engines.filter(|engine| {
            let weight = self.weights.homes().get(EndpointId(*engine as u64));
            (weight / self.speeds[engine % 3]).log2().abs() <= 0.3
        });
        matching.count()
    }
}

const fn key(number: u32) -> RunKey {
    RunKey {
        entry: BoxKey(1),
        number,
    }
}

/// Guards against slow engines that decline prompts while fast ones are idle.
#[parameterized(low = { 0.3 }, middle = { 0.6 }, high = { 0.75 }, near_capacity = { 0.9 })]
fn fewer_prompts_are_declined_with_weights(load: f64) {
    let [without, with] = [false, true].map(|uses| Fleet::new(SPEEDS, uses).run(load, 15, 5_000));
    assert!(
        with < without || without == 0.0 && with == 0.0,
        "{with} in place of {without}"
    );
}

/// Guards against rates that are known only after a long time, or follow single slow phases.
#[parameterized(low = { 0.3 }, high = { 0.9 })]
fn weights_match_the_speeds_after_five_seconds(load: f64) {
    let mut fleet = Fleet::new(SPEEDS, true);
    fleet.run(load, 5, 0);
    let matching = fleet.matching();
    assert!(matching * 10 >= ENGINES as usize * 9, "{matching} match");
}

/// Guards against weights in a fleet of equal engines: prompts would be placed differently, and the
/// rates be reported.
#[parameterized(
    steady = { 0.3, false, 0 },
    steady_and_busy = { 0.9, false, 0 },
    slow_phases = { 0.3, true, 1 },
    slow_phases_and_busy = { 0.8, true, 1 },
)]
fn equal_engines_have_weight_1(load: f64, has_slow_phases: bool, max_permille: usize) {
    let mut fleet = Fleet::new([1.0; 3], true);
    fleet.has_slow_phases = has_slow_phases;
    fleet.run(load, 40, 0);
    let (other, computed) = (fleet.other_than_1, fleet.computed);
    assert!(
        other * 1_000 <= computed * max_permille,
        "{other} of {computed}"
    );
}
