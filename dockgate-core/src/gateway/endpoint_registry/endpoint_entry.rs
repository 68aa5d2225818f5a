//! The state of one endpoint on this box.

use super::endpoint_update::{ReportedEndpoint, UnconfirmedRecord};
use crate::gateway::box_heartbeat::DomainKey;
use crate::gateway::endpoint_health::EndpointHealth;
use crate::gateway::route_table::{EndpointRecord, EndpointState};
use crate::gateway::store_revision::StoreRevision;
use crate::gateway::version_history::ServiceVersion;

/// The state of one endpoint on this box.
#[derive(Debug, Clone)]
pub struct EndpointEntry {
    /// Its record.
    pub record: EndpointRecord,
    /// The store's revision of the record.
    pub revision: StoreRevision,
    /// Its health, as observed by this box.
    pub health: EndpointHealth,
    /// The number of requests that this box has in flight to it.
    pub in_flight: u32,
    /// Its service and software version.
    service_version: ServiceVersion,
    /// Set while its record is missing and may only have expired.
    unconfirmed: Option<UnconfirmedSince>,
}

impl EndpointEntry {
    /// Creates the entry of an endpoint of which only the record is known.
    pub(super) fn new(record: EndpointRecord, revision: StoreRevision) -> Self {
        Self {
            service_version: ServiceVersion::of(&record),
            record,
            revision,
            health: EndpointHealth::default(),
            in_flight: 0,
            unconfirmed: None,
        }
    }

    /// Returns the key of its failure domain.
    pub fn domain(&self) -> DomainKey {
        DomainKey::from_name(&self.record.domain)
    }

    /// Returns its service and software version.
    pub const fn service_version(&self) -> ServiceVersion {
        self.service_version
    }

    /// Takes over the unconfirmed state of the previous lifetime, if the id's record was found
    /// missing after the record of this lifetime was written.
    pub(super) fn with_unconfirmed(mut self, unconfirmed: Option<UnconfirmedSince>) -> Self {
        self.unconfirmed = unconfirmed.filter(|since| since.revision >= self.revision);
        self
    }

    /// Returns since when its record is missing, or `None` if it is present.
    pub(super) const fn unconfirmed(&self) -> Option<UnconfirmedSince> {
        self.unconfirmed
    }

    /// Returns the newest revision at which its record was written or found missing.
    pub(super) fn newest_revision(&self) -> StoreRevision {
        let missing = self
            .unconfirmed
            .map_or(StoreRevision::NONE, |since| since.revision);
        self.revision.max(missing)
    }

    /// Applies a record of the same lifetime, unless it is older than what is known, and returns
    /// whether anything changed.
    pub(super) fn write(&mut self, record: EndpointRecord, revision: StoreRevision) -> bool {
        if revision == self.revision && self.record.version.is_empty() {
            // Boxes of an earlier build report records without the version.
            self.record.version = record.version;
            self.service_version = ServiceVersion::of(&self.record);
            return !self.record.version.is_empty();
        }
        if revision <= self.newest_revision() {
            return false;
        }
        let is_draining = self.record.state == EndpointState::Draining;
        let state = match record.state {
            // The store may be restored from a copy made before the endpoint began to drain.
            EndpointState::Ready if is_draining && revision.era > self.revision.era => {
                EndpointState::Draining
            }
            state => state,
        };
        let record = EndpointRecord { state, ..record };
        let changed = self.record != record || self.unconfirmed.is_some();
        self.service_version = ServiceVersion::of(&record);
        self.record = record;
        self.revision = revision;
        self.unconfirmed = None;
        changed
    }

    /// Handles that its record was overwritten by one that describes no usable endpoint: it gets no
    /// new requests, and its state is kept in case it rewrites its own record.
    pub(super) fn disable(&mut self, revision: StoreRevision) -> bool {
        let record = EndpointRecord {
            state: EndpointState::Unusable,
            ..self.record.clone()
        };
        self.write(record, revision)
    }

    /// Returns the revision at which its record was found missing, if the time to rewrite it is
    /// over.
    pub(super) fn lapsed_revision(&self, now_ms: u64) -> Option<StoreRevision> {
        let since = self.unconfirmed.filter(|since| since.until_ms <= now_ms)?;
        Some(since.revision)
    }

    /// Creates the report of it for another box.
    pub(super) fn report(&self, now_ms: u64) -> ReportedEndpoint {
        ReportedEndpoint {
            record: self.record.clone(),
            revision: self.revision,
            unconfirmed: self.unconfirmed.map(|since| UnconfirmedRecord {
                revision: since.revision,
                lapses_in_ms: since.until_ms.saturating_sub(now_ms),
            }),
            delay_ms: None,
        }
    }

    /// Records that its record was missing at this revision, and until when it is kept. Further
    /// calls don't extend that time.
    pub(super) fn mark_unconfirmed(&mut self, revision: StoreRevision, until_ms: u64) {
        let since = self
            .unconfirmed
            .get_or_insert(UnconfirmedSince { revision, until_ms });
        since.revision = since.revision.max(revision);
    }
}

/// Since when and until when an endpoint is kept although the store has no record of it.
///
/// The record's own revision is kept apart from the one at which it was found missing. Reported
/// with the later one, it would replace a removal that other boxes received from the store; an engine that had left
/// then got prompts for seconds, since dozens of boxes took it back from one that kept it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct UnconfirmedSince {
    /// The store's revision at which the record was found missing.
    revision: StoreRevision,
    /// When the endpoint is removed.
    until_ms: u64,
}
