//! What a caller is told when it gets no answer from an endpoint.

use dockgate_core::Outcome;
use http::StatusCode;
use serde::{Deserialize, Serialize};

/// How far a request had come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestStep {
    /// Reading and checking the request.
    Accept,
    /// Waiting for a slot.
    Queue,
    /// Connecting to the endpoint.
    Connect,
    /// Sending to the endpoint.
    Send,
    /// Waiting for, or passing on, the answer.
    Answer,
}

macro_rules! refusal_codes {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $status:ident;)+) => {
        /// Why a request got no answer: a stable code.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
        pub enum RefusalCode {
            $($(#[$doc])* #[serde(rename = $text)] $name,)+
        }

        impl RefusalCode {
            /// Every code.
            pub const ALL: &[Self] = &[$(Self::$name,)+];

            /// Returns the code as callers see it.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)+
                }
            }

            /// Returns the HTTP status that goes with it.
            pub const fn status(self) -> StatusCode {
                match self {
                    $(Self::$name => StatusCode::$status,)+
                }
            }
        }
    };
}

refusal_codes! {
    /// No workspace has this key.
    UnknownKey = "unknown_key", UNAUTHORIZED;
    /// The request cannot be read, or a header of ours has a wrong value.
    BadRequest = "bad_request", BAD_REQUEST;
    /// The body is larger than the limit.
    BodyTooLarge = "body_too_large", PAYLOAD_TOO_LARGE;
    /// The body did not come in time.
    BodyTimeout = "body_timeout", REQUEST_TIMEOUT;
    /// No such path.
    UnknownPath = "unknown_path", NOT_FOUND;
    /// No pool serves this model.
    UnknownModel = "unknown_model", NOT_FOUND;
    /// No such service.
    UnknownService = "unknown_service", NOT_FOUND;
    /// No such kind of request.
    UnknownKind = "unknown_kind", BAD_REQUEST;
    /// The workspace's own queue is full.
    QueueFull = "queue_full", TOO_MANY_REQUESTS;
    /// No slot came free before the deadline.
    DeadlinePassed = "deadline_passed", SERVICE_UNAVAILABLE;
    /// The box has no configuration yet.
    NotReady = "not_ready", SERVICE_UNAVAILABLE;
    /// The box is stopping.
    Stopping = "stopping", SERVICE_UNAVAILABLE;
    /// The endpoint could not be reached or refused, and the retries are used up.
    EndpointUnavailable = "endpoint_unavailable", BAD_GATEWAY;
    /// The endpoint was lost after the request had been sent.
    EndpointLost = "endpoint_lost", BAD_GATEWAY;
}

/// The JSON body of every refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// The stable code.
    pub code: RefusalCode,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// How far it had come.
    pub step: RequestStep,
    /// The reason in words.
    pub message: String,
    /// The id of the request.
    pub request_id: String,
    /// After how many seconds it is worth trying again.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u32>,
}

#[cfg(test)]
mod tests;
