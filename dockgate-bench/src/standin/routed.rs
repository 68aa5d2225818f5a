//! A stand-in for a routed endpoint that speaks the published protocol, records the requests that
//! it runs, and can be made to fail.

use super::http::{AbortedConnection, StandInBody, answer, serve};
use crate::error::BenchError;
use bytes::Bytes;
use futures::stream;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio_util::sync::CancellationToken;

/// How an endpoint handles requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EndpointBehavior {
    /// Answers correctly.
    #[default]
    Sound,
    /// Refuses the request without running it, as a full endpoint does.
    Full,
    /// Runs the request and loses the answer.
    Loses,
    /// Runs the request and answers with another request id.
    Foreign,
    /// Runs the request and answers without a proof.
    NoProof,
    /// Runs the request and answers with a content encoding.
    Encoded,
    /// Runs the request and answers with an error.
    Fails,
    /// Accepts the request and never answers.
    Silent,
    /// Cuts streams within the event after this many events.
    CutsAfter(u64),
}

/// A request as an endpoint received it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// The request id.
    pub id: String,
    /// The method and target.
    pub target: String,
    /// The body.
    pub body: Bytes,
    /// All headers, as text.
    pub headers: BTreeMap<String, String>,
    /// When it was received.
    pub at: Instant,
}

impl ReceivedRequest {
    /// Returns the ids of the shared parts of its prompt: all but the last one.
    pub fn shared_parts(&self) -> impl Iterator<Item = &str> {
        let parts = self.headers.get("x-prefix-hash");
        let shared = parts.and_then(|parts| Some(parts.rsplit_once(',')?.0));
        let shared = shared.into_iter().flat_map(|shared| shared.split(','));
        shared.filter_map(|part| Some(part.split_once(':')?.0))
    }
}

/// A request that an endpoint rejected with a backoff.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RejectedRequest {
    /// The request.
    pub request: ReceivedRequest,
    /// The backoff that it asked for.
    pub backoff: Duration,
}

/// The end of a run, answered or aborted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunEnd {
    /// The request id.
    pub id: String,
    /// When it ended.
    pub at: Instant,
}

/// A crash under a part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartCrash {
    /// The part, as in the header of the request.
    pub part: String,
    /// When the endpoint crashed.
    pub at: Instant,
}

#[derive(Default)]
struct RoutedState {
    behavior: Mutex<EndpointBehavior>,
    received: Mutex<Vec<ReceivedRequest>>,
    ends: Mutex<Vec<RunEnd>>,
    running: Mutex<i64>,
    processing_time: Mutex<Duration>,
    /// Until when it sends nothing, if it fell silent.
    silent_until: Mutex<Option<Instant>>,
    is_leaving: Mutex<bool>,
    /// The version that the data of events name, if they name one.
    event_version: Mutex<Option<String>>,
    backoff: Mutex<Option<Duration>>,
    rejected: Mutex<Vec<RejectedRequest>>,
    crash_bodies: Mutex<Vec<Bytes>>,
    crash_parts: Mutex<Vec<String>>,
    part_crash: Mutex<Option<PartCrash>>,
}

