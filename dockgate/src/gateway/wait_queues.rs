//! The queues of requests that wait at the endpoints that this box owns.
//!
//! An entry box asks the owner to queue a request that all homes declined ([`WaitQueue`]). The owner
//! answers with a verdict at once or when the wait ends. It processes a queue when a run at the
//! endpoint starts or ends, and all queues every few milliseconds while a request waits, since the
//! backlog of an engine shrinks without a report.

use super::datagram_receiver::verdict_message;
use super::datagrams::send_to;
use super::engine_placement::{decide_locally, engine_spec};
use super::gateway_metrics::GATEWAY_METRICS;
use super::gateway_state::{GatewayState, GatewayView};
use crate::clock::now_ms;
use crate::metrics::METRICS;
use dockgate_core::BoxKey;
use dockgate_core::gateway::{
    AdmissionRequest, AdmissionVerdict, EndpointId, EndpointObjection, EngineLoad, RunKey,
    WaitOffer, WaitOutcome, WaitQueue, WaitRank, WaitTerms, WaitingRequest,
};
use std::sync::Arc;
use std::time::Duration;

/// The interval at which all queues are processed while a request waits: short compared with the
/// wait that an objective of 500 ms allows, about 60 ms.
const PROCESS_INTERVAL: Duration = Duration::from_millis(10);

/// The verdict on a request that waits at an endpoint that is no longer known.
const GONE: AdmissionVerdict = AdmissionVerdict::Declined(0);

/// Decides on a slot request as the owner of an endpoint, with the state of this box.
///
/// No request is admitted ahead of those that wait. A slot request states no priority; if its
/// request precedes those that wait, its entry asks to queue it, with its priority. Returns `None`
/// if the endpoint is unknown.
pub(super) fn decide_in_turn(
    state: &GatewayState,
    endpoint: EndpointId,
    key: RunKey,
    request: &AdmissionRequest,
) -> Option<AdmissionVerdict> {
    if !state.settings().conditions.contended {
        return decide_locally(state, endpoint, key, request, 0);
    }
    if has_waiting(state, endpoint) {
        return Some(decline_behind_waiting(state, endpoint, request));
    }
    let verdict = decide_locally(state, endpoint, key, request, 0)?;
    Some(match is_full(state, endpoint, verdict) {
        true => decline_behind_waiting(state, endpoint, request),
        false => verdict,
    })
}

/// Returns whether requests wait for an endpoint.
fn has_waiting(state: &GatewayState, endpoint: EndpointId) -> bool {
    state.with(|view| queue_of(view, endpoint).is_some_and(|queue| !queue.is_empty()))
}

fn queue_of(view: &GatewayView, endpoint: EndpointId) -> Option<&WaitQueue> {
    view.wait_queues.get(&endpoint)
}

/// Declines a request, with its predicted time to the first event behind all that wait.
fn decline_behind_waiting(
    state: &GatewayState,
    endpoint: EndpointId,
    request: &AdmissionRequest,
) -> AdmissionVerdict {
    let backlog = predicted_backlog(state, endpoint, request, None);
    let own_ms = own_first_ms(state, endpoint, request);
    AdmissionVerdict::Declined((backlog.prefill_ms.max(backlog.slot_ms) + own_ms) as u32)
}

/// Returns the predicted time to the first event of a request that does not wait, in milliseconds;
/// 0 for plain services, whose answer times are not predicted.
pub(super) fn own_first_ms(
    state: &GatewayState,
    endpoint: EndpointId,
    request: &AdmissionRequest,
) -> f64 {
    let Some(spec) = engine_spec(state, endpoint) else {
        return 0.0;
    };
    state.with(|view| {
        let load = view.engines.load_mut(endpoint, spec);
        load.model().first_event_ms(load.work_of(request))
    })
}

/// What a request has to wait for at an endpoint, in milliseconds from now.
#[derive(Debug, Clone, Copy)]
struct WaitBacklog {
    /// The time until the prompts before it are prefilled; 0 for plain services.
    prefill_ms: f64,
    /// The time until a slot is free.
    slot_ms: f64,
}

