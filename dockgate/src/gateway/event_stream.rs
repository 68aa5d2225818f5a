//! Passes a stream of events on, and goes on at another endpoint where that is allowed.

use super::call::{AdmittedCall, CallTries};
use super::call_body::{BrokenAnswer, CallBody};
use super::end_check::note_break;
use super::events::{GatewayEvent, log_gateway};
use super::gateway_metrics::GATEWAY_METRICS;
use super::run_guard::RunGuard;
use super::upstream::{EndpointTarget, UsedConnection};
use crate::clock::{ClockInstant, timeout_at};
use bytes::{Bytes, BytesMut};
use dockgate_core::gateway::{EndpointOutcome, EventSplitter};
use dockgate_core::{AttemptState, RetryVerdict};
use dockgate_platform::AnswerHead;
use futures::{FutureExt, stream};
use http::StatusCode;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

/// How many times the pause that is in time a resumable stream may pause before it is continued
/// elsewhere: by then the answer is late, but its caller is still there.
const PAUSE_PATIENCE: f64 = 4.5;
/// The longest such pause: callers leave after two seconds. A bound.
const MOST_PAUSE: Duration = Duration::from_millis(1_500);

/// Where events come from.
pub(super) struct StreamSource {
    /// The endpoint.
    pub(super) target: EndpointTarget,
    /// The rest of its answer.
    pub(super) body: Incoming,
    /// Its connection.
    pub(super) connection: UsedConnection,
    /// What its head said.
    pub(super) head: AnswerHead,
    /// Counts the request there.
    pub(super) guard: RunGuard,
}

