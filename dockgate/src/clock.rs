//! The daemon's clocks: what time has passed, also while the box was suspended.
//!
//! The steady clock of the system, and the runtime's timers with it, stand still while a machine is suspended;
//! callers, endpoints and other boxes go on. So every age, deadline and window is measured by the clock that
//! counts such a time, here alone, and whoever waits until a moment of it ([`timeout_at`]) is woken when the box
//! has woken, since its timer would be late by the time away.

#[cfg(debug_assertions)]
mod simulated_suspension;

use rustix::time::{ClockId, clock_gettime};
#[cfg(debug_assertions)]
pub(crate) use simulated_suspension::watch_suspension_file;
use std::ops::Add;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{LazyLock, OnceLock};
use std::time::Duration;
use tokio::sync::watch;

/// The clock that goes on during a suspension; where the system has none, the steady one.
#[cfg(target_os = "linux")]
const BOOT_CLOCK: ClockId = ClockId::Boottime;
#[cfg(not(target_os = "linux"))]
const BOOT_CLOCK: ClockId = ClockId::Monotonic;

/// From which growth of the difference between the clocks on the box was suspended: what their readings one
/// after the other make is less.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);

/// Counts the suspensions that were noted.
static RESUMES: LazyLock<watch::Sender<u64>> = LazyLock::new(|| watch::channel(0).0);

fn read(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    // Both are times since the start of the system, which are not negative.
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// A moment by the clock that goes on while the box is suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ClockInstant(Duration);

impl ClockInstant {
    /// Returns the present moment.
    pub(crate) fn now() -> Self {
        let counted = read(BOOT_CLOCK);
        #[cfg(debug_assertions)]
        let counted = counted + simulated_suspension::suspended_time();
        Self(counted)
    }

    /// Returns how long ago the moment was.
    pub(crate) fn elapsed(self) -> Duration {
        Self::now().duration_since(self)
    }

    /// Returns the time from an earlier moment to this one; zero where that one is later.
    pub(crate) const fn duration_since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time until the moment; zero where it has passed.
    pub(crate) fn remaining(self) -> Duration {
        self.duration_since(Self::now())
    }
}

impl Add<Duration> for ClockInstant {
    type Output = Self;

    fn add(self, time: Duration) -> Self {
        Self(self.0 + time)
    }
}

/// Returns milliseconds of a clock that never goes back, starting near one at the first call.
pub(crate) fn now_ms() -> u64 {
    static START: OnceLock<ClockInstant> = OnceLock::new();
    let start = START.get_or_init(ClockInstant::now);
    start.elapsed().as_millis() as u64 + 1
}

/// Returns milliseconds of Unix time, for people and for what other processes compare.
pub(crate) fn unix_ms() -> u64 {
    read(ClockId::Realtime).as_millis() as u64
}

/// Returns by how much the clock that counts suspensions is ahead of the steady one, or somewhat less: the time
/// between the two readings is taken off, however long the process waits for the processor there.
fn suspended_time() -> Duration {
    let counted = ClockInstant::now().0;
    counted.saturating_sub(read(ClockId::Monotonic))
}

/// Returns for how long the box was suspended since this was asked last, if it was, and wakes all that waits for
/// moments that may have passed meanwhile.
pub(crate) fn detect_suspension() -> Option<Duration> {
    static LAST_US: OnceLock<AtomicU64> = OnceLock::new();
    let now_us = suspended_time().as_micros() as u64;
    let last = LAST_US.get_or_init(|| AtomicU64::new(now_us));
    let last_us = last.load(Ordering::Acquire);
    let suspended = Duration::from_micros(now_us.saturating_sub(last_us));
    if suspended < MIN_SUSPENSION {
        return None;
    }
    let updated = last.compare_exchange(last_us, now_us, Ordering::AcqRel, Ordering::Acquire);
    updated.ok()?;
    RESUMES.send_modify(|count| *count += 1);
    Some(suspended)
}

/// Looks again and again whether the box was suspended, until the process ends.
pub(crate) async fn watch_suspensions() {
    const POLL_INTERVAL: Duration = Duration::from_millis(100);
    loop {
        if let Some(suspended) = detect_suspension() {
            log::warn!("this box was suspended for {} ms", suspended.as_millis());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Tells of each suspension that is noted from now on.
pub(crate) fn subscribe_resumes() -> watch::Receiver<u64> {
    RESUMES.subscribe()
}

/// The time for something was over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TimedOut;

/// Waits for something until a moment, which may pass while the box is suspended.
///
/// # Errors
///
/// Returns an error where the moment has come first.
pub(crate) async fn timeout_at<F: Future>(
    moment: ClockInstant,
    future: F,
) -> Result<F::Output, TimedOut> {
    let mut resumes = subscribe_resumes();
    let mut future = std::pin::pin!(future);
    loop {
        tokio::select! {
            biased;
            output = &mut future => return Ok(output),
            () = tokio::time::sleep(moment.remaining()) => return Err(TimedOut),
            // The channel lives as long as the process.
            _ = resumes.changed() => {}
        }
    }
}

/// Waits for something for a time, which may pass while the box is suspended.
///
/// # Errors
///
/// Returns an error where the time is over first.
pub(crate) async fn timeout<F: Future>(time: Duration, future: F) -> Result<F::Output, TimedOut> {
    timeout_at(ClockInstant::now() + time, future).await
}

#[cfg(test)]
mod tests;
