//! Writes log lines on a thread of its own, so that a reader who stops reading holds nobody up.

use crate::clock::ClockInstant;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

/// How many lines wait at most; more are dropped and counted. At 300 bytes each, 600 KB.
const MOST_LINES: usize = 2_048;
/// How long the thread waits for more lines after the first one: a box has a part of one core, and lines
/// that come together share one wake-up and one call.
const GATHER: Duration = Duration::from_millis(20);
/// How many lines are written with one call at most.
const MOST_TOGETHER: usize = 256;

static DROPPED: AtomicU64 = AtomicU64::new(0);
/// Lines that were taken and not written yet.
static PENDING: AtomicU64 = AtomicU64::new(0);

/// Waits until what was logged is written, or the time is over.
pub(crate) fn flush_lines(within: Duration) {
    const LOOK: Duration = Duration::from_millis(2);
    let started = ClockInstant::now();
    while PENDING.load(Ordering::Acquire) > 0 && started.elapsed() < within {
        std::thread::sleep(LOOK);
    }
}

/// Returns how many lines were dropped since the start.
pub(crate) fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Takes whole lines without ever waiting.
#[derive(Debug, Clone)]
pub(crate) struct LineWriter(SyncSender<Vec<u8>>);

impl LineWriter {
    /// Starts the thread that writes to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error where the system starts no thread.
    pub(crate) fn start(target: impl Write + Send + 'static) -> io::Result<Self> {
        let (sender, receiver) = sync_channel(MOST_LINES);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&receiver, target))?;
        Ok(Self(sender))
    }
}

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        PENDING.fetch_add(1, Ordering::AcqRel);
        match self.0.try_send(bytes.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                PENDING.fetch_sub(1, Ordering::AcqRel);
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes what comes, lines that wait together with one call; says how many were dropped.
fn write_lines(receiver: &Receiver<Vec<u8>>, mut target: impl Write) {
    let mut told = 0;
    while let Ok(mut bytes) = receiver.recv() {
        std::thread::sleep(GATHER);
        let mut count = 1;
        for line in receiver.try_iter().take(MOST_TOGETHER) {
            bytes.extend(line);
            count += 1;
        }
        let dropped = dropped_lines();
        if dropped > told {
            let line = format!(
                "{{\"event\":\"lines_dropped\",\"count\":{}}}\n",
                dropped - told
            );
            bytes.extend(line.as_bytes());
            told = dropped;
        }
        // Nobody is left to be told that the log cannot be written.
        if target
            .write_all(&bytes)
            .and_then(|()| target.flush())
            .is_err()
        {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        PENDING.fetch_sub(count, Ordering::AcqRel);
    }
}

#[cfg(test)]
mod tests;
