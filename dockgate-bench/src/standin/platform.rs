//! A stand-in for the platform: its key-value store with leases, watches and a history.

mod key_store;
mod store_listener;

use super::http::{BrokenOff, StandInBody, answer, serve};
use crate::error::BenchError;
use bytes::Bytes;
use dockgate_platform::{
    BoxRecord, BoxState, LeaseRequest, WireCommit, WireKeyAnswer, WireTxn, routes,
};
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use key_store::{KeyStore, StoreRefusal};
use serde::Serialize;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use store_listener::ListenerState;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

pub use store_listener::StoreListener;

/// The largest value that is stored, in bytes, as it is written in base64.
const MOST_BODY: usize = 2 << 20;
/// How often a waiting watch looks for leases that have ended.
const EXPIRE: Duration = Duration::from_millis(100);

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

/// Calls counted so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct PlatformCalls {
    /// Reads, a waiting watch as one.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
}

/// The store as it was at some moment.
#[derive(Debug, Clone)]
pub struct StoreSnapshot(KeyStore);

struct PlatformState {
    store: Mutex<KeyStore>,
    /// Rises each time that the store comes back from an older copy.
    era: AtomicU64,
    changed: watch::Sender<u64>,
    reads: AtomicU64,
    writes: AtomicU64,
    out: AtomicBool,
    loses_replies: AtomicBool,
    slow_ms: AtomicU64,
}

impl PlatformState {
    fn store(&self) -> MutexGuard<'_, KeyStore> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the store, and wakes the watches.
    fn change<T>(&self, change: impl FnOnce(&mut KeyStore) -> T) -> T {
        let mut store = self.store();
        store.expire();
        let result = change(&mut store);
        self.changed.send_replace(store.revision());
        result
    }
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
            era: AtomicU64::new(1),
            changed: watch::channel(0).0,
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
            out: AtomicBool::new(false),
            loses_replies: AtomicBool::new(false),
            slow_ms: AtomicU64::new(0),
        });
        let door = open_listener(&state).await?;
        let address = door.address;
        Ok(Self { address, state })
    }

    /// Opens a further address, which can fall silent by itself.
    ///
    /// # Errors
    ///
    /// Returns an error where no port is free.
    pub async fn open_listener(&self) -> Result<StoreListener, BenchError> {
        open_listener(&self.state).await
    }

    /// Writes a key, as the platform's own programs do.
    pub fn set(&self, key: &str, value: impl Into<Bytes>) {
        let value = value.into();
        self.state.change(|store| store.write(key, value, 0));
    }

    /// Removes a key, as the platform's own programs do.
    pub fn remove(&self, key: &str) {
        self.state.change(|store| store.remove(key));
    }

    /// Lists all keys that there are.
    pub fn keys(&self) -> Vec<String> {
        self.state.store().keys()
    }

    /// Forgets all changes so far, so that watches must list anew.
    pub fn forget_history(&self) {
        self.state.change(KeyStore::forget_history);
    }

    /// Returns the store as it is now.
    pub fn snapshot(&self) -> StoreSnapshot {
        StoreSnapshot(self.state.store().clone())
    }

    /// Comes back from an older copy: what was written since is gone, revisions are given out again, and calls that
    /// wait are cut.
    pub fn restore(&self, copy: StoreSnapshot) {
        self.state.era.fetch_add(1, Ordering::AcqRel);
        self.state.change(|store| *store = copy.0);
    }

    /// Writes the records of boxes.
    pub fn set_boxes(&self, boxes: &[BoxEntry]) {
        for record in boxes.iter().filter_map(BoxEntry::record) {
            self.set(&record.key(), record.encode());
        }
    }

    /// Changes what the record of one box says.
    pub fn set_box_state(&self, name: &str, state: BoxState) {
        self.state.change(|store| {
            let key = format!("{}{name}", dockgate_platform::BOXES);
            let item = store.get(&key).cloned();
            let known = item.and_then(|item| BoxRecord::decode(&key, &item.value.0).ok());
            if let Some(known) = known {
                let record = BoxRecord { state, ..known };
                store.write(&key, record.encode(), 0);
            }
        });
    }

    /// Begins or ends an outage: every call is cut off unanswered and has no effect.
    pub fn set_unavailable(&self, out: bool) {
        self.state.out.store(out, Ordering::Release);
    }

    /// Begins or ends losing the replies of writes that have taken effect.
    pub fn set_drops_replies(&self, loses: bool) {
        self.state.loses_replies.store(loses, Ordering::Release);
    }

    /// Sets how much longer every call takes.
    pub fn set_delay(&self, slow: Duration) {
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

/// The query of a call, by name.
struct CallQuery<'a>(HashMap<&'a str, &'a str>);

impl<'a> CallQuery<'a> {
    fn parse(query: &'a str) -> Self {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        Self(pairs.collect())
    }

    fn text(&self, name: &str) -> &'a str {
        self.0.get(name).copied().unwrap_or_default()
    }

    fn number(&self, name: &str) -> u64 {
        self.text(name).parse().unwrap_or_default()
    }
}

