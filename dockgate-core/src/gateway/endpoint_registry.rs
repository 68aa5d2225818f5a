//! The endpoints known to this box and the health of each.
//!
//! Records come from the platform's store, or from another box that reaches it. Each carries the
//! store's revision, and an older record never replaces a newer one. Records of live endpoints may
//! expire while the store is unreachable, so they are kept for a moment after it returns, until the
//! endpoints have had time to rewrite them.
//!
//! A store that is restored from an older copy starts a new era. Its listing then replaces what is
//! known, except that an endpoint known to be draining stays so, and endpoints missing from the
//! listing are kept for the same moment.
//!
//! An endpoint may restart under its id. Of two lifetimes the one that started later is current,
//! whatever the revisions of their records, since a write of the earlier one may be applied late.
//! The health and the request count of the earlier lifetime are discarded with it.

mod endpoint_entry;
mod endpoint_objection;
mod endpoint_update;
mod lifetime_history;
mod service_availability;

pub use endpoint_entry::EndpointEntry;
pub use endpoint_objection::EndpointObjection;
pub use endpoint_update::{
    EndpointUpdate, MergeOutcome, RemovedEndpoint, ReportedEndpoint, UnconfirmedRecord,
};
pub use service_availability::ServiceAvailability;

use super::box_heartbeat::DomainKey;
use super::domain_reachability::DomainReachability;
use super::endpoint_health::EndpointOutcome;
use super::endpoint_notice::EndpointNotice;
use super::evacuation_orders::EvacuationOrders;
use super::notice_registry::{NoticeRegistry, NoticeUpdate};
use super::rendezvous::name_hash;
use super::route_table::{EndpointId, EndpointName, EndpointRecord, EndpointState};
use super::software_version::SoftwareVersion;
use super::store_revision::StoreRevision;
use super::version_history::ServiceVersion;
use lifetime_history::{LastLifetime, LifetimeHistory};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

/// An endpoint that accepts requests, unless it is backing off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadyEndpoint {
    /// The lifetime of the endpoint.
    pub id: EndpointId,
    /// Its failure domain.
    pub domain: DomainKey,
    /// The version of its software.
    pub version: SoftwareVersion,
}

/// A change of an endpoint's record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointChange {
    /// The record was written at this revision.
    Put(EndpointRecord, StoreRevision),
    /// The record was written at this revision, and the reporting box defers its use for this many
    /// more milliseconds.
    #[serde(rename = "Waiting")]
    Deferred(EndpointRecord, StoreRevision, u64),
    /// The record of this id was overwritten at this revision by one that describes no usable
    /// endpoint.
    Unusable(String, StoreRevision),
    /// The record of this id was removed at this revision.
    Removed(String, StoreRevision),
}

impl EndpointChange {
    /// Returns the id of the endpoint.
    pub fn id(&self) -> &str {
        match self {
            Self::Put(record, _) | Self::Deferred(record, ..) => &record.id,
            Self::Unusable(id, _) | Self::Removed(id, _) => id,
        }
    }

    /// Returns the store's revision of the change.
    pub const fn revision(&self) -> StoreRevision {
        match self {
            Self::Put(_, revision)
            | Self::Deferred(_, revision, _)
            | Self::Unusable(_, revision)
            | Self::Removed(_, revision) => *revision,
        }
    }
}

/// The changes made by [`EndpointRegistry::expire`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ExpiryChanges {
    /// The ids of endpoints whose records expired and were not rewritten in time.
    pub lapsed: Vec<String>,
    /// Deferred records that became current because nothing newer arrived.
    pub adopted: Vec<EndpointChange>,
}

impl ExpiryChanges {
    /// Returns whether nothing changed.
    pub const fn is_empty(&self) -> bool {
        self.lapsed.is_empty() && self.adopted.is_empty()
    }
}

