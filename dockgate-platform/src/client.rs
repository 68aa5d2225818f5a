//! Calls to the platform's key-value service.

use crate::boxes::BoxRecord;
use crate::error::PlatformError;
use crate::wire::{LeaseGrant, LeaseRequest, routes};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// The largest value that the service holds, in bytes, and a little for safety.
const MOST_BYTES: usize = 2 << 20;
/// How much longer than its wait a watch may take, so that the answer can arrive.
const WATCH_GRACE: Duration = Duration::from_secs(2);

/// A value with the revision that a conditional write names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredValue {
    /// The revision.
    pub revision: u64,
    /// The value.
    pub bytes: Bytes,
}

/// When a write takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutCondition {
    /// Always.
    Always,
    /// Only if the key does not exist.
    Absent,
    /// Only if the key still has this revision.
    Revision(u64),
}

/// What became of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// It took effect and made this revision.
    Done(u64),
    /// The condition did not hold.
    Conflict,
}

/// One answer of the service.
struct PlatformAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl PlatformAnswer {
    fn revision(&self) -> u64 {
        let tag = self.headers.get(header::ETAG);
        tag.and_then(|tag| tag.to_str().ok()?.trim_matches('"').parse().ok())
            .unwrap_or_default()
    }
}

/// A client of the platform's key-value service.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    timeout: Duration,
}

