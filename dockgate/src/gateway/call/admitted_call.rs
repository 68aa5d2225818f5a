//! Reads a request and resolves its route, service, workspace and deadline.

use super::super::counted_body::{ReadFailure, read_counted};
use super::super::events::{GatewayEvent, log_gateway};
use super::super::gateway_metrics::GATEWAY_METRICS;
use super::super::gateway_state::GatewayState;
use super::super::memory_guard::{AnswerGuard, MemoryGuard};
use super::super::placement_goal::EndpointSearch;
use super::super::quarantine::find_quarantined_parts;
use super::super::refusal::RefusalReason;
use super::super::suspension::wait_until_fresh;
use super::super::wait_window::WaitWindow;
use super::CallRefusal;
use super::call_progress::CallProgress;
use super::quarantine_check::{check_quarantine, fingerprint_of, part_keys, part_name};
use super::reserved_retry::ReservedRetry;
use crate::clock::{ClockInstant, now_ms, timeout_at};
use crate::shared_stream::DisconnectMonitor;
use bytes::Bytes;
use dockgate_core::AttemptTrail;
use dockgate_core::gateway::{
    AdmissionRequest, AnswerForm, AnswerKey, EndpointId, GatewayLimits, InterruptedRequest,
    LatencyLimits, LoadShedder, PromptPart, PromptShape, Quarantine, RouteKey, RouteSpec,
    RouteTable, ServiceKey, ServiceSpec, ShareOutcome, SuspectKey, WorkspaceRef, name_hash,
};
use dockgate_platform::{CallHead, decode_call};
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

/// Retry delay from a box that has no configuration or no endpoints, or is short of processor: by
/// then the load balancer may send callers to another box.
const RETRY_SOON: Duration = Duration::from_millis(400);

/// How long a request waits for the state of a box to be refreshed after a suspension. Longer than
/// the bound of the resume gate.
const MAX_RESUME_WAIT: Duration = Duration::from_millis(1_500);

/// The least size of a body that is released before its request has ended. For a smaller one, it is
/// not worth computing its fingerprint.
const MIN_RELEASED_BYTES: usize = 1 << 10;

/// The bytes of a refused body that are read and discarded; beyond them, the connection is closed.
const MAX_REFUSED_BODY_BYTES: usize = 16 << 20;

/// A request that is rejected before it is placed.
pub(super) struct RejectedRequest {
    /// The request id, or empty if its head could not be decoded.
    pub(super) id: String,
    /// The name of its route, or empty if none was found.
    pub(super) route: String,
    /// The name of its workspace, or empty if none was found.
    pub(super) workspace: String,
    /// The refusal sent to the caller.
    pub(super) refusal: CallRefusal,
    /// The part of its prompt that is in quarantine, as callers name it.
    pub(super) part: Option<String>,
    /// The version of the configuration in force.
    pub(super) config: u64,
    /// The age of that configuration on this box.
    pub(super) config_age_ms: u64,
    /// The age of the last endpoint update on this box.
    pub(super) endpoints_age_ms: u64,
}

/// The attempts made for a request so far.
#[derive(Default)]
pub(in super::super) struct CallAttempts {
    /// The number of endpoints the request was sent to.
    pub(in super::super) sent: u32,
    /// The endpoints that were tried, including those that were not reached.
    pub(in super::super) endpoints: Vec<EndpointId>,
    /// The states in which the attempts ended.
    pub(in super::super) trail: AttemptTrail,
    /// The retry that is reserved for the next attempt.
    pub(super) retry: Option<ReservedRetry>,
}

impl CallAttempts {
    /// Sets whether the send under way may have reached its endpoint.
    pub(super) fn set_may_be_sent(&mut self, may_be_sent: bool) {
        if let Some(retry) = &mut self.retry {
            retry.set_may_be_sent(may_be_sent);
        }
    }

    /// Records that the request was sent to an endpoint.
    pub(super) fn record_sent(&mut self) {
        self.sent += 1;
        self.retry = None;
    }
}

/// The body of a request, until it is released.
struct RequestBody {
    bytes: Bytes,
    /// The fingerprint of the request, once the body is released.
    released: Option<SuspectKey>,
    /// What the request takes of the memory budget.
    memory: CallMemory,
}

/// What a request takes of the memory budget.
struct CallMemory {
    /// Counts the request and its body.
    request: MemoryGuard,
    /// Counts what is reserved for the answer, until it is read whole.
    answer: Option<AnswerGuard>,
}

