//! Whether this box follows the platform's store by itself.
//!
//! Every call to the store costs, and what one box learns all learn from its beats: two boxes of each
//! failure domain that are heard by the store are enough. These are the two that come first in their
//! domain. Where the store is silent for them, any other box may be heard by it: all probe it, which
//! costs little, and those that are answered follow it in their place.
//!
//! ```
//! use dockgate_core::gateway::{OwnReach, StoreDuty, StoreWatchers};
//!
//! let mut duty = StoreDuty::default();
//! let alone = StoreWatchers { is_heard: false, ..StoreWatchers::default() };
//! let own = OwnReach::default();
//! assert!(!duty.is_due(alone, own, 1_000), "others may be about to be heard");
//! assert!(duty.is_due(alone, own, 1_050));
//! let two = StoreWatchers { reaching: 2, reaching_before: 2, before: 5, is_heard: true };
//! assert!(!duty.is_due(two, own, 1_300));
//! ```

/// The other boxes of the own failure domain that are heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreWatchers {
    /// How many of them follow the store and are heard by it.
    pub reaching: usize,
    /// How many of these go before this box.
    pub reaching_before: usize,
    /// How many go before this box, whether they reach the store or not.
    pub before: usize,
    /// Whether any other box of the domain is heard.
    pub is_heard: bool,
}

/// How this box itself stands with the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OwnReach {
    /// Whether it follows the store, and is heard.
    pub follows: bool,
    /// Since when its probes are answered, where the last one was.
    pub answered_since_ms: Option<u64>,
}

/// Since when too few boxes of the own domain have reached the store.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreDuty {
    short_since_ms: Option<u64>,
    /// Whether any was seen to reach it since this box began.
    reached: bool,
    /// When this box looked first.
    began_ms: Option<u64>,
}

impl StoreDuty {
    /// How many boxes of a failure domain follow the store: one may freeze, stop, or be cut off.
    const ENOUGH: usize = 2;
    /// For how long a box that has just begun waits to hear who goes before it, in milliseconds: 295 boxes
    /// that started together made 1,400 calls before they had heard of each other. A round trip to the
    /// seeds and the wait for a turn there; with 250, all of eight boxes that lost power together had no
    /// configuration for 0.3 s.
    const START_MS: u64 = 50;
    /// For how long boxes wait for those that come first, where one of these still reaches the store or
    /// none has done so yet, in milliseconds: two beats, within which a box that has begun to follow
    /// the store is heard to reach it.
    const FIRST_MS: u64 = 600;
    /// How much later each further box begins, in milliseconds: so that a store which is back for all is
    /// not listed by all, since the first ones are heard to reach it meanwhile, and so that in a domain of
    /// 28 boxes of which three are heard one begins within 0.5 s on average. A bound, not tuned.
    const TURN_MS: u64 = 60;

    /// Tells whether a box is one of those of its domain that follow the store before all others.
    pub const fn comes_first(others: StoreWatchers) -> bool {
        others.before < Self::ENOUGH
    }

    /// Notes who reaches the store; returns false where this box has to wait to hear of others.
    fn note(&mut self, others: StoreWatchers, now_ms: u64) -> bool {
        let began_ms = *self.began_ms.get_or_insert(now_ms);
        self.reached |= others.reaching > 0;
        match others.reaching >= Self::ENOUGH {
            true => self.short_since_ms = None,
            false => drop(self.short_since_ms.get_or_insert(now_ms)),
        }
        others.is_heard || now_ms >= began_ms + Self::START_MS
    }

    /// Tells whether this box has to probe the store, so that it knows whether it is heard.
    pub fn probes(&mut self, others: StoreWatchers, own: OwnReach, now_ms: u64) -> bool {
        let may_look = self.note(others, now_ms);
        let is_short = others.reaching < Self::ENOUGH;
        may_look && (is_short || own.follows || Self::comes_first(others))
    }

    /// Tells whether this box has to follow the store now.
    pub fn is_due(&mut self, others: StoreWatchers, own: OwnReach, now_ms: u64) -> bool {
        match self.note(others, now_ms) {
            false => false,
            true if others.reaching_before >= Self::ENOUGH => false,
            true if Self::comes_first(others) || own.follows => true,
            true => self.is_turn(others, own, now_ms),
        }
    }

    /// Tells whether it is this box's turn to follow the store in place of those that come first.
    fn is_turn(&self, others: StoreWatchers, own: OwnReach, now_ms: u64) -> bool {
        let (Some(short_ms), Some(answered_ms)) = (self.short_since_ms, own.answered_since_ms)
        else {
            return false;
        };
        // Those that had reached it say themselves that they do not any more.
        let all_lost = self.reached && others.reaching == 0;
        let first_ms = if all_lost { 0 } else { Self::FIRST_MS };
        let turns = (others.before - Self::ENOUGH) as u64;
        now_ms >= answered_ms.max(short_ms + first_ms) + turns * Self::TURN_MS
    }
}

#[cfg(test)]
mod tests;
