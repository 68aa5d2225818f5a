//! A fleet without a network, whose workspaces ask for more than its engines read.
//!
//! The boxes of each of three failure domains count and tell each other what was requested and admitted, as late as a play
//! says; engines read prompts in order of arrival.

use super::ShareTracker;
use crate::gateway::{
    AdmissionRule, DomainKey, EngineAsk, EngineLoad, EngineSpec, EngineVerdict, PromptPart,
    ReadSpeed, RunKey, ShareHeader, ShareScope, UsageRow,
};
use crate::ids::{BoxKey, Incarnation};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Range;

const DOMAINS: usize = 3;
const DOMAIN_BOXES: usize = 16;
pub(super) const BOXES: usize = DOMAINS * DOMAIN_BOXES;
/// At how many boxes the callers of a workspace are, unless a play says otherwise.
const FEW_BOXES: usize = 6;
const ENGINES: usize = 10;
/// What an engine reads in a millisecond, in tokens.
const ENGINE_SPEED: f64 = 40.0;
/// What all engines read in a second, in tokens.
pub(super) const CAPACITY: f64 = ENGINE_SPEED * ENGINES as f64 * 1_000.0;
const WINDOW_MS: u64 = 4_000;
const BEAT_MS: Range<u64> = 270..330;
const RUN_MS: u64 = 1_000;
/// For how long a play lasts, in seconds.
const LENGTH_S: usize = 24;
const SPEC: EngineSpec = EngineSpec {
    slots: 64,
    memory: 10_000_000,
};

/// A workspace that asks without a pause while it does.
#[derive(Debug, Clone)]
pub(super) struct Flood {
    /// What it asks for, in parts of what all engines read.
    pub(super) part: f64,
    /// Tokens of a prompt.
    pub(super) tokens: u32,
    /// The seconds in which it asks.
    pub(super) spans: Vec<Range<f64>>,
    /// At how many boxes its callers are.
    pub(super) boxes: usize,
}

impl Flood {
    pub(super) fn new(part: f64, tokens: u32) -> Self {
        Self {
            part,
            tokens,
            spans: vec![0.0..LENGTH_S as f64],
            boxes: FEW_BOXES,
        }
    }

    pub(super) fn since(mut self, second: f64) -> Self {
        self.spans = vec![second..LENGTH_S as f64];
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

    fn asks_at(&self, ms: u64) -> bool {
        let second = ms as f64 / 1_000.0;
        self.spans.iter().any(|span| span.contains(&second))
    }
}

/// How a play goes beside what is requested for.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlayRule {
    /// What is drawn.
    pub(super) seed: u64,
    /// How long a message between boxes takes, in milliseconds.
    pub(super) hop_ms: u64,
    /// What the configuration says that the engines make, in parts of what they read.
    pub(super) stated: f64,
}

/// What one workspace requested for and got in one second, in tokens.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PlaySecond {
    pub(super) requested: u64,
    pub(super) admitted: u64,
    pub(super) refused: u64,
}

/// What each workspace got in each second.
#[derive(Debug)]
pub(super) struct PlayOutcome {
    pub(super) rows: Vec<Vec<PlaySecond>>,
    tokens: Vec<u32>,
}

impl PlayOutcome {
    /// Returns the least that a workspace got over so many seconds in each of which it was refused something: as a
    /// part of what it requested for, or of what the best served got if that is less, and three prompts aside.
    pub(super) fn least_part(&self, seconds: usize) -> f64 {
        let starts = 1..=LENGTH_S - seconds;
        let parts = starts.flat_map(|start| {
            let span = start..start + seconds;
            let sum = move |row: &[PlaySecond]| -> u64 {
                row[span.clone()].iter().map(|second| second.admitted).sum()
            };
            let best = self.rows.iter().map(|row| sum(row)).max().unwrap_or(0);
            let rows = self.rows.iter().zip(&self.tokens);
            rows.filter_map(move |(row, tokens)| {
                let waited = &row[start..start + seconds];
                let requested: u64 = waited.iter().map(|second| second.requested).sum();
                let most = requested.min(best).max(1) as f64;
                let got: u64 = waited.iter().map(|second| second.admitted).sum();
                let got = got + 3 * u64::from(*tokens);
                let waits = waited.iter().all(|second| second.refused > 0);
                waits.then_some(got as f64 / most)
            })
        });
        parts.fold(f64::INFINITY, f64::min)
    }

