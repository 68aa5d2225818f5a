//! When a caller that is refused should come back.
//!
//! Callers come back once, and within a third of the time that they have left. A refused request is
//! worth most if it comes back when there is room, so returns are spread: after the backlog that
//! stood in its way, and over a while, so that they do not all come at once.

use super::share_window::ShareLevel;
use std::time::Duration;

/// Over how long returns are spread at least.
const LEAST_SPREAD: Duration = Duration::from_millis(250);
/// When a workspace beyond its share comes back at the earliest: a good part of the share's window.
const BEYOND_SHARE: Duration = Duration::from_millis(1_200);
/// The part of the time left within which callers come back; they ignore what is later.
const MOST_PART: f64 = 0.3;

/// Returns when to come back: `backlog` is what stands in the way, `left` the time that the caller
/// has, `draw` a random number from 0 to 1.
pub fn return_time(level: ShareLevel, backlog: Duration, left: Duration, draw: f64) -> Duration {
    let least = match level.is_beyond() {
        true => BEYOND_SHARE,
        false => backlog / 2,
    };
    let spread = LEAST_SPREAD.max(least).mul_f64(draw.clamp(0.0, 1.0));
    (least + spread).min(left.mul_f64(MOST_PART))
}

#[cfg(test)]
mod tests;
