//! Whether this box follows the platform's store by itself.
//!
//! Every call to the store costs, and what one box learns all learn from its beats: two boxes of each
//! failure domain that reach the store are enough. The others begin to follow it as soon as too few
//! are heard that do, a few more with each second, so that an outage is not answered by all boxes
//! calling at once.
//!
//! ```
//! use dockgate_core::gateway::{StoreDuty, StoreWatchers};
//!
//! let mut duty = StoreDuty::default();
//! let alone = StoreWatchers { reaching: 0, before: 0 };
//! assert!(duty.is_due(alone, 1_000));
//! let two_reach_it = StoreWatchers { reaching: 2, before: 5 };
//! assert!(!duty.is_due(two_reach_it, 1_000));
//! ```

/// The other boxes of the own failure domain that go before this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreWatchers {
    /// How many of them follow the store and reach it.
    pub reaching: usize,
    /// How many there are.
    pub before: usize,
}

/// Since when too few boxes of the own domain have reached the store.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreDuty {
    short_since_ms: Option<u64>,
}

impl StoreDuty {
    /// How many boxes of a failure domain follow the store: one may freeze, stop, or be cut off.
    const ENOUGH: usize = 2;
    /// How many more try with each step of [`Self::STEP_MS`] in which too few reach it.
    const STEP: usize = 2;
    /// How long a step is, in milliseconds: two beats, within which a box that has begun to follow the
    /// store is heard to reach it.
    const STEP_MS: u64 = 600;

    /// Tells whether this box has to follow the store now.
    pub fn is_due(&mut self, others: StoreWatchers, now_ms: u64) -> bool {
        if others.reaching >= Self::ENOUGH {
            self.short_since_ms = None;
            return false;
        }
        let since_ms = *self.short_since_ms.get_or_insert(now_ms);
        let steps = (now_ms.saturating_sub(since_ms) / Self::STEP_MS) as usize;
        others.before < Self::ENOUGH + steps * Self::STEP
    }
}

#[cfg(test)]
mod tests;
