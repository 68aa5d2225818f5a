//! Overload detection of this box by the delay of timers, the busy time of its thread and its
//! memory.

use super::events::{GatewayEvent, log_gateway};
use super::gateway_state::GatewayState;
use super::memory_guard::resident_bytes;
use super::suspension;
use crate::clock::{ClockInstant, now_ms};
use dockgate_core::gateway::{LagChange, LoadShedder, MemoryChange};
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;

/// Interval of the measurements. Each one wakes the thread, and overload is detected after three.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(LoadShedder::SAMPLE_MS);

/// Number of samples for each one that reads the resident memory while little of it is in use.
const MEMORY_SAMPLES: u64 = 10;

/// Accumulated busy time of the runtime's thread at one instant.
#[derive(Debug, Clone, Copy)]
struct BusySample {
    at: ClockInstant,
    busy: Duration,
}

impl BusySample {
    fn now() -> Self {
        Self {
            at: ClockInstant::now(),
            busy: Handle::current().metrics().worker_total_busy_duration(0),
        }
    }

    /// Returns the busy fraction of the time since an earlier sample, from 0 to 1.
    fn busy_fraction_since(&self, earlier: &Self) -> f64 {
        let busy = self.busy.saturating_sub(earlier.busy);
        let elapsed = self.at.duration_since(earlier.at);
        (busy.as_secs_f64() / elapsed.as_secs_f64().max(f64::EPSILON)).min(1.0)
    }
}

/// Samples the memory of the box, if it is limited, and logs when the box begins or ceases to be
/// short of it. `is_due` is set if the resident memory is read even when little is in use.
fn record_memory(state: &GatewayState, is_due: bool) {
    if !state.with_memory(|memory| memory.is_limited()) {
        return;
    }
    let is_due = is_due || state.with_memory(|memory| memory.needs_frequent_samples());
    let resident = is_due.then(resident_bytes).flatten();
    let (change, used) = state.with_memory(|memory| {
        let change = memory.record_sample(resident, now_ms());
        (change, memory.use_bytes())
    });
    let (used_kb, resident_kb) = (used >> 10, resident.map(|bytes| bytes >> 10));
    match change {
        MemoryChange::None => {}
        MemoryChange::Short => log_gateway(&GatewayEvent::MemoryShort {
            used_kb,
            resident_kb,
        }),
        MemoryChange::Back => log_gateway(&GatewayEvent::MemoryBack {
            used_kb,
            resident_kb,
        }),
    }
}

/// Measures how late a timer fires, and samples the processor and memory, until the process ends.
///
/// All tasks run on one thread, so ready tasks are delayed as long as the timer.
pub(super) async fn watch_lag(state: Arc<GatewayState>) {
    let mut last_sample = BusySample::now();
    for number in 0_u64.. {
        let due = ClockInstant::now() + SAMPLE_INTERVAL;
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        suspension::handle_suspension(&state);
        let late_ms = due.elapsed().as_millis() as u64;
        let sample = BusySample::now();
        let busy_fraction = sample.busy_fraction_since(&last_sample);
        last_sample = sample;
        let (change, lag_ms) = state.with(|view| {
            let now = now_ms();
            view.shedder.record_sample(busy_fraction, late_ms, now);
            let change = view.lag.record(late_ms, now);
            (change, view.lag.lag_ms())
        });
        record_memory(&state, number % MEMORY_SAMPLES == 0);
        match change {
            LagChange::None => {}
            LagChange::Overloaded => log_gateway(&GatewayEvent::Overloaded { lag_ms }),
            LagChange::CaughtUp(for_ms) => log_gateway(&GatewayEvent::CaughtUp { lag_ms, for_ms }),
        }
    }
}
