//! Simulated bursts at plain endpoints and at engines, with and without a queue at their owners.

use super::*;
use crate::gateway::{
    AdmissionRule, AdmissionVerdict, EndpointId, EngineLoad, EngineSpec, LatencyLimits, PlainLoads,
    PrefillModel, PromptShape, RetryCause, retry_delay,
};
use std::collections::BTreeMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;
use yare::parameterized;

const SECONDS: u64 = 20;
/// The slots of a plain endpoint, and how long a request takes there.
const SLOTS: u32 = 6;
const SERVICE_MS: std::ops::Range<u64> = 40..160;
/// The time from the first event of a prompt to its end.
const GENERATION_MS: u64 = 700;
const ENGINE: EngineSpec = EngineSpec {
    slots: 64,
    memory: 600_000,
};
const TIME_LEFT_MS: u64 = 4_000;

/// The endpoints and the load of a simulation.
#[derive(Debug, Clone, Copy)]
struct BurstLoad {
    has_engines: bool,
    endpoints: u64,
    /// The endpoints that a request is offered to.
    homes: usize,
    /// The requests that arrive evenly in each second, at about half of the capacity.
    even: u64,
    /// The requests that arrive within 30 ms in each second.
    burst: u64,
}

/// A reproducible sequence of random numbers.
struct DrawSequence {
    seed: u64,
    count: u64,
}

impl DrawSequence {
    fn draw(&mut self) -> u64 {
        self.count += 1;
        xxh3_64_with_seed(&self.count.to_le_bytes(), self.seed)
    }

    fn below(&mut self, end: u64) -> u64 {
        self.draw() % end
    }

    fn fraction(&mut self) -> f64 {
        self.below(1_000_000) as f64 / 1e6
    }
}

/// A request of a caller, which retries once.
#[derive(Debug, Clone, Copy)]
struct Call {
    arrived_ms: u64,
    /// The time of this attempt: a box does not know that a request returns.
    sent_ms: u64,
    objective_ms: u64,
    workspace: u64,
    tokens: u32,
    has_retried: bool,
}

impl Call {
    fn request(&self, now_ms: u64) -> AdmissionRequest {
        let left_ms = (self.sent_ms + self.objective_ms).saturating_sub(now_ms);
        let prompt = PromptShape {
            input: self.tokens,
            output: 60,
            ..PromptShape::default()
        };
        let limits = LatencyLimits {
            objective_ms: left_ms as u32,
            shortest_objective_ms: 500,
            budget_ms: TIME_LEFT_MS as u32,
        };
        AdmissionRequest::new(self.workspace, &prompt, limits)
    }
}

/// An endpoint, and what its owner knows of it.
struct Endpoint {
    /// When each slot, or the prefill of an engine, is free.
    free_ms: Vec<f64>,
    load: EngineLoad,
    queue: WaitQueue,
}

impl Endpoint {
    /// Predicts the wait behind the requests that precede `rank`, in milliseconds.
    fn predicted_wait_ms(
        &self,
        request: &AdmissionRequest,
        rank: WaitRank,
        has_engines: bool,
        now_ms: u64,
    ) -> f64 {
        if !has_engines {
            return self.queue.slot_wait_ms(self.queue.ahead_of(rank).count());
        }
        let model = self.load.model();
        let work = |request| self.load.work_of(request);
        let ahead = self.queue.ahead_of(rank);
        let ahead_ms: f64 = ahead
            .map(|other| model.prefill_ms(work(&other.request)))
            .sum();
        let backlog_ms = self.load.backlog_ms(now_ms) + ahead_ms;
        let wait_ms = AdmissionRule::default().wait_ms(model, work(request), request, backlog_ms);
        wait_ms.unwrap_or(f64::INFINITY)
    }
}

/// What happens to a run at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunEvent {
    /// Its first event or whole answer arrives.
    Answered,
    Ended,
}

#[derive(Debug, Default, PartialEq, Eq)]
struct BurstOutcome {
    calls: usize,
    /// Requests that were answered within their objective after they first arrived.
    in_time: usize,
    /// Further answers, each within the objective of the retry.
    late: usize,
    /// Requests that were refused after more than a quarter of their objective.
    late_refusals: usize,
}

struct BurstSimulation {
    config: BurstLoad,
    waits: bool,
    draws: DrawSequence,
    loads: PlainLoads,
    endpoints: Vec<Endpoint>,
    calls: BTreeMap<u32, Call>,
    /// The requests that arrive or return, by time.
    arrivals: BTreeMap<u64, Vec<u32>>,
    events: BTreeMap<u64, Vec<(EndpointId, u32, RunEvent)>>,
    outcome: BurstOutcome,
}

