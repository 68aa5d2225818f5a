//! Writes log lines on a separate thread, so that a reader that stalls does not block the daemon.

use crate::clock::ClockInstant;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

/// Capacity of the queue. Further lines are dropped and counted.
const QUEUE_CAPACITY: usize = 2_048;
/// Time for which the thread collects further lines after the first one, so that they share a
/// wake-up and a write.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of further lines in one write.
const MAX_BATCH: usize = 256;

static DROPPED: AtomicU64 = AtomicU64::new(0);
/// Lines that are queued and not written yet.
static PENDING: AtomicU64 = AtomicU64::new(0);

/// Waits until all queued lines are written, for at most `timeout`.
pub(crate) fn flush_lines(timeout: Duration) {
    const POLL_INTERVAL: Duration = Duration::from_millis(2);
    let started = ClockInstant::now();
    while PENDING.load(Ordering::Acquire) > 0 && started.elapsed() < timeout {
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns the number of lines that were dropped since the start.
pub(crate) fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Queues complete lines without blocking.
#[derive(Debug, Clone)]
pub(crate) struct LineWriter(SyncSender<Vec<u8>>);

impl LineWriter {
    /// Starts the thread that writes to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub(crate) fn start(target: impl Write + Send + 'static) -> io::Result<Self> {
        let (sender, receiver) = sync_channel(QUEUE_CAPACITY);
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

/// Writes queued lines in batches, and reports the number of dropped ones.
fn write_lines(receiver: &Receiver<Vec<u8>>, mut target: impl Write) {
    let mut reported = 0;
    while let Ok(mut bytes) = receiver.recv() {
        std::thread::sleep(BATCH_DELAY);
        let mut count = 1;
        for line in receiver.try_iter().take(MAX_BATCH) {
            bytes.extend(line);
            count += 1;
        }
        let dropped = dropped_lines();
        if dropped > reported {
            let line = format!(
                "{{\"event\":\"lines_dropped\",\"count\":{}}}\n",
                dropped - reported
            );
            bytes.extend(line.as_bytes());
            reported = dropped;
        }
        // A failure of the log cannot be logged.
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
