//! A stand-in for the platform's key-value store with leases, watches and a history of changes.

mod key_store;
mod past_states;
mod store_listener;

use super::http::{AbortedConnection, StandInBody, answer, serve};
use crate::error::BenchError;
use bytes::Bytes;
use dockgate_platform::{
    BoxRecord, BoxState, LeaseRequest, WireCommit, WireKeyAnswer, WireTxn, routes,
};
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use key_store::{KeyStore, TxnRejection};
use past_states::PastStates;
use percent_encoding::percent_decode_str;
use serde::Serialize;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use store_listener::ListenerState;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

pub use store_listener::StoreListener;

/// Maximum size of a transaction's JSON body, in bytes.
const MAX_BODY_BYTES: usize = 2 << 20;
/// Interval at which a waiting watch checks for expired leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// A box as the platform lists it.
#[derive(Debug, Clone)]
pub struct BoxEntry {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Its peer address as seen from each failure domain.
    pub peer_addresses: HashMap<String, SocketAddr>,
    /// Its state in the platform's records.
    pub state: BoxState,
}

impl BoxEntry {
    fn record(&self) -> Option<BoxRecord> {
        Some(BoxRecord {
            name: self.name.clone(),
            domain: self.domain.clone(),
            peer_address: *self.peer_addresses.get(&self.domain)?,
            addresses_from: self.peer_addresses.clone().into_iter().collect(),
            state: self.state,
        })
    }
}

/// Numbers of calls so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct PlatformCalls {
    /// Number of reads; a watch counts once.
    pub reads: u64,
    /// Number of writes.
    pub writes: u64,
}

/// A snapshot of the store.
#[derive(Debug, Clone)]
pub struct StoreSnapshot(KeyStore);

struct PlatformState {
    store: Mutex<KeyStore>,
    /// What reads that may be outdated are answered from; `None` while they are current.
    past: Mutex<Option<PastStates>>,
    /// The number of listings that must be current.
    current_listings: AtomicU64,
    /// Incremented each time the store is restored from an older snapshot.
    era: AtomicU64,
    changed: watch::Sender<u64>,
    reads: AtomicU64,
    writes: AtomicU64,
    unavailable: AtomicBool,
    drops_replies: AtomicBool,
    delay_ms: AtomicU64,
}

impl PlatformState {
    fn store(&self) -> MutexGuard<'_, KeyStore> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn past(&self) -> MutexGuard<'_, Option<PastStates>> {
        self.past.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Expires leases, applies a change and wakes the watches.
    fn change<T>(&self, change: impl FnOnce(&mut KeyStore) -> T) -> T {
        let mut store = self.store();
        store.expire();
        let result = change(&mut store);
        if let Some(past) = &mut *self.past() {
            past.record(&store);
        }
        self.changed.send_replace(store.revision());
        result
    }
}

/// The platform's store on a loopback port.
pub struct PlatformStandIn {
    /// The address on which it listens.
    pub address: SocketAddr,
    state: Arc<PlatformState>,
}

impl PlatformStandIn {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn start() -> Result<Self, BenchError> {
        let state = Arc::new(PlatformState {
            store: Mutex::default(),
            past: Mutex::default(),
            current_listings: AtomicU64::new(0),
            era: AtomicU64::new(1),
            changed: watch::channel(0).0,
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
            unavailable: AtomicBool::new(false),
            drops_replies: AtomicBool::new(false),
            delay_ms: AtomicU64::new(0),
        });
        let listener = open_listener(&state).await?;
        let address = listener.address;
        Ok(Self { address, state })
    }

    /// Opens another listener, which can be made unresponsive independently.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn open_listener(&self) -> Result<StoreListener, BenchError> {
        open_listener(&self.state).await
    }

    /// Writes a key directly, without a call.
    pub fn set(&self, key: &str, value: impl Into<Bytes>) {
        let value = value.into();
        self.state.change(|store| store.write(key, value, 0));
    }

