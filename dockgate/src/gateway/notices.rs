//! Takes in what endpoints say of themselves in their answers, and heeds it until the first byte of a request.

use super::datagrams::send_to;
use super::events::{GatewayEvent, log_gateway};
use super::gateway_metrics::GATEWAY_METRICS;
use super::gateway_state::GatewayState;
use super::upstream::{EndpointTarget, SendCondition};
use crate::clock::now_ms;
use crate::shared_stream::PeerPresence;
use dockgate_core::gateway::{EndpointId, EndpointNotice, NoticeUpdate};
use dockgate_proto::GatewayMessage;
use std::sync::Arc;

/// Takes in what the answer to `request` says of its endpoint.
pub(super) fn hear(
    state: &GatewayState,
    target: &EndpointTarget,
    request: &str,
    notice: EndpointNotice,
) {
    if notice.is_empty() {
        return;
    }
    GATEWAY_METRICS.note_notice(notice);
    let news = state.with(|view| {
        let draw = rand::random();
        view.endpoints
            .receive_notice(target.id, notice, now_ms(), draw)
    });
    let endpoint = &target.name;
    for news in news {
        log_gateway(&match news {
            NoticeUpdate::Leaving => GatewayEvent::EndpointLeaves { endpoint, request },
            NoticeUpdate::BackoffRequested(rest) => GatewayEvent::EndpointRests {
                endpoint,
                request,
                for_ms: rest.as_millis() as u64,
            },
        });
    }
}

/// Tells the box that decides for an engine that it leaves, so that those who ask it need not find out by themselves.
///
/// Of hundreds of boxes each sends to one engine every few seconds.
pub(super) fn tell_owner(state: &GatewayState, target: &EndpointTarget) {
    let owner = state.with(|view| {
        let entry = view.endpoints.get(target.id)?;
        let domain = &entry.record.domain;
        Some(view.fleet.owner(target.id, domain, now_ms()))
    });
    if let Some(owner) = owner.filter(|owner| *owner != state.own_key()) {
        let endpoint = target.id;
        send_to(state, owner, GatewayMessage::EndpointLeaving { endpoint });
    }
}

/// Takes in another box's word that an endpoint leaves.
pub(super) fn hear_told(state: &GatewayState, endpoint: EndpointId) {
    let is_believed = state.with(|view| view.endpoints.receive_reported_leave(endpoint, now_ms()));
    GATEWAY_METRICS.note_told(is_believed);
}

/// Makes the condition on which a request of `caller` is sent to an endpoint: that both still want it.
///
/// Where a request goes is decided on what was heard by then; another answer may come between that and its first byte.
pub(super) fn send_condition(
    state: &Arc<GatewayState>,
    target: &EndpointTarget,
    caller: &PeerPresence,
) -> SendCondition {
    let (state, id) = (state.clone(), target.id);
    SendCondition::new(caller, move || {
        state.with(|view| view.endpoints.notices().accepts_requests(id, now_ms()))
    })
}