/// A request whose body was read and whose route was found.
pub(in super::super) struct AdmittedCall {
    /// The state of the gateway.
    pub(in super::super) state: Arc<GatewayState>,
    /// The decoded head of the request.
    pub(in super::super) head: CallHead,
    /// The headers as received.
    pub(in super::super) headers: HeaderMap,
    pub(in super::super) method: Method,
    /// The path and query.
    pub(in super::super) uri: Uri,
    /// Whether the caller is still connected.
    pub(in super::super) caller: DisconnectMonitor,
    /// How far the request has progressed.
    pub(in super::super) progress: CallProgress,
    body: Mutex<RequestBody>,
    /// The keys of the shared parts of its prompt, once they were needed.
    part_keys: OnceLock<Vec<SuspectKey>>,
    /// The key in quarantine for which it is sent once, as a trial.
    trial: Option<SuspectKey>,
    table: Arc<RouteTable>,
    route: RouteKey,
    service: ServiceKey,
    workspace: Option<WorkspaceRef>,
    arrived: ClockInstant,
    /// Time from the stop of the box to the arrival, in milliseconds; `None` if it arrived before.
    after_stop_ms: Option<u64>,
    deadline: ClockInstant,
}

impl AdmittedCall {
    pub(in super::super) fn route(&self) -> &RouteSpec {
        self.table.route(self.route)
    }

    pub(in super::super) fn service(&self) -> &ServiceSpec {
        self.table.service(self.service)
    }

    /// Returns the name of the workspace, or an empty string if there is none.
    pub(in super::super) fn workspace_name(&self) -> &str {
        workspace_name(&self.table, self.workspace)
    }

    /// Returns the length of the prompt in tokens, if the request has one.
    pub(in super::super) fn prompt_tokens(&self) -> Option<u32> {
        self.head.prompt.as_ref().map(|prompt| prompt.input)
    }

    /// Returns the parts of the prompt that other requests may share; none without a prompt.
    pub(in super::super) fn shared_parts(&self) -> &[PromptPart] {
        let prompt = self.head.prompt.as_ref();
        prompt.map_or(&[], PromptShape::shared_parts)
    }

    /// Returns the version of the configuration that routed the request.
    pub(in super::super) fn config_version(&self) -> u64 {
        self.table.config().version
    }

    fn locked_body(&self) -> MutexGuard<'_, RequestBody> {
        self.body.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the body; empty once it is released.
    pub(super) fn body(&self) -> Bytes {
        self.locked_body().bytes.clone()
    }

    /// Returns the fingerprint, which does not depend on the request id.
    ///
    /// It is computed on demand, since most requests never need it.
    pub(in super::super) fn fingerprint(&self) -> SuspectKey {
        let body = self.locked_body();
        body.released
            .unwrap_or_else(|| self.fingerprint_with(&body.bytes))
    }

    /// Returns the keys of the shared parts of the prompt.
    pub(super) fn part_keys(&self) -> &[SuspectKey] {
        let keys = || part_keys(&self.service().name, self.head.prompt.as_ref());
        self.part_keys.get_or_init(keys)
    }

    /// Returns the shared part of the prompt with a key, as callers name it.
    pub(super) fn part_name(&self, key: SuspectKey) -> Option<String> {
        part_name(&self.service().name, self.head.prompt.as_ref(), key)
    }

    /// Returns the request with the shared parts of its prompt, as evidence.
    pub(in super::super) fn interrupted(&self) -> InterruptedRequest {
        InterruptedRequest {
            request: self.fingerprint(),
            parts: self.part_keys().to_vec(),
        }
    }

    /// Returns the keys under which the request may be in quarantine.
    pub(super) fn suspect_keys(&self) -> Vec<SuspectKey> {
        let mut keys = self.part_keys().to_vec();
        keys.push(self.fingerprint());
        keys
    }

    /// Returns the quarantines of the shared parts of its prompt, except of one for which it is sent
    /// as a trial.
    pub(super) fn quarantined_parts(&self) -> Vec<(SuspectKey, Quarantine)> {
        if self.shared_parts().is_empty() {
            return Vec::new();
        }
        let mut quarantines = find_quarantined_parts(&self.state, || self.part_keys().to_vec());
        quarantines.retain(|(key, _)| Some(*key) != self.trial);
        quarantines
    }

