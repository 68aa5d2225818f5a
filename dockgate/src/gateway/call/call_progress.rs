//! Tracks how far a request has progressed.

use dockgate_core::{AttemptState, Outcome};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

/// The stage of a request that has not ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallStage {
    /// No endpoint has run the request.
    Placing,
    /// An endpoint may have run the request; no answer has begun.
    Sent,
    /// The answer has begun.
    Answering,
}

impl CallStage {
    /// Returns the name used in logs.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Placing => "placing",
            Self::Sent => "sent",
            Self::Answering => "answering",
        }
    }
}

/// The progress of a request, updated by the code that sends it and forwards its answer.
#[derive(Debug, Default)]
pub(in super::super) struct CallProgress {
    sends: AtomicU32,
    /// The number of sends that have ended, and after which the request has not run.
    not_run: AtomicU32,
    is_answering: AtomicBool,
    has_ended: AtomicBool,
}

impl CallProgress {
    /// Counts a send to an endpoint.
    pub(super) fn record_send(&self) {
        self.sends.fetch_add(1, Ordering::Relaxed);
    }

    /// Records the state in which the last send ended.
    pub(super) fn record_failure(&self, state: AttemptState) {
        if state.outcome(false) == Outcome::NotRun {
            self.not_run.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Records that the answer has begun.
    pub(in super::super) fn record_answer(&self) {
        self.is_answering.store(true, Ordering::Relaxed);
    }

    /// Records that the request was answered, refused or broken off.
    pub(in super::super) fn end(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
    }

    /// Returns whether the request was answered, refused or broken off.
    pub(super) fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::Relaxed)
    }

    /// Returns the number of sends to endpoints.
    pub(super) fn sends(&self) -> u32 {
        self.sends.load(Ordering::Relaxed)
    }

    pub(super) fn stage(&self) -> CallStage {
        let may_have_run = self.sends() > self.not_run.load(Ordering::Relaxed);
        match (self.is_answering.load(Ordering::Relaxed), may_have_run) {
            (true, _) => CallStage::Answering,
            (false, false) => CallStage::Placing,
            (false, true) => CallStage::Sent,
        }
    }
}

#[cfg(test)]
mod tests;
