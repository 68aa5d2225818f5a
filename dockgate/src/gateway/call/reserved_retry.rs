//! A retry that is taken out of the budget before its request is sent.

use super::super::gateway_state::GatewayState;
use crate::clock::now_ms;
use crate::metrics::METRICS;
use std::sync::Arc;

/// A retry that is charged to the budget; given back on drop unless it may have been sent.
pub(in super::super) struct ReservedRetry {
    state: Arc<GatewayState>,
    service: String,
    taken_ms: u64,
    may_be_sent: bool,
}

impl ReservedRetry {
    /// Takes a retry out of the budget of a service; returns `None` if the budget is exhausted.
    pub(super) fn take(state: &Arc<GatewayState>, service: &str) -> Option<Self> {
        let taken_ms = now_ms();
        let is_allowed = state.with(|view| view.retries.try_take(service, taken_ms));
        is_allowed.then(|| Self {
            state: state.clone(),
            service: service.to_owned(),
            taken_ms,
            may_be_sent: false,
        })
    }

    /// Sets whether the request may have been sent. It may be from the begin of a send on, which ends
    /// without a result if the caller leaves.
    pub(super) const fn set_may_be_sent(&mut self, may_be_sent: bool) {
        self.may_be_sent = may_be_sent;
    }
}

impl Drop for ReservedRetry {
    fn drop(&mut self) {
        if self.may_be_sent {
            METRICS.retries.inc();
            return;
        }
        let taken_ms = self.taken_ms;
        self.state
            .with(|view| view.retries.give_back(&self.service, taken_ms));
    }
}
