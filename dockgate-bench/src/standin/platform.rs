//! A stand-in for the platform: key-value service, leases, watches, and the list of boxes.

use super::http::{BrokenOff, StandInBody, answer, serve};
use crate::error::BenchError;
use bytes::Bytes;
use dockgate_platform::{BoxRecord, BoxState, LeaseGrant, LeaseRequest, routes};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// The largest value that is stored, in bytes.
const MOST_VALUE: usize = 1 << 20;

#[derive(Debug, Clone)]
struct KeyValue {
    bytes: Bytes,
    revision: u64,
    lease: Option<u64>,
}

#[derive(Debug, Default)]
struct KeyStore {
    keys: BTreeMap<String, KeyValue>,
    leases: HashMap<u64, Instant>,
    revision: u64,
    lease: u64,
}

impl KeyStore {
    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, until| *until > now);
        let leases = &self.leases;
        self.keys
            .retain(|_, value| value.lease.is_none_or(|lease| leases.contains_key(&lease)));
    }
}

/// A box as the platform lists it.
#[derive(Debug, Clone)]
pub struct BoxEntry {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Where its peer door is reached from each failure domain.
    pub peer_addresses: HashMap<String, SocketAddr>,
    /// What the platform thinks of it.
    pub state: BoxState,
}

/// Calls counted so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct PlatformCalls {
    /// Reads, a waiting watch as one.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
}

struct PlatformState {
    store: Mutex<KeyStore>,
    changed: watch::Sender<u64>,
    boxes: Mutex<Vec<BoxEntry>>,
    boxes_changed: watch::Sender<u64>,
    reads: AtomicU64,
    writes: AtomicU64,
    out: AtomicBool,
    loses_replies: AtomicBool,
    slow_ms: AtomicU64,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The platform's service on a loopback port.
pub struct PlatformStandIn {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<PlatformState>,
}

impl PlatformStandIn {
    /// Starts an empty service.
    ///
    /// # Errors
    ///
    /// Returns an error where no port is free.
    pub async fn start() -> Result<Self, BenchError> {
        let state = Arc::new(PlatformState {
            store: Mutex::default(),
            changed: watch::channel(0).0,
            boxes: Mutex::default(),
            boxes_changed: watch::channel(1).0,
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
            out: AtomicBool::new(false),
            loses_replies: AtomicBool::new(false),
            slow_ms: AtomicU64::new(0),
        });
        let handler = state.clone();
        let handle = move |request| handle(handler.clone(), request);
        let address = serve(handle, CancellationToken::new()).await?;
        Ok(Self { address, state })
    }

    /// Sets the list of boxes.
    pub fn set_boxes(&self, boxes: Vec<BoxEntry>) {
        *locked(&self.state.boxes) = boxes;
        self.state
            .boxes_changed
            .send_modify(|revision| *revision += 1);
    }

    /// Changes what the list says of one box.
    pub fn set_box_state(&self, name: &str, state: BoxState) {
        let mut boxes = locked(&self.state.boxes);
        for entry in boxes.iter_mut().filter(|entry| entry.name == name) {
            entry.state = state;
        }
        self.state
            .boxes_changed
            .send_modify(|revision| *revision += 1);
    }

    /// Begins or ends an outage: every call is cut off unanswered and has no effect.
    pub fn set_out(&self, out: bool) {
        self.state.out.store(out, Ordering::Release);
    }

    /// Begins or ends losing the replies of writes that have taken effect.
    pub fn set_loses_replies(&self, loses: bool) {
        self.state.loses_replies.store(loses, Ordering::Release);
    }

    /// Sets how much longer every call takes.
    pub fn set_slow(&self, slow: Duration) {
        let slow = slow.as_millis() as u64;
        self.state.slow_ms.store(slow, Ordering::Release);
    }

