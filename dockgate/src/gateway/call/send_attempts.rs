//! Sends a request to endpoints until one answers or no further attempt is allowed.

use super::super::call_body::{CallBody, whole_body};
use super::super::counted_body::{ReadFailure, read_counted};
use super::super::end_check::{record_interruption, record_stopped};
use super::super::event_stream::{EventStream, StreamSource};
use super::super::events::{GatewayEvent, is_sampled, log_gateway};
use super::super::gateway_metrics::GATEWAY_METRICS;
use super::super::interrupted_parts::part_names;
use super::super::memory_guard::AnswerGuard;
use super::super::notices::{receive_notice, report_leaving, send_condition};
use super::super::quarantine;
use super::super::refusal::RefusalReason;
use super::super::upstream::{EndpointTarget, PooledConnection, SendFailure, send};
use super::attempt_failure::{AttemptFailure, EndpointSuspicion};
use super::call_placement::CallPlacement;
use super::quarantine_check::refuse_quarantined;
use super::reserved_retry::ReservedRetry;
use super::send_withdrawal::SendWithdrawal;
use super::silent_send::{Replacement, SilenceEnd};
use super::{AdmittedCall, CallAttempts, CallRefusal};
use crate::clock::{ClockInstant, now_ms, timeout_at};
use bytes::Bytes;
use dockgate_core::gateway::{AnswerForm, AnswerGrowth, AnswerVerdict, EndpointOutcome};
use dockgate_core::{AttemptState, Outcome, RetryVerdict};
use dockgate_platform::{AnswerHead, SendHead, decode_answer, encode_answer, encode_send};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use std::sync::Arc;
use std::time::Duration;

/// How many unreachable endpoints may be tried, in addition to those the request was sent to.
const MAX_UNREACHED: usize = 4;
/// How long a repeatable request waits for an answer to begin before another endpoint is sought, in
/// multiples of its objective and in addition to the expected time. An endpoint that is silent for so
/// long is lost, overloaded, paused, or behind a dead connection.
const ANSWER_TIMEOUT_FACTOR: f64 = 1.4;

/// The largest buffer that is allocated for an answer before any of it has arrived.
const MAX_PREALLOCATED_BYTES: u64 = 1 << 20;
/// The largest body of a refusal that is read so that its connection can be used again.
const MAX_DRAINED_BYTES: usize = 64 << 10;

impl AdmittedCall {
    /// Sends the request until an answer can be forwarded.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if no endpoint's answer can be forwarded.
    pub(super) async fn run(self: Arc<Self>) -> Result<Response<CallBody>, CallRefusal> {
        let goal = self.placement_goal().await?;
        let mut attempts = CallAttempts::default();
        let mut replacement: Option<Box<Replacement>> = None;
        // The last failure that an endpoint answered, forwarded if no other one succeeds.
        let mut failed_answer: Option<Box<Response<CallBody>>> = None;
        let refusal = loop {
            let placement = match replacement.take() {
                Some(replacement) => replacement.begin(&mut attempts),
                None => match self.find_placement(&attempts.endpoints, goal).await {
                    Ok(placement) => placement,
                    Err(refusal) if attempts.sent == 0 => break refusal,
                    Err(_) => break self.refusal_after(&attempts, AttemptState::Queued, false),
                },
            };
            attempts.endpoints.push(placement.target.id);
            let mut failure = match self.clone().send_once(placement, &mut attempts).await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            attempts.trail.record(failure.state);
            self.progress.record_failure(failure.state);
            if self.caller.is_disconnected() {
                return Err(RefusalReason::CallerLeft.into());
            }
            failed_answer = failure.answer.take().or(failed_answer);
            replacement = failure.replacement.take();
            if replacement.is_some() {
                continue;
            }
            if self.after_failure(&mut attempts, failure.state) != RetryVerdict::Retry {
                break self.refusal_after(&attempts, failure.state, failure.timed_out);
            }
        };
        let answer = failed_answer.ok_or(refusal)?;
        self.progress.end();
        Ok(*answer)
    }

