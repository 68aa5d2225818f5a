//! JSON-RPC listener for operators: plan, confirm, show, history and status.

use crate::clock::unix_ms;
use crate::config_cell::ConfigCell;
use crate::dispatch::DispatchHandle;
use crate::error::DaemonError;
use crate::rpc_listener::{RpcListener, has_secret};
use dockgate_config::{CommitOutcome, ConfigHead, ConfigStore};
use dockgate_core::{ConfigPlan, parse_declaration};
use dockgate_platform::PlatformError;
use dockgate_proto::operator::{
    self, ConfirmReply, ConfirmRequest, HistoryRequest, PlanIntent, PlanReply, PlanRequest,
    StaleDetail, codes,
};
use http::{Extensions, HeaderMap};
use jsonrpsee::RpcModule;
use jsonrpsee::types::{ErrorCode, ErrorObjectOwned};
use std::fmt::Display;
use std::time::Duration;

/// How long a plan can be confirmed.
const PLAN_TTL: Duration = Duration::from_secs(3_600);
/// The maximum number of attempts to commit a plan.
const MAX_COMMIT_ATTEMPTS: u32 = 3;

struct OperatorContext {
    store: ConfigStore,
    cell: ConfigCell,
    dispatch: DispatchHandle,
}

/// Creates the listener.
///
/// # Errors
///
/// Returns an error if a method cannot be registered.
pub(crate) fn operator_listener(
    store: ConfigStore,
    cell: ConfigCell,
    dispatch: DispatchHandle,
    token: String,
) -> Result<RpcListener<impl Fn(&HeaderMap) -> Result<Extensions, &'static str>>, DaemonError> {
    let context = OperatorContext {
        store,
        cell,
        dispatch,
    };
    let mut module = RpcModule::new(context);
    module.register_async_method(operator::PLAN, |params, context, _| async move {
        plan(&context, params.one()?).await
    })?;
    module.register_async_method(operator::CONFIRM, |params, context, _| async move {
        confirm(&context, params.one()?).await
    })?;
    module.register_method(operator::SHOW, |_, context, _| {
        Ok::<_, ErrorObjectOwned>((*context.cell.current()).clone())
    })?;
    module.register_async_method(operator::HISTORY, |params, context, _| async move {
        let HistoryRequest { limit } = params.one()?;
        let (head, _) = context
            .store
            .read_head()
            .await
            .map_err(|error| platform_error(&error))?;
        let mut entries = head.entries;
        entries.reverse();
        entries.truncate(limit);
        Ok::<_, ErrorObjectOwned>(entries)
    })?;
    module.register_async_method(operator::STATUS, |_, context, _| async move {
        let status = context.dispatch.status().await;
        status.ok_or_else(|| ErrorObjectOwned::from(ErrorCode::InternalError))
    })?;
    Ok(RpcListener {
        name: "operators",
        methods: module.into(),
        guard: move |headers: &HeaderMap| match has_secret(headers, &token) {
            true => Ok(Extensions::new()),
            false => Err("the operator token is missing or wrong"),
        },
    })
}

async fn plan(
    context: &OperatorContext,
    request: PlanRequest,
) -> Result<PlanReply, ErrorObjectOwned> {
    let (head, _) = context
        .store
        .read_head()
        .await
        .map_err(|error| platform_error(&error))?;
    let followed = context.cell.follow(&context.store, &head).await;
    followed.map_err(|error| platform_error(&error))?;
    let config = context.cell.current();
    let changes = match request.intent {
        PlanIntent::Changes(changes) => changes,
        PlanIntent::Declaration(file, text) => parse_declaration(&file, &text)
            .map_err(invalid_error)?
            .changes_from(&config),
    };
    let plan = ConfigPlan::new(&config, changes).map_err(invalid_error)?;
    let stored = context.store.store_plan(&plan, PLAN_TTL).await;
    stored.map_err(|error| platform_error(&error))?;
    Ok(PlanReply {
        plan,
        valid_for_s: PLAN_TTL.as_secs(),
    })
}

async fn confirm(
    context: &OperatorContext,
    request: ConfirmRequest,
) -> Result<ConfirmReply, ErrorObjectOwned> {
    let plan = context.store.read_plan(&request.plan).await;
    let plan = plan
        .map_err(|error| platform_error(&error))?
        .ok_or_else(|| {
            let message = format!("there is no plan {}; plan again", request.plan);
            ErrorObjectOwned::owned(codes::UNKNOWN_PLAN, message, None::<()>)
        })?;
    match commit(&context.store, &plan, &request.author).await? {
        CommitOutcome::Committed(version) => Ok(ConfirmReply {
            version,
            already: false,
        }),
        CommitOutcome::AlreadyCommitted(version) => Ok(ConfirmReply {
            version,
            already: true,
        }),
        CommitOutcome::Stale(head) => Err(stale_error(&plan, &head)),
    }
}

/// Commits a plan, with retries after errors: a repeated commit takes effect only once.
///
/// # Errors
///
/// Returns the last error if all attempts fail.
async fn commit(
    store: &ConfigStore,
    plan: &ConfigPlan,
    author: &str,
) -> Result<CommitOutcome, ErrorObjectOwned> {
    let mut last_error = None;
    for _ in 0..MAX_COMMIT_ATTEMPTS {
        match store.commit(plan, author, unix_ms()).await {
            Ok(outcome) => return Ok(outcome),
            Err(error) => last_error = Some(platform_error(&error)),
        }
    }
    Err(last_error.unwrap_or_else(|| ErrorCode::InternalError.into()))
}

fn stale_error(plan: &ConfigPlan, head: &ConfigHead) -> ErrorObjectOwned {
    let detail = StaleDetail {
        base: plan.base,
        version: head.version,
        since: head.entries_since(plan.base).unwrap_or_default(),
    };
    let message = format!(
        "the plan is based on version {}, but version {} is in force; plan again",
        detail.base, detail.version
    );
    ErrorObjectOwned::owned(codes::STALE, message, Some(detail))
}

fn invalid_error(error: impl Display) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(codes::INVALID, error.to_string(), None::<()>)
}

fn platform_error(error: &PlatformError) -> ErrorObjectOwned {
    let code = match error {
        PlatformError::Invalid(..) => codes::INVALID,
        _ => codes::PLATFORM,
    };
    ErrorObjectOwned::owned(code, error.to_string(), None::<()>)
}
