//! Keeps the requests in quarantine in the platform's store, and asks it for trials.
//!
//! Boxes that were all restarted, or that are cut off from the others, learn from it what no box may send.
//! It is read with the probes of the store, which cost what they cost anyway, and written by the boxes that
//! follow the store for their domain, where it differs from what they believe. There is one value, written
//! under the condition that it is still the one that was read, so that no box undoes what another one wrote.

use super::events::{GatewayEvent, log_gateway};
use super::gateway_state::GatewayState;
use super::quarantine::{learn, tell};
use crate::clock::{now_ms, unix_ms};
use dockgate_core::gateway::{Quarantine, QuarantineStage, RequestFingerprint};
use dockgate_platform::{
    ClockPair, PlatformClient, PlatformError, PutCondition, PutOutcome, QUARANTINE_KEY,
    StoreListing, StoredValue, decode_quarantines, encode_quarantines,
};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How long a caller whose request may be let through for a trial waits for the store to allow it.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(400);

/// How long after a write the next one may be: probes may be answered with what was there a while ago, and boxes
/// of several domains may write in turn.
const WRITE_PAUSE: Duration = Duration::from_millis(1_000);

fn clock() -> ClockPair {
    ClockPair {
        now_ms: now_ms(),
        unix_ms: unix_ms(),
    }
}

/// Takes in what the store has; none where the value is no list of requests.
fn read(state: &GatewayState, stored: Option<&StoredValue>) -> Option<StoredStages> {
    let Some(stored) = stored else {
        return Some(StoredStages::default());
    };
    match decode_quarantines(&stored.bytes, clock()) {
        Ok(known) => {
            let stages = StoredStages::of(&known);
            learn(state, known, "store");
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

/// What the store says of each request.
#[derive(Debug, Default, PartialEq, Eq)]
struct StoredStages {
    stages: BTreeMap<RequestFingerprint, QuarantineStage>,
}

impl StoredStages {
    fn of(known: &[(RequestFingerprint, Quarantine)]) -> Self {
        let stages = known.iter().map(|(print, known)| (*print, known.stage));
        Self {
            stages: stages.collect(),
        }
    }
}

/// Takes in what a probe of the store listed, and has what it lacks written where this box `writes` for its
/// domain.
pub(super) fn sync(
    state: &Arc<GatewayState>,
    client: &PlatformClient,
    listing: &StoreListing,
    writes: bool,
) {
    let stored = listing.items.iter().find(|item| item.key == QUARANTINE_KEY);
    let seen = read(state, stored);
    let wanted = || state.with(|beliefs| beliefs.suspects.quarantines(now_ms()));
    // Another writer's value is replaced once there is something to say.
    let seen = seen.unwrap_or_default();
    let is_due = writes && seen != StoredStages::of(&wanted());
    if !is_due || state.writes_quarantine.swap(true, Ordering::AcqRel) {
        return;
    }
    // The next probe does not wait for it: how old the last one is says whether this box is heard.
    let (state, client) = (state.clone(), client.clone());
    tokio::spawn(async move {
        if let Err(error) = write(&state, &client).await {
            log::info!("write quarantine: {error}");
        }
        tokio::time::sleep(WRITE_PAUSE).await;
        state.writes_quarantine.store(false, Ordering::Release);
    });
}

/// Brings the value in the store to what this box believes, unless another box writes it meanwhile: the next
/// probe shows what came of it.
async fn write(state: &GatewayState, client: &PlatformClient) -> Result<(), PlatformError> {
    let stored = client.get(QUARANTINE_KEY).await?;
    let seen = read(state, stored.as_ref()).unwrap_or_default();
    let wanted = state.with(|beliefs| beliefs.suspects.quarantines(now_ms()));
    if seen == StoredStages::of(&wanted) {
        return Ok(());
    }
    put(client, stored.as_ref(), &wanted).await?;
    Ok(())
}

async fn put(
    client: &PlatformClient,
    stored: Option<&StoredValue>,
    wanted: &[(RequestFingerprint, Quarantine)],
) -> Result<PutOutcome, PlatformError> {
    let condition = match stored {
        Some(stored) => PutCondition::Revision(stored.revision),
        None => PutCondition::Absent,
    };
    let value = encode_quarantines(wanted, clock());
    client.put(QUARANTINE_KEY, value, condition, None).await
}

/// Asks whether this box may send a request in quarantine once: of all boxes that ask, on whichever side of a
/// cut, the store lets one do so. Where it does not answer, none may.
pub(super) async fn take_trial(state: &GatewayState, print: RequestFingerprint) -> bool {
    let asked = tokio::time::timeout(TRIAL_TIMEOUT, ask_trial(state, print)).await;
    match asked {
        Ok(Ok(is_granted)) => is_granted,
        Ok(Err(error)) => {
            log::info!("ask for a trial of {print}: {error}");
            false
        }
        Err(_) => {
            log::info!("ask for a trial of {print}: no answer in time");
            false
        }
    }
}

async fn ask_trial(state: &GatewayState, print: RequestFingerprint) -> Result<bool, PlatformError> {
    let client = state.store_client();
    let stored = client.get(QUARANTINE_KEY).await?;
    if read(state, stored.as_ref()).is_none() {
        return Ok(false);
    }
    let now = now_ms();
    let mut wanted = state.with(|beliefs| beliefs.suspects.quarantines(now));
    let due = wanted
        .iter_mut()
        .find(|(known, quarantine)| *known == print && quarantine.is_trial_due(now));
    let Some((_, quarantine)) = due else {
        return Ok(false);
    };
    *quarantine = quarantine.with_trial(now);
    let tried = *quarantine;
    let outcome = put(&client, stored.as_ref(), &wanted).await?;
    let is_granted = matches!(outcome, PutOutcome::Done(_));
    if is_granted {
        learn(state, vec![(print, tried)], "trial");
        tell(state);
        log_gateway(&GatewayEvent::RequestTried {
            print: &print.to_string(),
            trials: tried.stage.trials,
        });
    }
    Ok(is_granted)
}
