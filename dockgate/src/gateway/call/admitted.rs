//! Reads a request, and finds its route, workspace and time.

use super::super::events::{GatewayEvent, log_gateway};
use super::super::gateway_metrics::GATEWAY_METRICS;
use super::super::gateway_state::GatewayState;
use super::super::refusal::RefusalReason;
use super::super::waking::until_fresh;
use super::CallRefusal;
use super::call_progress::CallProgress;
use super::quarantined::{keep_from_endpoints, print_of};
use crate::clock::{ClockInstant, now_ms, timeout};
use crate::shared_stream::PeerPresence;
use bytes::Bytes;
use dockgate_core::AttemptTrail;
use dockgate_core::gateway::{
    AskTimes, EndpointId, EngineAsk, GatewayLimits, PromptShape, RouteKey, RouteSpec, RouteTable,
    ServiceKey, ServiceSpec, ShareOutcome, WorkspaceRef, name_hash,
};
use dockgate_platform::{CallHead, decode_call};
use http::request::Parts;
use http::{HeaderMap, Method, Request, Uri};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use std::sync::Arc;
use std::time::Duration;

/// When a box without a configuration, without endpoints or short of processor is worth another
/// try: by then callers may be sent to another one.
const COME_BACK_SOON: Duration = Duration::from_millis(400);

/// How long a request waits for a box that was suspended to know the present. A bound, above that of the gate.
const MOST_UNFRESH: Duration = Duration::from_millis(1_500);

/// When a request that meets a box about to end should come back: at once, to another box.
const COME_BACK_ELSEWHERE: Duration = Duration::from_millis(20);

/// A request that is turned away before anything is decided.
pub(super) struct TurnedAway {
    /// Its id, as far as it has one.
    pub(super) id: String,
    /// Its route, as far as that was found.
    pub(super) route: String,
    /// Its workspace, as far as that was found.
    pub(super) workspace: String,
    /// Why.
    pub(super) refusal: CallRefusal,
    /// The version of the configuration that decided.
    pub(super) config: u64,
    /// How old that configuration is here.
    pub(super) config_age_ms: u64,
    /// How old the last news of an endpoint is here.
    pub(super) endpoints_age_ms: u64,
}

/// What was tried for a request.
#[derive(Debug, Clone, Default)]
pub(in super::super) struct CallTries {
    /// How many endpoints it was sent to.
    pub(in super::super) sent: u32,
    /// The endpoints that were tried.
    pub(in super::super) endpoints: Vec<EndpointId>,
    /// What may be said of it.
    pub(in super::super) trail: AttemptTrail,
}

/// A request with a route, whose body is here.
pub(in super::super) struct AdmittedCall {
    /// What the box believes.
    pub(in super::super) state: Arc<GatewayState>,
    /// What the caller says.
    pub(in super::super) head: CallHead,
    /// The headers as they came.
    pub(in super::super) headers: HeaderMap,
    /// The method.
    pub(in super::super) method: Method,
    /// Path and query.
    pub(in super::super) uri: Uri,
    /// The body.
    pub(in super::super) body: Bytes,
    /// Tells whether the caller is still there.
    pub(in super::super) caller: PeerPresence,
    /// How far it has come.
    pub(in super::super) progress: CallProgress,
    table: Arc<RouteTable>,
    route: RouteKey,
    service: ServiceKey,
    workspace: Option<WorkspaceRef>,
    arrived: ClockInstant,
    deadline: ClockInstant,
}

impl AdmittedCall {
    /// Returns its route.
    pub(in super::super) fn route(&self) -> &RouteSpec {
        self.table.route(self.route)
    }

    /// Returns the service that it goes to.
    pub(in super::super) fn service(&self) -> &ServiceSpec {
        self.table.service(self.service)
    }

    /// Returns the name of its workspace, or nothing where it has none.
    pub(in super::super) fn workspace_name(&self) -> &str {
        workspace_name(&self.table, self.workspace)
    }

    /// Returns how long its prompt is, where it has one.
    pub(in super::super) fn prompt_tokens(&self) -> Option<u32> {
        self.head.prompt.as_ref().map(|prompt| prompt.input)
    }

    /// Returns the version of the configuration that routed it.
    pub(in super::super) fn config_version(&self) -> u64 {
        self.table.config().version
    }

    /// Returns how long it has been here.
    pub(in super::super) fn age(&self) -> Duration {
        self.arrived.elapsed()
    }

