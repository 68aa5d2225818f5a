//! Finds out whether an endpoint has ended when an answer of it broke off.
//!
//! Answers break off for many reasons while the endpoint lives. Nobody listens at the address of one that
//! has ended: the next connection is refused. One look serves all requests that broke off together.

use super::events::{GatewayEvent, log_gateway};
use super::gateway_state::GatewayState;
use super::quarantine;
use super::sockets::connect;
use super::upstream::EndpointTarget;
use crate::clock::now_ms;
use dockgate_core::gateway::{EndpointId, InterruptionStatus, RequestFingerprint};
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

/// How long after an answer broke off the address is tried, and again where nothing is heard. The first
/// look waits until a process that ends has closed all that it has; bounds.
const LOOKS: [Duration; 3] = [
    Duration::from_millis(30),
    Duration::from_millis(300),
    Duration::from_millis(1_000),
];
/// How long opening a connection may take: links take a millisecond.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Notes that an endpoint broke an answer off, and has somebody look whether it has ended.
pub(super) fn note_interruption(
    state: &Arc<GatewayState>,
    target: &EndpointTarget,
    fingerprint: RequestFingerprint,
) {
    let now = now_ms();
    let status = state.with(|view| {
        let interruptions = &mut view.interruptions;
        interruptions.note_interruption(fingerprint, target.id, &target.name, now)
    });
    match status {
        InterruptionStatus::Unchecked => drop(tokio::spawn(look(state.clone(), target.clone()))),
        InterruptionStatus::CheckRunning => {}
        InterruptionStatus::Ended => note_ends(state, target.id, &target.name, &[fingerprint]),
    }
}

/// Notes that nobody listens where an endpoint was, or that another one does: where it broke answers off a moment
/// ago, it has ended.
pub(super) fn note_stopped(state: &GatewayState, target: &EndpointTarget) {
    let under = state.with(|view| view.interruptions.note_ended(target.id, now_ms()));
    note_ends(state, target.id, &target.name, &under);
}

/// Notes the requests under which an endpoint has ended.
fn note_ends(state: &GatewayState, endpoint: EndpointId, name: &str, under: &[RequestFingerprint]) {
    if under.is_empty() {
        return;
    }
    let fingerprints: Vec<String> = under.iter().map(RequestFingerprint::to_string).collect();
    log_gateway(&GatewayEvent::EndpointEnded {
        endpoint: name,
        under: &fingerprints,
    });
    quarantine::note_ends(state, endpoint, under);
}

async fn look(state: Arc<GatewayState>, target: EndpointTarget) {
    for wait in LOOKS {
        tokio::time::sleep(wait).await;
        match connect(target.address, CONNECT_TIMEOUT).await {
            Ok(_) => return note_listens(&state, target.id),
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                return note_stopped(&state, &target);
            }
            // A link that is cut says nothing of the endpoint.
            Err(_) => {}
        }
    }
}

fn note_listens(state: &GatewayState, endpoint: EndpointId) {
    state.with(|view| view.interruptions.note_listening(endpoint));
}

/// Notes the endpoints that have started again under their id since they broke answers off.
pub(super) fn note_restarts(state: &GatewayState) {
    let restarted = state.with(|view| {
        let endpoints = &view.endpoints;
        let life_of = |name| endpoints.current_lifetime(name);
        view.interruptions.take_restarted(life_of, now_ms())
    });
    for (endpoint, under) in restarted {
        note_ends(state, endpoint, &format!("{:016x}", endpoint.0), &under);
    }
}
