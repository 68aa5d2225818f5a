//! Places a prompt on an engine, with the consent of the box that owns the engine.
//!
//! The homes of a prompt are the engines that are likely to have its shared parts in their cache.
//! Each engine has an owner among the boxes, which knows all prompts on it and decides on
//! admission. If the owner does not answer in time, the box that received the prompt decides by
//! itself, from the prompts that it has placed there.

use super::datagrams::send_to;
use super::events::DeclinedEngine;
use super::gateway_metrics::GATEWAY_METRICS;
use super::gateway_state::{GatewayState, GatewayView};
use super::notices::receive_reported_leave;
use super::pending_slot_request::PendingSlotRequest;
use super::placement_goal::{EndpointSearch, allowed_endpoints};
use super::plain_placement::decide_plain;
use super::run_guard::RunGuard;
use super::upstream::{ConnectionLimits, EndpointTarget};
use super::wait_queues::{decide_in_turn, engine_wait_ms, own_first_ms};
use super::wait_window::WaitWindow;
use super::warmup_grants::warmup_pace;
use crate::clock::now_ms;
use dockgate_core::BoxKey;
use dockgate_core::gateway::{
    AdmissionRequest, AdmissionVerdict, DomainKey, EndpointId, EndpointObjection, EngineSpec,
    HomeWeights, PrefillSpeed, PromptPart, PromptShape, ReadyEndpoint, RunKey, ServiceSpec,
    ShareLevel, placement_key, weighted_homes,
};
use dockgate_proto::GatewayMessage;
use std::sync::Arc;

/// The maximum number of other boxes assumed to send to an engine whose owner does not answer. If
/// all boxes of a large fleet were counted, nearly every prompt would be declined.
const MAX_UNCOORDINATED_SENDERS: u32 = 5;
/// The numbers of engines that are asked for a prompt.
#[derive(Debug, Clone, Copy)]
struct HomeCounts {
    /// For a prompt with many shared tokens. With more homes, the same parts are computed on more
    /// engines; with fewer, more requests overflow them.
    shared: usize,
    /// In the local failure domain, for a prompt with few shared tokens.
    local: usize,
    /// In other failure domains, if the workspace is within its share: its callers may all be in one
    /// domain while the engines of the others are idle.
    remote: usize,
}

/// The homes of a prompt.
const HOMES: HomeCounts = HomeCounts {
    shared: 2,
    local: 3,
    remote: 1,
};
/// The homes and the engines that are asked after they declined, while the budget for it lasts.
const HOMES_AND_OVERFLOW: HomeCounts = HomeCounts {
    shared: 6,
    local: 6,
    remote: 2,
};
/// Prompts with fewer shared tokens than this have their homes in the local failure domain:
/// computing the tokens again costs less than traffic between domains.
const LOCAL_BELOW_TOKENS: u32 = 1_500;

/// The placement of a prompt that an engine admitted.
pub(super) struct EnginePlacement {
    pub(super) target: EndpointTarget,
    /// Counts the prompt on the engine until it is dropped.
    pub(super) guard: RunGuard,
    /// The predicted time to the first event, in milliseconds.
    pub(super) expected_ms: u32,
    /// The name of the box that decided, or the rule that did.
    pub(super) decided_by: String,
}

/// The refusal of a prompt that no engine can serve in time.
#[derive(Debug, Clone, Default)]
pub(super) struct EngineRefusal {
    /// The engines that declined, in order.
    pub(super) declined: Vec<DeclinedEngine>,
    /// The shortest possible time to a first event, if it is too late at every engine.
    unattainable_ms: Option<u32>,
    /// The number of engines that declined because they warm up.
    warming: usize,
    /// The predicted time to the first event after the prompt has waited in vain.
    after_wait_ms: Option<u32>,
}

impl EngineRefusal {
    /// Returns the shortest predicted time to a first event, or `None` if there is no engine.
    pub(super) fn first_event_ms(&self) -> Option<u32> {
        let declined = self.declined.iter().map(|engine| engine.first_event_ms);
        let before_wait = declined.chain(self.unattainable_ms).min();
        self.after_wait_ms.or(before_wait)
    }

    /// Returns whether all engines that could be asked declined because they warm up.
    pub(super) fn is_warming(&self) -> bool {
        self.warming > 0 && self.warming == self.declined.len()
    }

