//! Tracks the activity of callers' connections, so that idle and incomplete ones can be closed.

use super::sockets::UNREAD_TIMEOUT;
use crate::clock::now_ms;
use crate::shared_stream::{DisconnectMonitor, SharedStream};
use std::io;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

/// Time for a connection to read received data before it is closed. The runtime polls the socket at
/// least once in that time.
const FINAL_READ_TIMEOUT: Duration = Duration::from_millis(1);

/// The least time without progress after which an unread answer is overdue, in milliseconds. The
/// system reports progress only after it has sent a third of the socket's buffer.
const MIN_UNREAD_MS: u64 = UNREAD_TIMEOUT.as_millis() as u64;

/// Activity of a caller's connection.
#[derive(Debug)]
pub(super) struct ConnectionState {
    /// Time of the last use, in milliseconds of the daemon's clock.
    last_used_ms: AtomicU64,
    /// Number of requests in progress.
    busy: AtomicU32,
    /// Whether an incomplete request has been received.
    partial: AtomicBool,
    /// Whether bytes of an answer wait until the caller reads.
    is_writing: AtomicBool,
    /// Whether the connection only waits for its caller's close.
    is_lingering: AtomicBool,
    /// The limit of heads that the connection was opened with, in bytes.
    head_bytes: usize,
    /// Notifies the connection's task to close the connection.
    pub(super) close: Notify,
}

impl ConnectionState {
    /// Creates the state of a newly accepted connection, whose heads have at most `head_bytes`.
    pub(super) fn new(head_bytes: usize) -> Self {
        Self {
            last_used_ms: AtomicU64::new(now_ms()),
            busy: AtomicU32::new(0),
            partial: AtomicBool::new(false),
            is_writing: AtomicBool::new(false),
            is_lingering: AtomicBool::new(false),
            head_bytes,
            close: Notify::new(),
        }
    }

    /// Records that a request was received completely.
    pub(super) fn begin_request(&self) {
        self.partial.store(false, Ordering::Relaxed);
        self.busy.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a response is complete or was abandoned.
    pub(super) fn end_request(&self) {
        self.busy.fetch_sub(1, Ordering::Relaxed);
        self.last_used_ms.store(now_ms(), Ordering::Relaxed);
    }

    fn record_read(&self) {
        if self.busy.load(Ordering::Relaxed) == 0 && !self.partial.swap(true, Ordering::Relaxed) {
            self.last_used_ms.store(now_ms(), Ordering::Relaxed);
        }
    }

    /// Records a write; the HTTP library writes until it has written everything or cannot write more.
    fn record_write(&self, is_blocked: bool) {
        if self.is_writing.swap(is_blocked, Ordering::Relaxed) && !is_blocked {
            self.last_used_ms.store(now_ms(), Ordering::Relaxed);
        }
    }

    /// Records that the last answer is written, and the caller may close the connection.
    pub(super) fn begin_linger(&self) {
        self.is_lingering.store(true, Ordering::Relaxed);
    }

    /// Returns whether the connection only waits for its caller's close.
    pub(super) fn is_lingering(&self) -> bool {
        self.is_lingering.load(Ordering::Relaxed)
    }

    /// Returns the time of the last use, in milliseconds of the daemon's clock.
    pub(super) fn last_used_ms(&self) -> u64 {
        self.last_used_ms.load(Ordering::Relaxed)
    }

    /// Returns whether a request is in progress, or an answer is not written completely.
    ///
    /// A request ends when the HTTP library takes the last bytes of its answer, however long the
    /// caller takes to read them.
    pub(super) fn is_busy(&self) -> bool {
        self.has_request() || self.is_unread()
    }

    /// Returns the limit of heads that the connection was opened with, in bytes.
    pub(super) const fn head_bytes(&self) -> usize {
        self.head_bytes
    }

    /// Returns whether the connection has not been used since `since_ms`: no request is in progress,
    /// none has begun to arrive, and no answer is unread.
    pub(super) fn is_resting(&self, since_ms: u64) -> bool {
        let is_used = self.is_busy() || self.partial.load(Ordering::Relaxed);
        !is_used && self.last_used_ms() <= since_ms
    }

    /// Returns whether bytes of an answer wait until the caller reads.
    pub(super) fn is_unread(&self) -> bool {
        self.is_writing.load(Ordering::Relaxed)
    }

    fn has_request(&self) -> bool {
        self.busy.load(Ordering::Relaxed) > 0
    }

    /// Serves the connection until it ends, until its caller disconnects, or until `close` is
    /// notified while no request is in progress; returns `None` in the latter two cases.
    ///
    /// A request that was received before the close is read and answered first. A caller that does
    /// not read the rest of an answer does not prevent the close.
    ///
    /// The HTTP library does not detect a disconnect behind bytes that it has not read, such as
    /// the next request. The operating system is therefore polled as well, and first, so that
    /// no request is processed or started for a caller that has disconnected.
    pub(super) async fn serve_until_closed<F: Future>(
        &self,
        mut connection: Pin<&mut F>,
        monitor: &DisconnectMonitor,
    ) -> Option<F::Output> {
        let mut disconnected = pin!(monitor.disconnected());
        loop {
            tokio::select! {
                biased;
                () = disconnected.as_mut() => return None,
                output = connection.as_mut() => return Some(output),
                () = self.close.notified() => {}
            }
            let was_writing = self.is_writing.load(Ordering::Relaxed);
            tokio::select! {
                biased;
                output = connection.as_mut() => return Some(output),
                () = tokio::time::sleep(FINAL_READ_TIMEOUT) => {}
            }
            match self.is_busy() {
                true if self.has_request() || !was_writing => {}
                _ => return None,
            }
        }
    }

    /// Returns whether the connection has been idle, its request incomplete, or its answer unread for
    /// too long.
    pub(super) fn is_overdue(&self, now_ms: u64, head_ms: u64, idle_ms: u64) -> bool {
        let idle_time_ms = now_ms.saturating_sub(self.last_used_ms.load(Ordering::Relaxed));
        let limit = match self.partial.load(Ordering::Relaxed) {
            _ if self.is_unread() => idle_ms.max(MIN_UNREAD_MS),
            true => head_ms,
            false => idle_ms,
        };
        !self.has_request() && idle_time_ms > limit
    }
}

/// A stream that records reads in its connection's state.
pub(super) struct TrackedIo {
    stream: SharedStream,
    state: Arc<ConnectionState>,
}

impl TrackedIo {
    pub(super) const fn new(stream: SharedStream, state: Arc<ConnectionState>) -> Self {
        Self { stream, state }
    }
}

impl AsyncRead for TrackedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.state.record_read();
        }
        polled
    }
}

impl AsyncWrite for TrackedIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.state.record_write(polled.is_pending());
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.state.record_write(polled.is_pending());
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

#[cfg(test)]
mod disconnect_tests;
#[cfg(test)]
mod tests;
