//! Keeps the accepted configuration in force: strictly in order, never back.

use crate::logging::{LogEvent, log_event};
use crate::members::RETRY_MS;
use crate::metrics::METRICS;
use crate::probed_wait::wait_probed;
use dockgate_config::{ConfigHead, ConfigStore};
use dockgate_core::FleetConfig;
use dockgate_platform::PlatformError;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::watch;

/// The configuration in force on this box; readers swap in a newer one, never an older.
#[derive(Debug, Clone)]
pub(crate) struct ConfigCell {
    sender: Arc<watch::Sender<Arc<FleetConfig>>>,
    reachable: Arc<AtomicBool>,
}

impl ConfigCell {
    /// Makes a cell that has never seen a configuration.
    pub(crate) fn new() -> Self {
        let (sender, _) = watch::channel(Arc::default());
        Self {
            sender: Arc::new(sender),
            reachable: Arc::default(),
        }
    }

    /// Returns the configuration in force.
    pub(crate) fn current(&self) -> Arc<FleetConfig> {
        self.sender.borrow().clone()
    }

    /// Tells whether any configuration is in force.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.borrow().version > 0
    }

    /// Puts a configuration in force if it is newer; returns whether it was.
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

    /// Tells whether the platform's service answered last time.
    pub(crate) fn platform_reachable(&self) -> bool {
        self.reachable.load(Ordering::Relaxed)
    }

    /// Brings the configuration up to a head.
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

/// Watches the head and puts every accepted change in force.
pub(crate) async fn watch_config(cell: ConfigCell, store: ConfigStore, wait: Duration) {
    let mut revision = 0;
    loop {
        match watch_once(&cell, &store, revision, wait).await {
            Ok(seen) => {
                cell.reachable.store(true, Ordering::Relaxed);
                revision = seen;
            }
            Err(error) => {
                cell.reachable.store(false, Ordering::Relaxed);
                log::warn!("{error}");
                let pause = rand::random_range(RETRY_MS);
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
        }
    }
}

async fn watch_once(
    cell: &ConfigCell,
    store: &ConfigStore,
    revision: u64,
    wait: Duration,
) -> Result<u64, PlatformError> {
    let watch = store.watch_head(revision, wait);
    let Some((head, seen)) = wait_probed(store.client(), watch).await? else {
        return Ok(revision);
    };
    cell.follow(store, &head).await?;
    if seen == revision {
        // The history was forgotten, and nothing has changed: there is no reason to hurry.
        let pause = rand::random_range(RETRY_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    Ok(seen)
}

#[cfg(test)]
mod tests;
