//! Finds an engine for a prompt: asks the boxes that decide for its homes.
//!
//! A prompt goes to the engine that is likely to keep its shared parts. The box that decides for
//! that engine knows all that is there, so its verdict is worth a round trip of two milliseconds;
//! where it does not answer in time, the entry decides alone on what it sent there itself.

mod pending_slot_request;

use super::datagrams::send_to;
use super::events::AskedEngine;
use super::gateway_metrics::GATEWAY_METRICS;
use super::gateway_state::{GatewayBeliefs, GatewayState};
use super::notices::receive_reported_leave;
use super::run_guard::RunGuard;
use super::upstream::{ConnectionLimits, EndpointTarget};
use crate::clock::now_ms;
use dockgate_core::BoxKey;
use dockgate_core::gateway::{
    DomainKey, EndpointId, EngineAsk, EngineSpec, EngineVerdict, PromptPart, PromptShape,
    ReadSpeed, ReadyEndpoint, RunKey, ServiceSpec, ShareLevel, best_homes, home_subject,
};
use dockgate_proto::GatewayMessage;
use pending_slot_request::PendingSlotRequest;
use std::sync::Arc;

/// As how many other boxes, that may all send to an engine whose decider does not answer, count at most:
/// as many as there are in a small fleet, where it was measured. With all of 295 boxes nearly every
/// prompt is declined that has to be decided on alone, since each box sends a 295th of what there is.
/// A bound.
const MAX_UNCOORDINATED_SENDERS: u32 = 5;
/// How many homes a prompt with much that others share has. More make the same parts be read at more
/// places: with two, a sixth fewer shared tokens are read again than with three; with one, 4 in 100
/// requests more are refused (loaded days of three deployments).
const SHARED_HOMES: usize = 2;
/// How many homes in the own failure domain a prompt with little of it has.
const LOCAL_HOMES: usize = 3;
/// How many homes elsewhere such a prompt has behind those, if its workspace is within its share: callers
/// of a large workspace may all be in one domain while the engines of the others are idle.
const REMOTE_HOMES: usize = 1;
/// A prompt with fewer shared tokens than this has its homes in the box's own failure domain:
/// reading them again takes a few milliseconds, and bytes between domains cost more.
const LOCAL_BELOW_TOKENS: u32 = 1_500;

/// A prompt that was admitted.
pub(super) struct EnginePlacement {
    /// The engine.
    pub(super) target: EndpointTarget,
    /// Counts the prompt there.
    pub(super) guard: RunGuard,
    /// After how many milliseconds the first event is expected.
    pub(super) expected_ms: u32,
    /// Who decided.
    pub(super) decided_by: String,
}

/// A prompt that no engine takes in time.
#[derive(Debug, Clone, Default)]
pub(super) struct EngineRefusal {
    /// The engines that were asked last, in order.
    pub(super) asked: Vec<AskedEngine>,
    /// The least time to a first event at any engine, where none had to be asked.
    unattainable_ms: Option<u32>,
}

impl EngineRefusal {
    /// Returns the shortest predicted time to a first event, where there is any engine.
    pub(super) fn first_event_ms(&self) -> Option<u32> {
        let asked = self.asked.iter().map(|asked| asked.first_event_ms);
        asked.chain(self.unattainable_ms).min()
    }

    fn note(&mut self, home: &HomeEngine, decision: HomeDecision) {
        let predicted = decision.verdict.first_event_ms();
        self.asked
            .extend(predicted.map(|first_event_ms| AskedEngine {
                endpoint: home.target.name.clone(),
                first_event_ms,
                decided_by: decision.decided_by,
            }));
    }
}

