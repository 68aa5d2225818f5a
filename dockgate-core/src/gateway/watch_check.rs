//! Whether the watches of the store still tell what changes.
//!
//! An open connection can fall silent for good while others work: probes are answered, and the
//! watch that waits hears nothing more. The store's revision, which each answer names, shows it.
//!
//! ```
//! use dockgate_core::gateway::{StoreRevision, WatchCheck};
//!
//! let mut check = WatchCheck::default();
//! let (newer, known) = (StoreRevision::new(1, 7), StoreRevision::new(1, 6));
//! assert!(!check.is_stalled(newer, known, 1_000), "the change may be on its way");
//! assert!(check.is_stalled(newer, known, 2_000));
//! ```

use super::store_revision::StoreRevision;

/// Since when the store has had a revision that no watch has told of.
#[derive(Debug, Clone, Copy, Default)]
pub struct WatchCheck {
    behind_since_ms: Option<u64>,
    /// The last revision for which watches were made anew: a key that nobody watches may have it.
    checked: StoreRevision,
}

impl WatchCheck {
    /// For how long a watch may lack a revision, in milliseconds: the pause between two watches of
    /// 300 and the answer of a store that is a hundred times slower than usual, 400. A third of the
    /// bound of 3 s on a connection that is silent, for which a probe of the connection takes all
    /// of it.
    const STALL_TIMEOUT_MS: u64 = 1_000;

    /// Tells whether watches that have told of changes up to `known` have to be made anew, where
    /// the store has this revision. An old revision is never too high, so that it does no harm.
    pub fn is_stalled(
        &mut self,
        revision: StoreRevision,
        known: StoreRevision,
        now_ms: u64,
    ) -> bool {
        if revision <= known.max(self.checked) {
            self.behind_since_ms = None;
            return false;
        }
        let since_ms = *self.behind_since_ms.get_or_insert(now_ms);
        let is_stalled = now_ms >= since_ms + Self::STALL_TIMEOUT_MS;
        if is_stalled {
            self.checked = revision;
            self.behind_since_ms = None;
        }
        is_stalled
    }
}

#[cfg(test)]
mod tests;