impl RoutedState {
    /// Returns the first shared part of a prompt under which the endpoint crashes.
    fn crash_part_of(&self, request: &ReceivedRequest) -> Option<String> {
        let crash_parts = locked(&self.crash_parts);
        let mut shared = request.shared_parts();
        shared
            .find(|part| crash_parts.iter().any(|crash| crash == part))
            .map(str::to_owned)
    }
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Waits until a silence of the endpoint is over.
async fn wait_out_silence(state: &RoutedState) {
    loop {
        let silent_until = *locked(&state.silent_until);
        match silent_until {
            Some(until) if until > Instant::now() => tokio::time::sleep_until(until.into()).await,
            _ => return,
        }
    }
}

/// The header with the start time of the endpoint that answers, in Unix milliseconds.
pub const STARTED_HEADER: &str = "x-born";

/// The software version of an endpoint, unless it is set.
const INITIAL_VERSION: &str = "v1";

/// The id and start time of an endpoint.
#[derive(Debug, Clone)]
struct EndpointIdentity {
    id: String,
    started_ms: u64,
}

/// A routed endpoint on a loopback port.
pub struct RoutedStandIn {
    /// Its id.
    pub id: String,
    /// When it started, in Unix milliseconds.
    pub started_ms: u64,
    /// The service that it belongs to.
    pub service: String,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The version of its software, as its record reports it.
    pub version: String,
    state: Arc<RoutedState>,
    stop: CancellationToken,
}

impl RoutedStandIn {
    /// Starts an endpoint that answers correctly.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn start(id: &str, service: &str) -> Result<Self, BenchError> {
        let state = Arc::new(RoutedState::default());
        let stop = CancellationToken::new();
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let started_ms = since_epoch.unwrap_or_default().as_millis() as u64;
        let identity = EndpointIdentity {
            id: id.to_owned(),
            started_ms,
        };
        let (shared, kill) = (state.clone(), stop.clone());
        let handle = move |request| handle(shared.clone(), identity.clone(), kill.clone(), request);
        let address = serve(handle, stop.clone()).await?;
        Ok(Self {
            id: id.to_owned(),
            started_ms,
            service: service.to_owned(),
            address,
            version: INITIAL_VERSION.to_owned(),
            state,
            stop,
        })
    }

    /// Returns the key and value of its store record.
    pub fn record(&self, domain: &str, state: &str) -> (String, String) {
        let value = json!({
            "service": self.service, "address": self.address, "zone": domain, "version": self.version,
            "capacity": 8, "state": state, "warmup_left_ms": 0, "sequence": 1, "born": self.started_ms,
        });
        (
            format!("{}{}", dockgate_platform::ENDPOINT_KEY_PREFIX, self.id),
            value.to_string(),
        )
    }

    /// Sets how it handles requests from now on.
    pub fn set_behavior(&self, behavior: EndpointBehavior) {
        *locked(&self.state.behavior) = behavior;
    }

    /// Sets the time that a request, or each event of a stream, takes.
    pub fn set_processing_time(&self, processing_time: Duration) {
        *locked(&self.state.processing_time) = processing_time;
    }

    /// Lets it send nothing for a time from now on; it goes on with all runs afterwards.
    pub fn fall_silent(&self, time: Duration) {
        *locked(&self.state.silent_until) = Some(Instant::now() + time);
    }

    /// Sets whether its answers announce that it leaves.
    pub fn set_leaving(&self, is_leaving: bool) {
        *locked(&self.state.is_leaving) = is_leaving;
    }

    /// Makes the data of its events end with its software version.
    pub fn name_version_in_events(&self) {
        *locked(&self.state.event_version) = Some(self.version.clone());
    }

    /// Rejects all requests with a backoff from now on, or accepts them again.
    pub fn set_backoff(&self, backoff: Option<Duration>) {
        *locked(&self.state.backoff) = backoff;
    }

    /// Makes it crash when it starts to run a request with this body.
    pub fn add_crash_body(&self, body: &Bytes) {
        let mut crash_bodies = locked(&self.state.crash_bodies);
        if !crash_bodies.contains(body) {
            crash_bodies.push(body.clone());
        }
    }

    /// Makes it crash when it is about to write the answer of a prompt with this shared part.
    pub fn add_crash_part(&self, part: &str) {
        let mut crash_parts = locked(&self.state.crash_parts);
        if !crash_parts.iter().any(|known| known == part) {
            crash_parts.push(part.to_owned());
        }
    }

    /// Returns its crash under a part of a prompt, if it crashed.
    pub fn part_crash(&self) -> Option<PartCrash> {
        locked(&self.state.part_crash).clone()
    }

    /// Stops it from crashing on any request.
    pub fn clear_crash_bodies(&self) {
        locked(&self.state.crash_bodies).clear();
        locked(&self.state.crash_parts).clear();
    }