    /// Returns the calls counted so far.
    pub fn calls(&self) -> PlatformCalls {
        PlatformCalls {
            reads: self.state.reads.load(Ordering::Relaxed),
            writes: self.state.writes.load(Ordering::Relaxed),
        }
    }
}

async fn handle(
    state: Arc<PlatformState>,
    request: Request<Incoming>,
) -> Result<Response<StandInBody>, BrokenOff> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| BrokenOff)?.to_bytes();
    let slow = state.slow_ms.load(Ordering::Acquire);
    if slow > 0 {
        tokio::time::sleep(Duration::from_millis(slow)).await;
    }
    if state.out.load(Ordering::Acquire) {
        return Err(BrokenOff);
    }
    let path = parts.uri.path();
    let query = parts.uri.query().unwrap_or_default();
    match (&parts.method, path.strip_prefix(routes::KEYS)) {
        (&Method::GET, Some(key)) => {
            state.reads.fetch_add(1, Ordering::Relaxed);
            read(&state, key, &parts.headers).await
        }
        (&Method::PUT, Some(key)) => {
            state.writes.fetch_add(1, Ordering::Relaxed);
            reply(&state, write(&state, key, &parts.headers, body))
        }
        (&Method::GET, None) if path == routes::BOXES => {
            state.reads.fetch_add(1, Ordering::Relaxed);
            let domain = query.strip_prefix("domain=").unwrap_or_default();
            read_boxes(&state, domain, &parts.headers).await
        }
        (&Method::POST, None) if path == routes::LEASES => {
            state.writes.fetch_add(1, Ordering::Relaxed);
            reply(&state, grant_lease(&state, &body))
        }
        _ => Ok(answer(StatusCode::NOT_FOUND, "no such path")),
    }
}

/// Answers a write, unless its reply is to be lost.
fn reply(
    state: &PlatformState,
    response: Response<StandInBody>,
) -> Result<Response<StandInBody>, BrokenOff> {
    match state.loses_replies.load(Ordering::Acquire) {
        true => Err(BrokenOff),
        false => Ok(response),
    }
}

fn revision_of(headers: &HeaderMap, name: header::HeaderName) -> Option<u64> {
    let tag = headers.get(name)?.to_str().ok()?;
    tag.trim_matches('"').parse().ok()
}

async fn read(
    state: &PlatformState,
    key: &str,
    headers: &HeaderMap,
) -> Result<Response<StandInBody>, BrokenOff> {
    let since = revision_of(headers, header::IF_NONE_MATCH);
    let mut changed = state.changed.subscribe();
    let deadline = wait_until(headers);
    loop {
        changed.borrow_and_update();
        let value = {
            let mut store = locked(&state.store);
            store.expire();
            store.keys.get(key).cloned()
        };
        let revision = value.as_ref().map_or(0, |value| value.revision);
        let news = since.is_none_or(|since| since != revision);
        match value {
            Some(value) if news => {
                return Ok(with_tag(answer(StatusCode::OK, value.bytes), revision));
            }
            _ if news => return Ok(answer(StatusCode::NOT_FOUND, "no such key")),
            _ => {}
        }
        let waited = tokio::time::timeout_at(deadline, changed.changed()).await;
        if state.out.load(Ordering::Acquire) {
            return Err(BrokenOff);
        }
        if waited.is_err() {
            return Ok(answer(StatusCode::NOT_MODIFIED, ""));
        }
    }
}

/// Returns until when a watch waits.
fn wait_until(headers: &HeaderMap) -> tokio::time::Instant {
    let wait = headers.get(routes::WAIT_MS);
    let wait = wait.and_then(|wait| wait.to_str().ok()?.parse().ok());
    tokio::time::Instant::now() + Duration::from_millis(wait.unwrap_or(0))
}

async fn read_boxes(
    state: &PlatformState,
    domain: &str,
    headers: &HeaderMap,
) -> Result<Response<StandInBody>, BrokenOff> {
    let since = revision_of(headers, header::IF_NONE_MATCH);
    let mut changed = state.boxes_changed.subscribe();
    let deadline = wait_until(headers);
    loop {
        let revision = *changed.borrow_and_update();
        if since != Some(revision) {
            let list = list_boxes(state, domain);
            return Ok(with_tag(answer(StatusCode::OK, list), revision));
        }
        let waited = tokio::time::timeout_at(deadline, changed.changed()).await;
        if state.out.load(Ordering::Acquire) {
            return Err(BrokenOff);
        }
        if waited.is_err() {
            return Ok(answer(StatusCode::NOT_MODIFIED, ""));
        }
    }
}

fn with_tag(mut response: Response<StandInBody>, revision: u64) -> Response<StandInBody> {
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{revision}\"")) {
        response.headers_mut().insert(header::ETAG, tag);
    }
    response
}

