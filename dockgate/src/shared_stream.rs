//! A TCP connection that an HTTP library reads and writes while the daemon monitors it.
//!
//! The library detects the end of a connection only when it reads, and it reads only when it needs
//! data. A [`DisconnectMonitor`] detects a disconnect independently of reads.

#[cfg(not(any(target_os = "linux", target_os = "android")))]
use futures::FutureExt;
#[cfg(any(target_os = "linux", target_os = "android"))]
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::SockRef;
use std::io::{self, ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::{Arc, Weak};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// Readiness that signals the end of a connection, but not the bytes before it.
#[cfg(any(target_os = "linux", target_os = "android"))]
const CLOSE_INTEREST: Interest = Interest::PRIORITY;
/// Other systems signal the end of a connection and received bytes alike.
#[cfg(not(any(target_os = "linux", target_os = "android")))]
const CLOSE_INTEREST: Interest = Interest::READABLE;
/// Poll interval on systems where unread bytes would wake a waiting task continuously.
const UNREAD_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The size of the reads that discard bytes.
const DISCARD_BUFFER_BYTES: usize = 4_096;

/// A connection that can be monitored and aborted while a library uses it.
#[derive(Debug)]
pub(crate) struct SharedStream(Arc<TcpStream>);

impl SharedStream {
    /// Wraps a connection.
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self(Arc::new(stream))
    }

    /// Returns a monitor that detects a disconnect of the peer.
    pub(crate) fn disconnect_monitor(&self) -> DisconnectMonitor {
        DisconnectMonitor(self.0.clone())
    }

    /// Returns a handle to the connection that does not keep it open.
    pub(crate) fn handle(&self) -> StreamHandle {
        StreamHandle(Arc::downgrade(&self.0))
    }

    /// Reads received bytes. A read that does not fill the buffer clears the readiness, which saves
    /// a further call that would block.
    fn try_read(&self, buffer: &mut ReadBuf<'_>) -> io::Result<()> {
        let before = buffer.remaining();
        let mut has_read = false;
        let result = self.0.try_io(Interest::READABLE, || {
            let length = self.0.try_read_buf(buffer)?;
            has_read = true;
            match length > 0 && length < before {
                true => Err(ErrorKind::WouldBlock.into()),
                false => Ok(()),
            }
        });
        match has_read {
            true => Ok(()),
            false => result,
        }
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(context))?;
            match self.try_read(buffer) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                read => return Poll::Ready(read),
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(context, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            match self.0.try_write_vectored(slices) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}

/// Detects whether the peer of a connection has disconnected.
///
/// A peer that has shut down its sending side counts as disconnected, even if it could still read:
/// a full close looks the same on the receiving side.
#[derive(Debug, Clone)]
pub(crate) struct DisconnectMonitor(Arc<TcpStream>);

impl DisconnectMonitor {
    /// Returns whether the operating system has seen a disconnect of the peer.
    pub(crate) fn is_disconnected(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&*self.0).peek(&mut byte) {
            Ok(0) => true,
            Ok(_) => self.is_closed_after_unread_bytes(),
            Err(error) => !is_retryable(&error),
        }
    }

    /// Returns whether the peer has disconnected after bytes that are still unread.
    #[cfg(any(target_os = "linux", target_os = "android"))]
    fn is_closed_after_unread_bytes(&self) -> bool {
        let mut polled = [PollFd::new(&*self.0, PollFlags::RDHUP)];
        let result = poll(&mut polled, Some(&Timespec::default()));
        // Errors are always reported in addition to the requested events.
        result.is_ok() && !polled[0].revents().is_empty()
    }

    /// Returns whether the peer has disconnected after bytes that are still unread, as far as the
    /// runtime knows.
    #[cfg(not(any(target_os = "linux", target_os = "android")))]
    fn is_closed_after_unread_bytes(&self) -> bool {
        let readiness = self.0.ready(CLOSE_INTEREST).now_or_never();
        readiness.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed()))
    }

    /// Returns whether the system has given up the connection, since the peer did not acknowledge or
    /// read anything for too long. Returns `true` once.
    pub(crate) fn has_timed_out(&self) -> bool {
        let error = self.0.take_error();
        matches!(error, Ok(Some(error)) if error.kind() == ErrorKind::TimedOut)
    }

    /// Waits until the peer has disconnected, even after unread bytes.
    pub(crate) async fn disconnected(&self) {
        loop {
            match self.0.ready(CLOSE_INTEREST).await {
                Ok(ready) if ready.is_read_closed() => return,
                Ok(_) => tokio::time::sleep(UNREAD_POLL_INTERVAL).await,
                Err(_) => return,
            }
        }
    }
}

/// Reads and discards what the peer still sends, up to `max_bytes`, until it has disconnected.
pub(crate) async fn discard_until_closed(monitor: &DisconnectMonitor, max_bytes: usize) {
    let mut discarded = 0;
    while discarded < max_bytes && monitor.0.readable().await.is_ok() {
        let mut buffer = [0; DISCARD_BUFFER_BYTES];
        match monitor.0.try_read(&mut buffer) {
            Ok(0) => return,
            Ok(length) => {
                discarded += length;
                // The readiness of a socket alone never yields to other tasks.
                tokio::task::coop::consume_budget().await;
            }
            Err(error) if is_retryable(&error) => {}
            Err(_) => return,
        }
    }
}

/// Returns whether a call could not complete yet, as opposed to a failure.
fn is_retryable(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

/// Changes the options of a connection without keeping it open.
#[derive(Debug, Clone)]
pub(crate) struct StreamHandle(Weak<TcpStream>);

impl StreamHandle {
    /// Calls `set` with the socket, if the connection is open.
    pub(crate) fn set_options(&self, set: impl FnOnce(&SockRef<'_>) -> io::Result<()>) {
        let Some(stream) = self.0.upgrade() else {
            return;
        };
        if let Err(error) = set(&SockRef::from(&*stream)) {
            log::debug!("cannot set an option of a connection: {error}");
        }
    }

    /// Resets the connection when it is closed, so that undelivered bytes are discarded.
    pub(crate) fn reset_on_close(&self) {
        self.set_options(|socket| socket.set_linger(Some(Duration::ZERO)));
    }
}

#[cfg(test)]
pub(crate) mod tests;