    /// Writes a key directly, without a call, and answers `json` in place of its item in listings
    /// and watches until it changes.
    ///
    /// # Panics
    ///
    /// Panics if `json` is no JSON.
    pub fn set_odd_item(&self, key: &str, json: String) {
        let json = RawValue::from_string(json).expect("an answer of the store is JSON");
        self.state.change(|store| store.write_odd(key, json));
    }

    /// Removes a key directly, without a call.
    pub fn remove(&self, key: &str) {
        self.state.change(|store| store.remove(key));
    }

    /// Lists all keys.
    pub fn keys(&self) -> Vec<String> {
        self.state.store().keys()
    }

    /// Drops the history of changes, so that watches must list again.
    pub fn forget_history(&self) {
        self.state.change(KeyStore::forget_history);
    }

    /// Returns a snapshot of the store.
    pub fn snapshot(&self) -> StoreSnapshot {
        StoreSnapshot(self.state.store().clone())
    }

    /// Restores the store from a snapshot: later writes are lost, revisions are reused, and waiting
    /// watches are aborted.
    pub fn restore(&self, snapshot: StoreSnapshot) {
        self.state.era.fetch_add(1, Ordering::AcqRel);
        self.state.change(|store| *store = snapshot.0);
    }

    /// Writes the records of boxes.
    pub fn set_boxes(&self, boxes: &[BoxEntry]) {
        for record in boxes.iter().filter_map(BoxEntry::record) {
            self.set(&record.key(), record.encode());
        }
    }

    /// Changes the state in the record of one box.
    pub fn set_box_state(&self, name: &str, state: BoxState) {
        self.state.change(|store| {
            let key = format!("{}{name}", dockgate_platform::BOX_KEY_PREFIX);
            let item = store.get(&key).cloned();
            let known = item.and_then(|item| BoxRecord::decode(&key, &item.value.0).ok());
            if let Some(known) = known {
                let record = BoxRecord { state, ..known };
                store.write(&key, record.encode(), 0);
            }
        });
    }

    /// Begins or ends an outage, in which calls are aborted without effect.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.state.unavailable.store(unavailable, Ordering::Release);
    }

    /// Begins or ends dropping the replies to writes, which still take effect.
    pub fn set_drops_replies(&self, drops_replies: bool) {
        self.state
            .drops_replies
            .store(drops_replies, Ordering::Release);
    }

    /// Sets the delay of every call.
    pub fn set_delay(&self, delay: Duration) {
        let delay = delay.as_millis() as u64;
        self.state.delay_ms.store(delay, Ordering::Release);
    }

    /// Answers reads that may be outdated from the state that the store had `age` ago, but not before
    /// now.
    pub fn set_staleness(&self, age: Duration) {
        let store = self.state.store();
        *self.state.past() = Some(PastStates::new(age, &store));
    }

    /// Returns the number of listings so far that had to be current.
    pub fn current_listings(&self) -> u64 {
        self.state.current_listings.load(Ordering::Relaxed)
    }

    /// Returns the numbers of calls so far.
    pub fn calls(&self) -> PlatformCalls {
        PlatformCalls {
            reads: self.state.reads.load(Ordering::Relaxed),
            writes: self.state.writes.load(Ordering::Relaxed),
        }
    }
}

/// The query parameters of a call, by name.
struct CallQuery<'a>(HashMap<&'a str, Cow<'a, str>>);

impl<'a> CallQuery<'a> {
    fn parse(query: &'a str) -> Self {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let decoded = pairs.map(|(name, text)| {
            let text = percent_decode_str(text);
            (name, text.decode_utf8_lossy())
        });
        Self(decoded.collect())
    }

    fn text(&self, name: &str) -> &str {
        self.0.get(name).map(Cow::as_ref).unwrap_or_default()
    }

    fn number(&self, name: &str) -> u64 {
        self.text(name).parse().unwrap_or_default()
    }
}

