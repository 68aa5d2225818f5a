//! The endpoints that this box knows of, and how far it trusts each.
//!
//! Records come from the platform's store, or from another box that reaches it. Each carries the
//! store's revision, and an older one never replaces a newer one. Records of endpoints that live may
//! lapse while the store is away; they are kept for a moment after its return, since the endpoints
//! need that long to write them again.
//!
//! The store may come back from an older copy. What it tells then is of a later era and replaces what is known by a
//! listing; what an endpoint had said before of its end stands, and what is missing is kept for the same moment.
//!
//! An endpoint may start again under its id. Of two lifetimes the one that started later counts, whatever the
//! revisions of their records: a write of the earlier one may be carried out late. What is believed of the
//! earlier one goes with it.

mod endpoint_entry;
mod endpoint_update;
mod lifetime_history;
mod service_availability;

pub use endpoint_entry::EndpointEntry;
pub use endpoint_update::{
    EndpointUpdate, MergeOutcome, RemovedEndpoint, ReportedEndpoint, UnconfirmedRecord,
};
pub use service_availability::ServiceAvailability;

use super::box_beat::DomainKey;
use super::domain_reach::DomainReach;
use super::endpoint_health::EndpointSign;
use super::endpoint_notice::EndpointNotice;
use super::notice_book::{NoticeBook, NoticeNews};
use super::route_table::{EndpointId, EndpointName, EndpointRecord, EndpointState};
use super::store_revision::StoreRevision;
use lifetime_history::{LastLifetime, LifetimeHistory};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

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
    Put(EndpointRecord, StoreRevision),
    /// It was written at this revision, and the box that tells of it does not use it for so many more milliseconds.
    Waiting(EndpointRecord, StoreRevision, u64),
    /// The record of this id was overwritten at this revision by one that names no endpoint to use.
    Unusable(String, StoreRevision),
    /// The record of this id was removed at this revision.
    Removed(String, StoreRevision),
}

impl EndpointChange {
    /// Returns the id that it is about.
    pub fn id(&self) -> &str {
        match self {
            Self::Put(record, _) | Self::Waiting(record, ..) => &record.id,
            Self::Unusable(id, _) | Self::Removed(id, _) => id,
        }
    }

    /// Returns the store's revision at which it came.
    pub const fn revision(&self) -> StoreRevision {
        match self {
            Self::Put(_, revision)
            | Self::Waiting(_, revision, _)
            | Self::Unusable(_, revision)
            | Self::Removed(_, revision) => *revision,
        }
    }
}

/// What came of the time that has passed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ExpiryChanges {
    /// The ids of endpoints whose records lapsed and did not come back.
    pub lapsed: Vec<String>,
    /// Records of an earlier start that are believed by now, as nothing newer came.
    pub adopted: Vec<EndpointChange>,
}

impl ExpiryChanges {
    /// Tells whether nothing has changed.
    pub const fn is_empty(&self) -> bool {
        self.lapsed.is_empty() && self.adopted.is_empty()
    }
}

/// The endpoints of all services.
#[derive(Debug, Clone, Default)]
pub struct EndpointRegistry {
    endpoints: BTreeMap<EndpointId, EndpointEntry>,
    /// Which lifetime of each id that is.
    lives: HashMap<EndpointName, EndpointId>,
    /// Those that take work, by service: worked out with each change, looked up with each request.
    ready: HashMap<String, Vec<ReadyEndpoint>>,
    memory: LifetimeHistory,
    notices: NoticeBook,
    reach: DomainReach,
    revision: StoreRevision,
    /// The revision of the last whole list that was taken in: what was removed before is not known.
    whole_at: StoreRevision,
    /// The same of the last whole list that came from the store itself.
    listed_at: StoreRevision,
}

impl EndpointRegistry {
    /// Returns the newest revision of a change that is known. Boxes with the same one know the same,
    /// but for a removal that one of them never saw.
    pub const fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Takes a change in; returns whether it changed what is believed.
    ///
    /// `kept_until_ms` is set while the store has just come back: a record removed now may lapse
    /// only because its endpoint could not renew it.
    pub fn apply(&mut self, change: EndpointChange, kept_until_ms: Option<u64>) -> bool {
        let changed = self.take(change, kept_until_ms);
        if changed {
            self.index();
        }
        changed
    }

