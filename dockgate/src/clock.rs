//! The daemon's clocks.

#[cfg(debug_assertions)]
mod away_standin;

#[cfg(debug_assertions)]
pub(crate) use away_standin::follow_file;
use rustix::time::{ClockId, clock_gettime};
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Returns milliseconds of a clock that never goes back, starting near one at the first call.
pub(crate) fn now_ms() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_millis() as u64 + 1
}

/// Returns milliseconds of Unix time, for people only.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

/// Reads the clock that goes on while the box is suspended.
#[expect(dead_code, reason = "nothing reads it yet")]
fn counted() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let counted = Duration::new(time.tv_sec as u64, time.tv_nsec as u32);
    #[cfg(debug_assertions)]
    let counted = counted + away_standin::away();
    counted
}
