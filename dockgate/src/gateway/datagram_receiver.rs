//! Receives the datagrams of other boxes: heartbeats, digests, slot requests, verdicts and reports
//! of runs.
//!
//! If a verdict does not arrive in time, the requesting box decides itself.

use super::datagrams::send_datagram;
use super::engine_placement::{place_locally, receive_engine_report, record_cached};
use super::engine_rates::receive_rates;
use super::gateway_metrics::GATEWAY_METRICS;
use super::gateway_state::GatewayState;
use super::membership::{receive_digest, receive_heartbeat};
use super::notices::receive_reported_leave;
use super::quarantine;
use super::stream_origins;
use super::wait_queues::{decide_in_turn, end_run, process_queue, receive_wait_request};
use crate::clock::now_ms;
use crate::metrics::METRICS;
use dockgate_core::gateway::{
    AdmissionRequest, AdmissionVerdict, EndpointId, PrefillSpeed, RunKey,
};
use dockgate_proto::{GatewayDatagram, GatewayMessage};
use std::net::SocketAddr;
use std::sync::Arc;

/// The size of the receive buffer, in bytes: the largest datagram of UDP over IPv4.
const MAX_DATAGRAM_BYTES: usize = 65_507;

/// Receives datagrams until the process ends.
pub(super) async fn receive_datagrams(state: Arc<GatewayState>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match state.datagrams.recv_from(&mut buffer).await {
            Ok((length, from)) => match GatewayDatagram::decode(&buffer[..length]) {
                Ok(datagram) => {
                    let kind = datagram.message.kind();
                    GATEWAY_METRICS.record_datagram(kind, "received", length);
                    handle(&state, from, datagram);
                }
                Err(error) => {
                    METRICS.ignored.with_label_values(&["datagram"]).inc();
                    log::debug!("decode datagram from {from}: {error}");
                }
            },
            // An earlier send was refused; missing heartbeats show that the box is gone.
            Err(error) => log::debug!("receive datagrams: {error}"),
        }
    }
}

fn handle(state: &GatewayState, from: SocketAddr, datagram: GatewayDatagram) {
    let GatewayDatagram {
        from: peer,
        incarnation,
        message,
        evacuations,
        rates,
    } = datagram;
    state.apply_evacuations(evacuations, "box");
    receive_rates(state, &rates);
    let now = now_ms();
    let key_of = |number| RunKey {
        entry: peer,
        number,
    };
    match message {
        GatewayMessage::Heartbeat { heartbeat, shares } => {
            receive_heartbeat(state, from, heartbeat, incarnation, &shares);
        }
        GatewayMessage::Digest { digest, shares } => {
            receive_digest(state, digest, incarnation, &shares);
        }
        GatewayMessage::SlotRequest {
            run,
            endpoint,
            request,
        } => {
            let key = key_of(run);
            if let Some(verdict) = answer_slot_request(state, run, endpoint, key, &request) {
                send_datagram(state, from, verdict);
            }
        }
        GatewayMessage::Verdict {
            run,
            endpoint,
            verdict,
            backlog_ms,
            speed,
        } => {
            if speed != PrefillSpeed::UNKNOWN {
                receive_engine_report(state, endpoint, backlog_ms, speed);
            }
            let (waiting, is_running) = state.with(|view| {
                let waiting = view.slot_requests.remove(&run);
                (waiting, view.runs.contains_key(&run))
            });
            let is_delivered = waiting.is_some_and(|waiting| waiting.send(verdict).is_ok());
            let is_granted = matches!(verdict, AdmissionVerdict::Granted(_));
            // A grant that arrived too late is released, unless this box has sent the request
            // without it.
            if is_granted && !is_delivered && !is_running {
                send_datagram(state, from, GatewayMessage::Ended { run, endpoint });
            }
        }
        GatewayMessage::Placed {
            run,
            endpoint,
            request,
            started,
        } => {
            let key = key_of(run);
            place_locally(state, endpoint, key, &request);
            if started {
                state.with(|view| view.engines.start(endpoint, key, now, true));
            }
        }
        GatewayMessage::PartsRead { endpoint, parts } => {
            record_cached(state, endpoint, &parts);
        }
        GatewayMessage::Started { run, endpoint } => {
            let key = key_of(run);
            state.with(|view| view.engines.start(endpoint, key, now, true));
            process_queue(state, endpoint);
        }
        GatewayMessage::Ended { run, endpoint } => end_run(state, endpoint, key_of(run)),
        GatewayMessage::EndpointLeaving { endpoint } => receive_reported_leave(state, endpoint),
        GatewayMessage::Suspects { rows } | GatewayMessage::PartSuspects { rows } => {
            quarantine::receive_reports(state, from, &rows);
        }
        GatewayMessage::WaitRequest {
            run,
            endpoint,
            request,
            terms,
        } => receive_wait_request(state, key_of(run), endpoint, request, terms),
        GatewayMessage::StreamsBegan { streams } => stream_origins::receive_streams(state, streams),
        GatewayMessage::StoreStreams { streams } => {
            stream_origins::receive_streams_to_store(state, streams);
        }
        GatewayMessage::StreamQuery {
            query,
            stream,
            service,
            within_ms,
        } => {
            let origin = stream_origins::known_origin(state, stream, service, within_ms);
            let answer = GatewayMessage::StreamOrigin { query, origin };
            send_datagram(state, from, answer);
        }
        GatewayMessage::StreamOrigin { query, origin } => {
            stream_origins::receive_origin(state, query, peer, origin);
        }
    }
}

/// Decides on another box's slot request; returns the verdict with the load of the engine, or
/// `None` if the endpoint is not known here.
fn answer_slot_request(
    state: &GatewayState,
    run: u32,
    endpoint: EndpointId,
    key: RunKey,
    request: &AdmissionRequest,
) -> Option<GatewayMessage> {
    let verdict = decide_in_turn(state, endpoint, key, request)?;
    Some(verdict_message(state, run, endpoint, verdict))
}

/// Creates the message with a verdict and the load of the engine.
pub(super) fn verdict_message(
    state: &GatewayState,
    run: u32,
    endpoint: EndpointId,
    verdict: AdmissionVerdict,
) -> GatewayMessage {
    state.with(|view| {
        // Endpoints of plain services and those that have ended have no load.
        let load = view.engines.get(endpoint);
        GatewayMessage::Verdict {
            run,
            endpoint,
            verdict,
            backlog_ms: load.map_or(0, |load| load.backlog_ms(now_ms()) as u32),
            speed: load.map_or(PrefillSpeed::UNKNOWN, |load| load.model().speed()),
        }
    })
}

#[cfg(test)]
mod tests;
