//! Graceful shutdown: the daemon becomes not ready, rejects new requests, and completes those in
//! flight before it exits.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// A shared flag that is set once the daemon is stopping.
#[derive(Debug, Clone, Default)]
pub(crate) struct StopFlag(Arc<AtomicBool>);

impl StopFlag {
    /// Starts the shutdown.
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Returns whether the shutdown has started.
    pub(crate) fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Waits for SIGTERM or SIGINT.
pub(crate) async fn wait_for_signal() {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = match signal(SignalKind::terminate()) {
        Ok(terminate) => terminate,
        Err(error) => {
            log::error!("cannot install the SIGTERM handler: {error}");
            return std::future::pending().await;
        }
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}
