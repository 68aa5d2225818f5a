//! Reads a caller's request and finds out what it is: whose, for which pool, repeatable or not.

use super::hop::clean_request;
use super::refusal::Refusal;
use crate::clock::{now_ms, timeout};
use crate::door::bearer_of;
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
const HIGHEST_PRIORITY: u8 = 9;
const LONGEST_DEADLINE_MS: u64 = 24 * 3_600_000;

/// The part of a chat-completions request that routing needs.
#[derive(Debug, Deserialize)]
struct ChatHead {
    model: String,
}

/// A request that has been read and checked.
#[derive(Debug, Clone)]
pub(super) struct CallerCall {
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

/// Classifies requests by one configuration.
pub(super) struct Classifier<'a> {
    config: &'a FleetConfig,
    limits: &'a LimitSettings,
}

/// Where a request goes.
struct CallTarget {
    pool: PoolKey,
    path: String,
}

impl<'a> Classifier<'a> {
    pub(super) const fn new(config: &'a FleetConfig, limits: &'a LimitSettings) -> Self {
        Self { config, limits }
    }

    /// Finds the workspace that a request's key belongs to.
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

    /// Reads a request in full and finds out what it is.
    pub(super) async fn classify(
        &self,
        id: &str,
        request: Request<Incoming>,
    ) -> Result<CallerCall, Refusal> {
        let (workspace, spec) = self.workspace(request.headers())?;
        let classified = self.read(id, request, workspace, spec).await;
        classified.map_err(|refusal| refusal.of(&spec.name))
    }

    async fn read(
        &self,
        id: &str,
        request: Request<Incoming>,
        workspace: WorkspaceKey,
        spec: &WorkspaceSpec,
    ) -> Result<CallerCall, Refusal> {
        let started_ms = now_ms();
        let (parts, body) = request.into_parts();
        let mut headers = parts.headers;
        let priority = header(&headers, headers::PRIORITY, "0 to 9", |priority: &u8| {
            *priority <= HIGHEST_PRIORITY
        })?;
        let wait_ms = header(
            &headers,
            headers::DEADLINE_MS,
            "1 to 86400000",
            |wait: &u64| (1..=LONGEST_DEADLINE_MS).contains(wait),
        )?;
        let default_ms = self.limits.queue_timeout.as_millis() as u64;
        let repeatable = self.repeatable(&headers)?;
        let path_and_query = parts.uri.path_and_query();
        let path_and_query = path_and_query.map_or("/", |path| path.as_str());
        let body = self.read_body(body).await?;
        let target = self.target(&parts.method, parts.uri.path(), path_and_query, &body)?;
        let pool = self.config.pools.get(target.pool);
        let engine = pool.is_some_and(|pool| pool.kind == PoolKind::Engine);
        clean_request(&mut headers);
        Ok(CallerCall {
            id: id.to_owned(),
            workspace,
            workspace_name: spec.name.clone(),
            queue_limit: spec.queue_limit as usize,
            pool: target.pool,
            pool_name: pool.map(|pool| pool.name.clone()).unwrap_or_default(),
            engine,
            repeatable,
            priority: priority.unwrap_or(spec.priority),
            deadline_ms: started_ms + wait_ms.unwrap_or(default_ms),
            started_ms,
            method: parts.method,
            path: target.path,
            headers,
            body,
        })
    }

    /// Tells whether the kind that a request names may be sent to a second endpoint.
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
    ) -> Result<CallTarget, Refusal> {
        match path.strip_prefix(SERVICE_PREFIX) {
            Some(_) => self.service_target(path_and_query),
            None if path == CHAT_PATH && method == Method::POST => self.chat_target(body),
            None => Err(refuse(
                RefusalCode::UnknownPath,
                format!("there is no {method} {path}"),
            )),
        }
    }

    fn service_target(&self, path_and_query: &str) -> Result<CallTarget, Refusal> {
        let rest = path_and_query
            .strip_prefix(SERVICE_PREFIX)
            .unwrap_or_default();
        let end = rest.find(['/', '?']).unwrap_or(rest.len());
        let (service, rest) = rest.split_at(end);
        let pool = self.config.pool_of_service(service).ok_or_else(|| {
            let message = format!("there is no service {service}");
            refuse(RefusalCode::UnknownService, message)
        })?;
        let path = match rest.starts_with('/') {
            true => rest.to_owned(),
            false => format!("/{rest}"),
        };
        Ok(CallTarget { pool, path })
    }

    fn chat_target(&self, body: &[u8]) -> Result<CallTarget, Refusal> {
        let head: ChatHead = serde_json::from_slice(body)
            .map_err(|error| refuse(RefusalCode::BadRequest, format!("the body: {error}")))?;
        let pool = self.config.pool_of_model(&head.model).ok_or_else(|| {
            let message = format!("no pool serves model {}", head.model);
            refuse(RefusalCode::UnknownModel, message)
        })?;
        Ok(CallTarget {
            pool,
            path: CHAT_PATH.to_owned(),
        })
    }
}

fn refuse(code: RefusalCode, message: impl Into<String>) -> Refusal {
    Refusal::not_run(code, RequestStep::Accept, message)
}

/// Reads a header that must parse and be accepted if it is there.
fn header<T: FromStr>(
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
