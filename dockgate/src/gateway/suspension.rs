//! What a box does that finds that it was suspended.
//!
//! A box that is frozen finds all its timers over when it goes on, so that it asks the store and the other boxes
//! anew before it serves anybody. The timers of a suspended one go on as if nothing had been: this makes up
//! for it.

use super::events::{GatewayEvent, log_gateway};
use super::gateway_metrics::GATEWAY_METRICS;
use super::gateway_state::GatewayState;
use super::membership::send_beat;
use crate::clock::{ClockInstant, detect_suspension, now_ms};
use dockgate_core::gateway::ResumeGate;
use std::time::Duration;

/// How often a request that waits for the box to know the present looks whether it does.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Looks whether the box was suspended since the last look, and does what is due then.
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
    // Who answers a connection is known once it is made anew: one that rested may be long dead, and what may run
    // once cannot be sent again where it is.
    state.pools.drop_all_resting();
    send_beat(state);
    state.decide_role();
}

/// Waits until the box knows the present again, or the deadline comes.
pub(super) async fn wait_until_fresh(state: &GatewayState, deadline: ClockInstant) {
    handle_suspension(state);
    while !state.is_fresh() && !deadline.remaining().is_zero() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

impl GatewayState {
    /// Tells whether what this box believes was heard since it woke last.
    pub(super) fn is_fresh(&self) -> bool {
        let now = now_ms();
        self.with(|beliefs| {
            if beliefs.gate.is_settled() {
                return true;
            }
            let proof_ms = beliefs.fleet.agreed_proof_ms(now);
            beliefs.gate.is_open(proof_ms, now)
        })
    }

    /// Forgets that the store or other boxes were heard: the box has been away since.
    fn mark_outdated(&self) {
        let now = now_ms();
        self.with(|beliefs| beliefs.forget_reach(now));
    }
}
