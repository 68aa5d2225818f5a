//! Shares the quarantine of requests that crash endpoints with the other boxes.
//!
//! The state is in [`dockgate_core::gateway::SuspectRegistry`]. Boxes send each other reports,
//! which arrive within a second. The platform's store ([`super::quarantine_store`]) keeps the
//! quarantine across a restart of all boxes, and shares it with failure domains that are cut off
//! from the others.

use super::datagrams::{encode, send_datagram, send_encoded};
use super::events::{GatewayEvent, log_gateway};
use super::gateway_metrics::GATEWAY_METRICS;
use super::gateway_state::GatewayState;
use crate::clock::now_ms;
use dockgate_core::gateway::{
    EndpointId, Quarantine, QuarantineChange, SuspectKey, SuspectKind, SuspectReport,
};
use dockgate_proto::GatewayMessage;
use std::net::SocketAddr;

/// The probability that a report includes all quarantines, so that a box that missed one gets it
/// about a second later.
const FULL_REPORT_PROBABILITY: f64 = 0.25;

/// Records the requests that were interrupted by the end of an endpoint, and reports them at once.
pub(super) fn record_ends(state: &GatewayState, endpoint: EndpointId, interrupted: &[SuspectKey]) {
    let now = now_ms();
    let changes = state.with(|view| view.suspects.note_ended(interrupted, endpoint, now));
    log_changes(state, &changes, "own");
    broadcast_reports(state);
}

/// Logs verdicts that were reached without further evidence, and reports them at once.
pub(super) fn record_verdicts(state: &GatewayState, changes: &[QuarantineChange]) {
    if !changes.is_empty() {
        log_changes(state, changes, "own");
        broadcast_reports(state);
    }
}

/// Returns whether anything is suspected of crashing endpoints.
pub(super) fn has_suspects(state: &GatewayState) -> bool {
    !state.with(|view| view.suspects.is_empty())
}

/// Records that a request with these keys, its own and those of the shared parts of its prompt,
/// completed, which clears them of suspicion.
pub(super) fn record_completed(state: &GatewayState, keys: &[SuspectKey]) {
    let now = now_ms();
    let changes = state.with(|view| view.suspects.note_completed(keys, now));
    log_changes(state, &changes, "completed");
}

/// Returns the quarantines of the shared parts of a prompt, and of the request. The functions that
/// compute the keys are called only if anything, or any request, is in quarantine.
pub(super) fn find_quarantines(
    state: &GatewayState,
    parts: impl FnOnce() -> Vec<SuspectKey>,
    request: impl FnOnce() -> SuspectKey,
) -> Vec<(SuspectKey, Quarantine)> {
    let has_requests = state.with(|view| view.suspects.has_quarantined_requests());
    let mut quarantines = find_quarantined_parts(state, parts);
    if has_requests {
        quarantines.extend(active_quarantines(state, &[request()]));
    }
    quarantines
}

/// Returns the quarantines of the shared parts of a prompt; `parts` is called only if anything is in
/// quarantine.
pub(super) fn find_quarantined_parts(
    state: &GatewayState,
    parts: impl FnOnce() -> Vec<SuspectKey>,
) -> Vec<(SuspectKey, Quarantine)> {
    match state.with(|view| view.suspects.has_quarantined()) {
        true => active_quarantines(state, &parts()),
        false => Vec::new(),
    }
}

fn active_quarantines(state: &GatewayState, keys: &[SuspectKey]) -> Vec<(SuspectKey, Quarantine)> {
    let now = now_ms();
    state.with(|view| {
        let quarantines = keys.iter().filter_map(|key| {
            let quarantine = view.suspects.quarantine(*key, now).copied();
            quarantine.map(|quarantine| (*key, quarantine))
        });
        quarantines.collect()
    })
}

