//! Follows the routes and the endpoints in the platform's store.
//!
//! A few boxes of each failure domain do so for all ([`dockgate_core::gateway::StoreFollower`]); the
//! others learn from them what has changed. Each key is listed once and then watched. A watch that
//! fails is made anew on a connection of its own; one whose history is lost lists anew and compares.
//! What is known stays in force meanwhile.

use super::events::{GatewayEvent, log_gateway};
use super::gateway_metrics::GATEWAY_METRICS;
use super::gateway_state::GatewayState;
use super::membership::send_beat;
use super::store_contact::StoreContact;
use crate::clock::wakings;
use dockgate_core::gateway::{EndpointChange, StoreRevision};
use dockgate_platform::{
    DecodedEndpoint, ENDPOINT_KEY_PREFIX, PlatformError, ROUTES_KEY, StoreEvent, StoreListing,
    StoredValue, WatchOutcome, decode_endpoint_event, decode_endpoint_item, decode_routes,
};
use std::sync::Arc;
use std::time::Duration;

/// How long a watch waits. Each is a call that costs something; one whose answer is lost keeps this
/// box uninformed for as long, unless another box tells it.
const WATCH: Duration = Duration::from_secs(8);
/// How long after a watch has returned the next one begins: changes that come together are then
/// told together, and the bound for a configuration is seconds.
const ROUTES_PAUSE: Duration = Duration::from_millis(50);
/// The same for endpoints, which change more often.
const ENDPOINTS_PAUSE: Duration = Duration::from_millis(300);
/// How long to wait after a failure; drawn anew each time, so that boxes do not call at once.
const RETRY_MS: std::ops::Range<u64> = 150..450;
async fn pause_after_failure() {
    let pause = rand::random_range(RETRY_MS);
    tokio::time::sleep(Duration::from_millis(pause)).await;
}

/// Waits until this box has to follow the store; returns whether it had to wait.
async fn wait_for_duty(state: &GatewayState, step: &'static str) -> bool {
    if state.follows_store() {
        return false;
    }
    state.note_store(step, None);
    let mut roles = state.store_roles();
    // The state that sends it lives as long as this task.
    let _ = roles.wait_for(|role| role.follows).await;
    true
}

/// Lists and watches the keys that `contact` names until the process ends; what is told is told with its era.
async fn follow<L, C>(
    state: &GatewayState,
    mut contact: StoreContact,
    pause: Duration,
    mut listed: L,
    mut changed: C,
) where
    L: FnMut(&StoreContact, StoreListing, u64),
    C: FnMut(&StoreContact, Vec<StoreEvent>, u64),
{
    let client = state.store_client();
    let prefix = contact.step;
    let mut returns = state.store_returns();
    let mut wakings = wakings();
    loop {
        if wait_for_duty(state, prefix).await {
            contact.begin(state.store_unheard_ms());
        }
        returns.mark_unchanged();
        let listing = client.list(prefix).await;
        let listing = listing.map(|listing| (state.note_era(listing.era, "store"), listing));
        let mut since = match listing {
            Ok((Some(era), listing)) => {
                contact.answered();
                contact.note_era(era);
                let revision = StoreRevision::new(era, listing.revision);
                listed(&contact, listing, era);
                revision
            }
            // It was on its way while the store went back.
            Ok((None, _)) => {
                pause_after_failure().await;
                continue;
            }
            Err(error) => {
                contact.lost(&error);
                state.note_store(prefix, None);
                pause_after_failure().await;
                continue;
            }
        };
        note_heard(state, prefix, since);
        while state.follows_store() {
            // What a watch was answered while the store was silent is lost, so that it is made anew; so is
            // one that hears nothing more while the store changes.
            let watched = tokio::select! {
                watched = client.watch(prefix, since.number, WATCH) => watched,
                Ok(()) = returns.changed() => {
                    let away_ms = *returns.borrow_and_update();
                    match state.is_era(since.era) {
                        true => contact.back(away_ms),
                        false => break,
                    }
                    continue;
                }
                // The channel lives as long as the process.
                _ = wakings.changed() => match state.has_listed(prefix) {
                    true => continue,
                    false => {
                        contact.woke();
                        break;
                    }
                }
            };
            match watched {
                // Changes of another era go on in a history that is not the one that was listed.
                Ok(WatchOutcome::Changes(changes))
                    if state.note_era(changes.era, "store") != Some(since.era) =>
                {
                    break;
                }
                Ok(WatchOutcome::Changes(changes)) => {
                    contact.answered();
                    since.number = changes.revision;
                    changed(&contact, changes.events, since.era);
                    note_heard(state, prefix, since);
                    tokio::time::sleep(pause).await;
                }
                Ok(WatchOutcome::HistoryLost) => {
                    contact.answered();
                    log_gateway(&GatewayEvent::StoreHistoryLost {
                        what: prefix,
                        since: since.number,
                    });
                    break;
                }
                Err(error) => {
                    contact.lost(&error);
                    state.note_store(prefix, None);
                    pause_after_failure().await;
                }
            }
        }
    }
}

