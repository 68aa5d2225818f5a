//! Decides whether this box follows the platform's store itself.
//!
//! Calls to the store are expensive, and boxes pass on what they learn from it. Two boxes of each
//! failure domain that the store answers are therefore enough: the first two in rank. While the
//! store does not answer these, all boxes of the domain probe it, which is cheap, and the next ones
//! that it answers take over.
//!
//! ```
//! use dockgate_core::gateway::{StoreAccess, StoreFollower, StorePeers};
//!
//! let mut follower = StoreFollower::default();
//! let alone = StorePeers { has_live_peer: false, ..StorePeers::default() };
//! let own = StoreAccess::default();
//! assert!(!follower.must_follow(alone, own, 1_000), "others may still send heartbeats");
//! assert!(follower.must_follow(alone, own, 1_050));
//! let two = StorePeers { reaching: 2, reaching_before: 2, before: 5, has_live_peer: true };
//! assert!(!follower.must_follow(two, own, 1_300));
//! ```

/// The numbers of other live boxes of the own failure domain, by their relation to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StorePeers {
    /// The number of boxes that follow the store and that it answers.
    pub reaching: usize,
    /// The number of these that rank before this box.
    pub reaching_before: usize,
    /// The number of boxes that rank before this one, whether or not they reach the store.
    pub before: usize,
    /// Whether any other box of the domain is live.
    pub has_live_peer: bool,
}

/// This box's own access to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreAccess {
    /// Whether it follows the store and is answered.
    pub follows: bool,
    /// Since when all its probes have been answered; `None` if the last one was not.
    pub answered_since_ms: Option<u64>,
}

/// Decides over time whether this box follows or probes the store.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreFollower {
    /// Since when fewer boxes than required have reached the store.
    shortage_since_ms: Option<u64>,
    /// Whether any other box has reached the store since this box started.
    had_reaching_peer: bool,
    /// When this box first made the decision.
    started_ms: Option<u64>,
}

impl StoreFollower {
    /// The number of followers in a failure domain: one may freeze, stop or be cut off.
    const FOLLOWERS: usize = 2;
    /// How long a newly started box waits for heartbeats of other boxes, in milliseconds: long
    /// enough for a round trip to the seeds, and short enough not to delay the first configuration.
    const STARTUP_WAIT_MS: u64 = 50;
    /// How long other boxes wait for the primary followers while one still reaches the store or
    /// none has reached it yet, in milliseconds: two heartbeats, in which a new follower is
    /// noticed.
    const PRIMARY_GRACE_MS: u64 = 600;
    /// The delay per rank before a box takes over, in milliseconds. It gives the first boxes time
    /// to be noticed, so that a store that recovers is not listed by all of them.
    const STAGGER_MS: u64 = 60;

    /// Returns whether a box is one of the first in its domain, which follow the store by default.
    pub const fn is_primary(others: StorePeers) -> bool {
        others.before < Self::FOLLOWERS
    }

    /// Records how many boxes reach the store; returns false while this box waits for other
    /// heartbeats.
    fn record(&mut self, others: StorePeers, now_ms: u64) -> bool {
        let started_ms = *self.started_ms.get_or_insert(now_ms);
        self.had_reaching_peer |= others.reaching > 0;
        match others.reaching >= Self::FOLLOWERS {
            true => self.shortage_since_ms = None,
            false => drop(self.shortage_since_ms.get_or_insert(now_ms)),
        }
        others.has_live_peer || now_ms >= started_ms + Self::STARTUP_WAIT_MS
    }

    /// Returns whether this box must probe the store to find out whether it is answered.
    pub fn must_probe(&mut self, others: StorePeers, own: StoreAccess, now_ms: u64) -> bool {
        let may_act = self.record(others, now_ms);
        let lacks_followers = others.reaching < Self::FOLLOWERS;
        may_act && (lacks_followers || own.follows || Self::is_primary(others))
    }

    /// Returns whether this box must follow the store now.
    pub fn must_follow(&mut self, others: StorePeers, own: StoreAccess, now_ms: u64) -> bool {
        match self.record(others, now_ms) {
            false => false,
            true if others.reaching_before >= Self::FOLLOWERS => false,
            true if Self::is_primary(others) || own.follows => true,
            true => self.takes_over(others, own, now_ms),
        }
    }

    /// Returns whether this box takes over from the primary followers.
    fn takes_over(&self, others: StorePeers, own: StoreAccess, now_ms: u64) -> bool {
        let (Some(shortage_ms), Some(answered_ms)) =
            (self.shortage_since_ms, own.answered_since_ms)
        else {
            return false;
        };
        // No grace is needed if those that reached the store report that they no longer do.
        let all_lost = self.had_reaching_peer && others.reaching == 0;
        let grace_ms = if all_lost { 0 } else { Self::PRIMARY_GRACE_MS };
        let rank = (others.before - Self::FOLLOWERS) as u64;
        now_ms >= answered_ms.max(shortage_ms + grace_ms) + rank * Self::STAGGER_MS
    }
}

#[cfg(test)]
mod tests;
