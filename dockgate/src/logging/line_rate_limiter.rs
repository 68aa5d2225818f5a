//! Rate limit of log lines about requests.
//!
//! It bounds the processor time and the log volume when many requests are refused at once.

/// Limits the lines about requests in each second, and counts the suppressed ones.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LineRateLimiter {
    second: u64,
    admitted: u64,
    suppressed: u64,
}

impl LineRateLimiter {
    /// Maximum number of lines per second, excluding those of sampled requests.
    pub(crate) const MAX_PER_SECOND: u64 = 200;

    /// Creates a limiter that has admitted no lines.
    pub(crate) const fn new() -> Self {
        Self {
            second: 0,
            admitted: 0,
            suppressed: 0,
        }
    }

    /// Returns whether a line may be written now, and counts it.
    pub(crate) const fn admit(&mut self, now_ms: u64) -> bool {
        let second = now_ms / 1_000;
        if second != self.second {
            self.second = second;
            self.admitted = 0;
        }
        let is_admitted = self.admitted < Self::MAX_PER_SECOND;
        match is_admitted {
            true => self.admitted += 1,
            false => self.suppressed += 1,
        }
        is_admitted
    }

    /// Returns the number of lines that were suppressed since the last call.
    pub(crate) const fn take_suppressed(&mut self) -> u64 {
        std::mem::replace(&mut self.suppressed, 0)
    }
}

#[cfg(test)]
mod tests;
