//! Whether a box has more work than processor, told by how late its own timer fires.
//!
//! All callers of a large workspace may be at one small box. What waits there for the processor is
//! seen by nobody else, and a request that waits longer than its objective is worth a third at
//! best. So the box measures its delay, refuses at once what cannot be in time, and asks for its
//! callers to be sent elsewhere until it has caught up.
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

/// How late the box is, and whether callers should go elsewhere.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoopLag {
    /// How late the timer fired the last few times, in milliseconds; the oldest is replaced next.
    late_ms: [u64; Self::SAMPLES],
    next: usize,
    /// Since when the box is overloaded, and until when it says so at least.
    overload: Option<Overload>,
}

#[derive(Debug, Clone, Copy)]
struct Overload {
    since_ms: u64,
    until_ms: u64,
}

/// What a sample changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LagChange {
    /// Nothing.
    None,
    /// The box has become overloaded.
    Overloaded,
    /// It has caught up, after so many milliseconds.
    CaughtUp(u64),
}

impl LoopLag {
    /// How many samples must be late. One alone is a pause: the box was frozen, or its share of the
    /// processor was spent for the rest of a tenth of a second.
    const SAMPLES: usize = 3;
    /// From which delay on the box is overloaded, in milliseconds. Above the 90 that a spent share
    /// makes, below a quarter of the shortest objective of prompts.
    const OVERLOADED_MS: u64 = 120;
    /// Below which delay it has caught up, in milliseconds.
    const CAUGHT_UP_MS: u64 = 30;
    /// For how long it asks for callers to be sent elsewhere, in milliseconds: whoever sends them
    /// looks once a second, and acts on the second answer.
    const HOLD_MS: u64 = 3_000;
    /// Up to which part of its objective a request may wait for the processor before it is refused.
    const MAX_WAIT_FRACTION: f64 = 0.5;

    /// Notes by how many milliseconds the timer fired late.
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

    /// Returns for how many milliseconds work waits for the processor.
    pub fn lag_ms(&self) -> u64 {
        self.late_ms.iter().copied().min().unwrap_or(0)
    }

    /// Tells whether callers should be sent elsewhere.
    pub const fn is_overloaded(&self) -> bool {
        self.overload.is_some()
    }

    /// Tells whether a request with this objective would wait too long here to be taken.
    pub fn is_too_late_for(&self, objective_ms: u64) -> bool {
        self.is_overloaded() && self.lag_ms() as f64 > objective_ms as f64 * Self::MAX_WAIT_FRACTION
    }
}

#[cfg(test)]
mod tests;
