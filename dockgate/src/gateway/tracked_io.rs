//! A caller's connection, with what is known of it, so that idle and half-sent ones can be closed.

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

/// How long a connection that is to be closed may take to read what has arrived: the runtime asks
/// the system for it at least once in that time.
const FINAL_READ_TIMEOUT: Duration = Duration::from_millis(1);

/// What is known of one caller's connection.
#[derive(Debug)]
pub(super) struct ConnectionState {
    /// When it was last used, in milliseconds of the daemon's clock.
    last_used_ms: AtomicU64,
    /// Requests that are being answered.
    busy: AtomicU32,
    /// Whether bytes of a request have come that is not whole yet.
    partial: AtomicBool,
    /// Tells the connection's task to close it.
    pub(super) close: Notify,
}

impl ConnectionState {
    /// Makes the state of a connection that has just been accepted.
    pub(super) fn new() -> Self {
        Self {
            last_used_ms: AtomicU64::new(now_ms()),
            busy: AtomicU32::new(0),
            partial: AtomicBool::new(false),
            close: Notify::new(),
        }
    }

    /// Notes that a request is whole.
    pub(super) fn begin_request(&self) {
        self.partial.store(false, Ordering::Relaxed);
        self.busy.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes that an answer is whole, or that nobody waits for it any more.
    pub(super) fn end_request(&self) {
        self.busy.fetch_sub(1, Ordering::Relaxed);
        self.last_used_ms.store(now_ms(), Ordering::Relaxed);
    }

    fn record_read(&self) {
        if self.busy.load(Ordering::Relaxed) == 0 && !self.partial.swap(true, Ordering::Relaxed) {
            self.last_used_ms.store(now_ms(), Ordering::Relaxed);
        }
    }

    /// Returns when the connection was last used.
    pub(super) fn last_used_ms(&self) -> u64 {
        self.last_used_ms.load(Ordering::Relaxed)
    }

    /// Tells whether a request is being answered.
    pub(super) fn is_busy(&self) -> bool {
        self.busy.load(Ordering::Relaxed) > 0
    }

    /// Serves the connection until that ends, until its caller has left, or until it is told to close while
    /// no request is being answered; returns none in both latter cases.
    ///
    /// Who tells it to close has not seen what has arrived since: a request that crosses the close
    /// is read, and answered, first.
    ///
    /// The library that serves it does not see its caller leave behind bytes that it has no use for yet, such as
    /// the next request: work went on for 2.9 s after the caller had gone, until the answer was made, and the next
    /// request was begun then. So the system is asked beside it, and before it.
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
            tokio::select! {
                biased;
                output = connection.as_mut() => return Some(output),
                () = tokio::time::sleep(FINAL_READ_TIMEOUT) => {}
            }
            if !self.is_busy() {
                return None;
            }
        }
    }

    /// Tells whether the connection has rested, or sent a part of a request, for too long.
    pub(super) fn is_overdue(&self, now_ms: u64, head_ms: u64, idle_ms: u64) -> bool {
        let idle_time_ms = now_ms.saturating_sub(self.last_used_ms.load(Ordering::Relaxed));
        let limit = if self.partial.load(Ordering::Relaxed) {
            head_ms
        } else {
            idle_ms
        };
        !self.is_busy() && idle_time_ms > limit
    }
}

/// A stream that notes what is read from it.
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
        Pin::new(&mut self.stream).poll_write(context, bytes)
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
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

#[cfg(test)]
mod disconnect_tests;
#[cfg(test)]
mod tests;