/// Returns the prefix that a request watches; `None` if it is no watch.
fn watched_prefix(request: &Request<Incoming>) -> Option<String> {
    let query = request.uri().query().unwrap_or_default();
    let is_watch = request.uri().path() == routes::WATCH;
    is_watch.then(|| CallQuery::parse(query).text("path_prefix").to_owned())
}

async fn open_listener(state: &Arc<PlatformState>) -> Result<StoreListener, BenchError> {
    let (state, listener) = (state.clone(), ListenerState::new());
    let handler_listener = listener.clone();
    let handle = move |request: Request<Incoming>| {
        let (state, listener) = (state.clone(), handler_listener.clone());
        async move {
            let watched = watched_prefix(&request);
            let stall_count = listener.stall_count();
            let answer = handle(state.clone(), &listener, request).await;
            let answer = answer.map(|mut answer| {
                let era = HeaderValue::from(state.era.load(Ordering::Acquire));
                answer.headers_mut().insert("store-era", era);
                answer
            });
            listener.pass(answer, watched.as_deref(), stall_count).await
        }
    };
    let address = serve(handle, CancellationToken::new()).await?;
    Ok(StoreListener {
        address,
        state: listener,
    })
}

async fn handle(
    state: Arc<PlatformState>,
    listener: &ListenerState,
    request: Request<Incoming>,
) -> Result<Response<StandInBody>, AbortedConnection> {
    let (parts, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|_| AbortedConnection)?
        .to_bytes();
    let delay = state.delay_ms.load(Ordering::Acquire);
    if delay > 0 {
        tokio::time::sleep(Duration::from_millis(delay)).await;
    }
    if state.unavailable.load(Ordering::Acquire) {
        return Err(AbortedConnection);
    }
    let query = CallQuery::parse(parts.uri.query().unwrap_or_default());
    let counter = match parts.method {
        Method::GET => &state.reads,
        _ => &state.writes,
    };
    counter.fetch_add(1, Ordering::Relaxed);
    match (&parts.method, parts.uri.path()) {
        (&Method::GET, routes::KEY) => Ok(read(&state, &query)),
        (&Method::GET, routes::RANGE) => Ok(range(&state, &query)),
        (&Method::GET, routes::WATCH) => {
            let wait = Duration::from_millis(query.number("wait_ms"));
            listener.record_watch(query.text("path_prefix"), wait);
            watch_changes(&state, &query).await
        }
        (&Method::POST, routes::TXN) => reply(&state, transact(&state, &body)),
        (&Method::POST, routes::LEASE) => reply(&state, grant_lease(&state, &body)),
        (&Method::POST, path) if path.starts_with(routes::RENEW) => {
            let lease = path[routes::RENEW.len()..].parse().unwrap_or_default();
            reply(
                &state,
                lease_response(state.change(|store| store.renew(lease))),
            )
        }
        (&Method::DELETE, path) if path.starts_with(routes::END_LEASE) => {
            let lease = path[routes::END_LEASE.len()..].parse().unwrap_or_default();
            reply(
                &state,
                lease_response(state.change(|store| store.end_lease(lease))),
            )
        }
        _ => Ok(answer(StatusCode::NOT_FOUND, "no such path")),
    }
}

/// Answers a write, unless replies are dropped.
fn reply(
    state: &PlatformState,
    response: Response<StandInBody>,
) -> Result<Response<StandInBody>, AbortedConnection> {
    match state.drops_replies.load(Ordering::Acquire) {
        true => Err(AbortedConnection),
        false => Ok(response),
    }
}

fn json(status: StatusCode, body: &impl Serialize) -> Response<StandInBody> {
    answer(status, serde_json::to_vec(body).unwrap_or_default())
}

fn lease_response(found: bool) -> Response<StandInBody> {
    match found {
        true => answer(StatusCode::OK, "{}"),
        false => answer(StatusCode::NOT_FOUND, "no such lease"),
    }
}

