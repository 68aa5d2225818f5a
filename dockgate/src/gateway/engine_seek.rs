//! Finds an engine for a prompt: asks the boxes that decide for its homes.
//!
//! A prompt goes to the engine that is likely to keep its shared parts. The box that decides for
//! that engine knows all that is there, so its verdict is worth a round trip of two milliseconds;
//! where it does not answer in time, the entry decides alone on what it sent there itself.

mod pending_seek;

use super::datagrams::send_to;
use super::events::AskedEngine;
use super::gateway_metrics::GATEWAY_METRICS;
use super::gateway_state::{GatewayState, GatewayView};
use super::notices::hear_told;
use super::run_guard::RunGuard;
use super::upstream::{ConnectionLimits, EndpointTarget};
use crate::clock::now_ms;
use dockgate_core::BoxKey;
use dockgate_core::gateway::{
    DomainKey, EndpointId, EngineAsk, EngineSpec, EngineVerdict, PromptPart, PromptShape,
    ReadSpeed, ReadyEndpoint, RunKey, ServiceSpec, ShareLevel, best_homes, home_subject,
};
use dockgate_proto::GatewayMessage;
use pending_seek::PendingSeek;
use std::sync::Arc;

/// As how many other boxes, that may all send to an engine whose decider does not answer, count at most:
/// as many as there are in a small fleet, where it was measured. With all of 295 boxes nearly every
/// prompt is declined that has to be decided on alone, since each box sends a 295th of what there is.
/// A bound.
const MOST_UNSEEN: u32 = 5;
/// How many homes a prompt with much that others share has. More make the same parts be read at more
/// places: with two, a sixth fewer shared tokens are read again than with three; with one, 4 in 100
/// requests more are refused (loaded days of three deployments).
const SHARED_HOMES: usize = 2;
/// How many homes in the own failure domain a prompt with little of it has.
const NEAR_HOMES: usize = 3;
/// How many homes elsewhere such a prompt has behind those, if its workspace is within its share: callers
/// of a large workspace may all be in one domain while the engines of the others are idle.
const FAR_HOMES: usize = 1;
/// A prompt with fewer shared tokens than this has its homes in the box's own failure domain:
/// reading them again takes a few milliseconds, and bytes between domains cost more.
const NEAR_BELOW_TOKENS: u32 = 1_500;

/// A prompt that was admitted.
pub(super) struct EnginePlace {
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
pub(super) struct NoPlace {
    /// The engines that were asked last, in order.
    pub(super) asked: Vec<AskedEngine>,
    /// The least time to a first event at any engine, where none had to be asked.
    hopeless_ms: Option<u32>,
}

impl NoPlace {
    /// Returns the shortest predicted time to a first event, where there is any engine.
    pub(super) fn first_event_ms(&self) -> Option<u32> {
        let asked = self.asked.iter().map(|asked| asked.first_event_ms);
        asked.chain(self.hopeless_ms).min()
    }

    fn note(&mut self, home: &HomeEngine, asked: AskedHome) {
        let predicted = asked.verdict.first_event_ms();
        self.asked
            .extend(predicted.map(|first_event_ms| AskedEngine {
                endpoint: home.target.name.clone(),
                first_event_ms,
                decided_by: asked.decided_by,
            }));
    }
}

/// What is asked for.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineWish<'a> {
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
    wish: &EngineWish,
    ready: &[ReadyEndpoint],
    near: DomainKey,
    accepts: impl Fn(EndpointId) -> bool,
) -> Vec<EndpointId> {
    let own = wish.own_subject;
    let subject = wish.prompt.subject().unwrap_or(own);
    let subject = home_subject(subject, own, wish.tried.len());
    if wish.prompt.shared_tokens() >= NEAR_BELOW_TOKENS {
        let all = ready.iter().map(|ready| ready.id);
        return best_homes(subject, all, SHARED_HOMES, accepts);
    }
    let of_domain = |is_near: bool| {
        let ready = ready.iter();
        let ready = ready.filter(move |ready| (ready.domain == near) == is_near);
        ready.map(|ready| ready.id)
    };
    let mut homes = best_homes(subject, of_domain(true), NEAR_HOMES, &accepts);
    let far_homes = if wish.level.is_beyond() { 0 } else { FAR_HOMES };
    let missing = NEAR_HOMES - homes.len();
    homes.extend(best_homes(
        subject,
        of_domain(false),
        missing + far_homes,
        &accepts,
    ));
    homes
}

