//! The boxes of the fleet as one box sees them: who lives, who decides for what, who knows more.
//!
//! Nothing is elected. In each failure domain the boxes with the most processor among those that
//! live are its *coordinators*: the others beat to them alone and get a digest back, coordinators of
//! different domains exchange digests, and an endpoint is decided for by one coordinator of its
//! domain, by rendezvous. Two boxes that see the fleet differently may both decide, or both take
//! themselves for coordinators; that costs quality for a moment, and never a promise.

mod digest;
mod seen_box;

use super::box_beat::{BoxBeat, BoxKnowledge, BoxStanding, DomainKey};
use super::rendezvous::{owner_of_endpoint, pair_score};
use super::route_table::EndpointId;
use super::store_duty::StoreWatchers;
use super::store_revision::StoreRevision;
use crate::ids::{BoxKey, Incarnation};
use seen_box::{BoxSign, SeenBox};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// What a sign of life says of its box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BoxNews {
    /// It was heard a moment ago.
    None,
    /// It was not heard for a while, or never.
    Back,
    /// It has begun anew and remembers nothing.
    NewLife,
}

/// A box that knows more than this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InformedBox {
    /// Where it tells what it knows.
    pub state_address: SocketAddr,
    /// Whether it is of the own failure domain.
    pub is_near: bool,
}

/// How many boxes another box counts.
#[derive(Debug, Clone, Copy)]
struct ToldCount {
    live: u32,
    known: u32,
    at_ms: u64,
}

/// The boxes that were heard.
#[derive(Debug)]
pub struct FleetView {
    own: BoxBeat,
    own_domain: DomainKey,
    /// When the store last proved that it hears this box, where this box follows it.
    heard_store_ms: Option<u64>,
    /// When it last proved that it hears any box of the own domain that follows it.
    proof_ms: Option<u64>,
    others: BTreeMap<BoxKey, SeenBox>,
    /// The boxes of each domain, whether they live or not, in the order in which they coordinate.
    ranks: BTreeMap<DomainKey, Vec<BoxKey>>,
    /// The names of the domains that were told of.
    domains: BTreeMap<DomainKey, String>,
    /// What other boxes count.
    told: BTreeMap<BoxKey, ToldCount>,
}

impl FleetView {
    /// How many boxes of a failure domain coordinate: while one is frozen and another one dies, the
    /// third still tells and decides. Datagrams between domains grow with the square of it: 600 a
    /// second at five domains.
    pub const COORDINATORS: usize = 3;
    /// After how long without a sign of life a box counts as gone, in milliseconds: three beats and a
    /// bit.
    pub const GONE_AFTER_MS: u64 = 1_100;
    /// The same for a box of another domain, of which just lists tell, in milliseconds: three of them and a
    /// bit. What it has at engines is believed to be there for as long; with the list in each digest,
    /// bytes between domains were a third more at 18 boxes. Who coordinates is not taken from lists.
    pub const FAR_GONE_AFTER_MS: u64 = 4_000;
    /// Of how many digests for other domains one lists all boxes of the own one.
    pub const LIST_EVERY: u32 = 4;
    /// After how long without a sign of any of its boxes a failure domain is looked after, in
    /// milliseconds: two beats and a bit.
    const SUSPECT_AFTER_MS: u64 = 650;
    /// How long a box counts as one that the store hears after it last was, in milliseconds: the longest
    /// time between two probes, for an answer, a beat and a digest, of which one is lost. One that knows
    /// that it is not heard says so at once; this is for those that cannot say it.
    const PROOF_KEPT_MS: u64 = 2_000;
    /// After how long without a sign of life a box is forgotten, in milliseconds.
    const FORGET_AFTER_MS: u64 = 60_000;

