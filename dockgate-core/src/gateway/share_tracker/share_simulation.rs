//! Simulation of a fleet in which the demand of workspaces exceeds the capacity of the engines.
//!
//! The boxes of three failure domains exchange usage reports with a configurable latency, and
//! engines process prompts in order of arrival.

use super::ShareTracker;
use crate::gateway::{
    AdmissionRequest, AdmissionRule, AdmissionVerdict, DomainKey, EngineLoad, EngineSpec,
    PrefillSpeed, PromptPart, RunKey, ShareHeader, ShareLevel, ShareScope, UsageRow,
};
use crate::ids::{BoxKey, Incarnation};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Range;

const DOMAINS: usize = 3;
const DOMAIN_BOXES: usize = 16;
pub(super) const BOXES: usize = DOMAINS * DOMAIN_BOXES;
/// Default number of boxes that receive the requests of a workspace.
const DEFAULT_BOXES: usize = 6;
const ENGINES: usize = 10;
/// Throughput of an engine, in tokens per millisecond.
const ENGINE_SPEED: f64 = 40.0;
/// Throughput of all engines, in tokens per second.
pub(super) const CAPACITY: f64 = ENGINE_SPEED * ENGINES as f64 * 1_000.0;
const WINDOW_MS: u64 = 4_000;
const HEARTBEAT_MS: Range<u64> = 270..330;
const RUN_MS: u64 = 1_000;
/// Time after which an engine rejects an admitted prompt.
const REJECTION_MS: u64 = 20;
/// Simulated time in seconds.
const DURATION_S: usize = 24;
const SPEC: EngineSpec = EngineSpec {
    slots: 64,
    memory: 10_000_000,
};

/// Load of one workspace, with exponentially distributed gaps between requests.
#[derive(Debug, Clone)]
pub(super) struct Flood {
    /// Demand as a fraction of the throughput of all engines.
    pub(super) demand: f64,
    /// Tokens per prompt.
    pub(super) tokens: u32,
    /// Active periods in seconds.
    pub(super) spans: Vec<Range<f64>>,
    /// Number of boxes that receive its requests.
    pub(super) boxes: usize,
    /// Fraction of its requests that boxes shed, as they are short of processor time.
    pub(super) shed_fraction: f64,
    /// Fraction of its admitted prompts that engines do not begin.
    pub(super) lost_fraction: f64,
    /// Time after which its callers move on to other boxes, in milliseconds.
    pub(super) move_interval_ms: Option<u64>,
}

impl Flood {
    pub(super) fn new(demand: f64, tokens: u32) -> Self {
        Self {
            demand,
            tokens,
            spans: vec![0.0..DURATION_S as f64],
            boxes: DEFAULT_BOXES,
            shed_fraction: 0.0,
            lost_fraction: 0.0,
            move_interval_ms: None,
        }
    }

    /// Starts the load at `second` instead of 0.
    pub(super) fn since(mut self, second: f64) -> Self {
        self.spans = vec![second..DURATION_S as f64];
        self
    }

    pub(super) fn spans(mut self, spans: impl Iterator<Item = Range<f64>>) -> Self {
        self.spans = spans.collect();
        self
    }

    pub(super) const fn boxes(mut self, boxes: usize) -> Self {
        self.boxes = boxes;
        self
    }

    pub(super) const fn shed(mut self, fraction: f64) -> Self {
        self.shed_fraction = fraction;
        self
    }

    pub(super) const fn lost(mut self, fraction: f64) -> Self {
        self.lost_fraction = fraction;
        self
    }

    pub(super) const fn moving_every(mut self, interval_ms: u64) -> Self {
        self.move_interval_ms = Some(interval_ms);
        self
    }

    /// Returns a box that receives its requests; `random` is a random number from 0 to 1.
    fn box_at(&self, ms: u64, random: f64) -> usize {
        let moves = self.move_interval_ms.map_or(0, |interval| ms / interval) as usize;
        let position = (moves * self.boxes + (random * self.boxes as f64) as usize) % BOXES;
        // Boxes are selected from all domains in turn.
        position % DOMAINS * DOMAIN_BOXES + position / DOMAINS
    }

