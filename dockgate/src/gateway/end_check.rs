//! Checks whether an endpoint ended when it broke off an answer.
//!
//! An answer may also break off while the endpoint keeps running. If the endpoint ended,
//! connections to its address are refused. One check covers all answers that broke off together.

use super::call::AdmittedCall;
use super::events::{GatewayEvent, log_gateway};
use super::gateway_state::GatewayState;
use super::quarantine;
use super::sockets::connect;
use super::upstream::EndpointTarget;
use crate::clock::now_ms;
use dockgate_core::gateway::{EndpointId, InterruptedRequest, InterruptionStatus};
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

/// The delays before the attempts to connect to the endpoint; the next one follows if the result is
/// unclear. The first delay gives an ending process the time to close its sockets.
const CHECK_DELAYS: [Duration; 3] = [
    Duration::from_millis(30),
    Duration::from_millis(300),
    Duration::from_millis(1_000),
];
/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Records that an endpoint broke off an answer, and starts a check unless one is running.
pub(super) fn record_interruption(call: &AdmittedCall, target: &EndpointTarget) {
    let (state, interrupted) = (&call.state, call.interrupted());
    let now = now_ms();
    let status = state.with(|view| {
        view.interrupted_parts
            .note(target.id, call.shared_parts(), now);
        let interruptions = &mut view.interruptions;
        interruptions.note_interruption(interrupted.clone(), target.id, &target.name, now)
    });
    match status {
        InterruptionStatus::Unchecked => drop(tokio::spawn(check(state.clone(), target.clone()))),
        InterruptionStatus::CheckRunning => {}
        InterruptionStatus::Ended => {
            record_ends(state, target.id, &target.name, &[interrupted]);
        }
    }
}

/// Records that nothing, or another endpoint, listens at the address of an endpoint. If it recently
/// broke off answers, it ended while it was running those requests.
pub(super) fn record_stopped(state: &GatewayState, target: &EndpointTarget) {
    let interrupted = state.with(|view| view.interruptions.note_ended(target.id, now_ms()));
    record_ends(state, target.id, &target.name, &interrupted);
}

/// Records the requests that were interrupted by the end of an endpoint.
fn record_ends(
    state: &GatewayState,
    endpoint: EndpointId,
    name: &str,
    interrupted: &[InterruptedRequest],
) {
    if interrupted.is_empty() {
        return;
    }
    let parts = state.with(|view| view.interrupted_parts.most_frequent(endpoint));
    let requests = interrupted.iter().map(|known| known.request.to_string());
    let fingerprints: Vec<String> = requests.collect();
    log_gateway(&GatewayEvent::EndpointEnded {
        endpoint: name,
        under: &fingerprints,
        parts: &parts,
    });
    quarantine::record_ends(state, endpoint, &InterruptedRequest::keys(interrupted));
}

async fn check(state: Arc<GatewayState>, target: EndpointTarget) {
    for delay in CHECK_DELAYS {
        tokio::time::sleep(delay).await;
        match connect(target.address, CONNECT_TIMEOUT).await {
            Ok(_) => return record_listening(&state, target.id),
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                return record_stopped(&state, &target);
            }
            // A failed link does not show whether the endpoint ended.
            Err(_) => {}
        }
    }
}

fn record_listening(state: &GatewayState, endpoint: EndpointId) {
    state.with(|view| view.interruptions.note_listening(endpoint));
}

/// Records the endpoints that broke off answers and have restarted under the same name since then.
pub(super) fn record_restarts(state: &GatewayState) {
    let restarted = state.with(|view| {
        let endpoints = &view.endpoints;
        let lifetime_of = |name| endpoints.current_lifetime(name);
        view.interruptions.take_restarted(lifetime_of, now_ms())
    });
    for (endpoint, interrupted) in restarted {
        record_ends(
            state,
            endpoint,
            &format!("{:016x}", endpoint.0),
            &interrupted,
        );
    }
}