/// The endpoints of all services.
#[derive(Debug, Clone, Default)]
pub struct EndpointRegistry {
    endpoints: BTreeMap<EndpointId, EndpointEntry>,
    /// The current lifetime of each id.
    lifetimes: HashMap<EndpointName, EndpointId>,
    /// The endpoints that accept requests, by service; rebuilt on each change.
    ready: HashMap<String, Vec<ReadyEndpoint>>,
    /// The software versions of all endpoints, in any state; rebuilt on each change.
    versions: BTreeSet<ServiceVersion>,
    history: LifetimeHistory,
    notices: NoticeRegistry,
    evacuations: EvacuationOrders,
    reachability: DomainReachability,
    revision: StoreRevision,
    /// The revision of the newest full list that was applied. Removals before it are unknown.
    full_list_at: StoreRevision,
    /// The revision of the newest full list that came from the store itself.
    store_list_at: StoreRevision,
}

impl EndpointRegistry {
    /// Returns the newest known revision. Boxes at the same revision know the same endpoints,
    /// unless one of them missed a removal.
    pub const fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns whether any endpoint is kept although its record is missing.
    pub fn has_unconfirmed(&self) -> bool {
        let mut entries = self.endpoints.values();
        entries.any(|entry| entry.unconfirmed().is_some())
    }

    /// Applies a change and returns whether it changed the known endpoints.
    ///
    /// `kept_until_ms` is set shortly after the store returned: a record removed then may have
    /// expired only because its endpoint could not renew it, so the endpoint is kept until that
    /// time.
    pub fn apply(&mut self, change: EndpointChange, kept_until_ms: Option<u64>) -> bool {
        let changed = self.apply_change(change, kept_until_ms);
        if changed {
            self.rebuild_index();
        }
        changed
    }

    /// Applies changes in order and returns those that changed the known endpoints; see
    /// [`EndpointRegistry::apply`].
    pub fn apply_all(
        &mut self,
        changes: Vec<EndpointChange>,
        kept_until_ms: Option<u64>,
    ) -> Vec<EndpointChange> {
        let changes = changes.into_iter();
        let changed: Vec<EndpointChange> = changes
            .filter(|change| self.apply_change(change.clone(), kept_until_ms))
            .collect();
        if !changed.is_empty() {
            self.rebuild_index();
        }
        changed
    }

    fn apply_change(&mut self, change: EndpointChange, kept_until_ms: Option<u64>) -> bool {
        self.advance(change.revision());
        match change {
            EndpointChange::Put(record, revision) => self.put(record, revision),
            EndpointChange::Deferred(record, revision, delay_ms) => {
                self.put_deferred(record, revision, delay_ms)
            }
            EndpointChange::Unusable(id, revision) => {
                self.disable(EndpointName::new(&id), revision)
            }
            EndpointChange::Removed(id, revision) => {
                self.remove(EndpointName::new(&id), revision, kept_until_ms)
            }
        }
    }

    fn rebuild_index(&mut self) {
        self.ready.clear();
        let entries = self.endpoints.values();
        self.versions = entries.map(EndpointEntry::service_version).collect();
        let (notices, evacuations) = (&self.notices, &self.evacuations);
        let entries = self.endpoints.iter().filter(|(id, entry)| {
            // Answers announce that an endpoint leaves before its record does.
            let is_leaving = notices.leaves(**id);
            let is_evacuated = evacuations.is_evacuated(entry.domain());
            entry.record.state == EndpointState::Ready && !is_leaving && !is_evacuated
        });
        for (id, entry) in entries {
            let ready = ReadyEndpoint {
                id: *id,
                domain: entry.domain(),
                version: entry.service_version().version,
            };
            match self.ready.get_mut(&entry.record.service) {
                Some(service) => service.push(ready),
                None => drop(self.ready.insert(entry.record.service.clone(), vec![ready])),
            }
        }
    }

    /// Records that all changes up to a revision are known.
    pub fn advance(&mut self, revision: StoreRevision) {
        self.revision = self.revision.max(revision);
    }

    /// Returns the entry of the current lifetime of an id.
    fn entry_mut(&mut self, name: EndpointName) -> Option<&mut EndpointEntry> {
        let id = self.lifetimes.get(&name)?;
        self.endpoints.get_mut(id)
    }

    /// Returns the last known state of an id, whether it is present or was removed.
    fn last_known(&self, name: EndpointName) -> LastLifetime {
        let known = self.lifetimes.get(&name);
        match known.and_then(|id| self.endpoints.get(id)) {
            Some(entry) => LastLifetime {
                revision: entry.newest_revision(),
                started_ms: entry.record.started_ms,
            },
            None => self.history.removed(name),
        }
    }

