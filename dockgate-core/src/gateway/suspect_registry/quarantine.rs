//! The quarantine of one request: how far it has come, since when, and when a trial of it is due.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How far the quarantine of a request has come.
///
/// Stages are ordered, and what is learned of a quarantine is merged by the latest stage: no clock and no
/// order of messages matters. A verdict that two boxes reach apart is the same stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct QuarantineStage {
    /// How many times the request went into quarantine.
    pub verdict: u32,
    /// Whether it was released from the last one.
    pub released: bool,
    /// How many trials it has had in the last one.
    pub trials: u8,
}

impl QuarantineStage {
    /// Tells whether the request is in quarantine.
    pub const fn is_active(self) -> bool {
        self.verdict > 0 && !self.released
    }

    const fn with_verdict(self) -> Self {
        Self {
            verdict: self.verdict + 1,
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

/// Whether a request is kept from endpoints, and since when it is so.
///
/// The time is in milliseconds of the box's clock; it may lie before its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Quarantine {
    /// How far it has come.
    pub stage: QuarantineStage,
    /// When it came there.
    pub at_ms: i64,
}

impl Quarantine {
    /// After how long the first trial and the second one may be, in milliseconds. A wrong trial costs an
    /// endpoint and all that runs there, a wrong verdict one request: so trials are rare, and few. Bounds.
    const TRIAL_AFTER_MS: [i64; 2] = [30_000, 300_000];
    /// For how long a stage is kept, in milliseconds: a day, after which what made the request harmful may
    /// be mended. A bound.
    const RETENTION_MS: i64 = 86_400_000;

    /// Tells whether the stage is young enough to count.
    pub(super) const fn is_retained(&self, now_ms: u64) -> bool {
        self.stage.verdict > 0 && now_ms as i64 - self.at_ms < Self::RETENTION_MS
    }

    /// Tells whether the request is kept from endpoints now.
    pub(super) const fn is_active(&self, now_ms: u64) -> bool {
        self.stage.is_active() && self.is_retained(now_ms)
    }

    /// Returns after how long the next trial may be: zero where it is due, none where there were all.
    pub fn next_trial(&self, now_ms: u64) -> Option<Duration> {
        let after_ms = Self::TRIAL_AFTER_MS.get(usize::from(self.stage.trials))?;
        Some(self.remaining(*after_ms, now_ms))
    }

    /// Tells whether the request is in quarantine and may be let through once.
    pub fn is_trial_due(&self, now_ms: u64) -> bool {
        self.is_active(now_ms) && self.next_trial(now_ms) == Some(Duration::ZERO)
    }

    /// Returns after how long the request is worth another try by its caller.
    pub fn retry_after(&self, now_ms: u64) -> Duration {
        let ends = self.remaining(Self::RETENTION_MS, now_ms);
        self.next_trial(now_ms).unwrap_or(ends)
    }

    fn remaining(&self, after_ms: i64, now_ms: u64) -> Duration {
        let left_ms = (self.at_ms + after_ms - now_ms as i64).max(0);
        Duration::from_millis(left_ms as u64)
    }

    /// Puts the request into quarantine, unless it is there.
    pub(super) fn impose(&mut self, at_ms: i64) {
        if !self.stage.is_active() {
            *self = Self {
                stage: self.stage.with_verdict(),
                at_ms,
            };
        }
    }

    /// Releases the request, if it is in quarantine.
    pub(super) fn release(&mut self, at_ms: i64) {
        if self.stage.is_active() {
            *self = Self {
                stage: self.stage.release(),
                at_ms,
            };
        }
    }

    /// Returns the quarantine as it is once a trial has been let through.
    #[must_use]
    pub const fn with_trial(&self, now_ms: u64) -> Self {
        Self {
            stage: self.stage.with_trial(),
            at_ms: now_ms as i64,
        }
    }

    /// Takes in what else is known of it.
    pub(super) fn merge(&mut self, other: Self) {
        *self = match other.stage.cmp(&self.stage) {
            std::cmp::Ordering::Greater => other,
            // What is told is late, so that the earliest telling is the nearest.
            std::cmp::Ordering::Equal => Self {
                at_ms: self.at_ms.min(other.at_ms),
                ..*self
            },
            std::cmp::Ordering::Less => *self,
        };
    }
}
