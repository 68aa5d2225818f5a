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
const LOOK: Duration = Duration::from_millis(2);

static AWAY_MS: AtomicU64 = AtomicU64::new(0);

/// Returns for how long the box seems to have been suspended.
pub(super) fn away() -> Duration {
    Duration::from_millis(AWAY_MS.load(Ordering::Acquire))
}

/// Follows the file, where one is named, until the process ends.
pub(crate) fn follow_file() {
    let Some(file) = std::env::var_os(FILE_VARIABLE).map(PathBuf::from) else {
        return;
    };
    // What it says already was before this process.
    read_file(&file);
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(LOOK);
            read_file(&file);
        }
    });
}

fn read_file(file: &Path) {
    // There is none until a test writes it.
    let text = std::fs::read_to_string(file).unwrap_or_default();
    if let Ok(away_ms) = text.trim().parse() {
        AWAY_MS.fetch_max(away_ms, Ordering::AcqRel);
    }
}

/// Lets the box seem to have been suspended for longer.
#[cfg(test)]
pub(crate) fn be_away(time: Duration) {
    AWAY_MS.fetch_add(time.as_millis() as u64, Ordering::AcqRel);
}
