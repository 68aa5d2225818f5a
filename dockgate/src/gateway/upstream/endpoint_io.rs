//! A connection to an endpoint that withholds a request if its caller has left, or if the endpoint
//! no longer accepts requests.
//!
//! On an overloaded box, seconds may pass between the choice of an endpoint and the first write.
//! The tasks that would notice a change may be scheduled after the one that writes, so the
//! condition is checked directly before the write.

use super::super::gateway_metrics::GATEWAY_METRICS;
use crate::shared_stream::{DisconnectMonitor, SharedStream};
use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The condition on which a request may be sent.
#[derive(Clone)]
pub(in super::super) struct SendCondition {
    caller: DisconnectMonitor,
    is_accepted: Arc<dyn Fn() -> bool + Send + Sync>,
}

impl SendCondition {
    /// Creates a condition that holds while `caller` is connected and `is_accepted` returns `true`.
    pub(in super::super) fn new(
        caller: &DisconnectMonitor,
        is_accepted: impl Fn() -> bool + Send + Sync + 'static,
    ) -> Self {
        Self {
            caller: caller.clone(),
            is_accepted: Arc::new(is_accepted),
        }
    }

    fn withheld(&self) -> Option<WithheldReason> {
        match () {
            () if self.caller.is_disconnected() => Some(WithheldReason::CallerLeft),
            () if !(self.is_accepted)() => Some(WithheldReason::Unwanted),
            () => None,
        }
    }
}

/// Why a request was withheld.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in super::super) enum WithheldReason {
    /// The caller has left.
    CallerLeft,
    /// The endpoint announced meanwhile that it accepts no requests from this box.
    Unwanted,
}

impl WithheldReason {
    /// Returns the name used in metrics and errors.
    pub(in super::super) const fn as_str(self) -> &'static str {
        match self {
            Self::CallerLeft => "caller_left",
            Self::Unwanted => "unwanted",
        }
    }
}

/// Holds the condition of the next request on a connection, the reason if it was withheld, and
/// whether the last request is written.
#[derive(Default)]
pub(super) struct SendGate {
    condition: Mutex<Option<SendCondition>>,
    withheld: Mutex<Option<WithheldReason>>,
    /// Whether the HTTP library may hold bytes that are not written yet.
    has_unwritten: AtomicBool,
    /// The number of bytes that were read since the last request was set, without the head of its
    /// answer; [`HEAD_READ`] once that is complete.
    head_bytes: AtomicUsize,
}

/// Marks that the head of an answer is complete.
const HEAD_READ: usize = usize::MAX;
/// The number of bytes after which an answer whose head is not complete is given up. The HTTP library
/// bounds a single head, but skips any number of interim answers.
const MAX_HEAD_BYTES: usize = 256 << 10;

impl SendGate {
    /// Sets the condition of the next request.
    pub(super) fn set_condition(&self, condition: &SendCondition) {
        *locked(&self.condition) = Some(condition.clone());
        self.head_bytes.store(0, Ordering::Relaxed);
    }

    /// Records that the head of the answer is complete.
    pub(super) fn record_head(&self) {
        self.head_bytes.store(HEAD_READ, Ordering::Relaxed);
    }

    /// Counts bytes that were read.
    ///
    /// # Errors
    ///
    /// Returns an error if the head of the answer is too long.
    fn count_read(&self, length: usize) -> io::Result<()> {
        let before = self.head_bytes.load(Ordering::Relaxed);
        if before == HEAD_READ {
            return Ok(());
        }
        let after = before.saturating_add(length);
        if after > MAX_HEAD_BYTES {
            GATEWAY_METRICS.record_unbounded_answer("long_head");
            let problem = "the head of the answer is too long";
            return Err(io::Error::new(ErrorKind::InvalidData, problem));
        }
        self.head_bytes.store(after, Ordering::Relaxed);
        Ok(())
    }

    /// Returns why a request was withheld, if one was; the connection has ended then.
    pub(super) fn withheld(&self) -> Option<WithheldReason> {
        *locked(&self.withheld)
    }

    /// Returns whether the last request is written completely; an endpoint may answer it before.
    pub(super) fn is_written(&self) -> bool {
        !self.has_unwritten.load(Ordering::Relaxed)
    }

    /// Checks the condition once, before the first bytes of its request are written.
    ///
    /// # Errors
    ///
    /// Returns an error if the condition does not hold; nothing is written then.
    fn check(&self) -> io::Result<()> {
        self.has_unwritten.store(true, Ordering::Relaxed);
        let condition = locked(&self.condition).take();
        let Some(reason) = condition.and_then(|condition| condition.withheld()) else {
            return Ok(());
        };
        *locked(&self.withheld) = Some(reason);
        GATEWAY_METRICS.record_withheld_send(reason.as_str());
        Err(io::Error::new(
            ErrorKind::ConnectionAborted,
            reason.as_str(),
        ))
    }
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A connection to an endpoint whose writes pass a [`SendGate`].
pub(super) struct EndpointIo {
    stream: SharedStream,
    gate: Arc<SendGate>,
}

impl EndpointIo {
    pub(super) const fn new(stream: SharedStream, gate: Arc<SendGate>) -> Self {
        Self { stream, gate }
    }
}

impl AsyncRead for EndpointIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.gate.count_read(buffer.filled().len() - before)?;
        polled
    }
}

impl AsyncWrite for EndpointIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.gate.check()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.gate.check()?;
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The HTTP library flushes the stream once it has written all that it buffered.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.gate.has_unwritten.store(false, Ordering::Relaxed);
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
