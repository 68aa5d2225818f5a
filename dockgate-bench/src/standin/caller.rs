//! Helpers that send requests to gateways as a caller does, and read the answers.

use crate::gateway_fleet::GatewayProcess;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Connects to a gateway.
///
/// # Panics
///
/// Panics if the connection is refused.
pub async fn connect(address: SocketAddr) -> SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(address)
        .await
        .expect("the gateway accepts connections");
    let (sender, connection) = handshake(TokioIo::new(stream))
        .await
        .expect("the client handshake needs no answer");
    tokio::spawn(connection);
    sender
}

/// Connects to a gateway; returns `None` if that fails or takes too long.
pub async fn connect_within(
    address: SocketAddr,
    limit: Duration,
) -> Option<SendRequest<Full<Bytes>>> {
    let stream = tokio::time::timeout(limit, TcpStream::connect(address)).await;
    let stream = stream.ok()?.ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

/// Creates a request; `events` is the number of events if it is a stream.
///
/// # Panics
///
/// Panics if the path or the id is not valid in a request.
#[must_use]
pub fn request(path: &str, id: &str, events: Option<u64>) -> Request<Full<Bytes>> {
    request_with_body(path, id, events, Bytes::from_static(b"hello"))
}

/// Creates a request with a body; see [`request`].
///
/// # Panics
///
/// Panics if the path or the id is not valid in a request.
#[must_use]
pub fn request_with_body(
    path: &str,
    id: &str,
    events: Option<u64>,
    body: Bytes,
) -> Request<Full<Bytes>> {
    let mut builder = Request::builder()
        .method("POST")
        .uri(path)
        .header("host", "h.example")
        .header("authorization", "Token k1")
        .header("x-request-id", id)
        .header("x-tenant", "forged")
        .header("x-deadline-ms", "3000");
    if let Some(events) = events {
        builder = builder
            .header("x-model", "m")
            .header("x-token-usage", format!("500,{events}"))
            // Each request has another prefix, so that requests spread over all endpoints.
            .header(
                "x-prefix-hash",
                format!("a{}:400,b2:100", id.trim_start_matches('r')),
            );
    }
    builder
        .body(Full::new(body))
        .expect("path and id are valid")
}

/// Sends a request to a gateway.
///
/// # Panics
///
/// Panics if it is not answered.
pub async fn call(gateway: &GatewayProcess, request: Request<Full<Bytes>>) -> Response<Incoming> {
    let mut sender = connect(gateway.caller_address()).await;
    sender
        .send_request(request)
        .await
        .expect("the gateway answers")
}

/// Reads the body of an answer as text.
///
/// # Panics
///
/// Panics if the body is incomplete or not UTF-8.
pub async fn text(response: Response<Incoming>) -> String {
    let body = response.into_body().collect().await;
    let body = body.expect("the answer is complete").to_bytes();
    String::from_utf8(body.to_vec()).expect("the answer is UTF-8")
}

/// Returns the body of a complete stream.
#[must_use]
pub fn all_events(count: u64) -> String {
    (1..=count)
        .map(|id| format!("id: {id}\ndata: token {id}\n\n"))
        .collect()
}
