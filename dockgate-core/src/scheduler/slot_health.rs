//! Circuit breaking and capacity estimation for the slots of an endpoint.

/// The result of a request on a slot, as its entry observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotOutcome {
    /// The endpoint answered.
    Answered,
    /// The endpoint refused the request because it is full.
    Full,
    /// The endpoint refused the request and asked for a backoff of this many milliseconds.
    Backoff(u32),
    /// The endpoint was unreachable, or its connection was lost during the answer.
    Lost,
}

/// The availability of one endpoint and the number of its usable slots.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SlotHealth {
    failures: u32,
    blocked_until_ms: u64,
    /// The end of the backoff that the endpoint asked for. Answers in progress do not shorten it.
    backoff_until_ms: u64,
    /// The number of slots held when the endpoint was last full.
    observed_slots: Option<u32>,
    observed_ms: u64,
    /// Consecutive refusals, each at most `REFUSAL_RESET_MS` after the last.
    refusals: u32,
}

impl SlotHealth {
    /// The backoff after the first failure, in milliseconds. Doubles with each further failure.
    const INITIAL_BACKOFF_MS: u64 = 100;
    /// The maximum backoff after failures, in milliseconds.
    const MAX_BACKOFF_MS: u64 = 5_000;
    /// The backoff of a full endpoint, in milliseconds.
    const FULL_BACKOFF_MS: u64 = 20;
    /// The interval without a refusal after which slots are added again, in milliseconds: one,
    /// then two more, then four more. Doubles with each consecutive refusal.
    const REGROWTH_INTERVAL_MS: u64 = 50;
    /// The time without a refusal that resets the count of refusals, in milliseconds.
    const REFUSAL_RESET_MS: u64 = 3_000;
    /// The maximum number of doublings of an interval.
    const MAX_DOUBLINGS: u32 = 6;

    /// Returns whether the endpoint may get new requests.
    pub(super) const fn is_available(&self, now_ms: u64) -> bool {
        now_ms >= self.blocked_until_ms && now_ms >= self.backoff_until_ms
    }

    /// Returns the number of slots that the endpoint is expected to have.
    pub(super) fn slots(&self, declared: u32, now_ms: u64) -> u32 {
        self.observed_slots.map_or(declared, |observed_slots| {
            let intervals = now_ms.saturating_sub(self.observed_ms) / self.regrowth_interval_ms();
            let added_slots = (1_u32 << intervals.min(16)) - 1;
            observed_slots.saturating_add(added_slots).min(declared)
        })
    }

    /// Records a grant. An endpoint that has failed gets one request at a time as a probe.
    pub(super) fn record_grant(&mut self, now_ms: u64) {
        if self.failures > 0 {
            self.blocked_until_ms = now_ms + self.backoff_ms();
        }
    }

    /// Records how a request ended, with `held` slots still in use.
    pub(super) fn record_outcome(&mut self, outcome: SlotOutcome, held: u32, now_ms: u64) {
        match outcome {
            SlotOutcome::Answered => {
                self.failures = 0;
                self.blocked_until_ms = 0;
            }
            SlotOutcome::Backoff(backoff_ms) => {
                let until_ms = now_ms + u64::from(backoff_ms);
                self.backoff_until_ms = self.backoff_until_ms.max(until_ms);
            }
            SlotOutcome::Full => {
                let elapsed_ms = now_ms.saturating_sub(self.observed_ms);
                self.refusals = match elapsed_ms {
                    elapsed_ms if elapsed_ms > Self::REFUSAL_RESET_MS => 0,
                    // Concurrent requests that are refused together count as one refusal.
                    elapsed_ms if elapsed_ms < self.regrowth_interval_ms() => self.refusals,
                    _ => self.refusals + 1,
                };
                self.observed_slots = Some(held.max(1));
                self.observed_ms = now_ms;
                self.blocked_until_ms = now_ms + Self::FULL_BACKOFF_MS;
            }
            SlotOutcome::Lost => {
                self.failures = self.failures.saturating_add(1);
                self.blocked_until_ms = now_ms + self.backoff_ms();
            }
        }
    }

    fn regrowth_interval_ms(&self) -> u64 {
        Self::REGROWTH_INTERVAL_MS << self.refusals.min(Self::MAX_DOUBLINGS)
    }

    fn backoff_ms(&self) -> u64 {
        let doublings = self.failures.saturating_sub(1).min(Self::MAX_DOUBLINGS);
        Self::MAX_BACKOFF_MS.min(Self::INITIAL_BACKOFF_MS << doublings)
    }
}

#[cfg(test)]
mod tests;