    /// Returns which part of what the engines can read was read of all prompts in these seconds.
    pub(super) fn used_part(&self, seconds: Range<usize>) -> f64 {
        let admitted = self.rows.iter().flat_map(|row| &row[seconds.clone()]);
        let admitted: u64 = admitted.map(|second| second.admitted).sum();
        admitted as f64 / (CAPACITY * seconds.len() as f64)
    }
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PlayEvent {
    Beat(usize),
    Ask(usize),
    Rows {
        to: usize,
        from: usize,
        scope: ShareScope,
        sequence: u32,
        rows: Vec<(u64, u64, u64, u64)>,
    },
    Start(usize, u32),
    End(usize, u32),
}

struct SharePlay {
    rule: PlayRule,
    draws: u64,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, u64, PlayEvent)>>,
    count: u64,
    windows: Vec<ShareTracker>,
    sequences: Vec<u32>,
    engines: Vec<EngineLoad>,
    floods: Vec<Flood>,
    outcome: PlayOutcome,
}

/// Plays floods against a fleet.
pub(super) fn play(floods: &[Flood], rule: PlayRule) -> PlayOutcome {
    SharePlay::new(floods, rule).run()
}

const fn domain_of(at: usize) -> usize {
    at / DOMAIN_BOXES
}

/// The box that coordinates a domain.
const fn coordinator(domain: usize) -> usize {
    domain * DOMAIN_BOXES
}

impl SharePlay {
    fn new(floods: &[Flood], rule: PlayRule) -> Self {
        let speed = ReadSpeed {
            fixed_us: 20_000,
            kilotoken_us: (1_000_000.0 / ENGINE_SPEED) as u32,
            megapair_us: 0,
        };
        let mut play = Self {
            rule,
            draws: rule.seed,
            now_ms: 0,
            events: BinaryHeap::new(),
            count: 0,
            windows: (0..BOXES).map(|_| ShareTracker::new(WINDOW_MS)).collect(),
            sequences: vec![0; BOXES],
            engines: vec![EngineLoad::new(SPEC, speed.into()); ENGINES],
            floods: floods.to_vec(),
            outcome: PlayOutcome {
                rows: vec![vec![PlaySecond::default(); LENGTH_S]; floods.len()],
                tokens: floods.iter().map(|flood| flood.tokens).collect(),
            },
        };
        for at in 0..BOXES {
            let first_ms = play.draw_in(0..300);
            play.at(first_ms, PlayEvent::Beat(at));
        }
        (0..floods.len()).for_each(|flood| play.at(0, PlayEvent::Ask(flood)));
        play
    }

