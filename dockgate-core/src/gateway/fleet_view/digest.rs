//! Creates and processes digests of the fleet.

use super::super::box_heartbeat::{BoxReport, BoxSummary, DigestScope, DomainKey, FleetDigest};
use super::peer_box::{LivenessReport, PeerBox};
use super::{BoxChange, FleetView, ReportedCount};
use crate::ids::{BoxKey, Incarnation};
use std::collections::BTreeMap;

/// The boxes of the sender's domain that a digest lists besides the coordinators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MemberSelection {
    /// None.
    None,
    /// The first in rank, which take over from coordinators, and those that reach the store.
    FirstInRank,
    /// All that are live.
    All,
}

impl FleetView {
    /// The number of boxes that a digest for a box that is no coordinator lists besides the
    /// coordinators. Its size then does not grow with the domain.
    pub const LISTED_MEMBERS: usize = 24;

    /// Processes a digest and returns the boxes that changed, the sender included.
    pub fn receive_digest(
        &mut self,
        digest: FleetDigest,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> Vec<(BoxKey, BoxChange)> {
        let sender = digest.sender.key();
        let count = ReportedCount {
            live: digest.live,
            known: digest.known,
            at_ms: now_ms,
        };
        self.reported_counts.insert(sender, count);
        let domain = DomainKey::from_name(&digest.sender.domain);
        self.record_domain(&digest.sender.domain);
        let mut reports = vec![LivenessReport::from_heartbeat(
            digest.sender,
            incarnation,
            now_ms,
        )];
        for report in digest.coordinators {
            self.record_domain(&report.heartbeat.domain);
            let at_ms = now_ms.saturating_sub(u64::from(report.age_ms));
            reports.push(LivenessReport::from_heartbeat(
                report.heartbeat,
                report.incarnation,
                at_ms,
            ));
        }
        let summaries = digest.members.iter();
        reports
            .extend(summaries.map(|summary| LivenessReport::from_summary(summary, domain, now_ms)));
        let mut changed = Vec::new();
        let mut needs_ranking = false;
        for report in reports {
            let key = report.key;
            let (change, rank_changed) = self.record(report, now_ms);
            needs_ranking |= rank_changed;
            if change != BoxChange::None {
                changed.push((key, change));
            }
        }
        if needs_ranking {
            self.rank();
        }
        changed
    }

    /// Creates the digest of the fleet for a coordinator, with all boxes that the scope includes.
    pub fn digest(&self, scope: DigestScope, now_ms: u64) -> FleetDigest {
        let selection = match scope {
            DigestScope::SameDomain | DigestScope::OtherDomainFull => MemberSelection::All,
            DigestScope::OtherDomain | DigestScope::Introduction => MemberSelection::None,
        };
        self.digest_of(scope, selection, now_ms)
    }

    /// Creates the digest of the fleet for a box of the own domain that is no coordinator.
    pub fn member_digest(&self, now_ms: u64) -> FleetDigest {
        self.digest_of(
            DigestScope::SameDomain,
            MemberSelection::FirstInRank,
            now_ms,
        )
    }

    /// Lists the live boxes of the own domain that a digest reports in short form.
    fn listed_members(&self, selection: MemberSelection, now_ms: u64) -> Vec<BoxKey> {
        let in_domain =
            |(key, peer): (BoxKey, &PeerBox)| (peer.domain == self.own_domain).then_some(key);
        match selection {
            MemberSelection::None => Vec::new(),
            MemberSelection::All => self.live(now_ms).filter_map(in_domain).collect(),
            MemberSelection::FirstInRank => {
                let ranked = self.ranks.get(&self.own_domain).into_iter().flatten();
                let live = ranked.filter(|key| self.is_responsive(**key, now_ms));
                let reaches_store = |key: &BoxKey| {
                    let peer = self.others.get(key);
                    peer.is_some_and(|peer| peer.status.reaches_store)
                };
                let listed = live.enumerate();
                let listed =
                    listed.filter(|(rank, key)| *rank < Self::LISTED_MEMBERS || reaches_store(key));
                listed.map(|(_, key)| *key).collect()
            }
        }
    }

    fn digest_of(
        &self,
        scope: DigestScope,
        selection: MemberSelection,
        now_ms: u64,
    ) -> FleetDigest {
        // Each coordinator reports itself to the other domains.
        let with_coordinators =
            matches!(scope, DigestScope::SameDomain | DigestScope::Introduction);
        let domains = self.ranks.keys().filter(|_| with_coordinators);
        let coordinators = domains.flat_map(|domain| self.coordinators_of(*domain, now_ms));
        let reports = coordinators.filter_map(|key| {
            let peer = self.others.get(&key)?;
            let report = BoxReport {
                incarnation: peer.incarnation,
                age_ms: peer.age_ms(now_ms),
                heartbeat: peer.heartbeat.clone()?,
            };
            Some((key, report))
        });
        let reports: BTreeMap<BoxKey, BoxReport> = reports.collect();
        let members = self.listed_members(selection, now_ms).into_iter();
        let members = members.filter(|key| !reports.contains_key(key));
        let members = members.filter_map(|key| Some((key, self.others.get(&key)?)));
        let members = members.map(|(key, peer)| BoxSummary {
            key,
            incarnation: peer.incarnation,
            sequence: peer.sequence,
            age_ms: peer.age_ms(now_ms),
            address: peer.address.filter(|_| scope == DigestScope::SameDomain),
            status: peer.status,
        });
        let members = members.collect();
        FleetDigest {
            scope,
            sender: self.own.clone(),
            coordinators: reports.into_values().collect(),
            members,
            live: self.own_live_count(now_ms),
            known: self.own_known_count(),
        }
    }
}
