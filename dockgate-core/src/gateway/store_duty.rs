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
//! let alone = StoreWatchers { reaching: 0, before: 0, is_heard: false };
//! assert!(!duty.is_due(alone, 1_000), "others may be about to be heard");
//! assert!(duty.is_due(alone, 1_050));
//! let two_reach_it = StoreWatchers { reaching: 2, before: 5, is_heard: true };
//! assert!(!duty.is_due(two_reach_it, 1_300));
//! ```

/// The other boxes of the own failure domain that go before this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreWatchers {
    /// How many of them follow the store and reach it.
    pub reaching: usize,
    /// How many there are.
    pub before: usize,
    /// Whether any other box of the domain is heard.
    pub is_heard: bool,
}

/// Since when too few boxes of the own domain have reached the store.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreDuty {
    short_since_ms: Option<u64>,
    /// When this box looked first.
    began_ms: Option<u64>,
}

impl StoreDuty {
    /// How many boxes of a failure domain follow the store: one may freeze, stop, or be cut off.
    const ENOUGH: usize = 2;
    /// How many more try with each step of [`Self::STEP_MS`] in which too few reach it.
    const STEP: usize = 2;
    /// How many follow it at most: where it is away for all, each that tries is some calls a second. After
    /// 10 s of steps without an end, 34 boxes of each domain would try three times a second. A bound.
    const MOST: usize = 8;
    /// For how long a box that has just begun waits to hear who goes before it, in milliseconds: 295 boxes
    /// that started together made 1,400 calls before they had heard of each other. A round trip to the
    /// seeds and the wait for a turn there; with 250, all of eight boxes that lost power together had no
    /// configuration for 0.3 s.
    const START_MS: u64 = 50;
    /// How long a step is, in milliseconds: two beats, within which a box that has begun to follow the
    /// store is heard to reach it.
    const STEP_MS: u64 = 600;

    /// Tells whether this box has to follow the store now.
    pub fn is_due(&mut self, others: StoreWatchers, now_ms: u64) -> bool {
        let began_ms = *self.began_ms.get_or_insert(now_ms);
        if !others.is_heard && now_ms < began_ms + Self::START_MS {
            return false;
        }
        if others.reaching >= Self::ENOUGH {
            self.short_since_ms = None;
            return false;
        }
        let since_ms = *self.short_since_ms.get_or_insert(now_ms);
        let steps = (now_ms.saturating_sub(since_ms) / Self::STEP_MS) as usize;
        others.before < Self::MOST.min(Self::ENOUGH + steps * Self::STEP)
    }
}

#[cfg(test)]
mod tests;
