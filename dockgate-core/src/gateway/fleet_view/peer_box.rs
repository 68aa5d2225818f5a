//! The record kept of another box, and the liveness reports that update it.

use super::super::box_heartbeat::{BoxHeartbeat, BoxStatus, BoxSummary, DomainKey};
use super::FleetView;
use crate::ids::{BoxKey, Incarnation};
use std::net::SocketAddr;

/// A report that a box was alive, received from the box itself or through a digest.
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

/// Another box, as of the newest liveness report.
#[derive(Debug, Clone)]
pub(super) struct PeerBox {
    pub(super) domain: DomainKey,
    pub(super) incarnation: Incarnation,
    pub(super) sequence: u32,
    pub(super) last_seen_ms: u64,
    pub(super) address: Option<SocketAddr>,
    pub(super) status: BoxStatus,
    /// Its last heartbeat, if a full one was received.
    pub(super) heartbeat: Option<BoxHeartbeat>,
}

impl PeerBox {
    /// Returns whether the box was seen recently enough to send to it.
    pub(super) const fn is_responsive(&self, now_ms: u64) -> bool {
        self.last_seen_ms + FleetView::GONE_AFTER_MS >= now_ms
    }

    /// Returns the time since the last liveness report, in milliseconds.
    pub(super) const fn age_ms(&self, now_ms: u64) -> u32 {
        now_ms.saturating_sub(self.last_seen_ms) as u32
    }
}