/// What is asked for.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineQuery<'a> {
    /// The service.
    pub(super) service: &'a ServiceSpec,
    /// The prompt.
    pub(super) prompt: &'a PromptShape,
    /// What names the subject of this request alone.
    pub(super) own_subject: u64,
    /// Engines that were tried already.
    pub(super) tried: &'a [EndpointId],
    /// Whether its stream goes on after an endpoint was lost.
    pub(super) resumed: bool,
    /// How its workspace stands.
    pub(super) level: ShareLevel,
}

#[derive(Debug, Clone)]
struct HomeEngine {
    target: EndpointTarget,
    owner: BoxKey,
}

/// Picks the homes of a prompt, best first: `near` tells of the own failure domain.
///
/// The homes of a prompt with little that others share are in the own domain first, and some of the
/// others behind them; where the own domain has few engines, others take their place.
fn pick_homes(
    query: &EngineQuery,
    ready: &[ReadyEndpoint],
    local: DomainKey,
    accepts: impl Fn(EndpointId) -> bool,
) -> Vec<EndpointId> {
    let own = query.own_subject;
    let subject = query.prompt.subject().unwrap_or(own);
    let subject = home_subject(subject, own, query.tried.len());
    if query.prompt.shared_tokens() >= LOCAL_BELOW_TOKENS {
        let all = ready.iter().map(|ready| ready.id);
        return best_homes(subject, all, SHARED_HOMES, accepts);
    }
    let of_domain = |is_local: bool| {
        let ready = ready.iter();
        let ready = ready.filter(move |ready| (ready.domain == local) == is_local);
        ready.map(|ready| ready.id)
    };
    let mut homes = best_homes(subject, of_domain(true), LOCAL_HOMES, &accepts);
    let remote_homes = if query.level.is_beyond() {
        0
    } else {
        REMOTE_HOMES
    };
    let missing = LOCAL_HOMES - homes.len();
    homes.extend(best_homes(
        subject,
        of_domain(false),
        missing + remote_homes,
        &accepts,
    ));
    homes
}

fn ordered_homes(beliefs: &GatewayBeliefs, query: &EngineQuery) -> Vec<HomeEngine> {
    let now = now_ms();
    let ready = beliefs.endpoints.ready(&query.service.name);
    let local = DomainKey::from_name(&beliefs.fleet.own().domain);
    let entry = |id: EndpointId| beliefs.endpoints.get(id);
    let is_eligible =
        |id: EndpointId| beliefs.endpoints.is_eligible(id, now) && !query.tried.contains(&id);
    let is_usable = |id: EndpointId| {
        let unreliable = entry(id).is_none_or(|entry| entry.health.is_unreliable(now));
        is_eligible(id) && !unreliable
    };
    let mut order = pick_homes(query, ready, local, is_usable);
    if order.is_empty() {
        order = pick_homes(query, ready, local, is_eligible);
    }
    let boxes = beliefs.fleet.live_count(now);
    let homes = order.into_iter().filter_map(|id| {
        let entry = beliefs.endpoints.get(id)?;
        Some(HomeEngine {
            target: EndpointTarget {
                id,
                name: entry.record.id.clone(),
                address: entry.record.address,
                limits: ConnectionLimits::new(query.service.connections, entry.record.slots, boxes),
            },
            owner: beliefs.fleet.owner(id, &entry.record.domain, now),
        })
    });
    homes.collect()
}

/// Decides on a seek with what this box believes, and places the prompt if it is admitted.
///
/// `others` says how many boxes send to the engine unseen. Returns none for an unknown engine.
pub(super) fn decide_locally(
    state: &GatewayState,
    endpoint: EndpointId,
    key: RunKey,
    request: &EngineAsk,
    other_senders: u32,
) -> Option<EngineVerdict> {
    let now = now_ms();
    let rule = state.settings().admission;
    let spec = engine_spec(state, endpoint)?;
    state.with(|beliefs| {
        let notices = beliefs.endpoints.notices();
        if notices.is_reported_leaving(endpoint, now) {
            return Some(EngineVerdict::Leaving);
        }
        let load = beliefs.engines.load_mut(endpoint, spec);
        let verdict = rule.decide(load, request, other_senders, now);
        if matches!(verdict, EngineVerdict::Granted(_)) {
            GATEWAY_METRICS.note_admitted(request.input, load.work_of(request).tokens());
            load.place(key, request, now);
        }
        Some(verdict)
    })
}