    /// Decides whether the request is sent to another endpoint after a failed attempt.
    ///
    /// The retry stays reserved in `attempts` until the request is sent.
    pub(in super::super) fn after_failure(
        &self,
        attempts: &mut CallAttempts,
        state: AttemptState,
    ) -> RetryVerdict {
        let repeatable = self.route().may_repeat();
        if state == AttemptState::Bound {
            // Nothing was sent, so the retry budget is not charged. A trial is granted once, and the
            // homes of its part are the endpoints that ended, so it may try all others.
            let unreached = attempts.endpoints.len() - attempts.sent as usize;
            let may_retry = unreached < MAX_UNREACHED || self.is_trial();
            let may_retry = may_retry && !self.time_left().is_zero();
            let may_retry = may_retry && self.quarantined_parts().is_empty();
            return state.retry_verdict(repeatable, may_retry);
        }
        // A trial that was refused has not run.
        let is_tried_on = self.is_trial() && state == AttemptState::Refused;
        let is_held = match is_tried_on {
            true => !self.quarantined_parts().is_empty(),
            false => self.is_quarantined(),
        };
        let allowed = self.has_attempts_left(attempts)
            && !self.time_left().is_zero()
            && !is_held
            && !self.is_body_released();
        // The retry budget is checked last, so that it is charged only for actual retries.
        let wanted = state.retry_verdict(repeatable, allowed) == RetryVerdict::Retry;
        if wanted && attempts.retry.is_none() {
            attempts.retry = ReservedRetry::take(&self.state, &self.service().name);
        }
        state.retry_verdict(repeatable, wanted && attempts.retry.is_some())
    }

    /// Returns whether the request or a shared part of its prompt is in quarantine, also if it is
    /// sent as a trial.
    pub(super) fn is_quarantined(&self) -> bool {
        let parts = || self.part_keys().to_vec();
        let quarantines = quarantine::find_quarantines(&self.state, parts, || self.fingerprint());
        !quarantines.is_empty()
    }

    fn has_attempts_left(&self, attempts: &CallAttempts) -> bool {
        attempts.sent < self.route().attempts
    }

    /// Returns whether a request whose answer has begun may be sent to another endpoint.
    pub(super) fn may_send_again(&self, attempts: &CallAttempts) -> bool {
        self.route().may_repeat() && self.has_attempts_left(attempts)
    }

    /// Returns the refusal for a request whose last attempt ended in `state`.
    fn refusal_after(
        &self,
        attempts: &CallAttempts,
        state: AttemptState,
        timed_out: bool,
    ) -> CallRefusal {
        let outcome = attempts.trail.outcome(state, self.route().may_repeat());
        let reason = match (outcome, state) {
            (Outcome::NotRun, AttemptState::Refused | AttemptState::Queued) => {
                RefusalReason::EndpointsFull
            }
            (Outcome::NotRun, _) if timed_out => RefusalReason::TimedOutUnsent,
            (Outcome::NotRun, _) => RefusalReason::Unreachable,
            _ if timed_out => RefusalReason::TimedOut,
            _ => RefusalReason::Lost,
        };
        let not_run = outcome == Outcome::NotRun;
        let quarantines = self.quarantined_parts();
        if not_run && !quarantines.is_empty() {
            return refuse_quarantined(&quarantines);
        }
        let retry_after = not_run.then(|| self.retry_time(self.availability()));
        CallRefusal {
            retry_after,
            ..reason.into()
        }
    }

    /// Returns how long the next attempt waits for an answer to begin until another endpoint is
    /// sought; an attempt that cannot be retried waits until the deadline.
    fn answer_timeout(&self, expected_ms: Option<u32>, attempts: &CallAttempts) -> Duration {
        let is_last = attempts.sent + 1 >= self.route().attempts;
        if is_last || !self.route().may_repeat() {
            return self.time_left();
        }
        let expected = Duration::from_millis(u64::from(expected_ms.unwrap_or(0)));
        let timeout = self.route().objective.mul_f64(ANSWER_TIMEOUT_FACTOR) + expected;
        timeout.min(self.time_left())
    }

