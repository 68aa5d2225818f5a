//! What an endpoint's refusal says of it.

use dockgate_core::SlotSign;
use http::{HeaderMap, StatusCode, header};

/// The longest rest that is given, in seconds: a bound against a time that nobody can have meant.
const MAX_REST_S: u32 = 3_600;

/// Tells what a refusal says of its endpoint: one that names a time wants nothing until then.
///
/// The time of 429 may concern the workspace alone. One written as a date is not read: endpoints' clocks may be off.
pub(super) fn classify_refusal(status: StatusCode, headers: &HeaderMap) -> SlotSign {
    let seconds = headers.get(header::RETRY_AFTER);
    let seconds = seconds.and_then(|value| value.to_str().ok()?.trim().parse::<u32>().ok());
    match seconds {
        Some(seconds) if seconds > 0 && status == StatusCode::SERVICE_UNAVAILABLE => {
            SlotSign::Resting(seconds.min(MAX_REST_S) * 1_000)
        }
        _ => SlotSign::Full,
    }
}

#[cfg(test)]
mod tests;
