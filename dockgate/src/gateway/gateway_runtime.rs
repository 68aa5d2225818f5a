//! The runtime of a gateway, with a handler for SIGHUP that is installed at startup.

use crate::error::DaemonError;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// A single-threaded runtime that handles SIGHUP.
///
/// It is created before the settings are read, since SIGHUP ends a process that has no handler. A
/// signal during startup is kept, so that the settings are reloaded once the gateway runs.
pub(crate) struct GatewayRuntime {
    pub(super) runtime: Runtime,
    /// SIGHUP signals; `None` if the handler could not be installed.
    pub(super) reload_signals: Option<Signal>,
}

impl GatewayRuntime {
    /// Creates the runtime and installs the signal handler.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime cannot be created.
    pub(crate) fn new() -> Result<Self, DaemonError> {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(DaemonError::Runtime)?;
        let guard = runtime.enter();
        let reload_signals = signal(SignalKind::hangup())
            .inspect_err(|error| eprintln!("cannot install the SIGHUP handler: {error}"))
            .ok();
        drop(guard);
        Ok(Self {
            runtime,
            reload_signals,
        })
    }
}