/// Notes a prompt that is at an engine, whoever decided.
pub(super) fn place_locally(
    state: &GatewayState,
    endpoint: EndpointId,
    key: RunKey,
    request: &EngineAsk,
) {
    if let Some(spec) = engine_spec(state, endpoint) {
        state.with(|beliefs| {
            beliefs
                .engines
                .load_mut(endpoint, spec)
                .place(key, request, now_ms());
        });
    }
}

/// Makes the message that a prompt is at an engine.
pub(super) fn placed_message(
    run: u32,
    endpoint: EndpointId,
    request: &EngineAsk,
    started: bool,
) -> GatewayMessage {
    GatewayMessage::Placed {
        run,
        endpoint,
        request: request.clone(),
        started,
    }
}

/// Notes what an engine is known to have cached.
pub(super) fn record_cached(state: &GatewayState, endpoint: EndpointId, parts: &[PromptPart]) {
    if let Some(spec) = engine_spec(state, endpoint) {
        state.with(|beliefs| beliefs.engines.load_mut(endpoint, spec).note_cached(parts));
    }
}

/// Takes in what the box that decides for an engine says of it.
pub(super) fn receive_engine_report(
    state: &GatewayState,
    endpoint: EndpointId,
    backlog_ms: u32,
    speed: ReadSpeed,
) {
    if let Some(spec) = engine_spec(state, endpoint) {
        let now = now_ms();
        state.with(|beliefs| {
            let load = beliefs.engines.load_mut(endpoint, spec);
            load.hear(backlog_ms, speed, now);
        });
    }
}

/// Returns what an engine holds, if it is known.
fn engine_spec(state: &GatewayState, endpoint: EndpointId) -> Option<EngineSpec> {
    let table = state.table();
    state.with(|beliefs| {
        let entry = beliefs.endpoints.get(endpoint)?;
        let service = table.find_service(&entry.record.service)?;
        table.service(service).engine
    })
}

/// One home that was asked, and what came of it.
struct HomeDecision {
    verdict: EngineVerdict,
    number: u32,
    decided_by: String,
}

