//! A TCP connection that an HTTP library reads and writes while the box looks at it from beside.
//!
//! A library looks for the end of a connection only when it reads, and it reads only when it has a use
//! for what comes. So whoever has to know whether the other side is still there asks the system, through
//! a [`DisconnectMonitor`].

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

/// What wakes whoever waits for the end of a connection: not the bytes before it.
#[cfg(any(target_os = "linux", target_os = "android"))]
const CLOSE_INTEREST: Interest = Interest::PRIORITY;
/// Other systems tell of the end and of bytes alike.
#[cfg(not(any(target_os = "linux", target_os = "android")))]
const CLOSE_INTEREST: Interest = Interest::READABLE;
/// How long to wait where bytes that nobody reads would wake the same waiter again and again. A bound, for
/// systems that do not tell the end from bytes.
const UNREAD_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A connection for a library, which can be looked at from beside.
#[derive(Debug)]
pub(crate) struct SharedStream(Arc<TcpStream>);

impl SharedStream {
    /// Takes a connection over.
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self(Arc::new(stream))
    }

    /// Returns what tells whether the other side is still there.
    pub(crate) fn disconnect_monitor(&self) -> DisconnectMonitor {
        DisconnectMonitor(self.0.clone())
    }

    /// Returns what can reset the connection, for as long as it is open.
    pub(crate) fn abort_handle(&self) -> StreamAbortHandle {
        StreamAbortHandle(Arc::downgrade(&self.0))
    }

    /// Reads what has come; a read that leaves room has taken everything, and the runtime is told so, which
    /// saves the call that would find nothing.
    fn try_read(&self, buffer: &mut ReadBuf<'_>) -> io::Result<()> {
        let before = buffer.remaining();
        let mut has_read = false;
        let tried = self.0.try_io(Interest::READABLE, || {
            let length = self.0.try_read_buf(buffer)?;
            has_read = true;
            match length > 0 && length < before {
                true => Err(ErrorKind::WouldBlock.into()),
                false => Ok(()),
            }
        });
        match has_read {
            true => Ok(()),
            false => tried,
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

/// Tells whether the other side of a connection is still there.
///
/// One that has ended its sending counts as gone, whether it would still read or not: a caller that leaves
/// closes its connection, and the end of what it sends is all that is seen of that.
#[derive(Debug, Clone)]
pub(crate) struct DisconnectMonitor(Arc<TcpStream>);

impl DisconnectMonitor {
    /// Tells whether the other side has left, as the system knows it at this moment.
    pub(crate) fn is_disconnected(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&*self.0).peek(&mut byte) {
            Ok(0) => true,
            Ok(_) => self.is_closed_after_unread_bytes(),
            Err(error) => !is_retryable(&error),
        }
    }

    /// Tells whether the other side has left behind bytes that nobody has read.
    #[cfg(any(target_os = "linux", target_os = "android"))]
    fn is_closed_after_unread_bytes(&self) -> bool {
        let mut polled = [PollFd::new(&*self.0, PollFlags::RDHUP)];
        let asked = poll(&mut polled, Some(&Timespec::default()));
        // A failure of the connection is told whether it is asked for or not.
        asked.is_ok() && !polled[0].revents().is_empty()
    }

    /// Tells whether the other side has left behind bytes that nobody has read, as far as the runtime knows.
    #[cfg(not(any(target_os = "linux", target_os = "android")))]
    fn is_closed_after_unread_bytes(&self) -> bool {
        let noted = self.0.ready(CLOSE_INTEREST).now_or_never();
        noted.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed()))
    }

    /// Waits until the other side has left, whatever it has sent before that nobody reads.
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

/// Tells whether a call found nothing to do, in place of a failure.
fn is_retryable(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

/// Resets a connection that somebody else holds; it does not keep it open.
#[derive(Debug)]
pub(crate) struct StreamAbortHandle(Weak<TcpStream>);

impl StreamAbortHandle {
    /// Has the connection reset when it closes, so that what the system has not delivered yet never is.
    pub(crate) fn reset_on_close(&self) {
        let Some(stream) = self.0.upgrade() else {
            return;
        };
        if let Err(error) = stream.set_zero_linger() {
            log::debug!("have a connection reset: {error}");
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
