//! What an endpoint says of itself in the head of an answer.
//!
//! The platform's store has an endpoint's record, which may be seconds old, or not be written at all while the store
//! is away. Its answers come from the endpoint itself, so what they say of it is the newest word there is.
//!
//! ```
//! use dockgate_core::gateway::{AnswerOwner, AnswerAttributes, EndpointNotice};
//!
//! let said = EndpointNotice { leaves: true, ..EndpointNotice::default() };
//! let signs = AnswerAttributes {
//!     status: 200,
//!     owner: AnswerOwner::Own,
//!     has_proof: true,
//!     not_run: false,
//!     is_encoded: false,
//! };
//! assert!(said.believed(&signs).leaves);
//! ```

use super::answer_verdict::{AnswerAttributes, AnswerOwner};
use std::time::Duration;

/// The status of an answer that another endpoint gave in the place of the one that was meant.
const MISDIRECTED: u16 = 421;
/// The status with which an endpoint asks for rest.
const UNAVAILABLE: u16 = 503;

/// What an endpoint says of itself beside an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointNotice {
    /// It is about to end, and takes nothing new.
    pub leaves: bool,
    /// It wants nothing from this box for so long.
    pub rest: Option<Duration>,
}

impl EndpointNotice {
    /// Tells whether nothing is said.
    pub const fn is_empty(&self) -> bool {
        !self.leaves && self.rest.is_none()
    }

    /// Returns the part of it that the answer gives reason to believe.
    ///
    /// An answer to an earlier request, or one that cannot be passed on, is the endpoint's word all the same. One
    /// without any request's id may come from whatever listens there, and a misdirected request was answered by
    /// another endpoint. Only one that turns a request away asks for rest.
    #[must_use]
    pub const fn believed(self, signs: &AnswerAttributes) -> Self {
        match (signs.owner, signs.status) {
            (AnswerOwner::Unnamed, _) | (_, MISDIRECTED) => Self {
                leaves: false,
                rest: None,
            },
            (_, UNAVAILABLE) => self,
            _ => Self { rest: None, ..self },
        }
    }
}

#[cfg(test)]
mod tests;
