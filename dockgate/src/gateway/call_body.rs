//! Bodies of answers to callers.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use quick_error::quick_error;
use std::convert::Infallible;

quick_error! {
    /// Why an answer is incomplete: the connection to the caller is closed without its end.
    #[derive(Debug)]
    pub enum BrokenAnswer {
        /// The endpoint was lost and no other endpoint may resume the answer.
        Lost(endpoint: String, problem: &'static str) {
            display("endpoint {}: read events: {}", endpoint, problem)
        }
    }
}

/// The body of an answer.
pub(super) type CallBody = UnsyncBoxBody<Bytes, BrokenAnswer>;

/// Creates a body of known bytes.
pub(super) fn whole_body(bytes: impl Into<Bytes>) -> CallBody {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}
