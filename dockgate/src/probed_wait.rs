//! Waits for responses of the platform's store to long polls, while probing the store.

use crate::checked_watch::{CheckResult, CheckedWatch};
use crate::clock::now_ms;
use dockgate_core::gateway::{ProbeTiming, RevisionAge, StoreRevision};
use dockgate_platform::{
    PlatformClient, PlatformError, QUARANTINE_KEY_PREFIX, ReadConsistency, WatchOutcome,
};
use std::future::Future;
use std::time::Duration;
use tokio::sync::watch;

/// Time within which a new configuration has to take effect on all boxes, in milliseconds.
const MAX_PROPAGATION_MS: u64 = 7_000;

/// Waits for changes of the keys of `prefix` after revision `since`, for up to `wait`.
///
/// The probes detect a silent store well before the watch times out, and the store's revision in
/// their answers a watch that has gone mute.
///
/// # Errors
///
/// Returns an error if the store does not answer.
pub(crate) async fn watch_with_probes(
    client: &PlatformClient,
    prefix: &'static str,
    since: u64,
    wait: Duration,
) -> Result<WatchOutcome, PlatformError> {
    let log_check = |result| match result {
        CheckResult::Missed { latest, .. } => {
            log::warn!("a watch of {prefix} since {since} missed changes up to {latest}");
        }
        CheckResult::Current | CheckResult::Failed => {}
    };
    wait_with_probes(client, async |latest| {
        let mut watch = CheckedWatch::new(client.clone(), prefix, wait, latest);
        watch.next(StoreRevision::from(since), log_check).await
    })
    .await
}

/// Waits for a response of the store that may take long; passes the store's latest revision to
/// `response`.
///
/// # Errors
///
/// Returns the error of the response, or that of a probe that was not answered in time.
async fn wait_with_probes<T, F>(
    client: &PlatformClient,
    response: impl FnOnce(watch::Receiver<StoreRevision>) -> F,
) -> Result<T, PlatformError>
where
    F: Future<Output = Result<T, PlatformError>>,
{
    let (sender, latest) = watch::channel(StoreRevision::NONE);
    tokio::select! {
        response = response(latest) => response,
        error = probe_until_failure(client, &sender) => Err(error),
    }
}

async fn probe_until_failure(
    client: &PlatformClient,
    latest: &watch::Sender<StoreRevision>,
) -> PlatformError {
    let timing = ProbeTiming::within(MAX_PROPAGATION_MS);
    let mut revision_age = RevisionAge::default();
    // The watch that begins now is answered at once if it lacks a change.
    revision_age.record(now_ms());
    loop {
        tokio::time::sleep(Duration::from_millis(timing.interval_ms)).await;
        let timeout = Duration::from_millis(timing.timeout_ms);
        let consistency = match revision_age.is_over(timing.revision_age_ms, now_ms()) {
            true => ReadConsistency::Linearizable,
            false => ReadConsistency::Serializable,
        };
        if consistency == ReadConsistency::Linearizable {
            revision_age.record(now_ms());
        }
        let probe = client.probe(QUARANTINE_KEY_PREFIX, consistency, timeout);
        match probe.await {
            // Revisions of the past of a restored store are compared by their number alone.
            Ok(listing) => drop(latest.send_replace(listing.revision.into())),
            Err(error) => return error,
        }
    }
}

#[cfg(test)]
mod tests;
