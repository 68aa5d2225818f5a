//! Callers that send one or more pipelined requests and disconnect before they are answered.

use super::soak_call::SoakRoute;
use crate::standin::RoutedStandIn;
use rand::RngExt;
use rand::rngs::StdRng;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time after which a caller disconnects, in milliseconds.
const DISCONNECT_MS: std::ops::Range<u64> = 1..900;
/// Pause of a caller between connections.
const PAUSE: Duration = Duration::from_millis(15);
/// Time within which a connection must open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after a disconnect within which the request may still reach an endpoint or run there, not
/// counting the scheduling lag of this process.
const CANCEL_DEADLINE: Duration = Duration::from_millis(500);
/// Interval at which the scheduling lag of this process is measured.
const LAG_INTERVAL: Duration = Duration::from_millis(10);

/// How a caller disconnects.
#[derive(Debug, Clone, Copy)]
enum DisconnectKind {
    Close,
    Reset,
    HalfClose,
}

/// A request whose caller disconnected, possibly before it was answered.
#[derive(Debug, Clone)]
pub(super) struct AbandonedCall {
    pub(super) id: String,
    pub(super) route: SoakRoute,
    /// When its caller disconnected.
    left_at: Instant,
}

/// The requests of all callers that disconnect.
#[derive(Debug, Default)]
pub(super) struct DisconnectReport {
    calls: Vec<AbandonedCall>,
    /// Maximum scheduling lag of this process, which delays the records of the endpoints.
    own_lag: Duration,
}

impl DisconnectReport {
    /// Adds requests.
    pub(super) fn extend(&mut self, calls: Vec<AbandonedCall>) {
        self.calls.extend(calls);
    }

    /// Sets the maximum scheduling lag of this process.
    pub(super) const fn set_own_lag(&mut self, lag: Duration) {
        self.own_lag = lag;
    }

    /// Returns the maximum scheduling lag of this process.
    pub(super) const fn own_lag(&self) -> Duration {
        self.own_lag
    }

    /// Returns all requests.
    pub(super) fn calls(&self) -> &[AbandonedCall] {
        &self.calls
    }

    /// Lists requests that reached endpoints, or still ran there, too long after their callers
    /// disconnected. Runs are checked only outside the `slow` periods of boxes.
    pub(super) fn late_work(
        &self,
        endpoints: &[&RoutedStandIn],
        slow: &[(Instant, Instant)],
    ) -> Vec<String> {
        let left_at: HashMap<&str, Instant> = self
            .calls
            .iter()
            .map(|call| (call.id.as_str(), call.left_at))
            .collect();
        let bound = CANCEL_DEADLINE + self.own_lag;
        let mut found = Vec::new();
        for endpoint in endpoints {
            for run in endpoint.ran() {
                let Some(left_at) = left_at.get(run.id.as_str()) else {
                    continue;
                };
                if run.at > *left_at + bound {
                    let after = run.at - *left_at;
                    found.push(format!(
                        "{}: reached {} {after:?} after its caller disconnected",
                        run.id, endpoint.id
                    ));
                }
            }
            for end in endpoint.ended() {
                let Some(left_at) = left_at.get(end.id.as_str()) else {
                    continue;
                };
                let is_slow = slow
                    .iter()
                    .any(|(from, until)| *from < end.at && *until + CANCEL_DEADLINE > *left_at);
                if end.at > *left_at + bound && !is_slow {
                    let after = end.at - *left_at;
                    found.push(format!(
                        "{}: ran on {} for {after:?} after its caller disconnected",
                        end.id, endpoint.id
                    ));
                }
            }
        }
        found
    }
}

/// Measures the maximum scheduling lag of this process until `stop` is set.
pub(super) async fn measure_own_lag(stop: Arc<AtomicBool>) -> Duration {
    let max_us = AtomicU64::new(0);
    while !stop.load(Ordering::Acquire) {
        let due = Instant::now() + LAG_INTERVAL;
        tokio::time::sleep_until(due.into()).await;
        max_us.fetch_max(due.elapsed().as_micros() as u64, Ordering::Relaxed);
    }
    Duration::from_micros(max_us.into_inner())
}

fn request_text(route: SoakRoute, id: &str) -> String {
    let stream_headers = match route.streams() {
        true => "x-model: m\r\nx-token-usage: 500,12\r\nx-prefix-hash: a1:500\r\n",
        false => "",
    };
    format!(
        "POST {} HTTP/1.1\r\nhost: h.example\r\nauthorization: Token k1\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 3000\r\n{stream_headers}content-length: 5\r\n\r\nhello",
        route.path()
    )
}

/// Opens connections, sends requests and disconnects until `stop` is set.
pub(super) async fn run_disconnecting_caller(
    number: u64,
    mut rng: StdRng,
    gateways: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
) -> Vec<AbandonedCall> {
    let mut calls = Vec::new();
    let mut count = 0;
    while !stop.load(Ordering::Acquire) {
        tokio::time::sleep(PAUSE).await;
        let gateway = gateways[rng.random_range(0..gateways.len())];
        let Ok(Ok(stream)) =
            tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(gateway)).await
        else {
            continue;
        };
        let ids = (0..rng.random_range(1..4)).map(|_| {
            count += 1;
            format!("l{number}a{count}")
        });
        calls.extend(send_and_disconnect(stream, ids.collect(), &mut rng).await);
    }
    calls
}

/// Sends requests on one connection and disconnects after a while; returns the requests.
async fn send_and_disconnect(
    mut stream: TcpStream,
    ids: Vec<String>,
    rng: &mut StdRng,
) -> Vec<AbandonedCall> {
    let routes = [SoakRoute::Again, SoakRoute::Live];
    let sent: Vec<(String, SoakRoute)> = ids
        .into_iter()
        .map(|id| (id, routes[rng.random_range(0..routes.len())]))
        .collect();
    let mut text: String = sent
        .iter()
        .map(|(id, route)| request_text(*route, id))
        .collect();
    if rng.random_bool(0.3) {
        text.push_str("\r\n");
    }
    let delay = Duration::from_millis(rng.random_range(DISCONNECT_MS));
    let disconnect = match rng.random_range(0..3) {
        0 => DisconnectKind::Close,
        1 => DisconnectKind::Reset,
        _ => DisconnectKind::HalfClose,
    };
    // The caller disconnects even if the gateway has closed the connection.
    let _ = stream.write_all(text.as_bytes()).await;
    let read = async {
        let mut bytes = vec![0; 4_096];
        while matches!(stream.read(&mut bytes).await, Ok(length) if length > 0) {}
    };
    let _ = tokio::time::timeout(delay, read).await;
    let left_at = Instant::now();
    match disconnect {
        DisconnectKind::Close => drop(stream),
        DisconnectKind::Reset => {
            let _ = stream.set_zero_linger();
            drop(stream);
        }
        DisconnectKind::HalfClose => {
            let _ = stream.shutdown().await;
            // A half-closed connection counts as a disconnect, too.
            tokio::time::sleep(CANCEL_DEADLINE).await;
        }
    }
    let calls = sent
        .into_iter()
        .map(|(id, route)| AbandonedCall { id, route, left_at });
    calls.collect()
}
