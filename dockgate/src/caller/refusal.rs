//! Refusals: what a caller is told instead of an answer.

use super::{ResponseBody, full_body};
use dockgate_core::{AttemptState, Outcome};
use dockgate_proto::{RefusalBody, RefusalCode, RequestStep};
use http::{HeaderValue, Response, header};

/// A request that gets no answer from an endpoint.
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
    /// Refuses a request of which nothing ran.
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

    /// Refuses because the box stops; another box takes the request at once.
    pub(super) fn stopping() -> Self {
        Self::not_run(
            RefusalCode::Stopping,
            RequestStep::Accept,
            "this box is stopping",
        )
        .retry_after(1)
    }

    /// Ends a request after its last attempt.
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

    /// Says of the whole request what all its attempts together allow.
    #[must_use]
    pub(super) const fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Says when it is worth trying again.
    #[must_use]
    pub(super) const fn retry_after(mut self, seconds: u32) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }

    /// Names the workspace, for the log.
    #[must_use]
    pub(super) fn of(mut self, workspace: &str) -> Self {
        self.workspace = Some(workspace.to_owned());
        self
    }

    /// Returns the step as it is written in logs and metrics.
    pub(super) const fn step_name(&self) -> &'static str {
        match self.step {
            RequestStep::Accept => "accept",
            RequestStep::Queue => "queue",
            RequestStep::Connect => "connect",
            RequestStep::Send => "send",
            RequestStep::Answer => "answer",
        }
    }

    /// Makes the response.
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
