//! One endpoint as a box sees it.

use super::endpoint_update::{ReportedEndpoint, UnconfirmedRecord};
use crate::gateway::endpoint_health::EndpointHealth;
use crate::gateway::route_table::{EndpointRecord, EndpointState};
use crate::gateway::store_revision::StoreRevision;

/// One endpoint as this box sees it.
#[derive(Debug, Clone)]
pub struct EndpointEntry {
    /// What it says of itself.
    pub record: EndpointRecord,
    /// The store's revision of the record.
    pub revision: StoreRevision,
    /// How far it is trusted.
    pub health: EndpointHealth,
    /// Requests of this box that it has.
    pub in_flight: u32,
    /// Set where its record is missing, and may only have lapsed.
    doubt: Option<UnconfirmedSince>,
}

impl EndpointEntry {
    /// Makes the entry of an endpoint of which nothing is known but its record.
    pub(super) fn new(record: EndpointRecord, revision: StoreRevision) -> Self {
        Self {
            record,
            revision,
            health: EndpointHealth::default(),
            in_flight: 0,
            doubt: None,
        }
    }

    /// Takes over that the record of this id was missing, where that was later than this one was written.
    pub(super) fn missed_since(mut self, doubt: Option<UnconfirmedSince>) -> Self {
        self.doubt = doubt.filter(|doubt| doubt.revision >= self.revision);
        self
    }

    /// Returns since when its record is missing, where it is.
    pub(super) const fn doubt(&self) -> Option<UnconfirmedSince> {
        self.doubt
    }

    /// Returns the revision of the last thing that is known of it.
    pub(super) fn newest_revision(&self) -> StoreRevision {
        let missed = self
            .doubt
            .map_or(StoreRevision::NONE, |doubt| doubt.revision);
        self.revision.max(missed)
    }

    /// Takes a record of the same lifetime in, unless it is older than what is known; returns whether it changed
    /// anything.
    pub(super) fn write(&mut self, record: EndpointRecord, revision: StoreRevision) -> bool {
        if revision <= self.newest_revision() {
            return false;
        }
        let has_left = self.record.state == EndpointState::Draining;
        let state = match record.state {
            // The store may have come back from a copy of before it said so; it says so again a moment later.
            EndpointState::Ready if has_left && revision.era > self.revision.era => {
                EndpointState::Draining
            }
            state => state,
        };
        let record = EndpointRecord { state, ..record };
        let changed = self.record != record || self.doubt.is_some();
        self.record = record;
        self.revision = revision;
        self.doubt = None;
        changed
    }

    /// Notes that its record was overwritten by one that names no endpoint to use: it takes nothing new, and what
    /// is known of it stays for when it writes its own again.
    pub(super) fn spoil(&mut self, revision: StoreRevision) -> bool {
        let record = EndpointRecord {
            state: EndpointState::Unusable,
            ..self.record.clone()
        };
        self.write(record, revision)
    }

    /// Returns at which revision its record was missed, where it is not kept any longer.
    pub(super) fn lapsed_revision(&self, now_ms: u64) -> Option<StoreRevision> {
        let doubt = self.doubt.filter(|doubt| doubt.until_ms <= now_ms)?;
        Some(doubt.revision)
    }

    /// Makes what another box is told of it.
    pub(super) fn tell(&self, now_ms: u64) -> ReportedEndpoint {
        ReportedEndpoint {
            record: self.record.clone(),
            revision: self.revision,
            doubt: self.doubt.map(|doubt| UnconfirmedRecord {
                revision: doubt.revision,
                lapses_in_ms: doubt.until_ms.saturating_sub(now_ms),
            }),
            waits_ms: None,
        }
    }

    /// Notes that its record was missing at this revision, and until when it is kept; the time does not
    /// move once it is named.
    pub(super) fn note_missed(&mut self, revision: StoreRevision, until_ms: u64) {
        let doubt = self
            .doubt
            .get_or_insert(UnconfirmedSince { revision, until_ms });
        doubt.revision = doubt.revision.max(revision);
    }
}

/// An endpoint is kept although the store has no record of it.
///
/// The record keeps its own revision beside that at which it was missed: told on with the later one it
/// would replace what other boxes know for certain. An engine that had left got prompts 4.4 s later,
/// since dozens of boxes that had heard it removed took it back from one that kept it in doubt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct UnconfirmedSince {
    /// The store's revision at which it was missed.
    revision: StoreRevision,
    /// Until when it is kept.
    until_ms: u64,
}
