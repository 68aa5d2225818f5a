//! A stand-in for time that passes while the box is suspended, in builds for tests.
//!
//! Suspending a machine takes a machine. Here the clock that counts a suspension is put forward by as many
//! milliseconds as a file says, while the steady clock and the runtime's timers know nothing of it: just what a
//! process sees that was suspended for so long.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Names the file; the time in it may only grow.
const FILE_VARIABLE: &str = "DOCKGATE_AWAY_FILE";
/// How often the file is read.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);

/// Returns for how long the box seems to have been suspended.
pub(super) fn suspended_time() -> Duration {
    Duration::from_millis(SUSPENDED_MS.load(Ordering::Acquire))
}

/// Follows the file, where one is named, until the process ends.
pub(crate) fn watch_suspension_file() {
    let Some(file) = std::env::var_os(FILE_VARIABLE).map(PathBuf::from) else {
        return;
    };
    // What it says already was before this process.
    read_file(&file);
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(POLL_INTERVAL);
            read_file(&file);
        }
    });
}

fn read_file(file: &Path) {
    // There is none until a test writes it.
    let text = std::fs::read_to_string(file).unwrap_or_default();
    if let Ok(suspended_ms) = text.trim().parse() {
        SUSPENDED_MS.fetch_max(suspended_ms, Ordering::AcqRel);
    }
}

/// Lets the box seem to have been suspended for longer.
#[cfg(test)]
pub(crate) fn simulate_suspension(time: Duration) {
    SUSPENDED_MS.fetch_add(time.as_millis() as u64, Ordering::AcqRel);
}