    fn draw(&mut self) -> f64 {
        self.draws = self.draws.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.draws;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn draw_in(&mut self, range: Range<u64>) -> u64 {
        range.start + (self.draw() * (range.end - range.start) as f64) as u64
    }

    fn at(&mut self, at_ms: u64, event: PlayEvent) {
        self.count += 1;
        self.events.push(Reverse((at_ms, self.count, event)));
    }

    fn run(mut self) -> PlayOutcome {
        while let Some(Reverse((at_ms, _, event))) = self.events.pop() {
            if at_ms >= LENGTH_S as u64 * 1_000 {
                break;
            }
            self.now_ms = at_ms;
            match event {
                PlayEvent::Beat(at) => self.beat(at),
                PlayEvent::Ask(flood) => self.next_ask(flood),
                PlayEvent::Rows {
                    to,
                    from,
                    scope,
                    sequence,
                    rows,
                } => self.hear(to, from, scope, sequence, &rows),
                PlayEvent::Start(engine, run) => {
                    self.engines[engine].start(run_key(run), at_ms, false);
                }
                PlayEvent::End(engine, run) => self.engines[engine].end(run_key(run)),
            }
        }
        self.outcome
    }

    fn beat(&mut self, at: usize) {
        let now_ms = self.now_ms;
        self.windows[at].tick(now_ms, CAPACITY * self.rule.stated);
        let near = coordinator(domain_of(at));
        let rows = self.windows[at].rows(now_ms);
        if near == at {
            let domain = DomainKey(domain_of(at) as u32);
            let rows = self.windows[at].domain_rows(now_ms);
            let others = (0..DOMAINS).filter(|other| *other != domain_of(at));
            for other in others {
                self.send(at, coordinator(other), ShareScope::Domain(domain), &rows);
            }
        } else {
            self.send(at, near, ShareScope::Own, &rows);
        }
        let wait_ms = self.draw_in(BEAT_MS);
        self.at(now_ms + wait_ms, PlayEvent::Beat(at));
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
        let event = PlayEvent::Rows {
            to,
            from,
            scope,
            sequence: self.sequences[from],
            rows: rows.collect(),
        };
        let arrives_ms = self.now_ms + 1 + self.rule.hop_ms;
        self.at(arrives_ms, event);
    }

    fn hear(
        &mut self,
        to: usize,
        from: usize,
        scope: ShareScope,
        sequence: u32,
        rows: &[(u64, u64, u64, u64)],
    ) {
        let teller = ShareHeader {
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
        self.windows[to].merge(teller, &rows, self.now_ms);
        if scope == ShareScope::Own {
            let rows = self.windows[to].fleet_rows(self.now_ms);
            self.send(to, from, ShareScope::Fleet, &rows);
        }
    }

    fn next_ask(&mut self, flood: usize) {
        let spec = self.floods[flood].clone();
        if spec.asks_at(self.now_ms) {
            // The boxes are taken of all domains in turn.
            let drawn = (self.draw() * spec.boxes as f64) as usize;
            let at = drawn % DOMAINS * DOMAIN_BOXES + drawn / DOMAINS;
            self.ask(flood, at, spec.tokens);
        }
        let gap_ms = f64::from(spec.tokens) * 1_000.0 / (CAPACITY * spec.part);
        let wait_ms = -gap_ms * (1.0 - self.draw()).ln();
        // Times are whole milliseconds; what is cut off is drawn.
        let wait_ms = (wait_ms + self.draw()) as u64;
        self.at(self.now_ms + wait_ms, PlayEvent::Ask(flood));
    }

    fn ask(&mut self, flood: usize, at: usize, tokens: u32) {
        let units = u64::from(tokens);
        let workspace = flood as u64 + 1;
        let second = self.now_ms as usize / 1_000;
        self.outcome.rows[flood][second].requested += units;
        self.windows[at].record_request(workspace, units, self.now_ms);
        let level = self.windows[at].level(workspace, units, self.now_ms);
        let number = self.count as u32;
        let ask = EngineAsk {
            workspace,
            objective_ms: 1_000,
            shortest_ms: 600,
            budget_ms: 6_000,
            level,
            input: tokens,
            output: 0,
            parts: vec![PromptPart {
                id: u64::from(number),
                tokens,
            }],
        };
        let first = (self.draw() * ENGINES as f64) as usize;
        let next = 1 + (self.draw() * (ENGINES - 1) as f64) as usize;
        let homes = [first, (first + next) % ENGINES];
        let rule = AdmissionRule::default();
        let home = homes.into_iter().find(|home| {
            let verdict = rule.decide(&self.engines[*home], &ask, 0, self.now_ms);
            matches!(verdict, EngineVerdict::Granted(_))
        });
        let Some(home) = home else {
            self.outcome.rows[flood][second].refused += units;
            return;
        };
        self.windows[at].record_admission(workspace, units, level, self.now_ms);
        self.outcome.rows[flood][second].admitted += units;
        let first_ms = self.engines[home].first_event_ms(&ask, self.now_ms) as u64;
        self.engines[home].place(run_key(number), &ask, self.now_ms);
        let started_ms = self.now_ms + first_ms;
        self.at(started_ms, PlayEvent::Start(home, number));
        self.at(started_ms + RUN_MS, PlayEvent::End(home, number));
    }
}

const fn run_key(number: u32) -> RunKey {
    RunKey {
        entry: BoxKey(0),
        number,
    }
}