    fn take(&mut self, change: EndpointChange, kept_until_ms: Option<u64>) -> bool {
        self.advance(change.revision());
        match change {
            EndpointChange::Put(record, revision) => self.put(record, revision),
            EndpointChange::Waiting(record, revision, waits_ms) => {
                self.wait_for(record, revision, waits_ms)
            }
            EndpointChange::Unusable(id, revision) => self.spoil(EndpointName::new(&id), revision),
            EndpointChange::Removed(id, revision) => {
                self.remove(EndpointName::new(&id), revision, kept_until_ms)
            }
        }
    }

    fn index(&mut self) {
        self.ready.clear();
        let notices = &self.notices;
        let entries = self.endpoints.iter().filter(|(id, entry)| {
            // Records tell late, or not at all while the store is away, what an answer has told already.
            entry.record.state == EndpointState::Ready && !notices.leaves(**id)
        });
        for (id, entry) in entries {
            let service = self.ready.entry(entry.record.service.clone()).or_default();
            service.push(ReadyEndpoint {
                id: *id,
                domain: DomainKey::from_name(&entry.record.domain),
            });
        }
    }

    /// Notes that all changes up to a revision are known.
    pub fn advance(&mut self, revision: StoreRevision) {
        self.revision = self.revision.max(revision);
    }

    /// Finds the lifetime of an id that is known.
    fn life_mut(&mut self, name: EndpointName) -> Option<&mut EndpointEntry> {
        let id = self.lives.get(&name)?;
        self.endpoints.get_mut(id)
    }

    /// Returns the last that is known of an id, whether it is there or was removed.
    fn last_life(&self, name: EndpointName) -> LastLifetime {
        let known = self.lives.get(&name);
        match known.and_then(|id| self.endpoints.get(id)) {
            Some(entry) => LastLifetime {
                revision: entry.newest_revision(),
                born_ms: entry.record.born_ms,
            },
            None => self.memory.removed(name),
        }
    }

    /// Takes in a record that the box which tells of it does not use yet: nor does this one, unless it knows of no
    /// reason.
    fn wait_for(&mut self, record: EndpointRecord, revision: StoreRevision, waits_ms: u64) -> bool {
        match () {
            () if self.endpoints.contains_key(&record.key()) => self.put(record, revision),
            () => {
                self.memory.set_aside_told(record, revision, waits_ms);
                false
            }
        }
    }

    /// Tells whether a lifetime that is not known, and of which another box tells, had been removed by then: it was
    /// missing in the store's list of this revision or a later one, or it is told of an era that is over.
    ///
    /// The list of another box proves no such thing within its era, as that box may have missed something.
    fn is_over(&self, record: &EndpointRecord, revision: StoreRevision) -> bool {
        let is_past = revision <= self.listed_at || revision.era < self.whole_at.era;
        is_past && !self.endpoints.contains_key(&record.key())
    }

    fn put(&mut self, record: EndpointRecord, revision: StoreRevision) -> bool {
        let name = record.name();
        if self.memory.is_removed(name, revision) {
            return false;
        }
        let last = self.last_life(name);
        let order = record.born_ms.cmp(&last.born_ms);
        match order {
            Ordering::Less if revision.era > last.revision.era => {
                self.memory.set_aside_returned(record, revision);
                return false;
            }
            Ordering::Less if revision > last.revision => {
                self.memory.set_aside(record, revision);
                return false;
            }
            Ordering::Less => return false,
            Ordering::Equal | Ordering::Greater => self.memory.drop_aside(name, revision),
        }
        match self.life_mut(name) {
            Some(known) if order.is_eq() => known.write(record, revision),
            _ => {
                self.begin_life(record, revision);
                true
            }
        }
    }

    /// Puts a lifetime in the place of the one that is known of its id; nothing of that one is kept.
    fn begin_life(&mut self, record: EndpointRecord, revision: StoreRevision) {
        let (name, id) = (record.name(), record.key());
        let before = self.lives.insert(name, id);
        let before = before.and_then(|before| self.endpoints.remove(&before));
        let missed = before.as_ref().and_then(EndpointEntry::doubt);
        let entry = EndpointEntry::new(record, revision).missed_since(missed);
        self.endpoints.insert(id, entry);
    }