    /// Builds the request for an endpoint.
    fn request_for(
        &self,
        target: &EndpointTarget,
        last_event: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let workspace = Some(self.workspace_name()).filter(|name| !name.is_empty());
        let head = SendHead {
            endpoint: &target.name,
            budget: self.time_left(),
            workspace,
            last_event: last_event.or(self.head.last_event),
        };
        let mut request = Request::new(Full::new(self.body()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = encode_send(&self.headers, &head);
        request
    }

    /// Sends the request to one endpoint and returns its answer.
    async fn send_once(
        self: Arc<Self>,
        placement: CallPlacement,
        attempts: &mut CallAttempts,
    ) -> Result<Response<CallBody>, AttemptFailure> {
        let target = placement.target.clone();
        let attempt = attempts.sent + 1;
        let decision_time = GATEWAY_METRICS
            .decision
            .with_label_values(&[&self.service().name]);
        decision_time.observe(self.age().as_secs_f64());
        let expected_ms = placement.expected_ms;
        if self.is_sampled() || attempt > 1 || self.head.last_event.is_some() {
            self.log_sent(&placement, attempt);
        }
        let result = match self.route().form {
            AnswerForm::Stream { .. } => self.clone().send_stream(placement, attempts).await,
            AnswerForm::Whole => self.send_whole(placement, attempts).await,
        };
        result.inspect_err(|failure| {
            self.report_suspicion(&target, failure);
            let ran = failure.state.outcome(self.route().may_repeat());
            let was_interrupted = failure.suspicion == EndpointSuspicion::MayHaveEnded;
            log_gateway(&GatewayEvent::SendFailed {
                request: &self.head.id,
                print: was_interrupted.then(|| self.fingerprint().to_string()),
                parts: match was_interrupted {
                    true => part_names(self.shared_parts()),
                    false => Vec::new(),
                },
                endpoint: &target.name,
                attempt,
                ran: ran.as_str(),
                problem: &failure.problem,
                expected_ms,
                took_ms: self.age().as_millis() as u64,
            });
        })
    }

    /// Reports an endpoint that may have ended, as suspected after a failed attempt.
    fn report_suspicion(&self, target: &EndpointTarget, failure: &AttemptFailure) {
        match failure.suspicion {
            EndpointSuspicion::MayHaveEnded => {
                record_interruption(self, target);
            }
            EndpointSuspicion::Gone => record_stopped(&self.state, target),
            EndpointSuspicion::None => {}
        }
    }

    /// Returns whether this request is sampled: logged even if it succeeds.
    pub(in super::super) fn is_sampled(&self) -> bool {
        is_sampled(&self.head.id)
    }

    fn log_sent(&self, placement: &CallPlacement, attempt: u32) {
        let revision = self.state.with(|view| view.endpoints.revision().number);
        let version = self.state.version_name(placement.target.id);
        log_gateway(&GatewayEvent::Sent {
            request: &self.head.id,
            route: &self.route().name,
            workspace: self.workspace_name(),
            tokens: self.prompt_tokens(),
            endpoint: &placement.target.name,
            version: &version,
            after_event: self.head.last_event,
            resumes: self.head.resumes.as_deref(),
            attempt,
            expected_ms: placement.expected_ms,
            decided_by: &placement.decided_by,
            config: self.config_version(),
            config_age_ms: self.state.config_age_ms(),
            revision,
            endpoints_age_ms: self.state.endpoints_age_ms(),
        });
    }

    /// Sends the request and judges the answer by its head.
    async fn exchange(
        &self,
        placement: &CallPlacement,
        attempts: &mut CallAttempts,
        last_event: Option<u64>,
    ) -> Result<JudgedAnswer, AttemptFailure> {
        let mut withdrawal = SendWithdrawal::new(self);
        if withdrawal.is_due() {
            return Err(AttemptFailure::without_outcome(
                AttemptState::Bound,
                "a part of its prompt is quarantined",
            ));
        }
        let request = self.request_for(&placement.target, last_event);
        self.progress.record_send();
        attempts.set_may_be_sent(true);
        let condition = send_condition(&self.state, &placement.target, &self.caller);
        let sent = send(&self.state.pools, &placement.target, request, &condition);
        // Computed before `sent` is incremented, so that the timeout is that of this attempt.
        let answer_deadline =
            ClockInstant::now() + self.answer_timeout(placement.expected_ms, attempts);
        let mut sent = std::pin::pin!(sent);
        let answered = async {
            if let Ok(sent) = timeout_at(answer_deadline, &mut sent).await {
                return Ok((sent, answer_deadline));
            }
            // Boxed, as each request would hold room for this rare future.
            let wait = Box::pin(self.outlast_send(sent, placement, attempts));
            let sent = wait.await?;
            // The endpoint has gone on, so its first event is waited for like a next search.
            Ok((sent, ClockInstant::now() + self.search_interval()))
        };
        let answered = tokio::select! {
            biased;
            answered = answered => answered,
            () = withdrawal.wait() => Err(AttemptFailure::withdrawn()),
        };
        let (sent, answer_deadline) = answered.inspect_err(|_| attempts.record_sent())?;
        let sent = sent.map_err(|failure| match failure {
            SendFailure::Refused(problem) => AttemptFailure::gone(AttemptState::Bound, problem),
            SendFailure::Unreachable(problem) => {
                AttemptFailure::new(AttemptState::Bound, EndpointOutcome::Unreachable, problem)
            }
            SendFailure::ConnectTimeout(problem) => {
                AttemptFailure::new(AttemptState::Bound, EndpointOutcome::Silent, problem)
            }
            SendFailure::NoConnection => AttemptFailure::new(
                AttemptState::Bound,
                EndpointOutcome::Full,
                "no connection is free",
            ),
            SendFailure::Withheld(reason) => AttemptFailure::without_outcome(
                AttemptState::Bound,
                format!("withheld: {}", reason.as_str()),
            ),
            SendFailure::Lost(problem) => AttemptFailure::broken_off(problem, false),
        });
        match &sent {
            Err(failure) if failure.state == AttemptState::Bound => {
                attempts.set_may_be_sent(false);
            }
            _ => attempts.record_sent(),
        }
        let (response, connection) = sent?;
        let head = decode_answer(response.status(), response.headers(), &self.head.id);
        let notice = head.notice.trusted(&head.attributes);
        receive_notice(&self.state, &placement.target, &self.head.id, notice);
        if notice.is_leaving && self.service().engine.is_some() {
            report_leaving(&self.state, &placement.target);
        }
        let verdict = head.attributes.classify();
        match verdict {
            AnswerVerdict::NotRun => {
                let problem = format!("not run: {}", response.status());
                let is_misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST;
                drain_body(response.into_body(), connection, &head).await;
                Err(match is_misdirected {
                    true => AttemptFailure::gone(AttemptState::Refused, problem),
                    false => {
                        AttemptFailure::new(AttemptState::Refused, EndpointOutcome::Full, problem)
                    }
                })
            }
            AnswerVerdict::Unusable => {
                let problem = format!("unusable answer: {:?}", head.attributes);
                Err(AttemptFailure::new(
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
                    answer_deadline,
                })
            }
        }
    }

    /// Waits for the answer to a request whose endpoint has been silent.
    ///
    /// # Errors
    ///
    /// Returns the failure of the attempt if another endpoint takes over, or at the deadline.
    async fn outlast_send<T>(
        &self,
        sent: impl Future<Output = T>,
        placement: &CallPlacement,
        attempts: &CallAttempts,
    ) -> Result<T, AttemptFailure> {
        let timed_out = || AttemptFailure::broken_off("timed out", true);
        if self.time_left().is_zero() {
            return Err(timed_out());
        }
        placement.guard.record(EndpointOutcome::Failed);
        let sends = attempts.sent + 1;
        let wait = self.outlast_silence(sent, attempts, sends, placement.goal);
        match wait.await {
            SilenceEnd::Answered(answer) => Ok(answer),
            SilenceEnd::Replaced(replacement) => Err(AttemptFailure::replaced(replacement)),
            SilenceEnd::TimedOut => Err(timed_out()),
        }
    }

    async fn send_whole(
        &self,
        placement: CallPlacement,
        attempts: &mut CallAttempts,
    ) -> Result<Response<CallBody>, AttemptFailure> {
        let answer = self.exchange(&placement, attempts, None).await;
        let answer =
            answer.inspect_err(|failure| placement.guard.record_failure(failure.outcome))?;
        self.read_whole(placement, answer, attempts).await
    }

    /// Reads the whole answer before any of it is forwarded.
    async fn read_whole(
        &self,
        placement: CallPlacement,
        answer: JudgedAnswer,
        attempts: &CallAttempts,
    ) -> Result<Response<CallBody>, AttemptFailure> {
        let JudgedAnswer {
            parts,
            mut body,
            connection,
            head,
            verdict,
            ..
        } = answer;
        let mut memory = self.take_answer_memory();
        let read = self.read_answer(&mut body, &mut memory);
        let read = timeout_at(self.deadline(), read).await;
        let read = read.map_err(|_| AttemptFailure::broken_off("timed out in the answer", true));
        let read =
            read.and_then(|read| read.map_err(|failure| AttemptFailure::incomplete(&failure)));
        let bytes = match read {
            Ok(bytes) => bytes,
            Err(failure) => {
                placement.guard.record(EndpointOutcome::Failed);
                self.put_back_answer_memory(memory);
                return Err(failure);
            }
        };
        if !head.closes_connection {
            connection.keep(head.idle_timeout);
        }
        let is_typical = verdict == AnswerVerdict::PassOn;
        let response = forward_answer(
            parts.status,
            &parts.headers,
            whole_body(memory.attach_to(bytes, is_typical)),
        );
        if verdict == AnswerVerdict::Failed {
            // An error status is common on some routes and does not mean that the endpoint failed.
            placement.guard.record(EndpointOutcome::Answered);
            let problem = format!("status {}", parts.status);
            let failure = AttemptFailure::new(AttemptState::Sent, EndpointOutcome::Failed, problem);
            return Err(AttemptFailure {
                answer: Some(Box::new(response)),
                ..failure
            });
        }
        placement.guard.record(EndpointOutcome::Answered);
        self.log_answered(
            &placement.target.name,
            parts.status,
            self.age(),
            0,
            attempts,
        );
        Ok(response)
    }

    /// Reads the body of an answer within the largest size and the memory for answers. If it does not
    /// fit beside the body of the request, that one is given up, since the request has run.
    async fn read_answer(
        &self,
        body: &mut Incoming,
        memory: &mut AnswerGuard,
    ) -> Result<Bytes, ReadFailure> {
        let limit = self.state.settings().max_answer_bytes;
        let declared = body.size_hint().lower();
        if declared > limit as u64 {
            return Err(ReadFailure::TooLarge);
        }
        let allocated = declared.min(MAX_PREALLOCATED_BYTES);
        let mut count = |bytes: u64| match memory.try_grow(bytes) {
            AnswerGrowth::Counted => true,
            AnswerGrowth::TooLarge => false,
            AnswerGrowth::OutOfMemory => {
                self.try_trade_body(memory, bytes)
                    && memory.try_grow(bytes) == AnswerGrowth::Counted
            }
        };
        if !count(allocated) {
            return Err(ReadFailure::OutOfMemory);
        }
        read_counted(body, limit, allocated, count).await
    }

    /// Records the time to the first event of a stream, or to the end of the wait for it.
    pub(in super::super) fn record_first_event(&self, first: Duration) {
        let (service, first_ms) = (&self.service().name, first.as_millis() as u64);
        self.state.with(|view| {
            let times = &mut view.generation_times;
            times.record_first(service, first_ms, now_ms());
        });
    }

    /// Records that `events` events followed the first one of a stream, which ends now.
    pub(in super::super) fn record_events(&self, first: Duration, events: u64) {
        let took_ms = self.age().saturating_sub(first).as_millis() as u64;
        let service = &self.service().name;
        self.state.with(|view| {
            let times = &mut view.generation_times;
            times.record_events(service, took_ms, events, now_ms());
        });
    }

    /// Records that the request was answered.
    pub(in super::super) fn log_answered(
        &self,
        endpoint: &str,
        status: StatusCode,
        first: Duration,
        events: u64,
        attempts: &CallAttempts,
    ) {
        self.progress.end();
        GATEWAY_METRICS.record_outcome(&self.service().name, "answered");
        GATEWAY_METRICS.record_first_event(&self.service().name, first);
        if status.is_success() {
            self.record_completed();
        }
        let late = first > self.route().objective;
        if self.is_sampled() || late || attempts.sent > 1 {
            log_gateway(&GatewayEvent::Answered {
                request: &self.head.id,
                route: &self.route().name,
                endpoint,
                status: status.as_u16(),
                first_ms: first.as_millis() as u64,
                took_ms: self.age().as_millis() as u64,
                events,
                attempts: attempts.sent,
            });
        }
    }

    /// Records that the request completed. While nothing is suspect, the parts of sampled prompts
    /// are recorded alone, which shows the frequent ones to be sound at little cost.
    fn record_completed(&self) {
        match quarantine::has_suspects(&self.state) {
            true => quarantine::record_completed(&self.state, &self.suspect_keys()),
            false if self.is_sampled() => {
                quarantine::record_completed(&self.state, self.part_keys());
            }
            false => {}
        }
    }

    async fn send_stream(
        self: Arc<Self>,
        placement: CallPlacement,
        attempts: &mut CallAttempts,
    ) -> Result<Response<CallBody>, AttemptFailure> {
        let answer = self.exchange(&placement, attempts, None).await;
        let answer =
            answer.inspect_err(|failure| placement.guard.record_failure(failure.outcome))?;
        if !answer.parts.status.is_success() {
            return self.read_whole(placement, answer, attempts).await;
        }
        let JudgedAnswer {
            parts,
            body,
            connection,
            head,
            answer_deadline,
            ..
        } = answer;
        placement.guard.record(EndpointOutcome::Answered);
        let goal = placement.goal;
        let source = StreamSource {
            target: placement.target,
            body,
            connection,
            head,
            guard: placement.guard,
        };
        let sent = std::mem::take(attempts);
        let mut stream = EventStream::new(self.clone(), sent, source, parts.status);
        let mut withdrawal = SendWithdrawal::new(&self);
        let first = match withdrawal.is_due() {
            true => None,
            false => tokio::select! {
                biased;
                first = stream.read_first(answer_deadline, goal) => Some(first),
                () = withdrawal.wait() => None,
            },
        };
        let Some(first) = first else {
            *attempts = stream.into_attempts();
            return Err(AttemptFailure::withdrawn());
        };
        match first {
            Ok(()) => Ok(forward_answer(
                parts.status,
                &parts.headers,
                stream.into_body(),
            )),
            Err(lost) => {
                if lost.replacement.is_none() {
                    stream.record_failed();
                }
                self.record_first_event(self.age());
                // Closes the connection before the request is sent elsewhere.
                *attempts = stream.into_attempts();
                Err(match lost.replacement {
                    Some(replacement) => AttemptFailure::replaced(replacement),
                    None => AttemptFailure::broken_off(lost.problem, self.time_left().is_zero()),
                })
            }
        }
    }

    /// Resumes a stream at another endpoint, after the event `after_event`.
    ///
    /// # Errors
    ///
    /// Returns the failure if the endpoint does not resume it.
    pub(in super::super) async fn resume(
        &self,
        placement: CallPlacement,
        attempts: &mut CallAttempts,
        after_event: Option<u64>,
    ) -> Result<StreamSource, AttemptFailure> {
        attempts.endpoints.push(placement.target.id);
        let answer = self.exchange(&placement, attempts, after_event).await;
        let answer = answer.inspect_err(|failure| {
            placement.guard.record_failure(failure.outcome);
            self.report_suspicion(&placement.target, failure);
        })?;
        if !answer.parts.status.is_success() {
            let problem = format!("status {}", answer.parts.status);
            return Err(AttemptFailure::without_outcome(AttemptState::Sent, problem));
        }
        let JudgedAnswer {
            body,
            connection,
            head,
            ..
        } = answer;
        Ok(StreamSource {
            target: placement.target,
            body,
            connection,
            head,
            guard: placement.guard,
        })
    }
}

/// An answer whose head was judged.
struct JudgedAnswer {
    parts: http::response::Parts,
    body: Incoming,
    connection: PooledConnection,
    head: AnswerHead,
    verdict: AnswerVerdict,
    /// The time until which the attempt waits for the first event.
    answer_deadline: ClockInstant,
}

/// Reads the rest of a short answer, so that its connection can be reused.
async fn drain_body(body: Incoming, connection: PooledConnection, head: &AnswerHead) {
    const MAX_WAIT: Duration = Duration::from_millis(20);
    let read = Limited::new(body, MAX_DRAINED_BYTES).collect();
    let read = tokio::time::timeout(MAX_WAIT, read).await;
    if matches!(read, Ok(Ok(_))) && !head.closes_connection {
        connection.keep(head.idle_timeout);
    }
}

fn forward_answer(status: StatusCode, headers: &HeaderMap, body: CallBody) -> Response<CallBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = encode_answer(headers);
    response
}
