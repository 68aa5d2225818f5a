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
    let news = state.with(|beliefs| {
        let prints = under.iter();
        let news = prints.filter_map(|print| beliefs.suspects.note_ended(*print, endpoint, now));
        news.collect::<Vec<QuarantineChange>>()
    });
    log_news(state, &news, "own");
    tell(state);
}

/// Notes that a request ran to its end, which says that it ends no endpoints; `print` is asked for where that
/// matters alone.
pub(super) fn note_completed(state: &GatewayState, print: impl FnOnce() -> RequestFingerprint) {
    if state.with(|beliefs| beliefs.suspects.is_empty()) {
        return;
    }
    let print = print();
    let now = now_ms();
    let news = state.with(|beliefs| beliefs.suspects.note_completed(print, now));
    log_news(state, news.as_slice(), "completed");
}

/// Returns the quarantine of a request, if it is in one; `print` is asked for where there are any alone.
pub(super) fn find(
    state: &GatewayState,
    print: impl FnOnce() -> RequestFingerprint,
) -> Option<(RequestFingerprint, Quarantine)> {
    if !state.with(|beliefs| beliefs.suspects.has_quarantined()) {
        return None;
    }
    let print = print();
    let now = now_ms();
    let quarantine = state.with(|beliefs| beliefs.suspects.quarantine(print, now).copied());
    quarantine.map(|quarantine| (print, quarantine))
}

/// Takes in what is known elsewhere of requests in quarantine.
pub(super) fn learn(
    state: &GatewayState,
    known: Vec<(RequestFingerprint, Quarantine)>,
    source: &str,
) {
    let now = now_ms();
    let news = state.with(|beliefs| {
        let known = known.into_iter();
        let news = known.filter_map(|(print, known)| beliefs.suspects.merge(print, known, now));
        news.collect::<Vec<QuarantineChange>>()
    });
    log_news(state, &news, source);
}

/// Takes in what another box tells; one that coordinates its domain passes verdicts on to the others at once.
pub(super) fn hear(state: &GatewayState, from: SocketAddr, rows: &[SuspectReport]) {
    let now = now_ms();
    let news = state.with(|beliefs| beliefs.suspects.receive(rows, now));
    log_news(state, &news, &from.to_string());
    if !news.is_empty() && state.coordinates() {
        tell(state);
    }
}

/// Releases a request, as an operator has decided; all boxes know it as soon as they would know a verdict.
pub(super) fn release(state: &GatewayState, print: RequestFingerprint) {
    let now = now_ms();
    let news = state.with(|beliefs| beliefs.suspects.release(print, now));
    log_news(state, news.as_slice(), "operator");
    tell(state);
}

/// Tells the boxes that pass news on what is new of requests under which endpoints end.
pub(super) fn tell(state: &GatewayState) {
    let now = now_ms();
    let is_whole = rand::random_bool(WHOLE_PART);
    let told = state.with(|beliefs| {
        if beliefs.suspects.is_empty() {
            return None;
        }
        let rows = beliefs.suspects.reports(is_whole, now);
        let draw = rand::random_range(0..usize::MAX);
        let mut to = beliefs.fleet.heartbeat_targets(now, draw);
        if beliefs.fleet.is_coordinator(now) {
            to.extend(beliefs.fleet.remote_coordinators(now));
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
pub(super) fn tell_one(state: &GatewayState, to: SocketAddr, is_new: bool) {
    let now = now_ms();
    let is_whole = is_new || rand::random_bool(WHOLE_PART);
    let rows = state.with(|beliefs| match beliefs.suspects.is_empty() {
        true => Vec::new(),
        false => beliefs.suspects.reports(is_whole, now),
    });
    if !rows.is_empty() {
        send_datagram(state, to, GatewayMessage::Suspects { rows });
    }
}

/// Writes what has changed, with the evidence, and counts it.
fn log_news(state: &GatewayState, news: &[QuarantineChange], source: &str) {
    for news in news {
        let print = news.fingerprint.to_string();
        if !news.is_quarantined {
            GATEWAY_METRICS.record_quarantine_change("released");
            log_gateway(&GatewayEvent::RequestReleased {
                print: &print,
                source,
            });
            continue;
        }
        GATEWAY_METRICS.record_quarantine_change("quarantined");
        let endpoints = state.with(|beliefs| {
            let ends = news.ended_lifetimes.iter();
            let name = |id: &EndpointId| {
                let known = beliefs.endpoints.get(*id);
                known.map_or_else(|| format!("{:016x}", id.0), |known| known.record.id.clone())
            };
            ends.map(name).collect::<Vec<String>>()
        });
        log_gateway(&GatewayEvent::RequestQuarantined {
            print: &print,
            endpoints: &endpoints,
            source,
        });
    }
}
