//! Tracks whether the platform's store answers this box.
//!
//! A watch that has lost its connection looks like one without changes. A box that relies on
//! watches therefore also probes the store. If a probe is not answered in time, the box stops
//! reporting that it follows the store, and recreates its watches once the store answers again,
//! since events may have been lost in the meantime.
//!
//! ```
//! use dockgate_core::gateway::{ProbeChange, StoreProbe};
//!
//! let mut probe = StoreProbe::default();
//! probe.record(true, 1_000);
//! assert_eq!(probe.record(false, 1_300), Some(ProbeChange::Down));
//! assert_eq!(probe.record(true, 4_000), Some(ProbeChange::Up { down_ms: 3_000 }));
//! ```

/// A change of the store's reachability.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeChange {
    /// The store stopped answering.
    Down,
    /// The store answers again.
    Up {
        /// The time since the last answered probe, in milliseconds.
        down_ms: u64,
    },
}

/// The interval and timeout of probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeTiming {
    /// The delay between an answer and the next probe, in milliseconds.
    pub interval_ms: u64,
    /// The time without an answer after which a probe has failed, in milliseconds.
    pub timeout_ms: u64,
    /// How old the store's latest known revision may become until a probe reads the current one, in
    /// milliseconds.
    pub revision_age_ms: u64,
}

impl ProbeTiming {
    /// The divisors of the bound that give the interval and the timeout. The remaining time is
    /// needed for another box to take over and report the changes: at a bound of 3 s, the two take
    /// 0.8 s of the 2.3 s that are counted for all steps.
    const INTERVAL_DIVISOR: u64 = 10;
    const TIMEOUT_DIVISOR: u64 = 6;
    /// The divisor that gives the age of the revision; a watch is checked 1 s after a revision that it
    /// has not delivered.
    const REVISION_AGE_DIVISOR: u64 = 4;
    /// The lower limits: of the interval and the timeout, as a store may be very slow, and of the age,
    /// as current reads are expensive.
    const MIN_INTERVAL_MS: u64 = 200;
    const MIN_TIMEOUT_MS: u64 = 350;
    const MIN_REVISION_AGE_MS: u64 = 1_000;

    /// Creates the timing for a bound within which all boxes must learn of a change, in
    /// milliseconds.
    pub fn within(bound_ms: u64) -> Self {
        Self {
            interval_ms: (bound_ms / Self::INTERVAL_DIVISOR).max(Self::MIN_INTERVAL_MS),
            timeout_ms: (bound_ms / Self::TIMEOUT_DIVISOR).max(Self::MIN_TIMEOUT_MS),
            revision_age_ms: (bound_ms / Self::REVISION_AGE_DIVISOR).max(Self::MIN_REVISION_AGE_MS),
        }
    }
}

/// Tracks when this box last asked for the store's current revision.
///
/// An answer that may be outdated does not show that a watch has missed a change. A watch, or a
/// listing, that is answered shows the current revision as well.
#[derive(Debug, Clone, Copy, Default)]
pub struct RevisionAge {
    known_ms: Option<u64>,
}

impl RevisionAge {
    /// Records a call that asked for the current revision.
    pub fn record(&mut self, at_ms: u64) {
        self.known_ms = self.known_ms.max(Some(at_ms));
    }

    /// Returns whether the next probe has to read the current revision.
    pub fn is_over(&self, max_age_ms: u64, now_ms: u64) -> bool {
        self.known_ms
            .is_none_or(|known_ms| now_ms >= known_ms + max_age_ms)
    }
}

/// The outcome of the probes so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreProbe {
    /// When the last answered probe was sent.
    last_answered_ms: Option<u64>,
    /// When the current series of answered probes began.
    answered_since_ms: Option<u64>,
}

impl StoreProbe {
    /// Records the outcome of a probe sent at `sent_ms`; returns the change that it reveals.
    pub fn record(&mut self, answered: bool, sent_ms: u64) -> Option<ProbeChange> {
        match (answered, self.answered_since_ms) {
            (true, Some(_)) => {
                self.last_answered_ms = Some(sent_ms);
                None
            }
            (true, None) => {
                let down_ms = self
                    .last_answered_ms
                    .map(|answered| sent_ms.saturating_sub(answered));
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

    /// Forgets all outcomes, since probing is suspended.
    pub fn pause(&mut self) {
        *self = Self::default();
    }

    /// Returns since when all probes have been answered; `None` if the last one was not.
    pub const fn answered_since_ms(&self) -> Option<u64> {
        self.answered_since_ms
    }

    /// Returns when the last probe was sent, as proof that the store was reachable then; `None` if
    /// it was not answered.
    pub fn proof_ms(&self) -> Option<u64> {
        self.answered_since_ms.and(self.last_answered_ms)
    }
}

#[cfg(test)]
mod tests;
