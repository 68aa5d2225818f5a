//! Client of a daemon's operator listener.

use crate::error::CtlError;
use dockgate_core::{ConfigEntry, ConfigPlan, FleetConfig};
use dockgate_proto::operator::{
    self, ConfirmReply, ConfirmRequest, HistoryRequest, PlanIntent, PlanReply, PlanRequest,
    StatusReply, codes,
};
use dockgate_proto::{QuarantineAnswer, QuarantineRequest, methods};
use jsonrpsee::core::ClientError;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::params::ArrayParams;
use jsonrpsee::core::traits::ToRpcParams;
use jsonrpsee::http_client::{HeaderMap, HeaderValue, HttpClient, HttpClientBuilder};
use jsonrpsee::rpc_params;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Maximum size of a request or response body.
const MAX_BODY_BYTES: u32 = 64 << 20;

/// Client of the operator listener of a daemon.
pub(crate) struct OperatorClient {
    client: HttpClient,
    address: SocketAddr,
}

impl OperatorClient {
    /// Creates a client that authenticates with the token in a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the token cannot be read or is no valid header value.
    pub(crate) fn new(
        address: SocketAddr,
        token_file: &Path,
        timeout_s: u64,
    ) -> Result<Self, CtlError> {
        let path = token_file.display().to_string();
        let token = std::fs::read_to_string(token_file)
            .map_err(|cause| CtlError::File("read token", path, cause))?;
        let bearer = HeaderValue::from_str(&format!("Bearer {}", token.trim()))
            .map_err(|_| CtlError::Invalid("the operator token is not plain text".to_owned()))?;
        let mut headers = HeaderMap::new();
        headers.insert("authorization", bearer);
        Self::with_headers(address, headers, timeout_s)
    }

    /// Creates a client of a listener that needs no token.
    pub(crate) fn without_token(address: SocketAddr, timeout_s: u64) -> Result<Self, CtlError> {
        Self::with_headers(address, HeaderMap::new(), timeout_s)
    }

    fn with_headers(
        address: SocketAddr,
        headers: HeaderMap,
        timeout_s: u64,
    ) -> Result<Self, CtlError> {
        let client = HttpClientBuilder::default()
            .set_headers(headers)
            .request_timeout(Duration::from_secs(timeout_s))
            .max_request_size(MAX_BODY_BYTES)
            .max_response_size(MAX_BODY_BYTES)
            .build(format!("http://{address}"));
        let client = client.map_err(|error| {
            CtlError::Unreachable("connect", address.to_string(), error.to_string())
        })?;
        Ok(Self { client, address })
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: &'static str,
        params: impl ToRpcParams + Send,
    ) -> Result<T, CtlError> {
        let reply = self.client.request(method, params).await;
        reply.map_err(|error| match error {
            ClientError::Call(error) => CtlError::Refused(error.code(), refusal_text(&error)),
            error => CtlError::Unreachable(method, self.address.to_string(), error.to_string()),
        })
    }

    /// Requests the plan of an intent.
    pub(crate) async fn plan(&self, intent: PlanIntent) -> Result<ConfigPlan, CtlError> {
        let request = PlanRequest { intent };
        let reply: PlanReply = self.call(operator::PLAN, rpc_params![request]).await?;
        Ok(reply.plan)
    }

    /// Commits a plan.
    pub(crate) async fn confirm(&self, plan: &str, author: &str) -> Result<ConfirmReply, CtlError> {
        let request = ConfirmRequest {
            plan: plan.to_owned(),
            author: author.to_owned(),
        };
        self.call(operator::CONFIRM, rpc_params![request]).await
    }

    /// Returns the configuration in force.
    pub(crate) async fn show(&self) -> Result<FleetConfig, CtlError> {
        self.call(operator::SHOW, ArrayParams::new()).await
    }

    /// Returns the last changes.
    pub(crate) async fn history(&self, limit: usize) -> Result<Vec<ConfigEntry>, CtlError> {
        let request = HistoryRequest { limit };
        self.call(operator::HISTORY, rpc_params![request]).await
    }

    /// Releases the request or part with a key, if given, and returns what is in quarantine.
    pub(crate) async fn quarantine(
        &self,
        release: Option<String>,
    ) -> Result<QuarantineAnswer, CtlError> {
        let request = QuarantineRequest { release };
        self.call(methods::QUARANTINE, rpc_params![request]).await
    }

    /// Returns the state of the box.
    pub(crate) async fn status(&self) -> Result<StatusReply, CtlError> {
        self.call(operator::STATUS, ArrayParams::new()).await
    }
}

/// Formats a refusal; for a stale plan, with the changes since its base version.
fn refusal_text(error: &jsonrpsee::types::ErrorObjectOwned) -> String {
    let detail = error.data().filter(|_| error.code() == codes::STALE);
    let detail =
        detail.and_then(|data| serde_json::from_str::<operator::StaleDetail>(data.get()).ok());
    let since = detail.map(|detail| detail.since).unwrap_or_default();
    let lines = since.iter().flat_map(|entry| {
        entry.changes.iter().map(|change| {
            let (version, author) = (entry.version, &entry.author);
            format!(
                "\n  {version} by {author}: {} {}",
                change.subject(),
                change.name()
            )
        })
    });
    std::iter::once(error.message().to_owned())
        .chain(lines)
        .collect()
}
