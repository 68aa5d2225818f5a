//! Clocks of the daemon, which include the time of suspensions.
//!
//! The system's monotonic clock and the runtime's timers stop while the machine is suspended, but
//! callers, endpoints and other boxes continue. All ages, deadlines and windows are therefore
//! measured by a clock that includes suspensions. Waits for an instant ([`timeout_at`]) are
//! re-evaluated after a resume, since their timers would fire late by the suspended time.

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

/// The clock that includes suspensions, or the monotonic one if the system has no such clock.
#[cfg(target_os = "linux")]
const BOOT_CLOCK: ClockId = ClockId::Boottime;
#[cfg(not(target_os = "linux"))]
const BOOT_CLOCK: ClockId = ClockId::Monotonic;

/// The shortest suspension that is detected. It exceeds the inaccuracy from reading the two clocks
/// one after the other.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);

/// The number of detected suspensions.
static RESUMES: LazyLock<watch::Sender<u64>> = LazyLock::new(|| watch::channel(0).0);

fn read(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    // The clocks are never negative.
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// An instant of the clock that includes suspensions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ClockInstant(Duration);

impl ClockInstant {
    /// Returns the present instant.
    pub(crate) fn now() -> Self {
        let boot_time = read(BOOT_CLOCK);
        #[cfg(debug_assertions)]
        let boot_time = boot_time + simulated_suspension::suspended_time();
        Self(boot_time)
    }

    /// Returns the time since this instant.
    pub(crate) fn elapsed(self) -> Duration {
        Self::now().duration_since(self)
    }

    /// Returns the time since an earlier instant, or zero if that one is later.
    pub(crate) const fn duration_since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time until this instant, or zero if it has passed.
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

/// Returns milliseconds since the first call, plus one; they never decrease.
pub(crate) fn now_ms() -> u64 {
    static START: OnceLock<ClockInstant> = OnceLock::new();
    let start = START.get_or_init(ClockInstant::now);
    start.elapsed().as_millis() as u64 + 1
}

/// Returns the Unix time in milliseconds, for logs and for comparison by other processes.
pub(crate) fn unix_ms() -> u64 {
    read(ClockId::Realtime).as_millis() as u64
}

/// Returns the total suspended time: the lead of the boot clock over the monotonic one.
///
/// The result is too low by the time between the two readings, and never too high.
fn suspended_time() -> Duration {
    let boot_time = ClockInstant::now().0;
    boot_time.saturating_sub(read(ClockId::Monotonic))
}

/// Returns the duration of a suspension since the last call, if there was one.
///
/// Wakes all waits for instants that may have passed meanwhile.
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

/// Detects and logs suspensions until the process ends.
pub(crate) async fn watch_suspensions() {
    const POLL_INTERVAL: Duration = Duration::from_millis(100);
    loop {
        if let Some(suspended) = detect_suspension() {
            log::warn!("this box was suspended for {} ms", suspended.as_millis());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Subscribes to the suspensions that are detected from now on.
pub(crate) fn subscribe_resumes() -> watch::Receiver<u64> {
    RESUMES.subscribe()
}

/// The error of an operation that did not complete in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TimedOut;

/// Waits for a future until a deadline, which may pass during a suspension.
///
/// # Errors
///
/// Returns an error if the deadline passes first.
pub(crate) async fn timeout_at<F: Future>(
    deadline: ClockInstant,
    future: F,
) -> Result<F::Output, TimedOut> {
    let mut resumes = subscribe_resumes();
    let mut future = std::pin::pin!(future);
    loop {
        tokio::select! {
            biased;
            output = &mut future => return Ok(output),
            () = tokio::time::sleep(deadline.remaining()) => return Err(TimedOut),
            // The sender is static, so the channel is never closed.
            _ = resumes.changed() => {}
        }
    }
}

/// Waits for a future for a time that includes suspensions.
///
/// # Errors
///
/// Returns an error if the time has elapsed first.
pub(crate) async fn timeout<F: Future>(time: Duration, future: F) -> Result<F::Output, TimedOut> {
    timeout_at(ClockInstant::now() + time, future).await
}

#[cfg(test)]
mod tests;
