//! Updates of endpoints between boxes: the changes since a revision, or a full list.

use super::lifetime_history::LastLifetime;
use super::{EndpointChange, EndpointRegistry};
use crate::gateway::route_table::{EndpointName, EndpointRecord};
use crate::gateway::store_revision::StoreRevision;
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use xxhash_rust::xxh3::xxh3_64;

/// An endpoint as one box reports it to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedEndpoint {
    /// Its record.
    pub record: EndpointRecord,
    /// The store's revision of the record.
    pub revision: StoreRevision,
    /// Set if the reporting box keeps the endpoint although its record is missing.
    #[serde(rename = "doubt")]
    pub unconfirmed: Option<UnconfirmedRecord>,
    /// Set if the reporting box defers the record's use for this many more milliseconds: its
    /// lifetime had ended or been superseded before the record reappeared.
    #[serde(default, rename = "waits_ms")]
    pub delay_ms: Option<u64>,
}

/// A missing record whose endpoint the reporting box still keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnconfirmedRecord {
    /// The store's revision at which the record was found missing.
    pub revision: StoreRevision,
    /// For how many more milliseconds the endpoint is kept.
    pub lapses_in_ms: u64,
}

/// A removed endpoint as one box reports it to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemovedEndpoint {
    /// The hash of its id.
    pub name: EndpointName,
    /// The store's revision at which its record was removed.
    pub revision: StoreRevision,
    /// When its last lifetime started, in Unix milliseconds, if known.
    #[serde(rename = "born_ms")]
    pub started_ms: Option<u64>,
}

/// An update of endpoints that one box sends to another.
///
/// It holds only the changes where possible, since a full list grows with the number of endpoints
/// and would go to every box on each change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointUpdate {
    /// The revision after which the changes came, or `None` for a full list.
    pub since: Option<StoreRevision>,
    /// The revision up to which the sending box knows all changes.
    pub revision: StoreRevision,
    /// All endpoints, or those that changed.
    pub endpoints: Vec<ReportedEndpoint>,
    /// The endpoints that were removed; empty in a full list.
    pub removed: Vec<RemovedEndpoint>,
    /// The sending box's [`EndpointRegistry::checksum`].
    #[serde(rename = "sum")]
    pub checksum: u64,
}

/// The outcome of merging an update from another box.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MergeOutcome {
    /// The changes that were applied; empty after a full list.
    pub changes: Vec<EndpointChange>,
    /// Whether anything changed.
    pub changed: bool,
    /// Whether both boxes now know the same, or this one knows more. Otherwise it needs a full
    /// list.
    pub agrees: bool,
}

impl EndpointRegistry {
    /// The time, in milliseconds, within which endpoints have rewritten their records after the
    /// store's return, as the users' notes on their store say.
    const REWRITE_WINDOW_MS: u64 = 2_000;

    /// Returns a checksum of the confirmed endpoints. Boxes at the same revision with the same
    /// checksum know the same endpoints.
    pub fn checksum(&self) -> u64 {
        let confirmed = self
            .iter()
            .filter(|(_, entry)| entry.unconfirmed().is_none());
        let hashes = confirmed.map(|(id, entry)| {
            let mut bytes = [0; 24];
            bytes[..8].copy_from_slice(&id.0.to_le_bytes());
            bytes[8..16].copy_from_slice(&entry.revision.era.to_le_bytes());
            bytes[16..].copy_from_slice(&entry.revision.number.to_le_bytes());
            xxh3_64(&bytes)
        });
        hashes.fold(0, u64::wrapping_add)
    }

    /// Returns the changes after revision `since`, or a full list if it is `NONE` or too old.
    pub fn update_since(&self, since: StoreRevision, now_ms: u64) -> EndpointUpdate {
        let known_from = self.full_list_at.max(self.history.forgotten());
        let since =
            Some(since).filter(|since| *since > StoreRevision::NONE && *since >= known_from);
        let after = since.unwrap_or_default();
        let entries = self.endpoints.values();
        let changed = entries.filter(|entry| since.is_none() || entry.newest_revision() > after);
        let removed = self.history.removed_after(after);
        let removed = removed.filter(|_| since.is_some());
        let deferred = self.history.deferred_after(after, now_ms);
        EndpointUpdate {
            since,
            revision: self.revision,
            endpoints: changed
                .map(|entry| entry.report(now_ms))
                .chain(deferred)
                .collect(),
            removed: removed
                .map(|(name, last)| RemovedEndpoint {
                    name,
                    revision: last.revision,
                    started_ms: last.started_ms,
                })
                .collect(),
            checksum: self.checksum(),
        }
    }