    /// Returns whether it was killed or has crashed.
    pub fn has_ended(&self) -> bool {
        self.stop.is_cancelled()
    }

    /// Returns the requests that it ran.
    pub fn ran(&self) -> Vec<ReceivedRequest> {
        locked(&self.state.received).clone()
    }

    /// Returns the requests that it rejected with a backoff.
    pub fn rejected(&self) -> Vec<RejectedRequest> {
        locked(&self.state.rejected).clone()
    }

    /// Returns the runs that have ended.
    pub fn ended(&self) -> Vec<RunEnd> {
        locked(&self.state.ends).clone()
    }

    /// Returns the number of requests that it is running.
    pub fn running(&self) -> i64 {
        *locked(&self.state.running)
    }

    /// Stops listening and cuts all connections.
    pub fn kill(&self) {
        self.stop.cancel();
    }
}

/// A run in progress; its end is recorded on drop.
struct RoutedRun {
    state: Arc<RoutedState>,
    id: String,
}

impl RoutedRun {
    fn new(state: Arc<RoutedState>, request: ReceivedRequest) -> Self {
        let id = request.id.clone();
        locked(&state.received).push(request);
        *locked(&state.running) += 1;
        Self { state, id }
    }
}

impl Drop for RoutedRun {
    fn drop(&mut self) {
        let id = std::mem::take(&mut self.id);
        let at = Instant::now();
        locked(&self.state.ends).push(RunEnd { id, at });
        *locked(&self.state.running) -= 1;
    }
}

fn not_run(status: StatusCode) -> Response<StandInBody> {
    let mut response = answer(status, "");
    response
        .headers_mut()
        .insert("x-not-executed", HeaderValue::from_static("1"));
    response
}

