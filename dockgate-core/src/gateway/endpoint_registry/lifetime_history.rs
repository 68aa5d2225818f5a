//! What is remembered of endpoints beside the lifetimes that the book has.

use super::endpoint_update::ReportedEndpoint;
use crate::gateway::route_table::{EndpointName, EndpointRecord};
use crate::gateway::store_revision::StoreRevision;
use std::collections::{HashMap, HashSet};

/// Which endpoints were removed, and records of earlier lifetimes that came after later ones.
#[derive(Debug, Clone, Default)]
pub(super) struct LifetimeHistory {
    removed: HashMap<EndpointName, LastLifetime>,
    /// The newest revision of a removal that is not remembered any more.
    forgotten: StoreRevision,
    aside: HashMap<EndpointName, DeferredRecord>,
}

/// The last that is known of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct LastLifetime {
    /// The revision of the last thing that happened to its record.
    pub(super) revision: StoreRevision,
    /// When its last lifetime started.
    pub(super) born_ms: Option<u64>,
}

/// A record of a lifetime that started before the one that is known, and was written after that one's; or of one that
/// had left, in a copy of the store from before that.
#[derive(Debug, Clone)]
struct DeferredRecord {
    record: EndpointRecord,
    revision: StoreRevision,
    /// For how long it has to be the newest until it is believed, in milliseconds.
    wait_ms: u64,
    /// Since when it has been the newest; named when the time is looked at first.
    since_ms: Option<u64>,
}

impl LifetimeHistory {
    /// How many removed endpoints are remembered.
    const MOST_REMOVED: usize = 4_096;
    /// After how long, in milliseconds, the record of an earlier start is believed where the later lifetime has
    /// written nothing since. A write that was carried out late is overwritten by the next one of the lifetime
    /// that lives, about 1.2 s later; where that does not come, the clock by which endpoints tell their starts
    /// went back, and to wait on would leave a sound endpoint unused. A bound.
    const ADOPT_MS: u64 = 2_000;

    /// The same, in milliseconds, for a lifetime that had left when the store came back from an older copy: its record
    /// is there again, and goes when nobody has written it three times, about 1.2 s apart. A bound.
    const RETURN_MS: u64 = 5_000;

    /// Returns the newest revision of a removal that is not remembered any more.
    pub(super) const fn forgotten(&self) -> StoreRevision {
        self.forgotten
    }

    /// Tells whether an endpoint was removed at this revision or later.
    pub(super) fn is_removed(&self, name: EndpointName, revision: StoreRevision) -> bool {
        let removed = self.removed.get(&name);
        removed.is_some_and(|removed| removed.revision >= revision)
    }

    /// Returns the last that was known of an endpoint that was removed.
    pub(super) fn removed(&self, name: EndpointName) -> LastLifetime {
        self.removed.get(&name).copied().unwrap_or_default()
    }

    /// Lists what was removed after a revision.
    pub(super) fn removed_after(
        &self,
        revision: StoreRevision,
    ) -> impl Iterator<Item = (EndpointName, LastLifetime)> {
        let removed = self.removed.iter().map(|(name, removed)| (*name, *removed));
        removed.filter(move |(_, removed)| removed.revision > revision)
    }

    /// Remembers that an endpoint was removed; forgets the oldest where there are too many.
    pub(super) fn note_removed(&mut self, name: EndpointName, life: LastLifetime) {
        if self.removed.len() >= Self::MOST_REMOVED {
            let oldest = self.removed.iter();
            let oldest = oldest.min_by_key(|(_, removed)| removed.revision);
            if let Some((name, revision)) = oldest.map(|(name, life)| (*name, life.revision)) {
                self.removed.remove(&name);
                self.forgotten = self.forgotten.max(revision);
            }
        }
        let removed = self.removed.entry(name).or_default();
        removed.revision = life.revision.max(removed.revision);
        removed.born_ms = life.born_ms.max(removed.born_ms);
    }

