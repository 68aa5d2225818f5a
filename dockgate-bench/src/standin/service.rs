//! A stand-in for a plain service: it takes its time, counts its runs and echoes what it got.

use super::http::{BrokenOff, StandInBody, answer, serve};
use super::tally::{LateRunCounter, RunTally};
use crate::error::BenchError;
use dockgate_proto::headers;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// The header that carries a caller's nonce to the service and back.
pub const NONCE: HeaderName = HeaderName::from_static("x-nonce");

/// How a service behaves.
#[derive(Debug, Clone, Copy)]
pub struct ServiceProfile {
    /// Requests that run at once.
    pub slots: usize,
    /// How long a request takes where its path does not say `/wait/MILLISECONDS`.
    pub processing_time: Duration,
}

/// One service on a loopback port.
pub struct ServiceStandIn {
    /// Where it listens.
    pub address: SocketAddr,
    /// Counts runs that start after the service was told to leave.
    pub leave: Arc<LateRunCounter>,
    stop: CancellationToken,
}

impl ServiceStandIn {
    /// Starts a service that counts into a tally.
    ///
    /// # Errors
    ///
    /// Returns an error where no port is free.
    pub async fn start(rule: ServiceProfile, tally: Arc<RunTally>) -> Result<Self, BenchError> {
        tally.add_slots(rule.slots as isize);
        let stop = CancellationToken::new();
        let leave = Arc::new(LateRunCounter::default());
        let watch = leave.clone();
        let handle = move |request| {
            watch.start();
            handle(rule, tally.clone(), request)
        };
        let address = serve(handle, stop.clone()).await?;
        Ok(Self {
            address,
            leave,
            stop,
        })
    }

    /// Dies: every connection is cut and nothing listens any more.
    pub fn kill(&self) {
        self.stop.cancel();
    }
}

/// A run; dropping it notes its end.
struct ServiceRun {
    tally: Arc<RunTally>,
    workspace: String,
}

impl Drop for ServiceRun {
    fn drop(&mut self) {
        self.tally.end(&self.workspace);
    }
}

async fn handle(
    rule: ServiceProfile,
    tally: Arc<RunTally>,
    request: Request<Incoming>,
) -> Result<Response<StandInBody>, BrokenOff> {
    let (parts, body) = request.into_parts();
    let text = |name: &str| {
        let value = parts
            .headers
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (workspace, nonce) = (text(headers::WORKSPACE), text(NONCE.as_str()));
    tally.start(&workspace, &nonce);
    let run = ServiceRun {
        tally: tally.clone(),
        workspace: workspace.clone(),
    };
    let body = body.collect().await.map_err(|_| BrokenOff)?.to_bytes();
    let path = parts.uri.path();
    let wait = path.strip_prefix("/wait/").and_then(|ms| ms.parse().ok());
    let processing_time = wait.map_or(rule.processing_time, Duration::from_millis);
    if !processing_time.is_zero() {
        tokio::time::sleep(processing_time).await;
    }
    tally.give(&workspace, processing_time.as_secs_f64() * 1_000.0);
    drop(run);
    let echo = format!("{} {} ", parts.method, parts.uri);
    let mut response = answer(StatusCode::OK, [echo.as_bytes(), &body].concat());
    if let Ok(nonce) = HeaderValue::from_str(&nonce) {
        response.headers_mut().insert(NONCE, nonce);
    }
    Ok(response)
}
