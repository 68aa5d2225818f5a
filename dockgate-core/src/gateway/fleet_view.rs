//! The boxes of the fleet as one box sees them: who lives, who decides for what, who knows more.
//!
//! Boxes tell each other that they live by beats. Nothing is elected: an endpoint is decided for by
//! one box of its own failure domain, by rendezvous among those that are heard. Two boxes that see
//! the fleet differently may both decide; that costs quality for a moment, and never a promise.

use super::home_order::{owner_of_endpoint, pair_score};
use super::route_table::EndpointId;
use super::store_duty::StoreWatchers;
use crate::ids::{BoxKey, Incarnation};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// What a box says of itself with every beat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxBeat {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// Where it tells what it knows.
    pub state_address: SocketAddr,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// The version of its configuration; 0 where it has none.
    pub config_version: u64,
    /// The store's revision up to which it knows the endpoints.
    pub endpoint_revision: u64,
    /// Whether it follows the store and reached it the last time.
    pub reaches_store: bool,
}

impl BoxBeat {
    /// Returns the key of the box.
    pub fn key(&self) -> BoxKey {
        BoxKey::from_name(&self.name)
    }
}

/// What a beat says of its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BoxNews {
    /// It was heard a moment ago.
    None,
    /// It was not heard for a while, or never.
    Back,
    /// It has begun anew and remembers nothing.
    NewLife,
}

#[derive(Debug, Clone)]
struct SeenBox {
    beat: BoxBeat,
    incarnation: Incarnation,
    heard_ms: u64,
}

/// The boxes that were heard.
#[derive(Debug)]
pub struct FleetView {
    own: BoxBeat,
    others: BTreeMap<BoxKey, SeenBox>,
}

impl FleetView {
    /// After how long without a beat a box counts as gone, in milliseconds: three beats and a bit.
    pub const GONE_AFTER_MS: u64 = 1_100;
    /// After how long without a beat of any of its boxes a failure domain is looked after, in
    /// milliseconds: two beats and a bit.
    const SUSPECT_AFTER_MS: u64 = 650;
    /// After how long without a beat a box is forgotten, in milliseconds.
    const FORGET_AFTER_MS: u64 = 60_000;

    /// Makes a view of a fleet of which just this box is known.
    pub const fn new(own: BoxBeat) -> Self {
        Self {
            own,
            others: BTreeMap::new(),
        }
    }

    /// Returns what this box says of itself.
    pub const fn own(&self) -> &BoxBeat {
        &self.own
    }

    /// Returns this box's key.
    pub fn me(&self) -> BoxKey {
        self.own.key()
    }

    /// Sets what this box knows.
    pub const fn set_known(&mut self, config_version: u64, endpoint_revision: u64) {
        self.own.config_version = config_version;
        self.own.endpoint_revision = endpoint_revision;
    }

    /// Sets whether this box follows the store and reached it the last time.
    pub const fn set_reaches_store(&mut self, reaches: bool) {
        self.own.reaches_store = reaches;
    }

    /// Counts the other boxes of the own failure domain that go before this one in following the
    /// store: those that reach it, then the others, each by their keys.
    pub fn store_watchers(&self, now_ms: u64) -> StoreWatchers {
        let me = self.me();
        let near = self
            .live(now_ms)
            .filter(|(_, seen)| !seen.beat.leaving && seen.beat.domain == self.own.domain);
        let before = near.filter(|(key, _)| *key < me);
        let reaching: Vec<bool> = before.map(|(_, seen)| seen.beat.reaches_store).collect();
        StoreWatchers {
            reaching: reaching.iter().filter(|reaches| **reaches).count(),
            before: reaching.len(),
        }
    }

    /// Notes that this box is about to stop.
    pub const fn set_leaving(&mut self) {
        self.own.leaving = true;
    }

    /// Takes a beat in; returns whether the box was not seen alive before.
    pub fn hear(&mut self, beat: BoxBeat, incarnation: Incarnation, now_ms: u64) -> BoxNews {
        let key = beat.key();
        if key == self.me() {
            return BoxNews::None;
        }
        let before = self.others.get(&key);
        let news = match before {
            None => BoxNews::Back,
            Some(seen) if seen.incarnation != incarnation => BoxNews::NewLife,
            Some(seen) if seen.heard_ms + Self::GONE_AFTER_MS < now_ms => BoxNews::Back,
            Some(_) => BoxNews::None,
        };
        self.others.insert(
            key,
            SeenBox {
                beat,
                incarnation,
                heard_ms: now_ms,
            },
        );
        news
    }

