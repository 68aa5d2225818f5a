//! Sums of service by workspace that fade with time.

use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// One workspace's sums as boxes tell them, in service units.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRow {
    /// The workspace, as a hash of its name.
    pub workspace: u64,
    /// What was asked for lately.
    pub asked: u64,
    /// What was asked for over about the window in which shares are owed.
    pub asked_long: u64,
    /// What was admitted lately.
    pub given: u64,
}

impl ShareRow {
    const fn new(workspace: u64, sum: ShareSum) -> Self {
        Self {
            workspace,
            asked: sum.asked.round() as u64,
            asked_long: sum.asked_long.round() as u64,
            given: sum.given.round() as u64,
        }
    }
}

/// One workspace's sums, in service units.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct ShareSum {
    /// What was asked for lately.
    pub(super) asked: f64,
    /// What was asked for over about the window in which shares are owed.
    pub(super) asked_long: f64,
    /// What was admitted lately.
    pub(super) given: f64,
}

impl ShareSum {
    /// Below this it counts as nothing, in service units.
    const LEAST: f64 = 0.5;

    /// Counts what is asked for.
    pub(super) const fn ask(&mut self, units: f64) {
        self.asked += units;
        self.asked_long += units;
    }

    pub(super) const fn plus(self, other: Self) -> Self {
        Self {
            asked: self.asked + other.asked,
            asked_long: self.asked_long + other.asked_long,
            given: self.given + other.given,
        }
    }

    const fn fade(self, kept: KeptPart) -> Self {
        Self {
            asked: self.asked * kept.short,
            asked_long: self.asked_long * kept.long,
            given: self.given * kept.short,
        }
    }

    const fn is_nothing(&self) -> bool {
        self.asked_long < Self::LEAST && self.given < Self::LEAST
    }
}

impl From<ShareRow> for ShareSum {
    fn from(row: ShareRow) -> Self {
        Self {
            asked: row.asked as f64,
            asked_long: row.asked_long as f64,
            given: row.given as f64,
        }
    }
}

/// The sums of each workspace, by the hash of its name.
pub(super) type ShareSums = BTreeMap<u64, ShareSum>;

/// Adds sums to others.
pub(super) fn add_sums(total: &mut ShareSums, sums: &ShareSums) {
    for (workspace, sum) in sums {
        let known = total.entry(*workspace).or_default();
        *known = known.plus(*sum);
    }
}

/// Adds sums up in a row that stands for no workspace.
pub(super) fn total_row(sums: &ShareSums) -> ShareRow {
    let total = sums.values().copied().reduce(ShareSum::plus);
    ShareRow::new(0, total.unwrap_or_default())
}

/// Lists sums, those that ask for most where there are too many for a datagram: who asks for less than
/// the others is held back last.
pub(super) fn share_rows(sums: &ShareSums) -> Vec<ShareRow> {
    /// How many rows a datagram holds; each has about 20 bytes.
    const MOST_ROWS: usize = 200;
    let rows = sums.iter();
    let rows = rows.map(|(workspace, sum)| ShareRow::new(*workspace, *sum));
    let mut rows: Vec<ShareRow> = rows.collect();
    if rows.len() > MOST_ROWS {
        rows.sort_unstable_by_key(|row| Reverse(row.asked));
        rows.truncate(MOST_ROWS);
    }
    rows
}

/// Over how long sums fade to 1/e, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct FadeTimes {
    /// Those of the last moments.
    pub(super) short_ms: f64,
    /// Those over about the window in which shares are owed.
    pub(super) long_ms: f64,
}

/// Which parts of sums are left.
#[derive(Debug, Clone, Copy)]
struct KeptPart {
    short: f64,
    long: f64,
}

/// What a box counts itself.
#[derive(Debug, Default)]
pub(super) struct FadingSums {
    /// What was counted up to the last look.
    old: ShareSums,
    /// What was counted since.
    newest: ShareSums,
    looked_ms: u64,
}

impl FadingSums {
    /// Returns the newest sums of a workspace, to count in.
    pub(super) fn count(&mut self, workspace: u64) -> &mut ShareSum {
        self.newest.entry(workspace).or_default()
    }

    /// Returns the sums as of now.
    pub(super) fn faded(&self, times: FadeTimes, now_ms: u64) -> ShareSums {
        let passed_ms = now_ms.saturating_sub(self.looked_ms) as f64;
        let kept = |left: fn(f64) -> f64| KeptPart {
            short: left(passed_ms / times.short_ms),
            long: left(passed_ms / times.long_ms),
        };
        let (old, newest) = (kept(left_of_old), kept(left_of_newest));
        let fade = |sums: &ShareSums, kept| -> ShareSums {
            let sums = sums.iter();
            sums.map(|(workspace, sum)| (*workspace, sum.fade(kept)))
                .collect()
        };
        let mut faded = fade(&self.old, old);
        add_sums(&mut faded, &fade(&self.newest, newest));
        faded
    }

    /// Lets the sums fade up to now, and drops those of which nothing is left.
    pub(super) fn fade(&mut self, times: FadeTimes, now_ms: u64) {
        self.old = self.faded(times, now_ms);
        self.old.retain(|_, sum| !sum.is_nothing());
        self.newest.clear();
        self.looked_ms = now_ms;
    }

    /// Returns the sums of one workspace, as of the last look and all that came since.
    pub(super) fn of(&self, workspace: u64) -> ShareSum {
        let sum = |sums: &ShareSums| sums.get(&workspace).copied().unwrap_or_default();
        sum(&self.old).plus(sum(&self.newest))
    }
}

/// Returns the part that is left after so many fading times.
fn left_of_old(times: f64) -> f64 {
    (-times).exp()
}

/// Returns the part that is left of what came evenly during so many fading times.
fn left_of_newest(times: f64) -> f64 {
    match times > 0.0 {
        true => (1.0 - (-times).exp()) / times,
        false => 1.0,
    }
}

#[cfg(test)]
mod tests;
