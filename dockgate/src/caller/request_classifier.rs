//! Reads and validates a request of a caller and determines its workspace, pool and kind.

use super::proxy_headers::sanitize_request_headers;
use super::refusal::Refusal;
use crate::clock::{now_ms, timeout};
use crate::rpc_listener::bearer_of;
use crate::settings::LimitSettings;
use bytes::Bytes;
use dockgate_core::{FleetConfig, PoolKey, PoolKind, WorkspaceKey, WorkspaceSpec};
use dockgate_proto::{RefusalCode, RequestStep, headers};
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use serde::Deserialize;
use std::str::FromStr;

const CHAT_PATH: &str = "/v1/chat/completions";
const SERVICE_PREFIX: &str = "/services/";
const MAX_PRIORITY: u8 = 9;
const MAX_DEADLINE_MS: u64 = 24 * 3_600_000;

/// The fields of a chat-completions request that routing needs.
#[derive(Debug, Deserialize)]
struct ChatHead {
    model: String,
}

/// A request that has been read and validated.
#[derive(Debug, Clone)]
pub(super) struct CallerRequest {
    pub(super) id: String,
    pub(super) workspace: WorkspaceKey,
    pub(super) workspace_name: String,
    pub(super) queue_limit: usize,
    pub(super) pool: PoolKey,
    pub(super) pool_name: String,
    pub(super) engine: bool,
    pub(super) repeatable: bool,
    pub(super) priority: u8,
    pub(super) deadline_ms: u64,
    pub(super) started_ms: u64,
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// Classifies requests according to one version of the configuration.
pub(super) struct RequestClassifier<'a> {
    config: &'a FleetConfig,
    limits: &'a LimitSettings,
}

/// The pool of a request and the path at its endpoints.
struct RequestTarget {
    pool: PoolKey,
    path: String,
}

impl<'a> RequestClassifier<'a> {
    pub(super) const fn new(config: &'a FleetConfig, limits: &'a LimitSettings) -> Self {
        Self { config, limits }
    }

    /// Returns the workspace that the key of a request belongs to.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the box has no configuration yet or no workspace has the key.
    pub(super) fn workspace(
        &self,
        headers: &HeaderMap,
    ) -> Result<(WorkspaceKey, &'a WorkspaceSpec), Refusal> {
        if self.config.version == 0 {
            let message = "this box has no configuration yet";
            let step = RequestStep::Accept;
            return Err(Refusal::not_run(RefusalCode::NotReady, step, message).retry_after(1));
        }
        let key = bearer_of(headers).and_then(|key| self.config.workspace_of_key(key));
        key.and_then(|key| Some((key, self.config.workspaces.get(key)?)))
            .ok_or_else(|| refuse(RefusalCode::UnknownKey, "no workspace has this key"))
    }

    /// Reads a request with its body and classifies it.
    ///
    /// # Errors
    ///
    /// Returns a refusal that names the workspace if the request is invalid or has no target.
    pub(super) async fn classify(
        &self,
        id: &str,
        request: Request<Incoming>,
    ) -> Result<CallerRequest, Refusal> {
        let (workspace, spec) = self.workspace(request.headers())?;
        let classified = self.read(id, request, workspace, spec).await;
        classified.map_err(|refusal| refusal.for_workspace(&spec.name))
    }

    async fn read(
        &self,
        id: &str,
        request: Request<Incoming>,
        workspace: WorkspaceKey,
        spec: &WorkspaceSpec,
    ) -> Result<CallerRequest, Refusal> {
        let started_ms = now_ms();
        let (parts, body) = request.into_parts();
        let mut headers = parts.headers;
        let priority = parse_header(&headers, headers::PRIORITY, "0 to 9", |priority: &u8| {
            *priority <= MAX_PRIORITY
        })?;
        let timeout_ms = parse_header(
            &headers,
            headers::DEADLINE_MS,
            "1 to 86400000",
            |timeout_ms: &u64| (1..=MAX_DEADLINE_MS).contains(timeout_ms),
        )?;
        let default_ms = self.limits.queue_timeout.as_millis() as u64;
        let repeatable = self.repeatable(&headers)?;
        let path_and_query = parts.uri.path_and_query();
        let path_and_query = path_and_query.map_or("/", |path| path.as_str());
        let body = self.read_body(body).await?;
        let target = self.target(&parts.method, parts.uri.path(), path_and_query, &body)?;
        let pool = self.config.pools.get(target.pool);
        let engine = pool.is_some_and(|pool| pool.kind == PoolKind::Engine);
        sanitize_request_headers(&mut headers);
        Ok(CallerRequest {
            id: id.to_owned(),
            workspace,
            workspace_name: spec.name.clone(),
            queue_limit: spec.queue_limit as usize,
            pool: target.pool,
            pool_name: pool.map(|pool| pool.name.clone()).unwrap_or_default(),
            engine,
            repeatable,
            priority: priority.unwrap_or(spec.priority),
            deadline_ms: started_ms + timeout_ms.unwrap_or(default_ms),
            started_ms,
            method: parts.method,
            path: target.path,
            headers,
            body,
        })
    }

