//! Callers that keep their connections as long as a box does, and check that each request they sent
//! completely is answered or refused.

use super::soak_call::{BUDGET_MS, EVENTS, SoakRoute};
use bytes::Bytes;
use futures::stream;
use http::{Request, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use rand::RngExt;
use rand::rngs::StdRng;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpSocket;

/// Number of such callers.
pub(super) const PERSISTENT_CALLERS: u64 = 40;
/// Time after which a caller considers an answer lost.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(BUDGET_MS + 3_000);
/// Time after the last byte of a request within which a box may close the connection unread.
const UNREAD_TIME: Duration = Duration::from_millis(200);
/// Largest size of a piece of a body.
const MAX_PIECE_BYTES: usize = 40_000;
/// Size of some bodies, and of their answers, which fit into no socket buffer.
const LARGE_BODY_BYTES: usize = 7_000_000;
/// Receive buffer of a caller.
const READ_BUFFER_BYTES: u32 = 64 << 10;
/// Bytes that a caller reads between two pauses.
const READ_BYTES: usize = 128 << 10;
/// Pause of a caller that reads a large answer.
const READ_PAUSE: Duration = Duration::from_millis(50);
/// Largest number of pieces of a body.
const MAX_PIECES: usize = 5;
/// Pause of a caller between two requests, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 0..120;
/// Number of requests that a caller makes after the faults are undone.
const FINAL_CALLS: usize = 3;

type CallBody = UnsyncBoxBody<Bytes, Infallible>;

/// What a caller got for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallResult {
    /// A complete answer or refusal.
    Answered(StatusCode),
    /// The connection ended before the answer was complete.
    Cut,
    /// Nothing within the time that the caller waits.
    Silent,
    /// No connection was opened.
    Unsent,
}

/// A request on a kept connection.
#[derive(Debug, Clone)]
pub(super) struct PersistentCall {
    pub(super) id: String,
    pub(super) route: SoakRoute,
    box_index: usize,
    /// When the last byte of the body was sent, if it was.
    sent: Option<Instant>,
    ended: Instant,
    pub(super) result: CallResult,
    pub(super) is_final: bool,
}

impl PersistentCall {
    /// Returns what is wrong with its result, if its request was sent completely and endpoints ran
    /// it `runs` times.
    pub(super) fn violation(&self, runs: usize, started: Instant) -> Option<String> {
        let waited = self.ended - self.sent?;
        let is_read = runs > 0 || waited > UNREAD_TIME;
        match self.result {
            CallResult::Cut | CallResult::Silent if is_read => Some(format!(
                "{}: {:?} at box {} {waited:?} after it was sent, at {:?}, ran {runs} times ({:?})",
                self.id,
                self.result,
                self.box_index,
                self.ended - started,
                self.route,
            )),
            _ => None,
        }
    }

    /// Returns whether it was answered in full.
    pub(super) fn is_answered(&self) -> bool {
        self.result == CallResult::Answered(StatusCode::OK)
    }

    /// Returns whether it was refused as not run.
    pub(super) const fn is_refused(&self) -> bool {
        matches!(
            self.result,
            CallResult::Answered(
                StatusCode::SERVICE_UNAVAILABLE
                    | StatusCode::TOO_MANY_REQUESTS
                    | StatusCode::REQUEST_TIMEOUT
            )
        )
    }
}

/// The time at which the last byte of a body was handed to the connection.
type SentTime = Arc<Mutex<Option<Instant>>>;

