//! Classifies an endpoint's refusal by status and `Retry-After`.

use dockgate_core::SlotOutcome;
use http::{HeaderMap, StatusCode, header};

/// The longest backoff that is accepted, in seconds.
const MAX_BACKOFF_S: u32 = 3_600;

/// Returns the outcome that a refusal implies for the slot: full, or a backoff for the time in
/// `Retry-After`.
///
/// The time of a 429 is ignored, since it may apply to the workspace alone, and so is a date, since
/// clocks may differ.
pub(super) fn classify_refusal(status: StatusCode, headers: &HeaderMap) -> SlotOutcome {
    let seconds = headers.get(header::RETRY_AFTER);
    let seconds = seconds.and_then(|value| value.to_str().ok()?.trim().parse::<u32>().ok());
    match seconds {
        Some(seconds) if seconds > 0 && status == StatusCode::SERVICE_UNAVAILABLE => {
            SlotOutcome::Backoff(seconds.min(MAX_BACKOFF_S) * 1_000)
        }
        _ => SlotOutcome::Full,
    }
}

#[cfg(test)]
mod tests;