impl PlatformClient {
    /// Makes a client; `timeout` bounds every call but the wait of a watch.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            // A write whose answer is lost is settled by reading back, never by a hidden retry.
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            client,
            address,
            timeout,
        }
    }

    async fn call(
        &self,
        step: &'static str,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<PlatformAnswer, PlatformError> {
        let unreachable =
            |cause: String| PlatformError::Unreachable(step, self.address.to_string(), cause);
        let exchange = async {
            let response = self
                .client
                .request(request)
                .await
                .map_err(|error| unreachable(error.to_string()))?;
            let (parts, body) = response.into_parts();
            let body = Limited::new(body, MOST_BYTES)
                .collect()
                .await
                .map_err(|error| unreachable(error.to_string()))?;
            Ok(PlatformAnswer {
                status: parts.status,
                headers: parts.headers,
                body: body.to_bytes(),
            })
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or_else(|_| Err(PlatformError::TimedOut(step, self.address.to_string())))
    }

    fn request(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, PlatformError> {
        let built = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .body(Full::new(body));
        let mut request = built
            .map_err(|error| PlatformError::Malformed(step, path.to_owned(), error.to_string()))?;
        *request.headers_mut() = headers;
        Ok(request)
    }

    fn refuse<T>(&self, step: &'static str, status: StatusCode) -> Result<T, PlatformError> {
        let peer = self.address.to_string();
        Err(PlatformError::Status(step, peer, status.as_u16()))
    }

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// Returns an error where the service gives no answer.
    pub async fn get(&self, key: &str) -> Result<Option<StoredValue>, PlatformError> {
        self.read("get", key, HeaderMap::new(), self.timeout).await
    }

    /// Waits until a key has another revision than `since` (0 for absent), and reads it.
    ///
    /// Returns `None` where nothing changed within `wait`.
    ///
    /// # Errors
    ///
    /// Returns an error where the service gives no answer.
    pub async fn watch(
        &self,
        key: &str,
        since: u64,
        wait: Duration,
    ) -> Result<Option<StoredValue>, PlatformError> {
        let headers = watch_headers(since, wait);
        self.read("watch", key, headers, wait + WATCH_GRACE).await
    }

    async fn read(
        &self,
        step: &'static str,
        key: &str,
        headers: HeaderMap,
        timeout: Duration,
    ) -> Result<Option<StoredValue>, PlatformError> {
        let path = format!("{}{key}", routes::KEYS);
        let request = self.request(step, Method::GET, &path, headers, Bytes::new())?;
        let answer = self.call(step, request, timeout).await?;
        match answer.status {
            StatusCode::OK => Ok(Some(StoredValue {
                revision: answer.revision(),
                bytes: answer.body,
            })),
            StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => Ok(None),
            status => self.refuse(step, status),
        }
    }

    /// Writes a key if the condition holds; `lease` binds the key's life to a lease.
    ///
    /// # Errors
    ///
    /// Returns an error where the service gives no answer; the write may have taken effect then.
    pub async fn put(
        &self,
        key: &str,
        value: Bytes,
        condition: PutCondition,
        lease: Option<u64>,
    ) -> Result<PutOutcome, PlatformError> {
        const STEP: &str = "put";
        let mut headers = HeaderMap::new();
        match condition {
            PutCondition::Always => {}
            PutCondition::Absent => {
                headers.insert(header::IF_NONE_MATCH, HeaderValue::from_static("*"));
            }
            PutCondition::Revision(revision) => {
                headers.insert(header::IF_MATCH, tag_of(revision));
            }
        }
        if let Some(lease) = lease {
            headers.insert(routes::LEASE, HeaderValue::from(lease));
        }
        let path = format!("{}{key}", routes::KEYS);
        let request = self.request(STEP, Method::PUT, &path, headers, value)?;
        let answer = self.call(STEP, request, self.timeout).await?;
        match answer.status {
            StatusCode::OK => Ok(PutOutcome::Done(answer.revision())),
            StatusCode::PRECONDITION_FAILED => Ok(PutOutcome::Conflict),
            status => self.refuse(STEP, status),
        }
    }

    /// Takes a lease; its id rises with every lease, so that it serves as a fencing token.
    ///
    /// # Errors
    ///
    /// Returns an error where the service gives no answer.
    pub async fn lease(&self, ttl: Duration) -> Result<LeaseGrant, PlatformError> {
        const STEP: &str = "lease";
        let body = LeaseRequest {
            ttl_ms: ttl.as_millis() as u64,
        };
        let body = Bytes::from(serde_json::to_vec(&body).unwrap_or_default());
        let request = self.request(STEP, Method::POST, routes::LEASES, HeaderMap::new(), body)?;
        let answer = self.call(STEP, request, self.timeout).await?;
        match answer.status {
            StatusCode::OK => parse(STEP, routes::LEASES, &answer.body),
            status => self.refuse(STEP, status),
        }
    }

    /// Waits until the list of boxes, as seen from a failure domain, has another revision than
    /// `since` (0 for never read), and reads it with its revision.
    ///
    /// Returns `None` where nothing changed within `wait`.
    ///
    /// # Errors
    ///
    /// Returns an error where the service gives no answer.
    pub async fn watch_boxes(
        &self,
        domain: &str,
        since: u64,
        wait: Duration,
    ) -> Result<Option<(Vec<BoxRecord>, u64)>, PlatformError> {
        const STEP: &str = "boxes";
        let path = format!("{}?domain={domain}", routes::BOXES);
        let headers = watch_headers(since, wait);
        let request = self.request(STEP, Method::GET, &path, headers, Bytes::new())?;
        let answer = self.call(STEP, request, wait + WATCH_GRACE).await?;
        match answer.status {
            StatusCode::OK => {
                let records = parse(STEP, routes::BOXES, &answer.body)?;
                Ok(Some((records, answer.revision())))
            }
            StatusCode::NOT_MODIFIED => Ok(None),
            status => self.refuse(STEP, status),
        }
    }
}

/// Makes the headers with which a read waits for another revision.
fn watch_headers(since: u64, wait: Duration) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(header::IF_NONE_MATCH, tag_of(since));
    headers.insert(routes::WAIT_MS, HeaderValue::from(wait.as_millis() as u64));
    headers
}

fn tag_of(revision: u64) -> HeaderValue {
    HeaderValue::from_str(&format!("\"{revision}\"")).unwrap_or(HeaderValue::from_static("\"0\""))
}

pub(crate) fn parse<T: DeserializeOwned>(
    step: &'static str,
    key: &str,
    bytes: &[u8],
) -> Result<T, PlatformError> {
    serde_json::from_slice(bytes)
        .map_err(|error| PlatformError::Malformed(step, key.to_owned(), error.to_string()))
}
