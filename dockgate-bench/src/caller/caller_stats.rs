//! What callers saw.

use hdrhistogram::Histogram;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What became of a request, as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallOutcome {
    /// A whole, right answer.
    Ok,
    /// A refusal that says that it did not run.
    NotRun,
    /// A refusal that says that it ran without a whole answer.
    Failed,
    /// A refusal that says that nobody knows.
    Unknown,
    /// The connection broke, so that the caller knows that it got no whole answer.
    Cut,
    /// An answer that ended as if it were whole, and was not.
    Truncated,
    /// An answer to something else.
    Wrong,
}

/// A request that has no answer yet.
#[derive(Debug, Clone)]
pub struct OutstandingCall {
    /// The pool.
    pub pool: String,
    /// The workspace.
    pub workspace: String,
    /// What tells it from every other.
    pub nonce: String,
    /// When it was sent.
    pub sent_at: Instant,
}

/// Counts and times over all callers.
#[derive(Debug)]
pub struct CallerStats {
    state: Mutex<StatsState>,
}

#[derive(Debug)]
struct StatsState {
    outcomes: HashMap<CallOutcome, u64>,
    cut_by_stop: u64,
    first_token: Histogram<u64>,
    token_gap: Histogram<u64>,
    direct: Histogram<u64>,
    routed: Histogram<u64>,
    outstanding: HashMap<String, OutstandingCall>,
    not_run: Vec<(String, String)>,
    non_repeatable: Vec<(String, String)>,
}

/// The longest time that is told apart, in microseconds.
const MAX_TIME_US: u64 = 600_000_000;

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_TIME_US, 3).expect("constant bounds are valid")
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(time.as_micros() as u64);
}

impl Default for CallerStats {
    fn default() -> Self {
        Self {
            state: Mutex::new(StatsState {
                outcomes: HashMap::new(),
                cut_by_stop: 0,
                first_token: new_histogram(),
                token_gap: new_histogram(),
                direct: new_histogram(),
                routed: new_histogram(),
                outstanding: HashMap::new(),
                not_run: Vec::new(),
                non_repeatable: Vec::new(),
            }),
        }
    }
}

impl CallerStats {
    fn state(&self) -> MutexGuard<'_, StatsState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a request is sent; `once` where it may not be repeated.
    pub fn record_sent(&self, call: OutstandingCall, non_repeatable: bool) {
        let mut state = self.state();
        if non_repeatable {
            state
                .non_repeatable
                .push((call.pool.clone(), call.nonce.clone()));
        }
        state.outstanding.insert(call.nonce.clone(), call);
    }

    /// Notes what became of a request; `stopping` where its box was stopping in order.
    pub fn record_outcome(&self, pool: &str, nonce: &str, outcome: CallOutcome, stopping: bool) {
        let mut state = self.state();
        state.outstanding.remove(nonce);
        *state.outcomes.entry(outcome).or_default() += 1;
        if outcome == CallOutcome::NotRun {
            state.not_run.push((pool.to_owned(), nonce.to_owned()));
        }
        if outcome == CallOutcome::Cut && stopping {
            state.cut_by_stop += 1;
        }
    }

    /// Notes the time to the first token.
    pub fn record_first_token(&self, time: Duration) {
        record(&mut self.state().first_token, time);
    }

    /// Notes the time between two tokens.
    pub fn record_token_gap(&self, time: Duration) {
        record(&mut self.state().token_gap, time);
    }

    /// Notes a probe: the time of a direct call, and of a routed one.
    pub fn record_probe(&self, direct: Duration, routed: Duration) {
        let mut state = self.state();
        record(&mut state.direct, direct);
        record(&mut state.routed, routed);
    }

    /// Forgets all times and counts so far, as at the end of the warm-up.
    pub fn reset(&self) {
        let mut state = self.state();
        state.outcomes.clear();
        state.first_token.reset();
        state.token_gap.reset();
        state.direct.reset();
        state.routed.reset();
    }

    /// Returns how many requests had an outcome.
    pub fn count(&self, outcome: CallOutcome) -> u64 {
        self.state().outcomes.get(&outcome).copied().unwrap_or(0)
    }

    /// Returns how many requests have ended.
    pub fn total(&self) -> u64 {
        self.state().outcomes.values().sum()
    }

    /// Returns how many requests a planned stop cut off.
    pub fn cut_by_stop(&self) -> u64 {
        self.state().cut_by_stop
    }

    /// Returns the requests that have no answer yet.
    pub fn outstanding(&self) -> Vec<OutstandingCall> {
        self.state().outstanding.values().cloned().collect()
    }

    /// Returns pool and nonce of every request refused as not run.
    pub fn not_run(&self) -> Vec<(String, String)> {
        self.state().not_run.clone()
    }

    /// Returns pool and nonce of every request that may not be repeated.
    pub fn non_repeatable(&self) -> Vec<(String, String)> {
        self.state().non_repeatable.clone()
    }

    /// Returns a quantile of the time to the first token, in milliseconds.
    pub fn first_token_ms(&self, quantile: f64) -> f64 {
        self.state().first_token.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Returns a quantile of the time between tokens, in milliseconds.
    pub fn token_gap_ms(&self, quantile: f64) -> f64 {
        self.state().token_gap.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Returns a quantile of the routed probes less that of the direct ones, in microseconds.
    pub fn added_latency_us(&self, quantile: f64) -> f64 {
        let state = self.state();
        let routed = state.routed.value_at_quantile(quantile) as f64;
        routed - state.direct.value_at_quantile(quantile) as f64
    }

    /// Returns how many probes there were.
    pub fn probe_count(&self) -> u64 {
        self.state().routed.len()
    }
}
