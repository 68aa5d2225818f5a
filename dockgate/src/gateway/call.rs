//! Serves one request of a caller: admission, placement, sending and the answer.

mod admitted_call;
mod attempt_failure;
mod call_placement;
mod call_progress;
mod plain_selection;
mod quarantine_check;
mod reserved_retry;
mod send_attempts;
mod send_withdrawal;
mod silent_send;
mod take_up;

use super::call_body::CallBody;
use super::events::{DeclinedEngine, GatewayEvent, log_gateway};
use super::gateway_metrics::GATEWAY_METRICS;
use super::gateway_state::GatewayState;
use super::refusal::{RefusalReason, refusal_response};
use crate::shared_stream::DisconnectMonitor;
use admitted_call::admit;
pub(super) use admitted_call::{AdmittedCall, CallAttempts};
use call_progress::CallStage;
use dockgate_core::gateway::SuspectKey;
use http::{Request, Response};
use hyper::body::Incoming;
pub(super) use silent_send::{Replacement, SilenceEnd};
use std::sync::Arc;
use std::time::Duration;

/// Retry delay of a request that another box may serve at once: this one is about to stop, or is cut
/// off from the boxes that know a stream.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(20);

/// Why a request is refused without an endpoint's answer.
#[derive(Debug, Clone)]
pub(super) struct CallRefusal {
    /// The reason reported to the caller.
    pub(super) reason: RefusalReason,
    /// The delay after which the caller should retry, if a retry makes sense.
    pub(super) retry_after: Option<Duration>,
    /// The engines that declined, for prompts.
    pub(super) declined: Vec<DeclinedEngine>,
    /// The usage of the workspace as a multiple of its share, for prompts.
    pub(super) share: Option<f64>,
    /// The key that is in quarantine, of the request or of a part of its prompt.
    pub(super) quarantined: Option<SuspectKey>,
}

impl CallRefusal {
    /// Creates a refusal that asks the caller to retry after a delay.
    pub(super) const fn with_retry(reason: RefusalReason, after: Duration) -> Self {
        Self {
            reason,
            retry_after: Some(after),
            declined: Vec::new(),
            share: None,
            quarantined: None,
        }
    }

    /// Creates the refusal of a box that stops, which has not sent the request.
    const fn stopping() -> Self {
        Self::with_retry(RefusalReason::Stopping, RETRY_ELSEWHERE)
    }
}

impl From<RefusalReason> for CallRefusal {
    fn from(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after: None,
            declined: Vec::new(),
            share: None,
            quarantined: None,
        }
    }
}

/// Serves a request of `caller` and logs the outcome if it is refused.
pub(super) async fn serve_call(
    state: Arc<GatewayState>,
    request: Request<Incoming>,
    caller: DisconnectMonitor,
) -> Response<CallBody> {
    match admit(state, request, caller).await {
        Ok(call) => {
            let call = Arc::new(call);
            let answers = call.state.final_answers_due.clone();
            let answer = answers.run_until_cancelled(call.clone().run()).await;
            match answer.unwrap_or_else(|| Err(call.refusal_at_end())) {
                Ok(response) => response,
                // Nobody reads this response; the drop of the call logs that the caller left.
                Err(refusal) if refusal.reason == RefusalReason::CallerLeft => {
                    refusal_response(&call.head.id, refusal.reason, None)
                }
                Err(refusal) => refuse_call(&call, &refusal),
            }
        }
        Err(rejected) => {
            let reason = rejected.refusal.reason;
            GATEWAY_METRICS.record_outcome("", reason.as_str());
            log_gateway(&GatewayEvent::Refused {
                request: &rejected.id,
                route: &rejected.route,
                workspace: &rejected.workspace,
                tokens: None,
                status: reason.status().as_u16(),
                reason: reason.as_str(),
                ran: reason.outcome().as_str(),
                print: print_of(&rejected.refusal),
                part: rejected.part.as_deref(),
                waited_ms: 0,
                retry_after_ms: to_millis(rejected.refusal.retry_after),
                asked: &[],
                share: None,
                config: rejected.config,
                config_age_ms: rejected.config_age_ms,
                endpoints_age_ms: rejected.endpoints_age_ms,
            });
            refusal_response(&rejected.id, reason, rejected.refusal.retry_after)
        }
    }
}

impl AdmittedCall {
    /// Returns the refusal of a request that has no answer when the process ends.
    fn refusal_at_end(&self) -> CallRefusal {
        match self.progress.stage() {
            CallStage::Placing => CallRefusal::stopping(),
            CallStage::Sent | CallStage::Answering => RefusalReason::StoppedUnanswered.into(),
        }
    }
}

fn print_of(refusal: &CallRefusal) -> Option<String> {
    refusal.quarantined.as_ref().map(SuspectKey::to_string)
}

fn to_millis(time: Option<Duration>) -> Option<u64> {
    time.map(|time| time.as_millis() as u64)
}

fn refuse_call(call: &AdmittedCall, refusal: &CallRefusal) -> Response<CallBody> {
    let reason = refusal.reason;
    call.progress.end();
    GATEWAY_METRICS.record_outcome(&call.service().name, reason.as_str());
    let part = refusal.quarantined.and_then(|key| call.part_name(key));
    log_gateway(&GatewayEvent::Refused {
        request: &call.head.id,
        route: &call.route().name,
        workspace: call.workspace_name(),
        tokens: call.prompt_tokens(),
        status: reason.status().as_u16(),
        reason: reason.as_str(),
        ran: reason.outcome().as_str(),
        print: print_of(refusal),
        part: part.as_deref(),
        waited_ms: call.age().as_millis() as u64,
        retry_after_ms: to_millis(refusal.retry_after),
        asked: &refusal.declined,
        share: refusal.share,
        config: call.config_version(),
        config_age_ms: call.state.config_age_ms(),
        endpoints_age_ms: call.state.endpoints_age_ms(),
    });
    refusal_response(&call.head.id, reason, refusal.retry_after)
}