/// Merges quarantines that are known elsewhere.
pub(super) fn merge(state: &GatewayState, known: Vec<(SuspectKey, Quarantine)>, source: &str) {
    let now = now_ms();
    let changes = state.with(|view| {
        let known = known.into_iter();
        let changes =
            known.flat_map(|(fingerprint, known)| view.suspects.merge(fingerprint, known, now));
        changes.collect::<Vec<QuarantineChange>>()
    });
    log_changes(state, &changes, source);
}

/// Processes the reports of another box; a coordinator forwards changes at once.
pub(super) fn receive_reports(state: &GatewayState, from: SocketAddr, rows: &[SuspectReport]) {
    let now = now_ms();
    let changes = state.with(|view| view.suspects.receive(rows, now));
    log_changes(state, &changes, &from.to_string());
    if !changes.is_empty() && state.is_coordinator() {
        broadcast_reports(state);
    }
}

/// Releases a request on behalf of an operator, and reports it at once.
pub(super) fn release(state: &GatewayState, fingerprint: SuspectKey) {
    let now = now_ms();
    let changes = state.with(|view| view.suspects.release(fingerprint, now));
    log_changes(state, &changes, "operator");
    broadcast_reports(state);
}

/// Sends suspect reports to the coordinators of the own domain, and from a coordinator also to
/// those of the other domains.
pub(super) fn broadcast_reports(state: &GatewayState) {
    let now = now_ms();
    let is_full = rand::random_bool(FULL_REPORT_PROBABILITY);
    let due = state.with(|view| {
        if view.suspects.is_empty() {
            return None;
        }
        let rows = view.suspects.reports(is_full, now);
        let draw = rand::random_range(0..usize::MAX);
        let mut targets = view.fleet.heartbeat_targets(now, draw);
        if view.fleet.is_coordinator(now) {
            targets.extend(view.fleet.remote_coordinators(now));
        }
        (!rows.is_empty()).then_some((rows, targets))
    });
    let Some((rows, targets)) = due else { return };
    let messages = GatewayMessage::of_reports(rows).into_iter();
    for message in messages.filter_map(|message| encode(state, message)) {
        targets
            .iter()
            .for_each(|address| send_encoded(state, *address, &message));
    }
}

/// Sends suspect reports to a box of the own domain; complete ones if `is_new`.
pub(super) fn send_reports(state: &GatewayState, to: SocketAddr, is_new: bool) {
    let now = now_ms();
    let is_full = is_new || rand::random_bool(FULL_REPORT_PROBABILITY);
    let rows = state.with(|view| match view.suspects.is_empty() {
        true => Vec::new(),
        false => view.suspects.reports(is_full, now),
    });
    for message in GatewayMessage::of_reports(rows) {
        send_datagram(state, to, message);
    }
}

/// Returns the names of endpoints, or their keys if they are not known any more.
pub(super) fn endpoint_names(state: &GatewayState, endpoints: &[EndpointId]) -> Vec<String> {
    state.with(|view| {
        let name_of = |id: &EndpointId| {
            let known = view.endpoints.get(*id);
            known.map_or_else(|| format!("{:016x}", id.0), |known| known.record.id.clone())
        };
        endpoints.iter().map(name_of).collect()
    })
}

/// Logs and counts changes.
fn log_changes(state: &GatewayState, changes: &[QuarantineChange], source: &str) {
    for change in changes {
        let fingerprint = change.fingerprint.to_string();
        if !change.is_quarantined {
            GATEWAY_METRICS.record_quarantine_change("released");
            log_gateway(&GatewayEvent::RequestReleased {
                print: &fingerprint,
                kind: change.fingerprint.kind().as_str(),
                source,
            });
            continue;
        }
        GATEWAY_METRICS.record_quarantine_change("quarantined");
        if change.fingerprint.kind() == SuspectKind::Part {
            state.quarantined_parts.send_modify(|version| *version += 1);
        }
        let endpoints = endpoint_names(state, &change.ended_lifetimes);
        log_gateway(&GatewayEvent::RequestQuarantined {
            print: &fingerprint,
            kind: change.fingerprint.kind().as_str(),
            endpoints: &endpoints,
            source,
        });
    }
}
