//! What boxes tell each other of the sums of service.
//!
//! Every box tells the coordinators of its failure domain its own sums with each beat. They tell each
//! other the sums of their domains, and all boxes of theirs the sums of the fleet. A report replaces
//! the one before of the same teller, so that one that is lost or doubled changes nothing, and a box
//! that has just begun knows all from one digest.

use super::box_heartbeat::DomainKey;
use super::share_sums::{ShareRow, ShareSum, ShareSums, add_sums};
use crate::ids::{BoxKey, Incarnation};
use std::collections::{BTreeMap, HashMap};

/// What a report adds up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ShareScope {
    /// What its teller counted itself.
    Own,
    /// All boxes of the teller's failure domain.
    Domain(DomainKey),
    /// All boxes of the fleet.
    Fleet,
}

/// Who tells of which sums, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShareTeller {
    /// The box.
    pub peer: BoxKey,
    /// Its life.
    pub incarnation: Incarnation,
    /// The number of its saying.
    pub sequence: u32,
    /// What it adds up.
    pub scope: ShareScope,
}

/// Where the sums come from that a box goes by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareSource {
    /// It added them up itself.
    Counted,
    /// A coordinator told them so many milliseconds ago.
    Told(u64),
}

#[derive(Debug, Clone)]
struct PeerReport {
    incarnation: Incarnation,
    sequence: u32,
    sums: ShareSums,
    heard_ms: u64,
}

impl PeerReport {
    fn asked(&self) -> f64 {
        asked_of(&self.sums)
    }
}

/// The newest report of each teller.
#[derive(Debug, Default)]
pub(super) struct ShareReports {
    reports: HashMap<(ShareScope, BoxKey), PeerReport>,
}

impl ShareReports {
    /// How long a report counts, in milliseconds: a few beats.
    const COUNTS_MS: u64 = 2_000;

    /// Takes in what another box tells, unless something newer of it is known.
    pub(super) fn merge(&mut self, teller: ShareTeller, rows: &[ShareRow], now_ms: u64) {
        let key = (teller.scope, teller.peer);
        let is_old = self.reports.get(&key).is_some_and(|report| {
            report.incarnation == teller.incarnation && report.sequence >= teller.sequence
        });
        if is_old {
            return;
        }
        let sums = rows.iter();
        let sums = sums.map(|row| (row.workspace, ShareSum::from(*row)));
        let report = PeerReport {
            incarnation: teller.incarnation,
            sequence: teller.sequence,
            sums: sums.collect(),
            heard_ms: now_ms,
        };
        self.reports.insert(key, report);
    }

    /// Drops what no longer counts.
    pub(super) fn expire(&mut self, now_ms: u64) {
        self.reports
            .retain(|_, report| report.heard_ms + Self::COUNTS_MS > now_ms);
    }

    fn fresh(&self, now_ms: u64) -> impl Iterator<Item = (ShareScope, &PeerReport)> {
        let reports = self.reports.iter();
        let fresh = reports.filter(move |(_, report)| report.heard_ms + Self::COUNTS_MS > now_ms);
        fresh.map(|((scope, _), report)| (*scope, report))
    }

    /// Adds the boxes of the own failure domain to this box's `own` sums.
    pub(super) fn domain_sums(&self, own: ShareSums, now_ms: u64) -> ShareSums {
        let mut total = own;
        let fresh = self.fresh(now_ms);
        for (_, report) in fresh.filter(|(scope, _)| *scope == ShareScope::Own) {
            add_sums(&mut total, &report.sums);
        }
        total
    }

    /// Adds up the own failure domain and what is told of the others.
    pub(super) fn counted_sums(&self, own: ShareSums, now_ms: u64) -> ShareSums {
        let mut total = self.domain_sums(own, now_ms);
        let mut domains: BTreeMap<DomainKey, &PeerReport> = BTreeMap::new();
        for (scope, report) in self.fresh(now_ms) {
            let ShareScope::Domain(domain) = scope else {
                continue;
            };
            let best = domains.entry(domain).or_insert(report);
            *best = fuller(best, report);
        }
        for report in domains.values() {
            add_sums(&mut total, &report.sums);
        }
        total
    }

    /// Returns the sums of the fleet: those that this box adds up, which are the newest, or those of a
    /// coordinator that knows of clearly more.
    pub(super) fn fleet_sums(&self, own: ShareSums, now_ms: u64) -> ShareSums {
        let counted = self.counted_sums(own, now_ms);
        match self.fuller_report(&counted, now_ms) {
            Some(told) => told.sums.clone(),
            None => counted,
        }
    }

    /// Tells where the sums of the fleet come from.
    pub(super) fn source(&self, own: ShareSums, now_ms: u64) -> ShareSource {
        let counted = self.counted_sums(own, now_ms);
        match self.fuller_report(&counted, now_ms) {
            Some(told) => ShareSource::Told(now_ms.saturating_sub(told.heard_ms)),
            None => ShareSource::Counted,
        }
    }

    /// Returns what a coordinator tells of the fleet, if that is clearly more than what is counted here.
    fn fuller_report(&self, counted: &ShareSums, now_ms: u64) -> Option<&PeerReport> {
        let fleet = self.fresh(now_ms);
        let fleet = fleet.filter(|(scope, _)| *scope == ShareScope::Fleet);
        let told = fleet.map(|(_, report)| report).reduce(fuller);
        told.filter(|told| is_clearly_more(told.asked(), asked_of(counted)))
    }
}

fn asked_of(sums: &ShareSums) -> f64 {
    sums.values().map(|sum| sum.asked).sum()
}

/// Tells whether one sum is so much larger that the other one lacks boxes: sums that are a beat or two
/// apart differ as well, and the newer one is better then.
fn is_clearly_more(one: f64, other: f64) -> bool {
    const CLEARLY: f64 = 1.25;
    one > other * CLEARLY
}

/// Returns the newer of two reports of the same boxes, unless it lacks some: its teller may have just
/// begun to coordinate.
fn fuller<'a>(one: &'a PeerReport, other: &'a PeerReport) -> &'a PeerReport {
    let (older, newer) = match one.heard_ms <= other.heard_ms {
        true => (one, other),
        false => (other, one),
    };
    match is_clearly_more(older.asked(), newer.asked()) {
        true => older,
        false => newer,
    }
}