    /// Returns whether the request is sent as a trial.
    pub(super) const fn is_trial(&self) -> bool {
        self.trial.is_some()
    }

    fn fingerprint_with(&self, body: &[u8]) -> SuspectKey {
        let (workspace, host) = (self.workspace_name(), &self.head.host);
        fingerprint_of(workspace, &self.method, host, &self.uri, body)
    }

    /// Releases the body of a request whose answer has begun, if it may not be sent again.
    pub(in super::super) fn release_unneeded_body(&self, attempts: &CallAttempts) {
        if self.may_send_again(attempts) {
            return;
        }
        let mut body = self.locked_body();
        if body.bytes.len() >= MIN_RELEASED_BYTES && body.released.is_none() {
            self.drop_body(&mut body);
            body.memory.request.release_body();
        }
    }

    /// Gives up the body in favour of the answer if it has at least `bytes`; returns whether it does.
    /// The request cannot be sent again then.
    pub(super) fn try_trade_body(&self, answer: &mut AnswerGuard, bytes: u64) -> bool {
        let mut body = self.locked_body();
        let is_enough = body.bytes.len() as u64 >= bytes && body.released.is_none();
        if is_enough {
            self.drop_body(&mut body);
            answer.take_body_of(&mut body.memory.request);
        }
        is_enough
    }

    /// Drops the bytes of the body, and keeps their fingerprint.
    fn drop_body(&self, body: &mut RequestBody) {
        body.released = Some(self.fingerprint_with(&body.bytes));
        body.bytes = Bytes::new();
    }

    /// Returns whether the body was released.
    pub(super) fn is_body_released(&self) -> bool {
        self.locked_body().released.is_some()
    }

    /// Creates a guard that counts bytes of an answer in the memory budget.
    pub(in super::super) fn answer_memory(&self) -> MemoryGuard {
        MemoryGuard::answer(&self.state, name_hash(self.workspace_name()))
    }

    /// Takes the guard that counts an answer which is read whole, with what is reserved for it.
    pub(in super::super) fn take_answer_memory(&self) -> AnswerGuard {
        let reserved = self.locked_body().memory.answer.take();
        reserved.unwrap_or_else(|| {
            let key = answer_key(self.workspace_name(), &self.service().name);
            AnswerGuard::unreserved(&self.state, key)
        })
    }

    /// Keeps the reservation of an answer that was not read to its end for the next one.
    pub(super) fn put_back_answer_memory(&self, mut memory: AnswerGuard) {
        memory.reset();
        self.locked_body().memory.answer = Some(memory);
    }

    /// Returns the time since the request arrived.
    pub(in super::super) fn age(&self) -> Duration {
        self.arrived.elapsed()
    }

    pub(in super::super) const fn deadline(&self) -> ClockInstant {
        self.deadline
    }

    /// Returns the time left until the deadline.
    pub(in super::super) fn time_left(&self) -> Duration {
        self.deadline.remaining()
    }

    /// Returns the time left until the objective of the route is missed.
    pub(in super::super) fn objective_left(&self) -> Duration {
        self.route().objective.saturating_sub(self.age())
    }

    /// Returns the time in which the request may wait for capacity; `None` if the fleet is not
    /// contended, for a resumed stream, whose caller already reads events, or while an endpoint is at
    /// work on the request.
    pub(super) fn wait_window(&self, search: EndpointSearch<'_>) -> Option<WaitWindow> {
        let is_urgent = search.goal.is_resume() || search.is_replacement;
        let may_wait = self.state.settings().conditions.contended && !is_urgent;
        may_wait.then(|| WaitWindow {
            arrived: self.arrived,
            objective: self.route().objective,
            priority: self.table.priority(self.route, self.workspace),
        })
    }

    /// Returns the admission request for an engine, if the request has a prompt.
    pub(in super::super) fn admission_request(&self) -> Option<AdmissionRequest> {
        let prompt = self.head.prompt.as_ref()?;
        let shortest = self.table.shortest_objective(self.service);
        let objective = self.objective_left();
        let as_ms = |time: Duration| time.as_millis() as u32;
        let times = LatencyLimits {
            objective_ms: as_ms(objective),
            shortest_objective_ms: as_ms(shortest.unwrap_or(objective)),
            budget_ms: as_ms(self.time_left()),
        };
        let workspace = name_hash(self.workspace_name());
        Some(AdmissionRequest::new(workspace, prompt, times))
    }
}

