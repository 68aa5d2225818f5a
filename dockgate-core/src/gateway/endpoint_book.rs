//! The endpoints that this box knows of, and how far it trusts each.
//!
//! Records come from the platform's store, or from another box that reaches it. Each carries the
//! store's revision, and an older one never replaces a newer one. Records of endpoints that live may
//! lapse while the store is away; they are kept for a moment after its return, since the endpoints
//! need that long to write them again.

mod endpoint_news;

pub use endpoint_news::{EndpointNews, LearnedNews, RemovedEndpoint, ToldDoubt, ToldEndpoint};

use super::box_beat::DomainKey;
use super::domain_reach::DomainReach;
use super::endpoint_health::{EndpointHealth, EndpointSign};
use super::route_table::{EndpointId, EndpointRecord, EndpointState};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, HashSet};

/// One endpoint as this box sees it.
#[derive(Debug, Clone)]
pub struct EndpointEntry {
    /// What it says of itself.
    pub record: EndpointRecord,
    /// The store's revision of the record.
    pub revision: u64,
    /// How far it is trusted.
    pub health: EndpointHealth,
    /// Requests of this box that it has.
    pub in_flight: u32,
    /// Set where its record is missing, and may only have lapsed.
    doubt: Option<EntryDoubt>,
}

impl EndpointEntry {
    /// Notes that its record was missing at this revision, and until when it is kept; the time does not
    /// move once it is named.
    fn note_missed(&mut self, revision: u64, until_ms: u64) {
        let doubt = self.doubt.get_or_insert(EntryDoubt { revision, until_ms });
        doubt.revision = doubt.revision.max(revision);
    }
}

/// An endpoint is kept although the store has no record of it.
///
/// The record keeps its own revision beside that at which it was missed: told on with the later one it
/// would replace what other boxes know for certain. An engine that had left got prompts 4.4 s later,
/// since dozens of boxes that had heard it removed took it back from one that kept it in doubt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct EntryDoubt {
    /// The store's revision at which it was missed.
    revision: u64,
    /// Until when it is kept.
    until_ms: u64,
}

/// An endpoint that takes work, unless it rests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadyEndpoint {
    /// The endpoint.
    pub id: EndpointId,
    /// Its failure domain.
    pub domain: DomainKey,
}

/// A record that was written or removed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointChange {
    /// It was written at this revision.
    Put(EndpointRecord, u64),
    /// The record of this lifetime id was removed at this revision.
    Removed(String, u64),
}

/// The endpoints of all services.
#[derive(Debug, Clone, Default)]
pub struct EndpointBook {
    endpoints: BTreeMap<EndpointId, EndpointEntry>,
    /// Those that take work, by service: worked out with each change, looked up with each request.
    ready: HashMap<String, Vec<ReadyEndpoint>>,
    /// Revisions at which endpoints were removed, so that a late record does not bring one back.
    removed: HashMap<EndpointId, u64>,
    reach: DomainReach,
    revision: u64,
    /// The revision of the last whole list that was taken in: what was removed before is not known.
    whole_at: u64,
    /// The newest revision of a removal that is not remembered any more.
    forgotten: u64,
}

impl EndpointBook {
    /// How many removed endpoints are remembered.
    const MOST_REMOVED: usize = 4_096;

    /// Returns the newest revision of a change that is known. Boxes with the same one know the same,
    /// but for a removal that one of them never saw.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes a change in; returns whether it changed what is believed.
    ///
    /// `kept_until_ms` is set while the store has just come back: a record removed now may lapse
    /// only because its endpoint could not renew it.
    pub fn apply(&mut self, change: EndpointChange, kept_until_ms: Option<u64>) -> bool {
        let changed = match change {
            EndpointChange::Put(record, revision) => {
                self.advance(revision);
                self.put(record, revision)
            }
            EndpointChange::Removed(id, revision) => {
                self.advance(revision);
                self.remove(EndpointId::from_name(&id), revision, kept_until_ms)
            }
        };
        if changed {
            self.index();
        }
        changed
    }

    fn index(&mut self) {
        self.ready.clear();
        let entries = self.endpoints.iter();
        for (id, entry) in entries.filter(|(_, entry)| entry.record.state == EndpointState::Ready) {
            let service = self.ready.entry(entry.record.service.clone()).or_default();
            service.push(ReadyEndpoint {
                id: *id,
                domain: DomainKey::from_name(&entry.record.domain),
            });
        }
    }

