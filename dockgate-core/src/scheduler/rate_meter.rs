//! The rate at which held slots consume service.

/// A moving average of service units per second and held slot.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RateMeter {
    units: f64,
    rate: f64,
    last_ms: u64,
}

impl RateMeter {
    /// The minimum window of a sample, in milliseconds.
    const MIN_WINDOW_MS: u64 = 1_000;
    /// The weight of a new sample in the average.
    const SAMPLE_WEIGHT: f64 = 0.3;

    /// Adds service units to the current window.
    pub(super) fn add_units(&mut self, units: f64) {
        self.units += units;
    }

    /// Closes the window if it is long enough, and returns whether it was closed.
    ///
    /// `held` is the number of slots held in the window.
    pub(super) fn advance(&mut self, now_ms: u64, held: u32) -> bool {
        let elapsed = now_ms.saturating_sub(self.last_ms);
        if elapsed < Self::MIN_WINDOW_MS {
            return false;
        }
        if held > 0 && self.last_ms > 0 {
            let slot_seconds = f64::from(held) * elapsed as f64 / 1_000.0;
            let sample = self.units / slot_seconds;
            self.rate = match self.rate {
                0.0 => sample,
                old => old + Self::SAMPLE_WEIGHT * (sample - old),
            };
        }
        self.units = 0.0;
        self.last_ms = now_ms;
        true
    }

    /// Returns the service units per second and held slot.
    pub(super) const fn rate(&self) -> f64 {
        self.rate
    }
}
