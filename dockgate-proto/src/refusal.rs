//! The body of responses to callers whose request got no answer from an endpoint.

use dockgate_core::Outcome;
use http::StatusCode;
use serde::{Deserialize, Serialize};

/// The processing step of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestStep {
    /// Reading and checking the request.
    Accept,
    /// Waiting for a slot.
    Queue,
    /// Connecting to the endpoint.
    Connect,
    /// Sending the request to the endpoint.
    Send,
    /// Waiting for the answer, or forwarding it.
    Answer,
}

macro_rules! refusal_codes {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $status:ident;)+) => {
        /// A stable code for the reason of a refusal.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
        pub enum RefusalCode {
            $($(#[$doc])* #[serde(rename = $text)] $name,)+
        }

        impl RefusalCode {
            /// All codes.
            pub const ALL: &[Self] = &[$(Self::$name,)+];

            /// Returns the code in the form that callers see.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)+
                }
            }

            /// Returns the HTTP status of the response.
            pub const fn status(self) -> StatusCode {
                match self {
                    $(Self::$name => StatusCode::$status,)+
                }
            }
        }
    };
}

refusal_codes! {
    /// No workspace has this API key.
    UnknownKey = "unknown_key", UNAUTHORIZED;
    /// The request is malformed, or a `dockgate-` header has an invalid value.
    BadRequest = "bad_request", BAD_REQUEST;
    /// The body is larger than the limit.
    BodyTooLarge = "body_too_large", PAYLOAD_TOO_LARGE;
    /// The body did not arrive in time.
    BodyTimeout = "body_timeout", REQUEST_TIMEOUT;
    /// The path does not exist.
    UnknownPath = "unknown_path", NOT_FOUND;
    /// No pool serves this model.
    UnknownModel = "unknown_model", NOT_FOUND;
    /// The service does not exist.
    UnknownService = "unknown_service", NOT_FOUND;
    /// The kind of request does not exist.
    UnknownKind = "unknown_kind", BAD_REQUEST;
    /// The queue of the workspace is full.
    QueueFull = "queue_full", TOO_MANY_REQUESTS;
    /// No slot became free before the deadline.
    DeadlinePassed = "deadline_passed", SERVICE_UNAVAILABLE;
    /// The box has no configuration yet.
    NotReady = "not_ready", SERVICE_UNAVAILABLE;
    /// The box is stopping.
    Stopping = "stopping", SERVICE_UNAVAILABLE;
    /// The endpoint was unreachable or refused the request, and no retries are left.
    EndpointUnavailable = "endpoint_unavailable", BAD_GATEWAY;
    /// The connection to the endpoint was lost after the request was sent.
    EndpointLost = "endpoint_lost", BAD_GATEWAY;
}

/// The JSON body of every refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// The stable code.
    pub code: RefusalCode,
    /// Whether the request was executed.
    pub outcome: Outcome,
    /// The step at which the request failed.
    pub step: RequestStep,
    /// The reason in prose.
    pub message: String,
    /// The id of the request.
    pub request_id: String,
    /// The recommended delay before a retry, in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u32>,
}

#[cfg(test)]
mod tests;