    fn is_active_at(&self, ms: u64) -> bool {
        let second = ms as f64 / 1_000.0;
        self.spans.iter().any(|span| span.contains(&second))
    }
}

/// Parameters of a simulation.
#[derive(Debug, Clone, Copy)]
pub(super) struct SimulationConfig {
    /// Seed of the random numbers.
    pub(super) seed: u64,
    /// Latency of messages between boxes, in milliseconds.
    pub(super) latency_ms: u64,
    /// Configured capacity over the throughput of all engines.
    pub(super) capacity_ratio: f64,
}

/// Usage of one workspace in one second, in tokens.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct UsageSecond {
    pub(super) requested: u64,
    pub(super) admitted: u64,
    pub(super) refused: u64,
}

/// Usage by workspace and second.
#[derive(Debug)]
pub(super) struct SimulationOutcome {
    pub(super) rows: Vec<Vec<UsageSecond>>,
    tokens: Vec<u32>,
}

impl SimulationOutcome {
    /// Returns the lowest service of any workspace over any `seconds` in each of which it was
    /// refused requests, relative to its demand or to the best served workspace, whichever is less.
    /// Three prompts are added to the service as a tolerance.
    pub(super) fn min_fair_ratio(&self, seconds: usize) -> f64 {
        let starts = 1..=DURATION_S - seconds;
        let ratios = starts.flat_map(|start| {
            let span = start..start + seconds;
            let sum = move |row: &[UsageSecond]| -> u64 {
                row[span.clone()].iter().map(|second| second.admitted).sum()
            };
            let best = self.rows.iter().map(|row| sum(row)).max().unwrap_or(0);
            let rows = self.rows.iter().zip(&self.tokens);
            rows.filter_map(move |(row, tokens)| {
                let period = &row[start..start + seconds];
                let requested: u64 = period.iter().map(|second| second.requested).sum();
                let expected = requested.min(best).max(1) as f64;
                let admitted: u64 = period.iter().map(|second| second.admitted).sum();
                let admitted = admitted + 3 * u64::from(*tokens);
                let is_refused = period.iter().all(|second| second.refused > 0);
                is_refused.then_some(admitted as f64 / expected)
            })
        });
        ratios.fold(f64::INFINITY, f64::min)
    }

    /// Returns the utilization of the engines in a period.
    pub(super) fn utilization(&self, seconds: Range<usize>) -> f64 {
        let admitted = self.rows.iter().flat_map(|row| &row[seconds.clone()]);
        let admitted: u64 = admitted.map(|second| second.admitted).sum();
        admitted as f64 / (CAPACITY * seconds.len() as f64)
    }
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Heartbeat(usize),
    Request(usize),
    Rows {
        to: usize,
        from: usize,
        scope: ShareScope,
        sequence: u32,
        rows: Vec<(u64, u64, u64, u64)>,
    },
    Start(usize, u32),
    End(usize, u32),
    Rejection {
        engine: usize,
        run: u32,
        entry: usize,
        workspace: u64,
        units: u64,
        level: ShareLevel,
    },
}

struct ShareSimulation {
    config: SimulationConfig,
    random_state: u64,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, u64, SimulationEvent)>>,
    event_count: u64,
    trackers: Vec<ShareTracker>,
    sequences: Vec<u32>,
    engines: Vec<EngineLoad>,
    floods: Vec<Flood>,
    outcome: SimulationOutcome,
}

/// Simulates a fleet under the given load.
pub(super) fn simulate(floods: &[Flood], config: SimulationConfig) -> SimulationOutcome {
    ShareSimulation::new(floods, config).run()
}

const fn domain_of(index: usize) -> usize {
    index / DOMAIN_BOXES
}

/// Returns the box that coordinates a domain.
const fn coordinator(domain: usize) -> usize {
    domain * DOMAIN_BOXES
}

