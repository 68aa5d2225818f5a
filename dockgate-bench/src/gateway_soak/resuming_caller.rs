//! Callers that take up streams which broke off, or which they left, at another box.

use super::soak_call::{BUDGET_MS, EVENTS};
use crate::standin::{ResumedStream, StreamShape};
use rand::RngExt;
use rand::rngs::StdRng;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Number of such callers.
pub(super) const RESUMING_CALLERS: u64 = 10;
/// Number of requests with which a caller tries to receive a whole stream.
const MAX_TRIES: u64 = 4;
/// Time after which a caller considers an answer lost.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(BUDGET_MS);
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(60);
/// Number of streams that a caller requests after the faults are undone.
const FINAL_STREAMS: usize = 2;

/// The streams that they request.
const SHAPE: StreamShape = StreamShape {
    events: EVENTS,
    budget_ms: BUDGET_MS,
};

/// Requests streams and takes them up until `stop` is set, and [`FINAL_STREAMS`] more.
pub(super) async fn run_resuming_caller(
    number: u64,
    mut rng: StdRng,
    gateways: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
) -> Vec<ResumedStream> {
    let mut streams = Vec::new();
    let mut final_streams = 0;
    while final_streams < FINAL_STREAMS {
        final_streams += usize::from(stop.load(Ordering::Acquire));
        let mut stream = ResumedStream::new(SHAPE, rng.random());
        let started = Instant::now();
        let mut attempt = 0;
        while attempt < MAX_TRIES && !stream.is_whole() && started.elapsed() < ANSWER_TIMEOUT {
            let id = format!("s{number}n{}t{attempt}", streams.len());
            let gateway = gateways[rng.random_range(0..gateways.len())];
            let is_last = attempt + 1 == MAX_TRIES;
            let leave_after = match is_last || rng.random_bool(0.5) {
                true => EVENTS,
                false => rng.random_range(1..EVENTS),
            };
            let attempted = stream.attempt(id, gateway, leave_after);
            // An answer that ends early is taken up with the next request.
            let _ = tokio::time::timeout(ANSWER_TIMEOUT, attempted).await;
            attempt += 1;
            tokio::time::sleep(PAUSE).await;
        }
        streams.push(stream);
    }
    streams
}
