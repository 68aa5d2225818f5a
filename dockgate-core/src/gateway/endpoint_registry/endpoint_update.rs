//! What boxes tell each other of the endpoints: what changed since a revision, or all of them.

use super::lifetime_history::LastLifetime;
use super::{EndpointChange, EndpointRegistry};
use crate::gateway::route_table::{EndpointName, EndpointRecord};
use crate::gateway::store_revision::StoreRevision;
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use xxhash_rust::xxh3::xxh3_64;

/// An endpoint as one box tells another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedEndpoint {
    /// What it says of itself.
    pub record: EndpointRecord,
    /// The store's revision of its record.
    pub revision: StoreRevision,
    /// Set where the box that tells of it keeps it although its record is missing.
    pub doubt: Option<UnconfirmedRecord>,
    /// Set where the box that tells of it does not use it yet, for so many more milliseconds: it had left, or another
    /// lifetime had taken its place, before its record came back.
    #[serde(default)]
    pub waits_ms: Option<u64>,
}

/// How long an endpoint in doubt is kept by the box that tells of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnconfirmedRecord {
    /// The store's revision at which its record was missed.
    pub revision: StoreRevision,
    /// For how many more milliseconds it is kept.
    pub lapses_in_ms: u64,
}

/// An endpoint that was removed, as one box tells another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemovedEndpoint {
    /// Its id.
    pub name: EndpointName,
    /// The store's revision at which its record went.
    pub revision: StoreRevision,
    /// When its last lifetime started, in Unix milliseconds, where that is known.
    pub born_ms: Option<u64>,
}

/// What one box tells another of the endpoints.
///
/// A list of 3,000 is 600 KB, told to each box of a domain at each change: the busiest of 300 boxes sent
/// 4.5 MB a second. What changed is some hundred bytes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointUpdate {
    /// After which of the store's revisions the changes came that are told; none where all endpoints are.
    pub since: Option<StoreRevision>,
    /// The revision up to which the box that tells knows.
    pub revision: StoreRevision,
    /// The endpoints, or those that changed.
    pub endpoints: Vec<ReportedEndpoint>,
    /// Those that were removed; none where all endpoints are told.
    pub removed: Vec<RemovedEndpoint>,
    /// What [`EndpointRegistry::sum`] says where it is told.
    pub sum: u64,
}

/// What came of news from another box.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MergeOutcome {
    /// What is believed otherwise than before; nothing where all endpoints were told.
    pub changes: Vec<EndpointChange>,
    /// Whether anything is.
    pub changed: bool,
    /// Whether both boxes know the same by now, or this one knows more: else it needs all endpoints.
    pub agrees: bool,
}

impl EndpointRegistry {
    /// Within which time of the store's return endpoints have written their records again, in milliseconds, as the
    /// users' notes on their store say.
    const WRITTEN_AGAIN_MS: u64 = 2_000;

    /// Returns a sum over the endpoints that are there for certain: boxes with the same revision and the
    /// same sum know the same.
    pub fn checksum(&self) -> u64 {
        let certain = self.iter().filter(|(_, entry)| entry.doubt().is_none());
        let parts = certain.map(|(id, entry)| {
            let mut bytes = [0; 24];
            bytes[..8].copy_from_slice(&id.0.to_le_bytes());
            bytes[8..16].copy_from_slice(&entry.revision.era.to_le_bytes());
            bytes[16..].copy_from_slice(&entry.revision.number.to_le_bytes());
            xxh3_64(&bytes)
        });
        parts.fold(0, u64::wrapping_add)
    }

    /// Tells what changed after revision `since`; or all, where that is none or not known any more.
    pub fn update_since(&self, since: StoreRevision, now_ms: u64) -> EndpointUpdate {
        let known_from = self.whole_at.max(self.memory.forgotten());
        let since =
            Some(since).filter(|since| *since > StoreRevision::NONE && *since >= known_from);
        let after = since.unwrap_or_default();
        let entries = self.endpoints.values();
        let changed = entries.filter(|entry| since.is_none() || entry.newest_revision() > after);
        let removed = self.memory.removed_after(after);
        let removed = removed.filter(|_| since.is_some());
        let aside = self.memory.aside_after(after, now_ms);
        EndpointUpdate {
            since,
            revision: self.revision,
            endpoints: changed
                .map(|entry| entry.tell(now_ms))
                .chain(aside)
                .collect(),
            removed: removed
                .map(|(name, life)| RemovedEndpoint {
                    name,
                    revision: life.revision,
                    born_ms: life.born_ms,
                })
                .collect(),
            sum: self.checksum(),
        }
    }

    /// Takes in what another box told.
    pub fn merge(&mut self, news: EndpointUpdate, now_ms: u64) -> MergeOutcome {
        let EndpointUpdate {
            since,
            revision,
            endpoints,
            removed,
            sum,
        } = news;
        let names = endpoints.iter().map(|told| told.record.name());
        let names: HashSet<EndpointName> = names.collect();
        let doubts = endpoints.iter().filter_map(|endpoint| {
            let doubt = endpoint.doubt?;
            Some((endpoint.record.name(), doubt))
        });
        let doubts: Vec<(EndpointName, UnconfirmedRecord)> = doubts.collect();
        let endpoints = endpoints.into_iter();
        let endpoints: Vec<ReportedEndpoint> = endpoints
            .filter(|told| !self.is_over(&told.record, told.revision))
            .collect();
        let told = endpoints.into_iter();
        let told = told.map(|told| match told.waits_ms {
            Some(waits_ms) => EndpointChange::Waiting(told.record, told.revision, waits_ms),
            None => EndpointChange::Put(told.record, told.revision),
        });
        // Of a later era the box that tells may have listed what endpoints have not written again yet.
        let is_later = revision.era > self.whole_at.era && self.whole_at > StoreRevision::NONE;
        let kept_until_ms = is_later.then_some(now_ms + Self::WRITTEN_AGAIN_MS);
        let mut changes = Vec::new();
        let changed = match since {
            None => self.take_all(told.collect(), &names, revision, kept_until_ms),
            Some(_) => {
                for endpoint in removed {
                    changes.extend(self.learn_removed(endpoint));
                }
                changes.extend(told.filter(|change| self.take(change.clone(), None)));
                self.index();
                !changes.is_empty()
            }
        };
        self.advance(revision);
        // Giving one up raises no revision, so a box that was not told would believe in it for good. Whichever lifetime
        // is known here: there was no record of any.
        for (name, doubt) in doubts {
            self.memory.drop_aside(name, doubt.revision);
            let known = self.life_mut(name);
            if let Some(known) = known.filter(|known| known.revision < doubt.revision) {
                known.note_missed(doubt.revision, now_ms + doubt.lapses_in_ms);
            }
        }
        MergeOutcome {
            changes,
            changed,
            agrees: since.is_none() || self.revision > revision || self.checksum() == sum,
        }
    }

    fn learn_removed(&mut self, removed: RemovedEndpoint) -> Option<EndpointChange> {
        let RemovedEndpoint {
            name,
            revision,
            born_ms,
        } = removed;
        let id = self.life_mut(name).map(|entry| entry.record.id.clone());
        let is_gone = self.remove(name, revision, None);
        if self.life_mut(name).is_none() {
            self.memory
                .note_removed(name, LastLifetime { revision, born_ms });
        }
        let id = id.filter(|_| is_gone)?;
        Some(EndpointChange::Removed(id, revision))
    }
}
