//! What each workspace asked for and was given over the whole fleet in the last few seconds.
//!
//! Every box counts what it admits and tells the others its running totals, so that a report that
//! is lost, late or doubled changes nothing in the end. Where more is asked than the endpoints make,
//! a workspace is owed its max-min share: what it asks, or an equal level with all who ask for more.

use crate::ids::{BoxKey, Incarnation};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// One workspace's totals at one box since that box started, in service units.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRow {
    /// The workspace, as a hash of its name.
    pub workspace: u64,
    /// What was asked for.
    pub asked: u64,
    /// What was admitted.
    pub given: u64,
}

/// How much of its share a workspace has had: 1 is all that it is owed.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct ShareLevel(f64);

impl ShareLevel {
    /// It is owed more.
    pub const WITHIN: Self = Self(0.0);

    /// Makes the level of a workspace that has had this many times its share.
    pub const fn new(times: f64) -> Self {
        Self(times)
    }

    /// Tells whether it has had what it is owed.
    pub const fn is_beyond(self) -> bool {
        self.0 >= 1.0
    }

    /// Returns how many times its share it has had.
    pub const fn times(self) -> f64 {
        self.0
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
struct PeerSums {
    incarnation: Incarnation,
    sums: ShareSums,
}

#[derive(Debug, Clone)]
struct ShareSample {
    at_ms: u64,
    sums: ShareSums,
}

/// Adds up service over boxes and over a sliding window.
#[derive(Debug, Default)]
pub struct ShareWindow {
    own: ShareSums,
    peers: HashMap<BoxKey, PeerSums>,
    total: ShareSums,
    samples: VecDeque<ShareSample>,
    /// The levels of workspaces that ask for more than they are owed.
    levels: HashMap<u64, f64>,
}

impl ShareWindow {
    /// How much above its level a workspace may get before it counts as beyond it: reports of other
    /// boxes are a moment old, and a window that slides ends elsewhere for each observer.
    const MARGIN: f64 = 1.15;

    /// Counts a request of a workspace.
    pub fn note_asked(&mut self, workspace: u64, units: u64) {
        self.add(
            workspace,
            ShareSum {
                asked: units,
                given: 0,
            },
        );
    }

    /// Counts a request of a workspace that was admitted.
    pub fn note_given(&mut self, workspace: u64, units: u64) {
        self.add(
            workspace,
            ShareSum {
                asked: 0,
                given: units,
            },
        );
    }

    fn add(&mut self, workspace: u64, sum: ShareSum) {
        for sums in [&mut self.own, &mut self.total] {
            let known = sums.entry(workspace).or_default();
            *known = known.plus(sum);
        }
    }

    /// Returns this box's totals, for the others.
    pub fn rows(&self) -> Vec<ShareRow> {
        let rows = self.own.iter();
        rows.map(|(workspace, sum)| ShareRow {
            workspace: *workspace,
            asked: sum.asked,
            given: sum.given,
        })
        .collect()
    }

    /// Merges another box's totals; what is older than known changes nothing.
    pub fn merge(&mut self, peer: BoxKey, incarnation: Incarnation, rows: &[ShareRow]) {
        let known = self.peers.entry(peer).or_default();
        if known.incarnation != incarnation {
            *known = PeerSums {
                incarnation,
                sums: ShareSums::new(),
            };
        }
        for row in rows {
            let new = ShareSum {
                asked: row.asked,
                given: row.given,
            };
            let old = known.sums.entry(row.workspace).or_default();
            let total = self.total.entry(row.workspace).or_default();
            *total = total.plus(new.minus(*old));
            old.asked = old.asked.max(new.asked);
            old.given = old.given.max(new.given);
        }
    }

    /// Takes a sample, and works out how much of its share of `units_per_s` each has
    /// had in the last `window_ms`.
    pub fn tick(&mut self, now_ms: u64, window_ms: u64, units_per_s: f64) {
        let sample = ShareSample {
            at_ms: now_ms,
            sums: self.total.clone(),
        };
        self.samples.push_back(sample);
        while self
            .samples
            .get(1)
            .is_some_and(|next| next.at_ms + window_ms <= now_ms)
        {
            self.samples.pop_front();
        }
        let Some(first) = self.samples.front() else {
            return;
        };
        let elapsed_s = now_ms.saturating_sub(first.at_ms) as f64 / 1_000.0;
        let recent: BTreeMap<u64, ShareSum> = self
            .total
            .iter()
            .map(|(workspace, sum)| {
                let earlier = first.sums.get(workspace).copied().unwrap_or_default();
                (*workspace, sum.minus(earlier))
            })
            .collect();
        let asked: Vec<f64> = recent.values().map(|sum| sum.asked as f64).collect();
        let level = max_min_level(&asked, units_per_s * elapsed_s);
        self.levels = recent
            .iter()
            .filter(|(_, sum)| sum.asked as f64 > level)
            .map(|(workspace, sum)| {
                let owed = (level * Self::MARGIN).max(1.0);
                (*workspace, sum.given as f64 / owed)
            })
            .collect();
    }

    /// Returns how much of its share a workspace has had.
    pub fn level(&self, workspace: u64) -> ShareLevel {
        let level = self.levels.get(&workspace);
        level.map_or(ShareLevel::WITHIN, |times| ShareLevel(*times))
    }
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
