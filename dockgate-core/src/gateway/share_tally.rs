//! What became of the prompts of each workspace at one box, in service units.
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

/// What becomes of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareOutcome {
    /// An engine takes it.
    Admitted,
    /// It is refused, and its workspace has had its share.
    BeyondShare,
    /// It is refused, and its workspace is owed more.
    WouldBeLate,
    /// It is refused unseen: the box has no processor for it.
    NoProcessor,
}

/// Sums of one workspace since the last look, in service units.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct TallyRow {
    /// The workspace, as a hash of its name.
    #[serde(skip)]
    pub key: u64,
    /// Its name.
    pub workspace: String,
    /// What its prompts asked for.
    pub asked: u64,
    /// What engines took.
    pub given: u64,
    /// What was refused as it has had its share.
    pub beyond_share: u64,
    /// What was refused although it is owed more.
    pub would_be_late: u64,
    /// What was refused for want of processor.
    pub no_processor: u64,
}

impl TallyRow {
    const fn refused(&self) -> u64 {
        self.beyond_share + self.would_be_late + self.no_processor
    }
}

/// Counts what became of the prompts of each workspace at this box.
#[derive(Debug, Default)]
pub struct ShareTally {
    rows: HashMap<u64, TallyRow>,
}

impl ShareTally {
    /// How many workspaces are told of at most, so that a line stays short.
    const MAX_ROWS: usize = 8;

    /// Counts a prompt.
    pub fn record_request(&mut self, workspace: u64, name: &str, units: u64) {
        let row = self.rows.entry(workspace).or_insert_with(|| TallyRow {
            key: workspace,
            workspace: name.to_owned(),
            ..TallyRow::default()
        });
        row.asked += units;
    }

    /// Counts what became of a prompt that was counted as asked for.
    pub fn record_outcome(&mut self, workspace: u64, outcome: ShareOutcome, units: u64) {
        let Some(row) = self.rows.get_mut(&workspace) else {
            return;
        };
        let sum = match outcome {
            ShareOutcome::Admitted => &mut row.given,
            ShareOutcome::BeyondShare => &mut row.beyond_share,
            ShareOutcome::WouldBeLate => &mut row.would_be_late,
            ShareOutcome::NoProcessor => &mut row.no_processor,
        };
        *sum += units;
    }

    /// Starts anew, and returns the sums of the workspaces of which something was refused, those that
    /// asked for most first.
    pub fn take_refused(&mut self) -> Vec<TallyRow> {
        let rows = std::mem::take(&mut self.rows).into_values();
        let mut rows: Vec<TallyRow> = rows.filter(|row| row.refused() > 0).collect();
        rows.sort_unstable_by_key(|row| Reverse((row.asked, row.key)));
        rows.truncate(Self::MAX_ROWS);
        rows
    }
}

#[cfg(test)]
mod tests;
