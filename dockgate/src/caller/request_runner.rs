//! Runs a request: waits for a slot, sends it to the endpoint, and tries again where that is allowed.

use super::endpoint_client::{CallFailure, EndpointClient};
use super::endpoint_refusal::classify_refusal;
use super::metered_body::{MeteredBody, ResponseLabel, ResponseTimes, RunningGrant};
use super::proxy_headers::sanitize_response_headers;
use super::refusal::Refusal;
use super::request_classifier::CallerRequest;
use super::stream_meter::whole_cost;
use super::stream_relay::{StreamRelay, StreamSegment, can_resume, resumed_body};
use super::{InFlight, ResponseBody, full_body};
use crate::clock::{now_ms, timeout};
use crate::config_cell::ConfigCell;
use crate::dispatch::{BindReply, BoundSlot, DispatchHandle};
use crate::logging::{LogEvent, log_event};
use crate::metrics::METRICS;
use crate::settings::DaemonSettings;
use bytes::Bytes;
use dockgate_core::{
    AttemptState, AttemptTrail, CostRule, EndpointSpec, FleetConfig, GrantOffer, PoolSpec,
    QueueError, RetryVerdict, SlotSign, WaitingRequest,
};
use dockgate_proto::{RefusalCode, RequestStep, headers};
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// The largest answer that is not streamed, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// How long to wait before another attempt, in milliseconds.
const RETRY_MS: std::ops::Range<u64> = 5..50;
/// After how many seconds a refused caller does well to come again.
const RETRY_AFTER_S: u32 = 1;

/// How often the rest of an answer is sent to an endpoint before it is given up.
const MAX_RESUMES: u32 = 5;

/// What a slot is wanted for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SlotPurpose {
    /// A request that has not been answered yet.
    Initial,
    /// The rest of an answer that has begun.
    Resume,
}

/// What an attempt needs of the daemon.
#[derive(Clone)]
pub(super) struct RequestRunner {
    pub(super) settings: Arc<DaemonSettings>,
    pub(super) cell: ConfigCell,
    pub(super) dispatch: DispatchHandle,
    pub(super) client: EndpointClient,
}

/// An attempt that gave no answer, and how far it had come.
struct AttemptFailure {
    state: AttemptState,
    message: String,
}

/// A bound attempt.
pub(super) struct BoundAttempt {
    grant: GrantOffer,
    /// Whether its pool's engines resume streams.
    pub(super) resumes: bool,
    endpoint: EndpointSpec,
    rule: CostRule,
    number: u32,
}

impl RequestRunner {
    /// Runs a request until it has an answer or may not be tried again.
    pub(super) async fn run(
        &self,
        call: CallerRequest,
        in_flight: InFlight,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let mut number = 1;
        // Attempts of which nothing was sent cost nobody anything: only the deadline ends them.
        let mut sent = 0;
        let mut in_flight = Some(in_flight);
        let mut trail = AttemptTrail::default();
        loop {
            let slot = self.wait_for_slot(&call, SlotPurpose::Initial).await;
            let slot = slot.map_err(|refusal| {
                let outcome = trail.outcome(AttemptState::Queued, call.repeatable);
                refusal.with_outcome(outcome)
            })?;
            let loss = match self.bound_attempt(&call, slot.grant, number) {
                Ok(attempt) => match self.send(&call, &attempt, slot.pause, &mut in_flight).await {
                    Ok(response) => return Ok(response),
                    Err(loss) => loss,
                },
                Err(loss) => loss,
            };
            trail.note(loss.state);
            sent += u32::from(loss.state == AttemptState::Sent);
            let limits = &self.settings.limits;
            let budget_left = sent < limits.attempts && now_ms() < call.deadline_ms;
            match loss.state.after_loss(call.repeatable, budget_left) {
                RetryVerdict::Retry => {
                    METRICS.retries.inc();
                    let pause = rand::random_range(RETRY_MS);
                    tokio::time::sleep(Duration::from_millis(pause)).await;
                    number += 1;
                }
                RetryVerdict::Report(_) => {
                    let outcome = trail.outcome(loss.state, call.repeatable);
                    let refusal = Refusal::after_attempt(loss.state, loss.message);
                    let refusal = refusal.with_outcome(outcome).retry_after(RETRY_AFTER_S);
                    return Err(refusal.of(&call.workspace_name));
                }
            }
        }
    }