impl ShareSimulation {
    fn new(floods: &[Flood], config: SimulationConfig) -> Self {
        let speed = PrefillSpeed {
            fixed_us: 20_000,
            kilotoken_us: (1_000_000.0 / ENGINE_SPEED) as u32,
            megapair_us: 0,
        };
        let mut simulation = Self {
            config,
            random_state: config.seed,
            now_ms: 0,
            events: BinaryHeap::new(),
            event_count: 0,
            trackers: (0..BOXES).map(|_| ShareTracker::new(WINDOW_MS)).collect(),
            sequences: vec![0; BOXES],
            engines: vec![EngineLoad::new(SPEC, speed.into()); ENGINES],
            floods: floods.to_vec(),
            outcome: SimulationOutcome {
                rows: vec![vec![UsageSecond::default(); DURATION_S]; floods.len()],
                tokens: floods.iter().map(|flood| flood.tokens).collect(),
            },
        };
        for index in 0..BOXES {
            let first_ms = simulation.random_in(0..300);
            simulation.schedule(first_ms, SimulationEvent::Heartbeat(index));
        }
        (0..floods.len()).for_each(|flood| simulation.schedule(0, SimulationEvent::Request(flood)));
        simulation
    }

    fn random(&mut self) -> f64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random_state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn random_in(&mut self, range: Range<u64>) -> u64 {
        range.start + (self.random() * (range.end - range.start) as f64) as u64
    }

    fn schedule(&mut self, at_ms: u64, event: SimulationEvent) {
        self.event_count += 1;
        self.events.push(Reverse((at_ms, self.event_count, event)));
    }

    fn run(mut self) -> SimulationOutcome {
        while let Some(Reverse((at_ms, _, event))) = self.events.pop() {
            if at_ms >= DURATION_S as u64 * 1_000 {
                break;
            }
            self.now_ms = at_ms;
            match event {
                SimulationEvent::Heartbeat(index) => self.heartbeat(index),
                SimulationEvent::Request(flood) => self.next_request(flood),
                SimulationEvent::Rows {
                    to,
                    from,
                    scope,
                    sequence,
                    rows,
                } => self.receive(to, from, scope, sequence, &rows),
                SimulationEvent::Start(engine, run) => {
                    self.engines[engine].start(run_key(run), at_ms, false);
                }
                SimulationEvent::End(engine, run) => self.engines[engine].end(run_key(run)),
                SimulationEvent::Rejection {
                    engine,
                    run,
                    entry,
                    workspace,
                    units,
                    level,
                } => {
                    self.engines[engine].end(run_key(run));
                    self.trackers[entry].retract_admission(workspace, units, level, at_ms);
                }
            }
        }
        self.outcome
    }

    fn heartbeat(&mut self, index: usize) {
        let now_ms = self.now_ms;
        self.trackers[index].tick(now_ms, CAPACITY * self.config.capacity_ratio);
        let coordinator_index = coordinator(domain_of(index));
        let rows = self.trackers[index].rows(now_ms);
        if coordinator_index == index {
            let domain = DomainKey(domain_of(index) as u32);
            let rows = self.trackers[index].domain_rows(now_ms);
            let others = (0..DOMAINS).filter(|other| *other != domain_of(index));
            for other in others {
                self.send(index, coordinator(other), ShareScope::Domain(domain), &rows);
            }
        } else {
            self.send(index, coordinator_index, ShareScope::Own, &rows);
        }
        let wait_ms = self.random_in(HEARTBEAT_MS);
        self.schedule(now_ms + wait_ms, SimulationEvent::Heartbeat(index));
    }

    fn send(&mut self, from: usize, to: usize, scope: ShareScope, rows: &[UsageRow]) {
        self.sequences[from] += 1;
        let rows = rows.iter().map(|row| {
            (
                row.workspace,
                row.requested,
                row.requested_long,
                row.admitted,
            )
        });
        let event = SimulationEvent::Rows {
            to,
            from,
            scope,
            sequence: self.sequences[from],
            rows: rows.collect(),
        };
        let arrives_ms = self.now_ms + 1 + self.config.latency_ms;
        self.schedule(arrives_ms, event);
    }

