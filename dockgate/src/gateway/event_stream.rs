//! Forwards a stream of events, and resumes it at another endpoint where that is allowed.

use super::call::{AdmittedCall, CallAttempts, Replacement, SilenceEnd};
use super::call_body::{BrokenAnswer, CallBody};
use super::end_check::record_interruption;
use super::events::{GatewayEvent, log_gateway};
use super::gateway_metrics::GATEWAY_METRICS;
use super::placement_goal::PlacementGoal;
use super::run_guard::RunGuard;
use super::upstream::{EndpointTarget, PooledConnection};
use crate::clock::{ClockInstant, timeout_at};
use bytes::{Bytes, BytesMut};
use dockgate_core::gateway::{
    EndpointOutcome, EventFault, EventKind, EventSequence, EventSplitter, EventVerdict,
    SoftwareVersion, SplitEvent,
};
use dockgate_core::{AttemptState, RetryVerdict};
use dockgate_platform::AnswerHead;
use futures::{FutureExt, stream};
use http::StatusCode;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

/// How long a resumable stream may pause before another endpoint is sought, in multiples of the pause
/// that the route allows. By then the answer is late, but its caller is still there.
const PAUSE_FACTOR: f64 = 4.5;
/// The upper bound of such a pause, shorter than the timeouts of callers.
const MAX_PAUSE: Duration = Duration::from_millis(1_500);
/// How often an endpoint is sought again for a stream whose own one is lost, and at which interval.
/// The retry stays reserved meanwhile.
const MAX_SEARCHES: u32 = 4;
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);
/// The number of endpoints beyond which a failed attempt to resume a stream is the last one.
const MAX_ENDPOINTS: usize = 4;
/// The source sent nothing for longer than expected, or until the deadline.
const SILENT: LostSource = LostSource {
    problem: "silent for too long",
    replacement: None,
};
/// The number of bytes from which on no further events are added to a write, so that little is
/// buffered for a slow reader.
const MAX_WRITE_BYTES: usize = 16 << 10;

/// The number of bytes without a new event after which a stream is given up. Comments and repeated
/// events are not new.
const MAX_BYTES_WITHOUT_EVENT: usize = 1 << 20;
const NO_PROGRESS: &str = "no new event";

/// The endpoint and connection that a stream is read from.
pub(super) struct StreamSource {
    pub(super) target: EndpointTarget,
    /// The body of the answer.
    pub(super) body: Incoming,
    pub(super) connection: PooledConnection,
    /// The decoded head of the answer.
    pub(super) head: AnswerHead,
    /// Counts the request at the endpoint.
    pub(super) guard: RunGuard,
}

enum StreamStep {
    Events(Bytes),
    End,
    Lost(LostSource),
    /// No event is complete yet, and the deadline has not passed.
    Silent,
}

impl StreamStep {
    const fn lost(problem: &'static str) -> Self {
        Self::Lost(LostSource {
            problem,
            replacement: None,
        })
    }
}

/// Why the source of a stream is given up.
pub(super) struct LostSource {
    pub(super) problem: &'static str,
    /// The endpoint that takes over, if the source was given up for it.
    pub(super) replacement: Option<Box<Replacement>>,
}

