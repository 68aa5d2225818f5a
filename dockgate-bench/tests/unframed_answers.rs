//! Answers of endpoints that have neither a length nor chunks and end with their connection.

use dockgate_bench::gateway_fleet::{GatewayFleet, start_fleet, wait_until};
use dockgate_bench::standin::caller::{all_events, call, request, text};
use http::StatusCode;
use http_body_util::BodyExt;
use serde_json::json;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use yare::parameterized;

/// Time in which the box reads what an endpoint has sent, before the connection ends.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// How an endpoint ends the connection of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    Close,
    Reset,
}

/// The bytes with which an endpoint answers a request.
#[derive(Debug, Clone)]
struct RawAnswer {
    version: &'static str,
    headers: &'static str,
    body: String,
    end: ConnectionEnd,
}

impl RawAnswer {
    fn new(body: impl Into<String>, end: ConnectionEnd) -> Self {
        Self {
            version: "HTTP/1.1",
            headers: "",
            body: body.into(),
            end,
        }
    }
}

/// A request that an endpoint received.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RawRequest {
    id: String,
    last_event: Option<String>,
}

/// Endpoints that give the same list of answers, in the order in which requests arrive at any.
#[derive(Debug, Clone, Default)]
struct RawEndpoints {
    answers: Arc<Mutex<VecDeque<RawAnswer>>>,
    received: Arc<Mutex<Vec<RawRequest>>>,
}

impl RawEndpoints {
    fn new(answers: impl IntoIterator<Item = RawAnswer>) -> Self {
        let answers = answers.into_iter().collect();
        Self {
            answers: Arc::new(Mutex::new(answers)),
            ..Self::default()
        }
    }

    fn received(&self) -> Vec<RawRequest> {
        self.received.lock().unwrap().clone()
    }

    /// Starts an endpoint of a service and waits until the box uses it.
    async fn add_to(&self, fleet: &GatewayFleet, name: &str, service: &str) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
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
        self.received.lock().unwrap().push(request);
        let answer = self.answers.lock().unwrap().pop_front();
        let Some(answer) = answer else { return };
        let RawAnswer {
            version,
            headers,
            body,
            end,
        } = answer;
        let text = format!(
            "{version} 200 OK\r\nx-request-id: {id}\r\nx-upstream-signature: p\r\n{headers}\r\n{body}"
        );
        stream.write_all(text.as_bytes()).await.unwrap();
        tokio::time::sleep(READ_PAUSE).await;
        if end == ConnectionEnd::Reset {
            stream.set_zero_linger().unwrap();
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

async fn start_with(service: &str, endpoints: &RawEndpoints) -> GatewayFleet {
    // The store holds no endpoint of the service beside the raw ones.
    let other = if service == "plain" { "model" } else { "plain" };
    let fleet = start_fleet(1, &[other]).await;
    for name in ["raw-0", "raw-1"] {
        endpoints.add_to(&fleet, name, service).await;
    }
    fleet
}

/// Guards against dropping a whole answer, or sending a request on a connection that ends.
#[parameterized(
    bare = { "HTTP/1.1", "" },
    keep_alive = { "HTTP/1.1", "connection: keep-alive\r\nkeep-alive: timeout=30\r\n" },
    close = { "HTTP/1.1", "connection: close\r\n" },
    old_version = { "HTTP/1.0", "" },
    old_version_keep_alive = { "HTTP/1.0", "connection: keep-alive\r\n" },
    old_version_with_length = { "HTTP/1.0", "content-length: 5\r\n" },
)]
#[test_macro(tokio::test)]
async fn answers_that_end_with_their_connection_are_forwarded(
    version: &'static str,
    headers: &'static str,
) {
    let answer = RawAnswer {
        version,
        headers,
        ..RawAnswer::new("whole", ConnectionEnd::Close)
    };
    let endpoints = RawEndpoints::new(vec![answer; 5]);
    let fleet = start_with("plain", &endpoints).await;
    for number in 0..5 {
        let id = format!("r{number}");
        let response = call(&fleet.gateways[0], request("/once/x", &id, None)).await;
        assert_eq!(response.status(), StatusCode::OK);
        assert_eq!(text(response).await, "whole");
    }
    assert_eq!(endpoints.received().len(), 5);
}

/// Guards against an answer that was reset on the way and looks complete.
#[parameterized(
    in_the_body = { "HTTP/1.1", "", "hal" },
    before_the_body = { "HTTP/1.1", "", "" },
    keep_alive = { "HTTP/1.1", "connection: keep-alive\r\n", "hal" },
    old_version = { "HTTP/1.0", "", "hal" },
)]
#[test_macro(tokio::test)]
async fn reset_answers_are_not_forwarded(
    version: &'static str,
    headers: &'static str,
    body: &'static str,
) {
    let reset = RawAnswer {
        version,
        headers,
        ..RawAnswer::new(body, ConnectionEnd::Reset)
    };
    let whole = RawAnswer::new("whole", ConnectionEnd::Close);
    let endpoints = RawEndpoints::new([reset.clone(), reset, whole]);
    let fleet = start_with("plain", &endpoints).await;
    let once = call(&fleet.gateways[0], request("/once/x", "r1", None)).await;
    assert_eq!(once.status(), StatusCode::BAD_GATEWAY);
    let repeated = call(&fleet.gateways[0], request("/again/x", "r2", None)).await;
    assert_eq!(repeated.status(), StatusCode::OK);
    assert_eq!(text(repeated).await, "whole");
}

const EVENTS: u64 = 4;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