fn read(state: &PlatformState, query: &CallQuery) -> Response<StandInBody> {
    state.change(|store| match store.get(query.text("key_file")) {
        Some(item) => {
            let item = item.clone();
            json(
                StatusCode::OK,
                &WireKeyAnswer {
                    item,
                    timestamp: store.revision(),
                },
            )
        }
        None => answer(StatusCode::NOT_FOUND, "no such key"),
    })
}

fn range(state: &PlatformState, query: &CallQuery) -> Response<StandInBody> {
    let encode = |store: &KeyStore| {
        let page = store.page(query.text("path_prefix"), query.text("since_revision"));
        store.encode_range(&page)
    };
    let is_current = query.text("serializable") != "1";
    if is_current {
        state.current_listings.fetch_add(1, Ordering::Relaxed);
    }
    let outdated = match &mut *state.past() {
        Some(past) if !is_current => Some(encode(past.visible())),
        _ => None,
    };
    let page = outdated.unwrap_or_else(|| state.change(|store| encode(store)));
    json(StatusCode::OK, &page)
}

async fn watch_changes(
    state: &PlatformState,
    query: &CallQuery<'_>,
) -> Result<Response<StandInBody>, AbortedConnection> {
    let (prefix, since) = (query.text("path_prefix"), query.number("since_revision"));
    let wait = Duration::from_millis(query.number("wait_ms"));
    let deadline = tokio::time::Instant::now() + wait;
    let mut changed = state.changed.subscribe();
    let era = state.era.load(Ordering::Acquire);
    loop {
        changed.borrow_and_update();
        let changes = {
            let mut store = state.store();
            store.expire();
            let changes = store.changes(prefix, since);
            changes.map(|changes| (changes.events.is_empty(), store.encode_changes(&changes)))
        };
        let has_timed_out = tokio::time::Instant::now() >= deadline;
        if era != state.era.load(Ordering::Acquire) {
            return Err(AbortedConnection);
        }
        match changes {
            None => return Ok(answer(StatusCode::GONE, "that history is forgotten")),
            Some((is_empty, changes)) if has_timed_out || !is_empty => {
                return Ok(json(StatusCode::OK, &changes));
            }
            Some(_) => {}
        }
        let next = deadline.min(tokio::time::Instant::now() + EXPIRY_INTERVAL);
        // Wakes up for a change, for the deadline, or to expire leases.
        let _ = tokio::time::timeout_at(next, changed.changed()).await;
        if state.unavailable.load(Ordering::Acquire) {
            return Err(AbortedConnection);
        }
    }
}

fn transact(state: &PlatformState, body: &[u8]) -> Response<StandInBody> {
    if body.len() > MAX_BODY_BYTES {
        return answer(StatusCode::PAYLOAD_TOO_LARGE, "the value is too large");
    }
    let Ok(txn) = serde_json::from_slice::<WireTxn>(body) else {
        return answer(StatusCode::BAD_REQUEST, "not a transaction");
    };
    match state.change(|store| store.transact(txn)) {
        Ok(revision) => json(StatusCode::OK, &WireCommit { revision }),
        Err(TxnRejection::Conflict(entries)) => {
            let body = serde_json::json!({ "entries": entries });
            json(StatusCode::PRECONDITION_FAILED, &body)
        }
        Err(TxnRejection::NoLease) => answer(StatusCode::NOT_FOUND, "no such lease"),
    }
}

fn grant_lease(state: &PlatformState, body: &[u8]) -> Response<StandInBody> {
    let Ok(LeaseRequest { ttl_ms }) = serde_json::from_slice(body) else {
        return answer(StatusCode::BAD_REQUEST, "not a lease request");
    };
    let grant = state.change(|store| store.grant_lease(ttl_ms));
    json(StatusCode::OK, &grant)
}

#[cfg(test)]
mod tests;
