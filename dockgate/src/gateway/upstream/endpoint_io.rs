//! A connection to an endpoint, which looks for the caller once more when a request is written.

use super::super::gateway_metrics::GATEWAY_METRICS;
use crate::shared_stream::{PeerPresence, SharedStream};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Who waits for the request that a connection carries next.
#[derive(Debug, Default)]
pub(super) struct SendGate(Mutex<Option<PeerPresence>>);

impl SendGate {
    /// Names the caller of the request that is written next.
    pub(super) fn expect(&self, caller: &PeerPresence) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(caller.clone());
    }

    /// Looks for the caller when the first bytes of its request are about to be written.
    fn look(&self) {
        let caller = self.0.lock().unwrap_or_else(PoisonError::into_inner).take();
        if caller.is_some_and(|caller| caller.has_left()) {
            GATEWAY_METRICS.sent_after_leave.inc();
        }
    }
}

/// A connection to an endpoint.
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
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for EndpointIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.gate.look();
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.gate.look();
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
