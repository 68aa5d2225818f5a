//! Long-running tasks that are restarted after a panic.
//!
//! These tasks read external input: datagrams, values of the store, settings. If an input causes a
//! panic, the box must neither continue without the task nor exit: all boxes read the same input,
//! so one bad value could end them one after the other.

use super::events::{GatewayEvent, log_gateway};
use super::gateway_metrics::GATEWAY_METRICS;
use crate::clock::ClockInstant;
use std::any::Any;
use std::time::Duration;

/// Restart delay after the first panic; it doubles with each further one.
const MIN_DELAY: Duration = Duration::from_millis(50);
/// Maximum restart delay. It is bounded by the time within which boxes have to learn that an
/// endpoint is leaving.
const MAX_DELAY: Duration = Duration::from_secs(2);
/// Run time without a panic after which the restart delay is reset.
const RESET_AFTER: Duration = Duration::from_secs(30);

/// Spawns the task that `make_task` creates, and restarts it after panics until it returns.
pub(super) fn spawn_supervised<B, A>(name: &'static str, make_task: B)
where
    B: Fn() -> A + Send + 'static,
    A: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        let mut delay = MIN_DELAY;
        loop {
            let started = ClockInstant::now();
            // A task is only cancelled when its runtime shuts down.
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

/// Returns the message of a panic.
fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let literal = panic.downcast_ref::<&str>().copied();
    let owned = || panic.downcast_ref::<String>().map(String::as_str);
    literal.or_else(owned).unwrap_or("no message")
}

#[cfg(test)]
mod tests;
