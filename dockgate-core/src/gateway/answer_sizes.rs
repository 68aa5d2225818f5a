//! The expected sizes of answers that are read whole.
//!
//! An answer takes memory after its request was admitted, and its size is not known before. The
//! mean of what the same workspace got from the same service is reserved when a request is
//! admitted, and the mean deviation from it, since larger answers come before smaller ones end.
//!
//! ```
//! use dockgate_core::gateway::{AnswerKey, AnswerSizes};
//!
//! let key = AnswerKey { workspace: 1, service: 2 };
//! let mut sizes = AnswerSizes::default();
//! assert_eq!(sizes.expected(key), AnswerSizes::UNKNOWN_BYTES);
//! for _ in 0..50 {
//!     sizes.record(key, 600_000);
//! }
//! assert!((590_000..650_000).contains(&sizes.expected(key)));
//! ```

use std::collections::HashMap;

/// The workspace that gets an answer and the service that gives it, by the hashes of their names.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct AnswerKey {
    /// The workspace.
    pub workspace: u64,
    /// The service.
    pub service: u64,
}

/// The sizes of the answers of each service to each workspace.
#[derive(Debug, Clone, Default)]
pub struct AnswerSizes {
    means: HashMap<AnswerKey, MeanSize>,
}

/// The moving averages of the sizes of answers, in bytes.
#[derive(Debug, Clone, Copy)]
struct MeanSize {
    mean: f64,
    /// The mean absolute deviation.
    deviation: f64,
}

impl MeanSize {
    const UNKNOWN: Self = Self {
        mean: AnswerSizes::UNKNOWN_BYTES as f64,
        deviation: 0.0,
    };
    /// The weight of the newest answer.
    const NEWEST_WEIGHT: f64 = 0.125;

    fn record(&mut self, bytes: u64) {
        let difference = bytes as f64 - self.mean;
        self.mean += difference * Self::NEWEST_WEIGHT;
        self.deviation += (difference.abs() - self.deviation) * Self::NEWEST_WEIGHT;
    }

    fn expected(self) -> u64 {
        (self.mean + self.deviation).ceil() as u64
    }
}

impl AnswerSizes {
    /// The expected size of an answer of which nothing is known, in bytes.
    pub const UNKNOWN_BYTES: u64 = 64 << 10;
    /// The number of means kept, which bounds their memory to some 100 kB.
    const MAX_MEANS: usize = 2_048;

    /// Returns the expected size of an answer in bytes.
    pub fn expected(&self, key: AnswerKey) -> u64 {
        let mean = self.means.get(&key).copied();
        mean.unwrap_or(MeanSize::UNKNOWN).expected()
    }

    /// Records the size of an answer in bytes.
    pub fn record(&mut self, key: AnswerKey, bytes: u64) {
        if self.means.len() >= Self::MAX_MEANS && !self.means.contains_key(&key) {
            let dropped = self.means.keys().next().copied();
            dropped.map(|key| self.means.remove(&key));
        }
        let mean = self.means.entry(key).or_insert(MeanSize::UNKNOWN);
        mean.record(bytes);
    }
}

#[cfg(test)]
mod tests;
