//! Simulated bursts at plain endpoints, with and without a queue at their owners.

use super::*;
use crate::gateway::{EndpointId, LatencyLimits, PlainLoads, PromptShape, RetryCause, retry_delay};
use std::collections::BTreeMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const ENDPOINTS: u64 = 3;
const SLOTS: u32 = 6;
const SECONDS: u64 = 20;
/// The requests of each burst, over all slots and the places behind them.
const BURST: u32 = 60;
const SERVICE_MS: std::ops::Range<u64> = 40..160;
const REFUSAL_DELAY_MS: f64 = 60.0;

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
    objective_ms: u64,
    workspace: u64,
    has_retried: bool,
}

/// One endpoint: what its owner counts, and when each request there is answered.
#[derive(Default)]
struct Endpoint {
    free_ms: Vec<u64>,
    queue: WaitQueue,
}

#[derive(Debug, Default, PartialEq, Eq)]
struct BurstOutcome {
    calls: usize,
    in_time: usize,
    late: usize,
    /// Refusals that came later than a quarter of the objective after the arrival or the retry.
    late_refusals: usize,
}

struct BurstSimulation {
    waits: bool,
    draws: DrawSequence,
    loads: PlainLoads,
    endpoints: Vec<Endpoint>,
    calls: BTreeMap<u32, Call>,
    /// The requests that arrive or return, and the runs that end, by time.
    arrivals: BTreeMap<u64, Vec<u32>>,
    ends: BTreeMap<u64, Vec<(EndpointId, u32)>>,
    outcome: BurstOutcome,
}

impl BurstSimulation {
    fn run(waits: bool, seed: u64) -> BurstOutcome {
        let mut simulation = Self {
            waits,
            draws: DrawSequence { seed, count: 0 },
            loads: PlainLoads::default(),
            endpoints: Vec::new(),
            calls: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            ends: BTreeMap::new(),
            outcome: BurstOutcome::default(),
        };
        for _ in 0..ENDPOINTS {
            let free_ms = vec![0; SLOTS as usize];
            let queue = WaitQueue::default();
            simulation.endpoints.push(Endpoint { free_ms, queue });
        }
        simulation.plan_calls();
        for now_ms in 0..(SECONDS + 3) * 1_000 {
            for (endpoint, number) in simulation.ends.remove(&now_ms).unwrap_or_default() {
                simulation.end(endpoint, number, now_ms);
            }
            simulation.process(now_ms);
            for number in simulation.arrivals.remove(&now_ms).unwrap_or_default() {
                simulation.place(number, now_ms);
            }
        }
        simulation.outcome
    }

