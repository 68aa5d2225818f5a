//! Decides whether this box follows the platform's store itself.
//!
//! Calls to the store are expensive, and boxes pass on what they learn from it. Two boxes of each
//! failure domain that the store answers are therefore enough: the first two in rank. While the
//! store does not answer these, the boxes of the domain search for others that it answers
//! ([`StoreSearch`]), and the first ones found take over.
//!
//! ```
//! use dockgate_core::gateway::{StoreAccess, StoreFollower, StorePeers};
//!
//! let mut follower = StoreFollower::default();
//! let alone = StorePeers { has_live_peer: false, ..StorePeers::default() };
//! let own = StoreAccess::default();
//! assert!(!follower.must_follow(alone, own, 1_000), "others may still send heartbeats");
//! assert!(follower.must_follow(alone, own, 1_050));
//! let two = StorePeers { reaching: 2, reaching_before: 2, before: 5, live: 6, has_live_peer: true };
//! assert!(!follower.must_follow(two, own, 1_300));
//! ```

use super::store_search::{StandbyTurn, StoreSearch};

/// The numbers of other live boxes of the own failure domain, by their relation to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StorePeers {
    /// The number of boxes that follow the store and that it answers.
    pub reaching: usize,
    /// The number of these that rank before this box.
    pub reaching_before: usize,
    /// The number of boxes that rank before this one, whether or not they reach the store.
    pub before: usize,
    /// The number of live boxes of the domain, this one included.
    pub live: usize,
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
    /// The time that this box waits for other heartbeats before it acts alone, in milliseconds.
    startup_wait_ms: Option<u64>,
    /// The time that it waits after it has met the first other box of its domain, in milliseconds.
    settling_ms: u64,
    /// When it met that box.
    met_peer_ms: Option<u64>,
    /// The number of other boxes that reached the store at the last decision.
    reaching: usize,
    /// The search for a box that the store answers.
    search: StoreSearch,
}

impl StoreFollower {
    /// The number of followers in a failure domain: one may freeze, stop or be cut off.
    const FOLLOWERS: usize = 2;
    /// How long a newly started box waits for heartbeats of other boxes, in milliseconds: long
    /// enough for a round trip to the seeds, and short enough not to delay the first configuration.
    pub const STARTUP_WAIT_MS: u64 = 50;
    /// How long other boxes wait for the primary followers while one still reaches the store or
    /// none has reached it yet, in milliseconds: two heartbeats, in which a new follower is
    /// noticed.
    const PRIMARY_GRACE_MS: u64 = 600;
    /// The delay per rank before a box takes over, in milliseconds. It gives the first boxes time
    /// to be noticed, so that a store that recovers is not listed by all of them. Grows up to the
    /// ranks that probe at every turn, since few of the others are answered at the same time.
    const STAGGER_MS: u64 = 60;

    /// Returns whether a box is one of the first in its domain, which follow the store by default.
    pub const fn is_primary(others: StorePeers) -> bool {
        others.before < Self::FOLLOWERS
    }

    /// Creates the decision of a newly started box that waits for other heartbeats for
    /// `startup_wait_ms` before it acts alone, and for `settling_ms` after the first one before it
    /// acts by its rank, since it knows few of the boxes before it at first.
    pub fn with_startup_wait(startup_wait_ms: u64, settling_ms: u64) -> Self {
        Self {
            startup_wait_ms: Some(startup_wait_ms),
            settling_ms,
            ..Self::default()
        }
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
        if others.reaching < self.reaching {
            self.search.restart(now_ms);
        }
        self.reaching = others.reaching;
        let startup_wait_ms = self.startup_wait_ms.unwrap_or(Self::STARTUP_WAIT_MS);
        if others.has_live_peer {
            self.met_peer_ms.get_or_insert(now_ms);
        }
        let settled_ms = self.met_peer_ms.map(|met_ms| met_ms + self.settling_ms);
        let may_act_ms = started_ms + startup_wait_ms;
        now_ms >= settled_ms.unwrap_or(may_act_ms).min(may_act_ms)
    }

    /// Returns whether this box must probe the store to find out whether it is answered.
    pub fn must_probe(&mut self, others: StorePeers, own: StoreAccess, now_ms: u64) -> bool {
        let may_act = self.record(others, now_ms);
        let lacks_followers = others.reaching < Self::FOLLOWERS;
        may_act && (lacks_followers || own.follows || Self::is_primary(others))
    }

    /// Decides whether a box that stands by to follow the store probes it now.
    ///
    /// `draw` is a random number from 0 to 1.
    pub fn standby_turn(&mut self, others: StorePeers, draw: f64, now_ms: u64) -> StandbyTurn {
        // Of a fleet that starts, a box knows the boxes before it only after some heartbeats.
        let primaries_ms = self.started_ms.unwrap_or(now_ms) + Self::PRIMARY_GRACE_MS;
        match now_ms < primaries_ms && !Self::is_primary(others) {
            true => StandbyTurn::WaitMs(primaries_ms - now_ms),
            false => self.search.turn(others.before, others.live, draw, now_ms),
        }
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
        let rank = (others.before - Self::FOLLOWERS).min(StoreSearch::FIRST_RANKS);
        let stagger_ms = rank as u64 * Self::STAGGER_MS;
        now_ms >= answered_ms.max(shortage_ms + grace_ms) + stagger_ms
    }
}

#[cfg(test)]
mod tests;
