//! Retry decisions and outcomes by the state that an attempt has reached.
//!
//! `not_run` may be reported only if no byte of the request was sent to an endpoint, or if an
//! endpoint declared with `honest_refusal` refused the request without starting it.
//!
//! ```
//! use dockgate_core::{AttemptState, Outcome};
//!
//! assert_eq!(AttemptState::Queued.outcome(false), Outcome::NotRun);
//! assert_eq!(AttemptState::Sent.outcome(false), Outcome::Unknown);
//! ```

use serde::{Deserialize, Serialize};

/// The outcome of a request without a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No endpoint has run any part of the request.
    NotRun,
    /// The request may have run, did not give a complete answer and is declared repeatable.
    Failed,
    /// The request may or may not have run.
    Unknown,
}

impl Outcome {
    /// Returns the name used in response bodies, logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        }
    }
}

/// The state of an attempt to serve a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptState {
    /// Waiting for a grant.
    Queued,
    /// Bound to a grant; connecting, nothing sent yet.
    Bound,
    /// Refused before any processing by an endpoint declared with `honest_refusal`.
    Refused,
    /// At least one byte of the request may have reached an endpoint.
    Sent,
    /// Bytes of the answer have been sent to the caller.
    Streaming,
}

/// The decision after an attempt ended without a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryVerdict {
    /// Queue the request again.
    Retry,
    /// Report this outcome to the caller.
    Report(Outcome),
}

impl AttemptState {
    /// Returns the outcome of an attempt that ended in this state.
    pub const fn outcome(self, repeatable: bool) -> Outcome {
        match self {
            Self::Queued | Self::Bound | Self::Refused => Outcome::NotRun,
            Self::Sent | Self::Streaming if repeatable => Outcome::Failed,
            Self::Sent | Self::Streaming => Outcome::Unknown,
        }
    }

    /// Returns whether to retry after an attempt that ended in this state.
    ///
    /// `budget_left` is false if the retry budget or the deadline is exhausted.
    pub const fn retry_verdict(self, repeatable: bool, budget_left: bool) -> RetryVerdict {
        match self {
            Self::Queued | Self::Bound | Self::Refused if budget_left => RetryVerdict::Retry,
            Self::Sent if repeatable && budget_left => RetryVerdict::Retry,
            _ => RetryVerdict::Report(self.outcome(repeatable)),
        }
    }
}

/// Tracks whether any attempt of a request may have sent bytes to an endpoint.
///
/// If one has, the request is never reported as `not_run`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptTrail {
    sent: bool,
}

impl AttemptTrail {
    /// Records the state in which an attempt ended.
    pub const fn record(&mut self, state: AttemptState) {
        self.sent |= matches!(state, AttemptState::Sent | AttemptState::Streaming);
    }

    /// Returns the outcome of the request if its last attempt ended in `state`.
    pub const fn outcome(self, state: AttemptState, repeatable: bool) -> Outcome {
        match self.sent {
            true => AttemptState::Sent.outcome(repeatable),
            false => state.outcome(repeatable),
        }
    }
}

#[cfg(test)]
mod tests;