/// Predicts what a request has to wait for behind those that precede `rank`, or all that wait.
fn predicted_backlog(
    state: &GatewayState,
    endpoint: EndpointId,
    request: &AdmissionRequest,
    rank: Option<WaitRank>,
) -> WaitBacklog {
    let now = now_ms();
    let rule = state.settings().admission;
    let spec = engine_spec(state, endpoint);
    state.with(|view| {
        let GatewayView {
            wait_queues,
            engines,
            ..
        } = view;
        let queue = wait_queues.entry(endpoint).or_default();
        let ahead = || {
            let precedes = |other: &&WaitingRequest| rank.is_none_or(|rank| other.rank <= rank);
            queue.iter().take_while(precedes)
        };
        let slot_ms = queue.slot_wait_ms(ahead().count());
        let Some(spec) = spec else {
            return WaitBacklog {
                prefill_ms: 0.0,
                slot_ms,
            };
        };
        let load = engines.load_mut(endpoint, spec);
        let prefill_ms = |other: &WaitingRequest| {
            let work = load.work_of(&other.request);
            load.model().prefill_ms(work)
        };
        let has_room = rule.has_room_for(load, request);
        WaitBacklog {
            prefill_ms: load.backlog_ms(now) + ahead().map(prefill_ms).sum::<f64>(),
            slot_ms: if has_room { 0.0 } else { slot_ms },
        }
    })
}

/// Predicts how long a new request has to wait, in milliseconds. Returns `None` if the endpoint
/// would decline it even when idle.
fn predicted_wait_ms(
    state: &GatewayState,
    endpoint: EndpointId,
    new: &WaitingRequest,
) -> Option<f64> {
    let backlog = predicted_backlog(state, endpoint, &new.request, Some(new.rank));
    let prefill_ms = engine_wait_ms(state, endpoint, &new.request, backlog.prefill_ms)?;
    Some(prefill_ms.max(backlog.slot_ms))
}

/// Returns how long an engine with this backlog declines a prompt, in milliseconds; 0 for plain
/// services, and `None` if it would decline the prompt even when idle.
pub(super) fn engine_wait_ms(
    state: &GatewayState,
    endpoint: EndpointId,
    request: &AdmissionRequest,
    backlog_ms: f64,
) -> Option<f64> {
    let rule = state.settings().admission;
    let Some(spec) = engine_spec(state, endpoint) else {
        return Some(0.0);
    };
    state.with(|view| {
        let load = view.engines.load_mut(endpoint, spec);
        rule.wait_ms(load.model(), load.work_of(request), request, backlog_ms)
    })
}

/// Handles a request of an entry to queue a request, and answers it at once if it does not wait.
pub(super) fn receive_wait_request(
    state: &GatewayState,
    key: RunKey,
    endpoint: EndpointId,
    request: AdmissionRequest,
    terms: WaitTerms,
) {
    if !state.settings().conditions.contended || !is_known(state, endpoint) {
        // The configuration of the entry differs; it refuses the request when its wait times out.
        METRICS.ignored.with_label_values(&["wait"]).inc();
        return;
    }
    let own_ms = own_first_ms(state, endpoint, &request);
    let new = WaitingRequest::new(key, request, terms, own_ms, now_ms());
    process_queue(state, endpoint);
    if let Some(verdict) = decide_at_once(state, endpoint, &new) {
        return finish(state, endpoint, &new, outcome_of(verdict), verdict);
    }
    let predicted_ms = predicted_wait_ms(state, endpoint, &new);
    let capacity = capacity_of(state, endpoint);
    let offer = state.with(|view| {
        let queue = view.wait_queues.entry(endpoint).or_default();
        queue.offer(new.clone(), capacity, predicted_ms.unwrap_or(f64::INFINITY))
    });
    match offer {
        WaitOffer::Queued => state.wait_began.notify_one(),
        WaitOffer::Displaces(displaced) => {
            decline(state, endpoint, &displaced, WaitOutcome::Displaced);
        }
        WaitOffer::Declined => decline(state, endpoint, &new, WaitOutcome::Declined),
        WaitOffer::Ignored => METRICS.ignored.with_label_values(&["wait"]).inc(),
    }
}

fn is_known(state: &GatewayState, endpoint: EndpointId) -> bool {
    let now = now_ms();
    state.with(|view| {
        let leaves = view.endpoints.objection(endpoint, now) == Some(EndpointObjection::Leaving);
        leaves || view.endpoints.get(endpoint).is_some()
    })
}

/// Returns the maximum number of requests that wait for an endpoint: its slots, which bounds the
/// wait of the last one to about one run.
fn capacity_of(state: &GatewayState, endpoint: EndpointId) -> usize {
    let spec = engine_spec(state, endpoint);
    let slots = state.with(|view| view.endpoints.get(endpoint).map(|entry| entry.record.slots));
    let slots = spec.map(|spec| spec.slots).or(slots);
    slots.unwrap_or_default() as usize
}