    /// Forgets the boxes that have been silent for long; returns those that have just gone.
    pub fn expire(&mut self, since_ms: u64, now_ms: u64) -> Vec<BoxKey> {
        let gone_at = |seen: &SeenBox| seen.heard_ms + Self::GONE_AFTER_MS;
        let seen = self.others.iter();
        let gone = seen
            .filter(|(_, seen)| (since_ms..now_ms).contains(&gone_at(seen)))
            .map(|(key, _)| *key)
            .collect();
        self.others
            .retain(|_, seen| seen.heard_ms + Self::FORGET_AFTER_MS > now_ms);
        gone
    }

    fn live(&self, now_ms: u64) -> impl Iterator<Item = (BoxKey, &SeenBox)> {
        self.others
            .iter()
            .filter(move |(_, seen)| seen.heard_ms + Self::GONE_AFTER_MS >= now_ms)
            .map(|(key, seen)| (*key, seen))
    }

    /// Tells whether a life of a box is heard.
    pub fn is_live(&self, key: BoxKey, now_ms: u64) -> bool {
        key == self.me() || self.live(now_ms).any(|(live, _)| live == key)
    }

    /// Returns how many boxes live, this one included.
    pub fn live_count(&self, now_ms: u64) -> u32 {
        1 + self.live(now_ms).count() as u32
    }

    /// Returns how many boxes are remembered, this one included: those that are silent now may
    /// still send.
    pub fn known_count(&self) -> u32 {
        1 + self.others.len() as u32
    }

    /// Returns where a box takes datagrams.
    pub fn address(&self, key: BoxKey) -> Option<SocketAddr> {
        self.others.get(&key).map(|seen| seen.beat.address)
    }

    /// Returns a box's name, for logs.
    pub fn name(&self, key: BoxKey) -> &str {
        match self.others.get(&key) {
            Some(seen) => &seen.beat.name,
            None if key == self.me() => &self.own.name,
            None => "unknown",
        }
    }

    /// Lists where all remembered boxes take datagrams.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.others.values().map(|seen| seen.beat.address)
    }

    /// Picks the box that decides for an endpoint: one of its domain, else any that is heard.
    pub fn owner(&self, endpoint: EndpointId, domain: &str, now_ms: u64) -> BoxKey {
        let me = (self.me(), &self.own);
        let others = self.live(now_ms).map(|(key, seen)| (key, &seen.beat));
        let boxes: Vec<(BoxKey, &BoxBeat)> = std::iter::once(me)
            .chain(others)
            .filter(|(_, beat)| !beat.leaving)
            .collect();
        let near = boxes
            .iter()
            .filter(|(_, beat)| beat.domain == domain)
            .map(|(key, _)| *key);
        owner_of_endpoint(endpoint, near)
            .or_else(|| owner_of_endpoint(endpoint, boxes.iter().map(|(key, _)| *key)))
            .unwrap_or(self.me())
    }

    /// Lists the other failure domains whose boxes were all heard before and are all silent now.
    pub fn silent_domains(&self, now_ms: u64) -> BTreeSet<String> {
        let others = self.others.values();
        let others =
            others.filter(|seen| !seen.beat.leaving && seen.beat.domain != self.own.domain);
        let (silent, heard): (Vec<_>, Vec<_>) =
            others.partition(|seen| seen.heard_ms + Self::SUSPECT_AFTER_MS < now_ms);
        let mut domains: BTreeSet<String> =
            silent.iter().map(|seen| seen.beat.domain.clone()).collect();
        for seen in heard {
            domains.remove(&seen.beat.domain);
        }
        domains
    }

    /// Finds a box that knows a newer configuration, or newer endpoints, than this one.
    ///
    /// Of several that know the same, boxes of one domain ask different ones, near ones first, so that
    /// a change which two boxes saw is not asked of one of them by all others.
    pub fn better_informed(&self, now_ms: u64) -> Option<SocketAddr> {
        let own = &self.own;
        let better = self.live(now_ms).filter(|(_, seen)| {
            seen.beat.config_version > own.config_version
                || seen.beat.endpoint_revision > own.endpoint_revision
        });
        let me = self.me();
        let best = better.max_by_key(|(key, seen)| {
            let near = seen.beat.domain == own.domain;
            let known = (seen.beat.config_version, seen.beat.endpoint_revision);
            (known, near, pair_score(me, *key))
        });
        best.map(|(_, seen)| seen.beat.state_address)
    }
}

#[cfg(test)]
mod tests;