/// Guards against a whole stream that is taken for a broken one, or ends without its last events.
#[parameterized(
    resumable = { "/live/x" },
    not_resumable = { "/draft/x" },
)]
#[test_macro(tokio::test)]
async fn streams_that_end_with_their_connection_are_forwarded(path: &str) {
    let answer = RawAnswer::new(all_events(EVENTS), ConnectionEnd::Close);
    let endpoints = RawEndpoints::new(vec![answer; 5]);
    let fleet = start_with("model", &endpoints).await;
    for number in 0..5 {
        let id = format!("r{number}");
        let response = call(&fleet.gateways[0], request(path, &id, Some(EVENTS))).await;
        assert_eq!(text(response).await, all_events(EVENTS));
    }
    assert_eq!(endpoints.received().len(), 5);
}

/// Guards against a stream that broke off and is ended as complete, or goes on in a broken event.
#[parameterized(
    closed_in_an_event = { 2, "id: 3\ndata: to", ConnectionEnd::Close },
    closed_before_the_empty_line = { 2, "id: 3\ndata: token 3\n", ConnectionEnd::Close },
    closed_in_the_first_event = { 0, "id: 1\nda", ConnectionEnd::Close },
    closed_before_the_first_event = { 0, "", ConnectionEnd::Close },
    reset_in_an_event = { 2, "id: 3\nda", ConnectionEnd::Reset },
    reset_between_events = { 2, "", ConnectionEnd::Reset },
    reset_before_the_first_event = { 0, "", ConnectionEnd::Reset },
)]
#[test_macro(tokio::test)]
async fn broken_streams_are_resumed(events: u64, rest: &str, end: ConnectionEnd) {
    let broken = RawAnswer::new(all_events(events) + rest, end);
    let remaining: String = (events + 1..=EVENTS).map(event).collect();
    let endpoints = RawEndpoints::new([broken, RawAnswer::new(remaining, ConnectionEnd::Close)]);
    let fleet = start_with("model", &endpoints).await;
    let response = call(&fleet.gateways[0], request("/live/x", "r1", Some(EVENTS))).await;
    assert_eq!(text(response).await, all_events(EVENTS));
    let resumed_after = (events > 0).then(|| events.to_string());
    let sent: Vec<_> = endpoints
        .received()
        .into_iter()
        .map(|request| request.last_event)
        .collect();
    assert_eq!(sent, [None, resumed_after]);
}

/// Guards against passing on half an event, or ending a stream as complete, where none may go on.
#[parameterized(
    closed_in_an_event = { "id: 3\ndata: to", ConnectionEnd::Close },
    reset_in_an_event = { "id: 3\nda", ConnectionEnd::Reset },
    reset_between_events = { "", ConnectionEnd::Reset },
)]
#[test_macro(tokio::test)]
async fn broken_streams_that_may_not_be_resumed_end_incomplete(rest: &str, end: ConnectionEnd) {
    let endpoints = RawEndpoints::new([RawAnswer::new(all_events(2) + rest, end)]);
    let fleet = start_with("model", &endpoints).await;
    let response = call(&fleet.gateways[0], request("/draft/x", "r1", Some(EVENTS))).await;
    assert_eq!(response.status(), StatusCode::OK);
    let mut body = response.into_body();
    let mut received = Vec::new();
    let broken = loop {
        match body.frame().await {
            Some(Ok(frame)) => received.extend_from_slice(&frame.into_data().unwrap()),
            Some(Err(_)) => break true,
            None => break false,
        }
    };
    assert_eq!(String::from_utf8(received).unwrap(), all_events(2));
    assert!(broken, "the answer looks complete");
    assert_eq!(endpoints.received().len(), 1);
}

/// Guards against an answer without any event that looks complete.
#[parameterized(
    closed_before_the_first_event = { "", ConnectionEnd::Close },
    closed_in_the_first_event = { "id: 1\nda", ConnectionEnd::Close },
    reset_before_the_first_event = { "", ConnectionEnd::Reset },
)]
#[test_macro(tokio::test)]
async fn streams_that_break_off_before_their_first_event_are_failures(
    body: &str,
    end: ConnectionEnd,
) {
    let endpoints = RawEndpoints::new([RawAnswer::new(body, end)]);
    let fleet = start_with("model", &endpoints).await;
    let response = call(&fleet.gateways[0], request("/draft/x", "r1", Some(EVENTS))).await;
    assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
    assert_eq!(endpoints.received().len(), 1);
}

/// Guards against a broken answer that a caller of HTTP/1.0 takes for complete, since it gets no
/// chunks either.
#[tokio::test]
async fn broken_streams_are_reset_at_callers_without_chunks() {
    let broken = RawAnswer::new(all_events(2) + "id: 3\nda", ConnectionEnd::Close);
    let endpoints = RawEndpoints::new([broken]);
    let fleet = start_with("model", &endpoints).await;
    let mut caller = TcpStream::connect(fleet.gateways[0].caller_address())
        .await
        .unwrap();
    let request = "POST /draft/x HTTP/1.0\r\nhost: h.example\r\nauthorization: Token k1\r\n\
                   x-request-id: r1\r\nx-deadline-ms: 3000\r\nx-model: m\r\nx-token-usage: 500,4\r\n\
                   x-prefix-hash: a1:400,b2:100\r\ncontent-length: 0\r\n\r\n";
    caller.write_all(request.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    let end = caller.read_to_end(&mut received).await;
    let received = String::from_utf8(received).unwrap();
    assert!(received.ends_with(&event(2)), "{received}");
    assert!(end.is_err(), "the answer looks complete: {received}");
}
