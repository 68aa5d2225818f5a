//! The requests of a caller that waits for each answer and checks it against the published
//! protocol.

use crate::standin::STARTED_HEADER;
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use rand::RngExt;
use rand::rngs::StdRng;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// The first part of all prompts, under which nothing crashes.
pub(super) const SHARED_PART: &str = "f1";
/// Deadline that a caller sends with a request, in milliseconds.
pub(super) const BUDGET_MS: u64 = 3_000;
/// Deadlines of requests of callers that keep their connections, in milliseconds; at most the
/// timeout of the routes.
const KEPT_BUDGET_MS: Range<u64> = 300..6_000;
const ROUTE_TIMEOUT_MS: u64 = 4_000;
/// Time after which a caller considers the answer lost.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(BUDGET_MS + 2_000);
/// Number of events in a stream.
pub(super) const EVENTS: u64 = 12;
/// Pause of a caller between requests.
const PAUSE: Duration = Duration::from_millis(25);
/// Number of requests that a caller makes after the faults are undone.
const FINAL_CALLS: usize = 3;

/// The route of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SoakRoute {
    Once,
    Again,
    Live,
    Draft,
}

impl SoakRoute {
    pub(super) const ALL: [Self; 4] = [Self::Once, Self::Again, Self::Live, Self::Draft];

    pub(super) const fn path(self) -> &'static str {
        match self {
            Self::Once => "/once/x",
            Self::Again => "/again/x",
            Self::Live => "/live/x",
            Self::Draft => "/draft/x",
        }
    }

    pub(super) const fn streams(self) -> bool {
        matches!(self, Self::Live | Self::Draft)
    }
}

/// How an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnswerEnd {
    /// The connection ended, or the caller gave up, in front of the answer.
    Missing,
    /// The connection ended within the answer.
    BrokenOff,
    /// The answer was complete.
    Complete,
}

/// An answer that announces that its endpoint leaves.
#[derive(Debug, Clone)]
pub(super) struct LeavingAnswer {
    /// The endpoint's proof, which contains its id.
    pub(super) proof: String,
    /// When the endpoint started, in Unix milliseconds.
    pub(super) started_ms: u64,
    /// When its caller received the head of the answer.
    pub(super) at: Instant,
}

/// One request and its result.
#[derive(Debug, Clone)]
pub(super) struct SoakCall {
    pub(super) id: String,
    pub(super) route: SoakRoute,
    /// The index of the box that received it.
    pub(super) box_index: usize,
    /// When it was sent.
    pub(super) started: Instant,
    /// Its deadline.
    pub(super) budget: Duration,
    /// How its answer ended.
    pub(super) end: AnswerEnd,
    /// How long that took.
    pub(super) took: Duration,
    /// The announcement in its answer that the endpoint leaves.
    pub(super) leaving: Option<LeavingAnswer>,
    /// Whether it was answered in full.
    pub(super) answered: bool,
    /// Whether it was refused as not run.
    pub(super) refused: bool,
    /// Whether it was sent after all faults were undone.
    pub(super) is_final: bool,
    /// What is wrong with its answer.
    pub(super) violations: Vec<String>,
}

/// An idle connection that can be reused.
struct KeptConnection {
    sender: SendRequest<Full<Bytes>>,
    box_index: usize,
}

/// Makes requests until `stop` is set, and [`FINAL_CALLS`] more.
///
/// A caller that `keeps_connections` uses each one for as long as the box does, and its requests
/// have different deadlines.
pub(super) async fn run_soak_caller(
    number: u64,
    mut rng: StdRng,
    gateways: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
    keeps_connections: bool,
) -> Vec<SoakCall> {
    let mut calls = Vec::new();
    let mut kept: Option<KeptConnection> = None;
    let mut final_calls = 0;
    while final_calls < FINAL_CALLS {
        let is_final = stop.load(Ordering::Acquire);
        final_calls += usize::from(is_final);
        let route = SoakRoute::ALL[rng.random_range(0..SoakRoute::ALL.len())];
        let id = format!("r{number}a{}", calls.len());
        let box_index = rng.random_range(0..gateways.len());
        // Half of the requests reuse the last connection, if it is still open.
        let reused = kept
            .take()
            .filter(|_| keeps_connections || rng.random_bool(0.5));
        let budget_ms = match keeps_connections {
            true => rng.random_range(KEPT_BUDGET_MS).min(ROUTE_TIMEOUT_MS),
            false => BUDGET_MS,
        };
        let box_index = reused.as_ref().map_or(box_index, |reused| reused.box_index);
        let mut call = SoakCall {
            id,
            route,
            box_index,
            started: Instant::now(),
            budget: Duration::from_millis(budget_ms),
            end: AnswerEnd::Missing,
            took: Duration::ZERO,
            leaving: None,
            answered: false,
            refused: false,
            is_final,
            violations: Vec::new(),
        };
        let sender = reused.map(|reused| reused.sender);
        let sender = tokio::time::timeout(
            ANSWER_TIMEOUT,
            send_call(&mut call, sender, gateways[box_index]),
        )
        .await;
        let sender = sender.ok().flatten();
        call.took = call.started.elapsed();
        kept = sender.map(|sender| KeptConnection { sender, box_index });
        calls.push(call);
        tokio::time::sleep(PAUSE).await;
    }
    calls
}

