//! Watches whether this box keeps up with its work.

use super::events::{GatewayEvent, log_gateway};
use super::gateway_state::GatewayState;
use crate::clock::now_ms;
use dockgate_core::gateway::LagChange;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// How often the delay is measured: each time is a wake-up, and overload takes three.
const SAMPLE: Duration = Duration::from_millis(100);

/// Measures how late a timer fires until the process ends: everything runs on one thread, so all
/// that is ready waits as long as the timer does.
pub(super) async fn watch_lag(state: Arc<GatewayState>) {
    loop {
        let due = Instant::now() + SAMPLE;
        tokio::time::sleep_until(due).await;
        let late_ms = due.elapsed().as_millis() as u64;
        let (change, lag_ms) = state.with(|beliefs| {
            let change = beliefs.lag.note(late_ms, now_ms());
            (change, beliefs.lag.lag_ms())
        });
        match change {
            LagChange::None => {}
            LagChange::Overloaded => log_gateway(&GatewayEvent::Overloaded { lag_ms }),
            LagChange::CaughtUp(for_ms) => log_gateway(&GatewayEvent::CaughtUp { lag_ms, for_ms }),
        }
    }
}
