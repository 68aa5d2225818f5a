//! Sums of service by workspace that fade with time.

use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// One workspace's sums as boxes tell them, in service units.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRow {
    /// The workspace, as a hash of its name.
    pub workspace: u64,
    /// What was requested for lately.
    pub requested: u64,
    /// What was requested for over about the window in which shares are owed.
    pub requested_long: u64,
    /// What was admitted lately.
    pub admitted: u64,
}

impl UsageRow {
    const fn new(workspace: u64, sum: WorkspaceUsage) -> Self {
        Self {
            workspace,
            requested: sum.requested.round() as u64,
            requested_long: sum.requested_long.round() as u64,
            admitted: sum.admitted.round() as u64,
        }
    }
}

/// One workspace's sums, in service units.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct WorkspaceUsage {
    /// What was requested for lately.
    pub(super) requested: f64,
    /// What was requested for over about the window in which shares are owed.
    pub(super) requested_long: f64,
    /// What was admitted lately.
    pub(super) admitted: f64,
}

impl WorkspaceUsage {
    /// Below this it counts as nothing, in service units.
    const LEAST: f64 = 0.5;

    /// Counts what is requested for.
    pub(super) const fn ask(&mut self, units: f64) {
        self.requested += units;
        self.requested_long += units;
    }

    pub(super) const fn plus(self, other: Self) -> Self {
        Self {
            requested: self.requested + other.requested,
            requested_long: self.requested_long + other.requested_long,
            admitted: self.admitted + other.admitted,
        }
    }

    const fn fade(self, kept: DecayFactors) -> Self {
        Self {
            requested: self.requested * kept.short,
            requested_long: self.requested_long * kept.long,
            admitted: self.admitted * kept.short,
        }
    }

    const fn is_nothing(&self) -> bool {
        self.requested_long < Self::LEAST && self.admitted < Self::LEAST
    }
}

impl From<UsageRow> for WorkspaceUsage {
    fn from(row: UsageRow) -> Self {
        Self {
            requested: row.requested as f64,
            requested_long: row.requested_long as f64,
            admitted: row.admitted as f64,
        }
    }
}

/// The sums of each workspace, by the hash of its name.
pub(super) type UsageTable = BTreeMap<u64, WorkspaceUsage>;

/// Adds sums to others.
pub(super) fn add_sums(total: &mut UsageTable, sums: &UsageTable) {
    for (workspace, sum) in sums {
        let known = total.entry(*workspace).or_default();
        *known = known.plus(*sum);
    }
}

/// Adds sums up in a row that stands for no workspace.
pub(super) fn total_row(sums: &UsageTable) -> UsageRow {
    let total = sums.values().copied().reduce(WorkspaceUsage::plus);
    UsageRow::new(0, total.unwrap_or_default())
}

/// Lists sums, those that ask for most where there are too many for a datagram: who asks for less than
/// the others is held back last.
pub(super) fn share_rows(sums: &UsageTable) -> Vec<UsageRow> {
    /// How many rows a datagram holds; each has about 20 bytes.
    const MOST_ROWS: usize = 200;
    let rows = sums.iter();
    let rows = rows.map(|(workspace, sum)| UsageRow::new(*workspace, *sum));
    let mut rows: Vec<UsageRow> = rows.collect();
    if rows.len() > MOST_ROWS {
        rows.sort_unstable_by_key(|row| Reverse(row.requested));
        rows.truncate(MOST_ROWS);
    }
    rows
}

/// Over how long sums fade to 1/e, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct DecayTimes {
    /// Those of the last moments.
    pub(super) short_ms: f64,
    /// Those over about the window in which shares are owed.
    pub(super) long_ms: f64,
}

/// Which parts of sums are left.
#[derive(Debug, Clone, Copy)]
struct DecayFactors {
    short: f64,
    long: f64,
}

/// What a box counts itself.
#[derive(Debug, Default)]
pub(super) struct DecayingUsage {
    /// What was counted up to the last look.
    old: UsageTable,
    /// What was counted since.
    newest: UsageTable,
    looked_ms: u64,
}

impl DecayingUsage {
    /// Returns the newest sums of a workspace, to count in.
    pub(super) fn count(&mut self, workspace: u64) -> &mut WorkspaceUsage {
        self.newest.entry(workspace).or_default()
    }

    /// Returns the sums as of now.
    pub(super) fn faded(&self, times: DecayTimes, now_ms: u64) -> UsageTable {
        let passed_ms = now_ms.saturating_sub(self.looked_ms) as f64;
        let kept = |left: fn(f64) -> f64| DecayFactors {
            short: left(passed_ms / times.short_ms),
            long: left(passed_ms / times.long_ms),
        };
        let (old, newest) = (kept(left_of_old), kept(left_of_newest));
        let fade = |sums: &UsageTable, kept| -> UsageTable {
            let sums = sums.iter();
            sums.map(|(workspace, sum)| (*workspace, sum.fade(kept)))
                .collect()
        };
        let mut faded = fade(&self.old, old);
        add_sums(&mut faded, &fade(&self.newest, newest));
        faded
    }

    /// Lets the sums fade up to now, and drops those of which nothing is left.
    pub(super) fn fade(&mut self, times: DecayTimes, now_ms: u64) {
        self.old = self.faded(times, now_ms);
        self.old.retain(|_, sum| !sum.is_nothing());
        self.newest.clear();
        self.looked_ms = now_ms;
    }

    /// Returns the sums of one workspace, as of the last look and all that came since.
    pub(super) fn of(&self, workspace: u64) -> WorkspaceUsage {
        let sum = |sums: &UsageTable| sums.get(&workspace).copied().unwrap_or_default();
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
