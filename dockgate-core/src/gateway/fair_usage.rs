//! What a workspace takes at one box, beside the rate that is its fair part.

/// What was taken lately, and how much may be.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct FairUsage {
    /// Service units that were taken here, fading.
    taken: f64,
    /// When that was worked out.
    at_ms: u64,
    /// The fair rate, in service units a millisecond.
    fair_per_ms: f64,
    /// What was taken over the whole fleet as a part of what is fair there, some tenths of a second ago.
    fleet_part: f64,
}

impl FairUsage {
    /// In how many milliseconds what was taken falls to 1/e.
    const MEMORY_MS: f64 = 1_000.0;

    /// Makes one of a workspace that has taken so many service units a millisecond.
    pub(super) const fn new(taken_per_ms: f64, now_ms: u64) -> Self {
        Self {
            taken: taken_per_ms * Self::MEMORY_MS,
            at_ms: now_ms,
            fair_per_ms: 0.0,
            fleet_part: 1.0,
        }
    }

    /// Sets the fair rate, in service units a millisecond.
    #[must_use]
    pub(super) const fn fair(mut self, per_ms: f64) -> Self {
        self.fair_per_ms = per_ms;
        self
    }

    /// Sets what was taken over the whole fleet as a part of what is fair there.
    #[must_use]
    pub(super) const fn fleet_part(mut self, part: f64) -> Self {
        self.fleet_part = part;
        self
    }

    fn taken_at(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.taken * (-passed_ms / Self::MEMORY_MS).exp()
    }

    /// Notes that a prompt of so many service units was taken.
    pub(super) fn record(&mut self, units: f64, now_ms: u64) {
        self.taken = self.taken_at(now_ms) + units;
        self.at_ms = now_ms;
    }

    /// Returns what is taken as a part of what is fair, for a prompt of so many service units: what is taken here, as far
    /// as prompts of that size come often enough to know, else what is taken in the fleet.
    pub(super) fn part(&self, units: f64, now_ms: u64) -> f64 {
        let fair = self.fair_per_ms * Self::MEMORY_MS;
        let weight = fair / (fair + units).max(1.0);
        let here = self.taken_at(now_ms) / fair.max(1.0);
        here * weight + self.fleet_part * (1.0 - weight)
    }
}

#[cfg(test)]
mod tests;