fn write(
    state: &PlatformState,
    key: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> Response<StandInBody> {
    if body.len() > MOST_VALUE {
        return answer(StatusCode::PAYLOAD_TOO_LARGE, "the value is too large");
    }
    let mut store = locked(&state.store);
    store.expire();
    let known = store.keys.get(key).map(|value| value.revision);
    let absent = headers.contains_key(header::IF_NONE_MATCH);
    let expected = revision_of(headers, header::IF_MATCH);
    let conflict = (absent && known.is_some()) || (expected.is_some() && expected != known);
    if conflict {
        return answer(
            StatusCode::PRECONDITION_FAILED,
            "the condition does not hold",
        );
    }
    let lease = headers.get(routes::LEASE);
    let lease = lease.and_then(|lease| lease.to_str().ok()?.parse().ok());
    if lease.is_some_and(|lease| !store.leases.contains_key(&lease)) {
        return answer(StatusCode::PRECONDITION_FAILED, "the lease has lapsed");
    }
    store.revision += 1;
    let revision = store.revision;
    let value = KeyValue {
        bytes: body,
        revision,
        lease,
    };
    store.keys.insert(key.to_owned(), value);
    drop(store);
    state.changed.send_replace(revision);
    with_tag(answer(StatusCode::OK, ""), revision)
}

fn grant_lease(state: &PlatformState, body: &[u8]) -> Response<StandInBody> {
    let Ok(LeaseRequest { ttl_ms }) = serde_json::from_slice(body) else {
        return answer(StatusCode::BAD_REQUEST, "not a lease request");
    };
    let mut store = locked(&state.store);
    store.lease += 1;
    let id = store.lease;
    let until = Instant::now() + Duration::from_millis(ttl_ms);
    store.leases.insert(id, until);
    let grant = LeaseGrant { id, ttl_ms };
    answer(
        StatusCode::OK,
        serde_json::to_vec(&grant).unwrap_or_default(),
    )
}

fn list_boxes(state: &PlatformState, domain: &str) -> Vec<u8> {
    let boxes = locked(&state.boxes);
    let records: Vec<BoxRecord> = boxes
        .iter()
        .filter_map(|entry| {
            Some(BoxRecord {
                name: entry.name.clone(),
                domain: entry.domain.clone(),
                peer_address: *entry.peer_addresses.get(domain)?,
                state: entry.state,
            })
        })
        .collect();
    serde_json::to_vec(&records).unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;
    use dockgate_platform::{PlatformClient, PutCondition, PutOutcome};

    async fn pair() -> (PlatformStandIn, PlatformClient) {
        let standin = PlatformStandIn::start().await.unwrap();
        let client = PlatformClient::new(standin.address, Duration::from_secs(5));
        (standin, client)
    }

    #[tokio::test]
    async fn a_write_with_a_stale_condition_is_refused() {
        let (_standin, client) = pair().await;
        let put = async |text: &'static str, condition| {
            let value = Bytes::from_static(text.as_bytes());
            client.put("k", value, condition, None).await.unwrap()
        };
        let first = put("a", PutCondition::Absent).await;
        assert_eq!(first, PutOutcome::Done(1));
        assert_eq!(put("b", PutCondition::Absent).await, PutOutcome::Conflict);
        assert_eq!(
            put("b", PutCondition::Revision(1)).await,
            PutOutcome::Done(2)
        );
        assert_eq!(
            put("c", PutCondition::Revision(1)).await,
            PutOutcome::Conflict
        );
        assert_eq!(client.get("k").await.unwrap().unwrap().bytes, "b");
    }

    #[tokio::test]
    async fn a_watch_waits_for_a_change_and_a_lost_reply_has_taken_effect() {
        let (standin, client) = pair().await;
        let watching = client.clone();
        let wait = Duration::from_secs(5);
        let watch = tokio::spawn(async move { watching.watch("k", 0, wait).await });
        standin.set_loses_replies(true);
        let value = Bytes::from_static(b"v");
        let lost = client.put("k", value, PutCondition::Absent, None).await;
        assert!(lost.is_err());
        assert_eq!(watch.await.unwrap().unwrap().unwrap().bytes, "v");
        assert_eq!(
            standin.calls(),
            PlatformCalls {
                reads: 1,
                writes: 1
            }
        );
    }

    #[tokio::test]
    async fn keys_go_with_their_lease() {
        let (_standin, client) = pair().await;
        let lease = client.lease(Duration::from_millis(1)).await.unwrap();
        tokio::time::sleep(Duration::from_millis(20)).await;
        let value = Bytes::from_static(b"v");
        let late = client
            .put("k", value, PutCondition::Always, Some(lease.id))
            .await;
        assert_eq!(late.unwrap(), PutOutcome::Conflict);
    }
}