    fn record(&mut self, home: &HomeEngine, decision: HomeDecision) {
        let is_warming = matches!(decision.verdict, AdmissionVerdict::Warming(_));
        self.warming += usize::from(is_warming);
        let predicted = decision.verdict.first_event_ms();
        self.declined
            .extend(predicted.map(|first_event_ms| DeclinedEngine {
                endpoint: home.target.name.clone(),
                first_event_ms,
                decided_by: decision.decided_by,
            }));
    }
}

/// The prompt for which an engine is sought.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineQuery<'a> {
    pub(super) service: &'a ServiceSpec,
    pub(super) prompt: &'a PromptShape,
    /// The subject of this request alone, for prompts without shared parts.
    pub(super) own_subject: u64,
    /// Which engines may be selected.
    pub(super) search: EndpointSearch<'a>,
    /// The usage of the workspace relative to its share.
    pub(super) level: ShareLevel,
    /// How long the caller of a stream that continues is assumed to wait for the next event, in
    /// milliseconds.
    pub(super) patience_ms: u32,
    /// The time in which it may wait for capacity; `None` if it may not.
    pub(super) wait: Option<WaitWindow>,
}

#[derive(Debug, Clone)]
struct HomeEngine {
    target: EndpointTarget,
    owner: BoxKey,
}

/// Selects up to `counts` homes of a prompt, best first; `local` is the failure domain of this box.
///
/// A prompt with few shared tokens has local homes first and some remote ones after them. If the
/// local domain has too few engines, remote ones take their place.
fn select_homes(
    query: &EngineQuery,
    counts: HomeCounts,
    ready: &[ReadyEndpoint],
    local: DomainKey,
    weights: &HomeWeights,
    accepts: impl Fn(EndpointId) -> bool,
) -> Vec<EndpointId> {
    let own = query.own_subject;
    let subject = query.prompt.affinity_key().unwrap_or(own);
    let subject = placement_key(subject, own, query.search.tried.len());
    if query.prompt.shared_tokens() >= LOCAL_BELOW_TOKENS {
        let all = ready.iter().map(|ready| ready.id);
        return weighted_homes(subject, all, weights, counts.shared, accepts);
    }
    let of_domain = |is_local: bool| {
        let ready = ready.iter();
        let ready = ready.filter(move |ready| (ready.domain == local) == is_local);
        ready.map(|ready| ready.id)
    };
    let mut homes = weighted_homes(subject, of_domain(true), weights, counts.local, &accepts);
    let remote_homes = if query.level.is_beyond() {
        0
    } else {
        counts.remote
    };
    let missing = counts.local - homes.len();
    homes.extend(weighted_homes(
        subject,
        of_domain(false),
        weights,
        missing + remote_homes,
        &accepts,
    ));
    homes
}

fn ordered_homes(view: &GatewayView, query: &EngineQuery, counts: HomeCounts) -> Vec<HomeEngine> {
    let now = now_ms();
    let ready = view.endpoints.ready(&query.service.name);
    let is_allowed = view.version_rule(query.search.goal, &query.service.name);
    let ready = &*allowed_endpoints(ready, is_allowed);
    let local = DomainKey::from_name(&view.fleet.own().domain);
    let weights = view.engine_weights.homes();
    let entry = |id: EndpointId| view.endpoints.get(id);
    let is_accepted =
        |id: EndpointId| entry(id).is_some_and(|entry| query.search.accepts(&entry.health));
    let is_eligible = |id: EndpointId| {
        view.endpoints.is_eligible(id, now) && !query.search.tried.contains(&id) && is_accepted(id)
    };
    let is_usable = |id: EndpointId| {
        let unreliable = entry(id).is_none_or(|entry| entry.health.is_unreliable(now));
        is_eligible(id) && !unreliable
    };
    let mut order = select_homes(query, counts, ready, local, weights, is_usable);
    if order.is_empty() {
        order = select_homes(query, counts, ready, local, weights, is_eligible);
    }
    // A cold engine is asked for its few grants; another one stands in for it.
    let is_warm = |id: EndpointId| !view.warmups.is_cold(id, now);
    if !order.iter().copied().all(is_warm) {
        let spares = select_homes(query, counts, ready, local, weights, |id| {
            is_usable(id) && is_warm(id)
        });
        let spares = spares.into_iter().filter(|id| !order.contains(id));
        order.extend(spares.collect::<Vec<EndpointId>>());
    }
    let boxes = view.fleet.live_count(now);
    let homes = order.into_iter().filter_map(|id| {
        let entry = view.endpoints.get(id)?;
        Some(HomeEngine {
            target: EndpointTarget {
                id,
                name: entry.record.id.clone(),
                address: entry.record.address,
                version: entry.service_version().version,
                limits: ConnectionLimits::new(query.service.connections, entry.record.slots, boxes),
            },
            owner: view.fleet.owner(id, &entry.record.domain, now),
        })
    });
    homes.collect()
}

