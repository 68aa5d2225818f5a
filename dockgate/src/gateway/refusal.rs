//! Answers that the gateway makes itself.

use super::call_body::{CallBody, whole_body};
use dockgate_core::Outcome;
use dockgate_platform::{HeadError, encode_refusal};
use http::{HeaderValue, Response, StatusCode, header};
use std::time::Duration;

/// Why a request gets no endpoint's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RefusalReason {
    /// The head cannot be used.
    BadHead(HeadError),
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTooSlow,
    /// The body broke off.
    BodyBroken,
    /// No route leads there.
    NoRoute,
    /// The key is missing or unknown.
    BadKey,
    /// This box has no configuration yet.
    NoConfiguration,
    /// This box is about to end.
    Stopping,
    /// This box has more work than processor.
    Overloaded,
    /// This box has more work than processor, and its callers' next connections go to another one.
    SentElsewhere,
    /// The service has no endpoint that takes work.
    NoEndpoint,
    /// No engine would begin in time.
    WouldBeLate,
    /// The workspace has had its share, and engines are busy.
    BeyondShare,
    /// Endpoints refused without running it, and no further one may be tried.
    EndpointsFull,
    /// All endpoints have asked this box for rest.
    EndpointsRest,
    /// No endpoint could be reached.
    Unreachable,
    /// Endpoints end under it: it is in quarantine.
    EndsEndpoints,
    /// The endpoint was lost, or its answer is unusable; the request may have run.
    Lost,
    /// The caller has left.
    CallerLeft,
    /// The time is over; the request may be running.
    TimedOut,
    /// The time is over; nothing was sent.
    TimedOutUnsent,
}

impl RefusalReason {
    /// Returns the word used in logs, metrics and bodies.
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
            Self::SentElsewhere => "sent_elsewhere",
            Self::NoEndpoint => "no_endpoint",
            Self::WouldBeLate => "would_be_late",
            Self::BeyondShare => "beyond_share",
            Self::EndpointsFull => "endpoints_full",
            Self::EndpointsRest => "endpoints_rest",
            Self::Unreachable => "unreachable",
            Self::EndsEndpoints => "ends_endpoints",
            Self::Lost => "lost",
            Self::CallerLeft => "caller_left",
            Self::TimedOut => "timed_out",
            Self::TimedOutUnsent => "timed_out_unsent",
        }
    }

    /// Returns the HTTP status; 408, 429 and 503 promise that the request has not run.
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
            | Self::SentElsewhere
            | Self::NoEndpoint
            | Self::WouldBeLate
            | Self::EndpointsFull
            | Self::EndpointsRest
            | Self::Unreachable
            | Self::EndsEndpoints
            | Self::TimedOutUnsent => StatusCode::SERVICE_UNAVAILABLE,
            Self::Lost | Self::CallerLeft => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns what is said of the request.
    pub(super) const fn outcome(self) -> Outcome {
        match self {
            Self::Lost | Self::CallerLeft | Self::TimedOut => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }
}

/// Makes the answer.
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
    if reason == RefusalReason::SentElsewhere {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}