fn homes(view: &GatewayView, wish: &EngineWish) -> Vec<HomeEngine> {
    let now = now_ms();
    let ready = view.endpoints.ready(&wish.service.name);
    let near = DomainKey::from_name(&view.fleet.own().domain);
    let entry = |id: EndpointId| view.endpoints.get(id);
    let is_open = |id: EndpointId| view.endpoints.is_eligible(id, now) && !wish.tried.contains(&id);
    let is_usable = |id: EndpointId| {
        let doubtful = entry(id).is_none_or(|entry| entry.health.is_unreliable(now));
        is_open(id) && !doubtful
    };
    let mut order = pick_homes(wish, ready, near, is_usable);
    if order.is_empty() {
        order = pick_homes(wish, ready, near, is_open);
    }
    let boxes = view.fleet.live_count(now);
    let homes = order.into_iter().filter_map(|id| {
        let entry = view.endpoints.get(id)?;
        Some(HomeEngine {
            target: EndpointTarget {
                id,
                name: entry.record.id.clone(),
                address: entry.record.address,
                limits: ConnectionLimits::new(wish.service.connections, entry.record.slots, boxes),
            },
            owner: view.fleet.owner(id, &entry.record.domain, now),
        })
    });
    homes.collect()
}

/// Decides on a seek with what this box believes, and places the prompt if it is admitted.
///
/// `others` says how many boxes send to the engine unseen. Returns none for an unknown engine.
pub(super) fn decide_here(
    state: &GatewayState,
    endpoint: EndpointId,
    key: RunKey,
    ask: &EngineAsk,
    others: u32,
) -> Option<EngineVerdict> {
    let now = now_ms();
    let rule = state.settings().admission;
    let spec = spec_of(state, endpoint)?;
    state.with(|view| {
        let notices = view.endpoints.notices();
        if notices.is_reported_leaving(endpoint, now) {
            return Some(EngineVerdict::Leaving);
        }
        let load = view.engines.load_mut(endpoint, spec);
        let verdict = rule.decide(load, ask, others, now);
        if matches!(verdict, EngineVerdict::Granted(_)) {
            GATEWAY_METRICS.note_admitted(ask.input, load.work_of(ask).tokens());
            load.place(key, ask, now);
        }
        Some(verdict)
    })
}

/// Notes a prompt that is at an engine, whoever decided.
pub(super) fn place_here(state: &GatewayState, endpoint: EndpointId, key: RunKey, ask: &EngineAsk) {
    if let Some(spec) = spec_of(state, endpoint) {
        state.with(|view| {
            view.engines
                .load_mut(endpoint, spec)
                .place(key, ask, now_ms());
        });
    }
}

/// Makes the message that a prompt is at an engine.
pub(super) fn placed(
    run: u32,
    endpoint: EndpointId,
    ask: &EngineAsk,
    started: bool,
) -> GatewayMessage {
    GatewayMessage::Placed {
        run,
        endpoint,
        request: ask.clone(),
        started,
    }
}

/// Notes what an engine is known to have cached.
pub(super) fn note_cached_here(state: &GatewayState, endpoint: EndpointId, parts: &[PromptPart]) {
    if let Some(spec) = spec_of(state, endpoint) {
        state.with(|view| view.engines.load_mut(endpoint, spec).note_cached(parts));
    }
}

/// Takes in what the box that decides for an engine says of it.
pub(super) fn hear_engine(
    state: &GatewayState,
    endpoint: EndpointId,
    backlog_ms: u32,
    speed: ReadSpeed,
) {
    if let Some(spec) = spec_of(state, endpoint) {
        let now = now_ms();
        state.with(|view| {
            let load = view.engines.load_mut(endpoint, spec);
            load.hear(backlog_ms, speed, now);
        });
    }
}

/// Returns what an engine holds, if it is known.
fn spec_of(state: &GatewayState, endpoint: EndpointId) -> Option<EngineSpec> {
    let table = state.table();
    state.with(|view| {
        let entry = view.endpoints.get(endpoint)?;
        let service = table.find_service(&entry.record.service)?;
        table.service(service).engine
    })
}

/// One home that was asked, and what came of it.
struct AskedHome {
    verdict: EngineVerdict,
    number: u32,
    decided_by: String,
}

/// Asks for one home: its owner, or this box where the owner does not answer in time.
async fn ask_home(state: &GatewayState, home: &HomeEngine, ask: &EngineAsk) -> Option<AskedHome> {
    let number = state.next_run_number();
    if home.owner == state.own_key() {
        let decided_by = state.settings().name.clone();
        return ask_here(state, home, ask, 0, number, decided_by);
    }
    if let Some(asked) = decline_here(state, home, ask, number) {
        return Some(asked);
    }
    let seek = PendingSeek::send(state, number, home.target.id, home.owner, ask);
    if let Some(verdict) = seek.verdict().await {
        match verdict {
            EngineVerdict::Granted(_) => {
                place_here(state, home.target.id, state.run_key(number), ask);
            }
            EngineVerdict::Leaving => hear_told(state, home.target.id),
            EngineVerdict::Declined(_) => {}
        }
        let decided_by = state.with(|view| view.fleet.name(home.owner).to_owned());
        return Some(AskedHome {
            verdict,
            number,
            decided_by,
        });
    }
    GATEWAY_METRICS.missed_verdicts.inc();
    let others = state.with(|view| view.fleet.live_count(now_ms())) - 1;
    let others = others.min(MOST_UNSEEN);
    let asked = ask_here(state, home, ask, others, number, "entry alone".to_owned())?;
    if is_granted(&asked) {
        send_to(
            state,
            home.owner,
            placed(number, home.target.id, ask, false),
        );
    }
    Some(asked)
}