    /// Continues an answer of which `events` have been passed on; gives up without a slot.
    pub(super) async fn resume(&self, call: &CallerRequest, events: u64) -> Option<StreamSegment> {
        let mut rest = call.clone();
        rest.body = resumed_body(&call.body, events);
        let mut sent = 0;
        for number in 1.. {
            let slot = self.wait_for_slot(&rest, SlotPurpose::Resume).await.ok()?;
            let Ok(attempt) = self.bound_attempt(&rest, slot.grant, number) else {
                continue;
            };
            match self.exchange(&rest, &attempt).await {
                Ok((response, running)) => {
                    return Some(StreamSegment {
                        body: response.into_body(),
                        running,
                        pause: slot.pause,
                        rule: attempt.rule,
                        endpoint: attempt.endpoint.name,
                    });
                }
                // An endpoint that refused has cost nothing: the rest waits for the next slot.
                Err(loss) => sent += u32::from(loss.state == AttemptState::Sent),
            }
            if sent >= MAX_RESUMES {
                return None;
            }
            let pause = rand::random_range(RETRY_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        None
    }

    async fn wait_for_slot(
        &self,
        call: &CallerRequest,
        wait: SlotPurpose,
    ) -> Result<BoundSlot, Refusal> {
        let asked_ms = now_ms();
        let patience = self.settings.limits.queue_timeout.as_millis() as u64;
        let request = WaitingRequest {
            id: 0,
            pool: call.pool,
            workspace: call.workspace,
            priority: call.priority,
            deadline_ms: match wait {
                SlotPurpose::Initial => call.deadline_ms,
                SlotPurpose::Resume => asked_ms + patience,
            },
            resumed: wait == SlotPurpose::Resume,
            // A request that comes back keeps its age, and so its place.
            since_ms: call.started_ms,
        };
        // An answer that has begun is not refused for those that have not.
        let limit = match wait {
            SlotPurpose::Initial => call.queue_limit,
            SlotPurpose::Resume => usize::MAX,
        };
        let ticket = self.dispatch.enqueue(request, limit);
        let reply = ticket.wait().await;
        let waited = now_ms() - asked_ms;
        METRICS
            .wait
            .with_label_values(&[&call.pool_name])
            .observe(Duration::from_millis(waited).as_secs_f64());
        let refusal = match reply {
            BindReply::Bound(slot) => return Ok(slot),
            BindReply::Refused(error @ QueueError::Full(_)) => Refusal::not_run(
                RefusalCode::QueueFull,
                RequestStep::Queue,
                error.to_string(),
            ),
            BindReply::Expired => {
                let message = format!("no slot came free within {waited} ms");
                Refusal::not_run(RefusalCode::DeadlinePassed, RequestStep::Queue, message)
            }
        };
        Err(refusal.retry_after(RETRY_AFTER_S).of(&call.workspace_name))
    }

    /// Looks the granted endpoint up; one that has just been retired is given back unused.
    fn bound_attempt(
        &self,
        call: &CallerRequest,
        grant: GrantOffer,
        number: u32,
    ) -> Result<BoundAttempt, AttemptFailure> {
        let config = self.cell.current();
        let found = find_endpoint(&config, call, grant);
        let Some((endpoint, pool)) = found else {
            self.dispatch.finish(grant.id, 0.0, SlotSign::Answered);
            return Err(AttemptFailure {
                state: AttemptState::Bound,
                message: "the granted endpoint is no longer configured".to_owned(),
            });
        };
        log_event(&LogEvent::Routed {
            request: &call.id,
            workspace: &call.workspace_name,
            pool: &call.pool_name,
            endpoint: &endpoint.name,
            scheduler: grant.entry.to_string(),
            grant: grant.id.to_string(),
            attempt: number,
            waited_ms: now_ms() - call.started_ms,
        });
        Ok(BoundAttempt {
            grant,
            endpoint,
            rule: pool.cost,
            resumes: pool.resumes,
            number,
        })
    }

    /// Sends the request and passes the answer on.
    async fn send(
        &self,
        call: &CallerRequest,
        attempt: &BoundAttempt,
        pause: oneshot::Receiver<()>,
        in_flight: &mut Option<InFlight>,
    ) -> Result<Response<ResponseBody>, AttemptFailure> {
        let (response, running) = self.exchange(call, attempt).await?;
        let label = ResponseLabel {
            request: call.id.clone(),
            workspace: call.workspace_name.clone(),
            endpoint: attempt.endpoint.name.clone(),
            started_ms: call.started_ms,
        };
        match (call.engine, is_event_stream(&response)) {
            (true, true) => {
                Ok(self.pass_stream(call, attempt, response, running, pause, label, in_flight))
            }
            (true, false) => self.pass_whole(attempt, response, running, &label).await,
            (false, _) => Ok(self.pass_on(attempt, response, running, label, in_flight)),
        }
    }

    /// Sends the request and waits for the head of an answer that can be used.
    async fn exchange(
        &self,
        call: &CallerRequest,
        attempt: &BoundAttempt,
    ) -> Result<(Response<Incoming>, RunningGrant), AttemptFailure> {
        let mut running = RunningGrant {
            grant: attempt.grant.id,
            dispatch: self.dispatch.clone(),
            cost: 0.0,
            // Until it has answered, an attempt that ends has lost its endpoint.
            sign: SlotSign::Lost,
        };
        let request = self.endpoint_request(call, attempt)?;
        let limit = self.settings.limits.answer_timeout;
        let name = &attempt.endpoint.name;
        let response = match timeout(limit, self.client.call(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(CallFailure::NotSent(cause))) => {
                return Err(loss(AttemptState::Bound, name, cause));
            }
            Ok(Err(CallFailure::Lost(cause))) => {
                return Err(loss(AttemptState::Sent, name, cause));
            }
            Err(_) => {
                let cause = "no answer came in time".to_owned();
                return Err(loss(AttemptState::Sent, name, cause));
            }
        };
        match response.status() {
            status @ (StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE)
                if attempt.endpoint.honest_refusal =>
            {
                running.sign = classify_refusal(status, response.headers());
                return Err(loss(AttemptState::Refused, name, status.to_string()));
            }
            StatusCode::SERVICE_UNAVAILABLE if call.repeatable => {
                running.sign = classify_refusal(response.status(), response.headers());
                let cause = "it is unavailable".to_owned();
                return Err(loss(AttemptState::Sent, name, cause));
            }
            _ => running.sign = SlotSign::Answered,
        }
        Ok((response, running))
    }

    /// Passes a stream on, over as many attempts as it takes.
    #[expect(
        clippy::too_many_arguments,
        reason = "what the stream takes over from its attempt"
    )]
    fn pass_stream(
        &self,
        call: &CallerRequest,
        attempt: &BoundAttempt,
        response: Response<Incoming>,
        running: RunningGrant,
        pause: oneshot::Receiver<()>,
        label: ResponseLabel,
        in_flight: &mut Option<InFlight>,
    ) -> Response<ResponseBody> {
        let (mut parts, body) = response.into_parts();
        sanitize_response_headers(&mut parts.headers);
        let segment = StreamSegment {
            body,
            running,
            pause,
            rule: attempt.rule,
            endpoint: attempt.endpoint.name.clone(),
        };
        let body = match in_flight.take() {
            Some(in_flight) => {
                let pump = StreamRelay {
                    context: self.clone(),
                    call: call.clone(),
                    label,
                    in_flight,
                    resumes: can_resume(call, attempt),
                };
                pump.start(segment)
            }
            None => full_body(Bytes::new()),
        };
        Response::from_parts(parts, body)
    }

