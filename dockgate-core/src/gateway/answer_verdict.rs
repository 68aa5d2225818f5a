//! Classification of endpoint answers.
//!
//! A refusal guarantees that a request has not run, so it counts only if the endpoint states it. A
//! success without the endpoint's proof that it generated the answer, or an answer to another
//! request, is unusable.

use std::fmt;

/// The request that an answer belongs to, by the id in its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerOwner {
    /// The answer carries the id of the request.
    Own,
    /// The answer carries no id.
    Unnamed,
    /// The answer carries the id of another request.
    Foreign,
}

/// The attributes of an answer that its head shows.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct AnswerAttributes {
    /// The HTTP status.
    pub status: u16,
    /// The request that it belongs to.
    pub owner: AnswerOwner,
    /// Whether it carries the endpoint's proof that it generated the answer.
    pub has_proof: bool,
    /// Whether the endpoint states that it did not run the request.
    pub not_run: bool,
    /// Whether the body has a content encoding, so that it differs from the endpoint's output.
    pub is_encoded: bool,
}

/// The class of an answer, which determines how it is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// The answer is passed on unchanged.
    PassOn,
    /// The endpoint ran the request and failed; passed on unless the request may be repeated.
    Failed,
    /// The endpoint did not run the request.
    NotRun,
    /// The answer is not valid for this request, which may have run.
    Unusable,
}

/// Statuses from which callers conclude that a request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Formats the attributes under the name that log lines carry: failures are grouped by their text.
impl fmt::Debug for AnswerAttributes {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("AnswerSigns")
            .field("status", &self.status)
            .field("owner", &self.owner)
            .field("has_proof", &self.has_proof)
            .field("not_run", &self.not_run)
            .field("is_encoded", &self.is_encoded)
            .finish()
    }
}

impl AnswerAttributes {
    /// Classifies the answer.
    pub fn classify(&self) -> AnswerVerdict {
        match (self.status, self.owner) {
            (_, AnswerOwner::Foreign) => AnswerVerdict::Unusable,
            // Interim answers end no request, and no request asks to switch protocols.
            (..200, _) => AnswerVerdict::Unusable,
            _ if self.not_run => AnswerVerdict::NotRun,
            (_, AnswerOwner::Unnamed) => AnswerVerdict::Unusable,
            (200..=299, _) if self.has_proof && !self.is_encoded => AnswerVerdict::PassOn,
            (200..=299, _) => AnswerVerdict::Unusable,
            (status, _) if NOT_RUN_STATUSES.contains(&status) => AnswerVerdict::Unusable,
            // A status without a class counts as one of a server error (RFC 9110, section 15).
            (500.., _) => AnswerVerdict::Failed,
            _ => AnswerVerdict::PassOn,
        }
    }
}

#[cfg(test)]
mod tests;