    /// Keeps a record of an earlier start for the case that it stays the newest.
    pub(super) fn set_aside(&mut self, record: EndpointRecord, revision: StoreRevision) {
        self.keep_aside(record, revision, Self::ADOPT_MS);
    }

    /// Keeps the record of a lifetime that had left, or whose place another one had taken, when it is in an older copy of
    /// the store.
    pub(super) fn set_aside_returned(&mut self, record: EndpointRecord, revision: StoreRevision) {
        self.keep_aside(record, revision, Self::RETURN_MS);
    }

    /// Tells whether a record that is listed is one of a lifetime that had left in an earlier era of the store, and
    /// nothing says that it was written since the store came back.
    pub(super) fn is_returned(&self, record: &EndpointRecord, revision: StoreRevision) -> bool {
        let name = record.name();
        let had_left = self.removed.get(&name).is_some_and(|removed| {
            removed.revision.era < revision.era && removed.born_ms == record.born_ms
        });
        let aside = self.aside.get(&name);
        let is_written = aside
            .is_some_and(|aside| aside.revision.era == revision.era && aside.revision < revision);
        had_left && !is_written
    }

    fn keep_aside(&mut self, record: EndpointRecord, revision: StoreRevision, wait_ms: u64) {
        let name = record.name();
        let known = self.aside.get(&name);
        if known.is_none_or(|known| known.revision < revision) {
            // Each return of the store brings it back anew.
            let known = known.filter(|known| known.revision.era == revision.era);
            let since_ms = known.and_then(|known| known.since_ms);
            let aside = DeferredRecord {
                record,
                revision,
                wait_ms,
                since_ms,
            };
            self.aside.insert(name, aside);
        }
    }

    /// Keeps a record that another box does not use for so many more milliseconds.
    pub(super) fn set_aside_told(
        &mut self,
        record: EndpointRecord,
        revision: StoreRevision,
        waits_ms: u64,
    ) {
        self.keep_aside(record, revision, waits_ms);
    }

    /// Lists what is put aside and came after a revision, as another box is told of it.
    pub(super) fn aside_after(
        &self,
        after: StoreRevision,
        now_ms: u64,
    ) -> impl Iterator<Item = ReportedEndpoint> {
        let aside = self.aside.values();
        let aside = aside.filter(move |aside| aside.revision > after);
        aside.map(move |aside| {
            let passed_ms = aside
                .since_ms
                .map_or(0, |since_ms| now_ms.saturating_sub(since_ms));
            ReportedEndpoint {
                record: aside.record.clone(),
                revision: aside.revision,
                doubt: None,
                waits_ms: Some(aside.wait_ms.saturating_sub(passed_ms)),
            }
        })
    }

    /// Drops what was put aside of endpoints that are not among those listed at a revision.
    pub(super) fn keep_aside_only(
        &mut self,
        listed: &HashSet<EndpointName>,
        revision: StoreRevision,
    ) {
        self.aside
            .retain(|name, aside| listed.contains(name) || aside.revision > revision);
    }

    /// Drops what was put aside of an endpoint, where something newer is known.
    pub(super) fn drop_aside(&mut self, name: EndpointName, revision: StoreRevision) {
        let aside = self.aside.get(&name);
        if aside.is_some_and(|aside| aside.revision <= revision) {
            self.aside.remove(&name);
        }
    }

    /// Takes the records that have been the newest for long enough to be believed.
    pub(super) fn take_adopted(&mut self, now_ms: u64) -> Vec<(EndpointRecord, StoreRevision)> {
        for aside in self.aside.values_mut() {
            aside.since_ms.get_or_insert(now_ms);
        }
        let is_due = |aside: &DeferredRecord| {
            let since_ms = aside.since_ms.unwrap_or(now_ms);
            now_ms >= since_ms + aside.wait_ms
        };
        let adopted = self.aside.extract_if(|_, aside| is_due(aside));
        adopted
            .map(|(_, aside)| (aside.record, aside.revision))
            .collect()
    }
}
