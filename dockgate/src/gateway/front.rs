//! Callers' connections: accepted within the descriptors that there are, and closed in order.

use super::call::serve_call;
use super::call_body::CallBody;
use super::gateway_state::GatewayState;
use super::sockets::{has_stream_options, set_stream_options};
use super::tracked_io::{ConnectionState, TrackedIo};
use crate::clock::now_ms;
use crate::shared_stream::SharedStream;
use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Descriptors kept for everything but callers: files, listeners, connections to endpoints, the
/// store and other boxes.
const OTHER_DESCRIPTORS: usize = 900;
/// Above this part of the connections that there may be, answers end their connections: callers that
/// come seldom must not keep others out.
const CROWDED_PART: f64 = 0.5;
/// Above this part, connections that rest are closed, the longest at rest first, down to it.
const FULL_PART: f64 = 0.95;
/// How long to wait when no connection can be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How often overdue connections are looked for.
const SWEEP: Duration = Duration::from_millis(500);
/// The least buffer that a connection needs, in bytes.
const LEAST_BUFFER: usize = 8_192;

/// The connections of callers.
pub(super) struct CallerFront {
    state: Arc<GatewayState>,
    connections: Mutex<HashMap<u64, Arc<ConnectionState>>>,
    counter: AtomicU64,
    answered_ms: AtomicU64,
    /// Whether connections take over the options of the listener, once the first one has shown it.
    inherits: OnceLock<bool>,
}

impl CallerFront {
    pub(super) fn new(state: Arc<GatewayState>) -> Self {
        Self {
            state,
            connections: Mutex::default(),
            counter: AtomicU64::new(0),
            answered_ms: AtomicU64::new(now_ms()),
            inherits: OnceLock::new(),
        }
    }

    fn locked(&self) -> MutexGuard<'_, HashMap<u64, Arc<ConnectionState>>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how many connections are open.
    pub(super) fn open(&self) -> usize {
        self.locked().len()
    }

    /// Returns on how many connections a request is being answered.
    pub(super) fn busy(&self) -> usize {
        self.locked()
            .values()
            .filter(|connection| connection.is_busy())
            .count()
    }

    /// Begins the orderly stop: callers that have rested until now may be about to send.
    pub(super) fn begin_stop(&self) {
        self.answered_ms.store(now_ms(), Ordering::Relaxed);
    }

    /// Tells whether no answer has ended, and no stop begun, for a while.
    pub(super) fn is_quiet(&self, since: Duration) -> bool {
        let answered = self.answered_ms.load(Ordering::Relaxed);
        now_ms().saturating_sub(answered) > since.as_millis() as u64
    }

    /// Returns how many connections there may be.
    fn most(&self) -> usize {
        let descriptors = self.state.settings().descriptors;
        descriptors.saturating_sub(OTHER_DESCRIPTORS).max(100)
    }

    /// Tells whether connections are better ended with their answers.
    fn is_crowded(&self) -> bool {
        self.open() as f64 > self.most() as f64 * CROWDED_PART
    }

    /// Accepts connections until the process ends.
    pub(super) async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            if self.open() >= self.most() {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
            match listener.accept().await {
                Ok((stream, _)) => self.clone().enter(stream),
                Err(error) => {
                    log::warn!("accept a caller: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn enter(self: Arc<Self>, stream: TcpStream) {
        let is_ready = *self.inherits.get_or_init(|| has_stream_options(&stream));
        if !is_ready && let Err(error) = set_stream_options(&stream) {
            log::debug!("prepare a caller's connection: {error}");
            return;
        }
        let number = self.counter.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(ConnectionState::new());
        self.locked().insert(number, connection.clone());
        tokio::spawn(async move {
            self.serve(stream, &connection).await;
            self.locked().remove(&number);
        });
    }

    async fn serve(&self, stream: TcpStream, connection: &Arc<ConnectionState>) {
        let limits = self.state.table().config().limits;
        let stream = SharedStream::new(stream);
        let caller = stream.disconnect_monitor();
        let io = TokioIo::new(TrackedIo::new(stream, connection.clone()));
        let service = service_fn(|request: Request<Incoming>| {
            let busy = BusyGuard::new(connection.clone());
            let (state, caller) = (self.state.clone(), caller.clone());
            async move {
                let stopping = state.clone();
                let response = serve_call(state, request, caller).await;
                let ends = stopping.is_stopping() || stopping.is_overloaded() || self.is_crowded();
                self.answered_ms.store(now_ms(), Ordering::Relaxed);
                Ok::<_, Infallible>(finish(ends, response, busy))
            }
        });
        let served = Builder::new()
            .max_buf_size(limits.head_bytes.max(LEAST_BUFFER))
            .serve_connection(io, service);
        tokio::pin!(served);
        let ended = connection
            .serve_until_closed(served.as_mut(), &caller)
            .await;
        if let Some(Err(error)) = ended {
            log::debug!("caller's connection: {error}");
        }
    }

    /// Closes the connections that have rested longest, where there are nearly too many.
    fn make_room(&self) {
        let surplus = self
            .open()
            .saturating_sub((self.most() as f64 * FULL_PART) as usize);
        if surplus == 0 {
            return;
        }
        let connections = self.locked();
        let mut resting: Vec<&Arc<ConnectionState>> = connections
            .values()
            .filter(|connection| !connection.is_busy())
            .collect();
        resting.sort_by_key(|connection| connection.last_used_ms());
        for connection in resting.into_iter().take(surplus) {
            connection.close.notify_one();
        }
    }

    /// Closes overdue connections until the process ends.
    pub(super) async fn sweep(self: Arc<Self>) {
        loop {
            tokio::time::sleep(SWEEP).await;
            let limits = self.state.table().config().limits;
            let (head_ms, idle_ms) = (
                limits.head_timeout.as_millis() as u64,
                limits.idle_timeout.as_millis() as u64,
            );
            let now = now_ms();
            for connection in self.locked().values() {
                if connection.is_overdue(now, head_ms, idle_ms) {
                    connection.close.notify_one();
                }
            }
            self.make_room();
        }
    }
}

/// Counts a request on its connection until its answer is whole.
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

/// Says that the connection ends with this answer, where it does.
fn finish(ends: bool, mut response: Response<CallBody>, busy: BusyGuard) -> Response<BusyBody> {
    if ends {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response.map(|body| BusyBody { body, _busy: busy })
}

/// A body that keeps its connection busy until it is whole.
struct BusyBody {
    body: CallBody,
    _busy: BusyGuard,
}

impl Body for BusyBody {
    type Data = Bytes;
    type Error = super::call_body::BrokenAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
