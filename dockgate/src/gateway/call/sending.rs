//! Sends a request to endpoints until one answers, or nothing more may be tried.

use super::super::call_body::{CallBody, whole_body};
use super::super::end_check::{note_break, note_gone};
use super::super::event_stream::{EventStream, StreamSource};
use super::super::events::{GatewayEvent, is_sampled, log_gateway};
use super::super::gateway_metrics::GATEWAY_METRICS;
use super::super::notices::{hear, send_condition, tell_owner};
use super::super::quarantine;
use super::super::refusal::RefusalReason;
use super::super::upstream::{EndpointTarget, SendFailure, UsedConnection, send};
use super::placing::CallPlace;
use super::send_loss::{LifeSign, SendLoss};
use super::{AdmittedCall, CallRefusal, CallTries};
use crate::clock::{ClockInstant, now_ms, timeout_at};
use crate::metrics::METRICS;
use bytes::Bytes;
use dockgate_core::gateway::{AnswerForm, AnswerVerdict, EndpointOutcome};
use dockgate_core::{AttemptState, Outcome, RetryVerdict};
use dockgate_platform::{AnswerHead, SendHead, decode_answer, encode_answer, encode_send};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;

/// How many endpoints may be tried that could not be reached, on top of those it was sent to.
const MOST_UNREACHED: usize = 4;
/// How many times its objective a repeatable request waits for an answer to begin, beside what was
/// expected, before it is tried elsewhere: an endpoint that is silent for so long is lost, overloaded,
/// or behind a connection that says nothing any more. A bound.
const ANSWER_PATIENCE: f64 = 1.4;

impl AdmittedCall {
    /// Serves the request.
    ///
    /// # Errors
    ///
    /// Returns what to tell the caller where no endpoint's answer can be passed on.
    pub(super) async fn run(self: Arc<Self>) -> Result<Response<CallBody>, CallRefusal> {
        let mut tries = CallTries::default();
        loop {
            let place =
                self.find_place(&tries, false)
                    .await
                    .map_err(|refusal| match tries.sent {
                        0 => refusal,
                        _ => self.report(&tries, AttemptState::Queued, false),
                    })?;
            tries.endpoints.push(place.target.id);
            let mut loss = match self.clone().send_once(place, &mut tries).await {
                Ok(response) => return Ok(response),
                Err(loss) => loss,
            };
            tries.trail.note(loss.state);
            if self.caller.has_left() {
                return Err(RefusalReason::CallerLeft.into());
            }
            let verdict = self.after_loss(&tries, loss.state);
            if verdict == RetryVerdict::Retry {
                continue;
            }
            return match loss.answer.take() {
                Some(answer) => {
                    self.progress.end();
                    Ok(*answer)
                }
                None => Err(self.report(&tries, loss.state, loss.timed_out)),
            };
        }
    }

    /// Decides whether the request is sent to another endpoint after a loss.
    pub(in super::super) fn after_loss(
        &self,
        tries: &CallTries,
        state: AttemptState,
    ) -> RetryVerdict {
        let repeatable = self.route().may_repeat();
        if state == AttemptState::Bound {
            // Nothing was sent, so this costs no one anything but time.
            let unreached = tries.endpoints.len() - tries.sent as usize;
            let left = unreached < MOST_UNREACHED && !self.left().is_zero();
            return state.after_loss(repeatable, left);
        }
        let allowed = tries.sent < self.route().attempts
            && !self.left().is_zero()
            && quarantine::find(&self.state, || self.print()).is_none();
        // The fleet's budget is asked last, so that it is not spent in vain.
        let wanted = state.after_loss(repeatable, allowed) == RetryVerdict::Retry;
        let service = &self.service().name;
        let left = wanted
            && self
                .state
                .with(|beliefs| beliefs.retries.try_take(service, now_ms()));
        if left {
            METRICS.retries.inc();
        }
        state.after_loss(repeatable, left)
    }

