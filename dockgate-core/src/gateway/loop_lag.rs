//! Detects CPU overload of a box by the lag of a periodic timer in its event loop.
//!
//! Requests that queue for the processor of one box are invisible to other boxes, and all callers
//! of a large workspace may be connected to the same small box. A box therefore measures its own
//! lag, refuses requests that would miss their objective, and diverts callers until it has caught
//! up.
//!
//! ```
//! use dockgate_core::gateway::{LagChange, LoopLag};
//!
//! let mut lag = LoopLag::default();
//! assert_eq!(lag.record(250, 1_000), LagChange::None);
//! assert_eq!(lag.record(300, 1_400), LagChange::None);
//! assert_eq!(lag.record(400, 1_900), LagChange::Overloaded);
//! assert_eq!(lag.lag_ms(), 250);
//! ```

/// Lag of the event loop, and whether the box is overloaded.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoopLag {
    /// Ring buffer of the latest timer delays, in milliseconds.
    late_ms: [u64; Self::SAMPLES],
    next: usize,
    /// Current overload, if any.
    overload: Option<Overload>,
}

#[derive(Debug, Clone, Copy)]
struct Overload {
    since_ms: u64,
    /// Earliest end.
    until_ms: u64,
}

/// Change of the overload state by a sample.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LagChange {
    /// The state is unchanged.
    None,
    /// The box has become overloaded.
    Overloaded,
    /// The box has caught up; holds the duration of the overload in milliseconds.
    CaughtUp(u64),
}

impl LoopLag {
    /// Number of consecutive late samples that indicate lag. A single one may be a suspension, or
    /// CPU throttling within one scheduler period.
    const SAMPLES: usize = 3;
    /// Lag at which an overload begins, in milliseconds. It is above the 90 ms that CPU throttling
    /// can cause, and below a quarter of the shortest objective of prompts.
    const OVERLOADED_MS: u64 = 120;
    /// Lag below which an overload may end, in milliseconds.
    const CAUGHT_UP_MS: u64 = 30;
    /// Minimum duration of an overload, in milliseconds. The load balancer polls readiness once per
    /// second and acts on the second answer.
    const HOLD_MS: u64 = 3_000;
    /// Maximum wait for the processor, as a fraction of the request's objective.
    const MAX_WAIT_FRACTION: f64 = 0.5;

    /// Records the delay of the timer in milliseconds.
    pub fn record(&mut self, late_ms: u64, now_ms: u64) -> LagChange {
        self.late_ms[self.next] = late_ms;
        self.next = (self.next + 1) % Self::SAMPLES;
        let lag_ms = self.lag_ms();
        match &mut self.overload {
            Some(overload) if lag_ms >= Self::OVERLOADED_MS => {
                overload.until_ms = now_ms + Self::HOLD_MS;
                LagChange::None
            }
            Some(overload) if lag_ms < Self::CAUGHT_UP_MS && overload.until_ms <= now_ms => {
                let for_ms = now_ms - overload.since_ms;
                self.overload = None;
                LagChange::CaughtUp(for_ms)
            }
            None if lag_ms >= Self::OVERLOADED_MS => {
                self.overload = Some(Overload {
                    since_ms: now_ms,
                    until_ms: now_ms + Self::HOLD_MS,
                });
                LagChange::Overloaded
            }
            _ => LagChange::None,
        }
    }

    /// Returns the lag in milliseconds: the least delay among the latest samples.
    pub fn lag_ms(&self) -> u64 {
        self.late_ms.iter().copied().min().unwrap_or(0)
    }

    /// Returns whether callers should be diverted to other boxes.
    pub const fn is_overloaded(&self) -> bool {
        self.overload.is_some()
    }

    /// Returns whether a request with this objective would wait too long for the processor.
    pub fn is_too_late_for(&self, objective_ms: u64) -> bool {
        self.is_overloaded() && self.lag_ms() as f64 > objective_ms as f64 * Self::MAX_WAIT_FRACTION
    }
}

#[cfg(test)]
mod tests;
