//! Keeps the quarantine in the platform's store, and acquires trials there.
//!
//! The store keeps the quarantine while all boxes restart, and for boxes that are cut off from the
//! others. Boxes read it with the probes of the store, at no extra cost; the followers of the store
//! write it if it differs from their own state. There is one value, which is replaced only if it is
//! unchanged since it was read, so that no box overwrites the changes of another one.

use super::events::{GatewayEvent, log_gateway};
use super::gateway_state::GatewayState;
use super::quarantine::{broadcast_reports, merge};
use crate::clock::{now_ms, unix_ms};
use dockgate_core::gateway::{Quarantine, QuarantineStage, SuspectKey};
use dockgate_platform::{
    ClockPair, PlatformClient, PlatformError, PutCondition, PutOutcome, QUARANTINE_KEY,
    StoreListing, StoredValue, decode_quarantines, encode_quarantines,
};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How long a request that is due for a trial waits for the store to grant it.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(400);

/// The pause between two writes: probes may return an outdated value, and boxes of several domains
/// may write in turn.
const WRITE_PAUSE: Duration = Duration::from_millis(1_000);

fn clock_pair() -> ClockPair {
    ClockPair {
        now_ms: now_ms(),
        unix_ms: unix_ms(),
    }
}

/// Merges the stored value; returns `None` if it is not readable.
fn merge_stored(state: &GatewayState, stored: Option<&StoredValue>) -> Option<StoredStages> {
    let Some(stored) = stored else {
        return Some(StoredStages::default());
    };
    match decode_quarantines(&stored.bytes, clock_pair()) {
        Ok(known) => {
            let stages = StoredStages::of(&known);
            merge(state, known, "store");
            Some(stages)
        }
        Err(error) => {
            log_gateway(&GatewayEvent::Unreadable {
                what: QUARANTINE_KEY,
                problem: error.to_string(),
            });
            None
        }
    }
}

/// The stage of each quarantine in the store.
#[derive(Debug, Default, PartialEq, Eq)]
struct StoredStages {
    stages: BTreeMap<SuspectKey, QuarantineStage>,
}

impl StoredStages {
    fn of(known: &[(SuspectKey, Quarantine)]) -> Self {
        let stages = known
            .iter()
            .map(|(fingerprint, known)| (*fingerprint, known.stage));
        Self {
            stages: stages.collect(),
        }
    }
}

/// Merges the listing of a probe; if it differs from the own state and this box `is_writer`, spawns
/// a task that writes the quarantine.
pub(super) fn sync(
    state: &Arc<GatewayState>,
    client: &PlatformClient,
    listing: &StoreListing,
    is_writer: bool,
) {
    let stored = listing.items.iter().find(|item| item.key == QUARANTINE_KEY);
    let stages = merge_stored(state, stored);
    let quarantines = || state.with(|view| view.suspects.quarantines(now_ms()));
    // An unreadable value is replaced once there are quarantines to write.
    let stages = stages.unwrap_or_default();
    let is_due = is_writer && stages != StoredStages::of(&quarantines());
    if !is_due || state.is_writing_quarantine.swap(true, Ordering::AcqRel) {
        return;
    }
    // Writes in the background, since a delayed probe would look like a loss of the store.
    let (state, client) = (state.clone(), client.clone());
    tokio::spawn(async move {
        if let Err(error) = write(&state, &client).await {
            log::info!("write quarantine: {error}");
        }
        tokio::time::sleep(WRITE_PAUSE).await;
        state.is_writing_quarantine.store(false, Ordering::Release);
    });
}

/// Writes the quarantine to the store, unless another box does so meanwhile; the next probe shows
/// the result.
async fn write(state: &GatewayState, client: &PlatformClient) -> Result<(), PlatformError> {
    let stored = client.get(QUARANTINE_KEY).await?;
    let stages = merge_stored(state, stored.as_ref()).unwrap_or_default();
    let quarantines = state.with(|view| view.suspects.quarantines(now_ms()));
    if stages == StoredStages::of(&quarantines) {
        return Ok(());
    }
    put_quarantines(client, stored.as_ref(), &quarantines).await?;
    Ok(())
}

async fn put_quarantines(
    client: &PlatformClient,
    stored: Option<&StoredValue>,
    quarantines: &[(SuspectKey, Quarantine)],
) -> Result<PutOutcome, PlatformError> {
    let condition = match stored {
        Some(stored) => PutCondition::Revision(stored.revision),
        None => PutCondition::Absent,
    };
    let value = encode_quarantines(quarantines, clock_pair());
    client.put(QUARANTINE_KEY, value, condition, None).await
}

/// Returns whether this box may send a quarantined request once, as a trial. The store grants a
/// trial to one box only, also across a partition, and grants none while it does not answer.
pub(super) async fn acquire_trial(state: &GatewayState, fingerprint: SuspectKey) -> bool {
    let outcome = tokio::time::timeout(TRIAL_TIMEOUT, request_trial(state, fingerprint)).await;
    match outcome {
        Ok(Ok(is_granted)) => is_granted,
        Ok(Err(error)) => {
            log::info!("request a trial of {fingerprint}: {error}");
            false
        }
        Err(_) => {
            log::info!("request a trial of {fingerprint}: no answer in time");
            false
        }
    }
}

async fn request_trial(
    state: &GatewayState,
    fingerprint: SuspectKey,
) -> Result<bool, PlatformError> {
    let client = state.store_client();
    let stored = client.get(QUARANTINE_KEY).await?;
    if merge_stored(state, stored.as_ref()).is_none() {
        return Ok(false);
    }
    let now = now_ms();
    let mut quarantines = state.with(|view| view.suspects.quarantines(now));
    let due = quarantines
        .iter_mut()
        .find(|(known, quarantine)| *known == fingerprint && quarantine.is_trial_due(now));
    let Some((_, quarantine)) = due else {
        return Ok(false);
    };
    *quarantine = quarantine.with_trial(now);
    let updated = *quarantine;
    let outcome = put_quarantines(&client, stored.as_ref(), &quarantines).await?;
    let is_granted = matches!(outcome, PutOutcome::Done(_));
    if is_granted {
        merge(state, vec![(fingerprint, updated)], "trial");
        broadcast_reports(state);
        log_gateway(&GatewayEvent::RequestTried {
            print: &fingerprint.to_string(),
            kind: fingerprint.kind().as_str(),
            trials: updated.stage.trials,
        });
    }
    Ok(is_granted)
}
