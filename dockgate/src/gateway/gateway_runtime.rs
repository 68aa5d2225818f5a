//! The runtime of a gateway, and the signal that must find it listening from the first moment.

use crate::error::DaemonError;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// One thread, which already listens for SIGHUP.
///
/// It is made before anything is read: a SIGHUP that comes while a box starts would end the process,
/// as that is what it does where nothing listens. One that comes meanwhile is kept, so that the
/// settings are read again as soon as the gateway runs.
pub(crate) struct GatewayRuntime {
    pub(super) runtime: Runtime,
    /// None where the system gives no handler.
    pub(super) reload_signals: Option<Signal>,
}

impl GatewayRuntime {
    /// Makes the runtime and begins to listen.
    ///
    /// # Errors
    ///
    /// Returns an error where the system gives no runtime.
    pub(crate) fn new() -> Result<Self, DaemonError> {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(DaemonError::Runtime)?;
        let guard = runtime.enter();
        let reload_signals = signal(SignalKind::hangup())
            .inspect_err(|error| eprintln!("listen for SIGHUP: {error}"))
            .ok();
        drop(guard);
        Ok(Self {
            runtime,
            reload_signals,
        })
    }
}
