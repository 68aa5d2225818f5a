//! How far an endpoint is trusted with new work: circuit breaking with probes, and learned slots.

/// What an entry saw of an endpoint when a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotOutcome {
    /// It answered.
    Answered,
    /// It refused, as it is full.
    Full,
    /// It refused, and asked to be sent nothing for so many milliseconds.
    Backoff(u32),
    /// It could not be reached, or was lost inside an answer.
    Lost,
}

/// The trust in one endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SlotHealth {
    failures: u32,
    closed_until_ms: u64,
    /// Until when it asked to be sent nothing: an answer that was under way says nothing of that.
    rests_until_ms: u64,
    /// Slots that it was seen to have, where that is fewer than it is declared to have.
    learned: Option<u32>,
    learned_ms: u64,
    /// Refusals in a row, without a calm time between them.
    refusals: u32,
}

impl SlotHealth {
    /// How long an endpoint rests after its first failure, in milliseconds; doubles with each more.
    const REST_MS: u64 = 100;
    /// The longest rest, in milliseconds.
    const MOST_REST_MS: u64 = 5_000;
    /// How long a full endpoint rests, in milliseconds.
    const FULL_REST_MS: u64 = 20;
    /// After how many milliseconds without a refusal one slot more is tried, then two, then four;
    /// doubles with every refusal in a row.
    const REGROW_MS: u64 = 50;
    /// How long no refusal must come until they no longer count as in a row, in milliseconds.
    const CALM_MS: u64 = 3_000;
    /// The most doublings.
    const MOST_DOUBLINGS: u32 = 6;

    /// Tells whether the endpoint may get new work now.
    pub(super) const fn is_open(&self, now_ms: u64) -> bool {
        now_ms >= self.closed_until_ms && now_ms >= self.rests_until_ms
    }

    /// Returns how many slots to count on.
    pub(super) fn slots(&self, declared: u32, now_ms: u64) -> u32 {
        self.learned.map_or(declared, |learned| {
            let steps = now_ms.saturating_sub(self.learned_ms) / self.regrow_ms();
            let regrown = (1_u32 << steps.min(16)) - 1;
            learned.saturating_add(regrown).min(declared)
        })
    }

    /// Notes new work: while it is doubted, an endpoint gets one request at a time as a probe.
    pub(super) fn granted(&mut self, now_ms: u64) {
        if self.failures > 0 {
            self.closed_until_ms = now_ms + self.rest_ms();
        }
    }

    /// Notes how a request ended; `held` slots are still held.
    pub(super) fn note(&mut self, sign: SlotOutcome, held: u32, now_ms: u64) {
        match sign {
            SlotOutcome::Answered => {
                self.failures = 0;
                self.closed_until_ms = 0;
            }
            SlotOutcome::Backoff(rest_ms) => {
                let until_ms = now_ms + u64::from(rest_ms);
                self.rests_until_ms = self.rests_until_ms.max(until_ms);
            }
            SlotOutcome::Full => {
                let since = now_ms.saturating_sub(self.learned_ms);
                self.refusals = match since {
                    since if since > Self::CALM_MS => 0,
                    // Requests that were under way together are refused together: that is one sign.
                    since if since < self.regrow_ms() => self.refusals,
                    _ => self.refusals + 1,
                };
                self.learned = Some(held.max(1));
                self.learned_ms = now_ms;
                self.closed_until_ms = now_ms + Self::FULL_REST_MS;
            }
            SlotOutcome::Lost => {
                self.failures = self.failures.saturating_add(1);
                self.closed_until_ms = now_ms + self.rest_ms();
            }
        }
    }

    fn regrow_ms(&self) -> u64 {
        Self::REGROW_MS << self.refusals.min(Self::MOST_DOUBLINGS)
    }

    fn rest_ms(&self) -> u64 {
        let doublings = self.failures.saturating_sub(1).min(Self::MOST_DOUBLINGS);
        Self::MOST_REST_MS.min(Self::REST_MS << doublings)
    }
}

#[cfg(test)]
mod tests;