    /// Merges an update from another box.
    pub fn merge(&mut self, update: EndpointUpdate, now_ms: u64) -> MergeOutcome {
        let EndpointUpdate {
            since,
            revision,
            endpoints,
            removed,
            checksum,
        } = update;
        let names = endpoints.iter().map(|endpoint| endpoint.record.name());
        let names: HashSet<EndpointName> = names.collect();
        let unconfirmed = endpoints.iter().filter_map(|endpoint| {
            let record = endpoint.unconfirmed?;
            Some((endpoint.record.name(), record))
        });
        let unconfirmed: Vec<(EndpointName, UnconfirmedRecord)> = unconfirmed.collect();
        let endpoints = endpoints.into_iter();
        let endpoints: Vec<ReportedEndpoint> = endpoints
            .filter(|endpoint| !self.is_outdated(&endpoint.record, endpoint.revision))
            .collect();
        let reported = endpoints.into_iter();
        let reported = reported.map(|report| match report.delay_ms {
            Some(delay_ms) => EndpointChange::Deferred(report.record, report.revision, delay_ms),
            None => EndpointChange::Put(report.record, report.revision),
        });
        // In a new era the sending box may have listed the store before endpoints rewrote their
        // records.
        let is_new_era =
            revision.era > self.full_list_at.era && self.full_list_at > StoreRevision::NONE;
        let kept_until_ms = is_new_era.then_some(now_ms + Self::REWRITE_WINDOW_MS);
        let mut changes = Vec::new();
        let changed = match since {
            None => self.apply_list(reported.collect(), &names, revision, kept_until_ms),
            Some(_) => {
                for endpoint in removed {
                    changes.extend(self.merge_removed(endpoint));
                }
                changes.extend(reported.filter(|change| self.apply_change(change.clone(), None)));
                self.rebuild_index();
                !changes.is_empty()
            }
        };
        self.advance(revision);
        // The removal of an unconfirmed endpoint raises no revision, so its deadline is passed on.
        // It applies to whichever lifetime is known here, since the store had no record of the id.
        for (name, record) in unconfirmed {
            self.history.drop_deferred(name, record.revision);
            let known = self.entry_mut(name);
            if let Some(known) = known.filter(|known| known.revision < record.revision) {
                known.mark_unconfirmed(record.revision, now_ms + record.lapses_in_ms);
            }
        }
        MergeOutcome {
            changes,
            changed,
            agrees: since.is_none() || self.revision > revision || self.checksum() == checksum,
        }
    }

    /// Merges only the removals of an update from another box, and returns those that applied.
    ///
    /// They settle whether the endpoints that this box keeps without a record were removed.
    pub fn merge_removals(&mut self, removed: Vec<RemovedEndpoint>) -> Vec<EndpointChange> {
        let removed = removed.into_iter();
        let changes: Vec<EndpointChange> = removed
            .filter_map(|removed| self.merge_removed(removed))
            .collect();
        if !changes.is_empty() {
            self.rebuild_index();
        }
        changes
    }

    fn merge_removed(&mut self, removed: RemovedEndpoint) -> Option<EndpointChange> {
        let RemovedEndpoint {
            name,
            revision,
            started_ms,
        } = removed;
        let id = self.entry_mut(name).map(|entry| entry.record.id.clone());
        let is_gone = self.remove(name, revision, None);
        if self.entry_mut(name).is_none() {
            self.history.record_removal(
                name,
                LastLifetime {
                    revision,
                    started_ms,
                },
            );
        }
        let id = id.filter(|_| is_gone)?;
        Some(EndpointChange::Removed(id, revision))
    }
}
