//! Callers that disconnect while their request is running.

use dockgate_bench::gateway_fleet::{GatewayFleet, start_fleet, wait_until};
use dockgate_bench::standin::RoutedStandIn;
use dockgate_bench::standin::caller::{call, connect, request, text};
use http_body_util::BodyExt;
use serde_json::json;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use yare::parameterized;

#[tokio::test]
async fn request_is_cancelled_when_its_caller_disconnects() {
    let fleet = start_fleet(1, &["model", "plain"]).await;
    fleet.endpoints[0].set_processing_time(Duration::from_millis(50));
    fleet.endpoints[1].set_processing_time(Duration::from_secs(60));
    for (index, path, events) in [(0, "/live/x", Some(1_000)), (1, "/again/x", None)] {
        let mut sender = connect(fleet.gateways[0].caller_address()).await;
        let pending = tokio::spawn(async move {
            let response = sender.send_request(request(path, "r1", events)).await;
            response
                .map(|response| response.into_body().collect())?
                .await
                .map(drop)
        });
        let endpoint = &fleet.endpoints[index];
        wait_until("the endpoint runs r1", async || endpoint.running() == 1).await;
        pending.abort();
        wait_until("the endpoint stops", async || endpoint.running() == 0).await;
    }
}

/// How a caller disconnects.
#[derive(Debug, Clone, Copy)]
enum DisconnectKind {
    Close,
    Reset,
    /// Shuts down the sending side and keeps the connection.
    HalfClose,
}

impl DisconnectKind {
    async fn apply(self, mut caller: TcpStream) -> Option<TcpStream> {
        match self {
            Self::Close => None,
            Self::Reset => {
                caller.set_zero_linger().unwrap();
                None
            }
            Self::HalfClose => {
                caller.shutdown().await.unwrap();
                Some(caller)
            }
        }
    }
}

