//! Keeps the software versions that services had in the platform's store.
//!
//! After all boxes have lost their memory, the store shows whether a service had a single version,
//! so that its streams can still be taken up. The value is written when a version appears, and when
//! one can be forgotten; it is replaced only if it is unchanged since it was read.

use super::events::{GatewayEvent, log_gateway};
use super::gateway_state::GatewayState;
use crate::clock::now_ms;
use dockgate_core::gateway::ServiceVersion;
use dockgate_platform::{
    PlatformClient, PlatformError, PutCondition, PutOutcome, VERSIONS_KEY, decode_versions,
    encode_versions,
};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The pause between two accesses to the value.
const ACCESS_PAUSE: Duration = Duration::from_millis(1_000);

/// Reads the stored versions once and writes them whenever they differ from the known ones, in the
/// background.
pub(super) fn sync(state: &Arc<GatewayState>, client: &PlatformClient) {
    let is_due = state.with(|view| {
        let known = view.versions.recent();
        view.stored_versions.as_ref() != Some(&known) && !known.is_empty()
    });
    if !is_due || state.is_writing_versions.swap(true, Ordering::AcqRel) {
        return;
    }
    let (state, client) = (state.clone(), client.clone());
    tokio::spawn(async move {
        if let Err(error) = exchange(&state, &client).await {
            log::info!("exchange versions with the store: {error}");
        }
        tokio::time::sleep(ACCESS_PAUSE).await;
        state.is_writing_versions.store(false, Ordering::Release);
    });
}

/// Merges the stored versions, and writes the known ones if they differ.
async fn exchange(state: &GatewayState, client: &PlatformClient) -> Result<(), PlatformError> {
    let stored = client.get(VERSIONS_KEY).await?;
    let versions = stored.as_ref().map(|stored| decode_versions(&stored.bytes));
    let versions = match versions {
        None => None,
        Some(Ok(versions)) => Some(versions),
        Some(Err(error)) => {
            log_gateway(&GatewayEvent::Unreadable {
                what: VERSIONS_KEY,
                problem: error.to_string(),
            });
            None
        }
    };
    let known: BTreeSet<ServiceVersion> = state.with(|view| {
        let is_first = view.stored_versions.is_none();
        if let Some(versions) = versions.as_ref().filter(|_| is_first) {
            view.versions.complete(versions.iter().copied(), now_ms());
        }
        view.versions.recent()
    });
    let mut outcome = "unchanged";
    if versions.as_ref() != Some(&known) {
        let condition = match &stored {
            Some(stored) => PutCondition::Revision(stored.revision),
            None => PutCondition::Absent,
        };
        let value = encode_versions(&known);
        let put = client.put(VERSIONS_KEY, value, condition, None).await?;
        outcome = match put {
            PutOutcome::Done(_) => "written",
            PutOutcome::Conflict | PutOutcome::NoLease => "conflict",
        };
    }
    log_gateway(&GatewayEvent::VersionsExchanged {
        stored: versions.as_ref().map(BTreeSet::len),
        known: known.len(),
        outcome,
    });
    state.with(|view| view.stored_versions = Some(known));
    Ok(())
}