/// Decides on an admission request with the state of this box, and places the prompt if admitted.
///
/// `other_senders` is the number of boxes that may send to the engine unknown to this one. Returns
/// `None` if the engine is unknown.
pub(super) fn decide_locally(
    state: &GatewayState,
    endpoint: EndpointId,
    key: RunKey,
    request: &AdmissionRequest,
    other_senders: u32,
) -> Option<AdmissionVerdict> {
    let now = now_ms();
    let rule = state.settings().admission;
    let Some(spec) = engine_spec(state, endpoint) else {
        return decide_plain(state, endpoint, key, request);
    };
    let pace = warmup_pace(state, endpoint);
    state.with(|view| {
        let load = view.engines.load_mut(endpoint, spec);
        match view.endpoints.objection(endpoint, now) {
            Some(EndpointObjection::Leaving) => return Some(AdmissionVerdict::Leaving),
            Some(EndpointObjection::Evacuated) => {
                let first_ms = load.first_event_ms(request, now);
                return Some(AdmissionVerdict::Declined(first_ms as u32));
            }
            None => {}
        }
        let verdict = rule.decide(load, request, other_senders, now);
        if !matches!(verdict, AdmissionVerdict::Granted(_)) {
            return Some(verdict);
        }
        if let Err(wait_ms) = view.warmups.try_grant(endpoint, pace, now) {
            return Some(AdmissionVerdict::Warming(wait_ms));
        }
        GATEWAY_METRICS.record_admitted_prompt(request.input, load.work_of(request).tokens());
        load.place(key, request, now);
        Some(verdict)
    })
}

/// Records a prompt on an engine, whichever box decided.
pub(super) fn place_locally(
    state: &GatewayState,
    endpoint: EndpointId,
    key: RunKey,
    request: &AdmissionRequest,
) {
    let now = now_ms();
    let spec = engine_spec(state, endpoint);
    state.with(|view| match spec {
        Some(spec) => view
            .engines
            .load_mut(endpoint, spec)
            .place(key, request, now),
        None => {
            let until_ms = now + u64::from(request.budget_ms);
            view.plain_loads.place(endpoint, key, until_ms);
        }
    });
}

/// Creates the message that reports a prompt on an engine to its owner.
pub(super) fn placed_message(
    run: u32,
    endpoint: EndpointId,
    request: &AdmissionRequest,
    started: bool,
) -> GatewayMessage {
    GatewayMessage::Placed {
        run,
        endpoint,
        request: request.clone(),
        started,
    }
}

/// Records the parts that an engine has in its cache.
pub(super) fn record_cached(state: &GatewayState, endpoint: EndpointId, parts: &[PromptPart]) {
    if let Some(spec) = engine_spec(state, endpoint) {
        state.with(|view| view.engines.load_mut(endpoint, spec).note_cached(parts));
    }
}

/// Applies a report from the owner of an engine on its backlog and read speed.
pub(super) fn receive_engine_report(
    state: &GatewayState,
    endpoint: EndpointId,
    backlog_ms: u32,
    speed: PrefillSpeed,
) {
    if let Some(spec) = engine_spec(state, endpoint) {
        let now = now_ms();
        state.with(|view| {
            let load = view.engines.load_mut(endpoint, spec);
            load.apply_report(backlog_ms, speed, now);
        });
    }
}

/// Returns the specification of an engine, if it is known.
pub(super) fn engine_spec(state: &GatewayState, endpoint: EndpointId) -> Option<EngineSpec> {
    let table = state.table();
    state.with(|view| {
        let entry = view.endpoints.get(endpoint)?;
        let service = table.find_service(&entry.record.service)?;
        table.service(service).engine
    })
}

