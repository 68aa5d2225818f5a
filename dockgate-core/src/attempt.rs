//! What may be retried, and what may be said to the caller, after each step of an attempt.
//!
//! The whole rule stands in one state machine: `not_run` is legal only while no byte of the request
//! has gone to an endpoint, or on a refusal by an endpoint that is declared honest about not having
//! started.
//!
//! ```
//! use dockgate_core::{AttemptState, Outcome};
//!
//! assert_eq!(AttemptState::Queued.outcome(false), Outcome::NotRun);
//! assert_eq!(AttemptState::Sent.outcome(false), Outcome::Unknown);
//! ```

use serde::{Deserialize, Serialize};

/// What dockgate answers for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No endpoint has run any part of the request.
    NotRun,
    /// The request ran and did not give a whole answer.
    Failed,
    /// The request may or may not have run.
    Unknown,
}

impl Outcome {
    /// Returns the word used in bodies, logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        }
    }
}

/// How far an attempt has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptState {
    /// Waiting for a grant.
    Queued,
    /// Bound to a grant; connecting, nothing sent yet.
    Bound,
    /// An endpoint declared honest refused without starting.
    Refused,
    /// At least one byte of the request may have reached an endpoint.
    Sent,
    /// Bytes of an answer have reached the caller.
    Streaming,
}

/// What to do after an attempt ended without a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryVerdict {
    /// Queue the request again.
    Retry,
    /// Give up and tell the caller this.
    Report(Outcome),
}

impl AttemptState {
    /// Returns what may be said of an attempt that ended in this state.
    pub const fn outcome(self, repeatable: bool) -> Outcome {
        match self {
            Self::Queued | Self::Bound | Self::Refused => Outcome::NotRun,
            Self::Sent | Self::Streaming if repeatable => Outcome::Failed,
            Self::Sent | Self::Streaming => Outcome::Unknown,
        }
    }

    /// Decides whether an attempt that ended in this state is tried again.
    ///
    /// `budget_left` is false once the retry budget or the deadline is used up.
    pub const fn retry_verdict(self, repeatable: bool, budget_left: bool) -> RetryVerdict {
        match self {
            Self::Queued | Self::Bound | Self::Refused if budget_left => RetryVerdict::Retry,
            Self::Sent if repeatable && budget_left => RetryVerdict::Retry,
            _ => RetryVerdict::Report(self.outcome(repeatable)),
        }
    }
}

/// What has been sent for one request over all its attempts.
///
/// Once a byte of any attempt may have reached an endpoint, no later refusal may say `not_run`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptTrail {
    sent: bool,
}

impl AttemptTrail {
    /// Notes how far an attempt had come when it ended.
    pub const fn record(&mut self, state: AttemptState) {
        self.sent |= matches!(state, AttemptState::Sent | AttemptState::Streaming);
    }

    /// Returns what may be said of the whole request when its last attempt ended in `state`.
    pub const fn outcome(self, state: AttemptState, repeatable: bool) -> Outcome {
        match self.sent {
            true => AttemptState::Sent.outcome(repeatable),
            false => state.outcome(repeatable),
        }
    }
}

#[cfg(test)]
mod tests;