/// Returns an answer that rejects a request with a backoff.
fn reject_with_backoff(
    id: &str,
    backoff: Duration,
) -> Result<Response<StandInBody>, AbortedConnection> {
    let mut response = not_run(StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    let seconds = backoff.as_secs_f64().to_string();
    let seconds = HeaderValue::from_str(&seconds).map_err(|_| AbortedConnection)?;
    headers.insert(header::RETRY_AFTER, seconds);
    let id = HeaderValue::from_str(id).map_err(|_| AbortedConnection)?;
    headers.insert("x-request-id", id);
    Ok(response)
}

async fn handle(
    state: Arc<RoutedState>,
    identity: EndpointIdentity,
    stop: CancellationToken,
    request: Request<Incoming>,
) -> Result<Response<StandInBody>, AbortedConnection> {
    let mut response = answer_of(&state, &identity.id, stop, request).await?;
    let is_own = response.status() != StatusCode::MISDIRECTED_REQUEST;
    let headers = response.headers_mut();
    headers.insert(STARTED_HEADER, HeaderValue::from(identity.started_ms));
    if is_own && *locked(&state.is_leaving) {
        headers.insert("server-leaving", HeaderValue::from_static("1"));
    }
    Ok(response)
}

async fn answer_of(
    state: &Arc<RoutedState>,
    own_id: &str,
    stop: CancellationToken,
    request: Request<Incoming>,
) -> Result<Response<StandInBody>, AbortedConnection> {
    let (parts, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|_| AbortedConnection)?
        .to_bytes();
    let headers = parts.headers.iter();
    let headers: BTreeMap<String, String> = headers
        .map(|(name, value)| {
            (
                name.to_string(),
                String::from_utf8_lossy(value.as_bytes()).into(),
            )
        })
        .collect();
    let behavior = *locked(&state.behavior);
    let id = headers.get("x-request-id").cloned().unwrap_or_default();
    match (headers.get("x-expected-instance"), behavior) {
        _ if id.is_empty() => return Ok(not_run(StatusCode::BAD_REQUEST)),
        (Some(expected), _) if expected != own_id => {
            return Ok(not_run(StatusCode::MISDIRECTED_REQUEST));
        }
        (_, EndpointBehavior::Full) => return Ok(not_run(StatusCode::SERVICE_UNAVAILABLE)),
        _ => {}
    }
    let last_event = headers
        .get("last-event-id")
        .and_then(|event| event.parse().ok());
    let events = headers
        .get("x-token-usage")
        .and_then(|usage| usage.split_once(',')?.1.parse().ok());
    let received = ReceivedRequest {
        id: id.clone(),
        target: format!("{} {}", parts.method, parts.uri),
        body: body.clone(),
        headers,
        at: Instant::now(),
    };
    let backoff = *locked(&state.backoff);
    if let Some(backoff) = backoff {
        let request = received;
        locked(&state.rejected).push(RejectedRequest { request, backoff });
        return reject_with_backoff(&id, backoff);
    }
    let crash_part = state.crash_part_of(&received);
    let run = RoutedRun::new(state.clone(), received);
    if locked(&state.crash_bodies).contains(&body) {
        stop.cancel();
        return Err(AbortedConnection);
    }
    let processing_time = *locked(&state.processing_time);
    if let Some(part) = crash_part {
        tokio::time::sleep(processing_time).await;
        let at = Instant::now();
        locked(&state.part_crash).get_or_insert(PartCrash { part, at });
        stop.cancel();
        return Err(AbortedConnection);
    }
    match behavior {
        EndpointBehavior::Loses => return Err(AbortedConnection),
        EndpointBehavior::Silent => std::future::pending().await,
        _ if events.is_none() => tokio::time::sleep(processing_time).await,
        _ => {}
    }
    if events.is_none() {
        wait_out_silence(state).await;
    }
    let body = match events {
        Some(events) => event_body(
            run,
            behavior,
            processing_time,
            last_event.unwrap_or(0),
            events,
        ),
        None => answer(StatusCode::OK, [b"echo ", &body[..]].concat()).into_body(),
    };
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    let answered_id = match behavior {
        EndpointBehavior::Foreign => "another",
        _ => &id,
    };
    headers.insert(
        "x-request-id",
        HeaderValue::from_str(answered_id).map_err(|_| AbortedConnection)?,
    );
    if behavior != EndpointBehavior::NoProof {
        let proof = HeaderValue::from_str(&format!("proof-of-{own_id}"));
        headers.insert(
            "x-upstream-signature",
            proof.map_err(|_| AbortedConnection)?,
        );
    }
    match behavior {
        EndpointBehavior::Encoded => {
            headers.insert(header::CONTENT_ENCODING, HeaderValue::from_static("gzip"));
        }
        EndpointBehavior::Fails => *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR,
        _ => {}
    }
    Ok(response)
}

/// Streams the events after `last` up to `events`, or cuts the stream within one of them.
fn event_body(
    run: RoutedRun,
    behavior: EndpointBehavior,
    processing_time: Duration,
    last: u64,
    events: u64,
) -> StandInBody {
    let cut = match behavior {
        EndpointBehavior::CutsAfter(count) => Some(last + count),
        _ => None,
    };
    let version = locked(&run.state.event_version).clone();
    let suffix = version.map_or_else(String::new, |version| format!(" at {version}"));
    let suffix: Arc<str> = suffix.into();
    let frames = stream::unfold((run, last), move |(run, last)| {
        let suffix = suffix.clone();
        async move {
            if last >= events {
                return None;
            }
            tokio::time::sleep(processing_time).await;
            wait_out_silence(&run.state).await;
            let next = last + 1;
            match cut {
                Some(cut) if last == cut + 1 => Some((Err(AbortedConnection), (run, events))),
                Some(cut) if last == cut => {
                    let half = Bytes::from(format!("id: {next}\nda"));
                    Some((Ok(Frame::data(half)), (run, next)))
                }
                _ => {
                    let event = Bytes::from(format!("id: {next}\ndata: token {next}{suffix}\n\n"));
                    Some((Ok(Frame::data(event)), (run, next)))
                }
            }
        }
    });
    StreamBody::new(frames).boxed()
}
