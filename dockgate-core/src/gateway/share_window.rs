//! What each workspace asked for and was given over the whole fleet in the last few seconds.
//!
//! Every box counts what it admits and tells the coordinators of its failure domain its own sums over
//! the window with each beat. They tell each other the sums of their domains, and all boxes of
//! theirs the sums of the fleet. A report replaces the one before of the same teller, so that one
//! that is lost or doubled changes nothing, and a box that has just begun knows from one digest what
//! a whole window has seen. Where more is asked than the endpoints make, a workspace is owed its max-min share: what it asks, or an
//! equal level with all who ask for more.

use super::box_beat::DomainKey;
use super::work_shed::max_min_level;
use crate::ids::{BoxKey, Incarnation};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// One workspace's sums at one box over the last window, in service units.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRow {
    /// The workspace, as a hash of its name.
    pub workspace: u64,
    /// What was asked for.
    pub asked: u64,
    /// What was admitted.
    pub given: u64,
}

/// How much of its share a workspace has had, and how it fares among those that ask for more.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareLevel {
    /// Given over owed: 1 is all that it is owed.
    times: f64,
    /// How far it is ahead of the others beyond their share: 1 is even with them.
    lead: f64,
}

impl ShareLevel {
    /// It is owed more.
    pub const WITHIN: Self = Self::new(0.0);

    /// Makes the level of a workspace that has had this many times its share, even with others.
    pub const fn new(times: f64) -> Self {
        Self { times, lead: 1.0 }
    }

    /// Sets how far it is ahead of the others beyond their share.
    #[must_use]
    pub const fn lead(mut self, lead: f64) -> Self {
        self.lead = lead;
        self
    }

    /// Tells whether it has had what it is owed.
    pub const fn is_beyond(self) -> bool {
        self.times >= 1.0
    }

    /// Returns how many times its share it has had.
    pub const fn times(self) -> f64 {
        self.times
    }

    /// Returns how far it is ahead of the others beyond their share.
    pub const fn ahead(self) -> f64 {
        self.lead
    }

    /// Returns what holds it back: the square of how far it is beyond its share, times the third
    /// power of its lead over others beyond theirs (`docs/decisions/0009-admission.md`).
    pub fn pressure(self) -> f64 {
        self.times.powi(2) * self.lead.powi(3)
    }
}

#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct ShareSum {
    asked: u64,
    given: u64,
}

impl ShareSum {
    const fn minus(self, earlier: Self) -> Self {
        Self {
            asked: self.asked.saturating_sub(earlier.asked),
            given: self.given.saturating_sub(earlier.given),
        }
    }

    const fn plus(self, other: Self) -> Self {
        Self {
            asked: self.asked + other.asked,
            given: self.given + other.given,
        }
    }
}

type ShareSums = BTreeMap<u64, ShareSum>;

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

#[derive(Debug, Clone)]
struct PeerReport {
    incarnation: Incarnation,
    sequence: u32,
    sums: ShareSums,
    heard_ms: u64,
}

impl PeerReport {
    fn asked(&self) -> u64 {
        self.sums.values().map(|sum| sum.asked).sum()
    }
}

#[derive(Debug, Clone)]
struct ShareSample {
    at_ms: u64,
    sums: ShareSums,
}

/// Where the sums come from that a box goes by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareSource {
    /// It added them up itself.
    Counted,
    /// A coordinator told them so many milliseconds ago.
    Told(u64),
}

/// Adds up service over boxes and over a sliding window.
#[derive(Debug)]
pub struct ShareWindow {
    window_ms: u64,
    /// What was counted here since the start.
    own: ShareSums,
    /// Earlier states of `own`, oldest first; the first one is a window old.
    samples: VecDeque<ShareSample>,
    peers: HashMap<(ShareScope, BoxKey), PeerReport>,
    /// Whether so much is asked for that some may soon be owed less than they ask.
    is_tight: bool,
    /// The levels of workspaces that ask for more than they are owed.
    levels: HashMap<u64, ShareLevel>,
}

impl ShareWindow {
    /// How much above its level a workspace may get before it counts as beyond it: reports of other
    /// boxes are a moment old, and a window that slides ends elsewhere for each observer.
    const MARGIN: f64 = 1.15;
    /// From which part of the stated rate on domains tell each other of each workspace. Below, nobody can
    /// ask for more than it is owed; between domains that are told of one beat apart, asks do not double.
    const TIGHT_PART: f64 = 0.5;
    /// How long a report counts, in milliseconds: a few beats.
    const REPORT_MS: u64 = 2_000;

