//! The state of the platform's store: items, revisions, leases, and the history of changes.

use bytes::Bytes;
use dockgate_platform::{LeaseGrant, WireChanges, WireItem, WireRange, WireTxn, WireValue};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

/// How many items one page holds.
const PAGE: usize = 500;
/// How many changes are remembered.
const HISTORY: usize = 10_000;

#[derive(Debug, Clone, Copy)]
struct StoreLease {
    ttl_ms: u64,
    until: Instant,
}

/// Why writes were not done.
pub(super) enum StoreRefusal {
    /// A condition does not hold; what is there instead.
    Conflict(Vec<WireItem>),
    /// The lease is over.
    NoLease,
}

/// The store.
#[derive(Debug, Clone, Default)]
pub(super) struct KeyStore {
    items: BTreeMap<String, WireItem>,
    leases: HashMap<u64, StoreLease>,
    history: VecDeque<WireItem>,
    /// Changes up to this revision are forgotten.
    forgotten: u64,
    revision: u64,
    last_lease: u64,
}

impl KeyStore {
    /// Returns the revision of the last change.
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

    /// Ends the leases whose time is over.
    pub(super) fn expire(&mut self) {
        let now = Instant::now();
        let over = self.leases.iter().filter(|(_, lease)| lease.until <= now);
        let over: Vec<u64> = over.map(|(id, _)| *id).collect();
        for lease in over {
            self.end_lease(lease);
        }
    }

    fn record(&mut self, item: WireItem) {
        self.history.push_back(item);
        while self.history.len() > HISTORY {
            if let Some(gone) = self.history.pop_front() {
                self.forgotten = gone.revision;
            }
        }
    }

    /// Forgets all changes so far.
    pub(super) fn forget_history(&mut self) {
        self.history.clear();
        self.forgotten = self.revision;
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
        self.record(item);
    }

    /// Removes a key, if it is there.
    pub(super) fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            self.record(WireItem {
                key_file: key.to_owned(),
                revision,
                deleted: true,
                ..WireItem::default()
            });
        }
    }

    /// Does everything or nothing.
    pub(super) fn transact(&mut self, txn: WireTxn) -> Result<u64, StoreRefusal> {
        let revision_of = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let conditions = txn.expected_revision.iter();
        let broken =
            conditions.filter(|condition| revision_of(&condition.key_file) != condition.revision);
        if broken.count() > 0 {
            let keys = txn
                .expected_revision
                .iter()
                .map(|condition| &condition.key_file);
            return Err(StoreRefusal::Conflict(
                keys.filter_map(|key| self.items.get(key).cloned())
                    .collect(),
            ));
        }
        let leases = txn.write.iter().map(|write| write.lease);
        if leases
            .filter(|lease| *lease > 0)
            .any(|lease| !self.leases.contains_key(&lease))
        {
            return Err(StoreRefusal::NoLease);
        }
        for write in txn.write {
            self.write(&write.key_file, write.value.0, write.lease);
        }
        for key in &txn.remove {
            self.remove(key);
        }
        Ok(self.revision)
    }

    /// Returns the items that begin with `prefix` and stand behind `after`.
    pub(super) fn page(&self, prefix: &str, after: &str) -> WireRange {
        let items = self.items.range(prefix.to_owned()..);
        let items = items.take_while(|(key, _)| key.starts_with(prefix));
        let mut items = items.filter(|(key, _)| after.is_empty() || key.as_str() > after);
        let entries: Vec<WireItem> = items
            .by_ref()
            .take(PAGE)
            .map(|(_, item)| item.clone())
            .collect();
        WireRange {
            entries,
            has_more: items.next().is_some(),
            timestamp: self.revision,
        }
    }

    /// Returns the changes of keys that begin with `prefix`, or none where they are forgotten.
    pub(super) fn changes(&self, prefix: &str, since: u64) -> Option<WireChanges> {
        if since < self.forgotten || since > self.revision {
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

    /// Renews a lease; returns false where it is over.
    pub(super) fn renew(&mut self, lease: u64) -> bool {
        let lease = self.leases.get_mut(&lease);
        let renewed =
            lease.map(|lease| lease.until = Instant::now() + Duration::from_millis(lease.ttl_ms));
        renewed.is_some()
    }

    /// Ends a lease and removes its keys; returns false where it was over.
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
