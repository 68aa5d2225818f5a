//! Asks other boxes whether endpoints without a record were removed.
//!
//! Records that lapsed in an outage of the store are rewritten, so their endpoints are kept for a
//! while. A box that lists the store for the first time after an outage, or after its start, cannot
//! tell them from records that were removed. Boxes that the store answered all along can.

use super::events::{GatewayEvent, log_gateway};
use super::gateway_metrics::GATEWAY_METRICS;
use super::gateway_state::GatewayState;
use super::peer_state::fetch_state;
use crate::clock::now_ms;
use dockgate_core::gateway::StoreRevision;
use dockgate_proto::StateRequest;
use jsonrpsee::core::ClientError;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The pause between two queries.
const QUERY_PAUSE: Duration = Duration::from_millis(150);
/// How long an answer may take. Endpoints are kept for hardly longer than two such times.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// The name of these queries in logs and metrics.
const QUERY_NAME: &str = "removals";

/// Checks the endpoints that are kept without a record, until the process ends.
pub(super) async fn check_removals(state: Arc<GatewayState>) {
    let mut checks = state.removal_checks();
    loop {
        // The sender outlives this task.
        let _ = checks.wait_for(Option::is_some).await;
        if let Some(since) = state.take_removal_check() {
            check_since(&state, since).await;
        }
    }
}

/// Queries boxes until one has told all removals after `since`, or no endpoint is kept any more.
async fn check_since(state: &GatewayState, since: StoreRevision) {
    let mut failed = None;
    while state.with(|view| view.endpoints.has_unconfirmed()) {
        let witness = state.with(|view| view.fleet.find_removal_witness(failed, now_ms()));
        if let Some(peer) = witness {
            match query_removals(state, peer, since).await {
                Ok(true) => return,
                Ok(false) => {}
                Err(_) => failed = Some(peer),
            }
        }
        tokio::time::sleep(QUERY_PAUSE).await;
    }
}

/// Queries a box, and records the outcome and the duration; returns whether it has told all it can.
async fn query_removals(
    state: &GatewayState,
    peer: SocketAddr,
    since: StoreRevision,
) -> Result<bool, ClientError> {
    let started_ms = now_ms();
    let answer = fetch_state(peer, StateRequest::endpoints(since), ANSWER_TIMEOUT).await;
    let took_ms = now_ms() - started_ms;
    let took = Duration::from_millis(took_ms);
    GATEWAY_METRICS.record_state_request(QUERY_NAME, answer.is_ok(), took);
    let answer = answer.inspect_err(|error| {
        log_gateway(&GatewayEvent::StateUnanswered {
            peer: &peer.to_string(),
            what: QUERY_NAME,
            took_ms,
            problem: error.to_string(),
        });
    })?;
    // The other box knows nothing newer yet.
    let Some(update) = answer.endpoints else {
        return Ok(false);
    };
    // A full list does not tell removed endpoints from unknown ones, and a store that was restored
    // lacks records which endpoints rewrite.
    if update.since.is_none() || update.revision.era != since.era {
        return Ok(true);
    }
    let is_complete = update.revision >= state.with(|view| view.endpoints.revision());
    state.merge_removals(update.removed, &peer.to_string());
    Ok(is_complete)
}
