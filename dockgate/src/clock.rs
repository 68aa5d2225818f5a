//! The daemon's clocks: what time has passed, also while the box was suspended.
//!
//! The steady clock of the system, and the runtime's timers with it, stand still while a machine is suspended;
//! callers, endpoints and other boxes go on. So every age, deadline and window is measured by the clock that
//! counts such a time, here alone, and whoever waits until a moment of it ([`timeout_at`]) is woken when the box
//! has woken, since its timer would be late by the time away.

#[cfg(debug_assertions)]
mod away_standin;

#[cfg(debug_assertions)]
pub(crate) use away_standin::follow_file;
use rustix::time::{ClockId, clock_gettime};
use std::ops::Add;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{LazyLock, OnceLock};
use std::time::Duration;
use tokio::sync::watch;

/// The clock that goes on during a suspension; where the system has none, the steady one.
#[cfg(target_os = "linux")]
const COUNTED: ClockId = ClockId::Boottime;
#[cfg(not(target_os = "linux"))]
const COUNTED: ClockId = ClockId::Monotonic;

/// From which growth of the difference between the clocks on the box was suspended: what their readings one
/// after the other make is less.
const LEAST_SUSPENSION: Duration = Duration::from_millis(20);

/// Counts the suspensions that were noted.
static WAKINGS: LazyLock<watch::Sender<u64>> = LazyLock::new(|| watch::channel(0).0);

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
        let counted = read(COUNTED);
        #[cfg(debug_assertions)]
        let counted = counted + away_standin::away();
        Self(counted)
    }

    /// Returns how long ago the moment was.
    pub(crate) fn elapsed(self) -> Duration {
        Self::now().since(self)
    }

    /// Returns the time from an earlier moment to this one; zero where that one is later.
    pub(crate) const fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time until the moment; zero where it has passed.
    pub(crate) fn left(self) -> Duration {
        self.since(Self::now())
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
fn difference() -> Duration {
    let counted = ClockInstant::now().0;
    counted.saturating_sub(read(ClockId::Monotonic))
}

/// Returns for how long the box was suspended since this was asked last, if it was, and wakes all that waits for
/// moments that may have passed meanwhile.
pub(crate) fn note_suspension() -> Option<Duration> {
    static KNOWN_US: OnceLock<AtomicU64> = OnceLock::new();
    let now_us = difference().as_micros() as u64;
    let known = KNOWN_US.get_or_init(|| AtomicU64::new(now_us));
    let known_us = known.load(Ordering::Acquire);
    let grown = Duration::from_micros(now_us.saturating_sub(known_us));
    if grown < LEAST_SUSPENSION {
        return None;
    }
    let noted = known.compare_exchange(known_us, now_us, Ordering::AcqRel, Ordering::Acquire);
    noted.ok()?;
    WAKINGS.send_modify(|count| *count += 1);
    Some(grown)
}

/// Looks again and again whether the box was suspended, until the process ends.
pub(crate) async fn watch_suspensions() {
    const LOOK: Duration = Duration::from_millis(100);
    loop {
        if let Some(away) = note_suspension() {
            log::warn!("this box was suspended for {} ms", away.as_millis());
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Tells of each suspension that is noted from now on.
pub(crate) fn wakings() -> watch::Receiver<u64> {
    WAKINGS.subscribe()
}

/// The time for something was over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TimeOver;

/// Waits for something until a moment, which may pass while the box is suspended.
///
/// # Errors
///
/// Returns an error where the moment has come first.
pub(crate) async fn timeout_at<F: Future>(
    moment: ClockInstant,
    future: F,
) -> Result<F::Output, TimeOver> {
    let mut wakings = wakings();
    let mut future = std::pin::pin!(future);
    loop {
        tokio::select! {
            biased;
            output = &mut future => return Ok(output),
            () = tokio::time::sleep(moment.left()) => return Err(TimeOver),
            // The channel lives as long as the process.
            _ = wakings.changed() => {}
        }
    }
}

/// Waits for something for a time, which may pass while the box is suspended.
///
/// # Errors
///
/// Returns an error where the time is over first.
pub(crate) async fn timeout<F: Future>(time: Duration, future: F) -> Result<F::Output, TimeOver> {
    timeout_at(ClockInstant::now() + time, future).await
}

#[cfg(test)]
mod tests;
