//! One box's view of the fleet: which boxes are alive, which coordinate, which have newer state.
//!
//! There is no election. The *coordinators* of a failure domain are its live boxes with the most
//! processor. The other boxes send heartbeats to them only and get digests back, coordinators of
//! different domains exchange digests, and each endpoint is owned by one coordinator of its domain,
//! chosen by rendezvous hashing. Boxes with different views may both own an endpoint or both act as
//! coordinators; that makes decisions worse for a moment, but breaks no guarantee.

mod digest;
mod peer_box;

use super::box_heartbeat::{BoxHeartbeat, BoxStatus, DomainKey, StateKind};
use super::rendezvous::{box_score, owner_of_endpoint, pair_score};
use super::route_table::EndpointId;
use super::store_follower::StorePeers;
use super::store_revision::StoreRevision;
use super::stream_key::StreamKey;
use crate::ids::{BoxKey, Incarnation};
use peer_box::{LivenessReport, PeerBox};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// How a liveness report changes what is known of a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BoxChange {
    /// The box was already known to be alive.
    None,
    /// The box is new, or was considered gone.
    Joined,
    /// The box restarted and lost its state.
    Restarted,
}

/// A box with newer state than this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StateSource {
    /// The address that serves its state.
    pub state_address: SocketAddr,
    /// Whether it belongs to this box's failure domain.
    pub is_same_domain: bool,
}

/// The numbers of boxes that another box reported.
#[derive(Debug, Clone, Copy)]
struct ReportedCount {
    live: u32,
    known: u32,
    at_ms: u64,
}

/// The boxes that this box knows of.
#[derive(Debug)]
pub struct FleetView {
    own: BoxHeartbeat,
    own_domain: DomainKey,
    /// When the store last answered this box, if this box follows it.
    own_store_proof_ms: Option<u64>,
    /// When the store last answered any follower of the own domain.
    store_proof_ms: Option<u64>,
    others: BTreeMap<BoxKey, PeerBox>,
    /// The boxes of each domain, live or not, in order of precedence as coordinators.
    ranks: BTreeMap<DomainKey, Vec<BoxKey>>,
    /// The names of the known domains.
    domains: BTreeMap<DomainKey, String>,
    /// The numbers of boxes that other boxes reported.
    reported_counts: BTreeMap<BoxKey, ReportedCount>,
}

impl FleetView {
    /// The number of coordinators of a failure domain: one may be suspended while another one dies.
    /// The number of datagrams between domains grows with its square.
    pub const COORDINATORS: usize = 3;
    /// The silence after which a box counts as gone, in milliseconds: over three heartbeats.
    pub const GONE_AFTER_MS: u64 = 1_100;
    /// The same for a box of another domain, in milliseconds: over three full digests, the only
    /// messages that list it. What it has at engines is counted for as long. Listing it in each
    /// digest costs a third more bytes between domains at 18 boxes. The selection of coordinators
    /// does not use this limit.
    pub const REMOTE_GONE_AFTER_MS: u64 = 4_000;
    /// Every n-th digest for other domains lists all boxes of the sender's domain.
    pub const FULL_DIGEST_INTERVAL: u32 = 4;
    /// The silence of all its boxes after which a failure domain counts as silent, in milliseconds:
    /// over two heartbeats.
    const SILENT_AFTER_MS: u64 = 650;
    /// How long the last answer of the store counts as proof that a box reaches it, in
    /// milliseconds: covers a probe interval, an answer, a heartbeat and a digest with one message
    /// lost. A box that notices the loss reports it at once; the limit covers boxes that cannot.
    const PROOF_VALID_MS: u64 = 2_000;
    /// The silence after which a box is forgotten, in milliseconds.
    const FORGET_AFTER_MS: u64 = 60_000;

    /// Creates a view that knows only this box.
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

    /// Returns this box's own heartbeat.
    pub const fn own(&self) -> &BoxHeartbeat {
        &self.own
    }

    /// Returns this box's key.
    pub fn own_key(&self) -> BoxKey {
        self.own.key()
    }

    /// Sets the version of this box's configuration and the revision of its endpoints.
    pub const fn set_revisions(&mut self, config_version: u64, endpoint_revision: StoreRevision) {
        self.own.config_version = config_version;
        self.own.endpoint_revision = endpoint_revision;
    }

    /// Sets when the store last answered this box; `None` if this box does not follow the store or
    /// the last probe failed.
    pub fn set_store_proof(&mut self, proof_ms: Option<u64>) {
        self.own.status.reaches_store = proof_ms.is_some();
        self.own_store_proof_ms = proof_ms;
        self.store_proof_ms = self.store_proof_ms.max(proof_ms);
    }

