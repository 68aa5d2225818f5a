//! The quarantine of one request: its stage, the time of that stage and the next trial.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The stage of a quarantine.
///
/// Stages are ordered, and the later stage wins a merge, so neither clocks nor the order of
/// messages matter. Two boxes that reach a verdict independently reach the same stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct QuarantineStage {
    /// The number of times the request was put into quarantine.
    pub verdict: u32,
    /// Whether the request was released from the latest quarantine.
    pub released: bool,
    /// The number of trials in the latest quarantine.
    pub trials: u8,
}

impl QuarantineStage {
    /// Returns whether the request is in quarantine, regardless of age.
    pub const fn is_active(self) -> bool {
        self.verdict > 0 && !self.released
    }

    const fn with_verdict(self) -> Self {
        Self {
            verdict: self.verdict.saturating_add(1),
            released: false,
            trials: 0,
        }
    }

    const fn release(self) -> Self {
        Self {
            released: true,
            ..self
        }
    }

    const fn with_trial(self) -> Self {
        Self {
            trials: self.trials.saturating_add(1),
            ..self
        }
    }
}

/// The quarantine of a request, with the time at which it reached its stage.
///
/// The time is in milliseconds of the box's clock and may predate the start of the box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Quarantine {
    /// The stage.
    pub stage: QuarantineStage,
    /// When the stage was reached, in milliseconds.
    pub at_ms: i64,
}

impl Quarantine {
    /// The delays before the first and the second trial, in milliseconds. Trials are rare because a
    /// failed one costs an endpoint and everything that runs there, a wrong verdict one request.
    const TRIAL_AFTER_MS: [i64; 2] = [30_000, 300_000];
    /// How long a stage is kept, in milliseconds: a day, after which the fault may have been fixed.
    const RETENTION_MS: i64 = 86_400_000;

    /// Returns whether the stage has not expired.
    pub(super) const fn is_retained(&self, now_ms: u64) -> bool {
        self.stage.verdict > 0 && now_ms as i64 - self.at_ms < Self::RETENTION_MS
    }

    /// Returns whether the request is in quarantine now.
    pub(super) const fn is_active(&self, now_ms: u64) -> bool {
        self.stage.is_active() && self.is_retained(now_ms)
    }

    /// Returns the time until the next trial: zero if it is due, `None` if no trials are left.
    pub fn next_trial(&self, now_ms: u64) -> Option<Duration> {
        let delay_ms = Self::TRIAL_AFTER_MS.get(usize::from(self.stage.trials))?;
        Some(self.remaining(*delay_ms, now_ms))
    }

    /// Returns whether the request is in quarantine and a trial of it is due.
    pub fn is_trial_due(&self, now_ms: u64) -> bool {
        self.is_active(now_ms) && self.next_trial(now_ms) == Some(Duration::ZERO)
    }

    /// Returns the delay after which the caller may usefully retry.
    pub fn retry_after(&self, now_ms: u64) -> Duration {
        let expiry = self.remaining(Self::RETENTION_MS, now_ms);
        self.next_trial(now_ms).unwrap_or(expiry)
    }

    fn remaining(&self, delay_ms: i64, now_ms: u64) -> Duration {
        let remaining_ms = (self.at_ms + delay_ms - now_ms as i64).max(0);
        Duration::from_millis(remaining_ms as u64)
    }

    /// Puts the request into quarantine unless it is already there.
    pub(super) fn impose(&mut self, at_ms: i64) {
        if !self.stage.is_active() {
            *self = Self {
                stage: self.stage.with_verdict(),
                at_ms,
            };
        }
    }

    /// Releases the request if it is in quarantine.
    pub(super) fn release(&mut self, at_ms: i64) {
        if self.stage.is_active() {
            *self = Self {
                stage: self.stage.release(),
                at_ms,
            };
        }
    }

    /// Returns the quarantine with one more trial counted.
    #[must_use]
    pub const fn with_trial(&self, now_ms: u64) -> Self {
        Self {
            stage: self.stage.with_trial(),
            at_ms: now_ms as i64,
        }
    }

    /// Merges another box's state of the same quarantine.
    pub(super) fn merge(&mut self, other: Self) {
        *self = match other.stage.cmp(&self.stage) {
            std::cmp::Ordering::Greater => other,
            // Reports arrive late, so the earliest time is the most accurate.
            std::cmp::Ordering::Equal => Self {
                at_ms: self.at_ms.min(other.at_ms),
                ..*self
            },
            std::cmp::Ordering::Less => *self,
        };
    }
}
