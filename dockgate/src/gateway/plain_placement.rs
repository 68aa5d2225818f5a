//! Places a request at an endpoint of a plain service, with the consent of the box that owns the
//! endpoint.
//!
//! The owner counts the requests of all boxes at its endpoints ([`PlainLoads`]) and paces those to
//! cold ones. If it does not answer in time, the box that received the request decides by itself.
//!
//! [`PlainLoads`]: dockgate_core::gateway::PlainLoads

use super::datagrams::send_to;
use super::engine_placement::{place_locally, placed_message};
use super::gateway_metrics::GATEWAY_METRICS;
use super::gateway_state::GatewayState;
use super::notices::receive_reported_leave;
use super::pending_slot_request::PendingSlotRequest;
use super::run_guard::RunGuard;
use super::wait_queues::decide_in_turn;
use super::wait_window::WaitWindow;
use super::warmup_grants::warmup_pace;
use crate::clock::now_ms;
use dockgate_core::BoxKey;
use dockgate_core::gateway::{
    AdmissionRequest, AdmissionVerdict, EndpointId, EndpointObjection, RunKey, ShareLevel,
};
use std::sync::Arc;
use std::time::Duration;

/// Why a request was not placed at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PlainDecline {
    /// All its slots are taken, and more requests wait; a slot is predicted to be free after this
    /// many milliseconds, or 0 if there is no prediction.
    Full(u32),
    /// It warms up; its owner may grant a request after this many milliseconds.
    Warming(u32),
    /// It leaves or has ended.
    Leaving,
    /// It warms up, and its owner does not answer.
    Unanswered,
}

/// A request that was placed at an endpoint.
pub(super) struct PlainPlacement {
    /// Counts the request at the endpoint until it is dropped.
    pub(super) guard: RunGuard,
    /// The name of the box that decided.
    pub(super) decided_by: String,
}

/// Places a request, whose caller waits for `time_left`, at an endpoint.
///
/// # Errors
///
/// Returns the reason if the endpoint takes no more requests now.
pub(super) async fn request_plain_placement(
    state: &Arc<GatewayState>,
    endpoint: EndpointId,
    time_left: Duration,
) -> Result<PlainPlacement, PlainDecline> {
    let request = plain_request(time_left);
    let number = state.next_run_number();
    let owner = state.with(|view| {
        let entry = view.endpoints.get(endpoint)?;
        Some(view.fleet.owner(endpoint, &entry.record.domain, now_ms()))
    });
    let owner = owner.ok_or(PlainDecline::Leaving)?;
    let key = state.run_key(number);
    let verdict = match owner == state.own_key() {
        true => decide_in_turn(state, endpoint, key, &request),
        false => {
            let pending = PendingSlotRequest::send(state, number, endpoint, owner, &request);
            pending.verdict().await
        }
    };
    let decided_by = match verdict {
        Some(AdmissionVerdict::Granted(_)) => state.with(|view| view.fleet.name(owner).to_owned()),
        Some(verdict) => return Err(decline_of(state, endpoint, verdict)),
        None => {
            place_alone(state, endpoint, number, owner, &request)?;
            "entry alone".to_owned()
        }
    };
    Ok(PlainPlacement {
        guard: RunGuard::new(state, endpoint, number, owner, request),
        decided_by,
    })
}

/// Returns why a request was declined, and records that the endpoint leaves if that is the reason.
fn decline_of(
    state: &GatewayState,
    endpoint: EndpointId,
    verdict: AdmissionVerdict,
) -> PlainDecline {
    match verdict {
        AdmissionVerdict::Granted(wait_ms) | AdmissionVerdict::Declined(wait_ms) => {
            PlainDecline::Full(wait_ms)
        }
        AdmissionVerdict::Warming(wait_ms) => PlainDecline::Warming(wait_ms),
        AdmissionVerdict::Leaving => {
            receive_reported_leave(state, endpoint);
            PlainDecline::Leaving
        }
    }
}

/// A request that may wait for a slot of a plain endpoint.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlainWait {
    /// The hash of the workspace's name.
    pub(super) workspace: u64,
    /// The share level of the workspace.
    pub(super) level: ShareLevel,
    /// The time in which it may wait.
    pub(super) window: WaitWindow,
    /// The time for which the caller waits.
    pub(super) time_left: Duration,
}

