//! A send to an endpoint that gave no answer which can be passed on.

use super::super::call_body::CallBody;
use dockgate_core::AttemptState;
use dockgate_core::gateway::EndpointOutcome;
use http::Response;

/// What a lost send says of the life of the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EndpointSuspicion {
    /// Nothing.
    None,
    /// It had the request, and broke off or fell silent: it may have ended.
    MayHaveEnded,
    /// Nobody listens at its address, or another endpoint does.
    Gone,
}

/// Why a send gave no answer that can be passed on.
pub(super) struct AttemptFailure {
    /// How far it had come.
    pub(super) state: AttemptState,
    /// What it says of the endpoint, if anything.
    pub(super) outcome: Option<EndpointOutcome>,
    /// What is logged.
    pub(super) problem: String,
    /// What is passed on if it is not repeated.
    pub(super) answer: Option<Box<Response<CallBody>>>,
    /// Whether its time was over.
    pub(super) timed_out: bool,
    /// What it says of the life of the endpoint.
    pub(super) suspicion: EndpointSuspicion,
}

impl AttemptFailure {
    /// Makes a loss that says something of the endpoint.
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

    /// Makes a loss that says nothing of the endpoint.
    pub(super) fn without_outcome(state: AttemptState, problem: impl Into<String>) -> Self {
        Self {
            state,
            outcome: None,
            problem: problem.into(),
            answer: None,
            timed_out: false,
            suspicion: EndpointSuspicion::None,
        }
    }

    /// Makes the loss of a request that found its endpoint gone, without having been run.
    pub(super) fn gone(state: AttemptState, problem: impl Into<String>) -> Self {
        Self {
            suspicion: EndpointSuspicion::Gone,
            ..Self::new(state, EndpointOutcome::Unreachable, problem)
        }
    }

    /// Makes the loss of an answer that broke off, or that did not come in time.
    pub(super) fn broken_off(problem: impl Into<String>, timed_out: bool) -> Self {
        Self {
            timed_out,
            suspicion: EndpointSuspicion::MayHaveEnded,
            ..Self::new(AttemptState::Sent, EndpointOutcome::Failed, problem)
        }
    }
}
