//! How far a request has come.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

/// Where a request stands that has not ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallStage {
    /// It has not been sent to any endpoint.
    Placing,
    /// An endpoint has it, and no answer has begun.
    Sent,
    /// Its answer has begun.
    Answering,
}

impl CallStage {
    /// Returns the word used in logs.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Placing => "placing",
            Self::Sent => "sent",
            Self::Answering => "answering",
        }
    }
}

/// How far a request has come, as noted by those who bring it on.
#[derive(Debug, Default)]
pub(in super::super) struct CallProgress {
    sends: AtomicU32,
    is_answering: AtomicBool,
    has_ended: AtomicBool,
}

impl CallProgress {
    /// Notes that it is being sent to an endpoint.
    pub(super) fn note_send(&self) {
        self.sends.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes that its answer has begun.
    pub(in super::super) fn note_answer(&self) {
        self.is_answering.store(true, Ordering::Relaxed);
    }

    /// Notes that it is answered, refused or broken off.
    pub(in super::super) fn end(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
    }

    /// Tells whether it is answered, refused or broken off.
    pub(super) fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::Relaxed)
    }

    /// Returns how many times it was sent to an endpoint.
    pub(super) fn sends(&self) -> u32 {
        self.sends.load(Ordering::Relaxed)
    }

    /// Returns where it stands.
    pub(super) fn stage(&self) -> CallStage {
        match (self.is_answering.load(Ordering::Relaxed), self.sends()) {
            (true, _) => CallStage::Answering,
            (false, 0) => CallStage::Placing,
            (false, _) => CallStage::Sent,
        }
    }
}
