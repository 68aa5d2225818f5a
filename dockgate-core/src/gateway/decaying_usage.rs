//! Exponentially decaying counters of service, by workspace.

use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Usage of one workspace as boxes report it, in service units.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRow {
    /// Hash of the workspace's name.
    pub workspace: u64,
    /// Service requested within the short decay time.
    pub requested: u64,
    /// Service requested within the long decay time.
    pub requested_long: u64,
    /// Service admitted within the short decay time.
    pub admitted: u64,
}

impl UsageRow {
    const fn new(workspace: u64, usage: WorkspaceUsage) -> Self {
        Self {
            workspace,
            requested: usage.requested.round() as u64,
            requested_long: usage.requested_long.round() as u64,
            admitted: usage.admitted.round() as u64,
        }
    }
}

/// Usage of one workspace, in service units.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct WorkspaceUsage {
    /// Service requested within the short decay time.
    pub(super) requested: f64,
    /// Service requested within the long decay time.
    pub(super) requested_long: f64,
    /// Service admitted within the short decay time.
    pub(super) admitted: f64,
}

impl WorkspaceUsage {
    /// Usage below this is dropped, in service units.
    const MIN_UNITS: f64 = 0.5;

    /// Adds a request.
    pub(super) const fn add_request(&mut self, units: f64) {
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

    const fn scaled(self, factors: DecayFactors) -> Self {
        Self {
            requested: self.requested * factors.short,
            requested_long: self.requested_long * factors.long,
            admitted: self.admitted * factors.short,
        }
    }

    const fn is_negligible(&self) -> bool {
        self.requested_long < Self::MIN_UNITS && self.admitted < Self::MIN_UNITS
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

/// Usage by workspace, keyed by the hash of its name.
pub(super) type UsageTable = BTreeMap<u64, WorkspaceUsage>;

/// Adds `table` to `total`.
pub(super) fn add_usage(total: &mut UsageTable, table: &UsageTable) {
    for (workspace, usage) in table {
        let known = total.entry(*workspace).or_default();
        *known = known.plus(*usage);
    }
}

/// Returns the total of all workspaces, as a row with workspace 0.
pub(super) fn total_row(table: &UsageTable) -> UsageRow {
    let total = table.values().copied().reduce(WorkspaceUsage::plus);
    UsageRow::new(0, total.unwrap_or_default())
}

/// Returns the table as rows. If they exceed a datagram, the workspaces with the lowest demand are
/// left out, since they are within their share.
pub(super) fn usage_rows(table: &UsageTable) -> Vec<UsageRow> {
    /// Number of rows that fit into a datagram, at about 20 bytes each.
    const MAX_ROWS: usize = 200;
    let rows = table.iter();
    let rows = rows.map(|(workspace, usage)| UsageRow::new(*workspace, *usage));
    let mut rows: Vec<UsageRow> = rows.collect();
    if rows.len() > MAX_ROWS {
        rows.sort_unstable_by_key(|row| Reverse(row.requested));
        rows.truncate(MAX_ROWS);
    }
    rows
}

/// Time constants of the exponential decay, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct DecayTimes {
    /// Time constant of recent usage.
    pub(super) short_ms: f64,
    /// Time constant of sustained demand.
    pub(super) long_ms: f64,
}

/// Factors by which usage is scaled as it decays.
#[derive(Debug, Clone, Copy)]
struct DecayFactors {
    short: f64,
    long: f64,
}

/// Usage counted at this box, which decays over time.
#[derive(Debug, Default)]
pub(super) struct DecayingUsage {
    /// Usage up to the last decay.
    settled: UsageTable,
    /// Usage since the last decay.
    recent: UsageTable,
    decayed_ms: u64,
}

impl DecayingUsage {
    /// Returns the counters of a workspace since the last decay.
    pub(super) fn recent_mut(&mut self, workspace: u64) -> &mut WorkspaceUsage {
        self.recent.entry(workspace).or_default()
    }

    /// Returns the usage decayed to `now_ms`.
    pub(super) fn decayed(&self, times: DecayTimes, now_ms: u64) -> UsageTable {
        let passed_ms = now_ms.saturating_sub(self.decayed_ms) as f64;
        let factors = |factor: fn(f64) -> f64| DecayFactors {
            short: factor(passed_ms / times.short_ms),
            long: factor(passed_ms / times.long_ms),
        };
        let (settled, recent) = (factors(decay_factor), factors(mean_decay_factor));
        let scale = |table: &UsageTable, factors| -> UsageTable {
            let table = table.iter();
            table
                .map(|(workspace, usage)| (*workspace, usage.scaled(factors)))
                .collect()
        };
        let mut decayed = scale(&self.settled, settled);
        add_usage(&mut decayed, &scale(&self.recent, recent));
        decayed
    }

    /// Decays the usage to `now_ms`, and drops negligible entries.
    pub(super) fn decay(&mut self, times: DecayTimes, now_ms: u64) {
        self.settled = self.decayed(times, now_ms);
        self.settled.retain(|_, usage| !usage.is_negligible());
        self.recent.clear();
        self.decayed_ms = now_ms;
    }

    /// Returns the usage of a workspace as of the last decay plus all that was counted since.
    pub(super) fn usage_of(&self, workspace: u64) -> WorkspaceUsage {
        let usage = |table: &UsageTable| table.get(&workspace).copied().unwrap_or_default();
        usage(&self.settled).plus(usage(&self.recent))
    }
}

/// Returns the decay factor after `elapsed` time constants.
fn decay_factor(elapsed: f64) -> f64 {
    (-elapsed).exp()
}

/// Returns the mean decay factor of usage spread evenly over the last `elapsed` time constants.
fn mean_decay_factor(elapsed: f64) -> f64 {
    match elapsed > 0.0 {
        true => (1.0 - (-elapsed).exp()) / elapsed,
        false => 1.0,
    }
}

#[cfg(test)]
mod tests;