/// The verdict on a prompt for one home.
struct HomeDecision {
    verdict: AdmissionVerdict,
    number: u32,
    decided_by: String,
    /// Whether the owner of the engine decided.
    is_by_owner: bool,
}

/// Requests admission to one home from its owner; decides locally if the owner does not answer.
async fn request_placement(
    state: &GatewayState,
    home: &HomeEngine,
    request: &AdmissionRequest,
) -> Option<HomeDecision> {
    let number = state.next_run_number();
    if home.owner == state.own_key() {
        let decided_by = state.settings().name.clone();
        let verdict = decide_in_turn(state, home.target.id, state.run_key(number), request)?;
        return Some(HomeDecision {
            verdict,
            number,
            decided_by,
            is_by_owner: true,
        });
    }
    if let Some(decision) = decline_locally(state, home, request, number) {
        return Some(decision);
    }
    let slot_request = PendingSlotRequest::send(state, number, home.target.id, home.owner, request);
    if let Some(verdict) = slot_request.verdict().await {
        match verdict {
            AdmissionVerdict::Granted(_) => {
                place_locally(state, home.target.id, state.run_key(number), request);
            }
            AdmissionVerdict::Leaving => receive_reported_leave(state, home.target.id),
            AdmissionVerdict::Declined(_) | AdmissionVerdict::Warming(_) => {}
        }
        let decided_by = state.with(|view| view.fleet.name(home.owner).to_owned());
        return Some(HomeDecision {
            verdict,
            number,
            decided_by,
            is_by_owner: true,
        });
    }
    GATEWAY_METRICS.missed_verdicts.inc();
    let other_senders = state.with(|view| view.fleet.live_count(now_ms())) - 1;
    let other_senders = other_senders.min(MAX_UNCOORDINATED_SENDERS);
    let decision = decide_home_locally(
        state,
        home,
        request,
        other_senders,
        number,
        "entry alone".to_owned(),
    )?;
    if is_granted(&decision) {
        send_to(
            state,
            home.owner,
            placed_message(number, home.target.id, request, false),
        );
    }
    Some(decision)
}

/// Declines on behalf of the owner if the state of this box shows that the engine is too late.
fn decline_locally(
    state: &GatewayState,
    home: &HomeEngine,
    request: &AdmissionRequest,
    number: u32,
) -> Option<HomeDecision> {
    let settings = state.settings();
    let spec = engine_spec(state, home.target.id)?;
    let first_ms = state.with(|view| {
        let load = view.engines.load_mut(home.target.id, spec);
        settings.admission.local_decline_ms(load, request, now_ms())
    })?;
    GATEWAY_METRICS.declined_locally.inc();
    Some(HomeDecision {
        verdict: AdmissionVerdict::Declined(first_ms as u32),
        number,
        decided_by: settings.name.clone(),
        is_by_owner: false,
    })
}

/// Decides for one home with the state of this box.
fn decide_home_locally(
    state: &GatewayState,
    home: &HomeEngine,
    request: &AdmissionRequest,
    other_senders: u32,
    number: u32,
    decided_by: String,
) -> Option<HomeDecision> {
    let key = state.run_key(number);
    let verdict = decide_locally(state, home.target.id, key, request, other_senders)?;
    Some(HomeDecision {
        verdict,
        number,
        decided_by,
        is_by_owner: false,
    })
}

