//! How far this box trusts one endpoint, by what it saw of it.
//!
//! An endpoint that failed rests, longer with each failure in a row; after that one request at a
//! time probes it. Failures that come between answers are seen by their ratio: an endpoint that
//! fails a good part of what it gets is left to others to replace for a moment after each failure,
//! and then tried again, so that it is seen to recover.

/// What was seen of an endpoint when a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointOutcome {
    /// It answered.
    Answered,
    /// It said that it is full.
    Full,
    /// It failed, broke off, or went silent.
    Failed,
    /// It could not be reached: it refused a connection, or another one answered in its place.
    Unreachable,
    /// It could not be reached, and said nothing at all.
    Silent,
}

/// The trust in one endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct EndpointHealth {
    failures_in_a_row: u32,
    closed_until_ms: u64,
    /// Moving share of requests that failed, 0 to 1.
    failed_part: f64,
    failed_ms: u64,
}

impl EndpointHealth {
    /// How long an endpoint rests after a failure, in milliseconds; doubles with each in a row.
    /// An endpoint that crashed is back after seconds, one whose connection broke at once.
    const REST_MS: u64 = 150;
    /// The longest rest, in milliseconds: below the time in which a crash must be recovered from.
    const MOST_REST_MS: u64 = 1_200;
    /// How long an endpoint that is full rests, in milliseconds: about one short request.
    const FULL_REST_MS: u64 = 15;
    /// How long an endpoint that cannot be reached rests at first, in milliseconds.
    const UNREACHABLE_REST_MS: u64 = 400;
    /// The weight of the newest request in the moving share.
    const NEWEST_WEIGHT: f64 = 0.15;
    /// Above this share of failures an endpoint counts as doubtful.
    const DOUBTFUL_PART: f64 = 0.25;
    /// For how long after a failure, in milliseconds: what fails half of the time does so for
    /// seconds, and must not be passed over for the rest of the day.
    const DOUBT_MS: u64 = 1_500;

    /// Tells whether the endpoint may get work now.
    pub const fn is_available(&self, now_ms: u64) -> bool {
        now_ms >= self.closed_until_ms
    }

    /// Tells whether it failed a moment ago, and fails so often that others go first.
    pub fn is_unreliable(&self, now_ms: u64) -> bool {
        self.failed_part > Self::DOUBTFUL_PART && now_ms < self.failed_ms + Self::DOUBT_MS
    }

    /// Notes that a request is sent; while the endpoint is doubted, it is the only one for a while.
    pub fn note_sent(&mut self, now_ms: u64) {
        if self.failures_in_a_row > 0 {
            self.closed_until_ms = now_ms + self.rest_ms(Self::REST_MS);
        }
    }

    /// Notes how a request ended.
    pub fn note(&mut self, sign: EndpointOutcome, now_ms: u64) {
        let failed = match sign {
            EndpointOutcome::Answered => 0.0,
            EndpointOutcome::Failed | EndpointOutcome::Unreachable | EndpointOutcome::Silent => 1.0,
            EndpointOutcome::Full => self.failed_part,
        };
        self.failed_part += (failed - self.failed_part) * Self::NEWEST_WEIGHT;
        match sign {
            EndpointOutcome::Answered => {
                self.failures_in_a_row = 0;
                self.closed_until_ms = 0;
            }
            EndpointOutcome::Full => self.close(now_ms + Self::FULL_REST_MS),
            EndpointOutcome::Failed => self.fail(Self::REST_MS, now_ms),
            EndpointOutcome::Unreachable | EndpointOutcome::Silent => {
                self.fail(Self::UNREACHABLE_REST_MS, now_ms);
            }
        }
    }

    fn fail(&mut self, rest_ms: u64, now_ms: u64) {
        self.failures_in_a_row = self.failures_in_a_row.saturating_add(1);
        self.failed_ms = now_ms;
        self.close(now_ms + self.rest_ms(rest_ms));
    }

    fn close(&mut self, until_ms: u64) {
        self.closed_until_ms = self.closed_until_ms.max(until_ms);
    }

    fn rest_ms(&self, first_ms: u64) -> u64 {
        let doublings = self.failures_in_a_row.saturating_sub(1).min(4);
        Self::MOST_REST_MS.min(first_ms << doublings)
    }
}

#[cfg(test)]
mod tests;
