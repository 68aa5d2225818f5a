//! Forwards a stream of events, and resumes it at another endpoint where that is allowed.

use super::call::{AdmittedCall, CallAttempts};
use super::call_body::{BrokenAnswer, CallBody};
use super::end_check::record_interruption;
use super::events::{GatewayEvent, log_gateway};
use super::gateway_metrics::GATEWAY_METRICS;
use super::run_guard::RunGuard;
use super::upstream::{EndpointTarget, PooledConnection};
use crate::clock::{ClockInstant, timeout_at};
use bytes::{Bytes, BytesMut};
use dockgate_core::gateway::{EndpointOutcome, EventSplitter, SoftwareVersion};
use dockgate_core::{AttemptState, RetryVerdict};
use dockgate_platform::AnswerHead;
use futures::{FutureExt, stream};
use http::StatusCode;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

/// How long a resumable stream may pause before it is resumed elsewhere, in multiples of the pause
/// that the route allows. By then the answer is late, but its caller is still there.
const PAUSE_FACTOR: f64 = 4.5;
/// The upper bound of such a pause, shorter than the timeouts of callers.
const MAX_PAUSE: Duration = Duration::from_millis(1_500);
/// The number of bytes from which on no further events are added to a write, so that little is
/// buffered for a slow reader.
const MAX_WRITE_BYTES: usize = 16 << 10;

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
    Lost(&'static str),
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

/// A stream of events that is forwarded to a caller.
pub(super) struct EventStream {
    call: Arc<AdmittedCall>,
    attempts: CallAttempts,
    source: Option<StreamSource>,
    splitter: EventSplitter,
    /// Complete events that were read and not forwarded yet.
    ready: Option<Bytes>,
    /// The step that follows them, if it was read already.
    pending_step: Option<StreamStep>,
    ended: bool,
    last_event: Option<u64>,
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
            last_event: call.head.last_event,
            version: source.target.version,
            call,
            attempts,
            source: Some(source),
            splitter: EventSplitter::default(),
            ready: None,
            pending_step: None,
            ended: false,
            events: 0,
            status,
            first_event_age: Duration::ZERO,
        }
    }

    /// Reads the first events.
    ///
    /// # Errors
    ///
    /// Returns the problem if none arrive; nothing has been forwarded then.
    pub(super) async fn read_first(&mut self, timeout: Duration) -> Result<(), &'static str> {
        match self.read(timeout).await {
            StreamStep::Events(bytes) => {
                self.ready = Some(bytes);
                self.call.progress.record_answer();
                self.call.record_stream(self.version);
                self.first_event_age = self.call.age();
                self.call.release_unneeded_body(&self.attempts);
                Ok(())
            }
            StreamStep::End => {
                self.ended = true;
                Ok(())
            }
            StreamStep::Lost(problem) => Err(problem),
        }
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
                None => self.read(self.pause_timeout()).await,
            };
            match step {
                StreamStep::Events(bytes) => self.ready = Some(self.read_ready(bytes).await),
                StreamStep::End => self.ended = true,
                StreamStep::Lost(problem) => {
                    // Boxed, as the stream would hold room for this rare future all its life.
                    if let Err(broken) = Box::pin(self.fail_over(problem)).await {
                        self.ended = true;
                        self.source = None;
                        return Some((Err(broken), self));
                    }
                }
            }
        }
    }

    fn finish(mut self) -> Option<(Result<Bytes, BrokenAnswer>, Self)> {
        let source = self.source.take()?;
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

    /// Reads until at least one event is complete.
    async fn read(&mut self, timeout: Duration) -> StreamStep {
        let until = self.call.deadline().min(ClockInstant::now() + timeout);
        loop {
            let Some(source) = self.source.as_mut() else {
                return StreamStep::Lost("no endpoint");
            };
            let Ok(frame) = timeout_at(until, source.body.frame()).await else {
                return StreamStep::Lost("silent for too long");
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
                return Some(StreamStep::Lost("ended inside an event"));
            }
            None => return Some(StreamStep::End),
            Some(Err(_)) => return Some(StreamStep::Lost("broke off")),
            Some(Ok(frame)) => frame.into_data().ok()?,
        };
        match self.split_events(&data) {
            Ok(bytes) if bytes.is_empty() => None,
            Ok(bytes) => Some(StreamStep::Events(bytes)),
            Err(problem) => Some(StreamStep::Lost(problem)),
        }
    }

    /// Splits bytes into events, drops those that the caller has received, and detects gaps.
    fn split_events(&mut self, data: &[u8]) -> Result<Bytes, &'static str> {
        let (bytes, events) = self.splitter.push(data).ok_or("an event is too long")?;
        let mut start = 0;
        for event in &events {
            match (event.id, self.last_event) {
                (Some(id), Some(last)) if id <= last => start = event.range.end,
                (Some(id), Some(last)) if id > last + 1 => return Err("events are missing"),
                (Some(id), _) => {
                    self.last_event = Some(id);
                    self.events += 1;
                }
                (None, _) => {}
            }
        }
        Ok(Bytes::from(bytes).slice(start..))
    }

    /// Resumes the stream at another endpoint after the current one was lost.
    async fn fail_over(&mut self, problem: &'static str) -> Result<(), BrokenAnswer> {
        self.record_failed();
        // Dropping the source closes the connection before another endpoint resumes the stream.
        let lost = self.source.take().map(|source| source.target);
        if let Some(target) = &lost {
            record_interruption(&self.call, target);
        }
        let version_name = |target: &EndpointTarget| self.call.state.version_name(target.id);
        let began_at = lost.as_ref().map(version_name).unwrap_or_default();
        self.splitter = EventSplitter::default();
        let reason = match self.resume().await {
            Ok(source) => {
                GATEWAY_METRICS.resumed_streams.inc();
                log_gateway(&GatewayEvent::Resumed {
                    request: &self.call.head.id,
                    lost: lost.as_ref().map_or("", |target| &target.name),
                    began_at: &began_at,
                    endpoint: &source.target.name,
                    version: &self.call.state.version_name(source.target.id),
                    after_event: self.last_event.unwrap_or_default(),
                    problem,
                });
                self.source = Some(source);
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

    async fn resume(&mut self) -> Result<StreamSource, String> {
        loop {
            if self.call.caller.is_disconnected() {
                return Err("its caller has left".to_owned());
            }
            // Forwarded events stay valid, so the request counts as sent.
            match self.call.after_failure(&self.attempts, AttemptState::Sent) {
                RetryVerdict::Retry => {}
                RetryVerdict::Report(_) => return Err("no further attempt is allowed".to_owned()),
            }
            let call = self.call.clone();
            let resumed = call.resume(&mut self.attempts, self.last_event, self.version);
            match resumed.await {
                Ok(source) => return Ok(source),
                Err(problem) if self.attempts.endpoints.len() > 4 => return Err(problem),
                Err(problem) => log::debug!("could not resume {}: {problem}", call.head.id),
            }
        }
    }
}
