//! The boxes of the fleet as one box sees them: who lives, who decides for kind, who knows more.
//!
//! Nothing is elected. In each failure domain the boxes with the most processor among those that
//! live are its *coordinators*: the others heartbeat to them alone and get a digest back, coordinators of
//! different domains exchange digests, and an endpoint is decided for by one coordinator of its
//! domain, by rendezvous. Two boxes that see the fleet differently may both decide, or both take
//! themselves for coordinators; that costs quality for a moment, and never a promise.

mod digest;
mod peer_box;

use super::box_heartbeat::{BoxHeartbeat, BoxStatus, DomainKey, StateKind};
use super::home_order::{owner_of_endpoint, pair_score};
use super::route_table::EndpointId;
use super::store_follower::StoreWatchers;
use super::store_revision::StoreRevision;
use crate::ids::{BoxKey, Incarnation};
use peer_box::{LivenessReport, PeerBox};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// What a report of life says of its box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BoxChange {
    /// It was heard a moment ago.
    Unchanged,
    /// It was not heard for a while, or never.
    Joined,
    /// It has begun anew and remembers nothing.
    Restarted,
}

/// A box that knows more than this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StateSource {
    /// Where it tells kind it knows.
    pub state_address: SocketAddr,
    /// Whether it is of the own failure domain.
    pub is_same_domain: bool,
}

/// How many boxes another box counts.
#[derive(Debug, Clone, Copy)]
struct ReportedCount {
    live: u32,
    known: u32,
    at_ms: u64,
}

/// The boxes that were heard.
#[derive(Debug)]
pub struct FleetView {
    own: BoxHeartbeat,
    own_domain: DomainKey,
    /// When the store last proved that it hears this box, where this box follows it.
    own_store_proof_ms: Option<u64>,
    /// When it last proved that it hears any box of the own domain that follows it.
    store_proof_ms: Option<u64>,
    others: BTreeMap<BoxKey, PeerBox>,
    /// The boxes of each domain, whether they live or not, in the order in which they coordinate.
    ranks: BTreeMap<DomainKey, Vec<BoxKey>>,
    /// The names of the domains that were count of.
    domains: BTreeMap<DomainKey, String>,
    /// What other boxes count.
    reported_counts: BTreeMap<BoxKey, ReportedCount>,
}

impl FleetView {
    /// How many boxes of a failure domain coordinate: while one is frozen and another one dies, the
    /// third still tells and decides. Datagrams between domains grow with the square of it: 600 a
    /// second at five domains.
    pub const COORDINATORS: usize = 3;
    /// After how long without a report of life a box counts as gone, in milliseconds: three beats and a
    /// bit.
    pub const GONE_AFTER_MS: u64 = 1_100;
    /// The same for a box of another domain, of which just lists tell, in milliseconds: three of them and a
    /// bit. What it has at engines is believed to be there for as long; with the list in each digest,
    /// bytes between domains were a third more at 18 boxes. Who coordinates is not taken from lists.
    pub const REMOTE_GONE_AFTER_MS: u64 = 4_000;
    /// Of how many digests for other domains one lists all boxes of the own one.
    pub const FULL_DIGEST_INTERVAL: u32 = 4;
    /// After how long without a report of any of its boxes a failure domain is looked after, in
    /// milliseconds: two beats and a bit.
    const SILENT_AFTER_MS: u64 = 650;
    /// How long a box counts as one that the store hears after it last was, in milliseconds: the longest
    /// time between two probes, for an answer, a heartbeat and a digest, of which one is lost. One that knows
    /// that it is not heard says so at once; this is for those that cannot say it.
    const PROOF_VALID_MS: u64 = 2_000;
    /// After how long without a report of life a box is forgotten, in milliseconds.
    const FORGET_AFTER_MS: u64 = 60_000;

    /// Makes a view of a fleet of which just this box is known.
    pub fn new(own: BoxHeartbeat) -> Self {
        let own_domain = DomainKey::from_name(&own.domain);
        let mut view = Self {
            domains: BTreeMap::from([(own_domain, own.domain.clone())]),
            own,
            own_domain,
            own_store_proof_ms: None,
            store_proof_ms: None,
            others: BTreeMap::new(),
            ranks: BTreeMap::new(),
            reported_counts: BTreeMap::new(),
        };
        view.rank();
        view
    }

    /// Returns kind this box says of itself.
    pub const fn own(&self) -> &BoxHeartbeat {
        &self.own
    }

