//! Connections to endpoints: kept while they are sound, bounded, and never used for two requests.

mod endpoint_io;

use super::sockets::connect;
use crate::clock::now_ms;
use crate::shared_stream::{SharedStream, StreamAbortHandle};
use bytes::Bytes;
use dockgate_core::gateway::EndpointId;
use endpoint_io::{EndpointIo, SendGate};
pub(super) use endpoint_io::{SendCondition, WithheldReason};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How long opening a connection may take: links take a millisecond, and an endpoint that is cut
/// off says nothing. Callers of plain services wait 100 ms for an answer in time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a connection may rest where the endpoint does not say; below what servers usually allow.
const REST: Duration = Duration::from_secs(4);
/// How much sooner than the endpoint a resting connection is given up: a request must not cross the
/// endpoint's close.
const REST_MARGIN: Duration = Duration::from_millis(700);

/// Where a request is sent.
#[derive(Debug, Clone)]
pub(super) struct EndpointTarget {
    /// The endpoint.
    pub(super) id: EndpointId,
    /// Its lifetime id.
    pub(super) name: String,
    /// Where it listens.
    pub(super) address: SocketAddr,
    /// How many connections this box may have to it.
    pub(super) limits: ConnectionLimits,
}

/// How many connections one box may have to one endpoint.
///
/// All boxes together may not have more than the endpoint takes. Those that rest are divided evenly;
/// those in use go where the work is: callers of a large workspace may all be at one box, and what
/// is in use is bounded by the endpoint's slots, whoever sends it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ConnectionLimits {
    /// Up to this many a connection may rest after its answer.
    resting: usize,
    /// Up to this many a connection may be opened.
    open: usize,
}

impl ConnectionLimits {
    /// The part of what an endpoint takes that boxes divide evenly: the rest is left for slots in
    /// use beyond an even part, and for boxes that are not seen.
    const EVEN_PART: f64 = 0.8;
    /// How many connections a box may use at least, in slots of the endpoint: as many as it runs
    /// and as many as wait there.
    const LEAST_SLOTS: usize = 2;

    /// Divides what an endpoint with `slots` slots takes among the boxes that live.
    pub(super) fn new(most: usize, slots: u32, live_boxes: u32) -> Self {
        let even = most as f64 * Self::EVEN_PART / f64::from(live_boxes.max(2));
        let resting = (even as usize).max(1);
        let used = (slots as usize * Self::LEAST_SLOTS).min(most);
        Self {
            resting,
            open: resting.max(used),
        }
    }
}

/// Why no head of an answer came.
#[derive(Debug)]
pub(super) enum SendFailure {
    /// Nobody listens at the endpoint's address; nothing was sent.
    Refused(String),
    /// The endpoint cannot be reached; nothing was sent.
    Unreachable(String),
    /// A connection to the endpoint did not open in time; nothing was sent.
    Silent(String),
    /// This box has as many connections there as it may; nothing was sent.
    NoConnection,
    /// It is not to be sent any more; nothing was sent.
    Withheld(WithheldReason),
    /// The request may have reached the endpoint.
    Lost(String),
}

/// A connection: how the library is given a request, and how it is kept from sending one.
struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    gate: Arc<SendGate>,
    abort: StreamAbortHandle,
}

struct RestingConnection {
    connection: OpenConnection,
    until_ms: u64,
}

#[derive(Default)]
struct EndpointPool {
    resting: Vec<RestingConnection>,
    open: usize,
}

