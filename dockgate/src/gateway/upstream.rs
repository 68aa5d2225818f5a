//! Pools of connections to endpoints: bounded, reused while open, one request at a time each.

mod endpoint_io;

use super::sockets::{UNREAD_TIMEOUT, USER_TIMEOUT, connect, set_user_timeout};
use crate::clock::now_ms;
use crate::shared_stream::{SharedStream, StreamHandle};
use bytes::Bytes;
use dockgate_core::gateway::{EndpointId, SoftwareVersion};
use endpoint_io::{EndpointIo, SendGate};
pub(super) use endpoint_io::{SendCondition, WithheldReason};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How long opening a connection may take. Bounds the wait for an endpoint that is cut off, so that
/// another one can still be tried in time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a connection stays idle if the endpoint announces no timeout; shorter than the usual
/// timeouts of servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// How long before the endpoint's idle timeout a connection is closed, so that no request is sent
/// while the endpoint closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// The maximum buffer size of a connection. Without it, the read buffer grows to 400 kB with a long
/// answer, for the life of the connection.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// The size of a body that fits into the buffers of any endpoint. Only beyond it can an endpoint that
/// pauses reading hold a request up.
const SMALL_BODY_BYTES: u64 = 4 << 10;

/// The endpoint that a request is sent to.
#[derive(Debug, Clone)]
pub(super) struct EndpointTarget {
    pub(super) id: EndpointId,
    /// The id of the endpoint's lifetime.
    pub(super) name: String,
    pub(super) address: SocketAddr,
    /// The version of its software.
    pub(super) version: SoftwareVersion,
    /// The connection limits of this box for the endpoint.
    pub(super) limits: ConnectionLimits,
}

/// The number of connections that one box may have to one endpoint.
///
/// All boxes together must not exceed the connection limit of the endpoint. Idle connections are
/// divided evenly among the boxes. Connections in use are not, since the load may be uneven; their
/// total is bounded by the slots of the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ConnectionLimits {
    /// The number of open connections up to which one is kept idle after its answer.
    idle: usize,
    /// The maximum number of open connections.
    open: usize,
}

impl ConnectionLimits {
    /// The fraction of an endpoint's connection limit that is divided evenly among the boxes. The
    /// remainder is left for uneven load and for boxes that are not known.
    const SHARED_FRACTION: f64 = 0.8;
    /// The connections that a box may always open, in multiples of the endpoint's slots: one for
    /// each running request and one for each waiting request.
    const MIN_SLOT_MULTIPLE: usize = 2;

    /// Divides the connection limit of an endpoint with `slots` slots among the live boxes.
    pub(super) fn new(max_connections: usize, slots: u32, live_boxes: u32) -> Self {
        let even_share =
            max_connections as f64 * Self::SHARED_FRACTION / f64::from(live_boxes.max(2));
        let idle = (even_share as usize).max(1);
        let min_open = (slots as usize * Self::MIN_SLOT_MULTIPLE).min(max_connections);
        Self {
            idle,
            open: idle.max(min_open),
        }
    }
}

/// Why no head of an answer was received.
#[derive(Debug)]
pub(super) enum SendFailure {
    /// The endpoint's address refused the connection; nothing was sent.
    Refused(String),
    /// The endpoint cannot be reached; nothing was sent.
    Unreachable(String),
    /// A connection to the endpoint did not open in time; nothing was sent.
    ConnectTimeout(String),
    /// The connection limit of this box is reached; nothing was sent.
    NoConnection,
    /// The condition for sending no longer holds; nothing was sent.
    Withheld(WithheldReason),
    /// The request may have reached the endpoint.
    Lost(String),
}

/// An open connection, with the gate that can withhold a request and the handle to its options.
struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    gate: Arc<SendGate>,
    handle: StreamHandle,
}

impl OpenConnection {
    fn set_user_timeout(&self, user_timeout: Duration) {
        self.handle
            .set_options(|socket| set_user_timeout(socket, user_timeout));
    }
}

struct IdleConnection {
    connection: OpenConnection,
    until_ms: u64,
}

#[derive(Default)]
struct EndpointPool {
    idle: Vec<IdleConnection>,
    open: usize,
}

impl EndpointPool {
    /// Closes the idle connections and no longer counts them as open.
    fn close_idle(&mut self) {
        self.open = self.open.saturating_sub(self.idle.len());
        self.idle.clear();
    }
}

/// The connections to all endpoints.
#[derive(Default)]
pub(super) struct EndpointPools {
    pools: Mutex<HashMap<EndpointId, EndpointPool>>,
}

impl EndpointPools {
    fn locked(&self) -> MutexGuard<'_, HashMap<EndpointId, EndpointPool>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lists the endpoints that have a pool.
    pub(super) fn endpoints(&self) -> Vec<EndpointId> {
        self.locked().keys().copied().collect()
    }

