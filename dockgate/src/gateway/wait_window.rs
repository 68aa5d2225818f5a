//! The time in which a request of a caller may wait for capacity.

use super::pending_slot_request::VERDICT_TIMEOUT;
use crate::clock::ClockInstant;
use dockgate_core::gateway::{AdmissionRequest, WaitBudget, WaitTerms};
use std::time::Duration;

/// The time in which a request may wait. It begins with the arrival of the request, so that asking
/// the endpoints takes part of it.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitWindow {
    /// When the request arrived.
    pub(super) arrived: ClockInstant,
    /// The objective of its route.
    pub(super) objective: Duration,
    /// Its priority; 0 is served first.
    pub(super) priority: u8,
}

impl WaitWindow {
    /// Returns the terms of a wait that begins now, or `None` if the request must not wait.
    ///
    /// `own_first_ms` is its predicted time to the first event without waiting. If the owner does
    /// not answer, the caller is refused [`VERDICT_TIMEOUT`] after the end of the wait.
    pub(super) fn terms(&self, own_first_ms: f64) -> Option<WaitTerms> {
        let as_ms = |time: Duration| time.as_secs_f64() * 1_000.0;
        let budget = WaitBudget {
            objective_ms: as_ms(self.objective),
            age_ms: as_ms(self.arrived.elapsed()),
            own_first_ms,
            refusal_delay_ms: as_ms(VERDICT_TIMEOUT),
        };
        let wait_ms = budget.usable_wait_ms();
        (wait_ms > 0).then_some(WaitTerms {
            priority: self.priority,
            wait_ms,
        })
    }

    /// Returns the request with the time that is left until its objective now.
    pub(super) fn refreshed(&self, request: &AdmissionRequest) -> AdmissionRequest {
        let left = self.objective.saturating_sub(self.arrived.elapsed());
        AdmissionRequest {
            objective_ms: left.as_millis() as u32,
            ..request.clone()
        }
    }
}
