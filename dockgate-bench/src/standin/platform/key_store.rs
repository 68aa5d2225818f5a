//! The content of the platform's store: items, revisions, leases and the history of changes.

use bytes::Bytes;
use dockgate_platform::{LeaseGrant, WireChanges, WireItem, WireRange, WireTxn, WireValue};
use serde::Serialize;
use serde_json::value::{RawValue, to_raw_value};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Maximum number of items per page.
const PAGE_ITEMS: usize = 500;
/// Maximum number of changes in the history.
const HISTORY_CHANGES: usize = 10_000;

#[derive(Debug, Clone, Copy)]
struct StoreLease {
    ttl_ms: u64,
    until: Instant,
}

/// The reason why a transaction was rejected.
pub(super) enum TxnRejection {
    /// A condition does not hold; contains the current items.
    Conflict(Vec<WireItem>),
    /// A lease does not exist.
    NoLease,
}

/// A page of items, each in encoded form.
#[derive(Debug, Serialize)]
pub(super) struct EncodedRange {
    entries: Vec<Box<RawValue>>,
    has_more: bool,
    timestamp: u64,
}

/// Changes since a revision, each in encoded form.
#[derive(Debug, Serialize)]
pub(super) struct EncodedChanges {
    events: Vec<Box<RawValue>>,
    timestamp: u64,
}

/// An in-memory key-value store.
#[derive(Debug, Clone, Default)]
pub(super) struct KeyStore {
    items: BTreeMap<String, WireItem>,
    leases: HashMap<u64, StoreLease>,
    history: VecDeque<WireItem>,
    /// The items of these revisions that are answered as other JSON.
    odd_items: HashMap<u64, Box<RawValue>>,
    /// Changes up to this revision were dropped from the history.
    dropped_revision: u64,
    revision: u64,
    last_lease: u64,
}

impl KeyStore {
    /// Returns the current revision.
    pub(super) const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns an item.
    pub(super) fn get(&self, key: &str) -> Option<&WireItem> {
        self.items.get(key)
    }

    /// Lists all keys.
    pub(super) fn keys(&self) -> Vec<String> {
        self.items.keys().cloned().collect()
    }

    /// Ends expired leases and removes their keys.
    pub(super) fn expire(&mut self) {
        let now = Instant::now();
        let expired = self.leases.iter().filter(|(_, lease)| lease.until <= now);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }

    fn append_change(&mut self, item: WireItem) {
        self.history.push_back(item);
        while self.history.len() > HISTORY_CHANGES {
            if let Some(dropped) = self.history.pop_front() {
                self.dropped_revision = dropped.revision;
            }
        }
    }

    /// Drops the history of changes.
    pub(super) fn forget_history(&mut self) {
        self.history.clear();
        self.dropped_revision = self.revision;
    }

