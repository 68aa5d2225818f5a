//! Follows the routes, the evacuation orders and the endpoints in the platform's store.
//!
//! A few boxes of each failure domain follow the store
//! ([`dockgate_core::gateway::StoreFollower`]); the others receive changes from them. Each key
//! prefix is listed once and then watched. A watch that tells nothing while the store changes is
//! checked ([`CheckedWatch`]), a failed one is retried, and one whose history is lost or cannot be
//! read lists the keys again. The known state stays in force meanwhile.

use super::events::{GatewayEvent, log_gateway};
use super::gateway_metrics::GATEWAY_METRICS;
use super::gateway_state::GatewayState;
use super::membership::send_heartbeat;
use super::store_contact::StoreContact;
use crate::checked_watch::CheckedWatch;
use crate::clock::subscribe_resumes;
use dockgate_core::gateway::{EndpointChange, EvacuationOrder, StoreRevision};
use dockgate_platform::{
    DecodedEndpoint, ENDPOINT_KEY_PREFIX, OPERATOR_KEY_PREFIX, OperatorChange, PlatformError,
    ROUTES_KEY, StoreEvent, StoreListing, StoredValue, WatchOutcome, decode_endpoint_event,
    decode_endpoint_item, decode_operator_event, decode_operator_listing, decode_routes,
};
use std::sync::Arc;
use std::time::Duration;

/// How long a watch waits for changes: longer saves calls, but delays this box if the answer is
/// lost.
const WATCH_TIMEOUT: Duration = Duration::from_secs(8);
/// The pause between two watches of what operators write, so that changes in quick succession are
/// batched; the bound for a configuration is seconds.
const OPERATOR_PAUSE: Duration = Duration::from_millis(50);
/// The same for endpoints; longer, since they change more often.
const ENDPOINTS_PAUSE: Duration = Duration::from_millis(300);
/// The delay after a failed call, in milliseconds; random, so that boxes do not retry in step.
const RETRY_MS: std::ops::Range<u64> = 150..450;

async fn wait_before_retry() {
    let pause = rand::random_range(RETRY_MS);
    tokio::time::sleep(Duration::from_millis(pause)).await;
}

/// Waits until this box has to follow the store; returns whether it waited.
async fn wait_for_follower_role(state: &GatewayState, prefix: &'static str) -> bool {
    if state.follows_store() {
        return false;
    }
    state.set_store_revision(prefix, None);
    let mut roles = state.store_roles();
    // The sender outlives this task.
    let _ = roles.wait_for(|role| role.follows).await;
    true
}

/// Lists and watches the keys of `contact` until the process ends; passes listings and changes to
/// `listed` and `changed` along with the era of the store.
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
    let prefix = contact.prefix;
    let mut recoveries = state.store_recoveries();
    let mut resumes = subscribe_resumes();
    let mut moves = state.store_moves();
    loop {
        if wait_for_follower_role(state, prefix).await {
            let known =
                Some(state.endpoint_revision()).filter(|known| *known > StoreRevision::NONE);
            let known_era = known.map(|known| known.era);
            contact.start_following(state.store_proof_age_ms(), known_era);
        }
        recoveries.mark_unchanged();
        moves.mark_unchanged();
        let listing = client.list(prefix).await;
        let listing = listing.map(|listing| (state.record_era(listing.era, "store"), listing));
        let mut since = match listing {
            Ok((Some(era), listing)) => {
                contact.record_answer();
                contact.record_era(era);
                let revision = StoreRevision::new(era, listing.revision);
                listed(&contact, listing, era);
                revision
            }
            // The answer is of an earlier era of the store.
            Ok((None, _)) => {
                wait_before_retry().await;
                continue;
            }
            Err(error) => {
                contact.record_failure(&error);
                state.set_store_revision(prefix, None);
                wait_before_retry().await;
                continue;
            }
        };
        record_revision(state, prefix, since);
        let revisions = state.store_revisions();
        let mut watch = CheckedWatch::new(client.clone(), prefix, WATCH_TIMEOUT, revisions);
        while state.follows_store() {
            // A watch is recreated after an outage of the store, which may have lost its answer.
            let outcome = tokio::select! {
                outcome = watch.next(since, |result| contact.record_check(result, since)) => outcome,
                Ok(()) = recoveries.changed() => {
                    let away_ms = *recoveries.borrow_and_update();
                    match state.is_current_era(since.era) {
                        true => contact.record_recovery(away_ms),
                        false => break,
                    }
                    continue;
                }
                // A store at another address may have another history.
                Ok(()) = moves.changed() => break,
                // The channel is never closed.
                _ = resumes.changed() => match state.has_listed(prefix) {
                    true => continue,
                    false => {
                        contact.record_resume();
                        break;
                    }
                }
            };
            match outcome {
                // Changes of another era do not continue the listed history.
                Ok(WatchOutcome::Changes(changes))
                    if state.record_era(changes.era, "store") != Some(since.era) =>
                {
                    break;
                }
                Ok(WatchOutcome::Changes(changes)) => {
                    contact.record_answer();
                    since.number = changes.revision;
                    changed(&contact, changes.events, since.era);
                    record_revision(state, prefix, since);
                    tokio::time::sleep(pause).await;
                }
                Ok(WatchOutcome::HistoryLost) => {
                    contact.record_answer();
                    log_gateway(&GatewayEvent::StoreHistoryLost {
                        what: prefix,
                        since: since.number,
                    });
                    break;
                }
                Err(error) => {
                    contact.record_failure(&error);
                    state.set_store_revision(prefix, None);
                    wait_before_retry().await;
                    // The history only grows, while a listing holds each key once.
                    if error.is_unreadable() {
                        break;
                    }
                }
            }
        }
    }
}

