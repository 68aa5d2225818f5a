//! A stand-in of a caller that leaves: it sends a request, often more behind it, and goes before its answer is
//! whole.

use super::caller_standin::SoakRoute;
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

/// How long a caller stays, in milliseconds: from before its request is decided on to well after its answer.
const STAYS_MS: std::ops::Range<u64> = 1..900;
/// How long a caller rests before it comes again.
const REST: Duration = Duration::from_millis(15);
/// How long a connection may take to open.
const CONNECT: Duration = Duration::from_secs(1);
/// How long after its caller has left a request may still reach an endpoint, or be worked on there: what was
/// on its way, beside the time for which this process itself was late.
const LEAVE_BOUND: Duration = Duration::from_millis(500);
/// How often it is measured how late this process is.
const LAG_SAMPLE: Duration = Duration::from_millis(10);

/// How a caller leaves.
#[derive(Debug, Clone, Copy)]
enum Leaving {
    Closes,
    Resets,
    EndsSending,
}

/// A request whose caller left before it was answered.
#[derive(Debug, Clone)]
pub(super) struct LeftCall {
    pub(super) id: String,
    pub(super) route: SoakRoute,
    /// When its caller left.
    left: Instant,
}

/// What callers that leave saw of themselves.
#[derive(Debug, Default)]
pub(super) struct LeavingSeen {
    calls: Vec<LeftCall>,
    /// For how long this process was late at most: so much later it sees what endpoints got.
    own_lag: Duration,
}

impl LeavingSeen {
    /// Adds what one caller saw.
    pub(super) fn extend(&mut self, calls: Vec<LeftCall>) {
        self.calls.extend(calls);
    }

    /// Notes for how long this process was late at most.
    pub(super) const fn note_own_lag(&mut self, lag: Duration) {
        self.own_lag = lag;
    }

    /// Returns the requests.
    pub(super) fn calls(&self) -> &[LeftCall] {
        &self.calls
    }

    /// Lists what reached endpoints, or went on there, too long after its caller had left; work is looked at
    /// where no box was `slow` meanwhile.
    pub(super) fn outlived(
        &self,
        endpoints: &[&RoutedStandIn],
        slow: &[(Instant, Instant)],
    ) -> Vec<String> {
        let left: HashMap<&str, Instant> = self
            .calls
            .iter()
            .map(|call| (call.id.as_str(), call.left))
            .collect();
        let bound = LEAVE_BOUND + self.own_lag;
        let mut found = Vec::new();
        for endpoint in endpoints {
            for run in endpoint.ran() {
                let Some(left) = left.get(run.id.as_str()) else {
                    continue;
                };
                if run.at > *left + bound {
                    let after = run.at - *left;
                    found.push(format!(
                        "{}: reached {} {after:?} after its caller had left",
                        run.id, endpoint.id
                    ));
                }
            }
            for end in endpoint.ended() {
                let Some(left) = left.get(end.id.as_str()) else {
                    continue;
                };
                let is_slow = slow
                    .iter()
                    .any(|(from, until)| *from < end.at && *until + LEAVE_BOUND > *left);
                if end.at > *left + bound && !is_slow {
                    let after = end.at - *left;
                    found.push(format!(
                        "{}: {} worked on for {after:?} after its caller had left",
                        end.id, endpoint.id
                    ));
                }
            }
        }
        found
    }
}

/// Measures for how long this process is late at most, until all is over.
pub(super) async fn measure_own_lag(over: Arc<AtomicBool>) -> Duration {
    let most_us = AtomicU64::new(0);
    while !over.load(Ordering::Acquire) {
        let due = Instant::now() + LAG_SAMPLE;
        tokio::time::sleep_until(due.into()).await;
        most_us.fetch_max(due.elapsed().as_micros() as u64, Ordering::Relaxed);
    }
    Duration::from_micros(most_us.into_inner())
}

fn request_text(route: SoakRoute, id: &str) -> String {
    let prompt = match route.streams() {
        true => "x-model: m\r\nx-token-usage: 500,12\r\nx-prefix-hash: a1:500\r\n",
        false => "",
    };
    format!(
        "POST {} HTTP/1.1\r\nhost: h.example\r\nauthorization: Token k1\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 3000\r\n{prompt}content-length: 5\r\n\r\nhello",
        route.path()
    )
}

/// Makes requests and leaves, until all is over.
pub(super) async fn keep_leaving(
    number: u64,
    mut draw: StdRng,
    gateways: Vec<SocketAddr>,
    over: Arc<AtomicBool>,
) -> Vec<LeftCall> {
    let mut calls = Vec::new();
    let mut count = 0;
    while !over.load(Ordering::Acquire) {
        tokio::time::sleep(REST).await;
        let gateway = gateways[draw.random_range(0..gateways.len())];
        let Ok(Ok(stream)) = tokio::time::timeout(CONNECT, TcpStream::connect(gateway)).await
        else {
            continue;
        };
        let ids = (0..draw.random_range(1..4)).map(|_| {
            count += 1;
            format!("l{number}a{count}")
        });
        calls.extend(visit(stream, ids.collect(), &mut draw).await);
    }
    calls
}

/// Sends some requests on one connection, stays for a while, and leaves; returns those that may be unanswered.
async fn visit(mut stream: TcpStream, ids: Vec<String>, draw: &mut StdRng) -> Vec<LeftCall> {
    let routes = [SoakRoute::Again, SoakRoute::Live];
    let sent: Vec<(String, SoakRoute)> = ids
        .into_iter()
        .map(|id| (id, routes[draw.random_range(0..routes.len())]))
        .collect();
    let mut text: String = sent
        .iter()
        .map(|(id, route)| request_text(*route, id))
        .collect();
    if draw.random_bool(0.3) {
        text.push_str("\r\n");
    }
    let stays = Duration::from_millis(draw.random_range(STAYS_MS));
    let leaving = match draw.random_range(0..3) {
        0 => Leaving::Closes,
        1 => Leaving::Resets,
        _ => Leaving::EndsSending,
    };
    // One that cannot be written to has gone by itself: whatever comes of the request, its caller leaves now.
    let _ = stream.write_all(text.as_bytes()).await;
    let read = async {
        let mut bytes = vec![0; 4_096];
        while matches!(stream.read(&mut bytes).await, Ok(length) if length > 0) {}
    };
    let _ = tokio::time::timeout(stays, read).await;
    let left = Instant::now();
    match leaving {
        Leaving::Closes => drop(stream),
        Leaving::Resets => {
            let _ = stream.set_zero_linger();
            drop(stream);
        }
        Leaving::EndsSending => {
            let _ = stream.shutdown().await;
            // It stays a while without a word: that is leaving as well.
            tokio::time::sleep(LEAVE_BOUND).await;
        }
    }
    let calls = sent
        .into_iter()
        .map(|(id, route)| LeftCall { id, route, left });
    calls.collect()
}
