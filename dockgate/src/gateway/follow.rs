//! Follows the routes and the endpoints in the platform's store.
//!
//! A few boxes of each failure domain do so for all ([`dockgate_core::gateway::StoreDuty`]); the
//! others learn from them what has changed. Each key is listed once and then watched. A watch that
//! fails is made anew on a connection of its own; one whose history is lost lists anew and compares.
//! What is known stays in force meanwhile.

use super::events::{GatewayEvent, log_gateway};
use super::gateway_metrics::GATEWAY_METRICS;
use super::gateway_state::GatewayState;
use super::membership::send_beat;
use super::store_contact::StoreContact;
use crate::clock::wakings;
use dockgate_core::gateway::EndpointChange;
use dockgate_platform::{
    ENDPOINTS, EndpointReading, PlatformError, ROUTES, StoreEvent, StoreListing, StoredValue,
    WatchOutcome, decode_routes, read_endpoint, read_endpoint_event,
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

/// Lists and watches the keys that `contact` names until the process ends.
async fn follow<L, C>(
    state: &GatewayState,
    mut contact: StoreContact,
    pause: Duration,
    mut listed: L,
    mut changed: C,
) where
    L: FnMut(&StoreContact, StoreListing),
    C: FnMut(&StoreContact, Vec<StoreEvent>),
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
        let mut since = match client.list(prefix).await {
            Ok(listing) => {
                contact.answered();
                let revision = listing.revision;
                listed(&contact, listing);
                revision
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
                watched = client.watch(prefix, since, WATCH) => watched,
                Ok(()) = returns.changed() => {
                    let away_ms = *returns.borrow_and_update();
                    contact.back(away_ms);
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
                Ok(WatchOutcome::Changes(events, revision)) => {
                    contact.answered();
                    since = revision;
                    changed(&contact, events);
                    note_heard(state, prefix, since);
                    tokio::time::sleep(pause).await;
                }
                Ok(WatchOutcome::HistoryLost) => {
                    contact.answered();
                    log_gateway(&GatewayEvent::StoreHistoryLost {
                        what: prefix,
                        since,
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
fn note_heard(state: &GatewayState, step: &'static str, revision: u64) {
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
    if value.key != ROUTES {
        return;
    }
    match decode_routes(&value.bytes) {
        Ok(config) => state.offer_routes(config, "store"),
        Err(error) => note_unreadable(ROUTES, &error),
    }
}

/// Follows the routes.
pub(super) async fn follow_routes(state: Arc<GatewayState>) {
    let listed = |_: &StoreContact, listing: StoreListing| {
        listing.items.iter().for_each(|value| offer(&state, value));
    };
    let changed = |_: &StoreContact, events: Vec<StoreEvent>| {
        // Only the newest counts.
        let newest = events.iter().rev().find_map(|event| match event {
            StoreEvent::Written(value) => Some(value),
            StoreEvent::Removed(..) => None,
        });
        newest.into_iter().for_each(|value| offer(&state, value));
    };
    let contact = StoreContact::new(ROUTES, state.settings().drain);
    follow(&state, contact, ROUTES_PAUSE, listed, changed).await;
}

/// Notes a record that names no endpoint to use, and returns what is to be believed.
fn believe(reading: EndpointReading) -> EndpointChange {
    let EndpointReading { change, fault } = reading;
    if let Some(fault) = fault {
        GATEWAY_METRICS.note_unusable(fault.as_str());
        log_gateway(&GatewayEvent::Unreadable {
            what: &format!("{ENDPOINTS}{}", change.id()),
            problem: format!("{} at revision {}", fault.as_str(), change.revision()),
        });
    }
    change
}

/// Follows the endpoints.
pub(super) async fn follow_endpoints(state: Arc<GatewayState>) {
    let listed = |contact: &StoreContact, listing: StoreListing| {
        let readings = listing.items.iter().map(read_endpoint);
        let listed = readings.map(believe).collect();
        state.replace_endpoints(listed, listing.revision, contact.kept_until_ms());
    };
    let changed = |contact: &StoreContact, events: Vec<StoreEvent>| {
        let readings = events.iter().map(read_endpoint_event);
        let changes = readings.map(believe).collect();
        state.apply_endpoints(changes, contact.kept_until_ms(), "store");
    };
    let contact = StoreContact::new(ENDPOINTS, state.settings().drain);
    follow(&state, contact, ENDPOINTS_PAUSE, listed, changed).await;
}