/// Records the revision up to which the keys of `prefix` are known. Sends a heartbeat at once if
/// the box has just gained access to the store, or is no coordinator.
fn record_revision(state: &GatewayState, prefix: &'static str, revision: StoreRevision) {
    let has_recovered = state.set_store_revision(prefix, Some(revision));
    if has_recovered || !state.is_coordinator() {
        send_heartbeat(state);
    }
}

fn log_unreadable(what: &str, error: &PlatformError) {
    log_gateway(&GatewayEvent::Unreadable {
        what,
        problem: error.to_string(),
    });
}

fn apply_routes_value(state: &GatewayState, value: &StoredValue) {
    match decode_routes(&value.bytes) {
        Ok(config) => state.apply_routes(config, "store"),
        Err(error) => log_unreadable(ROUTES_KEY, &error),
    }
}

/// Splits changes of operators into the newest configuration and the evacuation orders.
fn split_changes(
    state: &GatewayState,
    changes: Vec<OperatorChange>,
) -> (Option<StoredValue>, Vec<EvacuationOrder>) {
    let (mut routes, mut orders) = (None, Vec::new());
    for change in changes {
        match change {
            OperatorChange::Routes(value) => routes = Some(value),
            OperatorChange::Evacuation(domain, order) => {
                state.with(|view| view.fleet.record_domain(&domain));
                orders.push(order);
            }
        }
    }
    (routes, orders)
}

/// Follows the routes and the evacuation orders of the operator.
pub(super) async fn follow_operator(state: Arc<GatewayState>) {
    let listed = |_: &StoreContact, listing: StoreListing, era| {
        let revision = StoreRevision::new(era, listing.revision);
        let changes = decode_operator_listing(&listing, era);
        let (routes, orders) = split_changes(&state, changes);
        state.replace_evacuations(orders, revision);
        routes
            .iter()
            .for_each(|value| apply_routes_value(&state, value));
    };
    let changed = |_: &StoreContact, events: Vec<StoreEvent>, era| {
        let changes = events.iter();
        let changes = changes.filter_map(|event| decode_operator_event(event, era));
        let (routes, orders) = split_changes(&state, changes.collect());
        state.apply_evacuations(orders, "store");
        routes
            .iter()
            .for_each(|value| apply_routes_value(&state, value));
    };
    let contact = StoreContact::new(OPERATOR_KEY_PREFIX, state.settings().drain);
    follow(&state, contact, OPERATOR_PAUSE, listed, changed).await;
}

/// Returns the change of a decoded record; logs and counts an invalid record.
fn accept_decoded(decoded: DecodedEndpoint) -> EndpointChange {
    let DecodedEndpoint { change, fault } = decoded;
    if let Some(fault) = fault {
        GATEWAY_METRICS.record_unusable_record(fault.as_str());
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
        let decoded = listing
            .items
            .iter()
            .map(|item| decode_endpoint_item(item, era));
        let listed = decoded.map(accept_decoded).collect();
        let revision = StoreRevision::new(era, listing.revision);
        let known = state.endpoint_revision();
        state.replace_endpoints(listed, revision, contact.kept_until_ms());
        if contact.keeps_removed_records() {
            state.request_removal_check(known);
        }
    };
    let changed = |contact: &StoreContact, events: Vec<StoreEvent>, era| {
        let decoded = events.iter().map(|event| decode_endpoint_event(event, era));
        let changes = decoded.map(accept_decoded).collect();
        let known = state.endpoint_revision();
        state.apply_endpoints(changes, contact.kept_until_ms(), "store");
        if contact.keeps_removed_records() {
            state.request_removal_check(known);
        }
    };
    let contact = StoreContact::new(ENDPOINT_KEY_PREFIX, state.settings().drain);
    follow(&state, contact, ENDPOINTS_PAUSE, listed, changed).await;
}
