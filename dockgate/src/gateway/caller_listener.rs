//! Accepts and serves the connections of callers, within the limits on file descriptors and memory.

use super::call::serve_call;
use super::call_body::CallBody;
use super::gateway_metrics::GATEWAY_METRICS;
use super::gateway_state::GatewayState;
use super::memory_guard::MemoryGuard;
use super::sockets::{UNREAD_TIMEOUT, has_stream_options, set_stream_options};
use super::tracked_io::{ConnectionState, TrackedIo};
use crate::clock::now_ms;
use crate::shared_stream::{DisconnectMonitor, SharedStream, StreamHandle, discard_until_closed};
use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, Version, header};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::convert::Infallible;
use std::error::Error;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// File descriptors reserved for everything but callers: files, listeners, and connections to
/// endpoints, the store and other boxes.
const OTHER_DESCRIPTORS: usize = 900;
/// The fraction of the connection limit above which connections are closed after each answer, so
/// that idle callers do not keep others out.
const CROWDED_FRACTION: f64 = 0.5;
/// The fraction of the connection limit above which idle connections are closed, the longest idle
/// first.
const FULL_FRACTION: f64 = 0.95;
/// The delay before the next accept if no connection can be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// The interval between checks for overdue connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// How long a connection rests before it is closed for its limit of heads, in milliseconds; one that is
/// used more often ends with an answer, which no request crosses.
const MIN_REST_MS: u64 = 1_000;
/// How long a connection stays open after its last answer for a caller that does not close it.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum number of bytes that are read and discarded in that time.
const MAX_DISCARDED_BYTES: usize = 16 << 20;
/// The minimum buffer size of a connection.
const MIN_BUFFER_BYTES: usize = 8_192;
/// The smallest size of a header for which a head within its limit is never refused for the number
/// of its headers, in bytes. The HTTP library reserves room for that number with each request.
const MIN_HEADER_BYTES: usize = 8;

/// Accepts the connections of callers and keeps track of them.
pub(super) struct CallerListener {
    state: Arc<GatewayState>,
    connections: Mutex<HashMap<u64, Arc<ConnectionState>>>,
    counter: AtomicU64,
    answered_ms: AtomicU64,
    /// Whether accepted connections inherit the socket options of the listener; determined from the
    /// first one.
    inherits_options: OnceLock<bool>,
}

impl CallerListener {
    pub(super) fn new(state: Arc<GatewayState>) -> Self {
        Self {
            state,
            connections: Mutex::default(),
            counter: AtomicU64::new(0),
            answered_ms: AtomicU64::new(now_ms()),
            inherits_options: OnceLock::new(),
        }
    }

    fn locked(&self) -> MutexGuard<'_, HashMap<u64, Arc<ConnectionState>>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of open connections.
    pub(super) fn open(&self) -> usize {
        self.locked().len()
    }

    /// Returns the number of connections on which a request is in progress.
    pub(super) fn busy(&self) -> usize {
        self.locked()
            .values()
            .filter(|connection| connection.is_busy())
            .count()
    }

    /// Begins an orderly stop, and restarts the quiet period: idle callers may be about to send.
    pub(super) fn begin_stop(&self) {
        self.answered_ms.store(now_ms(), Ordering::Relaxed);
    }

    /// Returns whether no stop and no answer has begun, and no open connection was used, within
    /// `since`.
    pub(super) fn is_quiet(&self, since: Duration) -> bool {
        let connections = self.locked();
        let used = connections
            .values()
            .map(|connection| connection.last_used_ms());
        let last_ms = used.fold(self.answered_ms.load(Ordering::Relaxed), u64::max);
        now_ms().saturating_sub(last_ms) > since.as_millis() as u64
    }

    /// Returns the connection limit.
    fn max_connections(&self) -> usize {
        let descriptors = self.state.settings().descriptors;
        descriptors.saturating_sub(OTHER_DESCRIPTORS).max(100)
    }

    /// Returns the limit of heads in force, in bytes.
    fn head_limit(&self) -> usize {
        self.state.table().config().limits.head_bytes
    }