    /// Returns whether the kind of a request allows sending it to a second endpoint.
    fn repeatable(&self, headers: &HeaderMap) -> Result<bool, Refusal> {
        let Some(name) = headers.get(headers::KIND) else {
            return Ok(true);
        };
        let name = name.to_str().unwrap_or_default();
        let kind =
            self.config.kinds.get_by_name(name).ok_or_else(|| {
                refuse(RefusalCode::UnknownKind, format!("there is no kind {name}"))
            })?;
        Ok(kind.repeatable)
    }

    async fn read_body(&self, body: Incoming) -> Result<Bytes, Refusal> {
        let limit = self.limits.body_bytes;
        let read = Limited::new(body, limit).collect();
        match timeout(self.limits.body_timeout, read).await {
            Err(_) => Err(refuse(
                RefusalCode::BodyTimeout,
                "the body did not come in time",
            )),
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                let message = format!("the body is larger than {limit} bytes");
                Err(refuse(RefusalCode::BodyTooLarge, message))
            }
            Ok(Err(error)) => Err(refuse(RefusalCode::BadRequest, error.to_string())),
        }
    }

    fn target(
        &self,
        method: &Method,
        path: &str,
        path_and_query: &str,
        body: &[u8],
    ) -> Result<RequestTarget, Refusal> {
        match path.strip_prefix(SERVICE_PREFIX) {
            Some(_) => self.service_target(path_and_query),
            None if path == CHAT_PATH && method == Method::POST => self.chat_target(body),
            None => Err(refuse(
                RefusalCode::UnknownPath,
                format!("there is no {method} {path}"),
            )),
        }
    }

    fn service_target(&self, path_and_query: &str) -> Result<RequestTarget, Refusal> {
        let path_and_query = path_and_query
            .strip_prefix(SERVICE_PREFIX)
            .unwrap_or_default();
        let name_end = path_and_query
            .find(['/', '?'])
            .unwrap_or(path_and_query.len());
        let (service, path_and_query) = path_and_query.split_at(name_end);
        let pool = self.config.pool_of_service(service).ok_or_else(|| {
            let message = format!("there is no service {service}");
            refuse(RefusalCode::UnknownService, message)
        })?;
        let path = match path_and_query.starts_with('/') {
            true => path_and_query.to_owned(),
            false => format!("/{path_and_query}"),
        };
        Ok(RequestTarget { pool, path })
    }

    fn chat_target(&self, body: &[u8]) -> Result<RequestTarget, Refusal> {
        let head: ChatHead = serde_json::from_slice(body)
            .map_err(|error| refuse(RefusalCode::BadRequest, format!("the body: {error}")))?;
        let pool = self.config.pool_of_model(&head.model).ok_or_else(|| {
            let message = format!("no pool serves model {}", head.model);
            refuse(RefusalCode::UnknownModel, message)
        })?;
        Ok(RequestTarget {
            pool,
            path: CHAT_PATH.to_owned(),
        })
    }
}

fn refuse(code: RefusalCode, message: impl Into<String>) -> Refusal {
    Refusal::not_run(code, RequestStep::Accept, message)
}

/// Returns the parsed value of an optional header.
///
/// # Errors
///
/// Returns a refusal if the value does not parse or is not accepted.
fn parse_header<T: FromStr>(
    headers: &HeaderMap,
    name: &str,
    allowed: &str,
    accept: impl Fn(&T) -> bool,
) -> Result<Option<T>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    let accepted = parsed.filter(accept).ok_or_else(|| {
        let message = format!("header {name} must be a whole number, {allowed}");
        refuse(RefusalCode::BadRequest, message)
    })?;
    Ok(Some(accepted))
}

#[cfg(test)]
mod tests;