impl BurstSimulation {
    fn run(config: BurstLoad, waits: bool, seed: u64) -> BurstOutcome {
        let endpoints = (0..config.endpoints).map(|_| Endpoint {
            free_ms: vec![
                0.0;
                if config.has_engines {
                    1
                } else {
                    SLOTS as usize
                }
            ],
            load: EngineLoad::new(ENGINE, PrefillModel::default()),
            queue: WaitQueue::default(),
        });
        let mut simulation = Self {
            config,
            waits,
            draws: DrawSequence { seed, count: 0 },
            loads: PlainLoads::default(),
            endpoints: endpoints.collect(),
            calls: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            events: BTreeMap::new(),
            outcome: BurstOutcome::default(),
        };
        simulation.plan_calls();
        for now_ms in 0..(SECONDS + 3) * 1_000 {
            for (endpoint, number, event) in simulation.events.remove(&now_ms).unwrap_or_default() {
                simulation.handle(endpoint, number, event, now_ms);
            }
            simulation.process(now_ms);
            for number in simulation.arrivals.remove(&now_ms).unwrap_or_default() {
                simulation.place(number, now_ms);
            }
        }
        simulation.outcome
    }

    fn plan_calls(&mut self) {
        for second in 0..SECONDS {
            let even = self.config.even;
            let mut times: Vec<u64> = (0..even).map(|_| self.draws.below(1_000)).collect();
            let burst_ms = self.draws.below(900);
            times.extend((0..self.config.burst).map(|_| burst_ms + self.draws.below(30)));
            for offset_ms in times {
                let arrived_ms = second * 1_000 + offset_ms;
                let number = self.calls.len() as u32;
                let call = Call {
                    arrived_ms,
                    sent_ms: arrived_ms,
                    objective_ms: [500, 1_000][self.draws.below(2) as usize],
                    workspace: self.draws.below(4),
                    tokens: 500 + self.draws.below(3_000) as u32,
                    has_retried: false,
                };
                self.calls.insert(number, call);
                self.arrivals.entry(arrived_ms).or_default().push(number);
            }
        }
        self.outcome.calls = self.calls.len();
    }

    const fn key(number: u32) -> RunKey {
        RunKey {
            entry: BoxKey(1),
            number,
        }
    }

    fn place(&mut self, number: u32, now_ms: u64) {
        let request = self.calls[&number].request(now_ms);
        let first = self.draws.below(self.config.endpoints);
        let mut homes: Vec<usize> = (0..self.config.homes as u64)
            .map(|home| ((first + home) % self.config.endpoints) as usize)
            .collect();
        homes.sort_by_key(|home| self.loads.count(EndpointId(*home as u64)));
        for home in &homes {
            let is_open = self.endpoints[*home].queue.is_empty();
            if is_open && self.try_start(*home, number, &request, now_ms) {
                return;
            }
        }
        match self.waits {
            true => self.wait(number, &request, &homes, now_ms),
            false => self.refuse(number, self.backlog_ms(&homes, now_ms), now_ms),
        }
    }

    /// Returns what a refused caller is told: nothing is known of plain endpoints without a queue.
    fn backlog_ms(&self, homes: &[usize], now_ms: u64) -> f64 {
        let loads = homes.iter().map(|home| &self.endpoints[*home].load);
        let backlogs = loads.map(|load| load.backlog_ms(now_ms));
        backlogs.fold(f64::INFINITY, f64::min)
    }

    fn try_start(
        &mut self,
        index: usize,
        number: u32,
        request: &AdmissionRequest,
        now_ms: u64,
    ) -> bool {
        let (key, endpoint) = (Self::key(number), EndpointId(index as u64));
        let Endpoint { free_ms, load, .. } = &mut self.endpoints[index];
        let taken_ms = match self.config.has_engines {
            true => load.model().prefill_ms(load.work_of(request)),
            false => {
                (SERVICE_MS.start + self.draws.below(SERVICE_MS.end - SERVICE_MS.start)) as f64
            }
        };
        let (is_placed, fixed_ms, generation_ms) = match self.config.has_engines {
            true => {
                let verdict = AdmissionRule::default().decide(load, request, 0, now_ms);
                let is_granted = matches!(verdict, AdmissionVerdict::Granted(_));
                if is_granted {
                    load.place(key, request, now_ms);
                }
                (is_granted, load.model().fixed_ms(), GENERATION_MS)
            }
            false => {
                let until_ms = now_ms + TIME_LEFT_MS;
                let is_placed = self.loads.try_place(endpoint, key, SLOTS, until_ms);
                (is_placed, 0.0, 0)
            }
        };
        if is_placed {
            let slot = free_ms.iter_mut().min_by(|a, b| a.total_cmp(b)).unwrap();
            *slot = slot.max(now_ms as f64) + taken_ms;
            let answered_ms = (*slot + fixed_ms).ceil() as u64;
            let ended_ms = answered_ms + generation_ms;
            for (at_ms, event) in [
                (answered_ms, RunEvent::Answered),
                (ended_ms, RunEvent::Ended),
            ] {
                let events = self.events.entry(at_ms.max(now_ms + 1)).or_default();
                events.push((endpoint, number, event));
            }
        }
        is_placed
    }

