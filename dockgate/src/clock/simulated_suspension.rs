//! Simulates suspensions of the box, in debug builds.
//!
//! The clock that includes suspensions is advanced by the number of milliseconds in a file. The
//! monotonic clock and the runtime's timers are unaffected, as after a real suspension.

#[cfg(test)]
use std::cell::Cell;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Environment variable with the path of the file. The time in it must not decrease.
const FILE_VARIABLE: &str = "DOCKGATE_AWAY_FILE";
/// Interval at which the file is read.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);

#[cfg(test)]
thread_local! {
    /// Suspensions of the test on this thread; other tests of the process continue undisturbed.
    static TEST_SUSPENSIONS: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

/// Returns the total simulated time of suspensions.
pub(super) fn suspended_time() -> Duration {
    let suspended = Duration::from_millis(SUSPENDED_MS.load(Ordering::Acquire));
    #[cfg(test)]
    let suspended = suspended + TEST_SUSPENSIONS.get();
    suspended
}

/// Starts to watch the file, if the environment names one, until the process ends.
pub(crate) fn watch_suspension_file() {
    let Some(file) = std::env::var_os(FILE_VARIABLE).map(PathBuf::from) else {
        return;
    };
    // The initial time precedes this process and is not a suspension of it.
    read_file(&file);
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(POLL_INTERVAL);
            read_file(&file);
        }
    });
}

fn read_file(file: &Path) {
    // The file is missing until a test writes it.
    let text = std::fs::read_to_string(file).unwrap_or_default();
    if let Ok(suspended_ms) = text.trim().parse() {
        SUSPENDED_MS.fetch_max(suspended_ms, Ordering::AcqRel);
    }
}

/// Simulates a suspension for the test on this thread.
#[cfg(test)]
pub(crate) fn simulate_suspension(time: Duration) {
    TEST_SUSPENSIONS.set(TEST_SUSPENSIONS.get() + time);
}