impl Drop for AdmittedCall {
    /// Logs a request that ends without an answer or a refusal, since its caller has left or the
    /// process ends.
    fn drop(&mut self) {
        if self.progress.has_ended() {
            return;
        }
        if self.state.is_past_end() {
            log_gateway(&GatewayEvent::Cut {
                request: &self.head.id,
                route: &self.route().name,
                workspace: self.workspace_name(),
                stage: self.progress.stage().as_str(),
                sends: self.progress.sends(),
                after_stop_ms: self.after_stop_ms,
                predicted_ms: predict_ms(&self.state, self.route(), self.service(), &self.head)
                    .unwrap_or_default(),
                waited_ms: self.age().as_millis() as u64,
            });
            return;
        }
        GATEWAY_METRICS.record_outcome(&self.service().name, "caller_left");
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

/// Reads a request up to the end of its body and decides whether this box serves it.
///
/// # Errors
///
/// Returns the rejection if it does not; nothing has been sent to an endpoint then.
pub(super) async fn admit(
    state: Arc<GatewayState>,
    request: Request<Incoming>,
    caller: DisconnectMonitor,
) -> Result<AdmittedCall, RejectedRequest> {
    let arrived = ClockInstant::now();
    let after_stop_ms = state.stopping_for_ms();
    let fresh = wait_until_fresh(&state, arrived + MAX_RESUME_WAIT);
    state.final_answers_due.run_until_cancelled(fresh).await;
    let (parts, body) = request.into_parts();
    let table = state.table();
    let config = table.config().version;
    let (config_age_ms, endpoints_age_ms) = (state.config_age_ms(), state.endpoints_age_ms());
    let rejected = |id: &str, refusal: CallRefusal| RejectedRequest {
        id: id.to_owned(),
        route: String::new(),
        workspace: String::new(),
        refusal,
        part: None,
        config,
        config_age_ms,
        endpoints_age_ms,
    };
    let head = decode_call(&parts.headers)
        .map_err(|problem| rejected("", RefusalReason::BadHead(problem).into()))?;
    let found =
        find_route(&table, &head, &parts.uri).map_err(|refusal| rejected(&head.id, refusal))?;
    let FoundRoute {
        route,
        service,
        workspace,
    } = found;
    let limits = &table.config().limits;
    let name = workspace_name(&table, workspace);
    let timeout = table.route(route).timeout;
    let deadline = arrived + head.budget.unwrap_or(timeout).min(timeout);
    let service_name = &table.service(service).name;
    let needs = MemoryNeeds {
        answer: answer_key(name, service_name),
        is_whole: table.route(route).form == AnswerForm::Whole,
    };
    let (body, memory) = read_body(&state, needs, body, &parts, limits, deadline)
        .await
        .map_err(|reason| match reason {
            RefusalReason::OutOfMemory => RejectedRequest {
                route: table.route(route).name.clone(),
                workspace: name.to_owned(),
                ..rejected(&head.id, refuse_for_memory(&state))
            },
            RefusalReason::Stopping => rejected(&head.id, CallRefusal::stopping()),
            reason => rejected(&head.id, reason.into()),
        })?;
    // These checks follow the body: an answer that leaves a body unread may be lost when the
    // connection is closed.
    let (route_spec, service_spec) = (table.route(route), table.service(service));
    let objective_ms = route_spec.objective.as_millis() as u64;
    let rejected_on_route = |refusal: CallRefusal| RejectedRequest {
        route: route_spec.name.clone(),
        workspace: name.to_owned(),
        ..rejected(&head.id, refusal)
    };
    let uri = path_and_query(&parts.uri);
    let parts_of_prompt = || part_keys(service_name, head.prompt.as_ref());
    let fingerprint = || fingerprint_of(name, &parts.method, &head.host, &uri, &body);
    let trial = check_quarantine(&state, parts_of_prompt, fingerprint)
        .await
        .map_err(|refusal| RejectedRequest {
            part: refusal
                .quarantined
                .and_then(|key| part_name(service_name, head.prompt.as_ref(), key)),
            ..rejected_on_route(refusal)
        })?;
    let predicted_ms = || predict_ms(&state, route_spec, service_spec, &head);
    if !state.can_finish(deadline, predicted_ms) {
        return Err(rejected_on_route(CallRefusal::stopping()));
    }
    let engine = service_spec.engine;
    let prompt = head.prompt.as_ref().filter(|_| engine.is_some());
    let units = prompt.map_or(0, PromptShape::units);
    state.with(|view| view.tally.record_request(name_hash(name), name, units));
    shed_request(&state, name_hash(name), units, objective_ms).map_err(rejected_on_route)?;
    state.with(|view| {
        let service = &service_spec.name;
        view.retries.record_request(service, now_ms());
        // Shares are divided by the demand that boxes can handle: a box that sheds most of its
        // requests could not use the part of the share that belongs to them.
        view.shares.record_request(name_hash(name), units, now_ms());
    });
    Ok(AdmittedCall {
        state,
        deadline,
        arrived,
        after_stop_ms,
        headers: copy_headers(&parts.headers),
        method: parts.method,
        uri,
        body: Mutex::new(RequestBody {
            bytes: body,
            released: None,
            memory,
        }),
        part_keys: OnceLock::new(),
        trial,
        head,
        caller,
        progress: CallProgress::default(),
        table,
        route,
        service,
        workspace,
    })
}

/// Sheds a request if it would wait too long for the processor, otherwise with the probability that
/// the load requires.
///
/// `units` is the size of its prompt in service units.
///
/// # Errors
///
/// Returns a refusal if the request is shed.
fn shed_request(
    state: &GatewayState,
    workspace: u64,
    units: u64,
    objective_ms: u64,
) -> Result<(), CallRefusal> {
    state.with(|view| {
        let refusal = match view.lag.is_too_late_for(objective_ms) {
            true => Some((RefusalReason::Overloaded, RETRY_SOON)),
            false => draw_refusal(&mut view.shedder, workspace),
        };
        let Some((reason, after)) = refusal else {
            return Ok(());
        };
        let outcome = ShareOutcome::NoProcessor;
        view.tally.record_outcome(workspace, outcome, units);
        Err(CallRefusal::with_retry(reason, after))
    })
}

/// Returns the reason and `Retry-After` of a request that the shedder refuses, or `None`.
fn draw_refusal(shedder: &mut LoadShedder, workspace: u64) -> Option<(RefusalReason, Duration)> {
    shedder.record_request(workspace);
    let fraction = shedder.refused_fraction(workspace);
    if fraction <= 0.0 || !rand::random_bool(fraction) {
        return None;
    }
    shedder.record_refusal();
    let reason = match shedder.is_out_of_rotation() {
        true => RefusalReason::Diverted,
        false => RefusalReason::Overloaded,
    };
    Some((reason, shedder.retry_after(rand::random())))
}

/// Returns the target of a request in origin form; some callers send the absolute form.
fn path_and_query(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_default()
}

struct FoundRoute {
    route: RouteKey,
    service: ServiceKey,
    workspace: Option<WorkspaceRef>,
}

/// Returns the name of a workspace, or an empty string if there is none.
fn workspace_name(table: &RouteTable, workspace: Option<WorkspaceRef>) -> &str {
    workspace.map_or("", |workspace| &table.workspace(workspace).name)
}

fn find_route(table: &RouteTable, head: &CallHead, uri: &Uri) -> Result<FoundRoute, CallRefusal> {
    let soon = |reason| CallRefusal::with_retry(reason, RETRY_SOON);
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
    // A stream that is taken up stays with the service that began it.
    let chosen_by = match head.last_event {
        Some(_) => head.resumes.as_ref().unwrap_or(&head.id),
        None => &head.id,
    };
    let service = route
        .service_for(chosen_by)
        .and_then(|name| table.find_service(name));
    let service = service.ok_or_else(|| soon(RefusalReason::NoEndpoint))?;
    Ok(FoundRoute {
        route: key,
        service,
        workspace,
    })
}

/// Predicts the duration of a stream in milliseconds; `None` for other requests.
///
/// It is assumed to reach its objective at a typical rate until streams were measured.
fn predict_ms(
    state: &GatewayState,
    route: &RouteSpec,
    service: &ServiceSpec,
    head: &CallHead,
) -> Option<u64> {
    let prompt = head.prompt.as_ref()?;
    let AnswerForm::Stream { .. } = route.form else {
        return None;
    };
    let max_events = u64::from(prompt.max_output);
    let measured = state.with(|view| {
        let times = &view.generation_times;
        times.predict_ms(&service.name, max_events, now_ms())
    });
    let assumed = || route.objective.as_millis() as u64 + prompt.max_output_ms();
    Some(measured.unwrap_or_else(assumed))
}

/// Copies headers into one buffer of their size; as received, they keep the whole read buffer of
/// the connection for the life of the request.
fn copy_headers(headers: &HeaderMap) -> HeaderMap {
    let values = headers.values().map(HeaderValue::as_bytes);
    let mut buffer = Bytes::from(values.collect::<Vec<&[u8]>>().concat());
    let copy_value = |(name, value): (&HeaderName, &HeaderValue)| {
        let copied = HeaderValue::from_maybe_shared(buffer.split_to(value.len()));
        (name.clone(), copied.unwrap_or_else(|_| value.clone()))
    };
    headers.iter().map(copy_value).collect()
}

/// Returns the refusal of a request for which the box has no memory.
fn refuse_for_memory(state: &GatewayState) -> CallRefusal {
    let after = state.with(|view| view.shedder.retry_after(rand::random()));
    CallRefusal::with_retry(RefusalReason::OutOfMemory, after)
}

/// Returns the key under which the sizes of answers to a workspace are known.
fn answer_key(workspace: &str, service: &str) -> AnswerKey {
    AnswerKey {
        workspace: name_hash(workspace),
        service: name_hash(service),
    }
}

/// What has to fit into the memory of the box for a request.
#[derive(Debug, Clone, Copy)]
struct MemoryNeeds {
    /// The answer.
    answer: AnswerKey,
    /// Whether the answer is read whole, so that its size has to be reserved.
    is_whole: bool,
}

/// Counts a request with a body of a declared length, and reserves memory for its answer; returns
/// `None` if they do not fit.
fn admit_to_memory(
    state: &Arc<GatewayState>,
    needs: MemoryNeeds,
    declared: u64,
) -> Option<CallMemory> {
    let request = MemoryGuard::request(state, needs.answer.workspace, declared)?;
    let answer = match needs.is_whole {
        true => Some(AnswerGuard::reserve(state, needs.answer)?),
        false => None,
    };
    Some(CallMemory { request, answer })
}

/// Reads the body of a request until its deadline, and counts the request in the memory budget.
///
/// A body for which the box has no memory is discarded as it arrives, as it would stay in the socket.
async fn read_body(
    state: &Arc<GatewayState>,
    needs: MemoryNeeds,
    mut body: Incoming,
    parts: &Parts,
    limits: &GatewayLimits,
    deadline: ClockInstant,
) -> Result<(Bytes, CallMemory), RefusalReason> {
    let declared = body.size_hint().lower();
    let until = ClockInstant::now() + limits.idle_timeout;
    if declared > limits.body_bytes as u64 {
        return Err(RefusalReason::BodyTooLarge);
    }
    let Some(mut memory) = admit_to_memory(state, needs, declared) else {
        tokio::spawn(discard_body(body, until));
        return Err(RefusalReason::OutOfMemory);
    };
    if body.is_end_stream() || parts.method == Method::HEAD {
        return Ok((Bytes::new(), memory));
    }
    let read = read_counted(&mut body, limits.body_bytes, declared, |bytes| {
        memory.request.try_grow(bytes)
    });
    let read = timeout_at(until.min(deadline), read);
    match state.final_answers_due.run_until_cancelled(read).await {
        Some(Ok(Ok(bytes))) => Ok((bytes, memory)),
        Some(Ok(Err(ReadFailure::TooLarge))) => Err(RefusalReason::BodyTooLarge),
        Some(Ok(Err(ReadFailure::Broken(_)))) => Err(RefusalReason::BodyBroken),
        Some(Ok(Err(ReadFailure::OutOfMemory))) => {
            tokio::spawn(discard_body(body, until));
            Err(RefusalReason::OutOfMemory)
        }
        Some(Err(_)) => Err(RefusalReason::BodyTooSlow),
        None => Err(RefusalReason::Stopping),
    }
}

/// Reads the rest of a body without keeping it, up to [`MAX_REFUSED_BODY_BYTES`].
async fn discard_body(mut body: Incoming, until: ClockInstant) {
    let mut left = MAX_REFUSED_BODY_BYTES;
    while let Ok(Some(Ok(frame))) = timeout_at(until, body.frame()).await {
        let length = frame.data_ref().map_or(0, Bytes::len);
        left = match left.checked_sub(length) {
            Some(left) => left,
            None => return,
        };
    }
}
