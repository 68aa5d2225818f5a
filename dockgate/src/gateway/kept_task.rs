//! Tasks that run for as long as the process: one that panics is begun anew.
//!
//! Such a task reads what others wrote: datagrams, values of the store, settings. If one of these makes it
//! panic, the box must neither go on without it, unaware, nor end: all boxes read the same, and what ended one of
//! them would end the next one that takes its part over.

use super::events::{GatewayEvent, log_gateway};
use super::gateway_metrics::GATEWAY_METRICS;
use crate::clock::ClockInstant;
use std::any::Any;
use std::time::Duration;

/// How long after it panicked a task is begun anew at first; twice as long after each further time.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// The longest such pause: what made it panic may be overwritten by then. A bound, within which boxes must
/// know of an endpoint that leaves.
const MOST_PAUSE: Duration = Duration::from_secs(2);
/// After how long without a panic the next one counts as the first.
const SOUND_AFTER: Duration = Duration::from_secs(30);

/// Runs a task until it ends by itself; `begin` makes it, each time that it has to be begun.
pub(super) fn keep_task<B, A>(name: &'static str, begin: B)
where
    B: Fn() -> A + Send + 'static,
    A: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        let mut pause = FIRST_PAUSE;
        loop {
            let begun = ClockInstant::now();
            // A task that is cancelled ends with its runtime.
            let Err(ended) = tokio::spawn(begin()).await else {
                return;
            };
            let Ok(panic) = ended.try_into_panic() else {
                return;
            };
            if begun.elapsed() > SOUND_AFTER {
                pause = FIRST_PAUSE;
            }
            GATEWAY_METRICS.note_panic(name);
            log_gateway(&GatewayEvent::TaskPanicked {
                task: name,
                problem: message_of(panic.as_ref()),
                again_ms: pause.as_millis() as u64,
            });
            tokio::time::sleep(pause).await;
            pause = MOST_PAUSE.min(pause * 2);
        }
    });
}

/// Returns what a panic says.
fn message_of(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    let owned = || panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(owned).unwrap_or("no message")
}

#[cfg(test)]
mod tests;