    /// Writes a key.
    pub(super) fn write(&mut self, key: &str, value: Bytes, lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = WireItem {
            key_file: key.to_owned(),
            value: WireValue(value),
            revision: self.revision,
            created,
            lease,
            deleted: false,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.append_change(item);
    }

    /// Writes a key, and answers this JSON in place of its item until it changes.
    pub(super) fn write_odd(&mut self, key: &str, json: Box<RawValue>) {
        self.write(key, Bytes::new(), 0);
        self.odd_items.insert(self.revision, json);
    }

    fn encode_items(&self, items: &[WireItem]) -> Vec<Box<RawValue>> {
        let encoded = items.iter().map(|item| {
            let odd = self.odd_items.get(&item.revision).cloned();
            odd.unwrap_or_else(|| to_raw_value(item).expect("an item is serializable"))
        });
        encoded.collect()
    }

    /// Encodes a page of this store.
    pub(super) fn encode_range(&self, page: &WireRange) -> EncodedRange {
        EncodedRange {
            entries: self.encode_items(&page.entries),
            has_more: page.has_more,
            timestamp: page.timestamp,
        }
    }

    /// Encodes changes of this store.
    pub(super) fn encode_changes(&self, changes: &WireChanges) -> EncodedChanges {
        EncodedChanges {
            events: self.encode_items(&changes.events),
            timestamp: changes.timestamp,
        }
    }

    /// Removes a key, if it exists.
    pub(super) fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            self.append_change(WireItem {
                key_file: key.to_owned(),
                revision,
                deleted: true,
                ..WireItem::default()
            });
        }
    }

    /// Applies a transaction as a whole or rejects it.
    ///
    /// # Errors
    ///
    /// Returns an error if a condition does not hold or a lease does not exist.
    pub(super) fn transact(&mut self, txn: WireTxn) -> Result<u64, TxnRejection> {
        let revision_of = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let conditions = txn.expected_revision.iter();
        let failed =
            conditions.filter(|condition| revision_of(&condition.key_file) != condition.revision);
        if failed.count() > 0 {
            let keys = txn
                .expected_revision
                .iter()
                .map(|condition| &condition.key_file);
            return Err(TxnRejection::Conflict(
                keys.filter_map(|key| self.items.get(key).cloned())
                    .collect(),
            ));
        }
        let leases = txn.write.iter().map(|write| write.lease);
        if leases
            .filter(|lease| *lease > 0)
            .any(|lease| !self.leases.contains_key(&lease))
        {
            return Err(TxnRejection::NoLease);
        }
        for write in txn.write {
            self.write(&write.key_file, write.value.0, write.lease);
        }
        for key in &txn.remove {
            self.remove(key);
        }
        Ok(self.revision)
    }

    /// Returns a page of the items whose keys start with `prefix` and follow `after`.
    pub(super) fn page(&self, prefix: &str, after: &str) -> WireRange {
        let items = self.items.range(prefix.to_owned()..);
        let items = items.take_while(|(key, _)| key.starts_with(prefix));
        let mut items = items.filter(|(key, _)| after.is_empty() || key.as_str() > after);
        let entries: Vec<WireItem> = items
            .by_ref()
            .take(PAGE_ITEMS)
            .map(|(_, item)| item.clone())
            .collect();
        WireRange {
            entries,
            has_more: items.next().is_some(),
            timestamp: self.revision,
        }
    }

    /// Returns the changes since a revision of keys that start with `prefix`, or `None` if the
    /// history does not cover it.
    pub(super) fn changes(&self, prefix: &str, since: u64) -> Option<WireChanges> {
        if since < self.dropped_revision || since > self.revision {
            return None;
        }
        let events = self.history.iter().filter(|item| item.revision > since);
        let events = events.filter(|item| item.key_file.starts_with(prefix));
        Some(WireChanges {
            events: events.cloned().collect(),
            timestamp: self.revision,
        })
    }

    /// Grants a lease.
    pub(super) fn grant_lease(&mut self, ttl_ms: u64) -> LeaseGrant {
        self.last_lease += 1;
        let until = Instant::now() + Duration::from_millis(ttl_ms);
        self.leases
            .insert(self.last_lease, StoreLease { ttl_ms, until });
        LeaseGrant {
            id: self.last_lease,
            ttl_ms,
        }
    }

    /// Renews a lease; returns false if it does not exist.
    pub(super) fn renew(&mut self, lease: u64) -> bool {
        let lease = self.leases.get_mut(&lease);
        let renewed =
            lease.map(|lease| lease.until = Instant::now() + Duration::from_millis(lease.ttl_ms));
        renewed.is_some()
    }

    /// Ends a lease and removes its keys; returns false if it does not exist.
    pub(super) fn end_lease(&mut self, lease: u64) -> bool {
        let known = self.leases.remove(&lease).is_some();
        let keys = self
            .items
            .values()
            .filter(|item| known && item.lease == lease);
        let keys: Vec<String> = keys.map(|item| item.key_file.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
        known
    }
}
