//! Responses that the gateway generates itself when it refuses a request.

use super::call_body::{CallBody, whole_body};
use dockgate_core::Outcome;
use dockgate_platform::{HeadError, encode_refusal};
use http::{HeaderValue, Response, StatusCode, header};
use std::time::Duration;

/// The reason why a request gets no response from an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RefusalReason {
    /// The request head is invalid.
    BadHead(HeadError),
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTooSlow,
    /// The connection failed within the body.
    BodyBroken,
    /// No route matches the request.
    NoRoute,
    /// The API key is missing or unknown.
    BadKey,
    /// This box has no configuration yet.
    NoConfiguration,
    /// This box is shutting down.
    Stopping,
    /// This box is overloaded.
    Overloaded,
    /// This box is overloaded, and new connections of its callers are diverted to other boxes.
    Diverted,
    /// This box has no memory for the request.
    OutOfMemory,
    /// The service has no endpoint that accepts requests.
    NoEndpoint,
    /// No engine is predicted to send a first event in time.
    WouldBeLate,
    /// The workspace has used up its share, and the engines are busy.
    BeyondShare,
    /// Endpoints rejected the request without running it, and no further one may be tried.
    EndpointsFull,
    /// All endpoints have asked this box to back off.
    EndpointsBackingOff,
    /// The endpoints warm up, and take no more requests yet.
    WarmingUp,
    /// No endpoint was reachable.
    Unreachable,
    /// The request is quarantined because endpoints ended while they ran it.
    Quarantined,
    /// A stream is taken up whose software version this box cannot find out.
    VersionUnknown,
    /// No endpoint serves the software version that began a stream any more.
    VersionGone,
    /// The endpoint was lost or its response is invalid; the request may have run.
    Lost,
    /// The process ends while an endpoint may be running the request.
    StoppedUnanswered,
    /// The caller has disconnected.
    CallerLeft,
    /// The deadline has passed; the request may be running.
    TimedOut,
    /// The deadline has passed before the request was sent.
    TimedOutUnsent,
}

impl RefusalReason {
    /// Returns the name used in logs, metrics and response bodies.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::BadHead(problem) => problem.as_str(),
            Self::BodyTooLarge => "body_too_large",
            Self::BodyTooSlow => "body_too_slow",
            Self::BodyBroken => "body_broken",
            Self::NoRoute => "no_route",
            Self::BadKey => "bad_key",
            Self::NoConfiguration => "no_configuration",
            Self::Stopping => "stopping",
            Self::Overloaded => "overloaded",
            Self::Diverted => "sent_elsewhere",
            Self::OutOfMemory => "out_of_memory",
            Self::NoEndpoint => "no_endpoint",
            Self::WouldBeLate => "would_be_late",
            Self::BeyondShare => "beyond_share",
            Self::EndpointsFull => "endpoints_full",
            Self::EndpointsBackingOff => "endpoints_rest",
            Self::WarmingUp => "warming_up",
            Self::Unreachable => "unreachable",
            Self::Quarantined => "ends_endpoints",
            Self::VersionUnknown => "version_unknown",
            Self::VersionGone => "version_gone",
            Self::Lost => "lost",
            Self::StoppedUnanswered => "stopped_unanswered",
            Self::CallerLeft => "caller_left",
            Self::TimedOut => "timed_out",
            Self::TimedOutUnsent => "timed_out_unsent",
        }
    }

    /// Returns the HTTP status; 408, 429 and 503 guarantee that the request has not run.
    pub(super) const fn status(self) -> StatusCode {
        match self {
            Self::BadHead(_) | Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BadKey => StatusCode::UNAUTHORIZED,
            Self::BeyondShare => StatusCode::TOO_MANY_REQUESTS,
            Self::NoConfiguration
            | Self::Stopping
            | Self::Overloaded
            | Self::Diverted
            | Self::OutOfMemory
            | Self::NoEndpoint
            | Self::WouldBeLate
            | Self::EndpointsFull
            | Self::EndpointsBackingOff
            | Self::WarmingUp
            | Self::Unreachable
            | Self::Quarantined
            | Self::VersionUnknown
            | Self::VersionGone
            | Self::TimedOutUnsent => StatusCode::SERVICE_UNAVAILABLE,
            Self::Lost | Self::StoppedUnanswered | Self::CallerLeft => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns whether the request may have run, as reported to the caller.
    pub(super) const fn outcome(self) -> Outcome {
        match self {
            Self::Lost | Self::StoppedUnanswered | Self::CallerLeft | Self::TimedOut => {
                Outcome::Unknown
            }
            _ => Outcome::NotRun,
        }
    }
}

/// Creates the response of a refused request.
pub(super) fn refusal_response(
    id: &str,
    reason: RefusalReason,
    retry_after: Option<Duration>,
) -> Response<CallBody> {
    let text = format!("{}: {}\n", reason.outcome().as_str(), reason.as_str());
    let mut response = Response::new(whole_body(text));
    *response.status_mut() = reason.status();
    *response.headers_mut() = encode_refusal(id, retry_after);
    let plain = HeaderValue::from_static("text/plain");
    response.headers_mut().insert(header::CONTENT_TYPE, plain);
    // A caller whose connection is closed may reach another box, and its memory is released.
    if matches!(reason, RefusalReason::Diverted | RefusalReason::OutOfMemory) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}