/// Returns a request as text; it is a prompt if `events` is set.
fn text_request(path: &str, id: &str, events: Option<u64>, body: &str) -> String {
    let prompt = events.map_or(String::new(), |events| {
        format!("x-model: m\r\nx-token-usage: 500,{events}\r\nx-prefix-hash: a1:400,b2:100\r\n")
    });
    format!(
        "POST {path} HTTP/1.1\r\nhost: h.example\r\nauthorization: Token k1\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 60000\r\n{prompt}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Data that a caller sends after its request while that request is running.
#[derive(Debug, Clone, Copy)]
enum PipelinedData {
    EmptyLine,
    OneRequest,
    /// More than the box reads ahead, but no more than fits in its socket buffer: the box cannot
    /// detect a close that is still queued at the caller.
    ManyRequests,
}

impl PipelinedData {
    fn text(self, path: &str, events: Option<u64>) -> String {
        let next = text_request(path, "behind", events, "hello");
        match self {
            Self::EmptyLine => "\r\n".to_owned(),
            Self::OneRequest => next,
            Self::ManyRequests => next.repeat(200),
        }
    }
}

/// Guards against missing a disconnect because data after the request is still unread: the
/// endpoint would go on running, and the pipelined request would be started.
#[parameterized(
    empty_line_close = { "/again/x", None, PipelinedData::EmptyLine, DisconnectKind::Close },
    empty_line_reset = { "/again/x", None, PipelinedData::EmptyLine, DisconnectKind::Reset },
    empty_line_half_close = { "/again/x", None, PipelinedData::EmptyLine, DisconnectKind::HalfClose },
    one_request_close = { "/again/x", None, PipelinedData::OneRequest, DisconnectKind::Close },
    one_request_half_close = { "/again/x", None, PipelinedData::OneRequest, DisconnectKind::HalfClose },
    many_requests_close = { "/again/x", None, PipelinedData::ManyRequests, DisconnectKind::Close },
    many_requests_reset = { "/again/x", None, PipelinedData::ManyRequests, DisconnectKind::Reset },
    not_repeatable = { "/once/x", None, PipelinedData::OneRequest, DisconnectKind::Close },
    stream_one_request = { "/live/x", Some(9), PipelinedData::OneRequest, DisconnectKind::Close },
    stream_empty_line = { "/live/x", Some(9), PipelinedData::EmptyLine, DisconnectKind::Reset },
)]
#[test_macro(tokio::test)]
async fn request_is_cancelled_despite_pipelined_data(
    path: &str,
    events: Option<u64>,
    pipelined: PipelinedData,
    disconnect: DisconnectKind,
) {
    let service = if events.is_some() { "model" } else { "plain" };
    let fleet = start_fleet(1, &[service, service]).await;
    for endpoint in &fleet.endpoints {
        endpoint.set_processing_time(Duration::from_secs(60));
    }
    let running = || {
        fleet
            .endpoints
            .iter()
            .map(RoutedStandIn::running)
            .sum::<i64>()
    };
    let mut caller = TcpStream::connect(fleet.gateways[0].caller_address())
        .await
        .unwrap();
    let first = text_request(path, "first", events, "hello");
    caller.write_all(first.as_bytes()).await.unwrap();
    wait_until("an endpoint runs the request", async || running() == 1).await;
    let more = pipelined.text(path, events);
    // Some of it may stay in the caller's socket buffer if the box stops reading.
    let write = caller.write_all(more.as_bytes());
    let _ = tokio::time::timeout(Duration::from_millis(300), write).await;
    let _half_closed = disconnect.apply(caller).await;
    wait_until("no endpoint runs it", async || running() == 0).await;
    // Once this is answered, the box has handled the remaining data of the closed connection.
    let other = call(&fleet.gateways[0], request("/none/x", "other", None)).await;
    assert_eq!(other.status(), 404);
    let metrics = fleet.gateways[0].metrics().await;
    let counter = format!(r#"outcome="caller_left",service="{service}"}} 1"#);
    assert!(metrics.contains(&counter), "unexpected outcome: {metrics}");
    assert_eq!(fleet.runs_of("first"), 1, "the request is not retried");
    assert_eq!(
        fleet.runs_of("behind"),
        0,
        "nothing is started for a caller that has disconnected"
    );
}

/// Adds an endpoint to the store that accepts connections and reads nothing.
async fn add_non_reading_endpoint(fleet: &GatewayFleet, receive_buffer: u32) -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(receive_buffer).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(16).unwrap();
    let value = json!({
        "service": "plain", "address": listener.local_addr().unwrap(), "zone": "a", "version": "v1",
        "capacity": 8, "state": "ready", "warmup_left_ms": 0, "sequence": 1,
    });
    let key = format!("{}unread", dockgate_platform::ENDPOINT_KEY_PREFIX);
    fleet.store.set(&key, value.to_string());
    let gateway = &fleet.gateways[0];
    wait_until("the endpoint is in use", async || {
        gateway
            .logged()
            .contains(r#""event":"endpoint_ready","endpoint":"unread""#)
    })
    .await;
    listener
}

/// Guards against a request that was still in socket buffers reaching the endpoint after its caller
/// has disconnected, as a closed connection still delivers its buffered data.
#[tokio::test]
async fn unread_request_is_discarded_when_the_caller_disconnects() {
    const RECEIVE_BUFFER: u32 = 2_048;
    // The only endpoint for plain requests is the one that reads nothing.
    let fleet = start_fleet(1, &["model"]).await;
    let listener = add_non_reading_endpoint(&fleet, RECEIVE_BUFFER).await;
    let mut caller = TcpStream::connect(fleet.gateways[0].caller_address())
        .await
        .unwrap();
    let body = "b".repeat(9_500);
    let sent = text_request("/again/x", "r1", None, &body);
    caller.write_all(sent.as_bytes()).await.unwrap();
    let (mut endpoint, _) = listener.accept().await.unwrap();
    endpoint.readable().await.unwrap();
    drop(caller);
    let gateway = &fleet.gateways[0];
    wait_until("the box notices the disconnect", async || {
        gateway.logged().contains("caller_left")
    })
    .await;
    let mut received = Vec::new();
    // The read ends with a reset or a close by the box.
    let _ = endpoint.read_to_end(&mut received).await;
    assert!(
        received.len() < body.len(),
        "the endpoint got {} bytes, the whole request",
        received.len()
    );
}

/// Guards against taking a caller that pipelines requests for one that has disconnected.
#[tokio::test]
async fn pipelining_caller_gets_all_responses() {
    let fleet = start_fleet(1, &["plain"]).await;
    fleet.endpoints[0].set_processing_time(Duration::from_millis(30));
    let mut caller = TcpStream::connect(fleet.gateways[0].caller_address())
        .await
        .unwrap();
    let requests: String = (0..20)
        .map(|number| {
            text_request(
                "/once/x",
                &format!("r{number}"),
                None,
                &format!("body {number}"),
            )
        })
        .collect();
    caller.write_all(requests.as_bytes()).await.unwrap();
    let mut responses = String::new();
    while responses.matches("HTTP/1.1 200").count() < 20 || !responses.contains("echo body 19") {
        let mut chunk = vec![0; 8_192];
        let length = caller.read(&mut chunk).await.unwrap();
        assert!(length > 0, "connection closed after {responses}");
        responses.push_str(&String::from_utf8_lossy(&chunk[..length]));
    }
    let order: Vec<usize> = (0..20)
        .map(|number| responses.find(&format!("echo body {number}")).unwrap())
        .collect();
    assert!(order.is_sorted(), "{responses}");
    let response = call(&fleet.gateways[0], request("/again/x", "r30", None)).await;
    assert_eq!(text(response).await, "echo hello");
}
