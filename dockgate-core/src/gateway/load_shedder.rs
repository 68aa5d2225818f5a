//! Load shedding of a box that runs out of processor time.
//!
//! All callers of a large workspace may be connected to one small box while other boxes are idle:
//! the load balancer places new connections by a hash of the caller, and existing connections stay.
//! Refused requests return to the same box until the load balancer has seen that the box is not
//! ready. From then on a connection that is closed after a refusal is reopened at another box. The
//! box refuses only the excess, so that the other connections stay in use.
//!
//! The cost of a request is measured as busy time over the requests that were admitted and refused
//! in that time. Requests are admitted up to one max-min level for all workspaces, so that
//! workspaces with few requests at this box are not refused.
//!
//! ```
//! use dockgate_core::gateway::LoadShedder;
//!
//! let mut shedder = LoadShedder::default();
//! (0..90).for_each(|_| shedder.record_request(1));
//! (0..10).for_each(|_| shedder.record_request(2));
//! shedder.record_sample(1.0, 0, 1_000);
//! assert!(shedder.refused_fraction(1) > 0.0);
//! assert_eq!(shedder.refused_fraction(2), 0.0);
//! ```

use std::collections::HashMap;
use std::ops::Range;
use std::time::Duration;

/// Admits the fraction of requests that the box can serve, and diverts new connections.
#[derive(Debug, Clone)]
pub struct LoadShedder {
    /// Admitted fraction of all requests, from 0 to 1.
    admitted_fraction: f64,
    /// Requests by workspace since the last sample.
    requests: HashMap<u64, u32>,
    /// Refused requests since the last sample.
    refused_count: u32,
    /// Measured cost of an admitted request, in milliseconds.
    cost_ms: Option<f64>,
    /// Refused fraction of each workspace above the max-min level.
    refused_fractions: HashMap<u64, f64>,
    /// Time until which new connections are diverted to other boxes.
    divert_until_ms: u64,
    /// Number of consecutive readiness probes answered with "not ready".
    unready_answers: u32,
}

impl Default for LoadShedder {
    fn default() -> Self {
        Self {
            admitted_fraction: 1.0,
            requests: HashMap::new(),
            refused_count: 0,
            cost_ms: None,
            refused_fractions: HashMap::new(),
            divert_until_ms: 0,
            unready_answers: 0,
        }
    }
}

impl LoadShedder {
    /// Sample interval in milliseconds. CPU quotas may be granted in periods of 100 ms; within a
    /// shorter interval, throttling would look like work.
    pub const SAMPLE_MS: u64 = 100;
    /// Target upper bound of the busy fraction. Above it, requests that arrive together queue up.
    const MAX_BUSY_FRACTION: f64 = 0.85;
    /// Cost of a refusal relative to an admitted request. Both are parsed, but a refused
    /// request sends no admission request to an engine and forwards no events.
    const REFUSAL_COST: f64 = 0.25;
    /// Fraction of the backlog that is to be worked off within a sample.
    const CATCH_UP_FRACTION: f64 = 0.2;
    /// Weight of the latest sample in the moving average of the cost. Streams last about a second
    /// beyond their admission.
    const COST_SMOOTHING: f64 = 0.2;
    /// Minimum number of requests in a sample to measure the cost. With fewer, other work of the
    /// box would distort it.
    const MIN_REQUESTS: f64 = 5.0;
    /// Maximum number of sample intervals that a late sample counts as, since a suspension is not
    /// work.
    const MAX_SAMPLES: u64 = 2;
    /// Lower bound of the factor by which the admitted fraction changes per sample, since a single
    /// sample may be due to a suspension.
    const MIN_CHANGE_FACTOR: f64 = 0.6;
    /// Lower bound of the admitted fraction, so that the cost is still measured.
    const MIN_ADMITTED_FRACTION: f64 = 0.05;
    /// Admitted fraction below which new connections are diverted.
    const DIVERT_BELOW: f64 = 0.9;
    /// Duration of a diversion in milliseconds. The load balancer polls readiness once per second
    /// and acts on the second answer.
    const DIVERT_MS: u64 = 3_000;
    /// Number of consecutive "not ready" answers after which the load balancer sends no new
    /// connections.
    const UNREADY_THRESHOLD: u32 = 2;
    /// Delay before a retry that would reach this box again, in milliseconds. By then new
    /// connections go elsewhere or the load has dropped.
    const LOCAL_RETRY_MS: Range<u64> = 1_000..1_800;
    /// Delay before a retry that reaches another box, in milliseconds. It is spread to avoid a
    /// burst there.
    const DIVERTED_RETRY_MS: Range<u64> = 10..50;

    /// Records a request of a workspace.
    pub fn record_request(&mut self, workspace: u64) {
        *self.requests.entry(workspace).or_default() += 1;
    }