    /// Returns when its time is over.
    pub(in super::super) const fn deadline(&self) -> ClockInstant {
        self.deadline
    }

    /// Returns how much of its time is left.
    pub(in super::super) fn left(&self) -> Duration {
        self.deadline.left()
    }

    /// Returns how much of its objective is left.
    pub(in super::super) fn objective_left(&self) -> Duration {
        self.route().objective.saturating_sub(self.age())
    }

    /// Returns what an engine is asked to do, where the request has a prompt.
    pub(in super::super) fn engine_ask(&self) -> Option<EngineAsk> {
        let prompt = self.head.prompt.as_ref()?;
        let shortest = self.table.tightest_objective(self.service);
        let objective = self.objective_left();
        let as_ms = |time: Duration| time.as_millis() as u32;
        let times = AskTimes {
            objective_ms: as_ms(objective),
            shortest_ms: as_ms(shortest.unwrap_or(objective)),
            budget_ms: as_ms(self.left()),
        };
        let workspace = name_hash(self.workspace_name());
        Some(EngineAsk::new(workspace, prompt, times))
    }
}

impl Drop for AdmittedCall {
    /// Notes a request that ends without an answer or a refusal: nobody is there any more to get one.
    fn drop(&mut self) {
        if self.progress.has_ended() {
            return;
        }
        GATEWAY_METRICS.note_outcome(&self.service().name, "caller_left");
        log_gateway(&GatewayEvent::CallerLeft {
            request: &self.head.id,
            route: &self.route().name,
            workspace: self.workspace_name(),
            stage: self.progress.stage().as_str(),
            sends: self.progress.sends(),
            waited_ms: self.age().as_millis() as u64,
            lag_ms: self.state.with(|view| view.lag.lag_ms()),
        });
    }
}

/// Reads a request up to the end of its body.
///
/// # Errors
///
/// Returns why it is turned away; nothing has been sent anywhere then.
pub(super) async fn admit(
    state: Arc<GatewayState>,
    request: Request<Incoming>,
    caller: PeerPresence,
) -> Result<AdmittedCall, TurnedAway> {
    let arrived = ClockInstant::now();
    until_fresh(&state, arrived + MOST_UNFRESH).await;
    let (parts, body) = request.into_parts();
    let table = state.table();
    let config = table.config().version;
    let (config_age_ms, endpoints_age_ms) = (state.config_age_ms(), state.endpoints_age_ms());
    let turned_away = |id: &str, refusal: CallRefusal| TurnedAway {
        id: id.to_owned(),
        route: String::new(),
        workspace: String::new(),
        refusal,
        config,
        config_age_ms,
        endpoints_age_ms,
    };
    let head = decode_call(&parts.headers)
        .map_err(|problem| turned_away("", RefusalReason::BadHead(problem).into()))?;
    let found = find_route(&state, &table, &head, &parts.uri)
        .map_err(|refusal| turned_away(&head.id, refusal))?;
    let body = read_body(body, &parts, &table.config().limits)
        .await
        .map_err(|reason| turned_away(&head.id, reason.into()))?;
    let FoundRoute {
        route,
        service,
        workspace,
    } = found;
    // After the body: an answer that leaves a body unread may be lost with its connection.
    let route_spec = table.route(route);
    let objective_ms = route_spec.objective.as_millis() as u64;
    let name = workspace_name(&table, workspace);
    let found_away = |refusal: CallRefusal| TurnedAway {
        route: route_spec.name.clone(),
        workspace: name.to_owned(),
        ..turned_away(&head.id, refusal)
    };
    let uri = path_and_query(&parts.uri);
    let print = || print_of(name, &parts.method, &head.host, &uri, &body);
    keep_from_endpoints(&state, print)
        .await
        .map_err(found_away)?;
    if state.with(|view| view.lag.is_too_late_for(objective_ms)) {
        let refusal = CallRefusal::come_back(RefusalReason::Overloaded, COME_BACK_SOON);
        return Err(found_away(refusal));
    }
    let engine = table.service(service).engine;
    let prompt = head.prompt.as_ref().filter(|_| engine.is_some());
    let units = prompt.map_or(0, PromptShape::units);
    state.with(|view| view.tally.record_request(name_hash(name), name, units));
    shed(&state, name_hash(name), units).map_err(found_away)?;
    let timeout = route_spec.timeout;
    let budget = head.budget.unwrap_or(timeout).min(timeout);
    state.with(|view| {
        let service = &table.service(service).name;
        view.retries.record_request(service, now_ms());
        view.shares.record_request(name_hash(name), units, now_ms());
    });
    Ok(AdmittedCall {
        state,
        deadline: arrived + budget,
        arrived,
        headers: parts.headers,
        method: parts.method,
        uri,
        body,
        head,
        caller,
        progress: CallProgress::default(),
        table,
        route,
        service,
        workspace,
    })
}