    /// Makes a window in which nothing was counted.
    pub fn new(window_ms: u64) -> Self {
        Self {
            window_ms,
            own: ShareSums::new(),
            samples: VecDeque::new(),
            peers: HashMap::new(),
            is_tight: false,
            levels: HashMap::new(),
        }
    }

    /// Sets the length of the window, in milliseconds.
    pub const fn set_window(&mut self, window_ms: u64) {
        self.window_ms = window_ms;
    }

    /// Counts a request of a workspace.
    pub fn note_asked(&mut self, workspace: u64, units: u64) {
        self.own.entry(workspace).or_default().asked += units;
    }

    /// Counts a request of a workspace that was admitted.
    pub fn note_given(&mut self, workspace: u64, units: u64) {
        self.own.entry(workspace).or_default().given += units;
    }

    /// Returns what was counted here within the window.
    fn recent(&self) -> ShareSums {
        let earlier = self.samples.front().map(|first| &first.sums);
        let recent = self.own.iter().map(|(workspace, sum)| {
            let earlier = earlier.and_then(|sums| sums.get(workspace));
            (*workspace, sum.minus(earlier.copied().unwrap_or_default()))
        });
        recent
            .filter(|(_, sum)| *sum != ShareSum::default())
            .collect()
    }

    /// Returns this box's sums over the window, for its coordinators.
    pub fn rows(&self) -> Vec<ShareRow> {
        rows_of(&self.recent())
    }

    /// Returns the sums of this box and those that beat to it, for other failure domains: of each
    /// workspace, or in one row while all get what they ask for.
    pub fn domain_rows(&self, now_ms: u64) -> Vec<ShareRow> {
        let sums = self.domain_sums(now_ms);
        match self.is_tight {
            true => rows_of(&sums),
            false => vec![sum_row(&sums)],
        }
    }

    /// Returns the sums of the fleet as a coordinator knows them, for its failure domain.
    pub fn fleet_rows(&self, now_ms: u64) -> Vec<ShareRow> {
        rows_of(&self.counted_sums(now_ms))
    }

    /// Takes in what another box tells, unless something newer of it is known.
    pub fn merge(&mut self, teller: ShareTeller, rows: &[ShareRow], now_ms: u64) {
        let key = (teller.scope, teller.peer);
        let is_old = self.peers.get(&key).is_some_and(|report| {
            report.incarnation == teller.incarnation && report.sequence >= teller.sequence
        });
        if is_old {
            return;
        }
        let sums = rows.iter().map(|row| {
            (
                row.workspace,
                ShareSum {
                    asked: row.asked,
                    given: row.given,
                },
            )
        });
        let report = PeerReport {
            incarnation: teller.incarnation,
            sequence: teller.sequence,
            sums: sums.collect(),
            heard_ms: now_ms,
        };
        self.peers.insert(key, report);
    }

    fn fresh(&self, now_ms: u64) -> impl Iterator<Item = (ShareScope, &PeerReport)> {
        let peers = self.peers.iter();
        let fresh = peers.filter(move |(_, report)| report.heard_ms + Self::REPORT_MS > now_ms);
        fresh.map(|((scope, _), report)| (*scope, report))
    }

    fn domain_sums(&self, now_ms: u64) -> ShareSums {
        let mut total = self.recent();
        let fresh = self.fresh(now_ms);
        for (_, report) in fresh.filter(|(scope, _)| *scope == ShareScope::Own) {
            add(&mut total, &report.sums);
        }
        total
    }

    /// Adds up the own failure domain and what is told of the others.
    fn counted_sums(&self, now_ms: u64) -> ShareSums {
        let mut total = self.domain_sums(now_ms);
        let mut domains: BTreeMap<DomainKey, &PeerReport> = BTreeMap::new();
        for (scope, report) in self.fresh(now_ms) {
            let ShareScope::Domain(domain) = scope else {
                continue;
            };
            let best = domains.entry(domain).or_insert(report);
            *best = fuller(best, report);
        }
        for report in domains.values() {
            add(&mut total, &report.sums);
        }
        total
    }

    /// Returns the sums of the fleet: those that this box adds up, which are the newest, or those of a
    /// coordinator that knows of clearly more.
    fn fleet_sums(&self, now_ms: u64) -> ShareSums {
        let counted = self.counted_sums(now_ms);
        match self.fuller_report(&counted, now_ms) {
            Some(told) => told.sums.clone(),
            None => counted,
        }
    }

    /// Returns what a coordinator tells of the fleet, if that is clearly more than what is counted here.
    fn fuller_report(&self, counted: &ShareSums, now_ms: u64) -> Option<&PeerReport> {
        let fleet = self.fresh(now_ms);
        let fleet = fleet.filter(|(scope, _)| *scope == ShareScope::Fleet);
        let told = fleet.map(|(_, report)| report).reduce(fuller);
        let here: u64 = counted.values().map(|sum| sum.asked).sum();
        told.filter(|told| is_clearly_more(told.asked(), here))
    }

