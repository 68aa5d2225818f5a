//! One thing that boxes tell each other of a request.

use super::quarantine::QuarantineStage;
use crate::gateway::request_fingerprint::RequestFingerprint;
use crate::gateway::route_table::EndpointId;
use serde::{Deserialize, Serialize};

/// What happened to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectEvent {
    /// This lifetime of an endpoint ended while the request was there.
    Ended(EndpointId),
    /// It ran to its end.
    Completed,
    /// Its quarantine came to this stage.
    Quarantine(QuarantineStage),
}

/// What happened to a request, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// What happened.
    pub sign: SuspectEvent,
    /// How long ago, in milliseconds: boxes share no clock.
    pub age_ms: u32,
}

impl SuspectReport {
    /// Makes the row of what happens now.
    pub const fn new(fingerprint: RequestFingerprint, sign: SuspectEvent) -> Self {
        Self {
            fingerprint,
            sign,
            age_ms: 0,
        }
    }

    /// Sets when it happened.
    #[must_use]
    pub fn at(mut self, at_ms: i64, now_ms: u64) -> Self {
        let age_ms = (now_ms as i64 - at_ms).max(0);
        self.age_ms = u32::try_from(age_ms).unwrap_or(u32::MAX);
        self
    }

    /// Returns when it happened, by the clock of the box that asks.
    pub const fn at_ms(&self, now_ms: u64) -> i64 {
        now_ms as i64 - self.age_ms as i64
    }
}