    /// Returns the time since the store last answered a follower of this domain, in milliseconds;
    /// `None` if it never did.
    pub fn store_proof_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.store_proof_ms
            .map(|proof| now_ms.saturating_sub(proof))
    }

    /// Returns when the store last answered a follower of this domain; `None` if another live box
    /// has newer state than this one.
    pub fn agreed_proof_ms(&self, now_ms: u64) -> Option<u64> {
        let lacks = |kind| self.find_state_source(kind, None, now_ms).is_some();
        let is_behind = lacks(StateKind::Config) || lacks(StateKind::Endpoints);
        self.store_proof_ms.filter(|_| !is_behind)
    }

    /// Sets whether this box falls behind with its work; other boxes then coordinate first.
    pub fn set_behind(&mut self, behind: bool) {
        if self.own.status.behind != behind {
            self.own.status.behind = behind;
            self.rank();
        }
    }

    /// Marks this box as about to stop.
    pub fn set_leaving(&mut self) {
        self.own.status.leaving = true;
        self.rank();
    }

    /// Advances the sequence number and the age of the store proof for the next heartbeat or
    /// digest.
    pub const fn advance_sequence(&mut self, now_ms: u64) {
        self.own.sequence = self.own.sequence.wrapping_add(1);
        self.own.status.store_proof_age_ms = match self.own_store_proof_ms {
            Some(proof_ms) => now_ms.saturating_sub(proof_ms) as u32,
            None => 0,
        };
    }

    /// Processes a heartbeat and returns the change of its sender.
    pub fn receive_heartbeat(
        &mut self,
        heartbeat: BoxHeartbeat,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> BoxChange {
        self.record_domain(&heartbeat.domain);
        let domain = DomainKey::from_name(&heartbeat.domain);
        let before = self.others.get(&heartbeat.key()).map(|peer| peer.domain);
        let (change, rank_changed) = self.record(
            LivenessReport::from_heartbeat(heartbeat, incarnation, now_ms),
            now_ms,
        );
        match rank_changed {
            true if before.is_some_and(|before| before != domain) => self.rank(),
            true => self.rank_domain(domain),
            false => {}
        }
        change
    }

    /// Records the name of a failure domain, for logs.
    pub fn record_domain(&mut self, name: &str) {
        let key = DomainKey::from_name(name);
        self.domains.entry(key).or_insert_with(|| name.to_owned());
    }

    /// Records a liveness report; returns the change of the box, and whether the ranking of its
    /// domain may have changed.
    fn record(&mut self, report: LivenessReport, now_ms: u64) -> (BoxChange, bool) {
        if report.key == self.own_key() {
            return (BoxChange::None, false);
        }
        let peer = self.others.get(&report.key);
        let change = match peer {
            // Too old to show that the box is alive.
            None if report.at_ms + Self::GONE_AFTER_MS < now_ms => return (BoxChange::None, false),
            None => BoxChange::Joined,
            // A late report may restore the previous incarnation; the next heartbeat corrects that.
            Some(peer) if peer.incarnation != report.incarnation => {
                match report.at_ms > peer.last_seen_ms {
                    true => BoxChange::Restarted,
                    false => return (BoxChange::None, false),
                }
            }
            Some(peer) if report.sequence <= peer.sequence => return self.fill_gaps(report),
            Some(peer) if self.gone_ms(peer) < now_ms => BoxChange::Joined,
            Some(_) => BoxChange::None,
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

    /// Fills in missing data from a report that is not newer.
    fn fill_gaps(&mut self, report: LivenessReport) -> (BoxChange, bool) {
        let Some(peer) = self.others.get_mut(&report.key) else {
            return (BoxChange::None, false);
        };
        let rank_changed = peer.address.is_none() && report.address.is_some();
        peer.address = peer.address.or(report.address);
        if peer.heartbeat.is_none() {
            peer.heartbeat = report.heartbeat;
        }
        (BoxChange::None, rank_changed)
    }

    /// Sorts the boxes of all domains.
    fn rank(&mut self) {
        self.ranks.clear();
        let others = self.others.values().map(|peer| peer.domain);
        let domains: BTreeSet<DomainKey> = others.chain([self.own_domain]).collect();
        domains
            .into_iter()
            .for_each(|domain| self.rank_domain(domain));
    }

    /// Sorts the boxes of a domain by precedence as coordinators: boxes that keep up first, then by
    /// processor.
    fn rank_domain(&mut self, domain: DomainKey) {
        type RankKey = (bool, Reverse<u32>, BoxKey);
        let rank = |key: BoxKey, status: BoxStatus| -> RankKey {
            (status.behind, Reverse(status.processor), key)
        };
        let own = (self.own_key(), self.own_domain, self.own.status);
        let others = self.others.iter();
        let others = others.filter(|(_, peer)| peer.address.is_some());
        let others = others.map(|(key, peer)| (*key, peer.domain, peer.status));
        let members = std::iter::once(own)
            .chain(others)
            .filter(|(_, of, status)| *of == domain && !status.leaving);
        let mut ranks: Vec<RankKey> = members.map(|(key, _, status)| rank(key, status)).collect();
        ranks.sort_unstable();
        let ranked: Vec<BoxKey> = ranks.into_iter().map(|(_, _, key)| key).collect();
        match ranked.is_empty() {
            true => self.ranks.remove(&domain),
            false => self.ranks.insert(domain, ranked),
        };
    }

    /// Forgets boxes after a long silence; returns those that became gone between the two times.
    pub fn expire(&mut self, since_ms: u64, now_ms: u64) -> Vec<BoxKey> {
        let peers = self.others.iter();
        let gone = peers
            .filter(|(_, peer)| (since_ms..now_ms).contains(&self.gone_ms(peer)))
            .map(|(key, _)| *key)
            .collect();
        let count_before = self.others.len();
        self.others
            .retain(|_, peer| peer.last_seen_ms + Self::FORGET_AFTER_MS > now_ms);
        self.reported_counts
            .retain(|_, count| count.at_ms + Self::FORGET_AFTER_MS > now_ms);
        if count_before != self.others.len() {
            self.rank();
        }
        gone
    }

    /// Returns when a box counts as gone unless another report arrives.
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

    /// Returns whether a box counts as alive.
    pub fn is_live(&self, key: BoxKey, now_ms: u64) -> bool {
        let peer = self.others.get(&key);
        peer.map_or_else(
            || key == self.own_key(),
            |peer| self.gone_ms(peer) >= now_ms,
        )
    }

    /// Returns whether a box is known and counts as gone.
    ///
    /// A box that has just become a coordinator does not know all boxes of its domain yet.
    pub fn is_gone(&self, key: BoxKey, now_ms: u64) -> bool {
        let peer = self.others.get(&key);
        peer.is_some_and(|peer| self.gone_ms(peer) < now_ms)
    }

    fn is_responsive(&self, key: BoxKey, now_ms: u64) -> bool {
        let peer = self.others.get(&key);
        peer.map_or_else(|| key == self.own_key(), |peer| peer.is_responsive(now_ms))
    }

    /// Returns the number of live boxes, this one included: the highest of the own count and the
    /// counts reported recently.
    pub fn live_count(&self, now_ms: u64) -> u32 {
        let counts = self.reported_counts.values();
        let counts = counts.filter(|count| count.at_ms + Self::GONE_AFTER_MS >= now_ms);
        let count = counts.map(|count| count.live).max();
        count.unwrap_or(0).max(self.own_live_count(now_ms))
    }

    fn own_live_count(&self, now_ms: u64) -> u32 {
        1 + self.live(now_ms).count() as u32
    }

    /// Returns the number of known boxes, live or not, this one included: silent boxes may still
    /// send.
    pub fn known_count(&self) -> u32 {
        let count = self.reported_counts.values().map(|count| count.known).max();
        count.unwrap_or(0).max(self.own_known_count())
    }

    fn own_known_count(&self) -> u32 {
        1 + self.others.len() as u32
    }

    /// Returns the address at which a box receives datagrams.
    pub fn address(&self, key: BoxKey) -> Option<SocketAddr> {
        self.others.get(&key)?.address
    }

    /// Returns a box's name, for logs.
    pub fn name(&self, key: BoxKey) -> &str {
        let heartbeat = self.others.get(&key).map(|peer| peer.heartbeat.as_ref());
        match heartbeat {
            Some(Some(heartbeat)) => &heartbeat.name,
            None if key == self.own_key() => &self.own.name,
            _ => "unknown",
        }
    }

    /// Returns a box's failure domain, for logs.
    pub fn domain(&self, key: BoxKey) -> &str {
        let domain = self.others.get(&key).map(|peer| peer.domain);
        self.domain_name(domain.unwrap_or(self.own_domain))
    }

    /// Returns the name of a failure domain, for logs.
    pub fn domain_name(&self, domain: DomainKey) -> &str {
        let name = self.domains.get(&domain);
        name.map_or("unknown", String::as_str)
    }

    /// Returns whether a heartbeat of a box is known, not only its liveness.
    pub fn has_heartbeat(&self, key: BoxKey) -> bool {
        let peer = self.others.get(&key);
        peer.is_some_and(|peer| peer.heartbeat.is_some())
    }

    /// Lists the coordinators of a failure domain in order of precedence.
    fn coordinators_of(&self, domain: DomainKey, now_ms: u64) -> impl Iterator<Item = BoxKey> {
        let ranks = self.ranks.get(&domain).into_iter().flatten().copied();
        ranks
            .filter(move |key| self.is_responsive(*key, now_ms))
            .take(Self::COORDINATORS)
    }

    /// Lists the coordinators of a failure domain in order of precedence.
    pub fn coordinators(&self, domain: &str, now_ms: u64) -> impl Iterator<Item = BoxKey> {
        self.coordinators_of(DomainKey::from_name(domain), now_ms)
    }

    /// Returns whether this box coordinates its failure domain.
    pub fn is_coordinator(&self, now_ms: u64) -> bool {
        self.coordinates_own_domain(self.own_key(), now_ms)
    }

    /// Returns whether a box coordinates the failure domain of this one.
    pub fn coordinates_own_domain(&self, key: BoxKey, now_ms: u64) -> bool {
        let mut coordinators = self.coordinators_of(self.own_domain, now_ms);
        coordinators.any(|coordinator| coordinator == key)
    }

    /// Lists the addresses for this box's heartbeat: the coordinators of its domain, or if none is
    /// live, the highest-ranked boxes that are known there.
    ///
    /// A coordinator also tries a silent box, selected by `random`: after a split, the two parts of
    /// a domain may have different coordinators that do not know of each other.
    pub fn heartbeat_targets(&self, now_ms: u64, random: usize) -> Vec<SocketAddr> {
        let own_key = self.own_key();
        let live = self.coordinators_of(self.own_domain, now_ms);
        let live: Vec<BoxKey> = live.filter(|key| *key != own_key).collect();
        let silent = || {
            let ranks = self.ranks.get(&self.own_domain).into_iter().flatten();
            let silent = ranks.filter(|key| !self.is_responsive(**key, now_ms));
            silent.copied().collect::<Vec<BoxKey>>()
        };
        let targets = match (live.is_empty(), self.is_coordinator(now_ms)) {
            // Twice as many, since the former coordinators are probably gone.
            (true, _) => silent().into_iter().take(2 * Self::COORDINATORS).collect(),
            (false, false) => live,
            (false, true) => {
                let silent = silent();
                let tried = silent.get(random % silent.len().max(1)).copied();
                live.into_iter().chain(tried).collect()
            }
        };
        let targets = targets.into_iter();
        targets.filter_map(|key| self.address(key)).collect()
    }

    /// Lists the addresses of the coordinators of the other failure domains; of a domain without
    /// live ones, the known boxes, so that contact is restored after a partition.
    pub fn remote_coordinators(&self, now_ms: u64) -> Vec<SocketAddr> {
        let remote = self.ranks.iter();
        let remote = remote.filter(|(domain, _)| **domain != self.own_domain);
        let remote = remote.flat_map(|(domain, ranks)| {
            let live: Vec<BoxKey> = self.coordinators_of(*domain, now_ms).collect();
            match live.is_empty() {
                true => ranks.iter().copied().take(Self::COORDINATORS).collect(),
                false => live,
            }
        });
        remote.filter_map(|key| self.address(key)).collect()
    }

    /// Returns whether another box of the own failure domain is live.
    pub fn has_live_domain_peer(&self, now_ms: u64) -> bool {
        self.live(now_ms)
            .any(|(_, peer)| peer.domain == self.own_domain)
    }

    /// Picks the boxes to which this one reports the version of a stream: a coordinator of its own
    /// domain and one of another domain, so that the report outlives a box as well as a domain. If
    /// there is none in one of the two groups, both are of the other one.
    pub fn stream_keepers(&self, key: StreamKey, now_ms: u64) -> Vec<BoxKey> {
        let (own_key, seed) = (self.own_key(), key.placement_key());
        let ranked = |is_local: bool| {
            let domains = self.ranks.keys();
            let domains = domains.filter(|domain| (**domain == self.own_domain) == is_local);
            let candidates = domains.flat_map(|domain| self.coordinators_of(*domain, now_ms));
            let mut candidates: Vec<BoxKey> = candidates
                .filter(|candidate| *candidate != own_key)
                .collect();
            candidates.sort_by_key(|candidate| Reverse(box_score(seed, *candidate)));
            candidates
        };
        match (&*ranked(true), &*ranked(false)) {
            ([local, ..], [remote, ..]) => vec![*local, *remote],
            (candidates, []) | ([], candidates) => candidates.iter().copied().take(2).collect(),
        }
    }

    /// Picks the box that writes the versions of this box's streams to the store: the first in
    /// precedence of its domain that reaches the store, or else of another domain. If none does, the
    /// first of its domain keeps them until the store answers again.
    pub fn stream_writer(&self, now_ms: u64) -> BoxKey {
        let own_key = self.own_key();
        let reaches = |key: &BoxKey| match self.others.get(key) {
            Some(peer) => peer.is_responsive(now_ms) && Self::has_recent_proof(peer, now_ms),
            None => *key == own_key && self.has_own_recent_proof(now_ms),
        };
        let local = || self.ranks.get(&self.own_domain).into_iter().flatten();
        let remote = self.ranks.iter();
        let remote = remote.filter(|(domain, _)| **domain != self.own_domain);
        let mut candidates = local().chain(remote.flat_map(|(_, ranked)| ranked));
        let writer = candidates.find(|key| reaches(key)).copied();
        let first = || self.coordinators_of(self.own_domain, now_ms).next();
        writer.or_else(first).unwrap_or(own_key)
    }

    /// Lists the boxes that may know the version of a stream which began at another box: those of
    /// highest precedence in each domain, responsive or not, since precedence changes with the load.
    pub fn stream_witnesses(&self) -> Vec<BoxKey> {
        let own_key = self.own_key();
        let ranks = self.ranks.values();
        let witnesses = ranks.flat_map(|ranked| ranked.iter().take(2 * Self::COORDINATORS));
        witnesses.copied().filter(|key| *key != own_key).collect()
    }

    /// Returns whether there is a box of each other failure domain among `boxes`, and any at all.
    pub fn covers_domains(&self, boxes: &BTreeSet<BoxKey>) -> bool {
        let mut others = self.ranks.iter();
        let is_covered = |ranked: &Vec<BoxKey>| ranked.iter().any(|key| boxes.contains(key));
        !boxes.is_empty()
            && others.all(|(domain, ranked)| *domain == self.own_domain || is_covered(ranked))
    }

    /// Returns whether this box hears of changes in the store: the store answered its domain a
    /// moment ago, or coordinators of all other domains are responsive.
    pub fn is_in_contact(&self, now_ms: u64) -> bool {
        let proof_age_ms = self.store_proof_age_ms(now_ms);
        let mut others = self
            .ranks
            .keys()
            .filter(|domain| **domain != self.own_domain);
        let is_responsive =
            |domain: &DomainKey| self.coordinators_of(*domain, now_ms).next().is_some();
        match proof_age_ms {
            Some(age_ms) if age_ms <= Self::PROOF_VALID_MS => true,
            _ if self.others.is_empty() => false,
            _ => self.has_live_domain_peer(now_ms) && others.all(is_responsive),
        }
    }

    /// Picks the owner of an endpoint: a coordinator of its domain, or else of any domain.
    pub fn owner(&self, endpoint: EndpointId, domain: &str, now_ms: u64) -> BoxKey {
        let in_domain = self.coordinators(domain, now_ms);
        let all = || {
            let domains = self.ranks.keys();
            domains.flat_map(|domain| self.coordinators_of(*domain, now_ms))
        };
        owner_of_endpoint(endpoint, in_domain)
            .or_else(|| owner_of_endpoint(endpoint, all()))
            .unwrap_or(self.own_key())
    }

    /// Counts the other boxes of the own failure domain that follow the store, and those that take
    /// precedence over this one.
    ///
    /// A box counts only while its last answer from the store is recent: a suspended box, or one
    /// whose heartbeats arrive late, still reports an old state.
    pub fn store_peers(&self, now_ms: u64) -> StorePeers {
        let own_key = self.own_key();
        let ranks = self.ranks.get(&self.own_domain).into_iter().flatten();
        let live = |key: &BoxKey| {
            let peer = self.others.get(key);
            peer.filter(|peer| peer.is_responsive(now_ms))
        };
        let reaches = |peer: &PeerBox| Self::has_recent_proof(peer, now_ms);
        let others = ranks.clone().filter_map(live);
        // Only coordinators know all boxes of the domain.
        let even_count = self.live_count(now_ms) as usize / self.domains.len().max(1);
        let before: Vec<&PeerBox> = ranks
            .take_while(|key| **key != own_key)
            .filter_map(live)
            .collect();
        StorePeers {
            live: even_count.max(1 + others.clone().count()),
            reaching: others.filter(|peer| reaches(peer)).count(),
            reaching_before: before.iter().filter(|peer| reaches(peer)).count(),
            before: before.len(),
            has_live_peer: self.has_live_domain_peer(now_ms),
        }
    }

    /// Returns whether the store has answered a box lately.
    fn has_recent_proof(peer: &PeerBox, now_ms: u64) -> bool {
        let store_proof_ms = peer.status.store_proof_ms(peer.last_seen_ms);
        store_proof_ms.is_some_and(|proof| proof + Self::PROOF_VALID_MS >= now_ms)
    }

    fn has_own_recent_proof(&self, now_ms: u64) -> bool {
        let proof_ms = self.own_store_proof_ms;
        proof_ms.is_some_and(|proof| proof + Self::PROOF_VALID_MS >= now_ms)
    }

    /// Lists the other failure domains of which every known box is silent.
    pub fn silent_domains(&self, now_ms: u64) -> BTreeSet<String> {
        let others = self.others.values();
        let others = others.filter(|peer| !peer.status.leaving && peer.domain != self.own_domain);
        let (silent, live): (Vec<_>, Vec<_>) =
            others.partition(|peer| peer.last_seen_ms + Self::SILENT_AFTER_MS < now_ms);
        let mut domains: BTreeSet<DomainKey> = silent.iter().map(|peer| peer.domain).collect();
        for peer in live {
            domains.remove(&peer.domain);
        }
        let names = domains.iter().filter_map(|domain| self.domains.get(domain));
        names.cloned().collect()
    }

    /// Finds a box with newer state of the given kind than this one.
    ///
    /// A box of the own domain is preferred, since its answer crosses no link between domains;
    /// state that it lacks is requested from elsewhere afterwards. Among equals, the boxes of a
    /// domain choose different sources, which spreads the load. The address to `avoid` is chosen
    /// last.
    pub fn find_state_source(
        &self,
        kind: StateKind,
        avoid: Option<SocketAddr>,
        now_ms: u64,
    ) -> Option<StateSource> {
        let own = self.own.revision_of(kind);
        let live = self.others.iter();
        let live = live.filter(|(_, peer)| peer.is_responsive(now_ms));
        let heartbeats = live.filter_map(|(key, peer)| Some((*key, peer.heartbeat.as_ref()?)));
        let newer = heartbeats.filter(|(_, heartbeat)| heartbeat.revision_of(kind) > own);
        let own_key = self.own_key();
        let source = newer.max_by_key(|(key, heartbeat)| {
            let is_preferred = Some(heartbeat.state_address) != avoid;
            let is_same_domain = heartbeat.domain == self.own.domain;
            (
                is_preferred,
                is_same_domain,
                heartbeat.revision_of(kind),
                pair_score(own_key, *key),
            )
        });
        source.map(|(_, heartbeat)| StateSource {
            state_address: heartbeat.state_address,
            is_same_domain: heartbeat.domain == self.own.domain,
        })
    }

    /// Finds the address of a box that can tell which endpoints were removed: one that the store
    /// answered lately if possible, and then the one that knows the newest revision.
    ///
    /// The address to `avoid` is chosen last.
    pub fn find_removal_witness(
        &self,
        avoid: Option<SocketAddr>,
        now_ms: u64,
    ) -> Option<SocketAddr> {
        let own_key = self.own_key();
        let live = self.others.iter();
        let live = live.filter(|(_, peer)| peer.is_responsive(now_ms));
        let witnesses = live.filter_map(|(key, peer)| Some((key, peer, peer.heartbeat.as_ref()?)));
        let witness = witnesses.max_by_key(|(key, peer, heartbeat)| {
            (
                Some(heartbeat.state_address) != avoid,
                Self::has_recent_proof(peer, now_ms),
                heartbeat.endpoint_revision,
                pair_score(own_key, **key),
            )
        });
        witness.map(|(_, _, heartbeat)| heartbeat.state_address)
    }
}

#[cfg(test)]
mod fleet_tests;
#[cfg(test)]
mod store_tests;
#[cfg(test)]
mod tests;
