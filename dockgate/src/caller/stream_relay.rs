//! Streams an answer to its caller over as many attempts as it takes.
//!
//! A stream whose endpoint is lost, or that is paused to give its slot to a workspace further behind,
//! is continued on the next grant from the last whole event that was passed on. The caller sees one
//! answer. Only repeatable requests to pools whose engines resume streams are continued.

use super::metered_body::{FIRST_PROGRESS, ResponseError, ResponseLabel, RunningGrant};
use super::request_classifier::CallerRequest;
use super::request_runner::{BoundAttempt, RequestRunner};
use super::stream_meter::StreamMeter;
use super::{BodyError, InFlight, ResponseBody};
use crate::clock::{now_ms, timeout};
use crate::metrics::METRICS;
use bytes::{Bytes, BytesMut};
use dockgate_core::{CostRule, SlotSign};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Pieces of an answer that may wait for a slow caller.
const BUFFERED_CHUNKS: usize = 8;
/// How often one answer may be continued after its endpoint was lost.
const MAX_LOSSES: u32 = 5;
/// How often one answer may be paused.
const MAX_PAUSES: u32 = 5;

/// One attempt's part of a stream.
pub(super) struct StreamSegment {
    pub(super) body: Incoming,
    pub(super) running: RunningGrant,
    pub(super) pause: oneshot::Receiver<()>,
    pub(super) rule: CostRule,
    pub(super) endpoint: String,
}

/// How a segment ended.
enum SegmentEnd {
    /// The end mark has passed.
    Whole,
    /// The caller has gone.
    CallerGone,
    /// The scheduler wants the slot for another workspace.
    Paused,
    /// The endpoint was lost.
    Lost(ResponseError),
}

/// Passes a stream on.
pub(super) struct StreamRelay {
    pub(super) context: RequestRunner,
    pub(super) call: CallerRequest,
    pub(super) label: ResponseLabel,
    pub(super) in_flight: InFlight,
    /// Whether the rest may be asked of another endpoint.
    pub(super) resumes: bool,
}

/// What has been passed on so far, over all segments.
#[derive(Debug, Default)]
struct StreamProgress {
    events: u64,
    cost: f64,
    losses: u32,
    pauses: u32,
}

impl StreamRelay {
    /// Starts to pass a stream on; returns the body for the caller.
    pub(super) fn start(self, first: StreamSegment) -> ResponseBody {
        let (sender, mut receiver) = mpsc::channel(BUFFERED_CHUNKS);
        tokio::spawn(self.run(first, sender));
        let pieces = futures::stream::poll_fn(move |context| receiver.poll_recv(context));
        BodyExt::boxed(StreamBody::new(pieces))
    }

    async fn run(
        self,
        first: StreamSegment,
        sender: mpsc::Sender<Result<Frame<Bytes>, BodyError>>,
    ) {
        let mut progress = StreamProgress::default();
        let mut segment = first;
        let outcome = loop {
            let end = self.pass(segment, &mut progress, &sender).await;
            let error = match end {
                SegmentEnd::Whole => break "ok",
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
                    next = self.context.resume(&self.call, progress.events) => next,
                    () = sender.closed() => break "caller_gone",
                },
                false => None,
            };
            match next {
                Some(next) => segment = next,
                None => {
                    let endpoint = self.label.endpoint.clone();
                    let error = error.unwrap_or(ResponseError::NotResumed(endpoint));
                    log::warn!("request {}: {error}", self.call.id);
                    // The caller's connection is cut, so that it sees that this is not the whole.
                    let _ = sender.send(Err(error.into())).await;
                    break "failed";
                }
            }
        };
        self.label.log_end(outcome, progress.cost);
        drop(self.in_flight);
    }

    /// Passes one segment on, whole events only.
    async fn pass(
        &self,
        mut segment: StreamSegment,
        progress: &mut StreamProgress,
        sender: &mpsc::Sender<Result<Frame<Bytes>, BodyError>>,
    ) -> SegmentEnd {
        let mut meter = StreamMeter::default();
        let mut pending = BytesMut::new();
        let silence = self.context.settings.limits.answer_timeout;
        let every = self.context.settings.schedule.progress_every.as_millis() as u64;
        let mut due_ms = now_ms() + every * FIRST_PROGRESS;
        let may_pause = self.resumes && progress.pauses < MAX_PAUSES;
        let before = progress.cost;
        let end = loop {
            let frame = tokio::select! {
                frame = next_frame(&mut segment.body, silence) => frame,
                Ok(()) = &mut segment.pause, if may_pause => break SegmentEnd::Paused,
                () = sender.closed() => break SegmentEnd::CallerGone,
            };
            let bytes = match frame {
                SegmentFrame::Data(bytes) => bytes,
                SegmentFrame::End if meter.is_done() => break SegmentEnd::Whole,
                SegmentFrame::End => {
                    let endpoint = segment.endpoint.clone();
                    break SegmentEnd::Lost(ResponseError::Truncated(endpoint));
                }
                SegmentFrame::Silent => {
                    let endpoint = segment.endpoint.clone();
                    break SegmentEnd::Lost(ResponseError::Silent(endpoint));
                }
                SegmentFrame::Broken(cause) => {
                    let endpoint = segment.endpoint.clone();
                    break SegmentEnd::Lost(ResponseError::Lost(endpoint, cause));
                }
            };
            pending.extend_from_slice(&bytes);
            let Some(events) = take_events(&mut pending) else {
                continue;
            };
            meter.feed(&events);
            segment.running.cost = meter.cost(&segment.rule);
            if sender.send(Ok(Frame::data(events))).await.is_err() {
                break SegmentEnd::CallerGone;
            }
            if now_ms() >= due_ms {
                due_ms = now_ms() + every;
                let RunningGrant { grant, cost, .. } = segment.running;
                segment.running.dispatch.progress(grant, cost);
            }
        };
        if matches!(end, SegmentEnd::Lost(_)) {
            segment.running.sign = SlotSign::Lost;
        }
        progress.events += meter.events();
        progress.cost = before + meter.cost(&segment.rule);
        end
    }
}

/// What came next of a segment.
enum SegmentFrame {
    Data(Bytes),
    End,
    Silent,
    Broken(hyper::Error),
}

async fn next_frame(body: &mut Incoming, silence: Duration) -> SegmentFrame {
    loop {
        match timeout(silence, body.frame()).await {
            Err(_) => return SegmentFrame::Silent,
            Ok(None) => return SegmentFrame::End,
            Ok(Some(Err(cause))) => return SegmentFrame::Broken(cause),
            Ok(Some(Ok(frame))) => {
                // Trailers say nothing that a caller of this API needs.
                if let Ok(bytes) = frame.into_data() {
                    return SegmentFrame::Data(bytes);
                }
            }
        }
    }
}

/// Takes every whole event; the beginning of the next one stays.
fn take_events(pending: &mut BytesMut) -> Option<Bytes> {
    let end_of = |mark: &[u8]| memchr::memmem::rfind(pending, mark).map(|at| at + mark.len());
    let end = end_of(b"\n\n").max(end_of(b"\n\r\n"))?;
    Some(pending.split_to(end).freeze())
}

/// Asks for the rest of an answer: the body of the request with `resume_from`.
pub(super) fn resumed_body(body: &Bytes, events: u64) -> Bytes {
    let mut value: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    value["resume_from"] = events.into();
    Bytes::from(value.to_string())
}

/// Tells whether a bound attempt's pool can continue streams.
pub(super) const fn can_resume(call: &CallerRequest, attempt: &BoundAttempt) -> bool {
    call.repeatable && attempt.resumes
}

#[cfg(test)]
mod tests;