impl EndpointPool {
    /// Closes the connections that rest; they are not open any more.
    fn close_resting(&mut self) {
        self.open = self.open.saturating_sub(self.resting.len());
        self.resting.clear();
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

    /// Closes the resting connections of endpoints that are gone.
    pub(super) fn retain(&self, kept: &[EndpointId]) {
        self.locked().retain(|id, pool| {
            let keep = kept.contains(id);
            if !keep {
                pool.close_resting();
            }
            keep || pool.open > 0
        });
    }

    /// Closes the resting connections to some endpoints: what is sent on one whose link is cut is lost.
    pub(super) fn drop_resting(&self, endpoints: &[EndpointId]) {
        let mut pools = self.locked();
        for id in endpoints {
            if let Some(pool) = pools.get_mut(id) {
                pool.close_resting();
            }
        }
    }

    /// Closes all resting connections.
    pub(super) fn drop_all_resting(&self) {
        let mut pools = self.locked();
        pools.values_mut().for_each(EndpointPool::close_resting);
    }

    /// Returns how many connections are open.
    pub(super) fn open(&self) -> usize {
        self.locked().values().map(|pool| pool.open).sum()
    }

    /// Takes the connection that rested last, as it is the least likely to be closed.
    fn take_resting(&self, id: EndpointId) -> Option<OpenConnection> {
        let mut pools = self.locked();
        let pool = pools.get_mut(&id)?;
        let now = now_ms();
        while let Some(resting) = pool.resting.pop() {
            let sound = resting.until_ms > now && !resting.connection.sender.is_closed();
            if sound {
                return Some(resting.connection);
            }
            pool.open -= 1;
        }
        None
    }

    /// Counts a connection about to be opened; returns false where there are enough.
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

    /// Keeps a connection for the next request, or closes it where there are more than may rest.
    fn rest(&self, target: PoolKey, connection: OpenConnection, until_ms: u64) {
        match self.locked().get_mut(&target.id) {
            Some(pool) if pool.open <= target.resting => {
                pool.resting.push(RestingConnection {
                    connection,
                    until_ms,
                });
            }
            Some(pool) => pool.open = pool.open.saturating_sub(1),
            None => {}
        }
    }
}

/// Which pool a connection belongs to, and how many may rest there.
#[derive(Debug, Clone, Copy)]
struct PoolKey {
    id: EndpointId,
    resting: usize,
}

impl From<&EndpointTarget> for PoolKey {
    fn from(target: &EndpointTarget) -> Self {
        Self {
            id: target.id,
            resting: target.limits.resting,
        }
    }
}

/// A connection that is in use; closes when it is dropped.
pub(super) struct UsedConnection {
    pools: Arc<EndpointPools>,
    pool: PoolKey,
    connection: Option<OpenConnection>,
    /// Whether the endpoint has begun to answer what was sent last.
    is_answered: bool,
}

impl UsedConnection {
    /// Keeps the connection for the next request, after a whole answer.
    ///
    /// `idle` is how long the endpoint says that it keeps it.
    pub(super) fn keep(mut self, idle: Option<Duration>) {
        let rest = idle.map_or(REST, |idle| idle.saturating_sub(REST_MARGIN));
        let connection = self
            .connection
            .take()
            .filter(|connection| !connection.sender.is_closed() && !rest.is_zero());
        match connection {
            Some(connection) => {
                let until_ms = now_ms() + rest.as_millis() as u64;
                self.pools.rest(self.pool, connection, until_ms);
            }
            None => self.pools.release(self.pool.id),
        }
    }
}

impl Drop for UsedConnection {
    fn drop(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        // A close delivers what the system still holds, seconds later where the endpoint reads late: of a
        // request of 9,653 bytes that was given up it got all, and none with a reset. Once it answers it
        // has the whole request, and a close is told again where it is lost on the way.
        if !self.is_answered {
            connection.abort.reset_on_close();
        }
        self.pools.release(self.pool.id);
    }
}

async fn open(
    pools: &Arc<EndpointPools>,
    target: &EndpointTarget,
) -> Result<UsedConnection, SendFailure> {
    if !pools.reserve(target) {
        return Err(SendFailure::NoConnection);
    }
    // Gives the reservation back if this future is dropped while it waits.
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
            ErrorKind::TimedOut => SendFailure::Silent(error.to_string()),
            ErrorKind::ConnectionRefused => SendFailure::Refused(error.to_string()),
            _ => unreachable(error.to_string()),
        })?;
    let gate = Arc::<SendGate>::default();
    let stream = SharedStream::new(stream);
    let abort = stream.abort_handle();
    let io = EndpointIo::new(stream, gate.clone());
    let (sender, connection) = handshake(TokioIo::new(io))
        .await
        .map_err(|error| unreachable(error.to_string()))?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to an endpoint: {error}");
        }
    });
    reservation.2 = true;
    Ok(UsedConnection {
        pools: pools.clone(),
        pool: target.into(),
        connection: Some(OpenConnection {
            sender,
            gate,
            abort,
        }),
        is_answered: false,
    })
}

/// Sends a request if the condition holds when it is written, and waits for the head of the answer.
///
/// A connection that was found closed before the request was put on it is replaced by a new one;
/// nothing else is tried again here.
///
/// # Errors
///
/// Returns a failure that says whether the request may have reached the endpoint.
pub(super) async fn send(
    pools: &Arc<EndpointPools>,
    target: &EndpointTarget,
    request: Request<Full<Bytes>>,
    condition: &SendCondition,
) -> Result<(Response<Incoming>, UsedConnection), SendFailure> {
    let mut request = request;
    while let Some(connection) = pools.take_resting(target.id) {
        let resting = UsedConnection {
            pools: pools.clone(),
            pool: target.into(),
            connection: Some(connection),
            is_answered: false,
        };
        match exchange(resting, request, condition).await {
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
    /// The condition did not hold any more when the first byte was to be written.
    Withheld(WithheldReason),
    Lost(String),
}

async fn exchange(
    mut used: UsedConnection,
    request: Request<Full<Bytes>>,
    condition: &SendCondition,
) -> Result<(Response<Incoming>, UsedConnection), ExchangeFailure> {
    let Some(connection) = used.connection.as_mut() else {
        return Err(ExchangeFailure::NotSent(Box::new(request)));
    };
    if connection.sender.ready().await.is_err() {
        return Err(ExchangeFailure::NotSent(Box::new(request)));
    }
    connection.gate.expect(condition);
    let mut error = match connection.sender.try_send_request(request).await {
        Ok(response) => {
            used.is_answered = true;
            return Ok((response, used));
        }
        Err(error) => error,
    };
    let unsent = error.take_message();
    Err(match (connection.gate.withheld(), unsent) {
        (Some(reason), _) => ExchangeFailure::Withheld(reason),
        (None, Some(unsent)) => ExchangeFailure::NotSent(Box::new(unsent)),
        (None, None) => ExchangeFailure::Lost(describe(&error.into_error())),
    })
}

/// Writes an error with its causes.
fn describe(error: &hyper::Error) -> String {
    let cause = std::error::Error::source(error);
    cause.map_or_else(|| error.to_string(), |cause| format!("{error}: {cause}"))
}

#[cfg(test)]
mod tests;
