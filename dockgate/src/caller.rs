//! Listener for callers: HTTP/1.1 and HTTP/2 without TLS.

mod endpoint_client;
mod endpoint_refusal;
mod metered_body;
mod proxy_headers;
mod refusal;
mod request_classifier;
mod request_runner;
mod stream_meter;
mod stream_relay;

use crate::config_cell::ConfigCell;
use crate::dispatch::DispatchHandle;
use crate::logging::{LogEvent, log_event};
use crate::metrics::METRICS;
use crate::settings::DaemonSettings;
use crate::shared_stream::SharedStream;
use crate::stop::StopFlag;
use bytes::Bytes;
use dockgate_core::{BoxKey, Incarnation};
use dockgate_proto::headers;
use endpoint_client::EndpointClient;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use refusal::Refusal;
use request_classifier::RequestClassifier;
use request_runner::RequestRunner;
use std::convert::Infallible;
use std::error::Error;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// An error while a body is read or written.
pub(super) type BodyError = Box<dyn Error + Send + Sync>;
/// The body of every response.
pub(super) type ResponseBody = BoxBody<Bytes, BodyError>;

/// Wraps bytes that are complete in a response body.
pub(super) fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed()
}

/// Counts a request as in flight until it is dropped.
pub(super) struct InFlightGuard(Arc<AtomicUsize>);

impl InFlightGuard {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(count.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Accepts connections of callers and serves their requests.
pub(crate) struct CallerListener {
    settings: Arc<DaemonSettings>,
    cell: ConfigCell,
    dispatch: DispatchHandle,
    client: EndpointClient,
    stop: StopFlag,
    /// The prefix of every request id: the key of this box and the incarnation of its daemon.
    id_prefix: String,
    next_id: AtomicU64,
    in_flight: Arc<AtomicUsize>,
}

impl CallerListener {
    /// Creates the listener.
    pub(crate) fn new(
        settings: Arc<DaemonSettings>,
        cell: ConfigCell,
        dispatch: DispatchHandle,
        incarnation: Incarnation,
        stop: StopFlag,
    ) -> Self {
        let client = EndpointClient::new(settings.limits.connect_timeout);
        let id_prefix = format!(
            "{}-{:08x}",
            BoxKey::from_name(&settings.name),
            incarnation.0
        );
        Self {
            settings,
            cell,
            dispatch,
            client,
            stop,
            id_prefix,
            next_id: AtomicU64::new(1),
            in_flight: Arc::default(),
        }
    }

    /// Returns the number of requests in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Serves callers until the task is aborted.
    pub(crate) async fn serve(self: Arc<Self>, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(self.settings.limits.connections));
        loop {
            // At the connection limit, new callers wait in the kernel's accept queue.
            let Ok(permit) = permits.clone().acquire_owned().await else {
                return;
            };
            match listener.accept().await {
                Ok((stream, _)) => {
                    let caller_listener = self.clone();
                    tokio::spawn(async move {
                        caller_listener.serve_connection(stream).await;
                        drop(permit);
                    });
                }
                Err(error) => log::warn!("cannot accept a connection of a caller: {error}"),
            }
        }
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let limits = &self.settings.limits;
        let mut builder = Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.header_timeout)
            .max_buf_size(limits.header_bytes);
        builder
            .http2()
            .timer(TokioTimer::new())
            .max_header_list_size(limits.header_bytes as u32);
        let caller_listener = self.clone();
        let service = service_fn(move |request| {
            let caller_listener = caller_listener.clone();
            async move { Ok::<_, Infallible>(caller_listener.respond(request).await) }
        });
        let stream = SharedStream::new(stream);
        let monitor = stream.disconnect_monitor();
        let connection = builder.serve_connection_with_upgrades(TokioIo::new(stream), service);
        // hyper does not notice that the caller has closed the connection while unread bytes, such
        // as a pipelined request, precede the end of the stream.
        let result = tokio::select! {
            biased;
            () = monitor.disconnected() => return,
            result = connection => result,
        };
        if let Err(error) = result {
            log::debug!("connection of a caller failed: {error}");
        }
    }

    /// Responds to one request. Every response carries the id of its request.
    async fn respond(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let id = format!("{}-{number:x}", self.id_prefix);
        let result = match (request.method(), request.uri().path()) {
            (&Method::GET, "/livez") => Ok(text_response(StatusCode::OK, "alive\n")),
            (&Method::GET, "/readyz") => Ok(self.readiness()),
            _ => self.route(&id, request).await,
        };
        let mut response = result.unwrap_or_else(|refusal| {
            log_event(&LogEvent::Ended {
                request: &id,
                workspace: refusal.workspace.as_deref().unwrap_or_default(),
                outcome: refusal.outcome.as_str(),
                step: refusal.step_name(),
                cost: 0,
                took_ms: 0,
            });
            METRICS
                .requests
                .with_label_values(&[refusal.outcome.as_str(), refusal.step_name()])
                .inc();
            refusal.into_response(&id)
        });
        if let Ok(id) = HeaderValue::from_str(&id) {
            response.headers_mut().insert(headers::REQUEST_ID, id);
        }
        if self.stop.is_set() && response.version() < http::Version::HTTP_2 {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    fn readiness(&self) -> Response<ResponseBody> {
        match (self.stop.is_set(), self.cell.is_ready()) {
            (true, _) => text_response(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
            (_, false) => text_response(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n"),
            _ => text_response(StatusCode::OK, "ready\n"),
        }
    }

    async fn route(
        &self,
        id: &str,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Refusal> {
        if self.stop.is_set() {
            return Err(Refusal::stopping());
        }
        let in_flight = InFlightGuard::new(&self.in_flight);
        let config = self.cell.current();
        let classifier = RequestClassifier::new(&config, &self.settings.limits);
        if request.method() == Method::GET && request.uri().path() == "/v1/models" {
            classifier.workspace(request.headers())?;
            return Ok(models_response(&config));
        }
        let req = classifier.classify(id, request).await?;
        let runner = RequestRunner {
            settings: self.settings.clone(),
            cell: self.cell.clone(),
            dispatch: self.dispatch.clone(),
            client: self.client.clone(),
        };
        runner.run(req, in_flight).await
    }

    /// Serves `/metrics` until accepting a connection fails.
    pub(crate) async fn serve_metrics(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(|request: Request<Incoming>| async move {
                Ok::<_, Infallible>(match request.uri().path() {
                    "/metrics" => Response::new(full_body(METRICS.render())),
                    _ => text_response(StatusCode::NOT_FOUND, "only /metrics is here\n"),
                })
            });
            tokio::spawn(async move {
                let builder = Builder::new(TokioExecutor::new());
                let connection = builder.serve_connection(TokioIo::new(stream), service);
                if let Err(error) = connection.await {
                    log::debug!("connection for metrics failed: {error}");
                }
            });
        }
    }
}

fn text_response(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
}

/// Lists the configured models in the format of the chat-completions API.
fn models_response(config: &dockgate_core::FleetConfig) -> Response<ResponseBody> {
    let models: Vec<serde_json::Value> = config
        .pools
        .iter()
        .flat_map(|(_, pool)| pool.models.iter())
        .map(|model| serde_json::json!({ "id": model, "object": "model", "owned_by": "dockgate" }))
        .collect();
    let body = serde_json::json!({ "object": "list", "data": models });
    let mut response = Response::new(full_body(body.to_string()));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