    /// Plans calls at half of the capacity, and a burst each second.
    fn plan_calls(&mut self) {
        for second in 0..SECONDS {
            let mut times: Vec<u64> = (0..90).map(|_| self.draws.below(1_000)).collect();
            let burst_ms = self.draws.below(900);
            times.extend((0..BURST).map(|_| burst_ms + self.draws.below(30)));
            for offset_ms in times {
                let arrived_ms = second * 1_000 + offset_ms;
                let number = self.calls.len() as u32;
                let call = Call {
                    arrived_ms,
                    objective_ms: [500, 1_000][self.draws.below(2) as usize],
                    workspace: self.draws.below(4),
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
        let mut order: Vec<u64> = (0..ENDPOINTS).collect();
        order.sort_by_key(|endpoint| self.loads.count(EndpointId(*endpoint)));
        let open = order.iter().copied().find(|endpoint| {
            let is_open = self.endpoints[*endpoint as usize].queue.is_empty();
            is_open && self.try_start(EndpointId(*endpoint), number, now_ms)
        });
        match open {
            Some(_) => {}
            None if self.waits => self.wait(number, now_ms),
            None => self.refuse(number, 0.0, now_ms, now_ms),
        }
    }

    fn try_start(&mut self, endpoint: EndpointId, number: u32, now_ms: u64) -> bool {
        let key = Self::key(number);
        let until_ms = now_ms + 4_000;
        let is_placed = self.loads.try_place(endpoint, key, SLOTS, until_ms);
        if is_placed {
            let served_ms = SERVICE_MS.start + self.draws.below(SERVICE_MS.end - SERVICE_MS.start);
            let slots = &mut self.endpoints[endpoint.0 as usize].free_ms;
            let slot = slots.iter_mut().min().unwrap();
            *slot = (*slot).max(now_ms) + served_ms;
            self.ends.entry(*slot).or_default().push((endpoint, number));
        }
        is_placed
    }

    fn end(&mut self, endpoint: EndpointId, number: u32, now_ms: u64) {
        let call = self.calls[&number];
        match now_ms - call.arrived_ms <= call.objective_ms {
            true => self.outcome.in_time += 1,
            false => self.outcome.late += 1,
        }
        let was_full = self.loads.count(endpoint) >= SLOTS as usize;
        self.loads.end(endpoint, Self::key(number));
        let queue = &mut self.endpoints[endpoint.0 as usize].queue;
        queue.record_end(was_full, now_ms);
    }

    fn wait(&mut self, number: u32, now_ms: u64) {
        let call = self.calls[&number];
        let budget = WaitBudget {
            objective_ms: call.objective_ms as f64,
            age_ms: 4.0,
            own_first_ms: 0.0,
            refusal_delay_ms: REFUSAL_DELAY_MS,
        };
        let terms = WaitTerms {
            priority: 1,
            wait_ms: budget.usable_wait_ms(),
        };
        let limits = LatencyLimits {
            objective_ms: call.objective_ms as u32,
            shortest_objective_ms: 0,
            budget_ms: 4_000,
        };
        let request = AdmissionRequest::new(call.workspace, &PromptShape::default(), limits);
        let new = WaitingRequest::new(Self::key(number), request, terms, 0.0, now_ms);
        let predicted = |endpoint: &Endpoint| {
            let ahead = endpoint.queue.ahead_of(new.rank).count();
            endpoint.queue.slot_wait_ms(ahead)
        };
        let endpoints = self.endpoints.iter_mut();
        let best = endpoints.min_by(|a, b| predicted(a).total_cmp(&predicted(b)));
        let best = best.unwrap();
        let predicted_ms = predicted(best);
        match best.queue.offer(new, SLOTS as usize, predicted_ms) {
            WaitOffer::Queued => {}
            WaitOffer::Displaces(displaced) => {
                let since_ms = displaced.arrived_ms;
                self.refuse(displaced.key.number, predicted_ms, since_ms, now_ms);
            }
            WaitOffer::Declined | WaitOffer::Ignored => {
                self.refuse(number, predicted_ms, now_ms, now_ms);
            }
        }
    }

    fn process(&mut self, now_ms: u64) {
        for index in 0..self.endpoints.len() {
            for late in self.endpoints[index].queue.expire(now_ms) {
                let predicted_ms = self.endpoints[index].queue.slot_wait_ms(0);
                self.refuse(late.key.number, predicted_ms, late.arrived_ms, now_ms);
            }
            while let Some(first) = self.endpoints[index].queue.first().cloned() {
                if !self.try_start(EndpointId(index as u64), first.key.number, now_ms) {
                    break;
                }
                self.endpoints[index].queue.take_first();
            }
        }
    }

    fn refuse(&mut self, number: u32, backlog_ms: f64, since_ms: u64, now_ms: u64) {
        let draw = self.draws.fraction();
        let call = self.calls.get_mut(&number).unwrap();
        self.outcome.late_refusals += usize::from((now_ms - since_ms) * 4 > call.objective_ms);
        if std::mem::replace(&mut call.has_retried, true) {
            return;
        }
        let backlog = RetryCause::Backlog(Duration::from_millis(backlog_ms as u64));
        let delay = retry_delay(backlog, Duration::from_secs(4), draw);
        let returns_ms = now_ms + delay.as_millis() as u64;
        self.arrivals.entry(returns_ms).or_default().push(number);
    }
}

/// Guards against a queue that keeps requests from being served in time: with it, more of a burst
/// must be in time than without, and no caller may be refused late.
#[test]
fn more_requests_of_bursts_are_in_time_with_waiting() {
    let (mut waiting_in_time, mut plain_in_time) = (0, 0);
    for seed in 1..=5 {
        let waiting = BurstSimulation::run(true, seed);
        let plain = BurstSimulation::run(false, seed);
        println!("seed {seed}: waiting {waiting:?}, without {plain:?}");
        assert_eq!(waiting.late_refusals, 0);
        waiting_in_time += waiting.in_time;
        plain_in_time += plain.in_time;
    }
    assert!(waiting_in_time > plain_in_time);
}
