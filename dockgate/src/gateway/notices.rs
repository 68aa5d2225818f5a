//! Applies the notices that endpoints announce in their answers, up to the first byte of a request.

use super::datagrams::send_to;
use super::events::{GatewayEvent, log_gateway};
use super::gateway_metrics::GATEWAY_METRICS;
use super::gateway_state::GatewayState;
use super::upstream::{EndpointTarget, SendCondition};
use crate::clock::now_ms;
use crate::shared_stream::DisconnectMonitor;
use dockgate_core::BoxKey;
use dockgate_core::gateway::{EndpointId, EndpointNotice, EndpointState, NoticeUpdate};
use dockgate_proto::GatewayMessage;
use std::sync::Arc;

/// Applies the notice in the answer to `request`, and logs what has changed.
pub(super) fn receive_notice(
    state: &GatewayState,
    target: &EndpointTarget,
    request: &str,
    notice: EndpointNotice,
) {
    if notice.is_empty() {
        return;
    }
    GATEWAY_METRICS.record_notice(notice);
    let updates = state.with(|view| {
        let draw = rand::random();
        view.endpoints
            .receive_notice(target.id, notice, now_ms(), draw)
    });
    let endpoint = &target.name;
    for update in updates {
        log_gateway(&match update {
            NoticeUpdate::Leaving => GatewayEvent::EndpointLeaves { endpoint, request },
            NoticeUpdate::BackoffRequested(backoff) => GatewayEvent::EndpointRests {
                endpoint,
                request,
                for_ms: backoff.as_millis() as u64,
            },
        });
    }
}

/// Reports to the owner of an engine that the engine is leaving.
///
/// The owner then declines for it, so that other boxes need not learn it from their own requests.
pub(super) fn report_leaving(state: &GatewayState, target: &EndpointTarget) {
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

/// Reports again to the owners of ready engines what these announced to this box: that they are
/// leaving.
///
/// A report expires, and an engine that changes its owner needs it at the new one.
pub(super) fn repeat_leaving_reports(state: &GatewayState) {
    let table = state.table();
    let is_engine = |service: &str| {
        let key = table.find_service(service);
        key.is_some_and(|key| table.service(key).engine.is_some())
    };
    let reports = state.with(|view| {
        let leaving = view.endpoints.notices().leaving();
        let reports = leaving.filter_map(|id| {
            let record = &view.endpoints.get(id)?.record;
            let is_due = record.state == EndpointState::Ready && is_engine(&record.service);
            is_due.then(|| (view.fleet.owner(id, &record.domain, now_ms()), id))
        });
        reports.collect::<Vec<(BoxKey, EndpointId)>>()
    });
    for (owner, endpoint) in reports {
        if owner != state.own_key() {
            send_to(state, owner, GatewayMessage::EndpointLeaving { endpoint });
        }
    }
}

/// Applies a report by another box that an endpoint is leaving.
pub(super) fn receive_reported_leave(state: &GatewayState, endpoint: EndpointId) {
    let is_accepted = state.with(|view| view.endpoints.receive_reported_leave(endpoint, now_ms()));
    GATEWAY_METRICS.record_announced_notice(is_accepted);
}

/// Creates the condition on which a request of `caller` is sent to an endpoint: that the caller is
/// connected and the endpoint accepts requests.
///
/// Another answer of the endpoint, or an order to evacuate its failure domain, may arrive between
/// the placement and the first byte.
pub(super) fn send_condition(
    state: &Arc<GatewayState>,
    target: &EndpointTarget,
    caller: &DisconnectMonitor,
) -> SendCondition {
    let (state, id) = (state.clone(), target.id);
    SendCondition::new(caller, move || {
        state.with(|view| view.endpoints.accepts_requests(id, now_ms()))
    })
}
