//! Handling of suspensions of the box.
//!
//! After a pause of the process alone, all timers are due at once and the state is refreshed.
//! During a suspension of the machine, the runtime's timers stop, and resume with their remaining
//! time, so the state has to be marked as outdated explicitly.

use super::events::{GatewayEvent, log_gateway};
use super::gateway_metrics::GATEWAY_METRICS;
use super::gateway_state::GatewayState;
use super::membership::send_heartbeat;
use crate::clock::{ClockInstant, detect_suspension, now_ms};
use dockgate_core::gateway::ResumeGate;
use std::time::Duration;

/// Interval at which a waiting request checks whether the state is up to date.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Marks the state as outdated if the box was suspended since the last call.
pub(super) fn handle_suspension(state: &GatewayState) {
    let Some(suspended) = detect_suspension() else {
        return;
    };
    GATEWAY_METRICS.record_suspension(suspended);
    let away_ms = suspended.as_millis() as u64;
    log_gateway(&GatewayEvent::Woke { away_ms });
    if away_ms < ResumeGate::MIN_SUSPENSION_MS {
        return;
    }
    state.mark_outdated();
    state.with(|view| view.versions.record_gap());
    // An idle connection may have died meanwhile, and a request that is not repeatable cannot be
    // retried after it was written to one.
    state.pools.close_all_idle();
    send_heartbeat(state);
    state.update_role();
}

/// Waits until the state is up to date or the deadline passes.
pub(super) async fn wait_until_fresh(state: &GatewayState, deadline: ClockInstant) {
    handle_suspension(state);
    while !state.is_fresh() && !deadline.remaining().is_zero() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

impl GatewayState {
    /// Returns whether the state was confirmed since the last resume.
    pub(super) fn is_fresh(&self) -> bool {
        let now = now_ms();
        self.with(|view| {
            if view.gate.is_settled() {
                return true;
            }
            let proof_ms = view.fleet.agreed_proof_ms(now);
            view.gate.is_open(proof_ms, now)
        })
    }

    /// Marks the state as outdated after a suspension.
    fn mark_outdated(&self) {
        let now = now_ms();
        self.with(|view| view.reset_store_access(now));
    }
}
