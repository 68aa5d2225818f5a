//! Tasks that run for as long as the process: one that panics is started anew.
//!
//! Such a task reads what others wrote: datagrams, values of the store, settings. If one of these makes it
//! panic, the box must neither go on without it, unaware, nor end: all boxes read the same, and what ended one of
//! them would end the next one that takes its part over.

use super::events::{GatewayEvent, log_gateway};
use super::gateway_metrics::GATEWAY_METRICS;
use crate::clock::ClockInstant;
use std::any::Any;
use std::time::Duration;

/// How long after it panicked a task is started anew at first; twice as long after each further time.
const MIN_DELAY: Duration = Duration::from_millis(50);
/// The longest such pause: what made it panic may be overwritten by then. A bound, within which boxes must
/// know of an endpoint that leaves.
const MAX_DELAY: Duration = Duration::from_secs(2);
/// After how long without a panic the next one counts as the first.
const RESET_AFTER: Duration = Duration::from_secs(30);

/// Runs a task until it ends by itself; `make_task` makes it, each time that it has to be started.
pub(super) fn spawn_supervised<B, A>(name: &'static str, make_task: B)
where
    B: Fn() -> A + Send + 'static,
    A: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        let mut delay = MIN_DELAY;
        loop {
            let started = ClockInstant::now();
            // A task that is cancelled ends with its runtime.
            let Err(error) = tokio::spawn(make_task()).await else {
                return;
            };
            let Ok(panic) = error.try_into_panic() else {
                return;
            };
            if started.elapsed() > RESET_AFTER {
                delay = MIN_DELAY;
            }
            GATEWAY_METRICS.record_panic(name);
            log_gateway(&GatewayEvent::TaskPanicked {
                task: name,
                problem: panic_message(panic.as_ref()),
                again_ms: delay.as_millis() as u64,
            });
            tokio::time::sleep(delay).await;
            delay = MAX_DELAY.min(delay * 2);
        }
    });
}

/// Returns what a panic says.
fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    let owned = || panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(owned).unwrap_or("no message")
}

#[cfg(test)]
mod tests;
