//! What a workspace is owed at one box: a rate, and what it has not taken of it lately.

/// A rate of service, and what is left of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ShareCredit {
    /// Service units that are left; below zero, those taken in advance.
    left: f64,
    /// When that was worked out.
    at_ms: u64,
    /// The rate, in service units a millisecond.
    per_ms: f64,
    /// How much is left at most.
    most: f64,
}

impl ShareCredit {
    /// Makes a credit of which so many service units are left.
    pub(super) const fn new(left: f64, now_ms: u64) -> Self {
        Self {
            left,
            at_ms: now_ms,
            per_ms: 0.0,
            most: f64::INFINITY,
        }
    }

    /// Sets how many service units are left at most: what is not taken is not kept for ever.
    #[must_use]
    pub(super) const fn most(mut self, units: f64) -> Self {
        self.most = units;
        self
    }

    /// Sets the rate from now on, in service units a millisecond.
    #[must_use]
    pub(super) fn rate(mut self, per_ms: f64, now_ms: u64) -> Self {
        self.left = self.left_at(now_ms);
        self.at_ms = now_ms;
        self.per_ms = per_ms;
        self
    }

    fn left_at(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        (self.left + passed_ms * self.per_ms).min(self.most)
    }

    /// Tells whether anything is left: a prompt of any size may be taken then, in advance.
    pub(super) fn is_left(&self, now_ms: u64) -> bool {
        self.left_at(now_ms) >= 0.0
    }

    /// Takes so many service units.
    pub(super) fn spend(&mut self, units: f64, now_ms: u64) {
        self.left = self.left_at(now_ms) - units;
        self.at_ms = now_ms;
    }
}

#[cfg(test)]
mod tests;
