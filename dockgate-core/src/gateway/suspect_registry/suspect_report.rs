//! A report of one event of a suspect request, as boxes exchange it.

use super::quarantine::QuarantineStage;
use crate::gateway::route_table::EndpointId;
use crate::gateway::suspect_key::SuspectKey;
use serde::{Deserialize, Serialize};

/// An event of a suspect request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectEvent {
    /// This lifetime of an endpoint ended while the request was running there.
    Ended(EndpointId),
    /// The request completed.
    Completed,
    /// The quarantine of the request reached this stage.
    Quarantine(QuarantineStage),
}

/// An event of a suspect request, and its age.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The request.
    pub fingerprint: SuspectKey,
    /// The event.
    pub event: SuspectEvent,
    /// The age of the event in milliseconds; boxes share no clock.
    pub age_ms: u32,
}

impl SuspectReport {
    /// Creates the report of an event that happens now.
    pub const fn new(fingerprint: SuspectKey, event: SuspectEvent) -> Self {
        Self {
            fingerprint,
            event,
            age_ms: 0,
        }
    }

    /// Sets the time of the event.
    #[must_use]
    pub fn at(mut self, at_ms: i64, now_ms: u64) -> Self {
        let age_ms = (now_ms as i64 - at_ms).max(0);
        self.age_ms = u32::try_from(age_ms).unwrap_or(u32::MAX);
        self
    }

    /// Returns the time of the event by the local clock.
    pub const fn at_ms(&self, now_ms: u64) -> i64 {
        now_ms as i64 - self.age_ms as i64
    }
}