/// Makes requests until `stop` is set, and [`FINAL_CALLS`] more.
pub(super) async fn run_persistent_caller(
    number: u64,
    mut rng: StdRng,
    gateways: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
) -> Vec<PersistentCall> {
    let mut calls = Vec::new();
    let mut kept: Option<(SendRequest<CallBody>, usize)> = None;
    let mut final_calls = 0;
    while final_calls < FINAL_CALLS {
        let is_final = stop.load(Ordering::Acquire);
        final_calls += usize::from(is_final);
        let next_box = rng.random_range(0..gateways.len());
        let open = kept.take().filter(|(sender, _)| !sender.is_closed());
        let (sender, box_index) = match open {
            Some((sender, box_index)) => (Some(sender), box_index),
            None => (connect(gateways[next_box]).await, next_box),
        };
        let route = SoakRoute::ALL[rng.random_range(0..SoakRoute::ALL.len())];
        let sent = SentTime::default();
        let mut call = PersistentCall {
            id: format!("p{number}a{}", calls.len()),
            route,
            box_index,
            sent: None,
            ended: Instant::now(),
            result: CallResult::Unsent,
            is_final,
        };
        if let Some(sender) = sender {
            let request = request(&call, body(&mut rng, sent.clone()));
            let answer = tokio::time::timeout(ANSWER_TIMEOUT, send(sender, request)).await;
            let (result, sender) = answer.unwrap_or((CallResult::Silent, None));
            call.result = result;
            kept = sender.map(|sender| (sender, box_index));
        }
        call.ended = Instant::now();
        call.sent = *sent.lock().unwrap_or_else(PoisonError::into_inner);
        calls.push(call);
        let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
        tokio::time::sleep(pause).await;
    }
    calls
}

async fn connect(gateway: SocketAddr) -> Option<SendRequest<CallBody>> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(READ_BUFFER_BYTES).ok()?;
    let stream = socket.connect(gateway).await.ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

/// Returns a body that is sent in pieces with pauses.
fn body(rng: &mut StdRng, sent: SentTime) -> CallBody {
    let pieces = rng.random_range(1..=MAX_PIECES);
    let size = match rng.random_range(0..40) {
        0 => LARGE_BODY_BYTES / pieces,
        1..20 => rng.random_range(1..200),
        _ => rng.random_range(1..MAX_PIECE_BYTES),
    };
    let pause = Duration::from_millis(rng.random_range(0..40));
    let frames = stream::unfold((pieces, sent), move |(left, sent)| async move {
        if left == 0 {
            return None;
        }
        tokio::time::sleep(pause).await;
        if left == 1 {
            *sent.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
        }
        let piece = Frame::data(Bytes::from(vec![b'x'; size]));
        Some((Ok(piece), (left - 1, sent)))
    });
    StreamBody::new(frames).boxed_unsync()
}

fn request(call: &PersistentCall, body: CallBody) -> Request<CallBody> {
    let mut builder = Request::builder()
        .method("POST")
        .uri(call.route.path())
        .header("host", "h.example")
        .header("authorization", "Token k1")
        .header("x-request-id", &call.id)
        .header("x-deadline-ms", BUDGET_MS);
    if call.route.streams() {
        builder = builder
            .header("x-model", "m")
            .header("x-token-usage", format!("500,{EVENTS}"))
            .header("x-prefix-hash", format!("{:x}:500", call.id.len()));
    }
    builder.body(body).expect("a request made of constants")
}

/// Sends a request and reads the answer; returns the connection if the box keeps it.
async fn send(
    mut sender: SendRequest<CallBody>,
    request: Request<CallBody>,
) -> (CallResult, Option<SendRequest<CallBody>>) {
    if sender.ready().await.is_err() {
        return (CallResult::Unsent, None);
    }
    let Ok(response) = sender.send_request(request).await else {
        return (CallResult::Cut, None);
    };
    let status = response.status();
    let closes = response.headers().contains_key(header::CONNECTION);
    match read_slowly(response.into_body()).await {
        Ok(()) => (
            CallResult::Answered(status),
            Some(sender).filter(|_| !closes),
        ),
        Err(_) => (CallResult::Cut, None),
    }
}

/// Reads an answer, with pauses if it is large.
async fn read_slowly(mut body: Incoming) -> Result<(), hyper::Error> {
    let mut unpaused = 0;
    while let Some(frame) = body.frame().await {
        unpaused += frame?.data_ref().map_or(0, Bytes::len);
        if unpaused >= READ_BYTES {
            unpaused = 0;
            tokio::time::sleep(READ_PAUSE).await;
        }
    }
    Ok(())
}
