//! Changes the configuration repeatedly and measures how long each change takes to propagate.

use crate::fleet::{BenchFleet, DaemonProcess, apply_intent_at, fetch_metric};
use crate::report::TimePercentiles;
use dockgate_core::{ConfigChange, KindSpec};
use dockgate_proto::operator::PlanIntent;
use hdrhistogram::Histogram;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// Interval between queries for the version in force.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait for a change to be in force at every box.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(10);

/// Histogram of the time until a change is in force at every box, in microseconds.
#[derive(Debug, Clone)]
pub(super) struct PropagationTimes(Arc<Mutex<Histogram<u64>>>);

impl Default for PropagationTimes {
    fn default() -> Self {
        let longest_us = 60_000_000;
        let times = Histogram::new_with_bounds(1, longest_us, 3);
        Self(Arc::new(Mutex::new(
            times.expect("constant bounds are valid"),
        )))
    }
}

impl PropagationTimes {
    fn record(&self, time: Duration) {
        let mut times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        times.saturating_record(time.as_micros() as u64);
    }

    /// Returns percentiles of the propagation time.
    pub(super) fn percentiles(&self) -> TimePercentiles {
        let times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let value_at = |quantile| times.value_at_quantile(quantile) as f64 / 1_000.0;
        TimePercentiles {
            p50: value_at(0.5),
            p95: value_at(0.95),
            p99: value_at(0.99),
        }
    }
}

/// A simulated operator who changes the configuration at a fixed rate.
pub(super) struct ConfigChurn {
    operator_addresses: Vec<SocketAddr>,
    metrics_addresses: Vec<SocketAddr>,
    interval: Duration,
    propagation: PropagationTimes,
}

impl ConfigChurn {
    pub(super) fn new(fleet: &BenchFleet, propagation: PropagationTimes) -> Self {
        let daemons = || fleet.daemons.iter();
        Self {
            operator_addresses: daemons().map(DaemonProcess::operator_address).collect(),
            metrics_addresses: daemons().map(DaemonProcess::metrics_address).collect(),
            interval: Duration::from_secs_f64(1.0 / fleet.scenario.fleet.changes_per_second),
            propagation,
        }
    }

    /// Applies one change after another, alternating between boxes, until the token is cancelled.
    pub(super) async fn run(self, stop: CancellationToken) {
        let mut ticks = tokio::time::interval(self.interval);
        for number in 0.. {
            ticks.tick().await;
            if stop.is_cancelled() {
                return;
            }
            let spec = KindSpec {
                name: "churned".to_owned(),
                repeatable: number % 2 == 0,
            };
            let intent = PlanIntent::Changes(vec![ConfigChange::PutKind(spec)]);
            let operator_address = self.operator_addresses[number % self.operator_addresses.len()];
            match apply_intent_at(operator_address, intent).await {
                Ok(reply) => self.record_propagation(reply.version).await,
                Err(error) => log::warn!("configuration change failed: {error}"),
            }
        }
    }

    async fn record_propagation(&self, version: u64) {
        let started = Instant::now();
        while started.elapsed() < PROPAGATION_TIMEOUT {
            let versions = self
                .metrics_addresses
                .iter()
                .map(|address| fetch_metric(*address, "dockgate_config_version"));
            let versions = futures::future::join_all(versions).await;
            let lagging = versions
                .iter()
                .any(|seen| seen.is_none_or(|seen| seen < version as f64));
            if !lagging {
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.propagation.record(started.elapsed());
    }
}