/// Decides on a new request that precedes all that wait; returns `None` if it has to wait.
fn decide_at_once(
    state: &GatewayState,
    endpoint: EndpointId,
    new: &WaitingRequest,
) -> Option<AdmissionVerdict> {
    let is_first = state.with(|view| {
        let queue = view.wait_queues.entry(endpoint).or_default();
        queue.accepts(new.key).then(|| queue.precedes_all(new.rank))
    });
    let verdict = is_first.unwrap_or(false).then(|| {
        let verdict = decide_locally(state, endpoint, new.key, &new.request, 0);
        verdict.unwrap_or(GONE)
    });
    verdict.filter(|verdict| !is_full(state, endpoint, *verdict))
}

/// Returns whether an endpoint declined a request for lack of capacity, which may come.
fn is_full(state: &GatewayState, endpoint: EndpointId, verdict: AdmissionVerdict) -> bool {
    let now = now_ms();
    let has_objection = || state.with(|view| view.endpoints.objection(endpoint, now).is_some());
    matches!(verdict, AdmissionVerdict::Declined(_)) && !has_objection()
}

/// Ends the waits at an endpoint that can no longer be in time, and grants those that it has
/// capacity for, in order.
pub(super) fn process_queue(state: &GatewayState, endpoint: EndpointId) {
    if !has_waiting(state, endpoint) {
        return;
    }
    let now = now_ms();
    let late = state.with(|view| {
        let queue = view.wait_queues.get_mut(&endpoint);
        queue.map(|queue| queue.expire(now)).unwrap_or_default()
    });
    for waiting in &late {
        decline(state, endpoint, waiting, WaitOutcome::Late);
    }
    loop {
        let first = state.with(|view| queue_of(view, endpoint)?.first().cloned());
        let Some(first) = first else {
            return;
        };
        let verdict = decide_locally(state, endpoint, first.key, &first.request, 0);
        let verdict = verdict.unwrap_or(GONE);
        if is_known(state, endpoint) && is_full(state, endpoint, verdict) {
            return;
        }
        state.with(|view| {
            let queue = view.wait_queues.get_mut(&endpoint);
            queue.and_then(WaitQueue::take_first)
        });
        finish(state, endpoint, &first, outcome_of(verdict), verdict);
    }
}

/// Returns how a wait ends with this verdict of the endpoint.
const fn outcome_of(verdict: AdmissionVerdict) -> WaitOutcome {
    match verdict {
        AdmissionVerdict::Granted(_) => WaitOutcome::Granted,
        _ => WaitOutcome::Declined,
    }
}

/// Declines a request, with the time until there is capacity for one that returns.
fn decline(
    state: &GatewayState,
    endpoint: EndpointId,
    waiting: &WaitingRequest,
    outcome: WaitOutcome,
) {
    let verdict = decline_behind_waiting(state, endpoint, &waiting.request);
    finish(state, endpoint, waiting, outcome, verdict);
}

/// Sends the verdict on a request to its entry, and records how its wait ended.
fn finish(
    state: &GatewayState,
    endpoint: EndpointId,
    waiting: &WaitingRequest,
    outcome: WaitOutcome,
    verdict: AdmissionVerdict,
) {
    record_wait(state, endpoint, waiting, outcome);
    let now = now_ms();
    state.with(|view| {
        let queue = view.wait_queues.get_mut(&endpoint);
        queue.and_then(|queue| queue.close(waiting.key, now))
    });
    let RunKey { entry, number } = waiting.key;
    if entry == state.own_key() {
        let sender = state.with(|view| view.slot_requests.remove(&number));
        let is_delivered = sender.is_some_and(|sender| sender.send(verdict).is_ok());
        if !is_delivered && matches!(verdict, AdmissionVerdict::Granted(_)) {
            end_run(state, endpoint, waiting.key);
        }
        return;
    }
    send_to(
        state,
        entry,
        verdict_message(state, number, endpoint, verdict),
    );
}

fn record_wait(
    state: &GatewayState,
    endpoint: EndpointId,
    waiting: &WaitingRequest,
    outcome: WaitOutcome,
) {
    let waited = Duration::from_millis(now_ms().saturating_sub(waiting.arrived_ms));
    state.with(|view| {
        let entry = view.endpoints.get(endpoint);
        let service = entry.map_or("", |entry| &entry.record.service);
        GATEWAY_METRICS.record_wait(service, outcome, waited);
    });
}

