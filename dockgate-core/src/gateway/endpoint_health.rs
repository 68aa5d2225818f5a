//! The health of one endpoint, as observed by this box.
//!
//! A failed endpoint gets no requests during a backoff that grows with each consecutive failure;
//! afterwards a single request at a time probes it. Failures interleaved with answers are detected
//! by their ratio: for a short time after each failure, an endpoint with a high failure ratio is
//! used only as a fallback. It is then tried again, so that its recovery is noticed.

/// The outcome of a request at an endpoint, as it affects the health of the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointOutcome {
    /// The endpoint answered.
    Answered,
    /// The endpoint refused the request because it is full.
    Full,
    /// The endpoint failed, broke off the answer or stopped responding.
    Failed,
    /// The connection was refused, or another endpoint answered.
    Unreachable,
    /// The connection attempt got no response at all.
    Silent,
}

/// The health of one endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct EndpointHealth {
    consecutive_failures: u32,
    backoff_until_ms: u64,
    /// The moving average of the failure ratio, from 0 to 1.
    failure_ratio: f64,
    failed_ms: u64,
}

impl EndpointHealth {
    /// The backoff after a failure, in milliseconds; doubles with each consecutive failure. An
    /// endpoint that crashed is back after seconds, one whose connection broke at once.
    const BACKOFF_MS: u64 = 150;
    /// The maximum backoff in milliseconds, below the time allowed for recovery from a crash.
    const MAX_BACKOFF_MS: u64 = 1_200;
    /// The backoff from a full endpoint in milliseconds, about the duration of a short request.
    const FULL_BACKOFF_MS: u64 = 15;
    /// The initial backoff from an unreachable endpoint, in milliseconds.
    const UNREACHABLE_BACKOFF_MS: u64 = 400;
    /// The weight of the newest request in the moving average.
    const NEWEST_WEIGHT: f64 = 0.15;
    /// The failure ratio above which an endpoint counts as unreliable.
    const UNRELIABLE_RATIO: f64 = 0.25;
    /// How long after a failure an endpoint may count as unreliable, in milliseconds. The bound
    /// lets an endpoint that is passed over be tried again.
    const UNRELIABLE_MS: u64 = 1_500;

    /// Returns whether the endpoint may receive requests now.
    pub const fn is_available(&self, now_ms: u64) -> bool {
        now_ms >= self.backoff_until_ms
    }

    /// Returns whether the endpoint failed recently and fails so often that others are preferred.
    pub fn is_unreliable(&self, now_ms: u64) -> bool {
        self.failure_ratio > Self::UNRELIABLE_RATIO && now_ms < self.failed_ms + Self::UNRELIABLE_MS
    }

    /// Returns whether the last request that succeeded or failed has failed.
    pub const fn is_failing(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// Records that a request is sent. After a failure, the request is a probe and the backoff
    /// restarts, so that no others follow it.
    pub fn note_sent(&mut self, now_ms: u64) {
        if self.consecutive_failures > 0 {
            self.backoff_until_ms = now_ms + self.backoff_ms(Self::BACKOFF_MS);
        }
    }

    /// Records the outcome of a request.
    pub fn note_outcome(&mut self, outcome: EndpointOutcome, now_ms: u64) {
        let failed = match outcome {
            EndpointOutcome::Answered => 0.0,
            EndpointOutcome::Failed | EndpointOutcome::Unreachable | EndpointOutcome::Silent => 1.0,
            EndpointOutcome::Full => self.failure_ratio,
        };
        self.failure_ratio += (failed - self.failure_ratio) * Self::NEWEST_WEIGHT;
        match outcome {
            EndpointOutcome::Answered => {
                self.consecutive_failures = 0;
                self.backoff_until_ms = 0;
            }
            EndpointOutcome::Full => self.back_off_until(now_ms + Self::FULL_BACKOFF_MS),
            EndpointOutcome::Failed => self.fail(Self::BACKOFF_MS, now_ms),
            EndpointOutcome::Unreachable | EndpointOutcome::Silent => {
                self.fail(Self::UNREACHABLE_BACKOFF_MS, now_ms);
            }
        }
    }

    fn fail(&mut self, backoff_ms: u64, now_ms: u64) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.failed_ms = now_ms;
        self.back_off_until(now_ms + self.backoff_ms(backoff_ms));
    }

    fn back_off_until(&mut self, until_ms: u64) {
        self.backoff_until_ms = self.backoff_until_ms.max(until_ms);
    }

    fn backoff_ms(&self, first_ms: u64) -> u64 {
        let doublings = self.consecutive_failures.saturating_sub(1).min(4);
        Self::MAX_BACKOFF_MS.min(first_ms << doublings)
    }
}

#[cfg(test)]
mod tests;
