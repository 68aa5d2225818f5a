//! What a box remembers of another one, and the signs of life from which it learns it.

use super::super::box_heartbeat::{BoxHeartbeat, BoxStatus, BoxSummary, DomainKey};
use super::FleetView;
use crate::ids::{BoxKey, Incarnation};
use std::net::SocketAddr;

/// One sign of life of a box, by whatever way.
#[derive(Debug, Clone)]
pub(super) struct LivenessReport {
    pub(super) key: BoxKey,
    pub(super) domain: DomainKey,
    pub(super) incarnation: Incarnation,
    pub(super) sequence: u32,
    pub(super) at_ms: u64,
    pub(super) address: Option<SocketAddr>,
    pub(super) status: BoxStatus,
    pub(super) heartbeat: Option<BoxHeartbeat>,
}

impl LivenessReport {
    pub(super) fn from_heartbeat(
        heartbeat: BoxHeartbeat,
        incarnation: Incarnation,
        at_ms: u64,
    ) -> Self {
        Self {
            key: heartbeat.key(),
            domain: DomainKey::from_name(&heartbeat.domain),
            incarnation,
            sequence: heartbeat.sequence,
            at_ms,
            address: Some(heartbeat.address),
            status: heartbeat.status,
            heartbeat: Some(heartbeat),
        }
    }

    pub(super) const fn from_summary(summary: &BoxSummary, domain: DomainKey, now_ms: u64) -> Self {
        Self {
            key: summary.key,
            domain,
            incarnation: summary.incarnation,
            sequence: summary.sequence,
            at_ms: now_ms.saturating_sub(summary.age_ms as u64),
            address: summary.address,
            status: summary.status,
            heartbeat: None,
        }
    }
}

/// A box as its newest sign of life tells of it.
#[derive(Debug, Clone)]
pub(super) struct PeerBox {
    pub(super) domain: DomainKey,
    pub(super) incarnation: Incarnation,
    pub(super) sequence: u32,
    pub(super) last_seen_ms: u64,
    pub(super) address: Option<SocketAddr>,
    pub(super) status: BoxStatus,
    /// What it said of itself, where that was told in full.
    pub(super) heartbeat: Option<BoxHeartbeat>,
}

impl PeerBox {
    /// Tells whether it was heard of a moment ago, so that it may be spoken to.
    pub(super) const fn is_responsive(&self, now_ms: u64) -> bool {
        self.last_seen_ms + FleetView::GONE_AFTER_MS >= now_ms
    }

    /// Returns how long ago it was heard of, in milliseconds.
    pub(super) const fn age_ms(&self, now_ms: u64) -> u32 {
        now_ms.saturating_sub(self.last_seen_ms) as u32
    }
}