/// Counts a request of a workspace, with so many service units of prompts.
///
/// # Errors
///
/// Returns a refusal where this box has no processor for it.
fn shed(state: &GatewayState, workspace: u64, units: u64) -> Result<(), CallRefusal> {
    state.with(|view| {
        let shed = &mut view.shedder;
        shed.record_request(workspace);
        let part = shed.refused_fraction(workspace);
        if part <= 0.0 || !rand::random_bool(part) {
            return Ok(());
        }
        shed.record_refusal();
        let outcome = ShareOutcome::NoProcessor;
        view.tally.record_outcome(workspace, outcome, units);
        let reason = match shed.is_out_of_rotation() {
            true => RefusalReason::SentElsewhere,
            false => RefusalReason::Overloaded,
        };
        let after = shed.retry_after(rand::random());
        Err(CallRefusal::come_back(reason, after))
    })
}

/// Returns the target of a request without the host that some callers put there.
fn path_and_query(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_default()
}

struct FoundRoute {
    route: RouteKey,
    service: ServiceKey,
    workspace: Option<WorkspaceRef>,
}

/// Returns the name of a request's workspace, or nothing where it has none.
fn workspace_name(table: &RouteTable, workspace: Option<WorkspaceRef>) -> &str {
    workspace.map_or("", |workspace| &table.workspace(workspace).name)
}

fn find_route(
    state: &GatewayState,
    table: &RouteTable,
    head: &CallHead,
    uri: &Uri,
) -> Result<FoundRoute, CallRefusal> {
    let soon = |reason| CallRefusal::come_back(reason, COME_BACK_SOON);
    if table.config().version == 0 {
        return Err(soon(RefusalReason::NoConfiguration));
    }
    let key = table
        .find_route(&head.host, uri.path())
        .ok_or(RefusalReason::NoRoute)?;
    let route = table.route(key);
    let workspace = head.key.as_deref();
    let workspace = workspace.and_then(|key| table.find_workspace(key));
    if workspace.is_none() && table.needs_key() && !route.public {
        return Err(RefusalReason::BadKey.into());
    }
    let service = route
        .service_for(&head.id)
        .and_then(|name| table.find_service(name));
    let service = service.ok_or_else(|| soon(RefusalReason::NoEndpoint))?;
    if !state.can_finish(longest_time(route, head)) {
        return Err(CallRefusal::come_back(
            RefusalReason::Stopping,
            COME_BACK_ELSEWHERE,
        ));
    }
    Ok(FoundRoute {
        route: key,
        service,
        workspace,
    })
}

/// Returns how long a request may take, for a box that is about to end.
///
/// One without a prompt may take all of its time: an endpoint that does not answer is waited for as long.
/// A prompt's time is longer than any stop, so that it is taken at its objective and its events.
fn longest_time(route: &RouteSpec, head: &CallHead) -> Duration {
    let budget = head.budget.unwrap_or(route.timeout).min(route.timeout);
    let Some(prompt) = &head.prompt else {
        return budget;
    };
    let made = Duration::from_millis(PromptShape::most_output_ms(prompt));
    (route.objective + made).min(budget)
}

async fn read_body(
    body: Incoming,
    parts: &Parts,
    limits: &GatewayLimits,
) -> Result<Bytes, RefusalReason> {
    let most = limits.body_bytes;
    let declared = body.size_hint().lower();
    if declared > most as u64 {
        return Err(RefusalReason::BodyTooLarge);
    }
    if body.is_end_stream() || parts.method == Method::HEAD {
        return Ok(Bytes::new());
    }
    let read = Limited::new(body, most).collect();
    let read = timeout(limits.idle_timeout, read).await;
    match read {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(RefusalReason::BodyTooLarge),
        Ok(Err(_)) => Err(RefusalReason::BodyBroken),
        Err(_) => Err(RefusalReason::BodyTooSlow),
    }
}