    /// Records that a request was refused.
    pub const fn record_refusal(&mut self) {
        self.refused_count += 1;
    }

    /// Records a sample: the busy fraction of the time since the last one, and the delay of this
    /// one in milliseconds.
    pub fn record_sample(&mut self, busy_fraction: f64, late_ms: u64, now_ms: u64) {
        let requests = std::mem::take(&mut self.requests);
        let refused = f64::from(std::mem::take(&mut self.refused_count));
        let counts: Vec<f64> = requests.values().copied().map(f64::from).collect();
        let total: f64 = counts.iter().sum();
        let passed_ms = (Self::SAMPLE_MS + late_ms) as f64;
        let units = (total - refused).max(0.0) + refused * Self::REFUSAL_COST;
        if total >= Self::MIN_REQUESTS {
            let max_ms = (Self::SAMPLE_MS * Self::MAX_SAMPLES) as f64;
            let cost_ms = busy_fraction * passed_ms.min(max_ms) / units;
            let known_ms = self.cost_ms.unwrap_or(cost_ms);
            self.cost_ms = Some(known_ms + (cost_ms - known_ms) * Self::COST_SMOOTHING);
        }
        let expected_total = total * Self::SAMPLE_MS as f64 / passed_ms;
        self.admitted_fraction = self
            .affordable_fraction(expected_total, late_ms as f64)
            .max(self.admitted_fraction * Self::MIN_CHANGE_FACTOR);
        if self.admitted_fraction < Self::DIVERT_BELOW {
            self.divert_until_ms = now_ms + Self::DIVERT_MS;
        }
        let level = max_min_level(&counts, total * self.admitted_fraction);
        let requests = requests.into_iter();
        let refused = requests.filter_map(|(workspace, count)| {
            let fraction = 1.0 - level / f64::from(count);
            (fraction > 0.0).then_some((workspace, fraction))
        });
        self.refused_fractions = refused.collect();
    }

    /// Returns the fraction of `total` requests that the box can admit in a sample if it refuses
    /// the rest.
    fn affordable_fraction(&self, total: f64, late_ms: f64) -> f64 {
        let sample_ms = Self::SAMPLE_MS as f64;
        let available_ms = sample_ms * Self::MAX_BUSY_FRACTION - late_ms * Self::CATCH_UP_FRACTION;
        let cost_ms = self.cost_ms.unwrap_or(0.0) * total;
        let fraction = match cost_ms > 0.0 {
            true => (available_ms / cost_ms - Self::REFUSAL_COST) / (1.0 - Self::REFUSAL_COST),
            false => 1.0,
        };
        fraction.clamp(Self::MIN_ADMITTED_FRACTION, 1.0)
    }

    /// Returns the refused fraction of a workspace's requests, from 0 to 1.
    pub fn refused_fraction(&self, workspace: u64) -> f64 {
        self.refused_fractions
            .get(&workspace)
            .copied()
            .unwrap_or(0.0)
    }

    /// Returns whether new connections should go to other boxes.
    pub const fn diverts_connections(&self, now_ms: u64) -> bool {
        now_ms < self.divert_until_ms
    }

    /// Records an answer to a readiness probe of the load balancer.
    pub const fn record_readiness(&mut self, is_ready: bool) {
        self.unready_answers = match is_ready {
            true => 0,
            false => self.unready_answers.saturating_add(1),
        };
    }

    /// Returns whether the load balancer no longer sends new connections to this box.
    pub const fn is_out_of_rotation(&self) -> bool {
        self.unready_answers >= Self::UNREADY_THRESHOLD
    }

    /// Returns the delay before a refused request is retried; `random` is a random number from 0 to
    /// 1.
    pub fn retry_after(&self, random: f64) -> Duration {
        let Range { start, end } = match self.is_out_of_rotation() {
            true => Self::DIVERTED_RETRY_MS,
            false => Self::LOCAL_RETRY_MS,
        };
        let spread = (end - start) as f64 * random.clamp(0.0, 1.0);
        Duration::from_millis(start + spread as u64)
    }

    /// Returns the admitted fraction of all requests, from 0 to 1.
    pub const fn admitted_fraction(&self) -> f64 {
        self.admitted_fraction
    }
}

/// Returns the max-min level: the largest allocation when `capacity` is divided among `demands`;
/// infinite if all demands are met.
pub(super) fn max_min_level(demands: &[f64], capacity: f64) -> f64 {
    let mut demands = demands.to_vec();
    demands.sort_by(f64::total_cmp);
    let mut remaining = capacity;
    for (index, demand) in demands.iter().enumerate() {
        let equal_part = remaining / (demands.len() - index) as f64;
        if *demand > equal_part {
            return equal_part;
        }
        remaining -= demand;
    }
    f64::INFINITY
}

#[cfg(test)]
mod tests;
