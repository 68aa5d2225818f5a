//! Request statistics of the callers.

use hdrhistogram::Histogram;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Outcome of a request as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallOutcome {
    /// A complete, correct answer.
    Ok,
    /// A refusal stating that the request did not run.
    NotRun,
    /// A refusal stating that the request ran without a complete answer, or an unreadable refusal.
    Failed,
    /// A refusal stating that it is unknown whether the request ran.
    Unknown,
    /// The connection failed or was closed before the end of the answer.
    Cut,
    /// An answer that ended normally but is incomplete.
    Truncated,
    /// An answer that is not the one to this request.
    Wrong,
}

/// A request that has not ended.
#[derive(Debug, Clone)]
pub struct OutstandingCall {
    /// Name of the pool.
    pub pool: String,
    /// Name of the workspace.
    pub workspace: String,
    /// Unique identifier of the request.
    pub nonce: String,
    /// Time at which it was sent.
    pub sent_at: Instant,
}

/// Counts and latencies over all callers.
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

/// Upper bound of recorded times, in microseconds.
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

    /// Records a sent request; `non_repeatable` if it must not be retried.
    pub fn record_sent(&self, call: OutstandingCall, non_repeatable: bool) {
        let mut state = self.state();
        if non_repeatable {
            state
                .non_repeatable
                .push((call.pool.clone(), call.nonce.clone()));
        }
        state.outstanding.insert(call.nonce.clone(), call);
    }

    /// Records the outcome of a request; `stopping` if its box was shutting down gracefully.
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

    /// Records the time to the first token.
    pub fn record_first_token(&self, time: Duration) {
        record(&mut self.state().first_token, time);
    }

    /// Records the time between two tokens.
    pub fn record_token_gap(&self, time: Duration) {
        record(&mut self.state().token_gap, time);
    }

    /// Records a probe: the times of a direct and of a routed call.
    pub fn record_probe(&self, direct: Duration, routed: Duration) {
        let mut state = self.state();
        record(&mut state.direct, direct);
        record(&mut state.routed, routed);
    }

    /// Resets the times and outcome counts at the end of the warm-up.
    pub fn reset(&self) {
        let mut state = self.state();
        state.outcomes.clear();
        state.first_token.reset();
        state.token_gap.reset();
        state.direct.reset();
        state.routed.reset();
    }

    /// Returns the number of requests with an outcome.
    pub fn count(&self, outcome: CallOutcome) -> u64 {
        self.state().outcomes.get(&outcome).copied().unwrap_or(0)
    }

    /// Returns the number of requests that have ended.
    pub fn total(&self) -> u64 {
        self.state().outcomes.values().sum()
    }

    /// Returns the number of requests that were cut off by a graceful shutdown.
    pub fn cut_by_stop(&self) -> u64 {
        self.state().cut_by_stop
    }

    /// Returns the requests that have not ended.
    pub fn outstanding(&self) -> Vec<OutstandingCall> {
        self.state().outstanding.values().cloned().collect()
    }

    /// Returns pool and nonce of every request that was refused as not run.
    pub fn not_run(&self) -> Vec<(String, String)> {
        self.state().not_run.clone()
    }

    /// Returns pool and nonce of every request that must not be retried.
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

    /// Returns the difference between a quantile of the routed and of the direct probes, in
    /// microseconds.
    pub fn added_latency_us(&self, quantile: f64) -> f64 {
        let state = self.state();
        let routed = state.routed.value_at_quantile(quantile) as f64;
        routed - state.direct.value_at_quantile(quantile) as f64
    }

    /// Returns the number of probes.
    pub fn probe_count(&self) -> u64 {
        self.state().routed.len()
    }
}