async fn open_listener(state: &Arc<PlatformState>) -> Result<StoreListener, BenchError> {
    let (state, door) = (state.clone(), ListenerState::new());
    let met = door.clone();
    let handle = move |request: Request<Incoming>| {
        let (state, door) = (state.clone(), met.clone());
        async move {
            let is_watch = request.uri().path() == routes::WATCH;
            let dropped = door.dropped();
            let answer = handle(state.clone(), &door, request).await;
            let answer = answer.map(|mut answer| {
                let era = HeaderValue::from(state.era.load(Ordering::Acquire));
                answer.headers_mut().insert("store-era", era);
                answer
            });
            door.pass(answer, is_watch, dropped).await
        }
    };
    let address = serve(handle, CancellationToken::new()).await?;
    Ok(StoreListener {
        address,
        state: door,
    })
}

async fn handle(
    state: Arc<PlatformState>,
    door: &ListenerState,
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
            if query.text("path_prefix") == dockgate_platform::ENDPOINTS {
                door.note_watch(Duration::from_millis(query.number("wait_ms")));
            }
            watch_changes(&state, &query).await
        }
        (&Method::POST, routes::TXN) => reply(&state, transact(&state, &body)),
        (&Method::POST, routes::LEASE) => reply(&state, grant_lease(&state, &body)),
        (&Method::POST, path) if path.starts_with(routes::KEEP) => {
            let lease = path[routes::KEEP.len()..].parse().unwrap_or_default();
            reply(&state, found(state.change(|store| store.renew(lease))))
        }
        (&Method::DELETE, path) if path.starts_with(routes::END) => {
            let lease = path[routes::END.len()..].parse().unwrap_or_default();
            reply(&state, found(state.change(|store| store.end_lease(lease))))
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

fn json(status: StatusCode, body: &impl Serialize) -> Response<StandInBody> {
    answer(status, serde_json::to_vec(body).unwrap_or_default())
}

fn found(found: bool) -> Response<StandInBody> {
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
    let page =
        state.change(|store| store.page(query.text("path_prefix"), query.text("since_revision")));
    json(StatusCode::OK, &page)
}

async fn watch_changes(
    state: &PlatformState,
    query: &CallQuery<'_>,
) -> Result<Response<StandInBody>, BrokenOff> {
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
            store.changes(prefix, since)
        };
        let over = tokio::time::Instant::now() >= deadline;
        if era != state.era.load(Ordering::Acquire) {
            return Err(BrokenOff);
        }
        match changes {
            None => return Ok(answer(StatusCode::GONE, "that history is forgotten")),
            Some(changes) if over || !changes.events.is_empty() => {
                return Ok(json(StatusCode::OK, &changes));
            }
            Some(_) => {}
        }
        let next = deadline.min(tokio::time::Instant::now() + EXPIRE);
        // A change, the end of the wait, and a look at the leases are handled alike.
        let _ = tokio::time::timeout_at(next, changed.changed()).await;
        if state.out.load(Ordering::Acquire) {
            return Err(BrokenOff);
        }
    }
}

fn transact(state: &PlatformState, body: &[u8]) -> Response<StandInBody> {
    if body.len() > MOST_BODY {
        return answer(StatusCode::PAYLOAD_TOO_LARGE, "the value is too large");
    }
    let Ok(txn) = serde_json::from_slice::<WireTxn>(body) else {
        return answer(StatusCode::BAD_REQUEST, "not a transaction");
    };
    match state.change(|store| store.transact(txn)) {
        Ok(revision) => json(StatusCode::OK, &WireCommit { revision }),
        Err(StoreRefusal::Conflict(entries)) => {
            let body = serde_json::json!({ "entries": entries });
            json(StatusCode::PRECONDITION_FAILED, &body)
        }
        Err(StoreRefusal::NoLease) => answer(StatusCode::NOT_FOUND, "no such lease"),
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
