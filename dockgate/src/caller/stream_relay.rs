//! Relays a streamed response to its caller, over several attempts if needed.
//!
//! A stream whose endpoint is lost, or that is paused to free its slot for another workspace, is
//! resumed on the next grant after the last complete event that was relayed. The caller sees one
//! response. Only repeatable requests to pools whose engines resume streams are resumed.

use super::metered_body::{FIRST_PROGRESS_PERIODS, ResponseError, ResponseLabel, RunningGrant};
use super::request_classifier::CallerRequest;
use super::request_runner::{BoundAttempt, RequestRunner};
use super::stream_meter::StreamMeter;
use super::{BodyError, InFlightGuard, ResponseBody};
use crate::clock::{now_ms, timeout};
use crate::metrics::METRICS;
use bytes::{Bytes, BytesMut};
use dockgate_core::{CostRule, SlotOutcome};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Capacity of the channel to the caller, in chunks of whole events.
const BUFFERED_CHUNKS: usize = 8;
/// The maximum number of endpoint losses after which one response is resumed.
const MAX_LOSSES: u32 = 5;
/// The maximum number of bytes buffered for an incomplete event.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// The maximum number of pauses of one response.
const MAX_PAUSES: u32 = 5;

/// The part of a stream that one attempt delivers.
pub(super) struct StreamSegment {
    pub(super) body: Incoming,
    pub(super) running: RunningGrant,
    pub(super) pause: oneshot::Receiver<()>,
    pub(super) rule: CostRule,
    pub(super) endpoint: String,
}

/// How a segment ended.
enum SegmentEnd {
    /// The end marker was relayed.
    Complete,
    /// The caller closed the connection.
    CallerGone,
    /// The scheduler reclaimed the slot for another workspace.
    Paused,
    /// The endpoint failed during the response.
    Lost(ResponseError),
}

/// Relays the segments of one stream to the caller.
pub(super) struct StreamRelay {
    pub(super) runner: RequestRunner,
    pub(super) req: CallerRequest,
    pub(super) label: ResponseLabel,
    pub(super) in_flight: InFlightGuard,
    /// Whether the stream may be resumed on another endpoint.
    pub(super) resumes: bool,
}

/// Totals over all segments relayed so far.
#[derive(Debug, Default)]
struct StreamProgress {
    events: u64,
    cost: f64,
    losses: u32,
    pauses: u32,
}

impl StreamRelay {
    /// Starts to relay a stream and returns the body for the caller.
    pub(super) fn start(self, first: StreamSegment) -> ResponseBody {
        let (sender, mut receiver) = mpsc::channel(BUFFERED_CHUNKS);
        tokio::spawn(self.run(first, sender));
        let chunks = futures::stream::poll_fn(move |context| receiver.poll_recv(context));
        BodyExt::boxed(StreamBody::new(chunks))
    }

    async fn run(
        self,
        first: StreamSegment,
        sender: mpsc::Sender<Result<Frame<Bytes>, BodyError>>,
    ) {
        let mut progress = StreamProgress::default();
        let mut segment = first;
        let outcome = loop {
            let end = self.relay_segment(segment, &mut progress, &sender).await;
            let error = match end {
                SegmentEnd::Complete => break "ok",
                SegmentEnd::CallerGone => break "caller_gone",
                SegmentEnd::Paused => {
                    progress.pauses += 1;
                    METRICS.pauses.inc();
                    None
                }
                SegmentEnd::Lost(error) => {
                    progress.losses += 1;
                    Some(error)
                }
            };
            let may_resume = self.resumes && progress.losses <= MAX_LOSSES;
            let next = match may_resume {
                true => tokio::select! {
                    next = self.runner.resume(&self.req, progress.events) => next,
                    () = sender.closed() => break "caller_gone",
                },
                false => None,
            };
            match next {
                Some(next) => segment = next,
                None => {
                    let endpoint = self.label.endpoint.clone();
                    let error = error.unwrap_or(ResponseError::NotResumed(endpoint));
                    log::warn!("request {}: {error}", self.req.id);
                    // An error in the body aborts the connection, so that the caller detects the
                    // truncation.
                    let _ = sender.send(Err(error.into())).await;
                    break "failed";
                }
            }
        };
        self.label.log_end(outcome, progress.cost);
        drop(self.in_flight);
    }