    fn endpoint_request(
        &self,
        call: &CallerRequest,
        attempt: &BoundAttempt,
    ) -> Result<Request<Full<Bytes>>, AttemptFailure> {
        let address = attempt.endpoint.address_from(&self.settings.domain);
        let built = Request::builder()
            .method(call.method.clone())
            .uri(format!("http://{address}{}", call.path))
            .body(Full::new(call.body.clone()));
        let mut request = built.map_err(|error| {
            loss(
                AttemptState::Bound,
                &attempt.endpoint.name,
                error.to_string(),
            )
        })?;
        *request.headers_mut() = call.headers.clone();
        let id = format!("{}.{}", call.id, attempt.number);
        let own = [
            (headers::ATTEMPT_ID, id),
            (headers::WORKSPACE, call.workspace_name.clone()),
            (headers::PRIORITY, call.priority.to_string()),
        ];
        for (name, value) in own {
            // Names of workspaces that cannot stand in a header are left out.
            if let Ok(value) = HeaderValue::from_str(&value) {
                request.headers_mut().insert(name, value);
            }
        }
        Ok(request)
    }

    /// Passes an answer on piece by piece.
    fn pass_on(
        &self,
        attempt: &BoundAttempt,
        response: Response<Incoming>,
        running: RunningGrant,
        label: ResponseLabel,
        in_flight: &mut Option<InFlight>,
    ) -> Response<ResponseBody> {
        let times = ResponseTimes {
            silence: self.settings.limits.answer_timeout,
            progress_every: self.settings.schedule.progress_every,
        };
        let (mut parts, body) = response.into_parts();
        sanitize_response_headers(&mut parts.headers);
        let body = match in_flight.take() {
            Some(in_flight) => {
                let rule = attempt.rule;
                MeteredBody::new(body, rule, running, label, &times, in_flight).boxed()
            }
            None => full_body(Bytes::new()),
        };
        Response::from_parts(parts, body)
    }

