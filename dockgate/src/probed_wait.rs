//! Waits for a long answer of the platform's store, and probes the store meanwhile.

use dockgate_core::gateway::ProbeTiming;
use dockgate_platform::{PlatformClient, PlatformError, QUARANTINE_KEY_PREFIX};
use std::future::Future;
use std::time::Duration;

/// Within which time a change of the configuration has to be in force everywhere, in milliseconds: the
/// users' bound at the size that is designed for.
const IN_FORCE_MS: u64 = 7_000;

/// Waits for an answer of the store that may take long, as that of a watch.
///
/// Without probes beside it, a store that fell silent was found out when the watch was over: after 21.5 s
/// with the usual settings, in which an accepted configuration was not put in force.
///
/// # Errors
///
/// Returns the answer's error, or that of a probe which was not answered in time.
pub(crate) async fn wait_probed<T>(
    client: &PlatformClient,
    answer: impl Future<Output = Result<T, PlatformError>>,
) -> Result<T, PlatformError> {
    tokio::select! {
        answer = answer => answer,
        silence = notice_silence(client) => Err(silence),
    }
}

async fn notice_silence(client: &PlatformClient) -> PlatformError {
    let rule = ProbeTiming::within(IN_FORCE_MS);
    loop {
        tokio::time::sleep(Duration::from_millis(rule.interval_ms)).await;
        let patience = Duration::from_millis(rule.timeout_ms);
        if let Err(silence) = client.probe(QUARANTINE_KEY_PREFIX, patience).await {
            return silence;
        }
    }
}

#[cfg(test)]
mod tests;
