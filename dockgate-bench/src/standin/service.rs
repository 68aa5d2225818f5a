//! A stand-in for a plain service that counts its runs and echoes requests after a delay, with the
//! status that a path `/status/CODE` names.

use super::http::{AbortedConnection, StandInBody, answer, serve};
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

/// The header with a caller's nonce, in requests and answers.
pub const NONCE: HeaderName = HeaderName::from_static("x-nonce");

/// The capacity and speed of a service.
#[derive(Debug, Clone, Copy)]
pub struct ServiceProfile {
    /// Maximum number of concurrent requests.
    pub slots: usize,
    /// Time per request, unless its path is `/wait/MILLISECONDS`.
    pub processing_time: Duration,
}

/// One service on a loopback port.
pub struct ServiceStandIn {
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Counts runs that start too late after the service was marked as leaving.
    pub late_runs: Arc<LateRunCounter>,
    stop: CancellationToken,
}

impl ServiceStandIn {
    /// Starts a service that records its runs in a tally.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn start(profile: ServiceProfile, tally: Arc<RunTally>) -> Result<Self, BenchError> {
        tally.add_slots(profile.slots as isize);
        let stop = CancellationToken::new();
        let late_runs = Arc::new(LateRunCounter::default());
        let counter = late_runs.clone();
        let handle = move |request| {
            counter.start();
            handle(profile, tally.clone(), request)
        };
        let address = serve(handle, stop.clone()).await?;
        Ok(Self {
            address,
            late_runs,
            stop,
        })
    }

    /// Stops listening and cuts all connections.
    pub fn kill(&self) {
        self.stop.cancel();
    }
}

/// A run in progress; its end is recorded on drop.
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
    profile: ServiceProfile,
    tally: Arc<RunTally>,
    request: Request<Incoming>,
) -> Result<Response<StandInBody>, AbortedConnection> {
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
    let body = body
        .collect()
        .await
        .map_err(|_| AbortedConnection)?
        .to_bytes();
    let path = parts.uri.path();
    let wait = path.strip_prefix("/wait/").and_then(|ms| ms.parse().ok());
    let processing_time = wait.map_or(profile.processing_time, Duration::from_millis);
    if !processing_time.is_zero() {
        tokio::time::sleep(processing_time).await;
    }
    tally.add_units(&workspace, processing_time.as_secs_f64() * 1_000.0);
    drop(run);
    let echo = format!("{} {} ", parts.method, parts.uri);
    let status = path.strip_prefix("/status/").map(StatusCode::try_from);
    let status = status.and_then(Result::ok).unwrap_or(StatusCode::OK);
    let mut response = answer(status, [echo.as_bytes(), &body].concat());
    if let Ok(nonce) = HeaderValue::from_str(&nonce) {
        response.headers_mut().insert(NONCE, nonce);
    }
    Ok(response)
}