    fn handle(&mut self, endpoint: EndpointId, number: u32, event: RunEvent, now_ms: u64) {
        let key = Self::key(number);
        let Endpoint { load, queue, .. } = &mut self.endpoints[endpoint.0 as usize];
        if event == RunEvent::Answered {
            load.start(key, now_ms, true);
            let call = self.calls[&number];
            match now_ms - call.arrived_ms <= call.objective_ms {
                true => self.outcome.in_time += 1,
                false => self.outcome.late += 1,
            }
            return;
        }
        let was_full = !queue.is_empty() || self.loads.count(endpoint) >= SLOTS as usize;
        load.end(key);
        self.loads.end(endpoint, key);
        queue.record_end(was_full, now_ms);
    }

    fn wait(&mut self, number: u32, request: &AdmissionRequest, homes: &[usize], now_ms: u64) {
        let call = self.calls[&number];
        let has_engines = self.config.has_engines;
        let own_ms = |endpoint: &Endpoint| match has_engines {
            true => {
                let work = endpoint.load.work_of(request);
                endpoint.load.model().first_event_ms(work)
            }
            false => 0.0,
        };
        let offered = |endpoint: &Endpoint| {
            let own_first_ms = own_ms(endpoint);
            let budget = WaitBudget {
                objective_ms: call.objective_ms as f64,
                age_ms: (now_ms - call.sent_ms) as f64 + 4.0,
                own_first_ms,
                refusal_delay_ms: 60.0,
            };
            let terms = WaitTerms {
                priority: 1,
                wait_ms: budget.usable_wait_ms(),
            };
            let key = Self::key(number);
            let new = WaitingRequest::new(key, request.clone(), terms, own_first_ms, now_ms);
            let wait_ms = endpoint.predicted_wait_ms(request, new.rank, has_engines, now_ms);
            (new, wait_ms)
        };
        let offers = homes
            .iter()
            .map(|home| (*home, offered(&self.endpoints[*home])));
        let best = offers.min_by(|a, b| a.1.1.total_cmp(&b.1.1));
        let (home, (new, wait_ms)) = best.unwrap();
        let backlog_ms = match has_engines {
            true => self.backlog_ms(homes, now_ms),
            false => wait_ms,
        };
        let capacity = if has_engines { ENGINE.slots } else { SLOTS };
        match self.endpoints[home]
            .queue
            .offer(new, capacity as usize, wait_ms)
        {
            WaitOffer::Queued => {}
            WaitOffer::Displaces(displaced) => {
                let RunKey { number, .. } = displaced.key;
                self.refuse(number, backlog_ms, now_ms);
            }
            WaitOffer::Declined | WaitOffer::Ignored => {
                self.refuse(number, backlog_ms, now_ms);
            }
        }
    }

    fn process(&mut self, now_ms: u64) {
        for index in 0..self.endpoints.len() {
            for late in self.endpoints[index].queue.expire(now_ms) {
                let backlog_ms = match self.config.has_engines {
                    true => self.backlog_ms(&[index], now_ms),
                    false => self.endpoints[index].queue.slot_wait_ms(0),
                };
                self.refuse(late.key.number, backlog_ms, now_ms);
            }
            while let Some(first) = self.endpoints[index].queue.first().cloned() {
                if !self.try_start(index, first.key.number, &first.request, now_ms) {
                    break;
                }
                self.endpoints[index].queue.take_first();
            }
        }
    }

    fn refuse(&mut self, number: u32, backlog_ms: f64, now_ms: u64) {
        let draw = self.draws.fraction();
        let call = self.calls.get_mut(&number).unwrap();
        let held_ms = now_ms - call.sent_ms;
        self.outcome.late_refusals += usize::from(held_ms * 4 > call.objective_ms);
        if std::mem::replace(&mut call.has_retried, true) {
            return;
        }
        let backlog = RetryCause::Backlog(Duration::from_millis(backlog_ms as u64));
        let delay = retry_delay(backlog, Duration::from_millis(TIME_LEFT_MS), draw);
        let returns_ms = now_ms + delay.as_millis() as u64;
        call.sent_ms = returns_ms;
        self.arrivals.entry(returns_ms).or_default().push(number);
    }
}

/// Guards against a queue that keeps requests from being served in time: with it, more of a burst
/// must be in time than without, and no caller may be refused late.
#[parameterized(
    plain_endpoints = { BurstLoad { has_engines: false, endpoints: 3, homes: 3, even: 90, burst: 60 } },
    engines = { BurstLoad { has_engines: true, endpoints: 6, homes: 3, even: 30, burst: 60 } },
)]
fn more_requests_of_bursts_are_in_time_with_waiting(config: BurstLoad) {
    let (mut waiting_in_time, mut plain_in_time) = (0, 0);
    for seed in 1..=5 {
        let waiting = BurstSimulation::run(config, true, seed);
        let plain = BurstSimulation::run(config, false, seed);
        println!("seed {seed}: waiting {waiting:?}, without {plain:?}");
        assert_eq!(waiting.late_refusals, 0);
        waiting_in_time += waiting.in_time;
        plain_in_time += plain.in_time;
    }
    assert!(waiting_in_time > plain_in_time);
}