enum StreamStep {
    Events(Bytes),
    End,
    Lost(&'static str),
}

/// Lets the tasks that are ready go first, without a look at the system.
async fn let_others_run() {
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

/// A stream on its way to a caller.
pub(super) struct EventStream {
    call: Arc<AdmittedCall>,
    tries: CallTries,
    source: Option<StreamSource>,
    splitter: EventSplitter,
    /// Whole events that were read and not passed on yet.
    ready: Option<Bytes>,
    /// What came behind them.
    after: Option<StreamStep>,
    ended: bool,
    last_event: Option<u64>,
    events: u64,
    status: StatusCode,
    first_after: Duration,
}

impl EventStream {
    pub(super) fn new(
        call: Arc<AdmittedCall>,
        tries: CallTries,
        source: StreamSource,
        status: StatusCode,
    ) -> Self {
        Self {
            last_event: call.head.last_event,
            call,
            tries,
            source: Some(source),
            splitter: EventSplitter::default(),
            ready: None,
            after: None,
            ended: false,
            events: 0,
            status,
            first_after: Duration::ZERO,
        }
    }

    /// Waits for the first events.
    ///
    /// # Errors
    ///
    /// Returns the problem where none come; nothing has been passed on then.
    pub(super) async fn read_first(&mut self, patience: Duration) -> Result<(), &'static str> {
        match self.read(patience).await {
            StreamStep::Events(bytes) => {
                self.ready = Some(bytes);
                self.call.progress.note_answer();
                self.first_after = self.call.age();
                Ok(())
            }
            StreamStep::End => {
                self.ended = true;
                Ok(())
            }
            StreamStep::Lost(problem) => Err(problem),
        }
    }

    /// Notes that the endpoint failed.
    pub(super) fn note_failed(&self) {
        if let Some(source) = &self.source {
            source.guard.note(EndpointOutcome::Failed);
        }
    }

    /// Makes the body of the answer.
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
                return Some((Ok(bytes), self));
            }
            if self.ended {
                return self.finish();
            }
            let step = match self.after.take() {
                Some(step) => step,
                None => self.read(self.pause_patience()).await,
            };
            match step {
                StreamStep::Events(bytes) => self.ready = Some(self.read_ready(bytes).await),
                StreamStep::End => self.ended = true,
                StreamStep::Lost(problem) => {
                    if let Err(broken) = self.go_on(problem).await {
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
            self.first_after,
            self.events,
            &self.tries,
        );
        if !source.head.closes_connection {
            source.connection.keep(source.head.idle_timeout);
        }
        None
    }

    fn pause_patience(&self) -> Duration {
        match self.call.route().may_repeat() {
            true => MOST_PAUSE.min(self.call.route().pause.mul_f64(PAUSE_PATIENCE)),
            false => self.call.left(),
        }
    }

    /// Reads until whole events are there.
    async fn read(&mut self, patience: Duration) -> StreamStep {
        let until = self.call.deadline().min(ClockInstant::now() + patience);
        loop {
            let Some(source) = self.source.as_mut() else {
                return StreamStep::Lost("no endpoint");
            };
            let Ok(frame) = timeout_at(until, source.body.frame()).await else {
                return StreamStep::Lost("silent for too long");
            };
            let Some(step) = self.step_of(frame) else {
                continue;
            };
            if let (StreamStep::Events(_), Some(source)) = (&step, self.source.as_mut()) {
                source.guard.start();
            }
            return step;
        }
    }

    /// Adds the whole events that have arrived already, and notes what follows where that has: what goes
    /// out together takes one call in place of several.
    async fn read_ready(&mut self, first: Bytes) -> Bytes {
        let mut bytes = BytesMut::from(first);
        while self.after.is_none() {
            let Some(source) = self.source.as_mut() else {
                break;
            };
            // The connection hands over one piece at a time, whenever its task runs.
            let_others_run().await;
            let Some(frame) = source.body.frame().now_or_never() else {
                break;
            };
            match self.step_of(frame) {
                Some(StreamStep::Events(more)) => bytes.extend_from_slice(&more),
                step => self.after = step,
            }
        }
        bytes.freeze()
    }

    /// Tells what a piece of the answer comes to, or nothing where no event is whole yet.
    fn step_of(&mut self, frame: Option<Result<Frame<Bytes>, hyper::Error>>) -> Option<StreamStep> {
        let data = match frame {
            None if self.splitter.is_inside() => {
                return Some(StreamStep::Lost("ended inside an event"));
            }
            None => return Some(StreamStep::End),
            Some(Err(_)) => return Some(StreamStep::Lost("broke off")),
            Some(Ok(frame)) => frame.into_data().ok()?,
        };
        match self.take_in(&data) {
            Ok(bytes) if bytes.is_empty() => None,
            Ok(bytes) => Some(StreamStep::Events(bytes)),
            Err(problem) => Some(StreamStep::Lost(problem)),
        }
    }

    /// Cuts bytes into events; drops those that the caller has, and finds gaps.
    fn take_in(&mut self, data: &[u8]) -> Result<Bytes, &'static str> {
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

    /// Goes on at another endpoint after the one so far was lost.
    async fn go_on(&mut self, problem: &'static str) -> Result<(), BrokenAnswer> {
        self.note_failed();
        // The first endpoint must have stopped before another one goes on.
        let lost = self.source.take().map(|source| source.target);
        if let Some(target) = &lost {
            note_break(&self.call.state, target, self.call.print());
        }
        self.splitter = EventSplitter::default();
        let reason = match self.resume().await {
            Ok(source) => {
                GATEWAY_METRICS.resumed.inc();
                log_gateway(&GatewayEvent::Resumed {
                    request: &self.call.head.id,
                    endpoint: &source.target.name,
                    after_event: self.last_event.unwrap_or_default(),
                    problem,
                });
                self.source = Some(source);
                return Ok(());
            }
            Err(reason) => reason,
        };
        self.call.progress.end();
        GATEWAY_METRICS.note_outcome(&self.call.service().name, "broken_off");
        let name = lost.map(|target| target.name).unwrap_or_default();
        log_gateway(&GatewayEvent::BrokenOff {
            request: &self.call.head.id,
            print: self.call.print().to_string(),
            endpoint: &name,
            events: self.events,
            took_ms: self.call.age().as_millis() as u64,
            reason: &format!("{problem}; {reason}"),
        });
        Err(BrokenAnswer::Lost(name, problem))
    }

    async fn resume(&mut self) -> Result<StreamSource, String> {
        loop {
            if self.call.caller.has_left() {
                return Err("its caller has left".to_owned());
            }
            // What was passed on stays valid, so the state is that of a request that was sent.
            match self.call.after_loss(&self.tries, AttemptState::Sent) {
                RetryVerdict::Retry => {}
                RetryVerdict::Report(_) => return Err("no further attempt is allowed".to_owned()),
            }
            let call = self.call.clone();
            match call.resume(&mut self.tries, self.last_event).await {
                Ok(source) => return Ok(source),
                Err(problem) if self.tries.endpoints.len() > 4 => return Err(problem),
                Err(problem) => log::debug!("resume {}: {problem}", call.head.id),
            }
        }
    }
}
