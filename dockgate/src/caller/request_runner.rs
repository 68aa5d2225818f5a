//! Runs a request: waits for a slot, sends the request to the granted endpoint and retries where
//! that is allowed.

use super::endpoint_client::{CallFailure, EndpointClient};
use super::endpoint_refusal::classify_refusal;
use super::metered_body::{MeteredBody, ResponseLabel, ResponseTiming, RunningGrant};
use super::proxy_headers::sanitize_response_headers;
use super::refusal::Refusal;
use super::request_classifier::CallerRequest;
use super::stream_meter::buffered_cost;
use super::stream_relay::{StreamRelay, StreamSegment, can_resume, resumed_body};
use super::{InFlightGuard, ResponseBody, full_body};
use crate::clock::{now_ms, timeout};
use crate::config_cell::ConfigCell;
use crate::dispatch::{BindReply, BoundSlot, DispatchHandle};
use crate::logging::{LogEvent, log_event};
use crate::metrics::METRICS;
use crate::settings::DaemonSettings;
use bytes::Bytes;
use dockgate_core::{
    AttemptState, AttemptTrail, CostRule, EndpointSpec, FleetConfig, GrantOffer, PoolSpec,
    QueueError, RetryVerdict, SlotOutcome, WaitingRequest,
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

/// Upper bound of a buffered response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Random delay before the next attempt, in milliseconds.
const RETRY_DELAY_MS: std::ops::Range<u64> = 5..50;
/// `Retry-After` of refused requests, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// The maximum number of attempts to resume a response after one loss or pause.
const MAX_RESUME_ATTEMPTS: u32 = 5;

/// The purpose of a slot request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SlotPurpose {
    /// To send a request that has no response yet.
    Initial,
    /// To resume a response that the caller has received in part.
    Resume,
}

/// Sends the requests of callers to endpoints.
#[derive(Clone)]
pub(super) struct RequestRunner {
    pub(super) settings: Arc<DaemonSettings>,
    pub(super) cell: ConfigCell,
    pub(super) dispatch: DispatchHandle,
    pub(super) client: EndpointClient,
}

/// An attempt without a response, with the state in which it failed.
struct AttemptFailure {
    state: AttemptState,
    message: String,
}

/// An attempt that holds a grant for an endpoint.
pub(super) struct BoundAttempt {
    grant: GrantOffer,
    /// Whether the engines of the pool can resume streams.
    pub(super) resumes: bool,
    endpoint: EndpointSpec,
    rule: CostRule,
    number: u32,
}

impl RequestRunner {
    /// Runs a request until an endpoint responds or a retry is not allowed.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if no attempt succeeds.
    pub(super) async fn run(
        &self,
        req: CallerRequest,
        in_flight: InFlightGuard,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let mut number = 1;
        // Only attempts that were sent count against the limit; the deadline bounds all others.
        let mut sent_attempts = 0;
        let mut in_flight = Some(in_flight);
        let mut trail = AttemptTrail::default();
        loop {
            let slot = self.wait_for_slot(&req, SlotPurpose::Initial).await;
            let slot = slot.map_err(|refusal| {
                let outcome = trail.outcome(AttemptState::Queued, req.repeatable);
                refusal.with_outcome(outcome)
            })?;
            let failure = match self.bind_attempt(&req, slot.grant, number) {
                Ok(attempt) => match self.send(&req, &attempt, slot.pause, &mut in_flight).await {
                    Ok(response) => return Ok(response),
                    Err(failure) => failure,
                },
                Err(failure) => failure,
            };
            trail.record(failure.state);
            sent_attempts += u32::from(failure.state == AttemptState::Sent);
            let limits = &self.settings.limits;
            let budget_left = sent_attempts < limits.attempts && now_ms() < req.deadline_ms;
            match failure.state.retry_verdict(req.repeatable, budget_left) {
                RetryVerdict::Retry => {
                    METRICS.retries.inc();
                    let delay = rand::random_range(RETRY_DELAY_MS);
                    tokio::time::sleep(Duration::from_millis(delay)).await;
                    number += 1;
                }
                RetryVerdict::Report(_) => {
                    let outcome = trail.outcome(failure.state, req.repeatable);
                    let refusal = Refusal::after_attempt(failure.state, failure.message);
                    let refusal = refusal.with_outcome(outcome).retry_after(RETRY_AFTER_S);
                    return Err(refusal.for_workspace(&req.workspace_name));
                }
            }
        }
    }

