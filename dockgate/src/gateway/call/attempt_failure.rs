//! An attempt to send a request that gave no answer which can be forwarded.

use super::super::call_body::CallBody;
use super::super::counted_body::ReadFailure;
use super::super::gateway_metrics::GATEWAY_METRICS;
use super::silent_send::Replacement;
use dockgate_core::AttemptState;
use dockgate_core::gateway::EndpointOutcome;
use http::Response;

/// Whether a failed attempt suggests that the endpoint has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EndpointSuspicion {
    /// It does not.
    None,
    /// The answer broke off or did not come in time.
    MayHaveEnded,
    /// Its address refused the connection, or belongs to another endpoint now.
    Gone,
}

/// Why an attempt gave no answer that can be forwarded.
pub(in super::super) struct AttemptFailure {
    /// How far the attempt had progressed.
    pub(super) state: AttemptState,
    /// The outcome recorded for the endpoint's health, if any.
    pub(super) outcome: Option<EndpointOutcome>,
    /// The description for the log.
    pub(in super::super) problem: String,
    /// The answer to forward if the request is not retried.
    pub(super) answer: Option<Box<Response<CallBody>>>,
    /// Whether the deadline of the request had passed.
    pub(super) timed_out: bool,
    /// The endpoint that takes over, if the attempt was given up for it.
    pub(in super::super) replacement: Option<Box<Replacement>>,
    /// Whether the endpoint may have ended.
    pub(super) suspicion: EndpointSuspicion,
}

impl AttemptFailure {
    /// Creates a failure that counts as `outcome` for the endpoint.
    pub(super) fn new(
        state: AttemptState,
        outcome: EndpointOutcome,
        problem: impl Into<String>,
    ) -> Self {
        Self {
            outcome: Some(outcome),
            ..Self::without_outcome(state, problem)
        }
    }

    /// Creates a failure that does not count for the endpoint.
    pub(super) fn without_outcome(state: AttemptState, problem: impl Into<String>) -> Self {
        Self {
            state,
            outcome: None,
            problem: problem.into(),
            answer: None,
            timed_out: false,
            replacement: None,
            suspicion: EndpointSuspicion::None,
        }
    }

    /// Creates the failure of a request whose endpoint was gone, so that it did not run.
    pub(super) fn gone(state: AttemptState, problem: impl Into<String>) -> Self {
        Self {
            suspicion: EndpointSuspicion::Gone,
            ..Self::new(state, EndpointOutcome::Unreachable, problem)
        }
    }

    /// Creates the failure of a request that was withdrawn before its answer began.
    pub(super) fn withdrawn() -> Self {
        Self::without_outcome(
            AttemptState::Sent,
            "withdrawn: a part of its prompt is quarantined",
        )
    }

    /// Creates the failure of an answer that broke off or did not come in time.
    pub(super) fn broken_off(problem: impl Into<String>, timed_out: bool) -> Self {
        Self {
            timed_out,
            suspicion: EndpointSuspicion::MayHaveEnded,
            ..Self::new(AttemptState::Sent, EndpointOutcome::Failed, problem)
        }
    }

    /// Creates the failure of an answer that was not read to its end. An answer that was given up for
    /// its size does not suggest that the endpoint has ended.
    pub(super) fn incomplete(failure: &ReadFailure) -> Self {
        let bound = match failure {
            ReadFailure::Broken(_) => return Self::broken_off(failure.to_string(), false),
            ReadFailure::TooLarge => "too_large",
            ReadFailure::OutOfMemory => "out_of_memory",
        };
        GATEWAY_METRICS.record_unbounded_answer(bound);
        Self::new(
            AttemptState::Sent,
            EndpointOutcome::Failed,
            failure.to_string(),
        )
    }

    /// Creates the failure of an attempt at a silent endpoint that was given up for another one. The
    /// silence has been recorded.
    pub(super) fn replaced(replacement: Box<Replacement>) -> Self {
        Self {
            replacement: Some(replacement),
            suspicion: EndpointSuspicion::MayHaveEnded,
            ..Self::without_outcome(AttemptState::Sent, "silent for too long")
        }
    }
}
