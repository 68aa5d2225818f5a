//! What a box passes on of the fleet, and what it takes in of what others pass on.

use super::super::box_heartbeat::{BoxReport, BoxSummary, DigestScope, DomainKey, FleetDigest};
use super::known_box::LivenessReport;
use super::{BoxChange, FleetView, ReportedCount};
use crate::ids::{BoxKey, Incarnation};
use std::collections::BTreeMap;

impl FleetView {
    /// Takes a digest in; returns the boxes that it brings news of, the sender among them.
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
        let mut signs = vec![LivenessReport::from_heartbeat(
            digest.sender,
            incarnation,
            now_ms,
        )];
        for report in digest.coordinators {
            self.record_domain(&report.beat.domain);
            let at_ms = now_ms.saturating_sub(u64::from(report.age_ms));
            signs.push(LivenessReport::from_heartbeat(
                report.beat,
                report.incarnation,
                at_ms,
            ));
        }
        let rows = digest.members.iter();
        signs.extend(rows.map(|row| LivenessReport::from_summary(row, domain, now_ms)));
        let mut changed = Vec::new();
        let mut moves = false;
        for sign in signs {
            let key = sign.key;
            let (news, moved) = self.record(sign, now_ms);
            moves |= moved;
            if news != BoxChange::None {
                changed.push((key, news));
            }
        }
        if moves {
            self.rank();
        }
        changed
    }

    /// Makes what this box passes on of the fleet.
    pub fn digest(&self, scope: DigestScope, now_ms: u64) -> FleetDigest {
        // Each coordinator of a domain tells others of itself.
        let (tells_all, lists) = match scope {
            DigestScope::SameDomain => (true, true),
            DigestScope::OtherDomain => (false, false),
            DigestScope::OtherDomainFull => (false, true),
            DigestScope::Introduction => (true, false),
        };
        let domains = self.ranks.keys().filter(|_| tells_all);
        let coordinators = domains.flat_map(|domain| self.coordinators_of(*domain, now_ms));
        let reports = coordinators.filter_map(|key| {
            let seen = self.others.get(&key)?;
            let report = BoxReport {
                incarnation: seen.incarnation,
                age_ms: seen.age_ms(now_ms),
                beat: seen.beat.clone()?,
            };
            Some((key, report))
        });
        let reports: BTreeMap<BoxKey, BoxReport> = reports.collect();
        let members = self.live(now_ms).filter(|(key, seen)| {
            lists && seen.domain == self.own_domain && !reports.contains_key(key)
        });
        let members = members.map(|(key, seen)| BoxSummary {
            key,
            incarnation: seen.incarnation,
            sequence: seen.sequence,
            age_ms: seen.age_ms(now_ms),
            address: seen.address.filter(|_| scope == DigestScope::SameDomain),
            status: seen.status,
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
