//! Endpoints that answer with given bytes, whether or not they are an answer.

use crate::gateway_fleet::{GatewayFleet, start_fleet, wait_until};
use serde_json::json;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time in which a box reads what an endpoint has sent, before it sends more or the connection ends.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// How an endpoint ends the connection of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// It closes the connection.
    Close,
    /// It resets the connection.
    Reset,
}

/// The bytes with which an endpoint answers a request.
#[derive(Debug, Clone)]
pub struct RawAnswer {
    /// The version in the first line.
    pub version: &'static str,
    /// Lines of the head beside those of the id and the proof.
    pub headers: &'static str,
    /// The status and its reason.
    pub status: String,
    /// The body, in parts that a box reads one by one.
    pub body: Vec<Vec<u8>>,
    /// How the connection ends.
    pub end: ConnectionEnd,
    /// The number of bytes from the start of the head after which it ends, if that is not its end.
    pub cut_after: Option<usize>,
}

impl RawAnswer {
    /// Creates an answer whose body has neither a length nor chunks and is sent at once.
    pub fn new(body: impl Into<String>, end: ConnectionEnd) -> Self {
        Self::in_parts([body.into().into_bytes()], end)
    }

    /// Creates an answer whose body has neither a length nor chunks and is sent in parts.
    pub fn in_parts(body: impl IntoIterator<Item = Vec<u8>>, end: ConnectionEnd) -> Self {
        Self {
            version: "HTTP/1.1",
            headers: "",
            status: "200 OK".to_owned(),
            body: body.into_iter().collect(),
            end,
            cut_after: None,
        }
    }
}

/// A request that an endpoint received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawRequest {
    /// The id of the request.
    pub id: String,
    /// The event after which a stream is to be continued.
    pub last_event: Option<String>,
}

/// Endpoints that give the same list of answers, in the order in which requests arrive at any.
#[derive(Debug, Clone, Default)]
pub struct RawEndpoints {
    answers: Arc<Mutex<VecDeque<RawAnswer>>>,
    received: Arc<Mutex<Vec<RawRequest>>>,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RawEndpoints {
    /// Creates endpoints with a list of answers; further requests are not answered.
    pub fn new(answers: impl IntoIterator<Item = RawAnswer>) -> Self {
        let answers = answers.into_iter().collect();
        Self {
            answers: Arc::new(Mutex::new(answers)),
            ..Self::default()
        }
    }

    /// Returns the requests received so far.
    #[must_use]
    pub fn received(&self) -> Vec<RawRequest> {
        locked(&self.received).clone()
    }

    /// Starts a box, and two of the endpoints, which are the only ones of a service.
    ///
    /// # Panics
    ///
    /// Panics if the box does not use the endpoints in time.
    pub async fn start_with_box(&self, service: &str) -> GatewayFleet {
        let other = if service == "plain" { "model" } else { "plain" };
        let fleet = start_fleet(1, &[other]).await;
        for name in ["raw-0", "raw-1"] {
            self.add_to(&fleet, name, service).await;
        }
        fleet
    }

    /// Starts an endpoint of a service and waits until the box uses it.
    async fn add_to(&self, fleet: &GatewayFleet, name: &str, service: &str) {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("loopback addresses are available");
        let address = listener.local_addr().expect("the listener is bound");
        let endpoints = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(endpoints.clone().serve(stream));
            }
        });
        add_record(fleet, name, service, address).await;
    }

    async fn serve(self, mut stream: TcpStream) {
        let Some(head) = read_request(&mut stream).await else {
            return;
        };
        let id = header_of(&head, "x-request-id").unwrap_or_default();
        let last_event = header_of(&head, "last-event-id");
        let request = RawRequest {
            id: id.clone(),
            last_event,
        };
        locked(&self.received).push(request);
        let answer = locked(&self.answers).pop_front();
        let Some(answer) = answer else { return };
        let RawAnswer {
            version,
            headers,
            status,
            body,
            end,
            cut_after,
        } = answer;
        let head = format!(
            "{version} {status}\r\nx-request-id: {id}\r\nx-upstream-signature: p\r\n{headers}\r\n"
        );
        let mut bytes = head.into_bytes();
        let mut parts = body.into_iter();
        bytes.extend(parts.next().unwrap_or_default());
        bytes.truncate(cut_after.unwrap_or(usize::MAX));
        // The box may have closed the connection of an answer that it rejects.
        let mut sent = stream.write_all(&bytes).await;
        for part in parts {
            tokio::time::sleep(READ_PAUSE).await;
            sent = sent.and(stream.write_all(&part).await);
        }
        tokio::time::sleep(READ_PAUSE).await;
        if sent.is_ok() && end == ConnectionEnd::Reset {
            drop(stream.set_zero_linger());
        }
    }
}

/// Reads a request with its body, and returns its head in lower case.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = header_of(head, "content-length").unwrap_or_default();
            if body.len() >= length.parse().unwrap_or(0) {
                return Some(head.to_owned());
            }
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

fn header_of(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.find_map(|(key, value)| (key == name).then(|| value.trim().to_owned()))
}

/// Adds the record of an endpoint to the store and waits until the box uses it.
async fn add_record(fleet: &GatewayFleet, name: &str, service: &str, address: SocketAddr) {
    let value = json!({
        "service": service, "address": address, "zone": "a", "version": "v1", "capacity": 8,
        "state": "ready", "warmup_left_ms": 0, "sequence": 1,
    });
    let key = format!("{}{name}", dockgate_platform::ENDPOINT_KEY_PREFIX);
    fleet.store.set(&key, value.to_string());
    let line = format!(r#""event":"endpoint_ready","endpoint":"{name}""#);
    wait_until("the endpoint is in use", async || {
        fleet.gateways[0].logged().contains(&line)
    })
    .await;
}
