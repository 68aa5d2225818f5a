//! Whether the platform's store hears this box.
//!
//! A watch that is not answered looks like one during which nothing changes. So a box that relies
//! on its watches probes the store beside them, and takes a probe that is not answered in time for
//! silence: it then no longer says that it follows the store, and makes its watches anew once it is
//! heard again, since what they were answered meanwhile may be lost.
//!
//! ```
//! use dockgate_core::gateway::{ProbeChange, StoreProbe};
//!
//! let mut probe = StoreProbe::default();
//! probe.record(true, 1_000);
//! assert_eq!(probe.record(false, 1_300), Some(ProbeChange::Down));
//! assert_eq!(probe.record(true, 4_000), Some(ProbeChange::Up { down_ms: 3_000 }));
//! ```

/// What a probe says that those before it did not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeChange {
    /// The store has fallen silent.
    Down,
    /// It answers again.
    Up {
        /// How long after the last probe that was answered, in milliseconds.
        down_ms: u64,
    },
}

/// How often the store is probed, and how long each answer may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeTiming {
    /// How long after an answer the next probe is sent, in milliseconds.
    pub interval_ms: u64,
    /// After how long without an answer the store is taken for silent, in milliseconds.
    pub timeout_ms: u64,
}

impl ProbeTiming {
    /// Of the time within which all boxes must know of a change, which part passes between probes,
    /// and which part until one counts as unanswered. Both, and the time in which another box is
    /// found that is heard and tells the others, must fit into it: at 3 s, 0.8 s of the 2.3 s that
    /// are counted for all.
    const INTERVAL_DIVISOR: u64 = 10;
    const TIMEOUT_DIVISOR: u64 = 6;
    /// The least of both, in milliseconds: a store that is sixty times slower than usual takes 240.
    const MIN_INTERVAL_MS: u64 = 200;
    const MIN_TIMEOUT_MS: u64 = 350;

    /// Makes the rule for a time within which all boxes must know of a change, in milliseconds.
    pub fn within(bound_ms: u64) -> Self {
        Self {
            interval_ms: (bound_ms / Self::INTERVAL_DIVISOR).max(Self::MIN_INTERVAL_MS),
            timeout_ms: (bound_ms / Self::TIMEOUT_DIVISOR).max(Self::MIN_TIMEOUT_MS),
        }
    }
}

/// What the probes so far say.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreProbe {
    /// When the last probe that was answered was sent.
    last_answered_ms: Option<u64>,
    /// Since when each one was.
    answered_since_ms: Option<u64>,
}

impl StoreProbe {
    /// Notes what became of a probe that was sent at `sent_ms`.
    pub fn record(&mut self, answered: bool, sent_ms: u64) -> Option<ProbeChange> {
        match (answered, self.answered_since_ms) {
            (true, Some(_)) => {
                self.last_answered_ms = Some(sent_ms);
                None
            }
            (true, None) => {
                let down_ms = self
                    .last_answered_ms
                    .map(|heard| sent_ms.saturating_sub(heard));
                self.last_answered_ms = Some(sent_ms);
                self.answered_since_ms = Some(sent_ms);
                down_ms.map(|down_ms| ProbeChange::Up { down_ms })
            }
            (false, since) => {
                self.answered_since_ms = None;
                since.map(|_| ProbeChange::Down)
            }
        }
    }

    /// Forgets what was noted: the store is not probed for a while.
    pub fn pause(&mut self) {
        *self = Self::default();
    }

    /// Returns since when each probe is answered; none where the last one was not.
    pub const fn answered_since_ms(&self) -> Option<u64> {
        self.answered_since_ms
    }

    /// Returns when the last probe was sent, where it was answered.
    pub fn proof_ms(&self) -> Option<u64> {
        self.answered_since_ms.and(self.last_answered_ms)
    }
}

#[cfg(test)]
mod tests;
