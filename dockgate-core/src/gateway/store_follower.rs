//! Whether this box follows the platform's store by itself.
//!
//! Every call to the store costs, and what one box learns all learn from its beats: two boxes of
//! each failure domain that are heard by the store are enough. These are the two that come first in
//! their domain. Where the store is silent for them, any other box may be heard by it: all probe
//! it, which costs little, and those that are answered follow it in their place.
//!
//! ```
//! use dockgate_core::gateway::{StoreAccess, StoreFollower, StoreWatchers};
//!
//! let mut duty = StoreFollower::default();
//! let alone = StoreWatchers { has_live_peer: false, ..StoreWatchers::default() };
//! let own = StoreAccess::default();
//! assert!(!duty.must_follow(alone, own, 1_000), "others may be about to be heard");
//! assert!(duty.must_follow(alone, own, 1_050));
//! let two = StoreWatchers { reaching: 2, reaching_before: 2, before: 5, has_live_peer: true };
//! assert!(!duty.must_follow(two, own, 1_300));
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
    pub has_live_peer: bool,
}

/// How this box itself stands with the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreAccess {
    /// Whether it follows the store, and is heard.
    pub follows: bool,
    /// Since when its probes are answered, where the last one was.
    pub answered_since_ms: Option<u64>,
}

/// Since when too few boxes of the own domain have reached the store.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreFollower {
    shortage_since_ms: Option<u64>,
    /// Whether any was seen to reach it since this box began.
    had_reaching_peer: bool,
    /// When this box looked first.
    started_ms: Option<u64>,
}

impl StoreFollower {
    /// How many boxes of a failure domain follow the store: one may freeze, stop, or be cut off.
    const FOLLOWERS: usize = 2;
    /// For how long a box that has just begun waits to hear who goes before it, in milliseconds:
    /// 295 boxes that started together made 1,400 calls before they had heard of each other. A
    /// round trip to the seeds and the wait for a turn there; with 250, all of eight boxes that
    /// lost power together had no configuration for 0.3 s.
    const STARTUP_WAIT_MS: u64 = 50;
    /// For how long boxes wait for those that come first, where one of these still reaches the
    /// store or none has done so yet, in milliseconds: two beats, within which a box that has begun
    /// to follow the store is heard to reach it.
    const PRIMARY_GRACE_MS: u64 = 600;
    /// How much later each further box begins, in milliseconds: so that a store which is back for
    /// all is not listed by all, since the first ones are heard to reach it meanwhile, and so that
    /// in a domain of 28 boxes of which three are heard one begins within 0.5 s on average. A
    /// bound, not tuned.
    const STAGGER_MS: u64 = 60;

    /// Tells whether a box is one of those of its domain that follow the store before all others.
    pub const fn is_primary(others: StoreWatchers) -> bool {
        others.before < Self::FOLLOWERS
    }

    /// Notes who reaches the store; returns false where this box has to wait to hear of others.
    fn record(&mut self, others: StoreWatchers, now_ms: u64) -> bool {
        let started_ms = *self.started_ms.get_or_insert(now_ms);
        self.had_reaching_peer |= others.reaching > 0;
        match others.reaching >= Self::FOLLOWERS {
            true => self.shortage_since_ms = None,
            false => drop(self.shortage_since_ms.get_or_insert(now_ms)),
        }
        others.has_live_peer || now_ms >= started_ms + Self::STARTUP_WAIT_MS
    }

    /// Tells whether this box has to probe the store, so that it knows whether it is heard.
    pub fn must_probe(&mut self, others: StoreWatchers, own: StoreAccess, now_ms: u64) -> bool {
        let may_act = self.record(others, now_ms);
        let lacks_followers = others.reaching < Self::FOLLOWERS;
        may_act && (lacks_followers || own.follows || Self::is_primary(others))
    }

    /// Tells whether this box has to follow the store now.
    pub fn must_follow(&mut self, others: StoreWatchers, own: StoreAccess, now_ms: u64) -> bool {
        match self.record(others, now_ms) {
            false => false,
            true if others.reaching_before >= Self::FOLLOWERS => false,
            true if Self::is_primary(others) || own.follows => true,
            true => self.takes_over(others, own, now_ms),
        }
    }

    /// Tells whether it is this box's turn to follow the store in place of those that come first.
    fn takes_over(&self, others: StoreWatchers, own: StoreAccess, now_ms: u64) -> bool {
        let (Some(shortage_ms), Some(answered_ms)) =
            (self.shortage_since_ms, own.answered_since_ms)
        else {
            return false;
        };
        // Those that had reached it say themselves that they do not any more.
        let all_lost = self.had_reaching_peer && others.reaching == 0;
        let grace_ms = if all_lost { 0 } else { Self::PRIMARY_GRACE_MS };
        let turns = (others.before - Self::FOLLOWERS) as u64;
        now_ms >= answered_ms.max(shortage_ms + grace_ms) + turns * Self::STAGGER_MS
    }
}

#[cfg(test)]
mod tests;
