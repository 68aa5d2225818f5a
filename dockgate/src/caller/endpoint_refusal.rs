//! Classifies refusals of endpoints by their status and `Retry-After` header.

use dockgate_core::SlotSign;
use http::{HeaderMap, StatusCode, header};

/// Upper bound of the backoff that an endpoint may ask for, in seconds.
const MAX_BACKOFF_S: u32 = 3_600;

/// Returns the state of the endpoint behind a refusal: full, or in backoff for the time it names.
///
/// The time of a 429 is ignored, as it may concern only the workspace, and so is a date, as the
/// endpoint's clock may be wrong.
pub(super) fn classify_refusal(status: StatusCode, headers: &HeaderMap) -> SlotSign {
    let retry_after = headers.get(header::RETRY_AFTER);
    let retry_after_s =
        retry_after.and_then(|value| value.to_str().ok()?.trim().parse::<u32>().ok());
    match retry_after_s {
        Some(seconds) if seconds > 0 && status == StatusCode::SERVICE_UNAVAILABLE => {
            SlotSign::Resting(seconds.min(MAX_BACKOFF_S) * 1_000)
        }
        _ => SlotSign::Full,
    }
}

#[cfg(test)]
mod tests;
