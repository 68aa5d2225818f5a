//! Removed endpoints and deferred records.

use super::endpoint_update::ReportedEndpoint;
use crate::gateway::route_table::{EndpointId, EndpointName, EndpointRecord};
use crate::gateway::store_revision::StoreRevision;
use std::collections::{HashMap, HashSet, VecDeque};

/// The endpoints that were removed, and the records whose use is deferred.
#[derive(Debug, Clone, Default)]
pub(super) struct LifetimeHistory {
    removed: HashMap<EndpointName, LastLifetime>,
    /// The newest revision among the removals that were dropped.
    forgotten: StoreRevision,
    deferred: HashMap<EndpointName, DeferredRecord>,
    /// The lifetimes that ended last, oldest first.
    ended: VecDeque<EndpointId>,
}

/// The last known state of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct LastLifetime {
    /// The newest revision at which its record was written, removed or found missing.
    pub(super) revision: StoreRevision,
    /// When its last lifetime started, in Unix milliseconds.
    pub(super) started_ms: Option<u64>,
}

/// A record that is not used until its delay is over.
///
/// Its lifetime started before the current one although it was written later, or had ended before
/// the store was restored from an older copy.
#[derive(Debug, Clone)]
struct DeferredRecord {
    record: EndpointRecord,
    revision: StoreRevision,
    /// How long it has to stay the newest until it is adopted, in milliseconds.
    delay_ms: u64,
    /// Since when it has been the newest; set by the first check of its delay.
    since_ms: Option<u64>,
}

impl LifetimeHistory {
    /// The maximum number of removed endpoints that are remembered.
    const MAX_REMOVED: usize = 4_096;
    /// The maximum number of ended lifetimes that are remembered.
    const MAX_ENDED: usize = 256;
    /// How long the record of an earlier lifetime is deferred, in milliseconds.
    ///
    /// A live endpoint overwrites a late write of its earlier lifetime with its next renewal. If
    /// none comes, the endpoint's clock went back between two starts and the record is current.
    const ADOPTION_DELAY_MS: u64 = 2_000;

    /// How long the record of an ended lifetime is deferred after the store was restored from an
    /// older copy, in milliseconds. It expires in the store sooner unless its endpoint renews it.
    const RESTORED_DELAY_MS: u64 = 5_000;

    /// Records the end of a lifetime.
    pub(super) fn record_end(&mut self, id: EndpointId) {
        self.ended.push_back(id);
        if self.ended.len() > Self::MAX_ENDED {
            self.ended.pop_front();
        }
    }

    /// Returns whether a lifetime is among those that ended last.
    pub(super) fn has_ended(&self, id: EndpointId) -> bool {
        self.ended.contains(&id)
    }

    /// Returns the newest revision among the removals that were dropped.
    pub(super) const fn forgotten(&self) -> StoreRevision {
        self.forgotten
    }

    /// Returns whether an endpoint was removed at this revision or later.
    pub(super) fn is_removed(&self, name: EndpointName, revision: StoreRevision) -> bool {
        let removed = self.removed.get(&name);
        removed.is_some_and(|removed| removed.revision >= revision)
    }

    /// Returns the last known state of a removed endpoint.
    pub(super) fn removed(&self, name: EndpointName) -> LastLifetime {
        self.removed.get(&name).copied().unwrap_or_default()
    }

    /// Returns the endpoints that were removed after a revision.
    pub(super) fn removed_after(
        &self,
        revision: StoreRevision,
    ) -> impl Iterator<Item = (EndpointName, LastLifetime)> {
        let removed = self.removed.iter().map(|(name, removed)| (*name, *removed));
        removed.filter(move |(_, removed)| removed.revision > revision)
    }

    /// Records the removal of an endpoint and drops the oldest one if there are too many.
    pub(super) fn record_removal(&mut self, name: EndpointName, last: LastLifetime) {
        if self.removed.len() >= Self::MAX_REMOVED {
            let oldest = self.removed.iter();
            let oldest = oldest.min_by_key(|(_, removed)| removed.revision);
            if let Some((name, revision)) = oldest.map(|(name, last)| (*name, last.revision)) {
                self.removed.remove(&name);
                self.forgotten = self.forgotten.max(revision);
            }
        }
        let removed = self.removed.entry(name).or_default();
        removed.revision = last.revision.max(removed.revision);
        removed.started_ms = last.started_ms.max(removed.started_ms);
    }