    /// Notes that all changes up to a revision are known.
    pub fn advance(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    fn put(&mut self, record: EndpointRecord, revision: u64) -> bool {
        let id = record.key();
        if self
            .removed
            .get(&id)
            .is_some_and(|removed| *removed >= revision)
        {
            return false;
        }
        match self.endpoints.get_mut(&id) {
            Some(known) if known.revision >= revision => false,
            // Written before it was missed.
            Some(known) if known.doubt.is_some_and(|doubt| doubt.revision >= revision) => false,
            Some(known) => {
                let changed = known.record != record || known.doubt.is_some();
                known.record = record;
                known.revision = revision;
                known.doubt = None;
                changed
            }
            None => {
                let entry = EndpointEntry {
                    record,
                    revision,
                    health: EndpointHealth::default(),
                    in_flight: 0,
                    doubt: None,
                };
                self.endpoints.insert(id, entry);
                true
            }
        }
    }

    fn remove(&mut self, id: EndpointId, revision: u64, kept_until_ms: Option<u64>) -> bool {
        let Some(known) = self.endpoints.get_mut(&id) else {
            // Its record may still be on the way.
            self.bury(id, revision);
            return false;
        };
        // One that was draining is not expected back.
        match kept_until_ms {
            _ if known.revision >= revision => false,
            Some(until_ms) if known.record.state == EndpointState::Ready => {
                known.note_missed(revision, until_ms);
                false
            }
            _ => {
                self.endpoints.remove(&id);
                self.bury(id, revision);
                true
            }
        }
    }

    fn bury(&mut self, id: EndpointId, revision: u64) {
        if self.removed.len() >= Self::MOST_REMOVED {
            let oldest = self.removed.iter().min_by_key(|(_, revision)| **revision);
            if let Some((id, revision)) = oldest.map(|(id, revision)| (*id, *revision)) {
                self.removed.remove(&id);
                self.forgotten = self.forgotten.max(revision);
            }
        }
        let removed = self.removed.entry(id).or_default();
        *removed = revision.max(*removed);
    }

    /// Takes a whole listing in, made at `revision`; returns whether it changed what is believed.
    pub fn replace(
        &mut self,
        records: Vec<(EndpointRecord, u64)>,
        revision: u64,
        kept_until_ms: Option<u64>,
    ) -> bool {
        let listed: HashSet<EndpointId> = records.iter().map(|(record, _)| record.key()).collect();
        self.whole_at = self.whole_at.max(revision);
        let mut changed = false;
        for (record, revision) in records {
            self.advance(revision);
            changed |= self.put(record, revision);
        }
        let missing: Vec<EndpointId> = self
            .endpoints
            .keys()
            .filter(|id| !listed.contains(id))
            .copied()
            .collect();
        for id in missing {
            changed |= self.remove(id, revision, kept_until_ms);
        }
        if changed {
            self.index();
        }
        changed
    }

    /// Forgets the endpoints whose records lapsed and did not come back; returns their
    /// lifetime ids.
    pub fn expire(&mut self, now_ms: u64) -> Vec<String> {
        let entries = self.endpoints.iter();
        let over = entries.filter_map(|(id, entry)| {
            let doubt = entry.doubt.filter(|doubt| doubt.until_ms <= now_ms)?;
            Some((*id, doubt.revision))
        });
        let lapsed: Vec<(EndpointId, u64)> = over.collect();
        let mut names = Vec::new();
        for (id, revision) in lapsed {
            names.extend(self.endpoints.remove(&id).map(|entry| entry.record.id));
            self.bury(id, revision);
        }
        if !names.is_empty() {
            self.index();
        }
        names
    }

    /// Finds an endpoint.
    pub fn get(&self, id: EndpointId) -> Option<&EndpointEntry> {
        self.endpoints.get(&id)
    }

    /// Lists all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointId, &EndpointEntry)> {
        self.endpoints.iter().map(|(id, entry)| (*id, entry))
    }

    /// Tells whether an endpoint may get work now, as far as it and its failure domain are trusted.
    pub fn is_open(&self, entry: &EndpointEntry, now_ms: u64) -> bool {
        entry.health.is_open(now_ms) && !self.reach.is_cut(&entry.record.domain)
    }

    /// Lists the endpoints of a service that take work, also those that rest after failures.
    pub fn ready(&self, service: &str) -> &[ReadyEndpoint] {
        self.ready.get(service).map_or(&[], Vec::as_slice)
    }

    /// Lists the endpoints of a service that take work, with what is known of them.
    pub fn ready_entries(
        &self,
        service: &str,
    ) -> impl Iterator<Item = (EndpointId, &EndpointEntry)> {
        let ready = self.ready(service).iter();
        ready.filter_map(|ready| Some((ready.id, self.endpoints.get(&ready.id)?)))
    }

    /// Lists the endpoints of a service that may get work now.
    pub fn open(
        &self,
        service: &str,
        now_ms: u64,
    ) -> impl Iterator<Item = (EndpointId, &EndpointEntry)> {
        let ready = self.ready_entries(service);
        ready.filter(move |(_, entry)| self.is_open(entry, now_ms))
    }

    /// Notes that a request is sent to an endpoint.
    pub fn note_sent(&mut self, id: EndpointId, now_ms: u64) {
        if let Some(entry) = self.endpoints.get_mut(&id) {
            entry.in_flight += 1;
            entry.health.note_sent(now_ms);
        }
    }

    /// Notes that a request has left an endpoint.
    pub fn note_left(&mut self, id: EndpointId) {
        if let Some(entry) = self.endpoints.get_mut(&id) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    /// Notes what was seen of an endpoint.
    pub fn note_sign(&mut self, id: EndpointId, sign: EndpointSign, now_ms: u64) {
        let Some(entry) = self.endpoints.get_mut(&id) else {
            return;
        };
        entry.health.note(sign, now_ms);
        // A connection that was open may break off long after a link was cut.
        if sign != EndpointSign::Failed {
            self.note_reach(id, sign != EndpointSign::Silent);
        }
    }

    /// Returns which failure domains cannot be reached.
    pub const fn reach(&self) -> &DomainReach {
        &self.reach
    }

    /// Notes what came of a try to reach a failure domain through one of its endpoints.
    pub fn note_reach(&mut self, id: EndpointId, answered: bool) {
        let Some(entry) = self.endpoints.get(&id) else {
            return;
        };
        match answered {
            true => self.reach.note_answer(&entry.record.domain),
            false => self.reach.note_silent(&entry.record.domain, id),
        }
    }
}

#[cfg(test)]
mod tests;