/// Finds an engine for a prompt.
///
/// # Errors
///
/// Returns an [`EngineRefusal`] if no home can serve it in time.
pub(super) async fn find_engine(
    state: &Arc<GatewayState>,
    query: EngineQuery<'_>,
    request: &AdmissionRequest,
) -> Result<EnginePlacement, EngineRefusal> {
    if let Some(first_ms) = unattainable_ms(state, &query, request) {
        return Err(EngineRefusal {
            unattainable_ms: Some(first_ms),
            ..EngineRefusal::default()
        });
    }
    let homes = state.with(|view| ordered_homes(view, &query, HOMES));
    let is_cold =
        |home: &HomeEngine| state.with(|view| view.warmups.is_cold(home.target.id, now_ms()));
    let warm_home = || homes.iter().find(|home| !is_cold(home));
    if let Some(home) = query.search.goal.is_resume().then(warm_home).flatten() {
        return Ok(place_unconditionally(state, home, request));
    }
    let mut refusal = EngineRefusal::default();
    let mut full_homes = Vec::new();
    let mut soonest: Option<(&HomeEngine, u32)> = None;
    for home in &homes {
        match request_placement(state, home, request).await {
            Some(decision) if is_granted(&decision) => {
                return Ok(engine_placement(state, home, decision, request));
            }
            Some(decision) => {
                full_homes.extend(full_home(home, &decision));
                match decision.verdict {
                    // An engine that warms up gets no request without a grant.
                    AdmissionVerdict::Declined(ms)
                        if soonest.is_none_or(|(_, known)| ms < known) && !is_cold(home) =>
                    {
                        soonest = Some((home, ms));
                    }
                    _ => {}
                }
                refusal.record(home, decision);
            }
            None => {}
        }
    }
    if let Some(placement) = overflow(state, &query, &homes, request).await {
        return Ok(placement);
    }
    // The caller already reads events, and loses more by a refusal than by a pause.
    let patience_ms = query.search.goal.continues().then_some(query.patience_ms);
    match soonest.zip(patience_ms) {
        Some(((home, first_ms), patience_ms)) if first_ms <= patience_ms => {
            return Ok(place_unconditionally(state, home, request));
        }
        _ => {}
    }
    match wait_at_home(state, &query, &full_homes, request).await {
        Ok(placement) => Ok(placement),
        Err(after_wait_ms) => Err(EngineRefusal {
            after_wait_ms,
            ..refusal
        }),
    }
}

/// A home whose owner declined a prompt for lack of capacity.
#[derive(Debug, Clone, Copy)]
struct FullHome<'a> {
    home: &'a HomeEngine,
    first_event_ms: u32,
}

fn full_home<'a>(home: &'a HomeEngine, decision: &HomeDecision) -> Option<FullHome<'a>> {
    match decision.verdict {
        AdmissionVerdict::Declined(first_event_ms) if decision.is_by_owner => Some(FullHome {
            home,
            first_event_ms,
        }),
        _ => None,
    }
}

/// The predicted wait of a prompt at a home that declined it.
struct HomeWait<'a> {
    home: &'a HomeEngine,
    /// The predicted time to the first event without waiting, in milliseconds.
    own_first_ms: f64,
    /// The predicted time until the home admits the prompt, in milliseconds.
    wait_ms: f64,
}

/// Predicts the wait of a prompt at a home; returns `None` if the home would decline the prompt even
/// when idle.
fn predict_wait<'a>(
    state: &GatewayState,
    full: &FullHome<'a>,
    request: &AdmissionRequest,
) -> Option<HomeWait<'a>> {
    let endpoint = full.home.target.id;
    let own_first_ms = own_first_ms(state, endpoint, request);
    let backlog_ms = f64::from(full.first_event_ms) - own_first_ms;
    let wait_ms = engine_wait_ms(state, endpoint, request, backlog_ms)?;
    Some(HomeWait {
        home: full.home,
        own_first_ms,
        wait_ms,
    })
}