/// Asks for one home: its owner, or this box where the owner does not answer in time.
async fn request_placement(
    state: &GatewayState,
    home: &HomeEngine,
    request: &EngineAsk,
) -> Option<HomeDecision> {
    let number = state.next_run();
    if home.owner == state.me() {
        let decided_by = state.settings().name.clone();
        return decide_home_locally(state, home, request, 0, number, decided_by);
    }
    if let Some(decision) = decline_locally(state, home, request, number) {
        return Some(decision);
    }
    let slot_request = PendingSlotRequest::send(state, number, home.target.id, home.owner, request);
    if let Some(verdict) = slot_request.verdict().await {
        match verdict {
            EngineVerdict::Granted(_) => {
                place_locally(state, home.target.id, state.own_run(number), request);
            }
            EngineVerdict::Leaving => receive_reported_leave(state, home.target.id),
            EngineVerdict::Declined(_) => {}
        }
        let decided_by = state.with(|beliefs| beliefs.fleet.name(home.owner).to_owned());
        return Some(HomeDecision {
            verdict,
            number,
            decided_by,
        });
    }
    GATEWAY_METRICS.missed_verdicts.inc();
    let other_senders = state.with(|beliefs| beliefs.fleet.live_count(now_ms())) - 1;
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

/// Declines for the owner of a home where what this box knows is enough.
fn decline_locally(
    state: &GatewayState,
    home: &HomeEngine,
    request: &EngineAsk,
    number: u32,
) -> Option<HomeDecision> {
    let settings = state.settings();
    let spec = engine_spec(state, home.target.id)?;
    let first_ms = state.with(|beliefs| {
        let load = beliefs.engines.load_mut(home.target.id, spec);
        settings.admission.hopeless_ms(load, request, now_ms())
    })?;
    GATEWAY_METRICS.declined_alone.inc();
    Some(HomeDecision {
        verdict: EngineVerdict::Declined(first_ms as u32),
        number,
        decided_by: settings.name.clone(),
    })
}

/// Decides for one home with what this box believes.
fn decide_home_locally(
    state: &GatewayState,
    home: &HomeEngine,
    request: &EngineAsk,
    other_senders: u32,
    number: u32,
    decided_by: String,
) -> Option<HomeDecision> {
    let key = state.own_run(number);
    let verdict = decide_locally(state, home.target.id, key, request, other_senders)?;
    Some(HomeDecision {
        verdict,
        number,
        decided_by,
    })
}

/// Finds an engine for a prompt.
///
/// # Errors
///
/// Returns [`EngineRefusal`] where no home takes it in time.
pub(super) async fn find_engine(
    state: &Arc<GatewayState>,
    query: EngineQuery<'_>,
    request: &EngineAsk,
) -> Result<EnginePlacement, EngineRefusal> {
    if let Some(first_ms) = unattainable_ms(state, &query, request) {
        return Err(EngineRefusal {
            unattainable_ms: Some(first_ms),
            ..EngineRefusal::default()
        });
    }
    let homes = state.with(|beliefs| ordered_homes(beliefs, &query));
    if let Some(home) = homes.first().filter(|_| query.resumed) {
        return Ok(place_unconditionally(state, home, request));
    }
    let mut refusal = EngineRefusal::default();
    for home in &homes {
        match request_placement(state, home, request).await {
            Some(decision) if is_granted(&decision) => {
                return Ok(engine_placement(state, home, decision, request));
            }
            Some(decision) => refusal.note(home, decision),
            None => {}
        }
    }
    Err(refusal)
}

/// Returns the least time to a first event, in milliseconds, where that is too late at every engine.
fn unattainable_ms(
    state: &GatewayState,
    query: &EngineQuery<'_>,
    request: &EngineAsk,
) -> Option<u32> {
    // Only a flood is worth a look at all engines.
    let is_open = query.resumed || !query.level.is_beyond();
    let spec = query.service.engine.filter(|_| !is_open)?;
    let rule = state.settings().admission;
    let first_ms = state.with(|beliefs| {
        let fastest = beliefs.engines.fastest(spec)?;
        rule.hopeless_anywhere_ms(&fastest, request)
    })?;
    GATEWAY_METRICS.declined_alone.inc();
    Some(first_ms as u32)
}

/// Places a prompt whose stream goes on, whatever waits there: most of it is done already.
fn place_unconditionally(
    state: &Arc<GatewayState>,
    home: &HomeEngine,
    request: &EngineAsk,
) -> EnginePlacement {
    let number = state.next_run();
    place_locally(state, home.target.id, state.own_run(number), request);
    if home.owner != state.me() {
        send_to(
            state,
            home.owner,
            placed_message(number, home.target.id, request, false),
        );
    }
    let decision = HomeDecision {
        verdict: EngineVerdict::Granted(0),
        number,
        decided_by: "resume".to_owned(),
    };
    engine_placement(state, home, decision, request)
}

const fn is_granted(decision: &HomeDecision) -> bool {
    matches!(decision.verdict, EngineVerdict::Granted(_))
}

fn engine_placement(
    state: &Arc<GatewayState>,
    home: &HomeEngine,
    decision: HomeDecision,
    request: &EngineAsk,
) -> EnginePlacement {
    let endpoint = home.target.id;
    EnginePlacement {
        target: home.target.clone(),
        guard: RunGuard::engine(
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
mod tests;
