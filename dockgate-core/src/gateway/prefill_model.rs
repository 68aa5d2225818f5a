//! How long an engine takes to a first event: learned from the first events that are seen.
//!
//! Three unknowns: a fixed time that every first event takes (hops, steps, start-up of the answer), a
//! time for each token that is read, and a time for each pair of tokens, as a token attends to all
//! before it. A first event at an engine that was idle tells of all three; one that follows another
//! tells of reading alone. Recursive least squares with forgetting fits them, so that an engine that
//! warms up, slows down or turns bad is followed within some tens of first events.
//!
//! ```
//! use dockgate_core::gateway::{PrefillWork, PrefillModel, PrefillSample};
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

/// What an engine has to read of one prompt.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PrefillWork {
    tokens: u32,
    kilotokens: f64,
    megapairs: f64,
}

impl PrefillWork {
    /// Makes the work of reading `unread` tokens behind `kept` tokens that need not be read.
    pub fn new(kept: u32, unread: u32) -> Self {
        let (before, read) = (f64::from(kept), f64::from(unread));
        Self {
            tokens: unread,
            kilotokens: read / 1e3,
            megapairs: read * (before + read / 2.0) / 1e6,
        }
    }

    /// Returns how many tokens are read.
    pub const fn tokens(self) -> u32 {
        self.tokens
    }
}

/// One first event, and what came before it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillSample {
    /// What was read for it.
    pub work: PrefillWork,
    /// Since the prompt was placed, where the engine was idle; else since the first event before.
    pub took_ms: f64,
    /// Whether the engine had nothing else to read when the prompt was placed.
    pub was_idle: bool,
}

/// What is learned of an engine, to tell other boxes; whole microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillSpeed {
    /// What every first event takes.
    pub fixed_us: u32,
    /// For each thousand tokens that are read.
    pub kilotoken_us: u32,
    /// For each million pairs of a token that is read and one before it.
    pub megapair_us: u32,
}

impl PrefillSpeed {
    /// Returns the less of each time.
    #[must_use]
    pub fn min_each(self, other: Self) -> Self {
        Self {
            fixed_us: self.fixed_us.min(other.fixed_us),
            kilotoken_us: self.kilotoken_us.min(other.kilotoken_us),
            megapair_us: self.megapair_us.min(other.megapair_us),
        }
    }
}

/// The number of unknowns.
const UNKNOWNS: usize = 3;
type Row = [f64; UNKNOWNS];

/// The learned times of one engine, in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct PrefillModel {
    /// Fixed, for each thousand tokens, for each million pairs.
    times: Row,
    /// How uncertain each time is, and how they go together.
    covariance: [Row; UNKNOWNS],
}

impl Default for PrefillModel {
    fn default() -> Self {
        Self::new(Self::START)
    }
}

impl From<PrefillSpeed> for PrefillModel {
    fn from(speed: PrefillSpeed) -> Self {
        let micros = [speed.fixed_us, speed.kilotoken_us, speed.megapair_us];
        Self::new(micros.map(|micros| f64::from(micros) / 1e3))
    }
}

impl PrefillModel {
    /// Start values until first events were seen: two hops and a step; 31 tokens a millisecond, the
    /// slower end of today's engines, as what is admitted too early is late for everyone behind.
    const START: Row = [30.0, 32.0, 0.7];
    /// How far a start value may be off.
    const START_SPREAD: Row = [40.0, 20.0, 0.4];
    /// Bounds of what is learned, so that nonsense never closes or opens an engine for good.
    const LEAST: Row = [1.0, 0.2, 0.0];
    const MOST: Row = [2_000.0, 500.0, 10.0];
    /// The weight of each older first event against the next newer one: the last hundred count, some
    /// seconds of a busy engine.
    const FORGETTING: f64 = 0.99;
    /// How far first events scatter about any model, in milliseconds: about a step with a piece of a
    /// prompt.
    const NOISE_MS: f64 = 15.0;
    /// A first event counts as this much off its prediction at most, in parts of it and milliseconds:
    /// one that was held up elsewhere says nothing of the engine.
    const MOST_OFF_PART: f64 = 0.7;
    const MOST_OFF_MS: f64 = 30.0;

    fn new(times: Row) -> Self {
        let mut covariance = [[0.0; UNKNOWNS]; UNKNOWNS];
        for (index, row) in covariance.iter_mut().enumerate() {
            row[index] = Self::START_SPREAD[index].powi(2);
        }
        Self { times, covariance }
    }

    /// Returns what every first event takes, in milliseconds.
    pub const fn fixed_ms(&self) -> f64 {
        self.times[0]
    }

    /// Returns how long reading takes, in milliseconds.
    pub fn prefill_ms(&self, work: PrefillWork) -> f64 {
        self.times[1] * work.kilotokens + self.times[2] * work.megapairs
    }

    /// Returns how long a first event takes at an idle engine, in milliseconds.
    pub fn first_event_ms(&self, work: PrefillWork) -> f64 {
        self.fixed_ms() + self.prefill_ms(work)
    }

    /// Returns what is learned, to tell other boxes.
    pub fn speed(&self) -> PrefillSpeed {
        let [fixed_us, kilotoken_us, megapair_us] = self.times.map(|ms| (ms * 1e3) as u32);
        PrefillSpeed {
            fixed_us,
            kilotoken_us,
            megapair_us,
        }
    }

    /// Learns from a first event.
    pub fn learn(&mut self, sample: PrefillSample) {
        let fixed = if sample.was_idle { 1.0 } else { 0.0 };
        let seen = [fixed, sample.work.kilotokens, sample.work.megapairs];
        let expected_ms = dot(&self.times, &seen);
        let most_off = expected_ms * Self::MOST_OFF_PART + Self::MOST_OFF_MS;
        let off_ms = (sample.took_ms - expected_ms).clamp(-most_off, most_off);
        let spread = self.covariance.map(|row| dot(&row, &seen));
        let variance = dot(&spread, &seen) + Self::FORGETTING * Self::NOISE_MS.powi(2);
        let gain = spread.map(|spread| spread / variance);
        for (index, time) in self.times.iter_mut().enumerate() {
            let learned = *time + gain[index] * off_ms;
            *time = learned.clamp(Self::LEAST[index], Self::MOST[index]);
        }
        for (gain, row) in gain.iter().zip(&mut self.covariance) {
            for (spread, cell) in spread.iter().zip(row) {
                *cell = (*cell - gain * spread) / Self::FORGETTING;
            }
        }
        self.limit_spread();
    }

    /// Keeps what no first event tells of as uncertain as at the start, and no more: forgetting alone
    /// would let it grow without end.
    fn limit_spread(&mut self) {
        for index in 0..UNKNOWNS {
            let most = Self::START_SPREAD[index].powi(2);
            let factor = (most / self.covariance[index][index]).sqrt();
            if factor >= 1.0 {
                continue;
            }
            for other in 0..UNKNOWNS {
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