/// Yields once to the tasks that are ready, without polling the I/O driver.
async fn yield_to_ready_tasks() {
    let mut has_run = false;
    std::future::poll_fn(|context| {
        if std::mem::replace(&mut has_run, true) {
            return Poll::Ready(());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// What is forwarded of the bytes that an endpoint sent.
struct SplitOutcome {
    /// The events that are forwarded.
    bytes: Bytes,
    /// Their number, comments apart.
    events: u64,
    /// Why the endpoint is given up behind them.
    problem: Option<&'static str>,
}

const fn problem_of(fault: EventFault) -> &'static str {
    match fault {
        EventFault::Gap => "events are missing",
        EventFault::OutOfOrder => "events are out of order",
        EventFault::Unnumbered => "an event has no number",
        EventFault::Malformed => "an event is damaged",
    }
}

/// Returns the sequence of a stream of which nothing is forwarded yet. The numbers of its events
/// matter only where another endpoint may continue it.
fn first_sequence(call: &AdmittedCall) -> EventSequence {
    match (call.route().may_repeat(), call.head.last_event) {
        (true, Some(last)) => EventSequence::after(last),
        (true, None) => EventSequence::after(0),
        (false, _) => EventSequence::unknown(),
    }
}

/// A stream of events that is forwarded to a caller.
pub(super) struct EventStream {
    call: Arc<AdmittedCall>,
    attempts: CallAttempts,
    source: Option<StreamSource>,
    splitter: EventSplitter,
    /// Decides which events are forwarded, and after which one another endpoint continues.
    sequence: EventSequence,
    /// The number of bytes that the source has sent since the last new event.
    bytes_without_event: usize,
    /// Complete events that were read and not forwarded yet.
    ready: Option<Bytes>,
    /// The step that follows them, if it was read already.
    pending_step: Option<StreamStep>,
    ended: bool,
    /// Whether an event was received, from this endpoint or one before it.
    has_events: bool,
    /// The software version of the endpoint that sent the first event.
    version: SoftwareVersion,
    events: u64,
    status: StatusCode,
    first_event_age: Duration,
}

impl EventStream {
    pub(super) fn new(
        call: Arc<AdmittedCall>,
        attempts: CallAttempts,
        source: StreamSource,
        status: StatusCode,
    ) -> Self {
        Self {
            sequence: first_sequence(&call),
            version: source.target.version,
            call,
            attempts,
            source: Some(source),
            splitter: EventSplitter::default(),
            bytes_without_event: 0,
            ready: None,
            pending_step: None,
            ended: false,
            has_events: false,
            events: 0,
            status,
            first_event_age: Duration::ZERO,
        }
    }

    /// Reads the first events; another endpoint is sought from `silent_at` on.
    ///
    /// # Errors
    ///
    /// Returns the problem if none arrive; nothing has been forwarded then.
    pub(super) async fn read_first(
        &mut self,
        silent_at: ClockInstant,
        goal: PlacementGoal,
    ) -> Result<(), LostSource> {
        match self.read_or_replace(silent_at, goal).await {
            StreamStep::Events(bytes) => {
                self.ready = Some(bytes);
                self.call.progress.record_answer();
                self.call.record_stream(self.version);
                self.first_event_age = self.call.age();
                self.call.record_first_event(self.first_event_age);
                self.call.release_unneeded_body(&self.attempts);
                Ok(())
            }
            StreamStep::End => {
                self.ended = true;
                Ok(())
            }
            StreamStep::Lost(lost) => Err(lost),
            StreamStep::Silent => Err(SILENT),
        }
    }

    /// Ends the stream before any event was forwarded, and returns the attempts made for it.
    pub(super) fn into_attempts(self) -> CallAttempts {
        if let Some(source) = &self.source {
            source.guard.record_failure(None);
        }
        self.attempts
    }

    /// Records that the endpoint failed.
    pub(super) fn record_failed(&self) {
        if let Some(source) = &self.source {
            source.guard.record(EndpointOutcome::Failed);
        }
    }

    /// Converts the stream into the body of the answer.
    pub(super) fn into_body(self) -> CallBody {
        let frames = stream::unfold(self, |stream| async move {
            let (frame, stream) = stream.next().await?;
            Some((frame.map(Frame::data), stream))
        });
        StreamBody::new(frames).boxed_unsync()
    }

    async fn next(mut self) -> Option<(Result<Bytes, BrokenAnswer>, Self)> {
        loop {
            if let Some(bytes) = self.ready.take() {
                let mut memory = self.call.answer_memory();
                memory.grow(bytes.len() as u64);
                return Some((Ok(memory.attach_to(bytes)), self));
            }
            if self.ended {
                return self.finish();
            }
            let step = match self.pending_step.take() {
                Some(step) => step,
                None => {
                    let silent_at = ClockInstant::now() + self.pause_timeout();
                    let goal = PlacementGoal::Resume(self.version);
                    self.read_or_replace(silent_at, goal).await
                }
            };
            match step {
                StreamStep::Events(bytes) => self.ready = Some(self.read_ready(bytes).await),
                StreamStep::End => self.ended = true,
                StreamStep::Silent => self.pending_step = Some(StreamStep::Lost(SILENT)),
                StreamStep::Lost(lost) => {
                    // Boxed, as the stream would hold room for this rare future all its life.
                    if let Err(broken) = Box::pin(self.fail_over(lost)).await {
                        self.ended = true;
                        self.source = None;
                        // An error drops what the connection has buffered, so it is written first.
                        tokio::task::yield_now().await;
                        return Some((Err(broken), self));
                    }
                }
            }
        }
    }

    fn finish(mut self) -> Option<(Result<Bytes, BrokenAnswer>, Self)> {
        let source = self.source.take()?;
        self.call
            .record_events(self.first_event_age, self.events.saturating_sub(1));
        self.call.log_answered(
            &source.target.name,
            self.status,
            self.first_event_age,
            self.events,
            &self.attempts,
        );
        if !source.head.closes_connection {
            source.connection.keep(source.head.idle_timeout);
        }
        None
    }

    fn pause_timeout(&self) -> Duration {
        match self.call.route().may_repeat() {
            true => MAX_PAUSE.min(self.call.route().pause.mul_f64(PAUSE_FACTOR)),
            false => self.call.time_left(),
        }
    }

    /// Reads until at least one event is complete; another endpoint is sought from `silent_at` on.
    async fn read_or_replace(
        &mut self,
        silent_at: ClockInstant,
        goal: PlacementGoal,
    ) -> StreamStep {
        match self.read(silent_at).await {
            // Boxed, as the stream would hold room for this rare future all its life.
            StreamStep::Silent => Box::pin(self.outlast_silence(goal)).await,
            step => step,
        }
    }

    /// Reads from a source that has been silent until another endpoint takes over.
    async fn outlast_silence(&mut self, goal: PlacementGoal) -> StreamStep {
        self.record_failed();
        let call = self.call.clone();
        let attempts = std::mem::take(&mut self.attempts);
        let read = self.read(call.deadline());
        let wait = call.outlast_silence(read, &attempts, attempts.sent, goal);
        let end = wait.await;
        self.attempts = attempts;
        match (end, &self.source) {
            (SilenceEnd::Answered(step), Some(source)) => {
                if matches!(step, StreamStep::Events(_)) {
                    source.guard.record(EndpointOutcome::Answered);
                }
                step
            }
            (SilenceEnd::Answered(step), None) => step,
            (SilenceEnd::Replaced(replacement), _) => StreamStep::Lost(LostSource {
                replacement: Some(replacement),
                ..SILENT
            }),
            (SilenceEnd::TimedOut, _) => StreamStep::Lost(SILENT),
        }
    }

    /// Reads until at least one event is complete, or until a time.
    async fn read(&mut self, until: ClockInstant) -> StreamStep {
        let until = self.call.deadline().min(until);
        loop {
            let Some(source) = self.source.as_mut() else {
                return StreamStep::lost("no endpoint");
            };
            let Ok(frame) = timeout_at(until, source.body.frame()).await else {
                return match self.call.time_left().is_zero() {
                    true => StreamStep::Lost(SILENT),
                    false => StreamStep::Silent,
                };
            };
            let Some(step) = self.step_for(frame) else {
                continue;
            };
            if let (StreamStep::Events(_), Some(source)) = (&step, self.source.as_mut()) {
                source.guard.record_first_event();
            }
            return step;
        }
    }

    /// Appends the complete events that have arrived already, so that they are written with one
    /// system call. A step that follows them is kept in `pending_step`.
    async fn read_ready(&mut self, first: Bytes) -> Bytes {
        let mut bytes = BytesMut::from(first);
        while self.pending_step.is_none() && bytes.len() < MAX_WRITE_BYTES {
            let Some(source) = self.source.as_mut() else {
                break;
            };
            // The task of the connection delivers one frame each time it runs.
            yield_to_ready_tasks().await;
            let Some(frame) = source.body.frame().now_or_never() else {
                break;
            };
            match self.step_for(frame) {
                Some(StreamStep::Events(more)) => bytes.extend_from_slice(&more),
                step => self.pending_step = step,
            }
        }
        bytes.freeze()
    }

    /// Returns the step that a frame leads to, or `None` if no event is complete yet.
    fn step_for(
        &mut self,
        frame: Option<Result<Frame<Bytes>, hyper::Error>>,
    ) -> Option<StreamStep> {
        let data = match frame {
            None if self.splitter.has_partial_event() => {
                return Some(StreamStep::lost("ended inside an event"));
            }
            None if self.sequence.has_only_repeated() => {
                return Some(StreamStep::lost("ended after repeated events"));
            }
            None if self.lacks_first_event() => {
                return Some(StreamStep::lost("ended before its first event"));
            }
            None => return Some(StreamStep::End),
            Some(Err(_)) => return Some(StreamStep::lost("broke off")),
            Some(Ok(frame)) => frame.into_data().ok()?,
        };
        let SplitOutcome {
            bytes,
            events,
            problem,
        } = self.split_events(&data);
        self.events += events;
        match events > 0 {
            true => self.bytes_without_event = 0,
            false => self.bytes_without_event += data.len(),
        }
        if self.bytes_without_event > MAX_BYTES_WITHOUT_EVENT {
            GATEWAY_METRICS.record_unbounded_answer("no_progress");
            return Some(StreamStep::lost(NO_PROGRESS));
        }
        let lost = problem.map(StreamStep::lost);
        if bytes.is_empty() {
            return lost;
        }
        self.has_events = true;
        self.pending_step = lost;
        Some(StreamStep::Events(bytes))
    }

    /// Returns whether a stream ended with its connection before any event, so that its endpoint
    /// may have broken it off. A stream that is taken up may have no events left.
    fn lacks_first_event(&self) -> bool {
        let source = self.source.as_ref();
        let is_unframed = source.is_some_and(|source| source.head.is_unframed);
        is_unframed && !self.has_events && self.call.head.last_event.is_none()
    }

    /// Splits bytes into events, and selects those that are forwarded.
    fn split_events(&mut self, data: &[u8]) -> SplitOutcome {
        let (bytes, events) = self.splitter.push(data);
        let mut forwarded = 0..bytes.len();
        let mut numbered = 0;
        let mut problem = match self.splitter.is_event_too_long() {
            true => Some("an event is too long"),
            false => None,
        };
        for SplitEvent { kind, range } in events {
            match self.sequence.judge(kind) {
                EventVerdict::Forward => numbered += u64::from(kind != EventKind::Comment),
                // Repeated events come before those that are forwarded.
                EventVerdict::Repeated => forwarded.start = range.end,
                EventVerdict::Reject(fault) => {
                    self.log_rejected(fault, kind);
                    forwarded.end = range.start;
                    problem = Some(problem_of(fault));
                    break;
                }
            }
        }
        SplitOutcome {
            bytes: Bytes::from(bytes).slice(forwarded),
            events: numbered,
            problem,
        }
    }

    /// Records an event that is not forwarded, for which its endpoint is given up.
    fn log_rejected(&self, fault: EventFault, kind: EventKind) {
        GATEWAY_METRICS.record_rejected_event(fault.as_str());
        let source = self.source.as_ref();
        log_gateway(&GatewayEvent::EventRejected {
            request: &self.call.head.id,
            endpoint: source.map_or("", |source| &source.target.name),
            fault: fault.as_str(),
            id: match kind {
                EventKind::Numbered(id) => Some(id),
                EventKind::Unnumbered | EventKind::Malformed | EventKind::Comment => None,
            },
            after_event: self.sequence.resume_point(),
        });
    }

    /// Resumes the stream at another endpoint after the current one was lost.
    async fn fail_over(&mut self, lost: LostSource) -> Result<(), BrokenAnswer> {
        let LostSource {
            problem,
            replacement,
        } = lost;
        if replacement.is_none() {
            self.record_failed();
        }
        // Dropping the source closes the connection before another endpoint resumes the stream.
        let lost = self.source.take().map(|source| source.target);
        if let Some(target) = &lost {
            record_interruption(&self.call, target);
        }
        let version_name = |target: &EndpointTarget| self.call.state.version_name(target.id);
        let began_at = lost.as_ref().map(version_name).unwrap_or_default();
        self.splitter = EventSplitter::default();
        self.sequence.change_source();
        let reason = match self.resume(replacement).await {
            Ok(source) => {
                GATEWAY_METRICS.resumed_streams.inc();
                log_gateway(&GatewayEvent::Resumed {
                    request: &self.call.head.id,
                    lost: lost.as_ref().map_or("", |target| &target.name),
                    began_at: &began_at,
                    endpoint: &source.target.name,
                    version: &self.call.state.version_name(source.target.id),
                    after_event: self.sequence.resume_point().unwrap_or_default(),
                    problem,
                });
                self.source = Some(source);
                self.bytes_without_event = 0;
                self.call.release_unneeded_body(&self.attempts);
                return Ok(());
            }
            Err(reason) => reason,
        };
        self.call.progress.end();
        GATEWAY_METRICS.record_outcome(&self.call.service().name, "broken_off");
        let name = lost.map(|target| target.name).unwrap_or_default();
        log_gateway(&GatewayEvent::BrokenOff {
            request: &self.call.head.id,
            print: self.call.fingerprint().to_string(),
            endpoint: &name,
            events: self.events,
            took_ms: self.call.age().as_millis() as u64,
            reason: &format!("{problem}; {reason}"),
        });
        Err(BrokenAnswer::Lost(name, problem))
    }

    async fn resume(
        &mut self,
        mut replacement: Option<Box<Replacement>>,
    ) -> Result<StreamSource, String> {
        let call = self.call.clone();
        let Some(last_event) = self.sequence.resume_point() else {
            return Err("the numbers of its events are not known".to_owned());
        };
        // An endpoint that begins a stream is not asked for what follows an event.
        let last_event = Some(last_event).filter(|last| *last > 0);
        let mut searches = 0;
        loop {
            if call.caller.is_disconnected() {
                return Err("its caller has left".to_owned());
            }
            let placement = match replacement.take() {
                Some(replacement) => Ok(replacement.begin(&mut self.attempts)),
                // Forwarded events stay valid, so the request counts as sent.
                None => match call.after_failure(&mut self.attempts, AttemptState::Sent) {
                    RetryVerdict::Retry => {
                        let goal = PlacementGoal::Resume(self.version);
                        call.find_placement(&self.attempts.endpoints, goal).await
                    }
                    RetryVerdict::Report(_) => {
                        return Err("no further attempt is allowed".to_owned());
                    }
                },
            };
            let placement = match placement {
                Ok(placement) => placement,
                Err(refusal) if searches == MAX_SEARCHES => {
                    return Err(refusal.reason.as_str().to_owned());
                }
                Err(_) => {
                    searches += 1;
                    tokio::time::sleep(SEARCH_INTERVAL).await;
                    continue;
                }
            };
            let resumed = call.resume(placement, &mut self.attempts, last_event);
            match resumed.await {
                Ok(source) => return Ok(source),
                Err(failure) if self.attempts.endpoints.len() > MAX_ENDPOINTS => {
                    return Err(failure.problem);
                }
                Err(failure) => {
                    log::debug!("could not resume {}: {}", call.head.id, failure.problem);
                    replacement = failure.replacement;
                }
            }
        }
    }
}
