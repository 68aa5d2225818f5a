//! Refusals: error responses to callers.

use super::{ResponseBody, full_body};
use dockgate_core::{AttemptState, Outcome};
use dockgate_proto::{RefusalBody, RefusalCode, RequestStep};
use http::{HeaderValue, Response, header};

/// The error response to a request that no endpoint has answered.
#[derive(Debug, Clone)]
pub(super) struct Refusal {
    pub(super) code: RefusalCode,
    pub(super) outcome: Outcome,
    pub(super) step: RequestStep,
    pub(super) message: String,
    pub(super) retry_after_s: Option<u32>,
    pub(super) workspace: Option<String>,
}

impl Refusal {
    /// Creates the refusal of a request that was not run.
    pub(super) fn not_run(
        code: RefusalCode,
        step: RequestStep,
        message: impl Into<String>,
    ) -> Self {
        Self {
            code,
            outcome: Outcome::NotRun,
            step,
            message: message.into(),
            retry_after_s: None,
            workspace: None,
        }
    }

    /// Creates the refusal of a request to a box that is stopping; other boxes accept it.
    pub(super) fn stopping() -> Self {
        Self::not_run(
            RefusalCode::Stopping,
            RequestStep::Accept,
            "this box is stopping",
        )
        .retry_after(1)
    }

    /// Creates the refusal of a request after its last attempt has failed.
    pub(super) fn after_attempt(state: AttemptState, message: String) -> Self {
        let (code, step) = match state {
            AttemptState::Queued => (RefusalCode::DeadlinePassed, RequestStep::Queue),
            AttemptState::Bound => (RefusalCode::EndpointUnavailable, RequestStep::Connect),
            AttemptState::Refused => (RefusalCode::EndpointUnavailable, RequestStep::Send),
            AttemptState::Sent | AttemptState::Streaming => {
                (RefusalCode::EndpointLost, RequestStep::Answer)
            }
        };
        Self::not_run(code, step, message)
    }

    /// Sets the outcome of the request over all its attempts.
    #[must_use]
    pub(super) const fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Sets the time after which the caller may retry, in seconds.
    #[must_use]
    pub(super) const fn retry_after(mut self, seconds: u32) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }

    /// Sets the workspace, for the log.
    #[must_use]
    pub(super) fn for_workspace(mut self, workspace: &str) -> Self {
        self.workspace = Some(workspace.to_owned());
        self
    }

    /// Returns the name of the step in logs and metrics.
    pub(super) const fn step_name(&self) -> &'static str {
        match self.step {
            RequestStep::Accept => "accept",
            RequestStep::Queue => "queue",
            RequestStep::Connect => "connect",
            RequestStep::Send => "send",
            RequestStep::Answer => "answer",
        }
    }

    /// Converts the refusal to an HTTP response.
    pub(super) fn into_response(self, request_id: &str) -> Response<ResponseBody> {
        let body = RefusalBody {
            code: self.code,
            outcome: self.outcome,
            step: self.step,
            message: self.message,
            request_id: request_id.to_owned(),
            retry_after_s: self.retry_after_s,
        };
        let text = serde_json::to_string(&body).unwrap_or_default();
        let mut response = Response::new(full_body(text));
        *response.status_mut() = self.code.status();
        let headers = response.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        if let Some(seconds) = self.retry_after_s {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
