//! Sends datagrams to other boxes.
//!
//! Datagrams leave no connections hanging in a partition. Messages are independent of each other,
//! and one that cannot be sent counts as lost.

use super::engine_rates::reported_rates;
use super::gateway_metrics::GATEWAY_METRICS;
use super::gateway_state::GatewayState;
use crate::metrics::METRICS;
use dockgate_core::BoxKey;
use dockgate_proto::{GatewayDatagram, GatewayMessage};
use std::net::SocketAddr;

/// An encoded message with its kind.
#[derive(Debug, Clone)]
pub(super) struct EncodedMessage {
    kind: &'static str,
    bytes: Vec<u8>,
}

#[cfg(test)]
impl EncodedMessage {
    /// Returns the datagram.
    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}

/// Encodes a message of this box; returns `None`, and counts the failure, if encoding fails.
///
/// Heartbeats and digests carry the evacuation orders, so that these reach every box as fast as the
/// state of the fleet and do not wait for a larger transfer, and the rates of engines that differ.
pub(super) fn encode(state: &GatewayState, message: GatewayMessage) -> Option<EncodedMessage> {
    let kind = message.kind();
    let evacuations = match message {
        GatewayMessage::Heartbeat { .. } | GatewayMessage::Digest { .. } => {
            state.with(|view| view.endpoints.evacuations().iter().collect())
        }
        _ => Vec::new(),
    };
    let rates = reported_rates(state, &message);
    let datagram = GatewayDatagram {
        from: state.own_key(),
        incarnation: state.incarnation(),
        message,
        evacuations,
        rates,
    };
    match datagram.encode() {
        Ok(bytes) => Some(EncodedMessage { kind, bytes }),
        Err(error) => {
            log::warn!("encode a {kind} datagram: {error}");
            METRICS.ignored.with_label_values(&["send"]).inc();
            None
        }
    }
}

/// Sends an encoded message to an address.
pub(super) fn send_encoded(state: &GatewayState, to: SocketAddr, message: &EncodedMessage) {
    match state.datagrams.try_send_to(&message.bytes, to) {
        Ok(length) => GATEWAY_METRICS.record_datagram(message.kind, "sent", length),
        Err(_) => METRICS.ignored.with_label_values(&["send"]).inc(),
    }
}

/// Sends a message to an address.
pub(super) fn send_datagram(state: &GatewayState, to: SocketAddr, message: GatewayMessage) {
    if let Some(message) = encode(state, message) {
        send_encoded(state, to, &message);
    }
}

/// Sends a message to a box; the message counts as lost if the address is unknown.
pub(super) fn send_to(state: &GatewayState, to: BoxKey, message: GatewayMessage) {
    match state.with(|view| view.fleet.address(to)) {
        Some(address) => send_datagram(state, address, message),
        None => METRICS.ignored.with_label_values(&["send"]).inc(),
    }
}