/// Sends one request; returns the connection if it can be reused.
async fn send_call(
    call: &mut SoakCall,
    kept: Option<SendRequest<Full<Bytes>>>,
    gateway: SocketAddr,
) -> Option<SendRequest<Full<Bytes>>> {
    let mut sender = match kept {
        Some(sender) if !sender.is_closed() => sender,
        _ => {
            let stream = TcpStream::connect(gateway).await.ok()?;
            let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
            tokio::spawn(connection);
            sender
        }
    };
    // A connection that closes without an answer does not violate the protocol.
    let response = sender.send_request(request(call)).await.ok()?;
    check_answer(call, response).await;
    Some(sender)
}

fn request(call: &SoakCall) -> Request<Full<Bytes>> {
    let mut builder = Request::builder()
        .method("POST")
        .uri(call.route.path())
        .header("host", "h.example")
        .header("authorization", "Token k1")
        .header("x-request-id", &call.id)
        .header("x-deadline-ms", call.budget.as_millis() as u64);
    if call.route.streams() {
        builder = builder
            .header("x-model", "m")
            .header("x-token-usage", format!("500,{EVENTS}"))
            .header(
                "x-prefix-hash",
                format!("{SHARED_PART}:400,{:x}:100", call.id.len()),
            );
    }
    let body = Full::new(Bytes::from_static(b"hello"));
    builder.body(body).expect("a request made of constants")
}

/// Records the result of an answer and its violations of the protocol.
async fn check_answer(call: &mut SoakCall, response: Response<Incoming>) {
    let status = response.status();
    let header = |name: &str| response.headers().get(name).cloned();
    let has_request_id =
        header("x-request-id").is_some_and(|id| id.as_bytes() == call.id.as_bytes());
    let has_proof = header("x-upstream-signature").is_some();
    let has_retry_after = header("retry-after").is_some();
    call.leaving = leaving_answer(response.headers());
    call.end = AnswerEnd::BrokenOff;
    let (body, is_complete) = read_body(response).await;
    if is_complete {
        call.end = AnswerEnd::Complete;
    }
    let expected: Vec<u8> = match call.route.streams() {
        true => (1..=EVENTS)
            .flat_map(|id| format!("id: {id}\ndata: token {id}\n\n").into_bytes())
            .collect(),
        false => b"echo hello".to_vec(),
    };
    match status {
        StatusCode::OK => {
            call.answered = is_complete && body[..] == expected[..];
            let problems = [
                (!has_request_id, "the answer has another request id"),
                (!has_proof, "the success has no proof"),
                (
                    !expected.starts_with(&body),
                    "the body is not a prefix of the expected one",
                ),
                (
                    is_complete && body[..] != expected[..],
                    "the body is truncated without an error",
                ),
            ];
            let problems = problems.iter().filter(|(found, _)| *found);
            call.violations
                .extend(problems.map(|(_, what)| (*what).to_owned()));
        }
        StatusCode::TOO_MANY_REQUESTS
        | StatusCode::SERVICE_UNAVAILABLE
        | StatusCode::REQUEST_TIMEOUT => {
            call.refused = true;
            if !has_retry_after {
                call.violations.push(format!("{status} has no Retry-After"));
            }
        }
        StatusCode::BAD_GATEWAY
        | StatusCode::GATEWAY_TIMEOUT
        | StatusCode::INTERNAL_SERVER_ERROR => {}
        _ => call.violations.push(format!("unexpected status {status}")),
    }
}

/// Returns the announcement that the endpoint leaves, if the headers contain one.
fn leaving_answer(headers: &HeaderMap) -> Option<LeavingAnswer> {
    headers.get("server-leaving")?;
    let text = |name: &str| headers.get(name)?.to_str().ok();
    Some(LeavingAnswer {
        proof: text("x-upstream-signature")?.to_owned(),
        started_ms: text(STARTED_HEADER)?.parse().ok()?,
        at: Instant::now(),
    })
}

/// Reads a body up to its end or an error; returns whether it ended without an error.
async fn read_body(response: Response<Incoming>) -> (Bytes, bool) {
    let mut body = response.into_body();
    let mut read = BytesMut::new();
    loop {
        match body.frame().await {
            None => return (read.freeze(), true),
            Some(Err(_)) => return (read.freeze(), false),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    read.extend_from_slice(&data);
                }
            }
        }
    }
}