    /// Tells where the sums come from that levels are worked out of.
    pub fn source(&self, now_ms: u64) -> ShareSource {
        let counted = self.counted_sums(now_ms);
        match self.fuller_report(&counted, now_ms) {
            Some(told) => ShareSource::Told(now_ms.saturating_sub(told.heard_ms)),
            None => ShareSource::Counted,
        }
    }

    /// Takes a sample, and works out how much of its share of `units_per_s` each has had within the
    /// window.
    pub fn tick(&mut self, now_ms: u64, units_per_s: f64) {
        self.samples.push_back(ShareSample {
            at_ms: now_ms,
            sums: self.own.clone(),
        });
        let window_ms = self.window_ms;
        while self
            .samples
            .get(1)
            .is_some_and(|next| next.at_ms + window_ms <= now_ms)
        {
            self.samples.pop_front();
        }
        self.peers
            .retain(|_, report| report.heard_ms + Self::REPORT_MS > now_ms);
        let mut total = self.fleet_sums(now_ms);
        let asked: Vec<f64> = total.values().map(|sum| sum.asked as f64).collect();
        let capacity = units_per_s * window_ms as f64 / 1_000.0;
        self.is_tight = asked.iter().sum::<f64>() > capacity * Self::TIGHT_PART;
        let level = max_min_level(&asked, capacity);
        total.retain(|_, sum| sum.asked as f64 > level);
        self.levels = greedy_levels(&total, (level * Self::MARGIN).max(1.0));
    }

    /// Returns how much of its share a workspace has had.
    pub fn level(&self, workspace: u64) -> ShareLevel {
        let level = self.levels.get(&workspace);
        level.copied().unwrap_or(ShareLevel::WITHIN)
    }
}

/// Tells whether one sum is so much larger that the other one lacks boxes: sums that are a beat or two
/// apart differ as well, and the newer one is better then.
fn is_clearly_more(one: u64, other: u64) -> bool {
    const CLEARLY: f64 = 1.25;
    one as f64 > other as f64 * CLEARLY
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

fn add(total: &mut ShareSums, sums: &ShareSums) {
    for (workspace, sum) in sums {
        let known = total.entry(*workspace).or_default();
        *known = known.plus(*sum);
    }
}

/// Adds sums up in a row that stands for no workspace.
fn sum_row(sums: &ShareSums) -> ShareRow {
    ShareRow {
        workspace: 0,
        asked: sums.values().map(|sum| sum.asked).sum(),
        given: sums.values().map(|sum| sum.given).sum(),
    }
}

/// Lists sums, those that ask for most where there are too many for a datagram: who asks for less than
/// the others is held back last.
fn rows_of(sums: &ShareSums) -> Vec<ShareRow> {
    /// How many rows a datagram holds; each has about 16 bytes.
    const MOST_ROWS: usize = 200;
    let rows = sums.iter().map(|(workspace, sum)| ShareRow {
        workspace: *workspace,
        asked: sum.asked,
        given: sum.given,
    });
    let mut rows: Vec<ShareRow> = rows.collect();
    if rows.len() > MOST_ROWS {
        rows.sort_unstable_by_key(|row| std::cmp::Reverse(row.asked));
        rows.truncate(MOST_ROWS);
    }
    rows
}

/// Returns the levels of the workspaces that ask for more than the `owed` units of their share.
///
/// More is given in all than the stated rate, so most of them are beyond their share. Among
/// themselves each should have the same part of what it could have at most: what it asked for, or
/// what the best served of them got.
fn greedy_levels(greedy: &ShareSums, owed: f64) -> HashMap<u64, ShareLevel> {
    /// One that got nothing is as far behind as one that got this part.
    const LEAST_PART: f64 = 0.05;
    let best = greedy.values().map(|sum| sum.given).max().unwrap_or(0);
    let most = |sum: &ShareSum| best.min(sum.asked).max(1) as f64;
    let given: f64 = greedy.values().map(|sum| sum.given as f64).sum();
    let even = given / greedy.values().map(most).sum::<f64>();
    let level = |sum: &ShareSum| {
        let part = sum.given as f64 / most(sum);
        let lead = part.max(LEAST_PART) / even.max(LEAST_PART);
        ShareLevel::new(sum.given as f64 / owed).lead(lead)
    };
    let greedy = greedy.iter();
    greedy.map(|(name, sum)| (*name, level(sum))).collect()
}

#[cfg(test)]
mod share_play;
#[cfg(test)]
mod tests;
#[cfg(test)]
mod turn_tests;
