//! A model of the time to first event at an engine, learned from observed first events.
//!
//! The model has three coefficients: a fixed time for each first event (network hops, a decoding
//! step, start of the answer), a time per prefilled token, and a time per pair of tokens, as each
//! token attends to all before it. A first event at an idle engine depends on all three; one that
//! follows another depends on the prefill alone. The coefficients are fitted by recursive least
//! squares with a forgetting factor, so that the model follows an engine whose speed changes.
//!
//! ```
//! use dockgate_core::gateway::{PrefillModel, PrefillSample, PrefillWork};
//!
//! let mut model = PrefillModel::default();
//! for _ in 0..200 {
//!     for tokens in [200, 2_000, 8_000] {
//!         let work = PrefillWork::new(0, tokens);
//!         let took_ms = 50.0 + f64::from(tokens) / 100.0;
//!         model.learn(PrefillSample { work, took_ms, was_idle: true });
//!     }
//! }
//! assert!((model.first_event_ms(PrefillWork::new(0, 4_000)) - 90.0).abs() < 5.0);
//! ```

use serde::{Deserialize, Serialize};

/// The prefill work for one prompt.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PrefillWork {
    tokens: u32,
    kilotokens: f64,
    megapairs: f64,
}

impl PrefillWork {
    /// Creates the work of prefilling `uncached` tokens that follow `cached` tokens.
    pub fn new(cached: u32, uncached: u32) -> Self {
        let (prefix, prefilled) = (f64::from(cached), f64::from(uncached));
        Self {
            tokens: uncached,
            kilotokens: prefilled / 1e3,
            megapairs: prefilled * (prefix + prefilled / 2.0) / 1e6,
        }
    }

    /// Returns the number of tokens to prefill.
    pub const fn tokens(self) -> u32 {
        self.tokens
    }
}

/// An observed first event.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillSample {
    /// The prefill work of its prompt.
    pub work: PrefillWork,
    /// The time since the prompt was placed if the engine was idle, or else since the previous
    /// first event, in milliseconds.
    pub took_ms: f64,
    /// Whether the engine had no other prompt to prefill when this one was placed.
    pub was_idle: bool,
}

/// The learned times of an engine in whole microseconds, as reported to other boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillSpeed {
    /// The fixed time of each first event.
    pub fixed_us: u32,
    /// The time per thousand prefilled tokens.
    pub kilotoken_us: u32,
    /// The time per million pairs of a prefilled token and one before it.
    pub megapair_us: u32,
}

impl PrefillSpeed {
    /// Reported by a box that knows no speed of an endpoint.
    pub const UNKNOWN: Self = Self {
        fixed_us: 0,
        kilotoken_us: 0,
        megapair_us: 0,
    };

    /// Returns the minimum of each time.
    #[must_use]
    pub fn min_each(self, other: Self) -> Self {
        Self {
            fixed_us: self.fixed_us.min(other.fixed_us),
            kilotoken_us: self.kilotoken_us.min(other.kilotoken_us),
            megapair_us: self.megapair_us.min(other.megapair_us),
        }
    }
}

/// The number of coefficients of the model.
const COEFFICIENTS: usize = 3;
type Row = [f64; COEFFICIENTS];

/// The prefill model of one engine, in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct PrefillModel {
    /// The fixed time, the time per thousand tokens, and the time per million pairs.
    coefficients: Row,
    /// The covariance of the estimated times.
    covariance: [Row; COEFFICIENTS],
}

impl Default for PrefillModel {
    fn default() -> Self {
        Self::new(Self::INITIAL)
    }
}

impl From<PrefillSpeed> for PrefillModel {
    fn from(speed: PrefillSpeed) -> Self {
        let micros = [speed.fixed_us, speed.kilotoken_us, speed.megapair_us];
        Self::new(micros.map(|micros| f64::from(micros) / 1e3))
    }
}

