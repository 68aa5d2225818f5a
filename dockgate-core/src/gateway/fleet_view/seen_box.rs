//! What a box remembers of another one, and the signs of life from which it learns it.

use super::super::box_beat::{BoxBeat, BoxRow, BoxStanding, DomainKey};
use super::FleetView;
use crate::ids::{BoxKey, Incarnation};
use std::net::SocketAddr;

/// One sign of life of a box, by whatever way.
#[derive(Debug, Clone)]
pub(super) struct BoxSign {
    pub(super) key: BoxKey,
    pub(super) domain: DomainKey,
    pub(super) incarnation: Incarnation,
    pub(super) sequence: u32,
    pub(super) at_ms: u64,
    pub(super) address: Option<SocketAddr>,
    pub(super) standing: BoxStanding,
    pub(super) beat: Option<BoxBeat>,
}

impl BoxSign {
    pub(super) fn of_beat(beat: BoxBeat, incarnation: Incarnation, at_ms: u64) -> Self {
        Self {
            key: beat.key(),
            domain: DomainKey::from_name(&beat.domain),
            incarnation,
            sequence: beat.sequence,
            at_ms,
            address: Some(beat.address),
            standing: beat.standing,
            beat: Some(beat),
        }
    }

    pub(super) const fn of_row(row: &BoxRow, domain: DomainKey, now_ms: u64) -> Self {
        Self {
            key: row.key,
            domain,
            incarnation: row.incarnation,
            sequence: row.sequence,
            at_ms: now_ms.saturating_sub(row.age_ms as u64),
            address: row.address,
            standing: row.standing,
            beat: None,
        }
    }
}

/// A box as its newest sign of life tells of it.
#[derive(Debug, Clone)]
pub(super) struct SeenBox {
    pub(super) domain: DomainKey,
    pub(super) incarnation: Incarnation,
    pub(super) sequence: u32,
    pub(super) heard_ms: u64,
    pub(super) address: Option<SocketAddr>,
    pub(super) standing: BoxStanding,
    /// What it said of itself, where that was told in full.
    pub(super) beat: Option<BoxBeat>,
}

impl SeenBox {
    /// Tells whether it was heard of a moment ago, so that it may be spoken to.
    pub(super) const fn is_heard(&self, now_ms: u64) -> bool {
        self.heard_ms + FleetView::GONE_AFTER_MS >= now_ms
    }

    /// Returns how long ago it was heard of, in milliseconds.
    pub(super) const fn age_ms(&self, now_ms: u64) -> u32 {
        now_ms.saturating_sub(self.heard_ms) as u32
    }
}