    /// Applies a record that the reporting box defers. It is deferred here as well, unless its
    /// lifetime is already in use.
    fn put_deferred(
        &mut self,
        record: EndpointRecord,
        revision: StoreRevision,
        delay_ms: u64,
    ) -> bool {
        match () {
            () if self.endpoints.contains_key(&record.key()) => self.put(record, revision),
            () => {
                self.history.defer_reported(record, revision, delay_ms);
                false
            }
        }
    }

    /// Returns whether a reported lifetime that is unknown here had been removed by then: it was
    /// missing from the store's list of this revision or a later one, or its era is over.
    ///
    /// Only lists from the store count within an era, since another box may have missed a record.
    fn is_outdated(&self, record: &EndpointRecord, revision: StoreRevision) -> bool {
        let is_past = revision <= self.store_list_at || revision.era < self.full_list_at.era;
        is_past && !self.endpoints.contains_key(&record.key())
    }

    fn put(&mut self, record: EndpointRecord, revision: StoreRevision) -> bool {
        let name = record.name();
        if self.history.is_removed(name, revision) {
            return false;
        }
        let last = self.last_known(name);
        let order = record.started_ms.cmp(&last.started_ms);
        match order {
            Ordering::Less if revision.era > last.revision.era => {
                self.history.defer_restored(record, revision);
                return false;
            }
            Ordering::Less if revision > last.revision => {
                self.history.defer(record, revision);
                return false;
            }
            Ordering::Less => return false,
            Ordering::Equal | Ordering::Greater => self.history.drop_deferred(name, revision),
        }
        match self.entry_mut(name) {
            Some(known) if order.is_eq() => known.write(record, revision),
            _ => {
                self.start_lifetime(record, revision);
                true
            }
        }
    }

    /// Starts tracking a lifetime and discards the previous one of its id.
    fn start_lifetime(&mut self, record: EndpointRecord, revision: StoreRevision) {
        let (name, id) = (record.name(), record.key());
        let previous = self.lifetimes.insert(name, id);
        let previous = previous.and_then(|previous| self.remove_entry(previous));
        let unconfirmed = previous.as_ref().and_then(EndpointEntry::unconfirmed);
        let entry = EndpointEntry::new(record, revision).with_unconfirmed(unconfirmed);
        self.endpoints.insert(id, entry);
    }

    /// Removes the entry of a lifetime, whose end is remembered.
    fn remove_entry(&mut self, id: EndpointId) -> Option<EndpointEntry> {
        self.history.record_end(id);
        self.endpoints.remove(&id)
    }

    /// Removes the current lifetime of an id and returns its entry.
    fn end_lifetime(
        &mut self,
        name: EndpointName,
        revision: StoreRevision,
    ) -> Option<EndpointEntry> {
        let id = self.lifetimes.remove(&name);
        let ended = id.and_then(|id| self.remove_entry(id));
        let started_ms = ended.as_ref().and_then(|ended| ended.record.started_ms);
        self.history.record_removal(
            name,
            LastLifetime {
                revision,
                started_ms,
            },
        );
        ended
    }

    /// Handles a record that describes no usable endpoint.
    fn disable(&mut self, name: EndpointName, revision: StoreRevision) -> bool {
        self.history.drop_deferred(name, revision);
        match self.entry_mut(name) {
            Some(known) => known.disable(revision),
            None => {
                // An older record may still arrive; the removal keeps it from being applied.
                self.end_lifetime(name, revision);
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
        self.history.drop_deferred(name, revision);
        let Some(known) = self.entry_mut(name) else {
            // Its record may still arrive.
            self.end_lifetime(name, revision);
            return false;
        };
        // A draining endpoint is not expected to rewrite its record.
        match kept_until_ms {
            _ if known.revision >= revision => false,
            Some(until_ms) if known.record.state == EndpointState::Ready => {
                known.mark_unconfirmed(revision, until_ms);
                false
            }
            _ => self.end_lifetime(name, revision).is_some(),
        }
    }

    /// Replaces the known endpoints by the store's full list as of `revision` and returns whether
    /// anything changed.
    pub fn replace(
        &mut self,
        listed: Vec<EndpointChange>,
        revision: StoreRevision,
        kept_until_ms: Option<u64>,
    ) -> bool {
        self.store_list_at = self.store_list_at.max(revision);
        let names = listed.iter().map(|change| EndpointName::new(change.id()));
        let names: HashSet<EndpointName> = names.collect();
        self.apply_list(listed, &names, revision, kept_until_ms)
    }

    /// Applies a full list of the store or of another box. Endpoints that are not in `names` are
    /// missing from it.
    fn apply_list(
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
                    if self.history.is_restored(&record, revision) =>
                {
                    self.advance(revision);
                    self.history.defer_restored(record, revision);
                    false
                }
                change => self.apply_change(change, kept_until_ms),
            };
        }
        self.history.retain_deferred(names, revision);
        let known = self.lifetimes.keys();
        let missing = known.filter(|name| !names.contains(name)).copied();
        let mut missing: Vec<EndpointName> = missing.collect();
        missing.sort_unstable();
        for name in missing {
            changed |= self.remove(name, revision, kept_until_ms);
        }
        self.full_list_at = self.full_list_at.max(revision);
        if changed {
            self.rebuild_index();
        }
        changed
    }

