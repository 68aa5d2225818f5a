//! Passes an answer on to the caller while its cost is measured and reported.

use super::{BodyError, InFlight};
use crate::clock::now_ms;
use crate::dispatch::DispatchHandle;
use crate::logging::{LogEvent, log_event};
use crate::metrics::METRICS;
use bytes::Bytes;
use dockgate_core::{CostRule, GrantId, SlotSign};
use hyper::body::{Body, Frame, Incoming};
use quick_error::quick_error;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, Sleep};

quick_error! {
    /// Why an answer ends before it is whole; the caller's connection is cut, so that it can tell.
    #[derive(Debug)]
    pub enum ResponseError {
        /// The endpoint ended the stream without its end mark.
        Truncated(endpoint: String) {
            display("endpoint {}: answer: the stream ended without its end mark", endpoint)
        }
        /// The endpoint was silent for too long.
        Silent(endpoint: String) {
            display("endpoint {}: answer: nothing came in time", endpoint)
        }
        /// The answer was paused, and no slot came free for its rest.
        NotResumed(endpoint: String) {
            display("endpoint {}: answer: its rest found no slot", endpoint)
        }
        /// The connection to the endpoint broke.
        Lost(endpoint: String, cause: hyper::Error) {
            display("endpoint {}: answer: {}", endpoint, cause)
        }
    }
}

/// A grant in use; dropping it settles the cost and frees the slot.
pub(super) struct RunningGrant {
    pub(super) grant: GrantId,
    pub(super) dispatch: DispatchHandle,
    pub(super) cost: f64,
    /// What was seen of the endpoint.
    pub(super) sign: SlotSign,
}

impl Drop for RunningGrant {
    fn drop(&mut self) {
        self.dispatch.finish(self.grant, self.cost, self.sign);
    }
}

/// After how many periods the cost of an answer is reported first: most end before that, and their
/// settle says all.
pub(super) const FIRST_PROGRESS: u64 = 3;

/// Whose answer it is, for the line at its end.
pub(super) struct ResponseLabel {
    pub(super) request: String,
    pub(super) workspace: String,
    pub(super) endpoint: String,
    pub(super) started_ms: u64,
}

impl ResponseLabel {
    /// Logs and counts the end of a request that reached an endpoint.
    pub(super) fn log_end(&self, outcome: &str, cost: f64) {
        METRICS
            .requests
            .with_label_values(&[outcome, "answer"])
            .inc();
        log_event(&LogEvent::Ended {
            request: &self.request,
            workspace: &self.workspace,
            outcome,
            step: "answer",
            cost: cost as u64,
            took_ms: now_ms() - self.started_ms,
        });
    }
}

/// The body of a plain service's answer on its way to the caller.
pub(super) struct MeteredBody {
    inner: Incoming,
    rule: CostRule,
    running: RunningGrant,
    label: ResponseLabel,
    granted_ms: u64,
    progress_every_ms: u64,
    progress_due_ms: u64,
    silence: Duration,
    timer: Pin<Box<Sleep>>,
    outcome: Option<&'static str>,
    _in_flight: InFlight,
}

/// Times that bound an answer.
pub(super) struct ResponseTimes {
    /// How long the endpoint may be silent.
    pub(super) silence: Duration,
    /// How often the cost is reported.
    pub(super) progress_every: Duration,
}

impl MeteredBody {
    pub(super) fn new(
        inner: Incoming,
        rule: CostRule,
        running: RunningGrant,
        label: ResponseLabel,
        times: &ResponseTimes,
        in_flight: InFlight,
    ) -> Self {
        let now = now_ms();
        let progress_every_ms = times.progress_every.as_millis() as u64;
        Self {
            inner,
            rule,
            running,
            label,
            granted_ms: now,
            progress_every_ms,
            progress_due_ms: now + progress_every_ms * FIRST_PROGRESS,
            silence: times.silence,
            timer: Box::pin(tokio::time::sleep(times.silence)),
            outcome: None,
            _in_flight: in_flight,
        }
    }

    fn take_in(&mut self) {
        let now = now_ms();
        self.running.cost = self.cost(now);
        if now >= self.progress_due_ms {
            self.progress_due_ms = now + self.progress_every_ms;
            let RunningGrant { grant, cost, .. } = self.running;
            self.running.dispatch.progress(grant, cost);
        }
        // Late by the time of a suspension, in which the endpoint could not be heard either.
        #[expect(
            clippy::disallowed_methods,
            reason = "the runtime's timer needs its clock"
        )]
        let silence = Instant::now() + self.silence;
        self.timer.as_mut().reset(silence);
    }

    fn cost(&self, now: u64) -> f64 {
        (now - self.granted_ms) as f64 * self.rule.slot_ms_weight
    }

    fn end(&mut self) {
        self.running.cost = self.cost(now_ms());
        self.outcome = Some("ok");
    }

    fn fail(&mut self, error: ResponseError) -> ResponseError {
        log::warn!("{error}");
        self.outcome = Some("failed");
        self.running.sign = SlotSign::Lost;
        error
    }
}

impl Body for MeteredBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let endpoint = self.label.endpoint.clone();
        match Pin::new(&mut self.inner).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                self.take_in();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(cause))) => {
                let error = self.fail(ResponseError::Lost(endpoint, cause));
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(None) => {
                self.end();
                Poll::Ready(None)
            }
            Poll::Pending => {
                std::task::ready!(self.timer.as_mut().poll(context));
                let error = self.fail(ResponseError::Silent(endpoint));
                Poll::Ready(Some(Err(error.into())))
            }
        }
    }
}

impl Drop for MeteredBody {
    fn drop(&mut self) {
        let whole = self.inner.is_end_stream();
        let outcome = match self.outcome {
            Some(outcome) => outcome,
            // hyper may drop a body of known length without asking for its end.
            None if whole => "ok",
            None => "caller_gone",
        };
        self.label.log_end(outcome, self.running.cost);
    }
}
