//! What each workspace asked for and was given over the whole fleet in the last few seconds.
//!
//! Every box counts what it admits and tells the others its own sums over the window with each beat.
//! A report replaces the one before, so that one that is lost or doubled changes nothing, and a box
//! that has just begun knows from one beat of each other box what a whole window has seen. Where
//! more is asked than the endpoints make, a workspace is owed its max-min share: what it asks, or an
//! equal level with all who ask for more.

use crate::ids::BoxKey;
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

#[derive(Debug, Clone, Default)]
struct PeerReport {
    sums: ShareSums,
    heard_ms: u64,
}

#[derive(Debug, Clone)]
struct ShareSample {
    at_ms: u64,
    sums: ShareSums,
}

/// Adds up service over boxes and over a sliding window.
#[derive(Debug)]
pub struct ShareWindow {
    window_ms: u64,
    /// What was counted here since the start.
    own: ShareSums,
    /// Earlier states of `own`, oldest first; the first one is a window old.
    samples: VecDeque<ShareSample>,
    peers: HashMap<BoxKey, PeerReport>,
    /// The levels of workspaces that ask for more than they are owed.
    levels: HashMap<u64, ShareLevel>,
}

impl ShareWindow {
    /// How much above its level a workspace may get before it counts as beyond it: reports of other
    /// boxes are a moment old, and a window that slides ends elsewhere for each observer.
    const MARGIN: f64 = 1.15;
    /// How long a box's last report counts, in milliseconds: a few beats.
    const REPORT_MS: u64 = 2_000;

    /// Makes a window in which nothing was counted.
    pub fn new(window_ms: u64) -> Self {
        Self {
            window_ms,
            own: ShareSums::new(),
            samples: VecDeque::new(),
            peers: HashMap::new(),
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

    /// Returns this box's sums over the window, for the others.
    pub fn rows(&self) -> Vec<ShareRow> {
        let recent = self.recent().into_iter();
        let rows = recent.map(|(workspace, sum)| ShareRow {
            workspace,
            asked: sum.asked,
            given: sum.given,
        });
        rows.collect()
    }

    /// Takes another box's sums in.
    pub fn merge(&mut self, peer: BoxKey, rows: &[ShareRow], now_ms: u64) {
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
            sums: sums.collect(),
            heard_ms: now_ms,
        };
        self.peers.insert(peer, report);
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
        let mut total = self.recent();
        for (workspace, sum) in self.peers.values().flat_map(|report| &report.sums) {
            let known = total.entry(*workspace).or_default();
            *known = known.plus(*sum);
        }
        let asked: Vec<f64> = total.values().map(|sum| sum.asked as f64).collect();
        let level = max_min_level(&asked, units_per_s * window_ms as f64 / 1_000.0);
        total.retain(|_, sum| sum.asked as f64 > level);
        self.levels = greedy_levels(&total, (level * Self::MARGIN).max(1.0));
    }

    /// Returns how much of its share a workspace has had.
    pub fn level(&self, workspace: u64) -> ShareLevel {
        let level = self.levels.get(&workspace);
        level.copied().unwrap_or(ShareLevel::WITHIN)
    }
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

/// Returns the level up to which everyone is served when `capacity` is divided by max-min.
fn max_min_level(asked: &[f64], capacity: f64) -> f64 {
    let mut asked = asked.to_vec();
    asked.sort_by(f64::total_cmp);
    let mut left = capacity;
    for (index, ask) in asked.iter().enumerate() {
        let even = left / (asked.len() - index) as f64;
        if *ask > even {
            return even;
        }
        left -= ask;
    }
    f64::INFINITY
}

#[cfg(test)]
mod tests;