    /// Resumes a response of which `events` events were relayed; returns `None` if no slot becomes
    /// free or all attempts fail.
    pub(super) async fn resume(&self, req: &CallerRequest, events: u64) -> Option<StreamSegment> {
        let mut resumed = req.clone();
        resumed.body = resumed_body(&req.body, events);
        let mut sent_attempts = 0;
        for number in 1.. {
            let slot = self
                .wait_for_slot(&resumed, SlotPurpose::Resume)
                .await
                .ok()?;
            let Ok(attempt) = self.bind_attempt(&resumed, slot.grant, number) else {
                continue;
            };
            match self.exchange(&resumed, &attempt).await {
                Ok((response, running)) => {
                    return Some(StreamSegment {
                        body: response.into_body(),
                        running,
                        pause: slot.pause,
                        rule: attempt.rule,
                        endpoint: attempt.endpoint.name,
                    });
                }
                // A refused attempt was not run and does not count against the limit.
                Err(failure) => sent_attempts += u32::from(failure.state == AttemptState::Sent),
            }
            if sent_attempts >= MAX_RESUME_ATTEMPTS {
                return None;
            }
            let delay = rand::random_range(RETRY_DELAY_MS);
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        None
    }

    async fn wait_for_slot(
        &self,
        req: &CallerRequest,
        purpose: SlotPurpose,
    ) -> Result<BoundSlot, Refusal> {
        let queued_ms = now_ms();
        let queue_timeout_ms = self.settings.limits.queue_timeout.as_millis() as u64;
        let request = WaitingRequest {
            id: 0,
            pool: req.pool,
            workspace: req.workspace,
            priority: req.priority,
            deadline_ms: match purpose {
                SlotPurpose::Initial => req.deadline_ms,
                SlotPurpose::Resume => queued_ms + queue_timeout_ms,
            },
            resumed: purpose == SlotPurpose::Resume,
            // A retried request keeps its age and therefore its place in the queue.
            queued_ms: req.started_ms,
        };
        // The queue limit does not apply to a response that has begun.
        let queue_limit = match purpose {
            SlotPurpose::Initial => req.queue_limit,
            SlotPurpose::Resume => usize::MAX,
        };
        let ticket = self.dispatch.enqueue(request, queue_limit);
        let reply = ticket.wait().await;
        let waited_ms = now_ms() - queued_ms;
        METRICS
            .wait
            .with_label_values(&[&req.pool_name])
            .observe(Duration::from_millis(waited_ms).as_secs_f64());
        let refusal = match reply {
            BindReply::Bound(slot) => return Ok(slot),
            BindReply::Refused(error @ QueueError::Full(_)) => Refusal::not_run(
                RefusalCode::QueueFull,
                RequestStep::Queue,
                error.to_string(),
            ),
            BindReply::Expired => {
                let message = format!("no slot came free within {waited_ms} ms");
                Refusal::not_run(RefusalCode::DeadlinePassed, RequestStep::Queue, message)
            }
        };
        Err(refusal
            .retry_after(RETRY_AFTER_S)
            .for_workspace(&req.workspace_name))
    }

    /// Looks up the granted endpoint.
    ///
    /// # Errors
    ///
    /// Returns the grant unused and an error if the endpoint is no longer configured.
    fn bind_attempt(
        &self,
        req: &CallerRequest,
        grant: GrantOffer,
        number: u32,
    ) -> Result<BoundAttempt, AttemptFailure> {
        let config = self.cell.current();
        let endpoint_and_pool = find_endpoint(&config, req, grant);
        let Some((endpoint, pool)) = endpoint_and_pool else {
            self.dispatch.finish(grant.id, 0.0, SlotOutcome::Answered);
            return Err(AttemptFailure {
                state: AttemptState::Bound,
                message: "the granted endpoint is no longer configured".to_owned(),
            });
        };
        log_event(&LogEvent::Routed {
            request: &req.id,
            workspace: &req.workspace_name,
            pool: &req.pool_name,
            endpoint: &endpoint.name,
            scheduler: grant.entry.to_string(),
            grant: grant.id.to_string(),
            attempt: number,
            waited_ms: now_ms() - req.started_ms,
        });
        Ok(BoundAttempt {
            grant,
            endpoint,
            rule: pool.cost,
            resumes: pool.resumes,
            number,
        })
    }

    /// Sends the request and relays the response to the caller.
    async fn send(
        &self,
        req: &CallerRequest,
        attempt: &BoundAttempt,
        pause: oneshot::Receiver<()>,
        in_flight: &mut Option<InFlightGuard>,
    ) -> Result<Response<ResponseBody>, AttemptFailure> {
        let (response, running) = self.exchange(req, attempt).await?;
        let label = ResponseLabel {
            request: req.id.clone(),
            workspace: req.workspace_name.clone(),
            endpoint: attempt.endpoint.name.clone(),
            started_ms: req.started_ms,
        };
        match (req.engine, is_event_stream(&response)) {
            (true, true) => {
                Ok(self.relay_stream(req, attempt, response, running, pause, label, in_flight))
            }
            (true, false) => self.buffer_body(attempt, response, running, &label).await,
            (false, _) => Ok(self.relay_body(attempt, response, running, label, in_flight)),
        }
    }

    /// Sends the request and waits for the head of a response that can be relayed.
    ///
    /// # Errors
    ///
    /// Returns the failure if the endpoint cannot be reached, does not respond in time or refuses.
    async fn exchange(
        &self,
        req: &CallerRequest,
        attempt: &BoundAttempt,
    ) -> Result<(Response<Incoming>, RunningGrant), AttemptFailure> {
        let mut running = RunningGrant {
            grant: attempt.grant.id,
            dispatch: self.dispatch.clone(),
            cost: 0.0,
            // An attempt that ends before the response head counts as a lost endpoint.
            slot_outcome: SlotOutcome::Lost,
        };
        let request = self.endpoint_request(req, attempt)?;
        let answer_timeout = self.settings.limits.answer_timeout;
        let name = &attempt.endpoint.name;
        let response = match timeout(answer_timeout, self.client.send(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(CallFailure::NotSent(cause))) => {
                return Err(failure(AttemptState::Bound, name, cause));
            }
            Ok(Err(CallFailure::Lost(cause))) => {
                return Err(failure(AttemptState::Sent, name, cause));
            }
            Err(_) => {
                let cause = "no answer came in time".to_owned();
                return Err(failure(AttemptState::Sent, name, cause));
            }
        };
        match response.status() {
            status @ (StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE)
                if attempt.endpoint.honest_refusal =>
            {
                running.slot_outcome = classify_refusal(status, response.headers());
                return Err(failure(AttemptState::Refused, name, status.to_string()));
            }
            StatusCode::SERVICE_UNAVAILABLE if req.repeatable => {
                running.slot_outcome = classify_refusal(response.status(), response.headers());
                let cause = "it is unavailable".to_owned();
                return Err(failure(AttemptState::Sent, name, cause));
            }
            // No request asks to switch protocols, and other interim answers are skipped before.
            status if status.is_informational() => {
                running.slot_outcome = SlotOutcome::Lost;
                let cause = format!("status {status} is not final");
                return Err(failure(AttemptState::Sent, name, cause));
            }
            _ => running.slot_outcome = SlotOutcome::Answered,
        }
        Ok((response, running))
    }

    /// Relays a stream, which is resumed by further attempts where that is allowed.
    #[expect(
        clippy::too_many_arguments,
        reason = "the stream takes over the state of its attempt"
    )]
    fn relay_stream(
        &self,
        req: &CallerRequest,
        attempt: &BoundAttempt,
        response: Response<Incoming>,
        running: RunningGrant,
        pause: oneshot::Receiver<()>,
        label: ResponseLabel,
        in_flight: &mut Option<InFlightGuard>,
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
                let relay = StreamRelay {
                    runner: self.clone(),
                    req: req.clone(),
                    label,
                    in_flight,
                    resumes: can_resume(req, attempt),
                };
                relay.start(segment)
            }
            None => full_body(Bytes::new()),
        };
        Response::from_parts(parts, body)
    }

    fn endpoint_request(
        &self,
        req: &CallerRequest,
        attempt: &BoundAttempt,
    ) -> Result<Request<Full<Bytes>>, AttemptFailure> {
        let address = attempt.endpoint.address_from(&self.settings.domain);
        let result = Request::builder()
            .method(req.method.clone())
            .uri(format!("http://{address}{}", req.path))
            .body(Full::new(req.body.clone()));
        let mut request = result.map_err(|error| {
            failure(
                AttemptState::Bound,
                &attempt.endpoint.name,
                error.to_string(),
            )
        })?;
        *request.headers_mut() = req.headers.clone();
        let id = format!("{}.{}", req.id, attempt.number);
        let own_headers = [
            (headers::ATTEMPT_ID, id),
            (headers::WORKSPACE, req.workspace_name.clone()),
            (headers::PRIORITY, req.priority.to_string()),
        ];
        for (name, value) in own_headers {
            // Workspace names that are not valid header values are omitted.
            if let Ok(value) = HeaderValue::from_str(&value) {
                request.headers_mut().insert(name, value);
            }
        }
        Ok(request)
    }

    /// Relays the body as it arrives.
    fn relay_body(
        &self,
        attempt: &BoundAttempt,
        response: Response<Incoming>,
        running: RunningGrant,
        label: ResponseLabel,
        in_flight: &mut Option<InFlightGuard>,
    ) -> Response<ResponseBody> {
        let timing = ResponseTiming {
            idle_timeout: self.settings.limits.answer_timeout,
            progress_every: self.settings.schedule.progress_every,
        };
        let (mut parts, body) = response.into_parts();
        sanitize_response_headers(&mut parts.headers);
        let body = match in_flight.take() {
            Some(in_flight) => {
                let rule = attempt.rule;
                MeteredBody::new(body, rule, running, label, &timing, in_flight).boxed()
            }
            None => full_body(Bytes::new()),
        };
        Response::from_parts(parts, body)
    }

    /// Buffers a response that is not streamed, so that a truncated one can be retried.
    async fn buffer_body(
        &self,
        attempt: &BoundAttempt,
        response: Response<Incoming>,
        mut running: RunningGrant,
        label: &ResponseLabel,
    ) -> Result<Response<ResponseBody>, AttemptFailure> {
        let (mut parts, body) = response.into_parts();
        let name = &attempt.endpoint.name;
        let answer_timeout = self.settings.limits.answer_timeout;
        let collected = Limited::new(body, MAX_RESPONSE_BYTES).collect();
        let body = match timeout(answer_timeout, collected).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => {
                running.slot_outcome = SlotOutcome::Lost;
                return Err(failure(AttemptState::Sent, name, error));
            }
            Err(_) => {
                running.slot_outcome = SlotOutcome::Lost;
                let cause = "the answer did not end in time".to_owned();
                return Err(failure(AttemptState::Sent, name, cause));
            }
        };
        running.cost = match parts.status.is_success() {
            true => buffered_cost(&body, &attempt.rule),
            false => 0.0,
        };
        label.log_end("ok", running.cost);
        sanitize_response_headers(&mut parts.headers);
        Ok(Response::from_parts(parts, full_body(body)))
    }
}

fn failure(state: AttemptState, endpoint: &str, cause: impl Display) -> AttemptFailure {
    AttemptFailure {
        state,
        message: format!("endpoint {endpoint}: {cause}"),
    }
}

fn find_endpoint(
    config: &FleetConfig,
    req: &CallerRequest,
    grant: GrantOffer,
) -> Option<(EndpointSpec, PoolSpec)> {
    let endpoint = config.endpoints.get(grant.endpoint)?;
    let pool = config.pools.get(req.pool)?;
    Some((endpoint.clone(), pool.clone()))
}

fn is_event_stream(response: &Response<Incoming>) -> bool {
    let content_type = response.headers().get(CONTENT_TYPE);
    content_type
        .and_then(|content_type| content_type.to_str().ok())
        .is_some_and(|content_type| content_type.starts_with("text/event-stream"))
}
