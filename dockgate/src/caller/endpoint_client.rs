//! HTTP client for model engines and plain services.

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::error::Error as _;
use std::time::Duration;

/// How long an idle connection to an endpoint is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The failure of a call before the response head.
#[derive(Debug)]
pub(super) enum CallFailure {
    /// No byte of the request was sent.
    NotSent(String),
    /// The request may have reached the endpoint.
    Lost(String),
}

/// A pooling HTTP client that never retries by itself.
#[derive(Debug, Clone)]
pub(super) struct EndpointClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl EndpointClient {
    pub(super) fn new(connect_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            // Only the request runner knows whether a request may be sent again.
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns whether the request may have reached the endpoint, with the cause.
    pub(super) async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallFailure> {
        self.client.request(request).await.map_err(|error| {
            let message = error_chain(&error);
            match error.is_connect() || was_never_sent(&error) {
                true => CallFailure::NotSent(message),
                false => CallFailure::Lost(message),
            }
        })
    }
}

/// Returns whether the connection was closed before the request was written to it.
fn was_never_sent(error: &Error) -> bool {
    let source = error.source();
    source
        .and_then(|source| source.downcast_ref::<hyper::Error>())
        .is_some_and(hyper::Error::is_canceled)
}

/// Formats an error with its causes.
fn error_chain(error: &Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
