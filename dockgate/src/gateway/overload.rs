//! Watches whether this box keeps up with its work.

use super::events::{GatewayEvent, log_gateway};
use super::gateway_state::GatewayState;
use super::waking;
use crate::clock::{ClockInstant, now_ms};
use dockgate_core::gateway::{LagChange, LoadShedder};
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;

/// How often work and delay are measured: each time is a wake-up, and overload takes three.
const SAMPLE: Duration = Duration::from_millis(LoadShedder::SAMPLE_MS);

/// For how long the one thread had work, as of some moment.
#[derive(Debug, Clone, Copy)]
struct WorkMark {
    at: ClockInstant,
    busy: Duration,
}

impl WorkMark {
    fn now() -> Self {
        Self {
            at: ClockInstant::now(),
            busy: Handle::current().metrics().worker_total_busy_duration(0),
        }
    }

    /// Returns the part of the time since an earlier mark in which there was work, 0 to 1.
    fn busy_part_since(&self, earlier: &Self) -> f64 {
        let busy = self.busy.saturating_sub(earlier.busy);
        let passed = self.at.since(earlier.at);
        (busy.as_secs_f64() / passed.as_secs_f64().max(f64::EPSILON)).min(1.0)
    }
}

/// Measures how late a timer fires until the process ends: everything runs on one thread, so all
/// that is ready waits as long as the timer does.
pub(super) async fn watch_lag(state: Arc<GatewayState>) {
    let mut before = WorkMark::now();
    loop {
        let due = ClockInstant::now() + SAMPLE;
        tokio::time::sleep(SAMPLE).await;
        waking::look(&state);
        let late_ms = due.elapsed().as_millis() as u64;
        let mark = WorkMark::now();
        let busy_part = mark.busy_part_since(&before);
        before = mark;
        let (change, lag_ms) = state.with(|view| {
            let now = now_ms();
            view.shedder.record_sample(busy_part, late_ms, now);
            let change = view.lag.record(late_ms, now);
            (change, view.lag.lag_ms())
        });
        match change {
            LagChange::None => {}
            LagChange::Overloaded => log_gateway(&GatewayEvent::Overloaded { lag_ms }),
            LagChange::CaughtUp(for_ms) => log_gateway(&GatewayEvent::CaughtUp { lag_ms, for_ms }),
        }
    }
}
