//! What may be done with an endpoint's answer.
//!
//! A refusal promises that a request has not run, so only the endpoint's own word makes one; a
//! success without proof, or one that belongs to another request, is no answer at all.

/// Whose answer it is, by the id that it carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerOwner {
    /// The request's.
    Own,
    /// It carries no id.
    Unnamed,
    /// Another request's.
    Foreign,
}

/// What is known from the head of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerAttributes {
    /// The HTTP status.
    pub status: u16,
    /// Whose answer it is.
    pub owner: AnswerOwner,
    /// Whether it carries the endpoint's proof.
    pub has_proof: bool,
    /// Whether the endpoint says that it did not run the request.
    pub not_run: bool,
    /// Whether the body is encoded, so that it is not what the endpoint made.
    pub is_encoded: bool,
}

/// What may be done with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// It is passed on as it is.
    PassOn,
    /// The endpoint ran the request and failed: passed on, unless the request may be repeated.
    Failed,
    /// The endpoint did not run the request.
    NotRun,
    /// It is no answer to this request, which may have run.
    Unusable,
}

/// Statuses that promise callers that a request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

impl AnswerAttributes {
    /// Judges an answer.
    pub fn classify(&self) -> AnswerVerdict {
        match (self.status, self.owner) {
            (_, AnswerOwner::Foreign) => AnswerVerdict::Unusable,
            _ if self.not_run => AnswerVerdict::NotRun,
            (_, AnswerOwner::Unnamed) => AnswerVerdict::Unusable,
            (200..=299, _) if self.has_proof && !self.is_encoded => AnswerVerdict::PassOn,
            (200..=299, _) => AnswerVerdict::Unusable,
            (status, _) if PROMISES.contains(&status) => AnswerVerdict::Unusable,
            (500..=599, _) => AnswerVerdict::Failed,
            _ => AnswerVerdict::PassOn,
        }
    }
}

#[cfg(test)]
mod tests;