    /// Returns whether a connection was opened with another limit of heads than the one in force. The
    /// HTTP library keeps the limit for as long as the connection is open.
    fn has_outdated_limit(&self, connection: &ConnectionState) -> bool {
        connection.head_bytes() != self.head_limit()
    }

    /// Returns whether connections should be closed after each answer.
    fn is_crowded(&self) -> bool {
        self.open() as f64 > self.max_connections() as f64 * CROWDED_FRACTION
    }

    /// Accepts connections until the process ends.
    pub(super) async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            let has_memory = self
                .state
                .with_memory(|memory| memory.accepts_connections());
            if !has_memory {
                self.close_surplus();
            }
            if !has_memory || self.open() >= self.max_connections() {
                self.close_lingering();
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
            match listener.accept().await {
                Ok((stream, _)) => self.clone().spawn_connection(stream),
                Err(error) => {
                    log::warn!("could not accept a connection: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn spawn_connection(self: Arc<Self>, stream: TcpStream) {
        let is_ready = *self
            .inherits_options
            .get_or_init(|| has_stream_options(&stream, UNREAD_TIMEOUT));
        if !is_ready && let Err(error) = set_stream_options(&stream, UNREAD_TIMEOUT) {
            log::debug!("could not set the options of a caller's connection: {error}");
            return;
        }
        let number = self.counter.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(ConnectionState::new(self.head_limit()));
        self.locked().insert(number, connection.clone());
        let memory = MemoryGuard::connection(&self.state);
        tokio::spawn(async move {
            self.serve(stream, &connection).await;
            drop(memory);
            self.locked().remove(&number);
        });
    }

    async fn serve(&self, stream: TcpStream, connection: &Arc<ConnectionState>) {
        let stream = SharedStream::new(stream);
        let (caller, abort) = (stream.disconnect_monitor(), stream.handle());
        let io = TokioIo::new(TrackedIo::new(stream, connection.clone()));
        let service = service_fn(|request: Request<Incoming>| {
            let busy = BusyGuard::new(connection.clone());
            let (state, caller) = (self.state.clone(), caller.clone());
            // Without chunks, the caller would take the close of a broken answer for its end.
            let has_body = request.method() != Method::HEAD;
            let needs_abort = has_body && request.version() < Version::HTTP_11;
            let abort = needs_abort.then(|| abort.clone());
            async move {
                let stopping = state.clone();
                // The HTTP library keeps room for this future as long as the connection is open.
                let response = Box::pin(serve_call(state, request, caller)).await;
                let ends = stopping.is_stopping()
                    || stopping.is_overloaded()
                    || stopping.is_short_of_memory()
                    || self.is_crowded()
                    || self.has_outdated_limit(connection);
                self.answered_ms.store(now_ms(), Ordering::Relaxed);
                Ok::<_, Infallible>(finish_answer(ends, response, busy, abort))
            }
        });
        let buffer_bytes = connection.head_bytes().max(MIN_BUFFER_BYTES);
        let served = Builder::new()
            .max_buf_size(buffer_bytes)
            .max_headers(buffer_bytes / MIN_HEADER_BYTES)
            .serve_connection(io, service);
        tokio::pin!(served);
        let ended = connection
            .serve_until_closed(served.as_mut(), &caller)
            .await;
        if caller.has_timed_out() || has_timed_out(&ended) {
            record_abandoned("system");
        }
        match ended {
            // Boxed, since few connections are closed by this box.
            Some(Ok(())) => Box::pin(linger(&caller, connection)).await,
            Some(Err(error)) => {
                log::debug!("connection of a caller failed: {error}");
                // The HTTP library has answered a request that it cannot parse.
                if error.is_parse() {
                    Box::pin(linger(&caller, connection)).await;
                }
            }
            None => {}
        }
    }

    /// Closes the connections that have been idle longest if the limit is nearly reached, or if the
    /// box is short of memory.
    fn close_surplus(&self) {
        let surplus = self.surplus().max(
            self.state
                .with_memory(|memory| memory.surplus_connections()),
        );
        self.close_longest_idle(surplus, |connection| !connection.is_busy());
    }

    /// Closes the connections that have waited longest for their caller's close if the limit is
    /// nearly reached, so that they do not keep new callers out.
    fn close_lingering(&self) {
        self.close_longest_idle(self.surplus(), ConnectionState::is_lingering);
    }

    /// Returns the number of connections above [`FULL_FRACTION`].
    fn surplus(&self) -> usize {
        let full = self.max_connections() as f64 * FULL_FRACTION;
        self.open().saturating_sub(full as usize)
    }

    fn close_longest_idle(&self, count: usize, may_close: impl Fn(&ConnectionState) -> bool) {
        if count == 0 {
            return;
        }
        let connections = self.locked();
        let mut idle: Vec<&Arc<ConnectionState>> = connections
            .values()
            .filter(|connection| may_close(connection))
            .collect();
        idle.sort_by_key(|connection| connection.last_used_ms());
        for connection in idle.into_iter().take(count) {
            connection.close.notify_one();
        }
    }

    /// Closes overdue connections until the process ends.
    pub(super) async fn sweep(self: Arc<Self>) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            let limits = self.state.table().config().limits;
            let (head_ms, idle_ms) = (
                limits.head_timeout.as_millis() as u64,
                limits.idle_timeout.as_millis() as u64,
            );
            let now = now_ms();
            for connection in self.locked().values() {
                let is_overdue = connection.is_overdue(now, head_ms, idle_ms);
                if is_overdue && connection.is_unread() {
                    record_abandoned("unread");
                }
                let has_outdated_limit = connection.head_bytes() != limits.head_bytes;
                let is_resting = connection.is_resting(now.saturating_sub(MIN_REST_MS));
                let is_outdated = is_resting && has_outdated_limit;
                if is_overdue || is_outdated {
                    connection.close.notify_one();
                }
            }
            self.close_surplus();
        }
    }
}

/// Waits until the caller has closed a connection whose last answer is written.
///
/// Closing a connection with unread bytes resets it, which discards what the caller has not received
/// of the answer. The caller may be sending the rest of a body, or a request that crosses the close.
async fn linger(caller: &DisconnectMonitor, connection: &ConnectionState) {
    connection.begin_linger();
    tokio::select! {
        () = discard_until_closed(caller, MAX_DISCARDED_BYTES) => {}
        () = connection.close.notified() => {}
        () = tokio::time::sleep(LINGER_TIMEOUT) => {}
    }
}

fn record_abandoned(cause: &str) {
    GATEWAY_METRICS
        .abandoned_connections
        .with_label_values(&[cause])
        .inc();
}

/// Returns whether a connection ended with a time-out of the system.
fn has_timed_out(ended: &Option<Result<(), hyper::Error>>) -> bool {
    let Some(Err(error)) = ended else {
        return false;
    };
    let cause = error.source().and_then(<dyn Error>::downcast_ref);
    cause.is_some_and(|cause: &io::Error| cause.kind() == io::ErrorKind::TimedOut)
}

/// Marks a connection as busy until the answer is complete.
struct BusyGuard(Arc<ConnectionState>);

impl BusyGuard {
    fn new(connection: Arc<ConnectionState>) -> Self {
        connection.begin_request();
        Self(connection)
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.end_request();
    }
}

/// Adds a `Connection: close` header if the connection ends with this answer.
fn finish_answer(
    ends: bool,
    mut response: Response<CallBody>,
    busy: BusyGuard,
    abort: Option<StreamHandle>,
) -> Response<BusyBody> {
    if ends {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response.map(|body| BusyBody {
        is_complete: body.is_end_stream(),
        body,
        abort,
        _busy: busy,
    })
}

/// A body that keeps its connection marked as busy until it is dropped.
struct BusyBody {
    body: CallBody,
    is_complete: bool,
    /// Resets the connection if the answer is dropped before its end.
    abort: Option<StreamHandle>,
    _busy: BusyGuard,
}

impl Body for BusyBody {
    type Data = Bytes;
    type Error = super::call_body::BrokenAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        self.is_complete = matches!(polled, Poll::Ready(None)) || self.body.is_end_stream();
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for BusyBody {
    fn drop(&mut self) {
        if let (Some(abort), false) = (&self.abort, self.is_complete) {
            abort.reset_on_close();
        }
    }
}

#[cfg(test)]
mod tests;
