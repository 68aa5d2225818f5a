//! A minimal HTTP server for the stand-ins.

use crate::error::BenchError;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto::Builder;
use std::convert::Infallible;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// The most headers of a request.
const MAX_HEADERS: usize = 1_000;

/// The body of a stand-in's answer.
pub(super) type StandInBody = BoxBody<Bytes, AbortedConnection>;

/// An error that closes a connection without an answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct AbortedConnection;

impl std::fmt::Display for AbortedConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection aborted by the stand-in")
    }
}

impl std::error::Error for AbortedConnection {}

/// Returns an answer with a status and a body.
pub(super) fn answer(status: StatusCode, body: impl Into<Bytes>) -> Response<StandInBody> {
    let body = Full::new(body.into())
        .map_err(|never: Infallible| match never {})
        .boxed();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// Serves on a free loopback port until the token is cancelled, which also cuts open connections.
pub(super) async fn serve<F, A>(
    handle: F,
    stop: CancellationToken,
) -> Result<SocketAddr, BenchError>
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Result<Response<StandInBody>, AbortedConnection>> + Send + 'static,
{
    let bind = |cause| BenchError::Io("listen", "for a stand-in".to_owned(), cause);
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .map_err(bind)?;
    let address = listener.local_addr().map_err(bind)?;
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = stop.cancelled() => return,
            };
            let Ok((stream, _)) = accepted else { continue };
            let _ = stream.set_nodelay(true);
            let (handle, stop) = (handle.clone(), stop.clone());
            tokio::spawn(async move {
                let service = service_fn(handle);
                let mut builder = Builder::new(TokioExecutor::new());
                builder.http1().max_headers(MAX_HEADERS);
                let connection = builder.serve_connection(TokioIo::new(stream), service);
                tokio::select! {
                    _ = connection => {}
                    () = stop.cancelled() => {}
                }
            });
        }
    });
    Ok(address)
}