    /// Forgets the lifetime of an id; returns what was known of it.
    fn end_life(&mut self, name: EndpointName, revision: StoreRevision) -> Option<EndpointEntry> {
        let id = self.lives.remove(&name);
        let ended = id.and_then(|id| self.endpoints.remove(&id));
        let born_ms = ended.as_ref().and_then(|ended| ended.record.born_ms);
        self.memory
            .note_removed(name, LastLifetime { revision, born_ms });
        ended
    }

    /// Notes that the record of an id names no endpoint to use.
    fn spoil(&mut self, name: EndpointName, revision: StoreRevision) -> bool {
        self.memory.drop_aside(name, revision);
        match self.life_mut(name) {
            Some(known) => known.spoil(revision),
            None => {
                // An older record of it may still be on the way.
                self.end_life(name, revision);
                false
            }
        }
    }

    fn remove(
        &mut self,
        name: EndpointName,
        revision: StoreRevision,
        kept_until_ms: Option<u64>,
    ) -> bool {
        self.memory.drop_aside(name, revision);
        let Some(known) = self.life_mut(name) else {
            // Its record may still be on the way.
            self.end_life(name, revision);
            return false;
        };
        // One that was draining is not expected back.
        match kept_until_ms {
            _ if known.revision >= revision => false,
            Some(until_ms) if known.record.state == EndpointState::Ready => {
                known.note_missed(revision, until_ms);
                false
            }
            _ => self.end_life(name, revision).is_some(),
        }
    }

    /// Takes the store's whole listing in, made at `revision`; returns whether it changed what is believed.
    pub fn replace(
        &mut self,
        listed: Vec<EndpointChange>,
        revision: StoreRevision,
        kept_until_ms: Option<u64>,
    ) -> bool {
        self.listed_at = self.listed_at.max(revision);
        let names = listed.iter().map(|change| EndpointName::new(change.id()));
        let names: HashSet<EndpointName> = names.collect();
        self.take_all(listed, &names, revision, kept_until_ms)
    }

    /// Takes a whole list in, the store's or another box's; endpoints that are not among the `names` are missing.
    fn take_all(
        &mut self,
        listed: Vec<EndpointChange>,
        names: &HashSet<EndpointName>,
        revision: StoreRevision,
        kept_until_ms: Option<u64>,
    ) -> bool {
        let mut changed = false;
        for change in listed {
            changed |= match change {
                EndpointChange::Put(record, revision)
                    if self.memory.is_returned(&record, revision) =>
                {
                    self.advance(revision);
                    self.memory.set_aside_returned(record, revision);
                    false
                }
                change => self.take(change, kept_until_ms),
            };
        }
        self.memory.keep_aside_only(names, revision);
        let known = self.lives.keys();
        let missing = known.filter(|name| !names.contains(name)).copied();
        let mut missing: Vec<EndpointName> = missing.collect();
        missing.sort_unstable();
        for name in missing {
            changed |= self.remove(name, revision, kept_until_ms);
        }
        self.whole_at = self.whole_at.max(revision);
        if changed {
            self.index();
        }
        changed
    }

    /// Forgets the endpoints whose records lapsed and did not come back, and what they said of themselves long ago;
    /// believes records of an earlier start that have stayed the newest.
    pub fn expire(&mut self, now_ms: u64) -> ExpiryChanges {
        let entries = self.endpoints.values();
        let lapsed = entries.filter_map(|entry| {
            let missed = entry.lapsed_revision(now_ms)?;
            Some((entry.record.name(), missed))
        });
        let lapsed: Vec<(EndpointName, StoreRevision)> = lapsed.collect();
        let lapsed = lapsed
            .into_iter()
            .filter_map(|(name, revision)| self.end_life(name, revision));
        let lapsed = lapsed.map(|ended| ended.record.id).collect();
        let mut adopted = Vec::new();
        for (record, revision) in self.memory.take_adopted(now_ms) {
            self.begin_life(record.clone(), revision);
            adopted.push(EndpointChange::Put(record, revision));
        }
        let endpoints = &self.endpoints;
        self.notices
            .expire(now_ms, |id| endpoints.contains_key(&id));
        let news = ExpiryChanges { lapsed, adopted };
        if !news.is_empty() {
            self.index();
        }
        news
    }

