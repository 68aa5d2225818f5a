//! One request of a caller, from its head to its answer.

mod admitted;
mod call_progress;
mod placing;
mod quarantined;
mod send_loss;
mod sending;

use super::call_body::CallBody;
use super::events::{DeclinedEngine, GatewayEvent, log_gateway};
use super::gateway_metrics::GATEWAY_METRICS;
use super::gateway_state::GatewayState;
use super::refusal::{RefusalReason, refusal_response};
use crate::shared_stream::DisconnectMonitor;
use admitted::admit;
pub(super) use admitted::{AdmittedCall, CallTries};
use http::{Request, Response};
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;

/// A request that gets no endpoint's answer.
#[derive(Debug, Clone)]
pub(super) struct CallRefusal {
    /// Why.
    pub(super) reason: RefusalReason,
    /// When the caller should come back, where that makes sense.
    pub(super) retry_after: Option<Duration>,
    /// The engines that were asked, for prompts.
    pub(super) asked: Vec<DeclinedEngine>,
    /// How many times its share the workspace has had, for prompts.
    pub(super) share: Option<f64>,
}

impl CallRefusal {
    /// Refuses a request that may come back after a time.
    pub(super) const fn come_back(reason: RefusalReason, after: Duration) -> Self {
        Self {
            reason,
            retry_after: Some(after),
            asked: Vec::new(),
            share: None,
        }
    }
}

impl From<RefusalReason> for CallRefusal {
    fn from(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after: None,
            asked: Vec::new(),
            share: None,
        }
    }
}

/// Serves a request of `caller`.
pub(super) async fn serve_call(
    state: Arc<GatewayState>,
    request: Request<Incoming>,
    caller: DisconnectMonitor,
) -> Response<CallBody> {
    match admit(state, request, caller).await {
        Ok(call) => {
            let call = Arc::new(call);
            match call.clone().run().await {
                Ok(response) => response,
                // Nobody reads it, and the end of the request has a line of its own.
                Err(refusal) if refusal.reason == RefusalReason::CallerLeft => {
                    refusal_response(&call.head.id, refusal.reason, None)
                }
                Err(refusal) => refuse(&call, &refusal),
            }
        }
        Err(turned_away) => {
            let reason = turned_away.refusal.reason;
            GATEWAY_METRICS.record_outcome("", reason.as_str());
            log_gateway(&GatewayEvent::Refused {
                request: &turned_away.id,
                route: &turned_away.route,
                workspace: &turned_away.workspace,
                tokens: None,
                status: reason.status().as_u16(),
                reason: reason.as_str(),
                ran: reason.outcome().as_str(),
                waited_ms: 0,
                retry_after_ms: millis(turned_away.refusal.retry_after),
                asked: &[],
                share: None,
                config: turned_away.config,
                config_age_ms: turned_away.config_age_ms,
                endpoints_age_ms: turned_away.endpoints_age_ms,
            });
            refusal_response(&turned_away.id, reason, turned_away.refusal.retry_after)
        }
    }
}

fn millis(time: Option<Duration>) -> Option<u64> {
    time.map(|time| time.as_millis() as u64)
}

fn refuse(call: &AdmittedCall, refusal: &CallRefusal) -> Response<CallBody> {
    let reason = refusal.reason;
    call.progress.end();
    GATEWAY_METRICS.record_outcome(&call.service().name, reason.as_str());
    log_gateway(&GatewayEvent::Refused {
        request: &call.head.id,
        route: &call.route().name,
        workspace: call.workspace_name(),
        tokens: call.prompt_tokens(),
        status: reason.status().as_u16(),
        reason: reason.as_str(),
        ran: reason.outcome().as_str(),
        waited_ms: call.age().as_millis() as u64,
        retry_after_ms: millis(refusal.retry_after),
        asked: &refusal.asked,
        share: refusal.share,
        config: call.config_version(),
        config_age_ms: call.state.config_age_ms(),
        endpoints_age_ms: call.state.endpoints_age_ms(),
    });
    refusal_response(&call.head.id, reason, refusal.retry_after)
}