    /// Removes the endpoints whose records expired and were not rewritten, adopts the deferred
    /// records that are due, and forgets old notices.
    pub fn expire(&mut self, now_ms: u64) -> ExpiryChanges {
        let entries = self.endpoints.values();
        let lapsed = entries.filter_map(|entry| {
            let revision = entry.lapsed_revision(now_ms)?;
            Some((entry.record.name(), revision))
        });
        let lapsed: Vec<(EndpointName, StoreRevision)> = lapsed.collect();
        let lapsed = lapsed
            .into_iter()
            .filter_map(|(name, revision)| self.end_lifetime(name, revision));
        let lapsed = lapsed.map(|ended| ended.record.id).collect();
        let mut adopted = Vec::new();
        for (record, revision) in self.history.take_due(now_ms) {
            self.start_lifetime(record.clone(), revision);
            adopted.push(EndpointChange::Put(record, revision));
        }
        let endpoints = &self.endpoints;
        self.notices
            .expire(now_ms, |id| endpoints.contains_key(&id));
        let changes = ExpiryChanges { lapsed, adopted };
        if !changes.is_empty() {
            self.rebuild_index();
        }
        changes
    }

    /// Returns the entry of an endpoint's lifetime.
    pub fn get(&self, id: EndpointId) -> Option<&EndpointEntry> {
        self.endpoints.get(&id)
    }

    /// Returns the current lifetime of an id.
    pub fn current_lifetime(&self, name: EndpointName) -> Option<EndpointId> {
        self.lifetimes.get(&name).copied()
    }

