//! Detects watches of the store that no longer deliver changes.
//!
//! A single connection can stop delivering data while others work: probes are answered, but a
//! pending watch receives nothing. The store's revision, which every answer includes, reveals this.
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

/// Tracks how long the watches have lagged behind the store's revision.
#[derive(Debug, Clone, Copy, Default)]
pub struct WatchCheck {
    behind_since_ms: Option<u64>,
    /// The last revision that caused a reset of the watches; it may belong to an unwatched key.
    checked: StoreRevision,
}

impl WatchCheck {
    /// How long the watches may lag behind a revision, in milliseconds: covers the pause between
    /// two watches and the answer of a slow store.
    const STALL_TIMEOUT_MS: u64 = 1_000;

    /// Returns whether watches that delivered changes up to `known` must be recreated, given a
    /// revision that the store returned. Outdated revisions have no effect.
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