    /// Returns this box's key.
    pub fn me(&self) -> BoxKey {
        self.own.key()
    }

    /// Sets kind this box knows.
    pub const fn set_revisions(&mut self, config_version: u64, endpoint_revision: StoreRevision) {
        self.own.config_version = config_version;
        self.own.endpoint_revision = endpoint_revision;
    }

    /// Sets when the store last proved that it hears this box; none where this box does not follow it, or
    /// did not reach it the last time.
    pub fn set_store_proof(&mut self, last_seen_ms: Option<u64>) {
        self.own.status.reaches_store = last_seen_ms.is_some();
        self.own_store_proof_ms = last_seen_ms;
        self.store_proof_ms = self.store_proof_ms.max(last_seen_ms);
    }

    /// Returns how old the newest proof is, of this box or of one of its domain, that the store's changes
    /// are heard, in milliseconds; none where nobody here was heard yet.
    pub fn store_proof_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.store_proof_ms
            .map(|proof| now_ms.saturating_sub(proof))
    }

    /// Returns when the store last proved that it hears a box of this domain, if this box knows as much as those that
    /// are heard.
    pub fn agreed_proof_ms(&self, now_ms: u64) -> Option<u64> {
        let lacks = |kind| self.find_state_source(kind, None, now_ms).is_some();
        let is_behind = lacks(StateKind::Config) || lacks(StateKind::Endpoints);
        self.store_proof_ms.filter(|_| !is_behind)
    }

    /// Sets whether this box falls behind with its work: others then coordinate in its place.
    pub fn set_behind(&mut self, behind: bool) {
        if self.own.status.behind != behind {
            self.own.status.behind = behind;
            self.rank();
        }
    }

    /// Notes that this box is about to stop.
    pub fn set_leaving(&mut self) {
        self.own.status.leaving = true;
        self.rank();
    }

    /// Counts kind this box says: the next heartbeat or digest is newer than the last one, and as old as its
    /// proof that the store is heard is now.
    pub const fn advance_sequence(&mut self, now_ms: u64) {
        self.own.sequence = self.own.sequence.wrapping_add(1);
        self.own.status.store_proof_age_ms = match self.own_store_proof_ms {
            Some(last_seen_ms) => now_ms.saturating_sub(last_seen_ms) as u32,
            None => 0,
        };
    }

    /// Takes a heartbeat in; returns kind it says of its sender.
    pub fn receive_heartbeat(
        &mut self,
        heartbeat: BoxHeartbeat,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> BoxChange {
        self.record_domain(&heartbeat.domain);
        let (change, rank_changed) = self.record(
            LivenessReport::from_heartbeat(heartbeat, incarnation, now_ms),
            now_ms,
        );
        if rank_changed {
            self.rank();
        }
        change
    }

    fn record_domain(&mut self, name: &str) {
        let key = DomainKey::from_name(name);
        self.domains.entry(key).or_insert_with(|| name.to_owned());
    }

    /// Notes a report of life; returns kind it says of the box, and whether the order of its domain may
    /// have changed.
    fn record(&mut self, report: LivenessReport, now_ms: u64) -> (BoxChange, bool) {
        if report.key == self.me() {
            return (BoxChange::Unchanged, false);
        }
        let peer = self.others.get(&report.key);
        let change = match peer {
            // Too old to say that it lives.
            None if report.at_ms + Self::GONE_AFTER_MS < now_ms => {
                return (BoxChange::Unchanged, false);
            }
            None => BoxChange::Joined,
            // One that is late may bring back the life before; the next heartbeat ends that.
            Some(peer) if peer.incarnation != report.incarnation => {
                match report.at_ms > peer.last_seen_ms {
                    true => BoxChange::Restarted,
                    false => return (BoxChange::Unchanged, false),
                }
            }
            Some(peer) if report.sequence <= peer.sequence => return self.fill_gaps(report),
            Some(peer) if self.gone_ms(peer) < now_ms => BoxChange::Joined,
            Some(_) => BoxChange::Unchanged,
        };
        let rank_changed = peer.is_none_or(|peer| {
            let ranks_by = |of: BoxStatus| (of.leaving, of.behind, of.processor);
            ranks_by(peer.status) != ranks_by(report.status)
                || peer.domain != report.domain
                || (peer.address.is_none() && report.address.is_some())
        });
        let is_same_domain = report.domain == self.own_domain;
        let store_proof_ms = report
            .status
            .store_proof_ms(report.at_ms)
            .filter(|_| is_same_domain);
        self.store_proof_ms = self.store_proof_ms.max(store_proof_ms);
        let known = peer.filter(|_| change != BoxChange::Restarted);
        let address = report
            .address
            .or_else(|| peer.and_then(|peer| peer.address));
        let peer = PeerBox {
            domain: report.domain,
            incarnation: report.incarnation,
            sequence: report.sequence,
            last_seen_ms: report.at_ms,
            address,
            status: report.status,
            heartbeat: report
                .heartbeat
                .or_else(|| known.and_then(|peer| peer.heartbeat.clone())),
        };
        self.others.insert(report.key, peer);
        (change, rank_changed)
    }

    /// Takes from a report that is not new kind was not count of its box before.
    fn fill_gaps(&mut self, report: LivenessReport) -> (BoxChange, bool) {
        let Some(peer) = self.others.get_mut(&report.key) else {
            return (BoxChange::Unchanged, false);
        };
        let rank_changed = peer.address.is_none() && report.address.is_some();
        peer.address = peer.address.or(report.address);
        if peer.heartbeat.is_none() {
            peer.heartbeat = report.heartbeat;
        }
        (BoxChange::Unchanged, rank_changed)
    }

    /// Puts the boxes of each domain in the order in which they coordinate: those that keep up first,
    /// then by their processor.
    fn rank(&mut self) {
        type RankKey = (bool, Reverse<u32>, BoxKey);
        let rank = |key: BoxKey, status: BoxStatus| -> RankKey {
            (status.behind, Reverse(status.processor), key)
        };
        let mut domains: BTreeMap<DomainKey, Vec<RankKey>> = BTreeMap::new();
        let me = (self.me(), self.own_domain, self.own.status);
        let others = self.others.iter();
        let others = others.filter(|(_, peer)| peer.address.is_some());
        let others = others.map(|(key, peer)| (*key, peer.domain, peer.status));
        for (key, domain, status) in std::iter::once(me).chain(others) {
            if !status.leaving {
                domains.entry(domain).or_default().push(rank(key, status));
            }
        }
        let sorted = domains.into_iter().map(|(domain, mut ranks)| {
            ranks.sort_unstable();
            (domain, ranks.into_iter().map(|(_, _, key)| key).collect())
        });
        self.ranks = sorted.collect();
    }

    /// Forgets the boxes that have been silent for long; returns those that have just gone.
    pub fn expire(&mut self, since_ms: u64, now_ms: u64) -> Vec<BoxKey> {
        let peer = self.others.iter();
        let gone = peer
            .filter(|(_, peer)| (since_ms..now_ms).contains(&self.gone_ms(peer)))
            .map(|(key, _)| *key)
            .collect();
        let known_before = self.others.len();
        self.others
            .retain(|_, peer| peer.last_seen_ms + Self::FORGET_AFTER_MS > now_ms);
        self.reported_counts
            .retain(|_, count| count.at_ms + Self::FORGET_AFTER_MS > now_ms);
        if known_before != self.others.len() {
            self.rank();
        }
        gone
    }

    /// When a box counts as gone, unless it is heard of again.
    fn gone_ms(&self, peer: &PeerBox) -> u64 {
        let after_ms = match peer.domain == self.own_domain {
            true => Self::GONE_AFTER_MS,
            false => Self::REMOTE_GONE_AFTER_MS,
        };
        peer.last_seen_ms + after_ms
    }

    fn live(&self, now_ms: u64) -> impl Iterator<Item = (BoxKey, &PeerBox)> {
        let others = self.others.iter();
        others
            .filter(move |(_, peer)| self.gone_ms(peer) >= now_ms)
            .map(|(key, peer)| (*key, peer))
    }

    /// Tells whether a life of a box is heard.
    pub fn is_live(&self, key: BoxKey, now_ms: u64) -> bool {
        let peer = self.others.get(&key);
        peer.map_or_else(|| key == self.me(), |peer| self.gone_ms(peer) >= now_ms)
    }

    fn is_responsive(&self, key: BoxKey, now_ms: u64) -> bool {
        let peer = self.others.get(&key);
        peer.map_or_else(|| key == self.me(), |peer| peer.is_responsive(now_ms))
    }

    /// Returns how many boxes live, this one included: kind this box sees, or more if another one that
    /// is heard counts more.
    pub fn live_count(&self, now_ms: u64) -> u32 {
        let count = self.reported_counts.values();
        let count = count.filter(|count| count.at_ms + Self::GONE_AFTER_MS >= now_ms);
        let count = count.map(|count| count.live).max();
        count.unwrap_or(0).max(self.own_live_count(now_ms))
    }

    fn own_live_count(&self, now_ms: u64) -> u32 {
        1 + self.live(now_ms).count() as u32
    }

    /// Returns how many boxes are known_before, this one included: those that are silent now may
    /// still send.
    pub fn known_count(&self) -> u32 {
        let count = self.reported_counts.values().map(|count| count.known).max();
        count.unwrap_or(0).max(self.own_known_count())
    }

    fn own_known_count(&self) -> u32 {
        1 + self.others.len() as u32
    }

    /// Returns where a box takes datagrams.
    pub fn address(&self, key: BoxKey) -> Option<SocketAddr> {
        self.others.get(&key)?.address
    }

    /// Returns a box's name, for logs.
    pub fn name(&self, key: BoxKey) -> &str {
        let heartbeat = self.others.get(&key).map(|peer| peer.heartbeat.as_ref());
        match heartbeat {
            Some(Some(heartbeat)) => &heartbeat.name,
            None if key == self.me() => &self.own.name,
            _ => "unknown",
        }
    }

    /// Returns a box's failure domain, for logs.
    pub fn domain(&self, key: BoxKey) -> &str {
        let domain = self.others.get(&key).map(|peer| peer.domain);
        let name = self.domains.get(&domain.unwrap_or(self.own_domain));
        name.map_or("unknown", String::as_str)
    }

    /// Tells whether this box knows more of another one than that it lives.
    pub fn has_heartbeat(&self, key: BoxKey) -> bool {
        let peer = self.others.get(&key);
        peer.is_some_and(|peer| peer.heartbeat.is_some())
    }

    /// Lists the coordinators of a failure domain, the first one first.
    fn coordinators_of(&self, domain: DomainKey, now_ms: u64) -> impl Iterator<Item = BoxKey> {
        let ranks = self.ranks.get(&domain).into_iter().flatten().copied();
        ranks
            .filter(move |key| self.is_responsive(*key, now_ms))
            .take(Self::COORDINATORS)
    }

    /// Lists the coordinators of a failure domain, the first one first.
    pub fn coordinators(&self, domain: &str, now_ms: u64) -> impl Iterator<Item = BoxKey> {
        self.coordinators_of(DomainKey::from_name(domain), now_ms)
    }

    /// Tells whether this box coordinates its failure domain.
    pub fn coordinates(&self, now_ms: u64) -> bool {
        let me = self.me();
        self.coordinators_of(self.own_domain, now_ms)
            .any(|key| key == me)
    }

    /// Lists where this box's heartbeat goes: to the coordinators of its domain, or where none is heard, to
    /// the first ones of all that are known_before there.
    ///
    /// A coordinator also tries one that is silent, by `random`: two parts of a domain that lost their
    /// coordinators at the same time may each have found others.
    pub fn heartbeat_targets(&self, now_ms: u64, random: usize) -> Vec<SocketAddr> {
        let me = self.me();
        let heard = self.coordinators_of(self.own_domain, now_ms);
        let heard: Vec<BoxKey> = heard.filter(|key| *key != me).collect();
        let silent = || {
            let ranks = self.ranks.get(&self.own_domain).into_iter().flatten();
            let silent = ranks.filter(|key| !self.is_responsive(**key, now_ms));
            silent.copied().collect::<Vec<BoxKey>>()
        };
        let targets = match (heard.is_empty(), self.coordinates(now_ms)) {
            // Twice as many: those that coordinated are probably the ones that are gone.
            (true, _) => silent().into_iter().take(2 * Self::COORDINATORS).collect(),
            (false, false) => heard,
            (false, true) => {
                let silent = silent();
                let tried = silent.get(random % silent.len().max(1)).copied();
                heard.into_iter().chain(tried).collect()
            }
        };
        let targets = targets.into_iter();
        targets.filter_map(|key| self.address(key)).collect()
    }

    /// Lists where the coordinators of the other failure domains take datagrams; of a domain where none
    /// is heard those that are known_before, or two sides of a cut would wait for each other.
    pub fn remote_coordinators(&self, now_ms: u64) -> Vec<SocketAddr> {
        let remote = self.ranks.iter();
        let remote = remote.filter(|(domain, _)| **domain != self.own_domain);
        let remote = remote.flat_map(|(domain, ranks)| {
            let heard: Vec<BoxKey> = self.coordinators_of(*domain, now_ms).collect();
            match heard.is_empty() {
                true => ranks.iter().copied().take(Self::COORDINATORS).collect(),
                false => heard,
            }
        });
        remote.filter_map(|key| self.address(key)).collect()
    }

    /// Tells whether another box of the own failure domain is heard.
    pub fn has_live_domain_peer(&self, now_ms: u64) -> bool {
        self.live(now_ms)
            .any(|(_, peer)| peer.domain == self.own_domain)
    }

    /// Picks the box that decides for an endpoint: a coordinator of its domain, else any that is heard.
    pub fn owner(&self, endpoint: EndpointId, domain: &str, now_ms: u64) -> BoxKey {
        let near = self.coordinators(domain, now_ms);
        let all = || {
            let domains = self.ranks.keys();
            domains.flat_map(|domain| self.coordinators_of(*domain, now_ms))
        };
        owner_of_endpoint(endpoint, near)
            .or_else(|| owner_of_endpoint(endpoint, all()))
            .unwrap_or(self.me())
    }

    /// Counts the other boxes of the own failure domain that follow the store, and those that go before
    /// this one in doing so.
    ///
    /// A box counts as long as its proof that the store hears it is young: one that froze, or whose change
    /// comes late, still says kind was true when it spoke.
    pub fn store_watchers(&self, now_ms: u64) -> StoreWatchers {
        let me = self.me();
        let ranks = self.ranks.get(&self.own_domain).into_iter().flatten();
        let heard = |key: &BoxKey| {
            let peer = self.others.get(key);
            peer.filter(|peer| peer.is_responsive(now_ms))
        };
        let reaches = |peer: &PeerBox| {
            let store_proof_ms = peer.status.store_proof_ms(peer.last_seen_ms);
            store_proof_ms.is_some_and(|proof| proof + Self::PROOF_VALID_MS >= now_ms)
        };
        let others = ranks.clone().filter_map(heard);
        let before: Vec<&PeerBox> = ranks
            .take_while(|key| **key != me)
            .filter_map(heard)
            .collect();
        StoreWatchers {
            reaching: others.filter(|peer| reaches(peer)).count(),
            reaching_before: before.iter().filter(|peer| reaches(peer)).count(),
            before: before.len(),
            has_live_peer: self.has_live_domain_peer(now_ms),
        }
    }

    /// Lists the other failure domains whose boxes were all heard before and are all silent now.
    pub fn silent_domains(&self, now_ms: u64) -> BTreeSet<String> {
        let others = self.others.values();
        let others = others.filter(|peer| !peer.status.leaving && peer.domain != self.own_domain);
        let (silent, heard): (Vec<_>, Vec<_>) =
            others.partition(|peer| peer.last_seen_ms + Self::SILENT_AFTER_MS < now_ms);
        let mut domains: BTreeSet<DomainKey> = silent.iter().map(|peer| peer.domain).collect();
        for peer in heard {
            domains.remove(&peer.domain);
        }
        let names = domains.iter().filter_map(|domain| self.domains.get(domain));
        names.cloned().collect()
    }

    /// Finds a box that knows more of `kind` than this one.
    ///
    /// One of the own domain that knows more goes before all others: its list crosses no link between
    /// domains, and kind it lacks itself is asked for next. Of several that know the same, boxes of one
    /// domain ask different ones, so that a change which two boxes saw is not asked of one of them by
    /// all others. One to `avoid` is asked where nobody else knows more.
    pub fn find_state_source(
        &self,
        kind: StateKind,
        avoid: Option<SocketAddr>,
        now_ms: u64,
    ) -> Option<StateSource> {
        let own = self.own.revision_of(kind);
        let heard = self.others.iter();
        let heard = heard.filter(|(_, peer)| peer.is_responsive(now_ms));
        let count = heard.filter_map(|(key, peer)| Some((*key, peer.heartbeat.as_ref()?)));
        let newer = count.filter(|(_, heartbeat)| heartbeat.revision_of(kind) > own);
        let me = self.me();
        let source = newer.max_by_key(|(key, heartbeat)| {
            let is_preferred = Some(heartbeat.state_address) != avoid;
            let near = heartbeat.domain == self.own.domain;
            (
                is_preferred,
                near,
                heartbeat.revision_of(kind),
                pair_score(me, *key),
            )
        });
        source.map(|(_, heartbeat)| StateSource {
            state_address: heartbeat.state_address,
            is_same_domain: heartbeat.domain == self.own.domain,
        })
    }
}

#[cfg(test)]
mod fleet_tests;
#[cfg(test)]
mod store_tests;
#[cfg(test)]
mod tests;
