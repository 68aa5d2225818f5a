//! Service admitted for a workspace at one box, relative to its fair rate.

/// Exponentially decaying admitted service, and the fair rate it is compared with.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct FairUsage {
    /// Decaying total of admitted service units at this box.
    admitted: f64,
    /// Time to which the total is decayed.
    at_ms: u64,
    /// Fair rate, in service units per millisecond.
    fair_per_ms: f64,
    /// Admitted service over fair share in the whole fleet; lags by some tenths of a second.
    fleet_ratio: f64,
}

impl FairUsage {
    /// Time constant of the decay, in milliseconds.
    const DECAY_MS: f64 = 1_000.0;

    /// Creates the usage of a workspace for which service was admitted at a steady rate, in service
    /// units per millisecond.
    pub(super) const fn new(admitted_per_ms: f64, now_ms: u64) -> Self {
        Self {
            admitted: admitted_per_ms * Self::DECAY_MS,
            at_ms: now_ms,
            fair_per_ms: 0.0,
            fleet_ratio: 1.0,
        }
    }

    /// Sets the fair rate, in service units per millisecond.
    #[must_use]
    pub(super) const fn with_fair_rate(mut self, per_ms: f64) -> Self {
        self.fair_per_ms = per_ms;
        self
    }

    /// Sets the admitted service over the fair share in the whole fleet.
    #[must_use]
    pub(super) const fn with_fleet_ratio(mut self, ratio: f64) -> Self {
        self.fleet_ratio = ratio;
        self
    }

    /// Returns the fair rate, in service units per millisecond.
    pub(super) const fn fair_per_ms(&self) -> f64 {
        self.fair_per_ms
    }

    fn admitted_at(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.admitted * (-passed_ms / Self::DECAY_MS).exp()
    }

    /// Records an admitted prompt, in service units.
    pub(super) fn record(&mut self, units: f64, now_ms: u64) {
        self.admitted = self.admitted_at(now_ms) + units;
        self.at_ms = now_ms;
    }

    /// Takes back an admitted prompt, in service units.
    pub(super) fn retract(&mut self, units: f64, now_ms: u64) {
        self.admitted = (self.admitted_at(now_ms) - units).max(0.0);
        self.at_ms = now_ms;
    }

    /// Returns the admitted service over the fair share for a prompt of `units` service units. The
    /// ratio of the fleet replaces that of this box where prompts of that size are rare.
    pub(super) fn fair_ratio(&self, units: f64, now_ms: u64) -> f64 {
        let fair = self.fair_per_ms * Self::DECAY_MS;
        let weight = fair / (fair + units).max(1.0);
        let local = self.admitted_at(now_ms) / fair.max(1.0);
        local * weight + self.fleet_ratio * (1.0 - weight)
    }
}

#[cfg(test)]
mod tests;
