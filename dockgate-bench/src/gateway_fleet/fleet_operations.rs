//! Operations on all boxes of a fleet: releases, restarts and roles.

use super::{GatewayFleet, KEYS, route_config, wait_until};
use crate::error::BenchError;
use dockgate_platform::{OPERATOR_KEY_PREFIX, ROUTES_KEY};
use std::time::{Duration, Instant};

/// Time within which a box starts a watch after the answer to the previous one.
const WATCH_PAUSE: Duration = Duration::from_millis(500);

impl GatewayFleet {
    /// Starts endpoints of a version of the service `model`, each once all boxes know the one
    /// before, and waits until streams begin there. None may have been removed before.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn add_version(&mut self, version: &str, count: usize) -> Result<(), BenchError> {
        for number in 0..count {
            let id = format!("{version}-{number}");
            self.add_endpoint_of_version(version, &id, "model").await?;
            let line = format!("\"endpoint\":\"{id}\"");
            // A box that has just started may list the endpoint along with all others.
            let listing = format!("\"count\":{},", self.endpoints.len());
            for gateway in &self.gateways {
                wait_until("a gateway knows the endpoint", async || {
                    let logged = gateway.logged();
                    logged.contains(&line) || logged.contains(&listing)
                })
                .await;
            }
        }
        self.wait_for_admission().await;
        Ok(())
    }

    /// Waits until all boxes begin streams at all versions that they know.
    pub async fn wait_for_admission(&self) {
        for gateway in &self.gateways {
            wait_until("all versions are admitted", async || {
                let metrics = gateway.metrics().await;
                metrics.contains("dockgate_unadmitted_versions 0\n")
            })
            .await;
        }
    }

    /// Removes the records of the endpoints of a version, which go on with their runs.
    pub fn remove_version(&self, version: &str) {
        for endpoint in self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.version == version)
        {
            self.store.remove(&endpoint.record("a", "ready").0);
        }
    }

    /// Writes the records of the endpoints of a version again.
    pub fn publish_version(&self, version: &str) {
        for endpoint in self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.version == version)
        {
            let (key, value) = endpoint.record("a", "ready");
            self.store.set(&key, value);
        }
    }

    /// Kills all boxes at once.
    pub fn kill_all(&mut self) {
        for gateway in &mut self.gateways {
            gateway.kill();
        }
    }

    /// Starts all boxes again and waits until they are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started.
    pub async fn start_all(&mut self) -> Result<(), BenchError> {
        for gateway in &mut self.gateways {
            gateway.restart()?;
        }
        for gateway in &self.gateways {
            wait_until("a box is ready", async || gateway.is_ready().await).await;
        }
        Ok(())
    }

    /// Kills all boxes at once, starts them again and waits until they are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started.
    pub async fn restart_all(&mut self) -> Result<(), BenchError> {
        self.kill_all();
        self.start_all().await
    }

    /// Returns whether each box follows the store: those that do start a watch after a change.
    /// The change is the default configuration with this version.
    pub async fn find_followers(&self, version: u64) -> Vec<bool> {
        let changed = Instant::now();
        self.store.set(ROUTES_KEY, route_config(version, KEYS));
        for gateway in &self.gateways {
            wait_until("the configuration is in force", async || {
                gateway.logged().contains(&format!("\"version\":{version}"))
            })
            .await;
        }
        tokio::time::sleep(WATCH_PAUSE).await;
        let watches = self.store_listeners.iter();
        let watches = watches.map(|listener| listener.watch(OPERATOR_KEY_PREFIX));
        watches
            .map(|watch| watch.is_some_and(|(started, _)| started > changed))
            .collect()
    }
}
