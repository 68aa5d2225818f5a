//! Waits for responses of the platform's store to long polls, while probing the store.

use dockgate_core::gateway::ProbeTiming;
use dockgate_platform::{PlatformClient, PlatformError, QUARANTINE_KEY_PREFIX};
use std::future::Future;
use std::time::Duration;

/// Time within which a new configuration has to take effect on all boxes, in milliseconds.
const MAX_PROPAGATION_MS: u64 = 7_000;

/// Waits for a response of the store that may take long, such as that of a watch.
///
/// The probes detect a silent store well before the watch times out.
///
/// # Errors
///
/// Returns the error of the response, or that of a probe that was not answered in time.
pub(crate) async fn wait_with_probes<T>(
    client: &PlatformClient,
    response: impl Future<Output = Result<T, PlatformError>>,
) -> Result<T, PlatformError> {
    tokio::select! {
        response = response => response,
        error = probe_until_failure(client) => Err(error),
    }
}

async fn probe_until_failure(client: &PlatformClient) -> PlatformError {
    let timing = ProbeTiming::within(MAX_PROPAGATION_MS);
    loop {
        tokio::time::sleep(Duration::from_millis(timing.interval_ms)).await;
        let timeout = Duration::from_millis(timing.timeout_ms);
        if let Err(error) = client.probe(QUARANTINE_KEY_PREFIX, timeout).await {
            return error;
        }
    }
}

#[cfg(test)]
mod tests;
