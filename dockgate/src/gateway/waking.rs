//! What a box does that finds that it was suspended.
//!
//! A box that is frozen finds all its timers over when it goes on, so that it asks the store and the other boxes
//! anew before it serves anybody. The timers of a suspended one go on as if nothing had been: this makes up
//! for it.

use super::events::{GatewayEvent, log_gateway};
use super::gateway_metrics::GATEWAY_METRICS;
use super::gateway_state::GatewayState;
use super::membership::send_heartbeat;
use crate::clock::{ClockInstant, note_suspension, now_ms};
use dockgate_core::gateway::ResumeGate;
use std::time::Duration;

/// How often a request that waits for the box to know the present looks whether it does.
const LOOK: Duration = Duration::from_millis(10);

/// Looks whether the box was suspended since the last look, and does what is due then.
pub(super) fn look(state: &GatewayState) {
    let Some(away) = note_suspension() else {
        return;
    };
    GATEWAY_METRICS.note_suspension(away);
    let away_ms = away.as_millis() as u64;
    log_gateway(&GatewayEvent::Woke { away_ms });
    if away_ms < ResumeGate::MIN_SUSPENSION_MS {
        return;
    }
    state.reset_store_access();
    // Who answers a connection is known once it is made anew: one that rested may be long dead, and what may run
    // once cannot be sent again where it is.
    state.pools.drop_all_resting();
    send_heartbeat(state);
    state.update_role();
}

/// Waits until the box knows the present again, or the moment comes.
pub(super) async fn until_fresh(state: &GatewayState, moment: ClockInstant) {
    look(state);
    while !state.is_fresh() && !moment.left().is_zero() {
        tokio::time::sleep(LOOK).await;
    }
}

impl GatewayState {
    /// Tells whether what this box believes was heard since it woke last.
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

    /// Forgets that the store or other boxes were heard: the box has been away since.
    fn reset_store_access(&self) {
        let now = now_ms();
        self.with(|view| view.reset_store_access(now));
    }
}
