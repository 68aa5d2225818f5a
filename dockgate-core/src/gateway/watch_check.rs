//! Decides when a watch of the store must be checked, since it may no longer deliver changes.
//!
//! A single connection can stop delivering data while others work: probes and other watches are
//! answered, but a pending watch receives nothing. The store's revision, which every answer
//! includes, reveals that something has changed. A watch reports only changes of its own keys, so
//! it cannot be told from the revision alone whether it has missed any: a call that does not wait
//! shows this. Each watch is checked by itself, because the answers to one prove nothing about
//! another.
//!
//! ```
//! use dockgate_core::gateway::{StoreRevision, WatchCheck};
//!
//! let mut check = WatchCheck::default();
//! let (newer, known) = (StoreRevision::new(1, 7), StoreRevision::new(1, 6));
//! assert!(!check.is_due(newer, known, 1_000), "the change may be on its way");
//! assert!(check.is_due(newer, known, 2_000));
//! check.confirm(newer);
//! assert!(!check.is_due(newer, known, 9_000), "another key has changed");
//! ```

use super::store_revision::StoreRevision;

/// Tracks how long one watch has lagged behind the store's revision.
#[derive(Debug, Clone, Copy, Default)]
pub struct WatchCheck {
    /// Since when the watch has lagged, in milliseconds.
    behind_since_ms: Option<u64>,
    /// The revision up to which a check has shown that the watch missed nothing.
    confirmed: StoreRevision,
}

impl WatchCheck {
    /// How long a watch may lag behind a revision, in milliseconds: covers the pause between two
    /// watches and the answer of a slow store.
    const STALL_TIMEOUT_MS: u64 = 1_000;

    /// Returns whether the watch must be checked. `latest` is the store's revision, and `known` the
    /// one up to which the watch has delivered changes. An outdated `latest` has no effect.
    pub fn is_due(&mut self, latest: StoreRevision, known: StoreRevision, now_ms: u64) -> bool {
        if latest <= known.max(self.confirmed) {
            self.behind_since_ms = None;
            return false;
        }
        let since_ms = *self.behind_since_ms.get_or_insert(now_ms);
        now_ms >= since_ms + Self::STALL_TIMEOUT_MS
    }

    /// Returns the time until the watch must be checked if nothing else changes, in milliseconds;
    /// `None` if it does not lag.
    pub fn due_in_ms(&self, now_ms: u64) -> Option<u64> {
        let since_ms = self.behind_since_ms?;
        Some((since_ms + Self::STALL_TIMEOUT_MS).saturating_sub(now_ms))
    }

    /// Returns how long the watch has been known to lag, in milliseconds.
    pub fn behind_ms(&self, now_ms: u64) -> u64 {
        let since_ms = self.behind_since_ms.unwrap_or(now_ms);
        now_ms.saturating_sub(since_ms)
    }

    /// Records that the watched keys have not changed up to `revision`.
    pub fn confirm(&mut self, revision: StoreRevision) {
        self.confirmed = self.confirmed.max(revision);
        self.behind_since_ms = None;
    }
}

#[cfg(test)]
mod tests;
