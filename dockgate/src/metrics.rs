//! Metrics of the daemon, in the Prometheus text format.

use crate::logging::dropped_lines;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};
use std::sync::LazyLock;

/// Upper bounds of the histogram buckets for durations, in seconds.
const DURATION_BUCKETS_S: [f64; 14] = [
    0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0, 60.0,
];

/// Every metric of the daemon.
pub(crate) struct DaemonMetrics {
    registry: Registry,
    /// Requests that ended, by outcome and step.
    pub(crate) requests: IntCounterVec,
    /// Time spent waiting for a slot, by pool.
    pub(crate) wait: HistogramVec,
    /// Attempts sent to a second endpoint.
    pub(crate) retries: IntCounter,
    /// Pauses of streams that freed their slot.
    pub(crate) pauses: IntCounter,
    /// Grants issued by this scheduler.
    pub(crate) grants: IntCounter,
    /// Grants received when no request was waiting.
    pub(crate) overgrants: IntGauge,
    /// Grants that expired without a message from their entry.
    pub(crate) expired_grants: IntGauge,
    /// Slots held beyond the capacity of endpoints, for example if two boxes own an endpoint.
    pub(crate) overcommitted: IntGauge,
    /// Requests waiting at this entry.
    pub(crate) waiting: IntGauge,
    /// Requests running from this entry.
    pub(crate) running: IntGauge,
    /// Endpoints scheduled by this box.
    pub(crate) endpoints: IntGauge,
    /// Endpoints scheduled here that get no new requests after failures.
    pub(crate) endpoints_in_backoff: IntGauge,
    /// Version of the configuration in force.
    pub(crate) config_version: IntGauge,
    /// Violations of invariants.
    pub(crate) violations: IntGauge,
    /// Messages of peers that refer to unknown objects, by step.
    pub(crate) ignored: IntCounterVec,
    /// Rejected callers, peers and operators, by listener.
    pub(crate) rejected: IntCounterVec,
    /// Batches sent to peers.
    pub(crate) exchanges: IntCounter,
    /// Open links to peers.
    pub(crate) links: IntGauge,
    /// Dropped log lines.
    pub(crate) dropped_lines: IntGauge,
    /// Time spent in the handlers of the control actor, in microseconds.
    pub(crate) control_busy_us: IntCounter,
}

/// The daemon's metrics.
pub(crate) static METRICS: LazyLock<DaemonMetrics> = LazyLock::new(DaemonMetrics::new);

impl DaemonMetrics {
    fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            let metric = IntCounter::new(name, help).expect("a constant name is valid");
            registry
                .register(Box::new(metric.clone()))
                .expect("metric names are unique");
            metric
        };
        let gauge = |name: &str, help: &str| {
            let metric = IntGauge::new(name, help).expect("a constant name is valid");
            registry
                .register(Box::new(metric.clone()))
                .expect("metric names are unique");
            metric
        };
        let counter_vec = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntCounterVec::new(Opts::new(name, help), labels);
            let metric = metric.expect("a constant name is valid");
            registry
                .register(Box::new(metric.clone()))
                .expect("metric names are unique");
            metric
        };
        let wait = HistogramOpts::new(
            "dockgate_wait_seconds",
            "Time a request waited for a slot, by pool",
        );
        let wait = HistogramVec::new(wait.buckets(DURATION_BUCKETS_S.to_vec()), &["pool"]);
        let wait = wait.expect("a constant name is valid");
        registry
            .register(Box::new(wait.clone()))
            .expect("metric names are unique");
        Self {
            requests: counter_vec(
                "dockgate_requests_total",
                "Requests that ended, by outcome and step",
                &["outcome", "step"],
            ),
            wait,
            retries: counter(
                "dockgate_retries_total",
                "Attempts sent to a second endpoint",
            ),
            pauses: counter(
                "dockgate_pauses_total",
                "Streams that gave their slot up for a while",
            ),
            grants: counter(
                "dockgate_grants_total",
                "Grants given out by this scheduler",
            ),
            overgrants: gauge(
                "dockgate_overgrants",
                "Grants received when nothing waited any more, since the start",
            ),
            expired_grants: gauge(
                "dockgate_expired_grants",
                "Grants that lapsed without a sign of their entry, since the start",
            ),
            overcommitted: gauge(
                "dockgate_overcommitted_slots",
                "Slots held beyond capacity on the endpoints scheduled here",
            ),
            waiting: gauge(
                "dockgate_waiting_requests",
                "Requests waiting at this entry",
            ),
            running: gauge(
                "dockgate_running_requests",
                "Requests running from this entry",
            ),
            endpoints: gauge(
                "dockgate_scheduled_endpoints",
                "Endpoints scheduled by this box",
            ),
            endpoints_in_backoff: gauge(
                "dockgate_resting_endpoints",
                "Endpoints scheduled here that get no new work for a while, after failures",
            ),
            config_version: gauge(
                "dockgate_config_version",
                "Version of the configuration in force",
            ),
            violations: gauge(
                "dockgate_invariant_violations",
                "Violations of invariants since the start",
            ),
            ignored: counter_vec(
                "dockgate_ignored_messages_total",
                "Messages of peers that named something unknown here, by step",
                &["step"],
            ),
            rejected: counter_vec(
                "dockgate_turned_away_total",
                "Callers, peers and operators turned away, by door",
                &["door"],
            ),
            exchanges: counter("dockgate_exchanges_total", "Batches handed to peers"),
            links: gauge("dockgate_open_links", "Open links to peers"),
            dropped_lines: gauge(
                "dockgate_log_lines_dropped",
                "Log lines dropped as the reader was too slow, since the start",
            ),
            control_busy_us: counter(
                "dockgate_control_busy_microseconds_total",
                "Time spent in decisions by the control actor",
            ),
            registry,
        }
    }

    /// Registers a metric of another part of the daemon.
    ///
    /// # Panics
    ///
    /// Panics if two metrics have the same name, which is a bug.
    pub(crate) fn register(&self, metric: impl prometheus::core::Collector + Clone + 'static) {
        self.registry
            .register(Box::new(metric))
            .expect("metric names are unique");
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> Vec<u8> {
        self.violations
            .set(dockgate_core::invariant_violations() as i64);
        self.dropped_lines.set(dropped_lines() as i64);
        let mut text = Vec::new();
        // Encoding fails only on a malformed metric, which is then omitted.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