    /// Iterates over all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointId, &EndpointEntry)> {
        self.endpoints.iter().map(|(id, entry)| (*id, entry))
    }

    /// Returns whether an endpoint may be sent a request now, by its health, its notices and the
    /// reachability of its failure domain.
    pub fn is_eligible(&self, id: EndpointId, now_ms: u64) -> bool {
        let entry = self.endpoints.get(&id);
        let is_healthy = entry.is_some_and(|entry| {
            entry.health.is_available(now_ms)
                && !self.reachability.is_unreachable(&entry.record.domain)
        });
        is_healthy && self.notices.may_send(id, now_ms)
    }

    /// Returns when a service that has no eligible endpoint may have one again.
    pub fn availability(&self, service: &str, now_ms: u64) -> ServiceAvailability {
        let ready = self.ready(service);
        let backoffs = ready
            .iter()
            .map(|ready| self.notices.remaining_backoff(ready.id, now_ms));
        let backoffs: Option<Vec<Duration>> = backoffs.collect();
        let mut known = self.endpoints.values();
        match backoffs.map(|backoffs| backoffs.into_iter().min()) {
            Some(Some(first)) => ServiceAvailability::BackingOff(first),
            Some(None) if known.any(|entry| entry.record.service == service) => {
                ServiceAvailability::Leaving
            }
            _ => ServiceAvailability::Unknown,
        }
    }

    /// Returns the endpoints of a service that accept requests, including those that back off after
    /// failures.
    pub fn ready(&self, service: &str) -> &[ReadyEndpoint] {
        self.ready.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the software versions of all endpoints.
    pub fn versions(&self) -> impl Iterator<Item = ServiceVersion> {
        self.versions.iter().copied()
    }

    /// Returns the software versions of the endpoints that accept requests.
    pub fn ready_versions(&self) -> BTreeSet<ServiceVersion> {
        let versions = self.ready.iter().flat_map(|(service, ready)| {
            let service = name_hash(service);
            ready.iter().map(move |ready| ServiceVersion {
                service,
                version: ready.version,
            })
        });
        versions.collect()
    }

    /// Returns the endpoints of a service that accept requests, with their entries.
    pub fn ready_entries(
        &self,
        service: &str,
    ) -> impl Iterator<Item = (EndpointId, &EndpointEntry)> {
        let ready = self.ready(service).iter();
        ready.filter_map(|ready| Some((ready.id, self.endpoints.get(&ready.id)?)))
    }

    /// Returns the endpoints of a service that may be sent a request now.
    pub fn eligible(
        &self,
        service: &str,
        now_ms: u64,
    ) -> impl Iterator<Item = (EndpointId, &EndpointEntry)> {
        let ready = self.ready_entries(service);
        ready.filter(move |(id, _)| self.is_eligible(*id, now_ms))
    }

    /// Records that a request is sent to an endpoint.
    pub fn note_sent(&mut self, id: EndpointId, now_ms: u64) {
        if let Some(entry) = self.endpoints.get_mut(&id) {
            entry.in_flight += 1;
            entry.health.note_sent(now_ms);
        }
        self.notices.note_sent(id, now_ms);
    }

    /// Records that a request to an endpoint has ended.
    pub fn note_request_ended(&mut self, id: EndpointId) {
        if let Some(entry) = self.endpoints.get_mut(&id) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    /// Records the outcome of a request to an endpoint or of an attempt to connect to it.
    pub fn note_outcome(&mut self, id: EndpointId, outcome: EndpointOutcome, now_ms: u64) {
        let Some(entry) = self.endpoints.get_mut(&id) else {
            return;
        };
        entry.health.note_outcome(outcome, now_ms);
        if outcome == EndpointOutcome::Answered {
            self.notices.note_answered(id, now_ms);
        }
        // An established connection may fail long after the link was cut.
        if outcome != EndpointOutcome::Failed {
            self.note_reachability(id, outcome != EndpointOutcome::Silent);
        }
    }

    /// Records what an endpoint announced about itself in an answer and returns what is new in it.
    /// `draw` is a random number from 0 to 1.
    pub fn receive_notice(
        &mut self,
        id: EndpointId,
        notice: EndpointNotice,
        now_ms: u64,
        draw: f64,
    ) -> Vec<NoticeUpdate> {
        let updates = self.notices.receive(id, notice, now_ms, draw);
        if updates.contains(&NoticeUpdate::Leaving) {
            self.rebuild_index();
        }
        updates
    }

    /// Records another box's report that an endpoint is leaving and returns whether it is accepted.
    ///
    /// Reports are accepted for at most half of a service's endpoints, so that a faulty box can't
    /// empty the service.
    pub fn receive_reported_leave(&mut self, id: EndpointId, now_ms: u64) -> bool {
        let Some(entry) = self.endpoints.get(&id) else {
            return false;
        };
        let ready = self.ready(&entry.record.service);
        let leaving = ready
            .iter()
            .filter(|ready| ready.id != id && self.notices.is_reported_leaving(ready.id, now_ms));
        let is_accepted = (leaving.count() + 1) * 2 <= ready.len();
        if is_accepted {
            self.notices.receive_reported(id, now_ms);
        }
        is_accepted
    }

    /// Returns what endpoints announced about themselves in their answers.
    pub const fn notices(&self) -> &NoticeRegistry {
        &self.notices
    }

    /// Returns the reachability of the failure domains.
    pub const fn reachability(&self) -> &DomainReachability {
        &self.reachability
    }

    /// Records whether an endpoint answered, which shows whether its failure domain is reachable.
    pub fn note_reachability(&mut self, id: EndpointId, answered: bool) {
        let Some(entry) = self.endpoints.get(&id) else {
            return;
        };
        match answered {
            true => self.reachability.record_answer(&entry.record.domain),
            false => self.reachability.record_silence(&entry.record.domain, id),
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
