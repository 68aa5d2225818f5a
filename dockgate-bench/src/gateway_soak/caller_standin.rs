//! A stand-in of a caller on the users' platform: it makes one request after another, and checks each
//! answer against the published protocol.

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
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// How long a caller waits for an answer, in milliseconds.
const BUDGET_MS: u64 = 3_000;
/// How much longer it waits in truth, before it takes the answer for lost.
const PATIENCE: Duration = Duration::from_millis(BUDGET_MS + 2_000);
/// How many events a stream has.
const EVENTS: u64 = 12;
/// How long a caller rests between requests.
const REST: Duration = Duration::from_millis(25);
/// A caller's last requests, made of a fleet that is whole again.
const LAST: usize = 3;

/// The route of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SoakRoute {
    Once,
    Again,
    Live,
    Draft,
}

impl SoakRoute {
    const ALL: [Self; 4] = [Self::Once, Self::Again, Self::Live, Self::Draft];

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

/// An answer that says that its endpoint leaves.
#[derive(Debug, Clone)]
pub(super) struct LeavingAnswer {
    /// The endpoint's proof, which names its id.
    pub(super) proof: String,
    /// The start of the lifetime that leaves, in Unix milliseconds.
    pub(super) started_ms: u64,
    /// When its caller had the head of the answer.
    pub(super) at: Instant,
}

/// One request, and what its caller saw.
#[derive(Debug, Clone)]
pub(super) struct SoakCall {
    pub(super) id: String,
    pub(super) route: SoakRoute,
    /// The box that it was made at.
    pub(super) box_at: usize,
    /// When it was made.
    pub(super) begun: Instant,
    /// Its answer said that an endpoint leaves.
    pub(super) leaving: Option<LeavingAnswer>,
    /// It got its whole answer.
    pub(super) answered: bool,
    /// It was told that it has not run.
    pub(super) refused: bool,
    /// It was one of its caller's last.
    pub(super) is_last: bool,
    /// What was wrong with its answer.
    pub(super) broken: Vec<String>,
}

/// A connection on which the last request was answered.
struct KeptConnection {
    sender: SendRequest<Full<Bytes>>,
    box_at: usize,
}

/// Makes requests until it is told that all is over, and a few more.
pub(super) async fn keep_calling(
    number: u64,
    mut draw: StdRng,
    gateways: Vec<SocketAddr>,
    over: Arc<AtomicBool>,
) -> Vec<SoakCall> {
    let mut calls = Vec::new();
    let mut kept: Option<KeptConnection> = None;
    let mut last = 0;
    while last < LAST {
        let is_last = over.load(Ordering::Acquire);
        last += usize::from(is_last);
        let route = SoakRoute::ALL[draw.random_range(0..SoakRoute::ALL.len())];
        let id = format!("r{number}a{}", calls.len());
        let box_at = draw.random_range(0..gateways.len());
        // Half of the requests go over a connection that was kept, for as long as it lasts.
        let used = kept.take().filter(|_| draw.random_bool(0.5));
        let box_at = used.as_ref().map_or(box_at, |used| used.box_at);
        let mut call = SoakCall {
            id,
            route,
            box_at,
            begun: Instant::now(),
            leaving: None,
            answered: false,
            refused: false,
            is_last,
            broken: Vec::new(),
        };
        let sender = used.map(|used| used.sender);
        let sender =
            tokio::time::timeout(PATIENCE, make(&mut call, sender, gateways[box_at])).await;
        let sender = sender.ok().flatten();
        kept = sender.map(|sender| KeptConnection { sender, box_at });
        calls.push(call);
        tokio::time::sleep(REST).await;
    }
    calls
}

/// Makes one request; returns the connection where it can be used again.
async fn make(
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
    // A connection that ends without an answer says nothing of the request.
    let response = sender.send_request(request(call)).await.ok()?;
    check(call, response).await;
    Some(sender)
}

fn request(call: &SoakCall) -> Request<Full<Bytes>> {
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
    let body = Full::new(Bytes::from_static(b"hello"));
    builder.body(body).expect("a request made of constants")
}

/// Notes what an answer says, and what is wrong with it.
async fn check(call: &mut SoakCall, response: Response<Incoming>) {
    let status = response.status();
    let header = |name: &str| response.headers().get(name).cloned();
    let named = header("x-request-id").is_some_and(|id| id.as_bytes() == call.id.as_bytes());
    let proven = header("x-upstream-signature").is_some();
    let returns = header("retry-after").is_some();
    call.leaving = leaving(response.headers());
    let (read, whole) = read(response).await;
    let expected: Vec<u8> = match call.route.streams() {
        true => (1..=EVENTS)
            .flat_map(|id| format!("id: {id}\ndata: token {id}\n\n").into_bytes())
            .collect(),
        false => b"echo hello".to_vec(),
    };
    match status {
        StatusCode::OK => {
            call.answered = whole && read[..] == expected[..];
            let problems = [
                (!named, "an answer with another id"),
                (!proven, "a success without proof"),
                (
                    !expected.starts_with(&read),
                    "events are missing, doubled or mixed",
                ),
                (
                    whole && read[..] != expected[..],
                    "cut short, and looks whole",
                ),
            ];
            let problems = problems.iter().filter(|(found, _)| *found);
            call.broken
                .extend(problems.map(|(_, what)| (*what).to_owned()));
        }
        StatusCode::TOO_MANY_REQUESTS
        | StatusCode::SERVICE_UNAVAILABLE
        | StatusCode::REQUEST_TIMEOUT => {
            call.refused = true;
            if !returns {
                call.broken
                    .push(format!("{status} does not say when to come back"));
            }
        }
        StatusCode::BAD_GATEWAY
        | StatusCode::GATEWAY_TIMEOUT
        | StatusCode::INTERNAL_SERVER_ERROR => {}
        _ => call.broken.push(format!("answered with {status}")),
    }
}

/// Reads from the head of an answer that its endpoint leaves.
fn leaving(headers: &HeaderMap) -> Option<LeavingAnswer> {
    headers.get("server-leaving")?;
    let text = |name: &str| headers.get(name)?.to_str().ok();
    Some(LeavingAnswer {
        proof: text("x-upstream-signature")?.to_owned(),
        started_ms: text(STARTED_HEADER)?.parse().ok()?,
        at: Instant::now(),
    })
}

/// Reads a body as far as it comes; tells whether it ended as one that is whole.
async fn read(response: Response<Incoming>) -> (Bytes, bool) {
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