/// Ends a run at an endpoint, or the wait for one, and grants waiting requests the freed capacity.
pub(super) fn end_run(state: &GatewayState, endpoint: EndpointId, key: RunKey) {
    let now = now_ms();
    let withdrawn = state.with(|view| {
        // Without a queue, this box does not own the endpoint, or none had to wait for it so far.
        let has_queue = view.wait_queues.contains_key(&endpoint);
        let before = has_queue.then(|| (view.is_full(endpoint), view.count_runs(endpoint)));
        view.engines.end(endpoint, key);
        view.plain_loads.end(endpoint, key);
        let (was_full, runs) = before?;
        let left = view.count_runs(endpoint);
        let queue = view.wait_queues.get_mut(&endpoint)?;
        if left < runs {
            queue.record_end(was_full, now);
        }
        if left == 0 {
            queue.record_idle();
        }
        queue.close(key, now)
    });
    if let Some(withdrawn) = withdrawn {
        record_wait(state, endpoint, &withdrawn, WaitOutcome::Left);
    }
    process_queue(state, endpoint);
}

impl GatewayView {
    /// Returns the number of requests that are counted at an endpoint.
    fn count_runs(&self, endpoint: EndpointId) -> usize {
        let engine_runs = self.engines.get(endpoint).map(EngineLoad::runs);
        engine_runs.unwrap_or_else(|| self.plain_loads.count(endpoint))
    }

    /// Returns whether requests wait for an endpoint or all its slots are taken.
    fn is_full(&self, endpoint: EndpointId) -> bool {
        let waits = queue_of(self, endpoint).is_some_and(|queue| !queue.is_empty());
        let entry = self.endpoints.get(endpoint);
        let slots = entry.map_or(u32::MAX, |entry| entry.record.slots);
        waits || self.count_runs(endpoint) >= slots as usize
    }
}

/// Ends the waits of a box that has lost its state.
pub(super) fn forget_entry(state: &GatewayState, entry: BoxKey) {
    remove_waiting(state, |queue| queue.forget_entry(entry));
}

/// Ends the waits of boxes that are gone, and removes the queues that are no longer used.
pub(super) fn expire_queues(state: &GatewayState) {
    let now = now_ms();
    let gone: Vec<BoxKey> = state.with(|view| {
        let waiting = view.wait_queues.values().flat_map(WaitQueue::iter);
        let entries = waiting.map(|waiting| waiting.key.entry);
        let remote = entries.filter(|entry| *entry != state.own_key());
        remote
            .filter(|entry| view.fleet.is_gone(*entry, now))
            .collect()
    });
    remove_waiting(state, |queue| {
        let removed = gone.iter().map(|entry| queue.forget_entry(*entry));
        removed.flatten().collect::<Vec<_>>()
    });
    state.with(|view| {
        let GatewayView {
            wait_queues,
            endpoints,
            ..
        } = view;
        wait_queues
            .retain(|endpoint, queue| !queue.is_empty() || endpoints.get(*endpoint).is_some());
    });
}

fn remove_waiting(
    state: &GatewayState,
    mut remove: impl FnMut(&mut WaitQueue) -> Vec<WaitingRequest>,
) {
    let removed = state.with(|view| {
        let queues = view.wait_queues.iter_mut();
        let removed = queues.flat_map(|(endpoint, queue)| {
            let removed = remove(queue).into_iter();
            removed
                .map(|waiting| (*endpoint, waiting))
                .collect::<Vec<_>>()
        });
        removed.collect::<Vec<(EndpointId, WaitingRequest)>>()
    });
    for (endpoint, waiting) in &removed {
        record_wait(state, *endpoint, waiting, WaitOutcome::Left);
    }
}

/// Processes all queues while a request waits, until the process ends.
pub(super) async fn process_queues(state: Arc<GatewayState>) {
    loop {
        let endpoints = state.with(|view| {
            let queues = view.wait_queues.iter();
            let used = queues.filter(|(_, queue)| !queue.is_empty());
            used.map(|(endpoint, _)| *endpoint)
                .collect::<Vec<EndpointId>>()
        });
        if endpoints.is_empty() {
            state.wait_began.notified().await;
        }
        for endpoint in endpoints {
            process_queue(&state, endpoint);
        }
        tokio::time::sleep(PROCESS_INTERVAL).await;
    }
}

#[cfg(test)]
mod tests;
