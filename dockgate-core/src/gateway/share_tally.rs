//! Outcomes of prompts by workspace at one box, in service units.
//!
//! ```
//! use dockgate_core::gateway::{ShareOutcome, ShareTally};
//!
//! let mut tally = ShareTally::default();
//! tally.record_request(7, "library", 500);
//! tally.record_outcome(7, ShareOutcome::BeyondShare, 500);
//! let rows = tally.take_refused();
//! assert_eq!((rows[0].asked, rows[0].beyond_share), (500, 500));
//! ```

use serde::Serialize;
use std::cmp::Reverse;
use std::collections::HashMap;

/// Outcome of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareOutcome {
    /// Begun by an engine.
    Begun,
    /// Refused because its workspace has used up its share.
    BeyondShare,
    /// Refused although its workspace is within its share.
    WouldBeLate,
    /// Refused before it was considered, as the box is short of processor time.
    NoProcessor,
}

/// Counters of one workspace since they were last taken, in service units.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct TallyRow {
    /// Hash of the workspace's name.
    #[serde(skip)]
    pub key: u64,
    /// Name of the workspace.
    pub workspace: String,
    /// Requested service.
    pub asked: u64,
    /// Service that engines began.
    pub given: u64,
    /// Service refused because the workspace had used up its share.
    pub beyond_share: u64,
    /// Service refused although the workspace was within its share.
    pub would_be_late: u64,
    /// Service refused because the box was short of processor time.
    pub no_processor: u64,
}

impl TallyRow {
    const fn is_empty(&self) -> bool {
        self.asked + self.given + self.refused() == 0
    }

    /// Returns the row and resets its counters.
    fn take_counters(&mut self) -> Self {
        let reset = Self {
            key: self.key,
            workspace: self.workspace.clone(),
            ..Self::default()
        };
        std::mem::replace(self, reset)
    }

    const fn refused(&self) -> u64 {
        self.beyond_share + self.would_be_late + self.no_processor
    }
}

/// Counts the outcomes of prompts by workspace at this box.
#[derive(Debug, Default)]
pub struct ShareTally {
    rows: HashMap<u64, TallyRow>,
}

impl ShareTally {
    /// Maximum number of workspaces that are returned, so that log lines stay short.
    const MAX_ROWS: usize = 8;

    /// Records a requested prompt.
    pub fn record_request(&mut self, workspace: u64, name: &str, units: u64) {
        let row = self.rows.entry(workspace).or_insert_with(|| TallyRow {
            key: workspace,
            workspace: name.to_owned(),
            ..TallyRow::default()
        });
        row.asked += units;
    }

    /// Records the outcome of a prompt; ignores it if no request of its workspace was recorded in
    /// this period or the one before.
    pub fn record_outcome(&mut self, workspace: u64, outcome: ShareOutcome, units: u64) {
        let Some(row) = self.rows.get_mut(&workspace) else {
            return;
        };
        let counter = match outcome {
            ShareOutcome::Begun => &mut row.given,
            ShareOutcome::BeyondShare => &mut row.beyond_share,
            ShareOutcome::WouldBeLate => &mut row.would_be_late,
            ShareOutcome::NoProcessor => &mut row.no_processor,
        };
        *counter += units;
    }

    /// Resets all counters, and returns those of workspaces with refused prompts, by descending
    /// demand.
    pub fn take_refused(&mut self) -> Vec<TallyRow> {
        self.rows.retain(|_, row| !row.is_empty());
        let rows = self.rows.values_mut().map(TallyRow::take_counters);
        let mut rows: Vec<TallyRow> = rows.filter(|row| row.refused() > 0).collect();
        rows.sort_unstable_by_key(|row| Reverse((row.asked, row.key)));
        rows.truncate(Self::MAX_ROWS);
        rows
    }
}

#[cfg(test)]
mod tests;
