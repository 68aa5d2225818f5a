//! JSON-RPC listener that authenticates each request by its headers before reading its body.

use crate::logging::{LogEvent, log_event};
use crate::metrics::METRICS;
use futures::FutureExt;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use jsonrpsee::Methods;
use jsonrpsee::core::BoxError;
use jsonrpsee::server::{HttpBody, HttpRequest, Server, StopHandle, serve_with_graceful_shutdown};
use std::net::SocketAddr;
use std::sync::Arc;
use subtle::ConstantTimeEq;
use tokio::net::{TcpListener, TcpStream};
use tower::Service;

/// Upper bound of a message, in bytes; a complete configuration fits.
const MAX_MESSAGE_BYTES: u32 = 64 << 20;
/// The maximum number of concurrent connections.
const MAX_CONNECTIONS: u32 = 4_096;

/// A JSON-RPC listener with a guard that authenticates requests.
///
/// The guard may add the identity of the sender to the extensions of the request.
pub(crate) struct RpcListener<G> {
    /// The name, for logs.
    pub(crate) name: &'static str,
    /// The methods that it serves.
    pub(crate) methods: Methods,
    /// Accepts a request by its headers, or returns the reason for rejecting it.
    pub(crate) guard: G,
}

impl<G> RpcListener<G>
where
    G: Fn(&HeaderMap) -> Result<http::Extensions, &'static str> + Send + Sync + 'static,
{
    /// Serves connections until the stop handle is triggered.
    pub(crate) async fn serve(self, listener: TcpListener, stop: StopHandle) {
        let this = Arc::new(self);
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = stop.clone().shutdown() => return,
            };
            match accepted {
                Ok((stream, peer)) => this.clone().serve_connection(stream, peer, stop.clone()),
                Err(error) => log::warn!("{}: accept failed: {error}", this.name),
            }
        }
    }

    fn serve_connection(self: Arc<Self>, stream: TcpStream, peer: SocketAddr, stop: StopHandle) {
        // Without TCP_NODELAY, small messages would be delayed.
        let _ = stream.set_nodelay(true);
        let builder = Server::builder()
            .set_config(
                jsonrpsee::server::ServerConfig::builder()
                    .max_request_body_size(MAX_MESSAGE_BYTES)
                    .max_response_body_size(MAX_MESSAGE_BYTES)
                    .max_connections(MAX_CONNECTIONS)
                    .build(),
            )
            .to_service_builder();
        let service_stop = stop.clone();
        let service = tower::service_fn(move |mut request: HttpRequest<hyper::body::Incoming>| {
            let authenticated = (self.guard)(request.headers());
            let mut service = builder
                .clone()
                .build(self.methods.clone(), service_stop.clone());
            let name = self.name;
            async move {
                match authenticated {
                    Ok(extensions) => {
                        request.extensions_mut().extend(extensions);
                        service.call(request).await
                    }
                    Err(reason) => Ok::<_, BoxError>(reject(name, peer, reason)),
                }
            }
        });
        let served = serve_with_graceful_shutdown(stream, service, stop.shutdown());
        tokio::spawn(served.map(move |result| {
            if let Err(error) = result {
                log::debug!("connection of {peer} failed: {error}");
            }
        }));
    }
}

fn reject(listener: &'static str, peer: SocketAddr, reason: &'static str) -> Response<HttpBody> {
    METRICS.rejected.with_label_values(&[listener]).inc();
    log_event(&LogEvent::TurnedAway {
        door: listener,
        peer: peer.to_string(),
        reason,
    });
    let mut response = Response::new(HttpBody::from(format!("{reason}\n")));
    *response.status_mut() = StatusCode::UNAUTHORIZED;
    let challenge = HeaderValue::from_static("Bearer");
    response
        .headers_mut()
        .insert(header::WWW_AUTHENTICATE, challenge);
    response
}

/// Returns the bearer token of a request.
pub(crate) fn bearer_of(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

/// Returns whether the bearer token of a request equals a secret, in constant time.
pub(crate) fn has_secret(headers: &HeaderMap, secret: &str) -> bool {
    bearer_of(headers).is_some_and(|token| token.as_bytes().ct_eq(secret.as_bytes()).into())
}

#[cfg(test)]
mod tests;