/// Lets a prompt wait at the home with the shortest predicted wait, if it can be in time then.
///
/// # Errors
///
/// Returns the predicted time to the first event after the wait, if the prompt has waited.
async fn wait_at_home(
    state: &Arc<GatewayState>,
    query: &EngineQuery<'_>,
    full_homes: &[FullHome<'_>],
    request: &AdmissionRequest,
) -> Result<EnginePlacement, Option<u32>> {
    let window = query.wait.ok_or(None)?;
    let request = window.refreshed(request);
    let waits = full_homes
        .iter()
        .filter_map(|full| predict_wait(state, full, &request));
    let wait = waits.min_by(|a, b| a.wait_ms.total_cmp(&b.wait_ms));
    let HomeWait {
        home,
        own_first_ms,
        wait_ms,
    } = wait.ok_or(None)?;
    let terms = window.terms(own_first_ms);
    let terms = terms.filter(|terms| wait_ms <= f64::from(terms.wait_ms));
    let terms = terms.ok_or(None)?;
    let number = state.next_run_number();
    let endpoint = home.target.id;
    let owner = home.owner;
    let pending =
        PendingSlotRequest::send_wait(state, number, endpoint, owner, request.clone(), terms);
    let verdict = pending.verdict().await;
    match verdict {
        Some(AdmissionVerdict::Granted(_)) => {}
        Some(AdmissionVerdict::Leaving) => {
            receive_reported_leave(state, endpoint);
            return Err(None);
        }
        Some(AdmissionVerdict::Declined(first_ms) | AdmissionVerdict::Warming(first_ms)) => {
            return Err(Some(first_ms));
        }
        None => {
            GATEWAY_METRICS.missed_verdicts.inc();
            return Err(None);
        }
    }
    if owner != state.own_key() {
        place_locally(state, endpoint, state.run_key(number), &request);
    }
    let decision = HomeDecision {
        verdict: verdict.unwrap_or(AdmissionVerdict::Granted(0)),
        number,
        decided_by: state.with(|view| view.fleet.name(owner).to_owned()),
        is_by_owner: true,
    };
    Ok(engine_placement(state, home, decision, &request))
}

/// Asks further engines for a prompt that its `homes` declined, in the same order on all boxes, so
/// that prompts with the same shared parts overflow to the same engines.
async fn overflow(
    state: &Arc<GatewayState>,
    query: &EngineQuery<'_>,
    homes: &[HomeEngine],
    request: &AdmissionRequest,
) -> Option<EnginePlacement> {
    // The homes of a workspace beyond its share admit what its pressure allows.
    if query.level.is_beyond() || homes.is_empty() {
        return None;
    }
    let has_declined =
        |home: &HomeEngine| homes.iter().any(|known| known.target.id == home.target.id);
    let further = state.with(|view| ordered_homes(view, query, HOMES_AND_OVERFLOW));
    for engine in further.iter().filter(|home| !has_declined(home)) {
        if !state.with(|view| view.overflow.try_ask(now_ms())) {
            return None;
        }
        let decision = request_placement(state, engine, request).await;
        if let Some(decision) = decision.filter(is_granted) {
            state.with(|view| view.overflow.record_grant());
            GATEWAY_METRICS.overflowed.inc();
            return Some(engine_placement(state, engine, decision, request));
        }
    }
    None
}

/// Returns the shortest time to a first event in milliseconds, if it is too late at every engine.
fn unattainable_ms(
    state: &GatewayState,
    query: &EngineQuery<'_>,
    request: &AdmissionRequest,
) -> Option<u32> {
    // The fastest engine is checked only for a workspace beyond its share.
    let is_exempt = query.search.goal.continues() || !query.level.is_beyond();
    let spec = query.service.engine.filter(|_| !is_exempt)?;
    let rule = state.settings().admission;
    let first_ms = state.with(|view| {
        let fastest = view.engines.fastest(spec)?;
        rule.fastest_decline_ms(&fastest, request)
    })?;
    GATEWAY_METRICS.declined_locally.inc();
    Some(first_ms as u32)
}

/// Places a prompt whose stream is resumed, regardless of the backlog of the engine.
fn place_unconditionally(
    state: &Arc<GatewayState>,
    home: &HomeEngine,
    request: &AdmissionRequest,
) -> EnginePlacement {
    let number = state.next_run_number();
    place_locally(state, home.target.id, state.run_key(number), request);
    if home.owner != state.own_key() {
        send_to(
            state,
            home.owner,
            placed_message(number, home.target.id, request, false),
        );
    }
    let decision = HomeDecision {
        verdict: AdmissionVerdict::Granted(0),
        number,
        decided_by: "resume".to_owned(),
        is_by_owner: false,
    };
    engine_placement(state, home, decision, request)
}

const fn is_granted(decision: &HomeDecision) -> bool {
    matches!(decision.verdict, AdmissionVerdict::Granted(_))
}

fn engine_placement(
    state: &Arc<GatewayState>,
    home: &HomeEngine,
    decision: HomeDecision,
    request: &AdmissionRequest,
) -> EnginePlacement {
    let endpoint = home.target.id;
    EnginePlacement {
        target: home.target.clone(),
        guard: RunGuard::new(
            state,
            endpoint,
            decision.number,
            home.owner,
            request.clone(),
        ),
        expected_ms: decision.verdict.first_event_ms().unwrap_or_default(),
        decided_by: decision.decided_by,
    }
}

#[cfg(test)]
pub(super) mod tests;
