//! The orderly stop: not ready, no new work, requests in flight finish, then the process ends.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Tells every part of the daemon whether it is stopping.
#[derive(Debug, Clone, Default)]
pub(crate) struct StopFlag(Arc<AtomicBool>);

impl StopFlag {
    /// Begins the stop.
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Tells whether the stop has begun.
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
            log::error!("listen for SIGTERM: {error}");
            return std::future::pending().await;
        }
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}
