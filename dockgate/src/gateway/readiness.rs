//! HTTP servers for the platform's readiness probes and for metrics.

use super::gateway_gauges::GATEWAY_GAUGES;
use super::gateway_state::GatewayState;
use super::sockets::{USER_TIMEOUT, set_stream_options};
use crate::metrics::METRICS;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::sync::Arc;
use tokio::net::TcpListener;

/// Serves responses that are made at once, until the process ends.
async fn serve_responses<F>(listener: TcpListener, respond: F)
where
    F: Fn(&Request<Incoming>) -> Response<Full<Bytes>> + Clone + Send + Sync + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                tokio::task::yield_now().await;
                continue;
            }
        };
        if let Err(error) = set_stream_options(&stream, USER_TIMEOUT) {
            log::debug!("cannot set the options of a connection: {error}");
            continue;
        }
        let respond = respond.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let response = respond(&request);
                async move { Ok::<_, Infallible>(response) }
            });
            let served = Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::debug!("readiness or metrics connection failed: {error}");
            }
        });
    }
}

fn response(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// Serves readiness probes: 200 if the box accepts new callers, else 503.
pub(super) async fn serve_readiness(state: Arc<GatewayState>, listener: TcpListener) {
    serve_responses(listener, move |_| {
        let is_ready = state.is_ready();
        state.with(|view| view.shedder.record_readiness(is_ready));
        match is_ready {
            true => response(StatusCode::OK, ""),
            false => response(StatusCode::SERVICE_UNAVAILABLE, ""),
        }
    })
    .await;
}

/// Serves the metrics at `/metrics`.
pub(super) async fn serve_metrics(state: Arc<GatewayState>, listener: TcpListener) {
    serve_responses(listener, move |request| match request.uri().path() {
        "/metrics" => {
            GATEWAY_GAUGES.update(&state);
            response(StatusCode::OK, METRICS.render())
        }
        _ => response(StatusCode::NOT_FOUND, "only /metrics is here\n"),
    })
    .await;
}