    /// Defers a record of an earlier lifetime, to be adopted if it stays the newest.
    pub(super) fn defer(&mut self, record: EndpointRecord, revision: StoreRevision) {
        self.defer_for(record, revision, Self::ADOPTION_DELAY_MS);
    }

    /// Defers a record of an ended or superseded lifetime that a restored store contains.
    pub(super) fn defer_restored(&mut self, record: EndpointRecord, revision: StoreRevision) {
        self.defer_for(record, revision, Self::RESTORED_DELAY_MS);
    }

    /// Returns whether a listed record belongs to a lifetime that had ended in an earlier era and
    /// is not known to have been written since the store was restored.
    pub(super) fn is_restored(&self, record: &EndpointRecord, revision: StoreRevision) -> bool {
        let name = record.name();
        let had_ended = self.removed.get(&name).is_some_and(|removed| {
            removed.revision.era < revision.era && removed.started_ms == record.started_ms
        });
        let deferred = self.deferred.get(&name);
        let is_written = deferred
            .is_some_and(|known| known.revision.era == revision.era && known.revision < revision);
        had_ended && !is_written
    }

    fn defer_for(&mut self, record: EndpointRecord, revision: StoreRevision, delay_ms: u64) {
        let name = record.name();
        let known = self.deferred.get(&name);
        if known.is_none_or(|known| known.revision < revision) {
            // The delay starts again whenever the store is restored.
            let known = known.filter(|known| known.revision.era == revision.era);
            let since_ms = known.and_then(|known| known.since_ms);
            let deferred = DeferredRecord {
                record,
                revision,
                delay_ms,
                since_ms,
            };
            self.deferred.insert(name, deferred);
        }
    }

    /// Defers a record for the time that another box reported.
    pub(super) fn defer_reported(
        &mut self,
        record: EndpointRecord,
        revision: StoreRevision,
        delay_ms: u64,
    ) {
        self.defer_for(record, revision, delay_ms);
    }

    /// Returns reports of the deferred records that are newer than a revision.
    pub(super) fn deferred_after(
        &self,
        after: StoreRevision,
        now_ms: u64,
    ) -> impl Iterator<Item = ReportedEndpoint> {
        let deferred = self.deferred.values();
        let deferred = deferred.filter(move |deferred| deferred.revision > after);
        deferred.map(move |deferred| {
            let elapsed_ms = deferred
                .since_ms
                .map_or(0, |since_ms| now_ms.saturating_sub(since_ms));
            ReportedEndpoint {
                record: deferred.record.clone(),
                revision: deferred.revision,
                unconfirmed: None,
                delay_ms: Some(deferred.delay_ms.saturating_sub(elapsed_ms)),
            }
        })
    }

    /// Drops the deferred records of endpoints that are missing from a list made at a revision.
    pub(super) fn retain_deferred(
        &mut self,
        listed: &HashSet<EndpointName>,
        revision: StoreRevision,
    ) {
        self.deferred
            .retain(|name, deferred| listed.contains(name) || deferred.revision > revision);
    }

    /// Drops the deferred record of an endpoint unless it is newer than a revision.
    pub(super) fn drop_deferred(&mut self, name: EndpointName, revision: StoreRevision) {
        let deferred = self.deferred.get(&name);
        if deferred.is_some_and(|deferred| deferred.revision <= revision) {
            self.deferred.remove(&name);
        }
    }

    /// Removes and returns the deferred records whose delay is over.
    pub(super) fn take_due(&mut self, now_ms: u64) -> Vec<(EndpointRecord, StoreRevision)> {
        for deferred in self.deferred.values_mut() {
            deferred.since_ms.get_or_insert(now_ms);
        }
        let is_due = |deferred: &DeferredRecord| {
            let since_ms = deferred.since_ms.unwrap_or(now_ms);
            now_ms >= since_ms + deferred.delay_ms
        };
        let due = self.deferred.extract_if(|_, deferred| is_due(deferred));
        due.map(|(_, deferred)| (deferred.record, deferred.revision))
            .collect()
    }
}
