//! How much service a held slot takes a second.

/// A moving average of service units a second for one held slot.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RateMeter {
    units: f64,
    rate: f64,
    last_ms: u64,
}

impl RateMeter {
    /// The shortest window that is worth a sample, in milliseconds.
    const WINDOW_MS: u64 = 1_000;
    /// The weight of a new sample.
    const WEIGHT: f64 = 0.3;

    /// Counts service given.
    pub(super) fn add_units(&mut self, units: f64) {
        self.units += units;
    }

    /// Closes the window if it is long enough, and tells whether it was; `held` slots were held in it.
    pub(super) fn advance(&mut self, now_ms: u64, held: u32) -> bool {
        let elapsed = now_ms.saturating_sub(self.last_ms);
        if elapsed < Self::WINDOW_MS {
            return false;
        }
        if held > 0 && self.last_ms > 0 {
            let slot_seconds = f64::from(held) * elapsed as f64 / 1_000.0;
            let sample = self.units / slot_seconds;
            self.rate = match self.rate {
                0.0 => sample,
                old => old + Self::WEIGHT * (sample - old),
            };
        }
        self.units = 0.0;
        self.last_ms = now_ms;
        true
    }

    /// Returns service units a second for one held slot.
    pub(super) const fn rate(&self) -> f64 {
        self.rate
    }
}