/// Notes that the store has told what it has; a box to which nobody beats says so at once.
fn note_heard(state: &GatewayState, step: &'static str, revision: StoreRevision) {
    let began = state.note_store(step, Some(revision));
    if began || !state.coordinates() {
        send_beat(state);
    }
}

fn note_unreadable(what: &str, error: &PlatformError) {
    log_gateway(&GatewayEvent::Unreadable {
        what,
        problem: error.to_string(),
    });
}

fn offer(state: &GatewayState, value: &StoredValue) {
    if value.key != ROUTES_KEY {
        return;
    }
    match decode_routes(&value.bytes) {
        Ok(config) => state.offer_routes(config, "store"),
        Err(error) => note_unreadable(ROUTES_KEY, &error),
    }
}

/// Follows the routes.
pub(super) async fn follow_routes(state: Arc<GatewayState>) {
    let listed = |_: &StoreContact, listing: StoreListing, _| {
        listing.items.iter().for_each(|value| offer(&state, value));
    };
    let changed = |_: &StoreContact, events: Vec<StoreEvent>, _| {
        // Only the newest counts.
        let newest = events.iter().rev().find_map(|event| match event {
            StoreEvent::Written(value) => Some(value),
            StoreEvent::Removed(..) => None,
        });
        newest.into_iter().for_each(|value| offer(&state, value));
    };
    let contact = StoreContact::new(ROUTES_KEY, state.settings().drain);
    follow(&state, contact, ROUTES_PAUSE, listed, changed).await;
}

/// Notes a record that names no endpoint to use, and returns what is to be believed.
fn believe(reading: DecodedEndpoint) -> EndpointChange {
    let DecodedEndpoint { change, fault } = reading;
    if let Some(fault) = fault {
        GATEWAY_METRICS.note_unusable(fault.as_str());
        log_gateway(&GatewayEvent::Unreadable {
            what: &format!("{ENDPOINT_KEY_PREFIX}{}", change.id()),
            problem: format!(
                "{} at revision {}",
                fault.as_str(),
                change.revision().number
            ),
        });
    }
    change
}

/// Follows the endpoints.
pub(super) async fn follow_endpoints(state: Arc<GatewayState>) {
    let listed = |contact: &StoreContact, listing: StoreListing, era| {
        let readings = listing
            .items
            .iter()
            .map(|item| decode_endpoint_item(item, era));
        let listed = readings.map(believe).collect();
        let revision = StoreRevision::new(era, listing.revision);
        state.replace_endpoints(listed, revision, contact.kept_until_ms());
    };
    let changed = |contact: &StoreContact, events: Vec<StoreEvent>, era| {
        let readings = events.iter().map(|event| decode_endpoint_event(event, era));
        let changes = readings.map(believe).collect();
        state.apply_endpoints(changes, contact.kept_until_ms(), "store");
    };
    let contact = StoreContact::new(ENDPOINT_KEY_PREFIX, state.settings().drain);
    follow(&state, contact, ENDPOINTS_PAUSE, listed, changed).await;
}
