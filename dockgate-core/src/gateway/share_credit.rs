//! Credit of a workspace at one box, refilled at its guaranteed rate.

/// Token bucket in service units that may be overdrawn by one prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ShareCredit {
    /// Balance in service units; negative if overdrawn.
    balance: f64,
    /// Time of the balance.
    at_ms: u64,
    /// Refill rate, in service units per millisecond.
    per_ms: f64,
    /// Upper bound of the balance.
    max: f64,
}

impl ShareCredit {
    /// Creates a credit with a balance of service units and no refill.
    pub(super) const fn new(balance: f64, now_ms: u64) -> Self {
        Self {
            balance,
            at_ms: now_ms,
            per_ms: 0.0,
            max: f64::INFINITY,
        }
    }

    /// Sets the upper bound of the balance, in service units.
    #[must_use]
    pub(super) const fn with_max(mut self, units: f64) -> Self {
        self.max = units;
        self
    }

    /// Sets the refill rate from `now_ms` on, in service units per millisecond.
    #[must_use]
    pub(super) fn with_rate(mut self, per_ms: f64, now_ms: u64) -> Self {
        self.balance = self.balance_at(now_ms);
        self.at_ms = now_ms;
        self.per_ms = per_ms;
        self
    }

    /// Returns the refill rate, in service units per millisecond.
    pub(super) const fn per_ms(&self) -> f64 {
        self.per_ms
    }

    fn balance_at(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        (self.balance + passed_ms * self.per_ms).min(self.max)
    }

    /// Returns whether a prompt may be admitted. Its size does not matter, as it may overdraw the
    /// balance.
    pub(super) fn is_available(&self, now_ms: u64) -> bool {
        self.balance_at(now_ms) >= 0.0
    }

    /// Deducts service units from the balance.
    pub(super) fn spend(&mut self, units: f64, now_ms: u64) {
        self.balance = self.balance_at(now_ms) - units;
        self.at_ms = now_ms;
    }

    /// Returns service units to the balance.
    pub(super) fn refund(&mut self, units: f64, now_ms: u64) {
        self.balance = (self.balance_at(now_ms) + units).min(self.max);
        self.at_ms = now_ms;
    }
}

#[cfg(test)]
mod tests;