    /// Makes a view of a fleet of which just this box is known.
    pub fn new(own: BoxBeat) -> Self {
        let own_domain = DomainKey::from_name(&own.domain);
        let mut view = Self {
            domains: BTreeMap::from([(own_domain, own.domain.clone())]),
            own,
            own_domain,
            heard_store_ms: None,
            proof_ms: None,
            others: BTreeMap::new(),
            ranks: BTreeMap::new(),
            told: BTreeMap::new(),
        };
        view.rank();
        view
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
    pub const fn set_known(&mut self, config_version: u64, endpoint_revision: StoreRevision) {
        self.own.config_version = config_version;
        self.own.endpoint_revision = endpoint_revision;
    }

    /// Sets when the store last proved that it hears this box; none where this box does not follow it, or
    /// did not reach it the last time.
    pub fn set_heard_store(&mut self, heard_ms: Option<u64>) {
        self.own.standing.reaches_store = heard_ms.is_some();
        self.heard_store_ms = heard_ms;
        self.proof_ms = self.proof_ms.max(heard_ms);
    }

    /// Returns how old the newest proof is, of this box or of one of its domain, that the store's changes
    /// are heard, in milliseconds; none where nobody here was heard yet.
    pub fn store_proof_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.proof_ms.map(|proof| now_ms.saturating_sub(proof))
    }

    /// Returns when the store last proved that it hears a box of this domain, if this box knows as much as those that
    /// are heard.
    pub fn agreed_proof_ms(&self, now_ms: u64) -> Option<u64> {
        let lacks = |what| self.better_informed(what, None, now_ms).is_some();
        let is_behind = lacks(BoxKnowledge::Config) || lacks(BoxKnowledge::Endpoints);
        self.proof_ms.filter(|_| !is_behind)
    }

    /// Sets whether this box falls behind with its work: others then coordinate in its place.
    pub fn set_behind(&mut self, behind: bool) {
        if self.own.standing.behind != behind {
            self.own.standing.behind = behind;
            self.rank();
        }
    }

    /// Notes that this box is about to stop.
    pub fn set_leaving(&mut self) {
        self.own.standing.leaving = true;
        self.rank();
    }

    /// Counts what this box says: the next beat or digest is newer than the last one, and as old as its
    /// proof that the store is heard is now.
    pub const fn count_saying(&mut self, now_ms: u64) {
        self.own.sequence = self.own.sequence.wrapping_add(1);
        self.own.standing.store_age_ms = match self.heard_store_ms {
            Some(heard_ms) => now_ms.saturating_sub(heard_ms) as u32,
            None => 0,
        };
    }

    /// Takes a beat in; returns what it says of its sender.
    pub fn hear(&mut self, beat: BoxBeat, incarnation: Incarnation, now_ms: u64) -> BoxNews {
        self.note_domain(&beat.domain);
        let (news, moved) = self.note(BoxSign::of_beat(beat, incarnation, now_ms), now_ms);
        if moved {
            self.rank();
        }
        news
    }

    fn note_domain(&mut self, name: &str) {
        let key = DomainKey::from_name(name);
        self.domains.entry(key).or_insert_with(|| name.to_owned());
    }

    /// Notes a sign of life; returns what it says of the box, and whether the order of its domain may
    /// have changed.
    fn note(&mut self, sign: BoxSign, now_ms: u64) -> (BoxNews, bool) {
        if sign.key == self.me() {
            return (BoxNews::None, false);
        }
        let seen = self.others.get(&sign.key);
        let news = match seen {
            // Too old to say that it lives.
            None if sign.at_ms + Self::GONE_AFTER_MS < now_ms => return (BoxNews::None, false),
            None => BoxNews::Back,
            // One that is late may bring back the life before; the next beat ends that.
            Some(seen) if seen.incarnation != sign.incarnation => {
                match sign.at_ms > seen.heard_ms {
                    true => BoxNews::NewLife,
                    false => return (BoxNews::None, false),
                }
            }
            Some(seen) if sign.sequence <= seen.sequence => return self.complete(sign),
            Some(seen) if self.gone_ms(seen) < now_ms => BoxNews::Back,
            Some(_) => BoxNews::None,
        };
        let moved = seen.is_none_or(|seen| {
            let ranks_by = |of: BoxStanding| (of.leaving, of.behind, of.processor);
            ranks_by(seen.standing) != ranks_by(sign.standing)
                || seen.domain != sign.domain
                || (seen.address.is_none() && sign.address.is_some())
        });
        let is_near = sign.domain == self.own_domain;
        let proof_ms = sign.standing.proof_ms(sign.at_ms).filter(|_| is_near);
        self.proof_ms = self.proof_ms.max(proof_ms);
        let known = seen.filter(|_| news != BoxNews::NewLife);
        let address = sign.address.or_else(|| seen.and_then(|seen| seen.address));
        let seen = SeenBox {
            domain: sign.domain,
            incarnation: sign.incarnation,
            sequence: sign.sequence,
            heard_ms: sign.at_ms,
            address,
            standing: sign.standing,
            beat: sign
                .beat
                .or_else(|| known.and_then(|seen| seen.beat.clone())),
        };
        self.others.insert(sign.key, seen);
        (news, moved)
    }