impl PrefillModel {
    /// The initial times: two hops and a decoding step, and the speed of a slow engine, as an
    /// optimistic start admits prompts too early and delays all that follow.
    const INITIAL: Row = [30.0, 32.0, 0.7];
    /// The standard deviation of each initial time.
    const INITIAL_DEVIATION: Row = [40.0, 20.0, 0.4];
    /// Bounds of the learned times, so that outliers cannot exclude or overload an engine
    /// permanently.
    const MIN: Row = [1.0, 0.2, 0.0];
    const MAX: Row = [2_000.0, 500.0, 10.0];
    /// The weight of each first event relative to the next one: about the last hundred count.
    const FORGETTING: f64 = 0.99;
    /// The standard deviation of a first event around its prediction, in milliseconds: about one
    /// decoding step with a chunk of a prompt.
    const NOISE_MS: f64 = 15.0;
    /// The bound of the prediction error used in an update: a fraction of the prediction plus a
    /// number of milliseconds. A longer delay has causes other than the engine.
    const MAX_ERROR_FRACTION: f64 = 0.7;
    const MAX_ERROR_MS: f64 = 30.0;

    fn new(coefficients: Row) -> Self {
        let mut covariance = [[0.0; COEFFICIENTS]; COEFFICIENTS];
        for (index, row) in covariance.iter_mut().enumerate() {
            row[index] = Self::INITIAL_DEVIATION[index].powi(2);
        }
        Self {
            coefficients,
            covariance,
        }
    }

    /// Returns the fixed time of each first event, in milliseconds.
    pub const fn fixed_ms(&self) -> f64 {
        self.coefficients[0]
    }

    /// Returns the standard deviation of the fixed time, in milliseconds: large while all first
    /// events were similar, so that the fixed time and the prefill cannot be told apart.
    pub fn fixed_deviation_ms(&self) -> f64 {
        self.covariance[0][0].sqrt()
    }

    /// Returns the prefill time, in milliseconds.
    pub fn prefill_ms(&self, work: PrefillWork) -> f64 {
        self.coefficients[1] * work.kilotokens + self.coefficients[2] * work.megapairs
    }

    /// Returns the time to the first event at an idle engine, in milliseconds.
    pub fn first_event_ms(&self, work: PrefillWork) -> f64 {
        self.fixed_ms() + self.prefill_ms(work)
    }

    /// Returns the learned times in the form reported to other boxes.
    pub fn speed(&self) -> PrefillSpeed {
        let [fixed_us, kilotoken_us, megapair_us] = self.coefficients.map(|ms| (ms * 1e3) as u32);
        PrefillSpeed {
            fixed_us,
            kilotoken_us,
            megapair_us,
        }
    }

    /// Updates the model from an observed first event.
    pub fn learn(&mut self, sample: PrefillSample) {
        let fixed = if sample.was_idle { 1.0 } else { 0.0 };
        let inputs = [fixed, sample.work.kilotokens, sample.work.megapairs];
        let expected_ms = dot(&self.coefficients, &inputs);
        let max_error_ms = expected_ms * Self::MAX_ERROR_FRACTION + Self::MAX_ERROR_MS;
        let error_ms = (sample.took_ms - expected_ms).clamp(-max_error_ms, max_error_ms);
        let spread = self.covariance.map(|row| dot(&row, &inputs));
        let variance = dot(&spread, &inputs) + Self::FORGETTING * Self::NOISE_MS.powi(2);
        let gain = spread.map(|spread| spread / variance);
        for (index, coefficient) in self.coefficients.iter_mut().enumerate() {
            let learned = *coefficient + gain[index] * error_ms;
            *coefficient = learned.clamp(Self::MIN[index], Self::MAX[index]);
        }
        for (gain, row) in gain.iter().zip(&mut self.covariance) {
            for (spread, cell) in spread.iter().zip(row) {
                *cell = (*cell - gain * spread) / Self::FORGETTING;
            }
        }
        self.limit_variance();
    }

    /// Limits each variance to its initial value.
    ///
    /// Without a limit, forgetting would increase the variance of a time without bound while no
    /// first event depends on it.
    fn limit_variance(&mut self) {
        for index in 0..COEFFICIENTS {
            let max_variance = Self::INITIAL_DEVIATION[index].powi(2);
            let factor = (max_variance / self.covariance[index][index]).sqrt();
            if factor >= 1.0 {
                continue;
            }
            for other in 0..COEFFICIENTS {
                self.covariance[index][other] *= factor;
                self.covariance[other][index] *= factor;
            }
        }
    }
}

fn dot(left: &Row, right: &Row) -> f64 {
    left.iter()
        .zip(right)
        .map(|(left, right)| left * right)
        .sum()
}

#[cfg(test)]
mod tests;
