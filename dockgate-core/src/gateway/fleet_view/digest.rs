//! Creates and processes digests of the fleet.

use super::super::box_heartbeat::{BoxReport, BoxSummary, DigestScope, DomainKey, FleetDigest};
use super::peer_box::LivenessReport;
use super::{BoxChange, FleetView, ReportedCount};
use crate::ids::{BoxKey, Incarnation};
use std::collections::BTreeMap;

impl FleetView {
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

    /// Creates the digest of the fleet for the given scope.
    pub fn digest(&self, scope: DigestScope, now_ms: u64) -> FleetDigest {
        // Each coordinator reports itself to the other domains.
        let (with_coordinators, with_members) = match scope {
            DigestScope::SameDomain => (true, true),
            DigestScope::OtherDomain => (false, false),
            DigestScope::OtherDomainFull => (false, true),
            DigestScope::Introduction => (true, false),
        };
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
        let members = self.live(now_ms).filter(|(key, peer)| {
            with_members && peer.domain == self.own_domain && !reports.contains_key(key)
        });
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