/// Lets a request wait for a slot of an endpoint, which is predicted to be free after `predicted_ms`.
///
/// # Errors
///
/// Returns the reason if the request does not wait, or waits in vain.
pub(super) async fn wait_for_plain(
    state: &Arc<GatewayState>,
    endpoint: EndpointId,
    wait: PlainWait,
    predicted_ms: u32,
) -> Result<PlainPlacement, PlainDecline> {
    let full = PlainDecline::Full(predicted_ms);
    // The answer times of plain services are not predicted.
    let terms = wait.window.terms(0.0);
    let terms = terms.filter(|terms| predicted_ms <= terms.wait_ms);
    let terms = terms.ok_or(full)?;
    let request = AdmissionRequest {
        workspace: wait.workspace,
        level: wait.level,
        ..wait.window.refreshed(&plain_request(wait.time_left))
    };
    let number = state.next_run_number();
    let owner = state.with(|view| {
        let entry = view.endpoints.get(endpoint)?;
        Some(view.fleet.owner(endpoint, &entry.record.domain, now_ms()))
    });
    let owner = owner.ok_or(PlainDecline::Leaving)?;
    let pending =
        PendingSlotRequest::send_wait(state, number, endpoint, owner, request.clone(), terms);
    match pending.verdict().await {
        Some(AdmissionVerdict::Granted(_)) => Ok(PlainPlacement {
            guard: RunGuard::new(state, endpoint, number, owner, request),
            decided_by: state.with(|view| view.fleet.name(owner).to_owned()),
        }),
        Some(verdict) => Err(decline_of(state, endpoint, verdict)),
        None => {
            GATEWAY_METRICS.missed_verdicts.inc();
            Err(full)
        }
    }
}

/// Places a request whose owner does not answer, and reports it to the owner.
///
/// # Errors
///
/// Returns the reason if the endpoint is cold, since only its owner may grant requests then.
fn place_alone(
    state: &GatewayState,
    endpoint: EndpointId,
    number: u32,
    owner: BoxKey,
    request: &AdmissionRequest,
) -> Result<(), PlainDecline> {
    GATEWAY_METRICS.missed_verdicts.inc();
    if state.with(|view| view.warmups.is_cold(endpoint, now_ms())) {
        return Err(PlainDecline::Unanswered);
    }
    place_locally(state, endpoint, state.run_key(number), request);
    send_to(
        state,
        owner,
        placed_message(number, endpoint, request, false),
    );
    Ok(())
}

/// Returns the admission request for a request that is no prompt.
fn plain_request(time_left: Duration) -> AdmissionRequest {
    AdmissionRequest {
        workspace: 0,
        objective_ms: 0,
        shortest_objective_ms: 0,
        budget_ms: u32::try_from(time_left.as_millis()).unwrap_or(u32::MAX),
        level: ShareLevel::WITHIN,
        input: 0,
        output: 0,
        parts: Vec::new(),
    }
}

/// Decides, as the owner, on a request to an endpoint of a plain service, and counts it there if it
/// is granted. Returns `None` if the endpoint is unknown.
pub(super) fn decide_plain(
    state: &GatewayState,
    endpoint: EndpointId,
    key: RunKey,
    request: &AdmissionRequest,
) -> Option<AdmissionVerdict> {
    let now = now_ms();
    let pace = warmup_pace(state, endpoint);
    state.with(|view| {
        match view.endpoints.objection(endpoint, now) {
            Some(EndpointObjection::Leaving) => return Some(AdmissionVerdict::Leaving),
            Some(EndpointObjection::Evacuated) => return Some(AdmissionVerdict::Declined(0)),
            None => {}
        }
        let slots = view.endpoints.get(endpoint)?.record.slots;
        let until_ms = now + u64::from(request.budget_ms);
        if !view.plain_loads.try_place(endpoint, key, slots, until_ms) {
            return Some(AdmissionVerdict::Declined(0));
        }
        let granted = view.warmups.try_grant(endpoint, pace, now);
        Some(match granted {
            Ok(()) => AdmissionVerdict::Granted(0),
            Err(wait_ms) => {
                view.plain_loads.end(endpoint, key);
                AdmissionVerdict::Warming(wait_ms)
            }
        })
    })
}

#[cfg(test)]
mod tests;
