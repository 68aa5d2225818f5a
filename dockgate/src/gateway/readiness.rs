//! Tells the platform whether callers may be sent here, and others what was counted.

use super::gateway_gauges::GATEWAY_GAUGES;
use super::gateway_state::GatewayState;
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

/// Serves small answers on a listener until the process ends.
async fn serve_small<F>(listener: TcpListener, answer: F)
where
    F: Fn(&Request<Incoming>) -> Response<Full<Bytes>> + Clone + Send + Sync + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("accept: {error}");
                tokio::task::yield_now().await;
                continue;
            }
        };
        if let Err(error) = super::sockets::prepare(&stream) {
            log::debug!("prepare a connection: {error}");
            continue;
        }
        let answer = answer.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let response = answer(&request);
                async move { Ok::<_, Infallible>(response) }
            });
            let served = Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::debug!("small answers: {error}");
            }
        });
    }
}

fn small(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// Tells whether callers may be sent here.
pub(super) async fn serve_readiness(state: Arc<GatewayState>, listener: TcpListener) {
    serve_small(listener, move |_| {
        let is_ready = state.is_ready();
        state.with(|view| view.shedder.record_readiness(is_ready));
        match is_ready {
            true => small(StatusCode::OK, ""),
            false => small(StatusCode::SERVICE_UNAVAILABLE, ""),
        }
    })
    .await;
}

/// Tells what was counted.
pub(super) async fn serve_metrics(state: Arc<GatewayState>, listener: TcpListener) {
    serve_small(listener, move |request| match request.uri().path() {
        "/metrics" => {
            GATEWAY_GAUGES.read(&state);
            small(StatusCode::OK, METRICS.render())
        }
        _ => small(StatusCode::NOT_FOUND, "only /metrics is here\n"),
    })
    .await;
}
