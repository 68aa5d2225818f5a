//! Keeps requests under which endpoints end from further endpoints, over all boxes.
//!
//! What is believed is in [`dockgate_core::gateway::SuspectRegistry`]. Boxes tell each other what they see, which
//! takes some tenths of a second; what must outlast all of them, or reach a failure domain that is cut off
//! from the others, stands in the platform's store ([`super::quarantine_store`]).

use super::datagrams::{encode, send_datagram, send_encoded};
use super::events::{GatewayEvent, log_gateway};
use super::gateway_metrics::GATEWAY_METRICS;
use super::gateway_state::GatewayState;
use crate::clock::now_ms;
use dockgate_core::gateway::{
    EndpointId, Quarantine, QuarantineChange, RequestFingerprint, SuspectReport,
};
use dockgate_proto::GatewayMessage;
use std::net::SocketAddr;

/// With which part of its answers and beats a box tells all quarantines again, so that a box which missed one
/// has it about a second later.
const WHOLE_PART: f64 = 0.25;

/// Notes the requests under which an endpoint has ended, and tells the others at once.
pub(super) fn note_ends(state: &GatewayState, endpoint: EndpointId, under: &[RequestFingerprint]) {
    let now = now_ms();
    let changes = state.with(|view| {
        let fingerprints = under.iter();
        let changes = fingerprints
            .filter_map(|fingerprint| view.suspects.note_ended(*fingerprint, endpoint, now));
        changes.collect::<Vec<QuarantineChange>>()
    });
    log_changes(state, &changes, "own");
    broadcast_reports(state);
}

/// Notes that a request ran to its end, which says that it ends no endpoints; `print` is asked for where that
/// matters alone.
pub(super) fn note_completed(
    state: &GatewayState,
    fingerprint: impl FnOnce() -> RequestFingerprint,
) {
    if state.with(|view| view.suspects.is_empty()) {
        return;
    }
    let fingerprint = fingerprint();
    let now = now_ms();
    let change = state.with(|view| view.suspects.note_completed(fingerprint, now));
    log_changes(state, change.as_slice(), "completed");
}

/// Returns the quarantine of a request, if it is in one; `print` is asked for where there are any alone.
pub(super) fn find_quarantine(
    state: &GatewayState,
    fingerprint: impl FnOnce() -> RequestFingerprint,
) -> Option<(RequestFingerprint, Quarantine)> {
    if !state.with(|view| view.suspects.has_quarantined()) {
        return None;
    }
    let fingerprint = fingerprint();
    let now = now_ms();
    let quarantine = state.with(|view| view.suspects.quarantine(fingerprint, now).copied());
    quarantine.map(|quarantine| (fingerprint, quarantine))
}

/// Takes in what is known elsewhere of requests in quarantine.
pub(super) fn merge(
    state: &GatewayState,
    known: Vec<(RequestFingerprint, Quarantine)>,
    source: &str,
) {
    let now = now_ms();
    let changes = state.with(|view| {
        let known = known.into_iter();
        let changes =
            known.filter_map(|(fingerprint, known)| view.suspects.merge(fingerprint, known, now));
        changes.collect::<Vec<QuarantineChange>>()
    });
    log_changes(state, &changes, source);
}

/// Takes in what another box tells; one that coordinates its domain passes verdicts on to the others at once.
pub(super) fn receive_reports(state: &GatewayState, from: SocketAddr, rows: &[SuspectReport]) {
    let now = now_ms();
    let changes = state.with(|view| view.suspects.receive(rows, now));
    log_changes(state, &changes, &from.to_string());
    if !changes.is_empty() && state.is_coordinator() {
        broadcast_reports(state);
    }
}

/// Releases a request, as an operator has decided; all boxes know it as soon as they would know a verdict.
pub(super) fn release(state: &GatewayState, fingerprint: RequestFingerprint) {
    let now = now_ms();
    let change = state.with(|view| view.suspects.release(fingerprint, now));
    log_changes(state, change.as_slice(), "operator");
    broadcast_reports(state);
}

/// Tells the boxes that pass news on what is new of requests under which endpoints end.
pub(super) fn broadcast_reports(state: &GatewayState) {
    let now = now_ms();
    let is_whole = rand::random_bool(WHOLE_PART);
    let told = state.with(|view| {
        if view.suspects.is_empty() {
            return None;
        }
        let rows = view.suspects.reports(is_whole, now);
        let draw = rand::random_range(0..usize::MAX);
        let mut to = view.fleet.heartbeat_targets(now, draw);
        if view.fleet.is_coordinator(now) {
            to.extend(view.fleet.remote_coordinators(now));
        }
        (!rows.is_empty()).then_some((rows, to))
    });
    let Some((rows, to)) = told else { return };
    let Some(message) = encode(state, GatewayMessage::Suspects { rows }) else {
        return;
    };
    to.into_iter()
        .for_each(|address| send_encoded(state, address, &message));
}

/// Tells one box of the own domain that has just said that it lives; `is_new` where it may know nothing.
pub(super) fn send_reports(state: &GatewayState, to: SocketAddr, is_new: bool) {
    let now = now_ms();
    let is_whole = is_new || rand::random_bool(WHOLE_PART);
    let rows = state.with(|view| match view.suspects.is_empty() {
        true => Vec::new(),
        false => view.suspects.reports(is_whole, now),
    });
    if !rows.is_empty() {
        send_datagram(state, to, GatewayMessage::Suspects { rows });
    }
}

/// Writes what has changed, with the evidence, and counts it.
fn log_changes(state: &GatewayState, changes: &[QuarantineChange], source: &str) {
    for change in changes {
        let fingerprint = change.fingerprint.to_string();
        if !change.is_quarantined {
            GATEWAY_METRICS.note_quarantine("released");
            log_gateway(&GatewayEvent::RequestReleased {
                print: &fingerprint,
                source,
            });
            continue;
        }
        GATEWAY_METRICS.note_quarantine("quarantined");
        let endpoints = state.with(|view| {
            let ends = change.ended_lifetimes.iter();
            let name = |id: &EndpointId| {
                let known = view.endpoints.get(*id);
                known.map_or_else(|| format!("{:016x}", id.0), |known| known.record.id.clone())
            };
            ends.map(name).collect::<Vec<String>>()
        });
        log_gateway(&GatewayEvent::RequestQuarantined {
            print: &fingerprint,
            endpoints: &endpoints,
            source,
        });
    }
}
