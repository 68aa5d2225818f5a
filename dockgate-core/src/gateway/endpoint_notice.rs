//! What an endpoint announces about itself in the head of an answer.
//!
//! The endpoint's record in the platform's store may be seconds old, and is not updated while the
//! store is unavailable. Answers come from the endpoint itself, so their notices are the most
//! recent information about it.
//!
//! ```
//! use dockgate_core::gateway::{AnswerOwner, AnswerAttributes, EndpointNotice};
//!
//! let notice = EndpointNotice { is_leaving: true, ..EndpointNotice::default() };
//! let attributes = AnswerAttributes {
//!     status: 200,
//!     owner: AnswerOwner::Own,
//!     has_proof: true,
//!     not_run: false,
//!     is_encoded: false,
//! };
//! assert!(notice.trusted(&attributes).is_leaving);
//! ```

use super::answer_verdict::{AnswerAttributes, AnswerOwner};
use std::time::Duration;

/// The status of an answer from an endpoint that the request was not meant for.
const MISDIRECTED: u16 = 421;
/// The status with which an endpoint requests a backoff.
const UNAVAILABLE: u16 = 503;

/// What an endpoint announces about itself with an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointNotice {
    /// Whether the endpoint is about to end and takes no new requests.
    pub is_leaving: bool,
    /// How long the endpoint wants no requests from this box, if it requests a backoff.
    pub backoff: Option<Duration>,
}

impl EndpointNotice {
    /// Returns whether nothing is announced.
    pub const fn is_empty(&self) -> bool {
        !self.is_leaving && self.backoff.is_none()
    }

    /// Returns the part of the notice that can be trusted, given the answer that carried it.
    ///
    /// An answer to an earlier request, or one that cannot be passed on, still comes from the
    /// endpoint. An answer without a request id may come from any process at that address, and a
    /// misdirected request was answered by another endpoint. Only a refusal can request a backoff.
    #[must_use]
    pub const fn trusted(self, attributes: &AnswerAttributes) -> Self {
        match (attributes.owner, attributes.status) {
            (AnswerOwner::Unnamed, _) | (_, MISDIRECTED) => Self {
                is_leaving: false,
                backoff: None,
            },
            (_, UNAVAILABLE) => self,
            _ => Self {
                backoff: None,
                ..self
            },
        }
    }
}

#[cfg(test)]
mod tests;
