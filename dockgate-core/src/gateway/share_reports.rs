//! Usage reports that boxes exchange.
//!
//! Every box reports its usage to the coordinators of its failure domain with each heartbeat.
//! Coordinators report the usage of their domain to each other, and the usage of the fleet to the
//! boxes of their domain. A report replaces the previous one of the same sender, so a lost or
//! duplicated report leaves no error behind, and a box that has just started is up to date after
//! one digest.

use super::box_heartbeat::DomainKey;
use super::decaying_usage::{UsageRow, UsageTable, WorkspaceUsage, add_usage};
use crate::ids::{BoxKey, Incarnation};
use std::collections::{BTreeMap, HashMap};

/// Boxes that a report covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ShareScope {
    /// The sender alone.
    Own,
    /// All boxes of the sender's failure domain.
    Domain(DomainKey),
    /// All boxes of the fleet.
    Fleet,
}

/// Sender, order and scope of a usage report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShareHeader {
    /// The sending box.
    pub peer: BoxKey,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Sequence number within the incarnation.
    pub sequence: u32,
    /// Boxes that the report covers.
    pub scope: ShareScope,
}

/// Source of the fleet's usage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareSource {
    /// Computed by this box from the reports of others.
    Computed,
    /// Reported by a coordinator; holds the age of the report in milliseconds.
    Reported(u64),
}

#[derive(Debug, Clone)]
struct PeerReport {
    incarnation: Incarnation,
    sequence: u32,
    usage: UsageTable,
    received_ms: u64,
}

impl PeerReport {
    fn requested(&self) -> f64 {
        total_requested(&self.usage)
    }
}

/// Latest report of each sender and scope.
#[derive(Debug, Default)]
pub(super) struct ShareReports {
    reports: HashMap<(ShareScope, BoxKey), PeerReport>,
}

impl ShareReports {
    /// Lifetime of a report in milliseconds; spans several heartbeats.
    const LIFETIME_MS: u64 = 2_000;

    /// Stores a report; ignores it if a newer one of the same incarnation was received.
    pub(super) fn merge(&mut self, header: ShareHeader, rows: &[UsageRow], now_ms: u64) {
        let key = (header.scope, header.peer);
        let is_old = self.reports.get(&key).is_some_and(|report| {
            report.incarnation == header.incarnation && report.sequence >= header.sequence
        });
        if is_old {
            return;
        }
        let usage = rows.iter();
        let usage = usage.map(|row| (row.workspace, WorkspaceUsage::from(*row)));
        let report = PeerReport {
            incarnation: header.incarnation,
            sequence: header.sequence,
            usage: usage.collect(),
            received_ms: now_ms,
        };
        self.reports.insert(key, report);
    }

    /// Removes expired reports.
    pub(super) fn expire(&mut self, now_ms: u64) {
        self.reports
            .retain(|_, report| report.received_ms + Self::LIFETIME_MS > now_ms);
    }

    fn fresh(&self, now_ms: u64) -> impl Iterator<Item = (ShareScope, &PeerReport)> {
        let reports = self.reports.iter();
        let fresh =
            reports.filter(move |(_, report)| report.received_ms + Self::LIFETIME_MS > now_ms);
        fresh.map(|((scope, _), report)| (*scope, report))
    }

    /// Returns the usage of this box's failure domain: `local` usage plus the reports of single
    /// boxes.
    pub(super) fn domain_usage(&self, local: UsageTable, now_ms: u64) -> UsageTable {
        let mut total = local;
        let fresh = self.fresh(now_ms);
        for (_, report) in fresh.filter(|(scope, _)| *scope == ShareScope::Own) {
            add_usage(&mut total, &report.usage);
        }
        total
    }

    /// Returns the usage of this box's failure domain plus the reports of other domains.
    pub(super) fn computed_usage(&self, local: UsageTable, now_ms: u64) -> UsageTable {
        let mut total = self.domain_usage(local, now_ms);
        let mut domains: BTreeMap<DomainKey, &PeerReport> = BTreeMap::new();
        for (scope, report) in self.fresh(now_ms) {
            let ShareScope::Domain(domain) = scope else {
                continue;
            };
            let best = domains.entry(domain).or_insert(report);
            *best = more_complete(best, report);
        }
        for report in domains.values() {
            add_usage(&mut total, &report.usage);
        }
        total
    }

    /// Returns the usage of the fleet: a coordinator's report if it covers clearly more than this
    /// box can compute, otherwise the computed usage, which is more recent.
    pub(super) fn fleet_usage(&self, local: UsageTable, now_ms: u64) -> UsageTable {
        let computed = self.computed_usage(local, now_ms);
        match self.more_complete_report(&computed, now_ms) {
            Some(report) => report.usage.clone(),
            None => computed,
        }
    }

    /// Returns the source of [`Self::fleet_usage`].
    pub(super) fn source(&self, local: UsageTable, now_ms: u64) -> ShareSource {
        let computed = self.computed_usage(local, now_ms);
        match self.more_complete_report(&computed, now_ms) {
            Some(report) => ShareSource::Reported(now_ms.saturating_sub(report.received_ms)),
            None => ShareSource::Computed,
        }
    }

    /// Returns the best report of the fleet if it is clearly larger than the `computed` usage.
    fn more_complete_report(&self, computed: &UsageTable, now_ms: u64) -> Option<&PeerReport> {
        let fleet = self.fresh(now_ms);
        let fleet = fleet.filter(|(scope, _)| *scope == ShareScope::Fleet);
        let best = fleet.map(|(_, report)| report).reduce(more_complete);
        best.filter(|best| is_clearly_larger(best.requested(), total_requested(computed)))
    }
}

fn total_requested(usage: &UsageTable) -> f64 {
    usage.values().map(|usage| usage.requested).sum()
}

/// Returns whether `one` is so much larger that `other` must lack boxes. Smaller differences arise
/// between reports that are a few heartbeats apart.
fn is_clearly_larger(one: f64, other: f64) -> bool {
    const MIN_RATIO: f64 = 1.25;
    one > other * MIN_RATIO
}

/// Returns the newer of two reports of the same boxes, unless it lacks some of them because its
/// sender has only just become a coordinator.
fn more_complete<'a>(one: &'a PeerReport, other: &'a PeerReport) -> &'a PeerReport {
    let (older, newer) = match one.received_ms <= other.received_ms {
        true => (one, other),
        false => (other, one),
    };
    match is_clearly_larger(older.requested(), newer.requested()) {
        true => older,
        false => newer,
    }
}