    /// Closes the idle connections to removed endpoints, and drops their pools once unused.
    pub(super) fn remove(&self, removed: &[EndpointId]) {
        let mut pools = self.locked();
        for id in removed {
            let is_unused = pools.get_mut(id).is_some_and(|pool| {
                pool.close_idle();
                pool.open == 0
            });
            if is_unused {
                pools.remove(id);
            }
        }
    }

    /// Closes the idle connections to some endpoints, since requests sent over a cut link are lost.
    pub(super) fn close_idle_to(&self, endpoints: &[EndpointId]) {
        let mut pools = self.locked();
        for id in endpoints {
            if let Some(pool) = pools.get_mut(id) {
                pool.close_idle();
            }
        }
    }

    pub(super) fn close_all_idle(&self) {
        let mut pools = self.locked();
        pools.values_mut().for_each(EndpointPool::close_idle);
    }

    /// Returns the number of open connections, idle or in use.
    pub(super) fn open(&self) -> usize {
        self.locked().values().map(|pool| pool.open).sum()
    }

    /// Takes the most recently used idle connection, which is the least likely to be closed.
    fn take_idle(&self, id: EndpointId) -> Option<OpenConnection> {
        let mut pools = self.locked();
        let pool = pools.get_mut(&id)?;
        let now = now_ms();
        while let Some(idle) = pool.idle.pop() {
            let is_usable = idle.until_ms > now && !idle.connection.sender.is_closed();
            if is_usable {
                return Some(idle.connection);
            }
            pool.open -= 1;
        }
        None
    }

    /// Counts a connection that is about to be opened; returns `false` if the limit is reached.
    fn reserve(&self, target: &EndpointTarget) -> bool {
        let mut pools = self.locked();
        let pool = pools.entry(target.id).or_default();
        let free = pool.open < target.limits.open;
        if free {
            pool.open += 1;
        }
        free
    }

    fn release(&self, id: EndpointId) {
        if let Some(pool) = self.locked().get_mut(&id) {
            pool.open = pool.open.saturating_sub(1);
        }
    }

    /// Keeps a connection for the next request, or closes it if too many are open.
    fn keep_idle(&self, target: PoolKey, connection: OpenConnection, until_ms: u64) {
        match self.locked().get_mut(&target.id) {
            Some(pool) if pool.open <= target.idle => {
                pool.idle.push(IdleConnection {
                    connection,
                    until_ms,
                });
            }
            Some(pool) => pool.open = pool.open.saturating_sub(1),
            None => {}
        }
    }
}

/// The pool that a connection belongs to, with its limit for keeping idle connections.
#[derive(Debug, Clone, Copy)]
struct PoolKey {
    id: EndpointId,
    idle: usize,
}

impl From<&EndpointTarget> for PoolKey {
    fn from(target: &EndpointTarget) -> Self {
        Self {
            id: target.id,
            idle: target.limits.idle,
        }
    }
}

/// A connection in use by one request; closed on drop unless it is kept.
pub(super) struct PooledConnection {
    pools: Arc<EndpointPools>,
    pool: PoolKey,
    connection: Option<OpenConnection>,
    /// Whether the endpoint has begun to answer the last request.
    is_answered: bool,
}

impl PooledConnection {
    /// Returns the connection to its pool after a complete answer.
    ///
    /// It is closed instead if the endpoint answered before it had read the request: the next one would
    /// wait behind the rest. `idle` is the idle timeout that the endpoint announced.
    pub(super) fn keep(mut self, idle: Option<Duration>) {
        let keep_alive = idle.map_or(IDLE_TIMEOUT, |idle| idle.saturating_sub(IDLE_MARGIN));
        let connection = self.connection.take().filter(|connection| {
            let is_open = !connection.sender.is_closed() && !keep_alive.is_zero();
            is_open && connection.gate.is_written()
        });
        match connection {
            Some(connection) => {
                let until_ms = now_ms() + keep_alive.as_millis() as u64;
                self.pools.keep_idle(self.pool, connection, until_ms);
            }
            None => self.pools.release(self.pool.id),
        }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        // An orderly close would still deliver the buffered request to an endpoint that reads late;
        // a reset discards it. Once the endpoint answers, it has the whole request.
        if !self.is_answered {
            connection.handle.reset_on_close();
        }
        self.pools.release(self.pool.id);
    }
}