    /// Takes from a sign that is not new what was not told of its box before.
    fn complete(&mut self, sign: BoxSign) -> (BoxNews, bool) {
        let Some(seen) = self.others.get_mut(&sign.key) else {
            return (BoxNews::None, false);
        };
        let moved = seen.address.is_none() && sign.address.is_some();
        seen.address = seen.address.or(sign.address);
        if seen.beat.is_none() {
            seen.beat = sign.beat;
        }
        (BoxNews::None, moved)
    }

    /// Puts the boxes of each domain in the order in which they coordinate: those that keep up first,
    /// then by their processor.
    fn rank(&mut self) {
        type BoxRank = (bool, Reverse<u32>, BoxKey);
        let rank = |key: BoxKey, standing: BoxStanding| -> BoxRank {
            (standing.behind, Reverse(standing.processor), key)
        };
        let mut domains: BTreeMap<DomainKey, Vec<BoxRank>> = BTreeMap::new();
        let me = (self.me(), self.own_domain, self.own.standing);
        let others = self.others.iter();
        let others = others.filter(|(_, seen)| seen.address.is_some());
        let others = others.map(|(key, seen)| (*key, seen.domain, seen.standing));
        for (key, domain, standing) in std::iter::once(me).chain(others) {
            if !standing.leaving {
                domains.entry(domain).or_default().push(rank(key, standing));
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
        let seen = self.others.iter();
        let gone = seen
            .filter(|(_, seen)| (since_ms..now_ms).contains(&self.gone_ms(seen)))
            .map(|(key, _)| *key)
            .collect();
        let remembered = self.others.len();
        self.others
            .retain(|_, seen| seen.heard_ms + Self::FORGET_AFTER_MS > now_ms);
        self.told
            .retain(|_, told| told.at_ms + Self::FORGET_AFTER_MS > now_ms);
        if remembered != self.others.len() {
            self.rank();
        }
        gone
    }

    /// When a box counts as gone, unless it is heard of again.
    fn gone_ms(&self, seen: &SeenBox) -> u64 {
        let after_ms = match seen.domain == self.own_domain {
            true => Self::GONE_AFTER_MS,
            false => Self::FAR_GONE_AFTER_MS,
        };
        seen.heard_ms + after_ms
    }

    fn live(&self, now_ms: u64) -> impl Iterator<Item = (BoxKey, &SeenBox)> {
        let others = self.others.iter();
        others
            .filter(move |(_, seen)| self.gone_ms(seen) >= now_ms)
            .map(|(key, seen)| (*key, seen))
    }

    /// Tells whether a life of a box is heard.
    pub fn is_live(&self, key: BoxKey, now_ms: u64) -> bool {
        let seen = self.others.get(&key);
        seen.map_or_else(|| key == self.me(), |seen| self.gone_ms(seen) >= now_ms)
    }

    fn is_heard(&self, key: BoxKey, now_ms: u64) -> bool {
        let seen = self.others.get(&key);
        seen.map_or_else(|| key == self.me(), |seen| seen.is_heard(now_ms))
    }

    /// Returns how many boxes live, this one included: what this box sees, or more if another one that
    /// is heard counts more.
    pub fn live_count(&self, now_ms: u64) -> u32 {
        let told = self.told.values();
        let told = told.filter(|told| told.at_ms + Self::GONE_AFTER_MS >= now_ms);
        let told = told.map(|told| told.live).max();
        told.unwrap_or(0).max(self.seen_count(now_ms))
    }

    fn seen_count(&self, now_ms: u64) -> u32 {
        1 + self.live(now_ms).count() as u32
    }

    /// Returns how many boxes are remembered, this one included: those that are silent now may
    /// still send.
    pub fn known_count(&self) -> u32 {
        let told = self.told.values().map(|told| told.known).max();
        told.unwrap_or(0).max(self.remembered_count())
    }

    fn remembered_count(&self) -> u32 {
        1 + self.others.len() as u32
    }

    /// Returns where a box takes datagrams.
    pub fn address(&self, key: BoxKey) -> Option<SocketAddr> {
        self.others.get(&key)?.address
    }

    /// Returns a box's name, for logs.
    pub fn name(&self, key: BoxKey) -> &str {
        let beat = self.others.get(&key).map(|seen| seen.beat.as_ref());
        match beat {
            Some(Some(beat)) => &beat.name,
            None if key == self.me() => &self.own.name,
            _ => "unknown",
        }
    }

    /// Returns a box's failure domain, for logs.
    pub fn domain(&self, key: BoxKey) -> &str {
        let domain = self.others.get(&key).map(|seen| seen.domain);
        let name = self.domains.get(&domain.unwrap_or(self.own_domain));
        name.map_or("unknown", String::as_str)
    }

    /// Tells whether this box knows more of another one than that it lives.
    pub fn is_told_in_full(&self, key: BoxKey) -> bool {
        let seen = self.others.get(&key);
        seen.is_some_and(|seen| seen.beat.is_some())
    }

    /// Lists the coordinators of a failure domain, the first one first.
    fn coordinators_of(&self, domain: DomainKey, now_ms: u64) -> impl Iterator<Item = BoxKey> {
        let ranks = self.ranks.get(&domain).into_iter().flatten().copied();
        ranks
            .filter(move |key| self.is_heard(*key, now_ms))
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

    /// Lists where this box's beat goes: to the coordinators of its domain, or where none is heard, to
    /// the first ones of all that are remembered there.
    ///
    /// A coordinator also tries one that is silent, by `draw`: two parts of a domain that lost their
    /// coordinators at the same time may each have found others.
    pub fn beat_targets(&self, now_ms: u64, draw: usize) -> Vec<SocketAddr> {
        let me = self.me();
        let heard = self.coordinators_of(self.own_domain, now_ms);
        let heard: Vec<BoxKey> = heard.filter(|key| *key != me).collect();
        let silent = || {
            let ranks = self.ranks.get(&self.own_domain).into_iter().flatten();
            let silent = ranks.filter(|key| !self.is_heard(**key, now_ms));
            silent.copied().collect::<Vec<BoxKey>>()
        };
        let targets = match (heard.is_empty(), self.coordinates(now_ms)) {
            // Twice as many: those that coordinated are probably the ones that are gone.
            (true, _) => silent().into_iter().take(2 * Self::COORDINATORS).collect(),
            (false, false) => heard,
            (false, true) => {
                let silent = silent();
                let tried = silent.get(draw % silent.len().max(1)).copied();
                heard.into_iter().chain(tried).collect()
            }
        };
        let targets = targets.into_iter();
        targets.filter_map(|key| self.address(key)).collect()
    }

    /// Lists where the coordinators of the other failure domains take datagrams; of a domain where none
    /// is heard those that are remembered, or two sides of a cut would wait for each other.
    pub fn far_coordinators(&self, now_ms: u64) -> Vec<SocketAddr> {
        let far = self.ranks.iter();
        let far = far.filter(|(domain, _)| **domain != self.own_domain);
        let far = far.flat_map(|(domain, ranks)| {
            let heard: Vec<BoxKey> = self.coordinators_of(*domain, now_ms).collect();
            match heard.is_empty() {
                true => ranks.iter().copied().take(Self::COORDINATORS).collect(),
                false => heard,
            }
        });
        far.filter_map(|key| self.address(key)).collect()
    }

    /// Tells whether another box of the own failure domain is heard.
    pub fn hears_own_domain(&self, now_ms: u64) -> bool {
        self.live(now_ms)
            .any(|(_, seen)| seen.domain == self.own_domain)
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
    /// A box counts as long as its proof that the store hears it is young: one that froze, or whose news
    /// comes late, still says what was true when it spoke.
    pub fn store_watchers(&self, now_ms: u64) -> StoreWatchers {
        let me = self.me();
        let ranks = self.ranks.get(&self.own_domain).into_iter().flatten();
        let heard = |key: &BoxKey| {
            let seen = self.others.get(key);
            seen.filter(|seen| seen.is_heard(now_ms))
        };
        let reaches = |seen: &SeenBox| {
            let proof_ms = seen.standing.proof_ms(seen.heard_ms);
            proof_ms.is_some_and(|proof| proof + Self::PROOF_KEPT_MS >= now_ms)
        };
        let others = ranks.clone().filter_map(heard);
        let before: Vec<&SeenBox> = ranks
            .take_while(|key| **key != me)
            .filter_map(heard)
            .collect();
        StoreWatchers {
            reaching: others.filter(|seen| reaches(seen)).count(),
            reaching_before: before.iter().filter(|seen| reaches(seen)).count(),
            before: before.len(),
            is_heard: self.hears_own_domain(now_ms),
        }
    }

    /// Lists the other failure domains whose boxes were all heard before and are all silent now.
    pub fn silent_domains(&self, now_ms: u64) -> BTreeSet<String> {
        let others = self.others.values();
        let others = others.filter(|seen| !seen.standing.leaving && seen.domain != self.own_domain);
        let (silent, heard): (Vec<_>, Vec<_>) =
            others.partition(|seen| seen.heard_ms + Self::SUSPECT_AFTER_MS < now_ms);
        let mut domains: BTreeSet<DomainKey> = silent.iter().map(|seen| seen.domain).collect();
        for seen in heard {
            domains.remove(&seen.domain);
        }
        let names = domains.iter().filter_map(|domain| self.domains.get(domain));
        names.cloned().collect()
    }

    /// Finds a box that knows more of `what` than this one.
    ///
    /// One of the own domain that knows more goes before all others: its list crosses no link between
    /// domains, and what it lacks itself is asked for next. Of several that know the same, boxes of one
    /// domain ask different ones, so that a change which two boxes saw is not asked of one of them by
    /// all others. One to `avoid` is asked where nobody else knows more.
    pub fn better_informed(
        &self,
        what: BoxKnowledge,
        avoid: Option<SocketAddr>,
        now_ms: u64,
    ) -> Option<InformedBox> {
        let own = self.own.known_of(what);
        let heard = self.others.iter();
        let heard = heard.filter(|(_, seen)| seen.is_heard(now_ms));
        let told = heard.filter_map(|(key, seen)| Some((*key, seen.beat.as_ref()?)));
        let better = told.filter(|(_, beat)| beat.known_of(what) > own);
        let me = self.me();
        let best = better.max_by_key(|(key, beat)| {
            let answers = Some(beat.state_address) != avoid;
            let near = beat.domain == self.own.domain;
            (answers, near, beat.known_of(what), pair_score(me, *key))
        });
        best.map(|(_, beat)| InformedBox {
            state_address: beat.state_address,
            is_near: beat.domain == self.own.domain,
        })
    }
}

#[cfg(test)]
mod fleet_tests;
#[cfg(test)]
mod store_tests;
#[cfg(test)]
mod tests;
