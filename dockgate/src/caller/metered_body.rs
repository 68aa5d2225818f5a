//! Relays a response body to the caller while measuring and reporting its cost.

use super::{BodyError, InFlightGuard};
use crate::clock::now_ms;
use crate::dispatch::DispatchHandle;
use crate::logging::{LogEvent, log_event};
use crate::metrics::METRICS;
use bytes::Bytes;
use dockgate_core::{CostRule, GrantId, SlotOutcome};
use hyper::body::{Body, Frame, Incoming};
use quick_error::quick_error;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, Sleep};

quick_error! {
    /// The reason for a truncated response; the connection to the caller is aborted.
    #[derive(Debug)]
    pub enum ResponseError {
        /// The endpoint ended the stream without its end marker.
        Truncated(endpoint: String) {
            display("endpoint {}: response: the stream ended without its end marker", endpoint)
        }
        /// The endpoint sent nothing within the timeout.
        TimedOut(endpoint: String) {
            display("endpoint {}: response: no data within the timeout", endpoint)
        }
        /// The endpoint sent an event that is too long.
        EventTooLong(endpoint: String) {
            display("endpoint {}: response: an event is too long", endpoint)
        }
        /// The response was paused and could not be resumed.
        NotResumed(endpoint: String) {
            display("endpoint {}: response: it was paused and could not be resumed", endpoint)
        }
        /// The connection to the endpoint failed.
        Lost(endpoint: String, cause: hyper::Error) {
            display("endpoint {}: response: {}", endpoint, cause)
        }
    }
}

/// A grant in use. Dropping it settles the cost and frees the slot.
pub(super) struct RunningGrant {
    pub(super) grant: GrantId,
    pub(super) dispatch: DispatchHandle,
    pub(super) cost: f64,
    /// How the endpoint behaved.
    pub(super) slot_outcome: SlotOutcome,
}

impl Drop for RunningGrant {
    fn drop(&mut self) {
        self.dispatch
            .finish(self.grant, self.cost, self.slot_outcome);
    }
}

/// The number of reporting periods before the first progress report.
///
/// A response that ends earlier is reported by its settle alone.
pub(super) const FIRST_PROGRESS_PERIODS: u64 = 3;

/// Identifies a response in the log.
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

/// The body of a response of a plain service, on its way to the caller.
pub(super) struct MeteredBody {
    inner: Incoming,
    rule: CostRule,
    running: RunningGrant,
    label: ResponseLabel,
    granted_ms: u64,
    progress_every_ms: u64,
    progress_due_ms: u64,
    idle_timeout: Duration,
    timer: Pin<Box<Sleep>>,
    outcome: Option<&'static str>,
    _in_flight: InFlightGuard,
}

/// Timeout and reporting interval of a response.
pub(super) struct ResponseTiming {
    /// The maximum time without data from the endpoint.
    pub(super) idle_timeout: Duration,
    /// The interval of cost reports.
    pub(super) progress_every: Duration,
}

impl MeteredBody {
    pub(super) fn new(
        inner: Incoming,
        rule: CostRule,
        running: RunningGrant,
        label: ResponseLabel,
        timing: &ResponseTiming,
        in_flight: InFlightGuard,
    ) -> Self {
        let now = now_ms();
        let progress_every_ms = timing.progress_every.as_millis() as u64;
        Self {
            inner,
            rule,
            running,
            label,
            granted_ms: now,
            progress_every_ms,
            progress_due_ms: now + progress_every_ms * FIRST_PROGRESS_PERIODS,
            idle_timeout: timing.idle_timeout,
            timer: Box::pin(tokio::time::sleep(timing.idle_timeout)),
            outcome: None,
            _in_flight: in_flight,
        }
    }

    fn record_frame(&mut self) {
        let now = now_ms();
        self.running.cost = self.cost(now);
        if now >= self.progress_due_ms {
            self.progress_due_ms = now + self.progress_every_ms;
            let RunningGrant { grant, cost, .. } = self.running;
            self.running.dispatch.progress(grant, cost);
        }
        // The timer does not advance during a suspension, nor does the endpoint's data arrive.
        #[expect(
            clippy::disallowed_methods,
            reason = "the timer of tokio needs the clock of tokio"
        )]
        let deadline = Instant::now() + self.idle_timeout;
        self.timer.as_mut().reset(deadline);
    }

    fn cost(&self, now: u64) -> f64 {
        (now - self.granted_ms) as f64 * self.rule.slot_ms_weight
    }

    fn complete(&mut self) {
        self.running.cost = self.cost(now_ms());
        self.outcome = Some("ok");
    }

    fn fail(&mut self, error: ResponseError) -> ResponseError {
        log::warn!("{error}");
        self.outcome = Some("failed");
        self.running.slot_outcome = SlotOutcome::Lost;
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
                self.record_frame();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(cause))) => {
                let error = self.fail(ResponseError::Lost(endpoint, cause));
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(None) => {
                self.complete();
                Poll::Ready(None)
            }
            Poll::Pending => {
                std::task::ready!(self.timer.as_mut().poll(context));
                let error = self.fail(ResponseError::TimedOut(endpoint));
                Poll::Ready(Some(Err(error.into())))
            }
        }
    }
}

impl Drop for MeteredBody {
    fn drop(&mut self) {
        let is_complete = self.inner.is_end_stream();
        let outcome = match self.outcome {
            Some(outcome) => outcome,
            // hyper may drop a body of known length without polling for its end.
            None if is_complete => "ok",
            None => "caller_gone",
        };
        self.label.log_end(outcome, self.running.cost);
    }
}