async fn open(
    pools: &Arc<EndpointPools>,
    target: &EndpointTarget,
) -> Result<PooledConnection, SendFailure> {
    if !pools.reserve(target) {
        return Err(SendFailure::NoConnection);
    }
    // Releases the reservation if this future fails or is dropped.
    struct Reservation<'a>(&'a EndpointPools, EndpointId, bool);
    impl Drop for Reservation<'_> {
        fn drop(&mut self) {
            if !self.2 {
                self.0.release(self.1);
            }
        }
    }
    let mut reservation = Reservation(pools, target.id, false);
    let unreachable = |problem: String| SendFailure::Unreachable(problem);
    let stream = connect(target.address, CONNECT_TIMEOUT)
        .await
        .map_err(|error| match error.kind() {
            ErrorKind::TimedOut => SendFailure::ConnectTimeout(error.to_string()),
            ErrorKind::ConnectionRefused => SendFailure::Refused(error.to_string()),
            _ => unreachable(error.to_string()),
        })?;
    let gate = Arc::<SendGate>::default();
    let stream = SharedStream::new(stream);
    let handle = stream.handle();
    let io = EndpointIo::new(stream, gate.clone());
    let (sender, connection) = Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(io))
        .await
        .map_err(|error| unreachable(error.to_string()))?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to an endpoint failed: {error}");
        }
    });
    reservation.2 = true;
    Ok(PooledConnection {
        pools: pools.clone(),
        pool: target.into(),
        connection: Some(OpenConnection {
            sender,
            gate,
            handle,
        }),
        is_answered: false,
    })
}

/// Sends a request if the condition holds when it is written, and waits for the head of the answer.
///
/// A pooled connection that turns out to be closed before the request is sent is replaced by
/// another one; nothing else is retried here.
///
/// # Errors
///
/// Returns a failure that states whether the request may have reached the endpoint.
pub(super) async fn send(
    pools: &Arc<EndpointPools>,
    target: &EndpointTarget,
    request: Request<Full<Bytes>>,
    condition: &SendCondition,
) -> Result<(Response<Incoming>, PooledConnection), SendFailure> {
    let mut request = request;
    while let Some(connection) = pools.take_idle(target.id) {
        let idle = PooledConnection {
            pools: pools.clone(),
            pool: target.into(),
            connection: Some(connection),
            is_answered: false,
        };
        match exchange(idle, request, condition).await {
            Ok(answer) => return Ok(answer),
            Err(ExchangeFailure::NotSent(unsent)) => request = *unsent,
            Err(ExchangeFailure::Withheld(reason)) => return Err(SendFailure::Withheld(reason)),
            Err(ExchangeFailure::Lost(problem)) => return Err(SendFailure::Lost(problem)),
        }
    }
    let fresh = open(pools, target).await?;
    exchange(fresh, request, condition)
        .await
        .map_err(|failure| match failure {
            ExchangeFailure::NotSent(_) => {
                SendFailure::Unreachable("the connection closed at once".to_owned())
            }
            ExchangeFailure::Withheld(reason) => SendFailure::Withheld(reason),
            ExchangeFailure::Lost(problem) => SendFailure::Lost(problem),
        })
}

enum ExchangeFailure {
    NotSent(Box<Request<Full<Bytes>>>),
    /// The condition no longer held when the first byte was to be written.
    Withheld(WithheldReason),
    Lost(String),
}

async fn exchange(
    mut pooled: PooledConnection,
    request: Request<Full<Bytes>>,
    condition: &SendCondition,
) -> Result<(Response<Incoming>, PooledConnection), ExchangeFailure> {
    let Some(connection) = pooled.connection.as_mut() else {
        return Err(ExchangeFailure::NotSent(Box::new(request)));
    };
    if connection.sender.ready().await.is_err() {
        return Err(ExchangeFailure::NotSent(Box::new(request)));
    }
    connection.gate.set_condition(condition);
    let is_large = request.body().size_hint().lower() > SMALL_BODY_BYTES;
    if is_large {
        connection.set_user_timeout(UNREAD_TIMEOUT);
    }
    let mut error = match connection.sender.try_send_request(request).await {
        Ok(response) => {
            if is_large {
                connection.set_user_timeout(USER_TIMEOUT);
            }
            connection.gate.record_head();
            pooled.is_answered = true;
            return Ok((response, pooled));
        }
        Err(error) => error,
    };
    let unsent = error.take_message();
    Err(match (connection.gate.withheld(), unsent) {
        (Some(reason), _) => ExchangeFailure::Withheld(reason),
        (None, Some(unsent)) => ExchangeFailure::NotSent(Box::new(unsent)),
        (None, None) => ExchangeFailure::Lost(error_with_cause(&error.into_error())),
    })
}

/// Formats an error with its cause.
fn error_with_cause(error: &hyper::Error) -> String {
    let cause = std::error::Error::source(error);
    cause.map_or_else(|| error.to_string(), |cause| format!("{error}: {cause}"))
}

#[cfg(test)]
mod tests;
