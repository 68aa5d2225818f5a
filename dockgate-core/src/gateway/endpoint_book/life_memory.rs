//! What is remembered of endpoints beside the lifetimes that the book has.

use crate::gateway::route_table::{EndpointName, EndpointRecord};
use std::collections::HashMap;

/// Which endpoints were removed, and records of earlier lifetimes that came after later ones.
#[derive(Debug, Clone, Default)]
pub(super) struct LifeMemory {
    removed: HashMap<EndpointName, LastLife>,
    /// The newest revision of a removal that is not remembered any more.
    forgotten: u64,
    aside: HashMap<EndpointName, AsideRecord>,
}

/// The last that is known of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct LastLife {
    /// The revision of the last thing that happened to its record.
    pub(super) revision: u64,
    /// When its last lifetime started.
    pub(super) born_ms: Option<u64>,
}

/// A record of a lifetime that started before the one that is known, and was written after that one's.
#[derive(Debug, Clone)]
struct AsideRecord {
    record: EndpointRecord,
    revision: u64,
    /// Since when it has been the newest; named when the time is looked at first.
    since_ms: Option<u64>,
}

impl LifeMemory {
    /// How many removed endpoints are remembered.
    const MOST_REMOVED: usize = 4_096;
    /// After how long, in milliseconds, the record of an earlier start is believed where the later lifetime has
    /// written nothing since. A write that was carried out late is overwritten by the next one of the lifetime
    /// that lives, about 1.2 s later; where that does not come, the clock by which endpoints tell their starts
    /// went back, and to wait on would leave a sound endpoint unused. A bound.
    const ADOPT_MS: u64 = 2_000;

    /// Returns the newest revision of a removal that is not remembered any more.
    pub(super) const fn forgotten(&self) -> u64 {
        self.forgotten
    }

    /// Tells whether an endpoint was removed at this revision or later.
    pub(super) fn is_removed(&self, name: EndpointName, revision: u64) -> bool {
        let removed = self.removed.get(&name);
        removed.is_some_and(|removed| removed.revision >= revision)
    }

    /// Returns the last that was known of an endpoint that was removed.
    pub(super) fn removed(&self, name: EndpointName) -> LastLife {
        self.removed.get(&name).copied().unwrap_or_default()
    }

    /// Lists what was removed after a revision.
    pub(super) fn removed_after(
        &self,
        revision: u64,
    ) -> impl Iterator<Item = (EndpointName, LastLife)> {
        let removed = self.removed.iter().map(|(name, removed)| (*name, *removed));
        removed.filter(move |(_, removed)| removed.revision > revision)
    }

    /// Remembers that an endpoint was removed; forgets the oldest where there are too many.
    pub(super) fn note_removed(&mut self, name: EndpointName, life: LastLife) {
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
    pub(super) fn set_aside(&mut self, record: EndpointRecord, revision: u64) {
        let name = record.name();
        let known = self.aside.get(&name);
        if known.is_none_or(|known| known.revision < revision) {
            let since_ms = known.and_then(|known| known.since_ms);
            let aside = AsideRecord {
                record,
                revision,
                since_ms,
            };
            self.aside.insert(name, aside);
        }
    }

    /// Drops what was put aside of an endpoint, where something newer is known.
    pub(super) fn drop_aside(&mut self, name: EndpointName, revision: u64) {
        let aside = self.aside.get(&name);
        if aside.is_some_and(|aside| aside.revision <= revision) {
            self.aside.remove(&name);
        }
    }

    /// Takes the records that have been the newest for long enough to be believed.
    pub(super) fn take_adopted(&mut self, now_ms: u64) -> Vec<(EndpointRecord, u64)> {
        for aside in self.aside.values_mut() {
            aside.since_ms.get_or_insert(now_ms);
        }
        let is_due = |aside: &AsideRecord| {
            let since_ms = aside.since_ms.unwrap_or(now_ms);
            now_ms >= since_ms + Self::ADOPT_MS
        };
        let adopted = self.aside.extract_if(|_, aside| is_due(aside));
        adopted
            .map(|(_, aside)| (aside.record, aside.revision))
            .collect()
    }
}