    /// Finds an endpoint.
    pub fn get(&self, id: EndpointId) -> Option<&EndpointEntry> {
        self.endpoints.get(&id)
    }

    /// Finds the lifetime of an id that is known.
    pub fn current_lifetime(&self, name: EndpointName) -> Option<EndpointId> {
        self.lives.get(&name).copied()
    }

    /// Lists all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointId, &EndpointEntry)> {
        self.endpoints.iter().map(|(id, entry)| (*id, entry))
    }

    /// Tells whether an endpoint may get work now, as far as it wants that, and as it and its failure domain are
    /// trusted.
    pub fn is_eligible(&self, id: EndpointId, now_ms: u64) -> bool {
        let entry = self.endpoints.get(&id);
        let is_trusted = entry.is_some_and(|entry| {
            entry.health.is_open(now_ms) && !self.reach.is_cut(&entry.record.domain)
        });
        is_trusted && self.notices.may_send(id, now_ms)
    }

    /// Tells when a service may have an endpoint that takes work, where it has none now.
    pub fn availability(&self, service: &str, now_ms: u64) -> ServiceAvailability {
        let ready = self.ready(service);
        let rests = ready
            .iter()
            .map(|ready| self.notices.rest_left(ready.id, now_ms));
        let rests: Option<Vec<Duration>> = rests.collect();
        let mut known = self.endpoints.values();
        match rests.map(|rests| rests.into_iter().min()) {
            Some(Some(first)) => ServiceAvailability::BackingOff(first),
            Some(None) if known.any(|entry| entry.record.service == service) => {
                ServiceAvailability::Leaving
            }
            _ => ServiceAvailability::Unknown,
        }
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
    pub fn eligible(
        &self,
        service: &str,
        now_ms: u64,
    ) -> impl Iterator<Item = (EndpointId, &EndpointEntry)> {
        let ready = self.ready_entries(service);
        ready.filter(move |(id, _)| self.is_eligible(*id, now_ms))
    }

    /// Notes that a request is sent to an endpoint.
    pub fn note_sent(&mut self, id: EndpointId, now_ms: u64) {
        if let Some(entry) = self.endpoints.get_mut(&id) {
            entry.in_flight += 1;
            entry.health.note_sent(now_ms);
        }
        self.notices.note_sent(id, now_ms);
    }

    /// Notes that a request has left an endpoint.
    pub fn note_request_ended(&mut self, id: EndpointId) {
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
        if sign == EndpointSign::Answered {
            self.notices.note_answered(id, now_ms);
        }
        // A connection that was open may break off long after a link was cut.
        if sign != EndpointSign::Failed {
            self.note_reach(id, sign != EndpointSign::Silent);
        }
    }

    /// Takes in what an endpoint says of itself in an answer; returns what is new in it. `draw` is a random number
    /// from 0 to 1.
    pub fn receive_notice(
        &mut self,
        id: EndpointId,
        notice: EndpointNotice,
        now_ms: u64,
        draw: f64,
    ) -> Vec<NoticeNews> {
        let news = self.notices.hear(id, notice, now_ms, draw);
        if news.contains(&NoticeNews::Leaves) {
            self.index();
        }
        news
    }

    /// Takes in another box's word that an endpoint leaves; returns whether it is believed.
    ///
    /// At most half of a service is given up on the word of others: a box that is wrong must not empty it.
    pub fn receive_reported_leave(&mut self, id: EndpointId, now_ms: u64) -> bool {
        let Some(entry) = self.endpoints.get(&id) else {
            return false;
        };
        let ready = self.ready(&entry.record.service);
        let told = ready
            .iter()
            .filter(|ready| ready.id != id && self.notices.is_said_to_leave(ready.id, now_ms));
        let is_believed = (told.count() + 1) * 2 <= ready.len();
        if is_believed {
            self.notices.hear_told(id, now_ms);
        }
        is_believed
    }

    /// Returns what endpoints have said of themselves in their answers.
    pub const fn notices(&self) -> &NoticeBook {
        &self.notices
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
mod era_tests;
#[cfg(test)]
mod lifetime_tests;
#[cfg(test)]
mod notice_tests;
#[cfg(test)]
mod tests;
