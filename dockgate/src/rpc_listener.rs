//! A door for JSON-RPC: who may enter is decided on the headers, before anything is read.

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

/// The largest message taken in, in bytes: a whole configuration fits.
const MOST_BYTES: u32 = 64 << 20;
/// Connections at once.
const MOST_CONNECTIONS: u32 = 4_096;

/// A door and the guard that decides who enters; the guard leaves what it learned in the request.
pub(crate) struct RpcListener<G> {
    /// The name, for logs.
    pub(crate) name: &'static str,
    /// What stands behind.
    pub(crate) methods: Methods,
    /// Decides on the headers; an error is the reason for turning away.
    pub(crate) guard: G,
}

impl<G> RpcListener<G>
where
    G: Fn(&HeaderMap) -> Result<http::Extensions, &'static str> + Send + Sync + 'static,
{
    /// Serves until the process ends.
    pub(crate) async fn serve(self, listener: TcpListener, stop: StopHandle) {
        let door = Arc::new(self);
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = stop.clone().shutdown() => return,
            };
            match accepted {
                Ok((stream, peer)) => door.clone().enter(stream, peer, stop.clone()),
                Err(error) => log::warn!("{}: accept: {error}", door.name),
            }
        }
    }

    fn enter(self: Arc<Self>, stream: TcpStream, peer: SocketAddr, stop: StopHandle) {
        // Small messages must not wait for each other.
        let _ = stream.set_nodelay(true);
        let builder = Server::builder()
            .set_config(
                jsonrpsee::server::ServerConfig::builder()
                    .max_request_body_size(MOST_BYTES)
                    .max_response_body_size(MOST_BYTES)
                    .max_connections(MOST_CONNECTIONS)
                    .build(),
            )
            .to_service_builder();
        let service_stop = stop.clone();
        let service = tower::service_fn(move |mut request: HttpRequest<hyper::body::Incoming>| {
            let entered = (self.guard)(request.headers());
            let mut service = builder
                .clone()
                .build(self.methods.clone(), service_stop.clone());
            let name = self.name;
            async move {
                match entered {
                    Ok(extensions) => {
                        request.extensions_mut().extend(extensions);
                        service.call(request).await
                    }
                    Err(reason) => Ok::<_, BoxError>(turn_away(name, peer, reason)),
                }
            }
        });
        let served = serve_with_graceful_shutdown(stream, service, stop.shutdown());
        tokio::spawn(served.map(move |ended| {
            if let Err(error) = ended {
                log::debug!("connection of {peer}: {error}");
            }
        }));
    }
}

fn turn_away(door: &'static str, peer: SocketAddr, reason: &'static str) -> Response<HttpBody> {
    METRICS.rejected.with_label_values(&[door]).inc();
    log_event(&LogEvent::TurnedAway {
        door,
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

/// Compares a request's bearer token with a secret in constant time.
pub(crate) fn has_secret(headers: &HeaderMap, secret: &str) -> bool {
    bearer_of(headers).is_some_and(|token| token.as_bytes().ct_eq(secret.as_bytes()).into())
}

#[cfg(test)]
mod tests;
