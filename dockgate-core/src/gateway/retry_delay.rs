//! When a caller that is refused should come back.
//!
//! Callers come back once, and within a third of the time that they have left. A refused request is
//! worth most if it comes back when there is room and is still in time, so the time follows the
//! backlog that stood in its way, spread so that not all come at once.

use std::time::Duration;

/// What stood in the way of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryCause {
    /// The engines that were asked were busy for so long.
    Backlog(Duration),
    /// The workspace is so far beyond its share that no engine takes more of it.
    Share,
    /// All endpoints leave, and others have to take their place.
    Replacement,
    /// All endpoints have asked for rest, and the first is back after so long.
    Backoff(Duration),
}

/// A backlog counts as this much at least: the refusal and the next request take two hops each. A bound.
const LEAST_BACKLOG: Duration = Duration::from_millis(100);
/// A backlog counts as this much at most: prompts end before they are read, and others go elsewhere. A
/// bound.
const MOST_BACKLOG: Duration = Duration::from_millis(400);
/// Between which parts of the backlog returns are spread.
const SPREAD: [f64; 2] = [0.75, 1.75];
/// When a workspace that no engine takes more of comes back at the earliest: what it may take is spread evenly over
/// time, so there is as much room a moment later, and it may still be in time. Returns are spread over as long again.
const SHARE_TIME: Duration = Duration::from_millis(120);
/// When a request whose endpoints all leave comes back at the earliest: those that take their place write a record
/// as they start, which is known here within a second. Returns are spread over as long again.
const REPLACEMENT_TIME: Duration = Duration::from_secs(1);
/// Over which time after the end of a rest returns are spread: all callers are told of the same end.
const REST_SPREAD: Duration = Duration::from_millis(500);
/// The part of the time left within which callers come back; they ignore what is later.
const MOST_PART: f64 = 0.3;

/// Returns when to come back: `left` is the time that the caller has, `draw` a random number from 0
/// to 1.
pub fn retry_delay(cause: RetryCause, left: Duration, draw: f64) -> Duration {
    let draw = draw.clamp(0.0, 1.0);
    let [least, most] = SPREAD;
    let time = match cause {
        RetryCause::Backlog(backlog) => {
            let backlog = backlog.clamp(LEAST_BACKLOG, MOST_BACKLOG);
            backlog.mul_f64(least + (most - least) * draw)
        }
        RetryCause::Share => SHARE_TIME.mul_f64(1.0 + draw),
        RetryCause::Replacement => REPLACEMENT_TIME.mul_f64(1.0 + draw),
        // Sooner it is turned away for certain, so who cannot come that late is better told.
        RetryCause::Backoff(left) => return left + REST_SPREAD.mul_f64(draw),
    };
    time.min(left.mul_f64(MOST_PART))
}

#[cfg(test)]
mod tests;