    /// Relays the complete events of one segment.
    async fn relay_segment(
        &self,
        mut segment: StreamSegment,
        progress: &mut StreamProgress,
        sender: &mpsc::Sender<Result<Frame<Bytes>, BodyError>>,
    ) -> SegmentEnd {
        let mut meter = StreamMeter::default();
        let mut pending = BytesMut::new();
        let idle_timeout = self.runner.settings.limits.answer_timeout;
        let progress_every_ms = self.runner.settings.schedule.progress_every.as_millis() as u64;
        let mut due_ms = now_ms() + progress_every_ms * FIRST_PROGRESS_PERIODS;
        let may_pause = self.resumes && progress.pauses < MAX_PAUSES;
        let earlier_cost = progress.cost;
        let end = loop {
            let frame = tokio::select! {
                frame = next_frame(&mut segment.body, idle_timeout) => frame,
                Ok(()) = &mut segment.pause, if may_pause => break SegmentEnd::Paused,
                () = sender.closed() => break SegmentEnd::CallerGone,
            };
            let bytes = match frame {
                SegmentFrame::Data(bytes) => bytes,
                SegmentFrame::End if meter.is_done() => break SegmentEnd::Complete,
                SegmentFrame::End => {
                    let endpoint = segment.endpoint.clone();
                    break SegmentEnd::Lost(ResponseError::Truncated(endpoint));
                }
                SegmentFrame::TimedOut => {
                    let endpoint = segment.endpoint.clone();
                    break SegmentEnd::Lost(ResponseError::TimedOut(endpoint));
                }
                SegmentFrame::Broken(cause) => {
                    let endpoint = segment.endpoint.clone();
                    break SegmentEnd::Lost(ResponseError::Lost(endpoint, cause));
                }
            };
            pending.extend_from_slice(&bytes);
            let events = match take_events(&mut pending) {
                Some(events) => events,
                None if pending.len() > MAX_EVENT_BYTES => {
                    let endpoint = segment.endpoint.clone();
                    break SegmentEnd::Lost(ResponseError::EventTooLong(endpoint));
                }
                None => continue,
            };
            meter.feed(&events);
            segment.running.cost = meter.cost(&segment.rule);
            if sender.send(Ok(Frame::data(events))).await.is_err() {
                break SegmentEnd::CallerGone;
            }
            if now_ms() >= due_ms {
                due_ms = now_ms() + progress_every_ms;
                let RunningGrant { grant, cost, .. } = segment.running;
                segment.running.dispatch.progress(grant, cost);
            }
        };
        if matches!(end, SegmentEnd::Lost(_)) {
            segment.running.slot_outcome = SlotOutcome::Lost;
        }
        progress.events += meter.events();
        progress.cost = earlier_cost + meter.cost(&segment.rule);
        end
    }
}

/// The result of reading the body of a segment.
enum SegmentFrame {
    Data(Bytes),
    End,
    TimedOut,
    Broken(hyper::Error),
}

async fn next_frame(body: &mut Incoming, idle_timeout: Duration) -> SegmentFrame {
    loop {
        match timeout(idle_timeout, body.frame()).await {
            Err(_) => return SegmentFrame::TimedOut,
            Ok(None) => return SegmentFrame::End,
            Ok(Some(Err(cause))) => return SegmentFrame::Broken(cause),
            Ok(Some(Ok(frame))) => {
                // Trailers are not part of the API and are dropped.
                if let Ok(bytes) = frame.into_data() {
                    return SegmentFrame::Data(bytes);
                }
            }
        }
    }
}

/// Splits off the complete events; an incomplete one stays in `pending`.
fn take_events(pending: &mut BytesMut) -> Option<Bytes> {
    let end_after = |mark: &[u8]| memchr::memmem::rfind(pending, mark).map(|at| at + mark.len());
    let end = end_after(b"\n\n").max(end_after(b"\n\r\n"))?;
    Some(pending.split_to(end).freeze())
}

/// Returns the body of a request with `resume_from` set to the number of events already relayed.
pub(super) fn resumed_body(body: &Bytes, events: u64) -> Bytes {
    let mut value: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    value["resume_from"] = events.into();
    Bytes::from(value.to_string())
}

/// Returns whether the response to an attempt may be resumed.
pub(super) const fn can_resume(req: &CallerRequest, attempt: &BoundAttempt) -> bool {
    req.repeatable && attempt.resumes
}

#[cfg(test)]
mod tests;