    /// Returns what is said of a request whose last attempt ended in `state`.
    fn report(&self, tries: &CallTries, state: AttemptState, timed_out: bool) -> CallRefusal {
        let outcome = tries.trail.outcome(state, self.route().may_repeat());
        let reason = match (outcome, state) {
            (Outcome::NotRun, AttemptState::Refused | AttemptState::Queued) => {
                RefusalReason::EndpointsFull
            }
            (Outcome::NotRun, _) if timed_out => RefusalReason::TimedOutUnsent,
            (Outcome::NotRun, _) => RefusalReason::Unreachable,
            _ if timed_out => RefusalReason::TimedOut,
            _ => RefusalReason::Lost,
        };
        let is_unrun = outcome == Outcome::NotRun;
        let retry_after = is_unrun.then(|| self.return_time(self.outlook()));
        CallRefusal {
            retry_after,
            ..reason.into()
        }
    }

    /// Returns how long the next send waits for an answer to begin: what may not be tried elsewhere
    /// after it waits for all of its time.
    fn patience(&self, expected_ms: Option<u32>, tries: &CallTries) -> Duration {
        let is_last = tries.sent + 1 >= self.route().attempts;
        if is_last || !self.route().may_repeat() {
            return self.left();
        }
        let expected = Duration::from_millis(u64::from(expected_ms.unwrap_or(0)));
        let patience = self.route().objective.mul_f64(ANSWER_PATIENCE) + expected;
        patience.min(self.left())
    }