    /// Collects an answer that is not streamed, so that one which breaks off can be tried again.
    async fn pass_whole(
        &self,
        attempt: &BoundAttempt,
        response: Response<Incoming>,
        mut running: RunningGrant,
        label: &ResponseLabel,
    ) -> Result<Response<ResponseBody>, AttemptFailure> {
        let (mut parts, body) = response.into_parts();
        let name = &attempt.endpoint.name;
        let limit = self.settings.limits.answer_timeout;
        let collected = Limited::new(body, MAX_RESPONSE_BYTES).collect();
        let body = match timeout(limit, collected).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => {
                running.sign = SlotSign::Lost;
                return Err(loss(AttemptState::Sent, name, error));
            }
            Err(_) => {
                running.sign = SlotSign::Lost;
                let cause = "the answer did not end in time".to_owned();
                return Err(loss(AttemptState::Sent, name, cause));
            }
        };
        running.cost = match parts.status.is_success() {
            true => whole_cost(&body, &attempt.rule),
            false => 0.0,
        };
        label.log_end("ok", running.cost);
        sanitize_response_headers(&mut parts.headers);
        Ok(Response::from_parts(parts, full_body(body)))
    }
}

fn loss(state: AttemptState, endpoint: &str, cause: impl Display) -> AttemptFailure {
    AttemptFailure {
        state,
        message: format!("endpoint {endpoint}: {cause}"),
    }
}

fn find_endpoint(
    config: &FleetConfig,
    call: &CallerRequest,
    grant: GrantOffer,
) -> Option<(EndpointSpec, PoolSpec)> {
    let endpoint = config.endpoints.get(grant.endpoint)?;
    let pool = config.pools.get(call.pool)?;
    Some((endpoint.clone(), pool.clone()))
}

fn is_event_stream(response: &Response<Incoming>) -> bool {
    let kind = response.headers().get(CONTENT_TYPE);
    kind.and_then(|kind| kind.to_str().ok())
        .is_some_and(|kind| kind.starts_with("text/event-stream"))
}