/// Declines for the owner of a home where what this box knows is enough.
fn decline_here(
    state: &GatewayState,
    home: &HomeEngine,
    ask: &EngineAsk,
    number: u32,
) -> Option<AskedHome> {
    let settings = state.settings();
    let spec = spec_of(state, home.target.id)?;
    let first_ms = state.with(|view| {
        let load = view.engines.load_mut(home.target.id, spec);
        settings.admission.hopeless_ms(load, ask, now_ms())
    })?;
    GATEWAY_METRICS.declined_alone.inc();
    Some(AskedHome {
        verdict: EngineVerdict::Declined(first_ms as u32),
        number,
        decided_by: settings.name.clone(),
    })
}

/// Decides for one home with what this box believes.
fn ask_here(
    state: &GatewayState,
    home: &HomeEngine,
    ask: &EngineAsk,
    others: u32,
    number: u32,
    decided_by: String,
) -> Option<AskedHome> {
    let key = state.run_key(number);
    let verdict = decide_here(state, home.target.id, key, ask, others)?;
    Some(AskedHome {
        verdict,
        number,
        decided_by,
    })
}

/// Finds an engine for a prompt.
///
/// # Errors
///
/// Returns [`NoPlace`] where no home takes it in time.
pub(super) async fn find_engine(
    state: &Arc<GatewayState>,
    wish: EngineWish<'_>,
    ask: &EngineAsk,
) -> Result<EnginePlace, NoPlace> {
    if let Some(first_ms) = hopeless_anywhere_ms(state, &wish, ask) {
        return Err(NoPlace {
            hopeless_ms: Some(first_ms),
            ..NoPlace::default()
        });
    }
    let homes = state.with(|view| homes(view, &wish));
    if let Some(home) = homes.first().filter(|_| wish.resumed) {
        return Ok(force(state, home, ask));
    }
    let mut none = NoPlace::default();
    for home in &homes {
        match ask_home(state, home, ask).await {
            Some(asked) if is_granted(&asked) => return Ok(take(state, home, asked, ask)),
            Some(asked) => none.note(home, asked),
            None => {}
        }
    }
    Err(none)
}

/// Returns the least time to a first event, in milliseconds, where that is too late at every engine.
fn hopeless_anywhere_ms(
    state: &GatewayState,
    wish: &EngineWish<'_>,
    ask: &EngineAsk,
) -> Option<u32> {
    // Only a flood is worth a look at all engines.
    let is_open = wish.resumed || !wish.level.is_beyond();
    let spec = wish.service.engine.filter(|_| !is_open)?;
    let rule = state.settings().admission;
    let first_ms = state.with(|view| {
        let fastest = view.engines.fastest(spec)?;
        rule.hopeless_anywhere_ms(&fastest, ask)
    })?;
    GATEWAY_METRICS.declined_alone.inc();
    Some(first_ms as u32)
}

/// Places a prompt whose stream goes on, whatever waits there: most of it is done already.
fn force(state: &Arc<GatewayState>, home: &HomeEngine, ask: &EngineAsk) -> EnginePlace {
    let number = state.next_run_number();
    place_here(state, home.target.id, state.run_key(number), ask);
    if home.owner != state.own_key() {
        send_to(
            state,
            home.owner,
            placed(number, home.target.id, ask, false),
        );
    }
    let asked = AskedHome {
        verdict: EngineVerdict::Granted(0),
        number,
        decided_by: "resume".to_owned(),
    };
    take(state, home, asked, ask)
}

const fn is_granted(asked: &AskedHome) -> bool {
    matches!(asked.verdict, EngineVerdict::Granted(_))
}

fn take(
    state: &Arc<GatewayState>,
    home: &HomeEngine,
    asked: AskedHome,
    ask: &EngineAsk,
) -> EnginePlace {
    let endpoint = home.target.id;
    EnginePlace {
        target: home.target.clone(),
        guard: RunGuard::engine(state, endpoint, asked.number, home.owner, ask.clone()),
        expected_ms: asked.verdict.first_event_ms().unwrap_or_default(),
        decided_by: asked.decided_by,
    }
}

#[cfg(test)]
mod tests;