    /// Makes the request for an endpoint.
    fn request_for(
        &self,
        target: &EndpointTarget,
        last_event: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let workspace = Some(self.workspace_name()).filter(|name| !name.is_empty());
        let head = SendHead {
            endpoint: &target.name,
            budget: self.left(),
            workspace,
            last_event: last_event.or(self.head.last_event),
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = encode_send(&self.headers, &head);
        request
    }

    /// Sends the request to one endpoint, and takes its answer in.
    async fn send_once(
        self: Arc<Self>,
        place: CallPlace,
        tries: &mut CallTries,
    ) -> Result<Response<CallBody>, SendLoss> {
        let target = place.target.clone();
        let attempt = tries.sent + 1;
        let decided = GATEWAY_METRICS
            .decision
            .with_label_values(&[&self.service().name]);
        decided.observe(self.age().as_secs_f64());
        let expected_ms = place.expected_ms;
        if self.is_sampled() || attempt > 1 {
            self.log_sent(&place, attempt);
        }
        let result = match self.route().form {
            AnswerForm::Stream { .. } => self.clone().send_stream(place, tries).await,
            AnswerForm::Whole => self.send_whole(place, tries).await,
        };
        result.inspect_err(|loss| {
            self.note_loss(&target, loss);
            let ran = loss.state.outcome(self.route().may_repeat());
            log_gateway(&GatewayEvent::SendFailed {
                request: &self.head.id,
                print: (loss.life == LifeSign::BrokeOff).then(|| self.print().to_string()),
                endpoint: &target.name,
                attempt,
                ran: ran.as_str(),
                problem: &loss.problem,
                expected_ms,
                took_ms: self.age().as_millis() as u64,
            });
        })
    }

    /// Takes from a loss what it says of the life of the endpoint.
    fn note_loss(&self, target: &EndpointTarget, loss: &SendLoss) {
        match loss.life {
            LifeSign::BrokeOff => note_break(&self.state, target, self.print()),
            LifeSign::Gone => note_gone(&self.state, target),
            LifeSign::None => {}
        }
    }

    /// Tells whether the lines of this request are kept although it went well: one in so many.
    pub(in super::super) fn is_sampled(&self) -> bool {
        is_sampled(&self.head.id)
    }

    fn log_sent(&self, place: &CallPlace, attempt: u32) {
        let revision = self
            .state
            .with(|beliefs| beliefs.endpoints.revision().number);
        log_gateway(&GatewayEvent::Sent {
            request: &self.head.id,
            route: &self.route().name,
            workspace: self.workspace_name(),
            tokens: self.prompt_tokens(),
            endpoint: &place.target.name,
            attempt,
            expected_ms: place.expected_ms,
            decided_by: &place.decided_by,
            config: self.config_version(),
            config_age_ms: self.state.config_age_ms(),
            revision,
            endpoints_age_ms: self.state.endpoints_age_ms(),
        });
    }

    /// Sends a request; what comes back is judged by its head.
    async fn exchange(
        &self,
        place: &CallPlace,
        tries: &mut CallTries,
        last_event: Option<u64>,
    ) -> Result<JudgedAnswer, SendLoss> {
        let request = self.request_for(&place.target, last_event);
        self.progress.note_send();
        let condition = send_condition(&self.state, &place.target, &self.caller);
        let sent = send(&self.state.pools, &place.target, request, &condition);
        // The attempt counts from here on, so that the patience is that of this send.
        let begins_until = ClockInstant::now() + self.patience(place.expected_ms, tries);
        let sent = timeout_at(begins_until, sent).await;
        let sent = sent.map_err(|_| {
            tries.sent += 1;
            SendLoss::broken("timed out", self.left().is_zero())
        })?;
        let (response, connection) = sent.map_err(|failure| match failure {
            SendFailure::Refused(problem) => SendLoss::gone(AttemptState::Bound, problem),
            SendFailure::Unreachable(problem) => {
                SendLoss::new(AttemptState::Bound, EndpointOutcome::Unreachable, problem)
            }
            SendFailure::Silent(problem) => {
                SendLoss::new(AttemptState::Bound, EndpointOutcome::Silent, problem)
            }
            SendFailure::NoConnection => SendLoss::new(
                AttemptState::Bound,
                EndpointOutcome::Full,
                "no connection is free",
            ),
            SendFailure::Withheld(reason) => SendLoss::unsaid(
                AttemptState::Bound,
                format!("withheld: {}", reason.as_str()),
            ),
            SendFailure::Lost(problem) => {
                tries.sent += 1;
                SendLoss::broken(problem, false)
            }
        })?;
        tries.sent += 1;
        let head = decode_answer(response.status(), response.headers(), &self.head.id);
        let notice = head.notice.trusted(&head.signs);
        hear(&self.state, &place.target, &self.head.id, notice);
        if notice.is_leaving && self.service().engine.is_some() {
            tell_owner(&self.state, &place.target);
        }
        let verdict = head.signs.judge();
        match verdict {
            AnswerVerdict::NotRun => {
                let problem = format!("not run: {}", response.status());
                let is_other = response.status() == StatusCode::MISDIRECTED_REQUEST;
                settle(response.into_body(), connection, &head).await;
                Err(match is_other {
                    true => SendLoss::gone(AttemptState::Refused, problem),
                    false => SendLoss::new(AttemptState::Refused, EndpointOutcome::Full, problem),
                })
            }
            AnswerVerdict::Unusable => {
                let problem = format!("unusable answer: {:?}", head.signs);
                Err(SendLoss::new(
                    AttemptState::Sent,
                    EndpointOutcome::Failed,
                    problem,
                ))
            }
            AnswerVerdict::PassOn | AnswerVerdict::Failed => {
                let (parts, body) = response.into_parts();
                Ok(JudgedAnswer {
                    parts,
                    body,
                    connection,
                    head,
                    verdict,
                    begins_until,
                })
            }
        }
    }

    async fn send_whole(
        &self,
        place: CallPlace,
        tries: &mut CallTries,
    ) -> Result<Response<CallBody>, SendLoss> {
        let answer = self.exchange(&place, tries, None).await;
        let answer = answer.inspect_err(|loss| place.guard.note_loss(loss.sign))?;
        self.take_whole(place, answer, tries).await
    }

    /// Reads a whole answer before any of it is passed on.
    async fn take_whole(
        &self,
        place: CallPlace,
        answer: JudgedAnswer,
        tries: &CallTries,
    ) -> Result<Response<CallBody>, SendLoss> {
        let JudgedAnswer {
            parts,
            body,
            connection,
            head,
            verdict,
            ..
        } = answer;
        let read = timeout_at(self.deadline(), body.collect()).await;
        let read = read.map_err(|_| SendLoss::broken("timed out in the answer", true));
        let read =
            read.and_then(|read| read.map_err(|error| SendLoss::broken(error.to_string(), false)));
        let bytes = read
            .inspect_err(|_| place.guard.note(EndpointOutcome::Failed))?
            .to_bytes();
        if !head.closes_connection {
            connection.keep(head.idle_timeout);
        }
        let response = pass_on(parts.status, &parts.headers, whole_body(bytes));
        if verdict == AnswerVerdict::Failed {
            // The endpoint lives: one failed request in seven is usual for some routes.
            place.guard.note(EndpointOutcome::Answered);
            let problem = format!("status {}", parts.status);
            let loss = SendLoss::new(AttemptState::Sent, EndpointOutcome::Failed, problem);
            return Err(SendLoss {
                answer: Some(Box::new(response)),
                ..loss
            });
        }
        place.guard.note(EndpointOutcome::Answered);
        self.log_answered(&place.target.name, parts.status, self.age(), 0, tries);
        Ok(response)
    }

    /// Notes that the request was answered.
    pub(in super::super) fn log_answered(
        &self,
        endpoint: &str,
        status: StatusCode,
        first: Duration,
        events: u64,
        tries: &CallTries,
    ) {
        self.progress.end();
        GATEWAY_METRICS.note_outcome(&self.service().name, "answered");
        GATEWAY_METRICS.note_first_event(&self.service().name, first);
        if status.is_success() {
            quarantine::note_completed(&self.state, || self.print());
        }
        let late = first > self.route().objective;
        if self.is_sampled() || late || tries.sent > 1 {
            log_gateway(&GatewayEvent::Answered {
                request: &self.head.id,
                route: &self.route().name,
                endpoint,
                status: status.as_u16(),
                first_ms: first.as_millis() as u64,
                took_ms: self.age().as_millis() as u64,
                events,
                attempts: tries.sent,
            });
        }
    }

    async fn send_stream(
        self: Arc<Self>,
        place: CallPlace,
        tries: &mut CallTries,
    ) -> Result<Response<CallBody>, SendLoss> {
        let answer = self.exchange(&place, tries, None).await;
        let answer = answer.inspect_err(|loss| place.guard.note_loss(loss.sign))?;
        if !answer.parts.status.is_success() {
            return self.take_whole(place, answer, tries).await;
        }
        let JudgedAnswer {
            parts,
            body,
            connection,
            head,
            begins_until,
            ..
        } = answer;
        place.guard.note(EndpointOutcome::Answered);
        let source = StreamSource {
            target: place.target,
            body,
            connection,
            head,
            guard: place.guard,
        };
        let first_patience = begins_until.left();
        let mut stream = EventStream::new(self.clone(), tries.clone(), source, parts.status);
        match stream.read_first(first_patience).await {
            Ok(()) => Ok(pass_on(parts.status, &parts.headers, stream.into_body())),
            Err(problem) => {
                stream.note_failed();
                Err(SendLoss::broken(problem, self.left().is_zero()))
            }
        }
    }

    /// Goes on with a stream at another endpoint after an event.
    ///
    /// # Errors
    ///
    /// Returns the problem where no endpoint goes on.
    pub(in super::super) async fn resume(
        self: &Arc<Self>,
        tries: &mut CallTries,
        after_event: Option<u64>,
    ) -> Result<StreamSource, String> {
        let place = self.find_place(tries, true).await;
        let place = place.map_err(|refusal| refusal.reason.as_str().to_owned())?;
        tries.endpoints.push(place.target.id);
        let answer = self.exchange(&place, tries, after_event).await;
        let answer = answer.inspect_err(|loss| {
            place.guard.note_loss(loss.sign);
            self.note_loss(&place.target, loss);
        });
        let answer = answer.map_err(|loss| loss.problem)?;
        if !answer.parts.status.is_success() {
            return Err(format!("status {}", answer.parts.status));
        }
        let JudgedAnswer {
            body,
            connection,
            head,
            ..
        } = answer;
        Ok(StreamSource {
            target: place.target,
            body,
            connection,
            head,
            guard: place.guard,
        })
    }
}

/// An answer whose head was judged.
struct JudgedAnswer {
    parts: http::response::Parts,
    body: Incoming,
    connection: UsedConnection,
    head: AnswerHead,
    verdict: AnswerVerdict,
    /// Until when the send waits for the first event.
    begins_until: ClockInstant,
}

/// Reads the rest of a short answer, so that its connection can be kept.
async fn settle(body: Incoming, connection: UsedConnection, head: &AnswerHead) {
    const MOST_WAIT: Duration = Duration::from_millis(20);
    let read = tokio::time::timeout(MOST_WAIT, body.collect()).await;
    if matches!(read, Ok(Ok(_))) && !head.closes_connection {
        connection.keep(head.idle_timeout);
    }
}

fn pass_on(status: StatusCode, headers: &HeaderMap, body: CallBody) -> Response<CallBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = encode_answer(headers);
    response
}
