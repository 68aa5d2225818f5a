//! The delay after which a refused caller should retry.
//!
//! Callers retry once, and only within a third of their remaining time. A retry is useful if there
//! is capacity by then and it still meets its deadline, so the delay follows the backlog that
//! caused the refusal, and is spread so that callers don't all retry at once.

use std::time::Duration;

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryCause {
    /// The engines that were asked have a backlog of this duration.
    Backlog(Duration),
    /// The workspace is so far beyond its share that no engine accepts more of its requests.
    Share,
    /// All endpoints are leaving, and replacements have to start.
    Replacement,
    /// All endpoints have asked to back off; the first backoff ends after this time.
    Backoff(Duration),
}

/// The lower bound of a backlog: the refusal and the retry take two network hops each.
const MIN_BACKLOG: Duration = Duration::from_millis(100);
/// The upper bound of a backlog: requests are cancelled before they are processed, and others are
/// routed elsewhere.
const MAX_BACKLOG: Duration = Duration::from_millis(400);
/// The range over which retries are spread, as factors of the backlog.
const BACKLOG_SPREAD: [f64; 2] = [0.75, 1.75];
/// The minimum delay for a workspace beyond its share; retries are spread over as long again. Its
/// share becomes available evenly over time, so a short delay suffices.
const SHARE_DELAY: Duration = Duration::from_millis(120);
/// The minimum delay while all endpoints are leaving; retries are spread over as long again.
/// Replacements are known here within a second of their start.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(1);
/// The time after the end of a backoff over which retries are spread, as all callers see the same
/// end.
const BACKOFF_SPREAD: Duration = Duration::from_millis(500);
/// The largest delay as a fraction of the remaining time; callers ignore longer delays.
const MAX_TIME_FRACTION: f64 = 0.3;

/// Returns the delay before a retry. `time_left` is the caller's remaining time, `draw` a random
/// number from 0 to 1.
pub fn retry_delay(cause: RetryCause, time_left: Duration, draw: f64) -> Duration {
    let draw = draw.clamp(0.0, 1.0);
    let [min, max] = BACKLOG_SPREAD;
    let delay = match cause {
        RetryCause::Backlog(backlog) => {
            let backlog = backlog.clamp(MIN_BACKLOG, MAX_BACKLOG);
            backlog.mul_f64(min + (max - min) * draw)
        }
        RetryCause::Share => SHARE_DELAY.mul_f64(1.0 + draw),
        RetryCause::Replacement => REPLACEMENT_DELAY.mul_f64(1.0 + draw),
        // An earlier retry would be refused, so the delay is not limited by the remaining time.
        RetryCause::Backoff(remaining) => return remaining + BACKOFF_SPREAD.mul_f64(draw),
    };
    delay.min(time_left.mul_f64(MAX_TIME_FRACTION))
}

#[cfg(test)]
mod tests;
