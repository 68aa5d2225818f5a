//! The HTTP client of the callers.

use super::CallSpec;
use super::answer_checker::{AnswerChecker, AnswerVerdict, check_complete_answer};
use super::caller_stats::{CallOutcome, CallerStats, OutstandingCall};
use crate::fleet::workspace_key;
use crate::scenario::WorkspaceLoad;
use bytes::Bytes;
use dockgate_core::Outcome;
use dockgate_proto::{RefusalBody, headers};
use http::{Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

/// A box as a load balancer in front of the fleet sees it.
#[derive(Debug)]
pub struct BoxView {
    /// Name of the box.
    pub name: String,
    /// Address of the caller listener.
    pub caller_address: SocketAddr,
    ready: AtomicBool,
    stopping: AtomicBool,
}

impl BoxView {
    /// Creates the view of a ready box.
    pub const fn new(name: String, caller_address: SocketAddr) -> Self {
        Self {
            name,
            caller_address,
            ready: AtomicBool::new(true),
            stopping: AtomicBool::new(false),
        }
    }

    /// Returns whether the load balancer sends requests to the box.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Sets whether the load balancer sends requests to the box.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }

    /// Sets whether the box is shutting down gracefully.
    pub fn set_stopping(&self, stopping: bool) {
        self.stopping.store(stopping, Ordering::Release);
    }
}

/// Sends requests and classifies the answers.
pub struct CallerClient {
    client: Client<HttpConnector, Full<Bytes>>,
    boxes: Vec<BoxView>,
    /// Statistics of all requests.
    pub stats: Arc<CallerStats>,
    engine_pools: BTreeMap<String, bool>,
}

impl CallerClient {
    /// Creates a client for these boxes; `engine_pools` maps each pool to whether its endpoints are
    /// engines.
    pub fn new(boxes: Vec<BoxView>, engine_pools: BTreeMap<String, bool>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            client,
            boxes,
            stats: Arc::default(),
            engine_pools,
        }
    }

    /// Returns all boxes, including those that are not ready.
    pub fn boxes(&self) -> &[BoxView] {
        &self.boxes
    }

    /// Sends a request, waits for its end and records its outcome.
    pub async fn call(&self, load: &WorkspaceLoad, call: CallSpec) -> CallOutcome {
        let view = &self.boxes[call.entry];
        let outstanding = OutstandingCall {
            pool: load.pool.clone(),
            workspace: load.workspace.clone(),
            nonce: call.nonce.clone(),
            sent_at: Instant::now(),
        };
        self.stats.record_sent(outstanding, load.kind.is_some());
        let outcome = match self.engine_pools.get(&load.pool) {
            Some(false) => self.call_service(load, &call, view).await,
            _ => self.call_engine(load, &call, view).await,
        };
        let stopping = view.stopping.load(Ordering::Acquire);
        self.stats
            .record_outcome(&load.pool, &call.nonce, outcome, stopping);
        outcome
    }

    fn request(&self, load: &WorkspaceLoad, view: &BoxView, path: &str) -> http::request::Builder {
        let key = format!("Bearer {}", workspace_key(&load.workspace));
        let mut request = Request::builder()
            .method("POST")
            .uri(format!("http://{}{path}", view.caller_address))
            .header(header::AUTHORIZATION, key);
        if let Some(kind) = &load.kind {
            request = request.header(headers::KIND, kind);
        }
        if load.deadline_ms > 0 {
            request = request.header(headers::DEADLINE_MS, load.deadline_ms);
        }
        request
    }

    async fn call_engine(
        &self,
        load: &WorkspaceLoad,
        call: &CallSpec,
        view: &BoxView,
    ) -> CallOutcome {
        let filler = "lorem ipsum ".repeat(load.prompt / 12 + 1);
        let body = serde_json::json!({
            "model": load.pool,
            "stream": load.stream,
            "max_tokens": call.size,
            "messages": [{ "role": "user", "content": format!("{filler}{}", call.nonce) }],
        });
        let body = Full::new(Bytes::from(body.to_string()));
        let request = self.request(load, view, "/v1/chat/completions").body(body);
        let Ok(request) = request else {
            return CallOutcome::Cut;
        };
        let started = Instant::now();
        match self.client.request(request).await {
            Ok(response) if !response.status().is_success() => read_refusal(response).await,
            Ok(response) if load.stream => self.read_stream(response, call, started).await,
            Ok(response) => match response.into_body().collect().await {
                Ok(body) => {
                    let verdict = check_complete_answer(&body.to_bytes(), &call.nonce, call.size);
                    outcome_of(verdict)
                }
                Err(_) => CallOutcome::Cut,
            },
            Err(_) => CallOutcome::Cut,
        }
    }

    /// Reads and checks a streamed answer, and records the time between its tokens.
    async fn read_stream(
        &self,
        response: Response<Incoming>,
        call: &CallSpec,
        started: Instant,
    ) -> CallOutcome {
        let mut checker = AnswerChecker::new(call.nonce.clone(), call.size);
        let mut body = response.into_body();
        let mut last_token = None;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return CallOutcome::Cut;
            };
            let tokens = frame.data_ref().map_or(0, |bytes| checker.feed(bytes));
            if tokens > 0 {
                let now = Instant::now();
                match last_token {
                    None => self.stats.record_first_token(now - started),
                    Some(last_token) => self
                        .stats
                        .record_token_gap((now - last_token) / tokens as u32),
                }
                last_token = Some(now);
            }
        }
        outcome_of(checker.verdict())
    }

    async fn call_service(
        &self,
        load: &WorkspaceLoad,
        call: &CallSpec,
        view: &BoxView,
    ) -> CallOutcome {
        let path = format!("/services/{}/wait/{}", load.pool, call.size);
        let body = Full::new(Bytes::from(call.nonce.clone()));
        let request = self
            .request(load, view, &path)
            .header("x-nonce", &call.nonce)
            .body(body);
        let Ok(request) = request else {
            return CallOutcome::Cut;
        };
        match self.client.request(request).await {
            Ok(response) if !response.status().is_success() => read_refusal(response).await,
            Ok(response) => {
                let echoed = response.headers().get("x-nonce").cloned();
                let expected = format!("POST /wait/{} {}", call.size, call.nonce);
                let body = response.into_body().collect().await;
                match body.map(http_body_util::Collected::to_bytes) {
                    Ok(body) if body == expected => {
                        let nonce_matches =
                            echoed.is_some_and(|echoed| echoed == call.nonce.as_str());
                        if nonce_matches {
                            CallOutcome::Ok
                        } else {
                            CallOutcome::Wrong
                        }
                    }
                    Ok(_) => CallOutcome::Wrong,
                    Err(_) => CallOutcome::Cut,
                }
            }
            Err(_) => CallOutcome::Cut,
        }
    }

    /// Times a call to a service stand-in directly and then through a box.
    pub async fn probe(&self, load: &WorkspaceLoad, entry: usize, endpoint_address: SocketAddr) {
        let view = &self.boxes[entry];
        let direct_request = Request::builder()
            .method("POST")
            .uri(format!("http://{endpoint_address}/wait/0"))
            .body(Full::default());
        let path = format!("/services/{}/wait/0", load.pool);
        let routed_request = self.request(load, view, &path).body(Full::default());
        let (Ok(direct_request), Ok(routed_request)) = (direct_request, routed_request) else {
            return;
        };
        let direct = self.time_request(direct_request).await;
        let routed = self.time_request(routed_request).await;
        if let (Some(direct), Some(routed)) = (direct, routed) {
            self.stats.record_probe(direct, routed);
        }
    }

    async fn time_request(&self, request: Request<Full<Bytes>>) -> Option<std::time::Duration> {
        let started = Instant::now();
        let response = self.client.request(request).await.ok()?;
        let success = response.status().is_success();
        response.into_body().collect().await.ok()?;
        success.then(|| started.elapsed())
    }
}

const fn outcome_of(verdict: AnswerVerdict) -> CallOutcome {
    match verdict {
        AnswerVerdict::Complete => CallOutcome::Ok,
        AnswerVerdict::Truncated => CallOutcome::Truncated,
        AnswerVerdict::Wrong => CallOutcome::Wrong,
    }
}

async fn read_refusal(response: Response<Incoming>) -> CallOutcome {
    let Ok(body) = response.into_body().collect().await else {
        return CallOutcome::Cut;
    };
    let refusal = serde_json::from_slice::<RefusalBody>(&body.to_bytes());
    match refusal.map(|refusal| refusal.outcome) {
        Ok(Outcome::NotRun) => CallOutcome::NotRun,
        Ok(Outcome::Unknown) => CallOutcome::Unknown,
        Ok(Outcome::Failed) | Err(_) => CallOutcome::Failed,
    }
}
