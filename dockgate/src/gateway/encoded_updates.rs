//! Updates of endpoints in encoded form, for the boxes that ask for the same one at the same time.
//!
//! All boxes of a failure domain ask a few of them for each change, and for the full list when they
//! start together. Without the cache, each answer walks over all endpoints.

use dockgate_core::gateway::{EndpointUpdate, StoreRevision};
use serde_json::value::RawValue;

/// An encoded update.
#[derive(Debug, Clone)]
struct EncodedUpdate {
    since: StoreRevision,
    revision: StoreRevision,
    built_ms: u64,
    json: Box<RawValue>,
}

/// The last updates that were sent to other boxes.
#[derive(Debug, Default)]
pub(super) struct EncodedUpdates {
    updates: Vec<EncodedUpdate>,
}

impl EncodedUpdates {
    /// How long an update is reused, in milliseconds: some changes raise no revision.
    const REUSED_MS: u64 = 100;
    /// The number of updates kept: the boxes that ask differ by a few revisions.
    const MAX_UPDATES: usize = 8;

    /// Returns the update since `since` of a box that knows the changes up to `revision`.
    pub(super) fn find(
        &mut self,
        since: StoreRevision,
        revision: StoreRevision,
        now_ms: u64,
    ) -> Option<Box<RawValue>> {
        self.updates.retain(|update| {
            update.revision == revision && update.built_ms + Self::REUSED_MS > now_ms
        });
        let found = self.updates.iter().find(|update| update.since == since);
        found.map(|update| update.json.clone())
    }

    /// Keeps an update in encoded form, unless its contents depend on when it was built.
    pub(super) fn keep(
        &mut self,
        since: StoreRevision,
        update: &EndpointUpdate,
        json: &RawValue,
        now_ms: u64,
    ) {
        let is_timeless = update
            .endpoints
            .iter()
            .all(|endpoint| endpoint.unconfirmed.is_none() && endpoint.delay_ms.is_none());
        if !is_timeless || self.updates.len() >= Self::MAX_UPDATES {
            return;
        }
        self.updates.push(EncodedUpdate {
            since,
            revision: update.revision,
            built_ms: now_ms,
            json: json.to_owned(),
        });
    }
}

#[cfg(test)]
mod tests;