    fn receive(
        &mut self,
        to: usize,
        from: usize,
        scope: ShareScope,
        sequence: u32,
        rows: &[(u64, u64, u64, u64)],
    ) {
        let header = ShareHeader {
            peer: BoxKey(from as u32),
            incarnation: Incarnation(1),
            sequence,
            scope,
        };
        let rows: Vec<UsageRow> = rows
            .iter()
            .map(
                |(workspace, requested, requested_long, admitted)| UsageRow {
                    workspace: *workspace,
                    requested: *requested,
                    requested_long: *requested_long,
                    admitted: *admitted,
                },
            )
            .collect();
        self.trackers[to].merge(header, &rows, self.now_ms);
        if scope == ShareScope::Own {
            let rows = self.trackers[to].fleet_rows(self.now_ms);
            self.send(to, from, ShareScope::Fleet, &rows);
        }
    }

    fn next_request(&mut self, flood: usize) {
        let spec = self.floods[flood].clone();
        if spec.is_active_at(self.now_ms) {
            let index = spec.box_at(self.now_ms, self.random());
            self.request(flood, index, &spec);
        }
        let gap_ms = f64::from(spec.tokens) * 1_000.0 / (CAPACITY * spec.demand);
        let wait_ms = -gap_ms * (1.0 - self.random()).ln();
        // Rounds to whole milliseconds at random, to keep the mean.
        let wait_ms = (wait_ms + self.random()) as u64;
        self.schedule(self.now_ms + wait_ms, SimulationEvent::Request(flood));
    }

    /// Returns whether an event of this probability occurs.
    fn occurs(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.random() < probability
    }

    fn request(&mut self, flood: usize, index: usize, spec: &Flood) {
        let tokens = spec.tokens;
        let units = u64::from(tokens);
        let workspace = flood as u64 + 1;
        let second = self.now_ms as usize / 1_000;
        self.outcome.rows[flood][second].requested += units;
        if self.occurs(spec.shed_fraction) {
            self.outcome.rows[flood][second].refused += units;
            return;
        }
        self.trackers[index].record_request(workspace, units, self.now_ms);
        let level = self.trackers[index].level(workspace, units, self.now_ms);
        let number = self.event_count as u32;
        let request = AdmissionRequest {
            workspace,
            objective_ms: 1_000,
            shortest_objective_ms: 600,
            budget_ms: 6_000,
            level,
            input: tokens,
            output: 0,
            parts: vec![PromptPart {
                id: u64::from(number),
                tokens,
            }],
        };
        let first = (self.random() * ENGINES as f64) as usize;
        let next = 1 + (self.random() * (ENGINES - 1) as f64) as usize;
        let homes = [first, (first + next) % ENGINES];
        let rule = AdmissionRule::default();
        let home = homes.into_iter().find(|home| {
            let verdict = rule.decide(&self.engines[*home], &request, 0, self.now_ms);
            matches!(verdict, AdmissionVerdict::Granted(_))
        });
        let Some(home) = home else {
            self.outcome.rows[flood][second].refused += units;
            return;
        };
        self.trackers[index].record_admission(workspace, units, level, self.now_ms);
        let first_ms = self.engines[home].first_event_ms(&request, self.now_ms) as u64;
        self.engines[home].place(run_key(number), &request, self.now_ms);
        if self.occurs(spec.lost_fraction) {
            self.outcome.rows[flood][second].refused += units;
            let rejection = SimulationEvent::Rejection {
                engine: home,
                run: number,
                entry: index,
                workspace,
                units,
                level,
            };
            self.schedule(self.now_ms + REJECTION_MS, rejection);
            return;
        }
        self.outcome.rows[flood][second].admitted += units;
        let started_ms = self.now_ms + first_ms;
        self.schedule(started_ms, SimulationEvent::Start(home, number));
        self.schedule(started_ms + RUN_MS, SimulationEvent::End(home, number));
    }
}

const fn run_key(number: u32) -> RunKey {
    RunKey {
        entry: BoxKey(0),
        number,
    }
}
