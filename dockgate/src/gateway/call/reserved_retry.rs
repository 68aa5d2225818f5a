//! A retry that is taken out of the budget before its request is sent.

use super::super::gateway_state::GatewayState;
use crate::clock::now_ms;
use crate::metrics::METRICS;
use std::sync::Arc;

/// A retry that is charged to the budget; given back on drop unless it was sent.
pub(in super::super) struct ReservedRetry {
    state: Arc<GatewayState>,
    service: String,
    taken_ms: u64,
    is_sent: bool,
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
            is_sent: false,
        })
    }

    /// Records that the request was sent.
    pub(super) fn record_sent(mut self) {
        METRICS.retries.inc();
        self.is_sent = true;
    }
}

impl Drop for ReservedRetry {
    fn drop(&mut self) {
        if !self.is_sent {
            let taken_ms = self.taken_ms;
            self.state
                .with(|view| view.retries.give_back(&self.service, taken_ms));
        }
    }
}
