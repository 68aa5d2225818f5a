//! Holds the configuration in force, whose version only increases.

use crate::logging::{LogEvent, log_event};
use crate::members::RETRY_DELAY_MS;
use crate::metrics::METRICS;
use crate::probed_wait::watch_with_probes;
use dockgate_config::{ConfigHead, ConfigStore, HEAD_KEY};
use dockgate_core::FleetConfig;
use dockgate_platform::{PlatformError, WatchOutcome};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::watch;

/// The shared configuration in force on this box, which only a newer version replaces.
#[derive(Debug, Clone)]
pub(crate) struct ConfigCell {
    sender: Arc<watch::Sender<Arc<FleetConfig>>>,
    platform_reachable: Arc<AtomicBool>,
}

impl ConfigCell {
    /// Creates a cell without a configuration.
    pub(crate) fn new() -> Self {
        let (sender, _) = watch::channel(Arc::default());
        Self {
            sender: Arc::new(sender),
            platform_reachable: Arc::default(),
        }
    }

    /// Returns the configuration in force.
    pub(crate) fn current(&self) -> Arc<FleetConfig> {
        self.sender.borrow().clone()
    }

    /// Returns whether any configuration is in force.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.borrow().version > 0
    }

    /// Puts a configuration in force if it is newer, and returns whether it was.
    pub(crate) fn offer(&self, config: FleetConfig, source: &str) -> bool {
        let version = config.version;
        let newer = self.sender.send_if_modified(|current| {
            let newer = current.version < version;
            if newer {
                *current = Arc::new(config);
            }
            newer
        });
        if newer {
            METRICS.config_version.set(version as i64);
            log_event(&LogEvent::Configured { version, source });
        }
        newer
    }

    /// Returns a receiver of every newer configuration.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<FleetConfig>> {
        self.sender.subscribe()
    }

    /// Returns whether the last call to the platform succeeded.
    pub(crate) fn platform_reachable(&self) -> bool {
        self.platform_reachable.load(Ordering::Relaxed)
    }

    /// Brings the configuration up to date with a head of the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached or the stored changes are invalid.
    pub(crate) async fn follow(
        &self,
        store: &ConfigStore,
        head: &ConfigHead,
    ) -> Result<(), PlatformError> {
        let current = self.current();
        if head.version > current.version {
            let config = store.catch_up(&current, head).await?;
            self.offer(config, "platform");
        }
        Ok(())
    }
}

/// Watches the head of the store and puts every accepted change in force.
pub(crate) async fn watch_config(cell: ConfigCell, store: ConfigStore, watch_timeout: Duration) {
    let mut revision = 0;
    loop {
        match watch_once(&cell, &store, revision, watch_timeout).await {
            Ok(seen_revision) => {
                cell.platform_reachable.store(true, Ordering::Relaxed);
                revision = seen_revision;
            }
            Err(error) => {
                cell.platform_reachable.store(false, Ordering::Relaxed);
                log::warn!("{error}");
                let delay = rand::random_range(RETRY_DELAY_MS);
                tokio::time::sleep(Duration::from_millis(delay)).await;
            }
        }
    }
}

async fn watch_once(
    cell: &ConfigCell,
    store: &ConfigStore,
    revision: u64,
    watch_timeout: Duration,
) -> Result<u64, PlatformError> {
    let watched = watch_with_probes(store.client(), HEAD_KEY, revision, watch_timeout).await;
    let watched = match watched {
        // The history only grows, while the key holds the newest head alone.
        Err(error) if error.is_unreadable() => WatchOutcome::HistoryLost,
        watched => watched?,
    };
    let Some((head, seen_revision)) = store.head_after(watched).await? else {
        return Ok(revision);
    };
    cell.follow(store, &head).await?;
    if seen_revision == revision {
        // The store has dropped its history without a change; the delay prevents a busy loop.
        let delay = rand::random_range(RETRY_DELAY_MS);
        tokio::time::sleep(Duration::from_millis(delay)).await;
    }
    Ok(seen_revision)
}

#[cfg(test)]
mod tests;
