//! Gauges of a gateway's state, updated whenever the metrics are collected.

use super::gateway_state::GatewayState;
use crate::clock::now_ms;
use crate::metrics::METRICS;
use dockgate_core::gateway::{EndpointState, SuspectKind};
use prometheus::{IntGauge, IntGaugeVec, Opts};
use std::sync::LazyLock;

/// The gauges of a gateway.
pub(super) struct GatewayGauges {
    endpoints: IntGaugeVec,
    is_coordinator: IntGauge,
    admitted_permille: IntGauge,
    live_boxes: IntGauge,
    quarantined: IntGauge,
    quarantined_parts: IntGauge,
    unread_tokens: IntGauge,
    memory_tokens: IntGauge,
    config_age_ms: IntGauge,
    endpoints_age_ms: IntGauge,
    store_proof_age_ms: IntGauge,
    connections: IntGauge,
    cold_endpoints: IntGauge,
    evacuated_domains: IntGauge,
    memory_used: IntGauge,
    waiting: IntGaugeVec,
    weighted_engines: IntGauge,
    unadmitted_versions: IntGauge,
    stored_streams: IntGauge,
    unstored_streams: IntGauge,
}

/// The gateway's gauges.
pub(super) static GATEWAY_GAUGES: LazyLock<GatewayGauges> = LazyLock::new(GatewayGauges::new);

fn gauge(name: &str, help: &str) -> IntGauge {
    let metric = IntGauge::new(name, help).expect("a constant name is valid");
    METRICS.register(metric.clone());
    metric
}

impl GatewayGauges {
    fn new() -> Self {
        let endpoints = Opts::new("dockgate_endpoints", "Endpoints known, by state");
        let endpoints = IntGaugeVec::new(endpoints, &["state"]).expect("a constant name is valid");
        METRICS.register(endpoints.clone());
        let waiting = Opts::new(
            "dockgate_endpoint_waiting_requests",
            "Requests that wait for capacity at endpoints of this box, by service",
        );
        let waiting = IntGaugeVec::new(waiting, &["service"]).expect("a constant name is valid");
        METRICS.register(waiting.clone());
        Self {
            endpoints,
            waiting,
            unadmitted_versions: gauge(
                "dockgate_unadmitted_versions",
                "Software versions of endpoints at which no stream begins yet",
            ),
            is_coordinator: gauge(
                "dockgate_coordinates",
                "Whether this box coordinates its failure domain: 1 or 0",
            ),
            admitted_permille: gauge(
                "dockgate_taken_part",
                "Of a thousand requests, how many this box has processor for",
            ),
            live_boxes: gauge(
                "dockgate_boxes_live",
                "Boxes that are heard, this one included",
            ),
            quarantined: gauge(
                "dockgate_quarantined_requests",
                "Requests that go to no endpoint, as several have ended under them",
            ),
            quarantined_parts: gauge(
                "dockgate_quarantined_parts",
                "Shared parts of prompts that go to no endpoint, as several have ended under them",
            ),
            unread_tokens: gauge(
                "dockgate_engine_unread_tokens",
                "Prompt tokens believed unread at the engines that this box knows of",
            ),
            memory_tokens: gauge(
                "dockgate_engine_memory_tokens",
                "Tokens of memory believed taken at the engines that this box knows of",
            ),
            config_age_ms: gauge(
                "dockgate_config_age_ms",
                "Time since the configuration in force came, in milliseconds",
            ),
            endpoints_age_ms: gauge(
                "dockgate_endpoints_age_ms",
                "Time since the last news of an endpoint, in milliseconds",
            ),
            store_proof_age_ms: gauge(
                "dockgate_store_proof_age_ms",
                "Age of the newest proof, here or at a box of this domain, that the store's changes \
                 are heard, in milliseconds; -1 where nobody here follows the store",
            ),
            connections: gauge(
                "dockgate_endpoint_connections",
                "Open connections to endpoints",
            ),
            cold_endpoints: gauge(
                "dockgate_cold_endpoints",
                "Endpoints that warm up and get a limited number of requests",
            ),
            evacuated_domains: gauge(
                "dockgate_evacuated_domains",
                "Failure domains whose endpoints get nothing by order of the operator",
            ),
            memory_used: gauge(
                "dockgate_memory_used_bytes",
                "Memory that this box believes to use, of which it may use 0.8 of its machine's",
            ),
            weighted_engines: gauge(
                "dockgate_weighted_engines",
                "Engines whose weight in the placement of prompts is not 1, as their speed differs",
            ),
            stored_streams: gauge(
                "dockgate_stored_streams",
                "Streams whose software versions this box keeps in the platform's store",
            ),
            unstored_streams: gauge(
                "dockgate_unstored_streams",
                "Streams whose software versions this box has yet to write to the platform's store",
            ),
        }
    }

    /// Sets the gauges to the present state.
    pub(super) fn update(&self, state: &GatewayState) {
        let now = now_ms();
        self.connections.set(state.pools.open() as i64);
        self.memory_used
            .set(state.with_memory(|memory| memory.use_bytes()) as i64);
        self.config_age_ms.set(state.config_age_ms() as i64);
        self.endpoints_age_ms.set(state.endpoints_age_ms() as i64);
        state.with(|view| {
            let is_coordinator = view.fleet.is_coordinator(now);
            self.is_coordinator.set(i64::from(is_coordinator));
            let admitted_fraction = view.shedder.admitted_fraction();
            self.admitted_permille
                .set((admitted_fraction * 1_000.0) as i64);
            let proof_age_ms = view.fleet.store_proof_age_ms(now);
            self.store_proof_age_ms
                .set(proof_age_ms.map_or(-1, |age_ms| age_ms as i64));
            self.live_boxes.set(i64::from(view.fleet.live_count(now)));
            let (mut ready, mut draining, mut backing_off, mut unusable) = (0, 0, 0, 0);
            for (id, entry) in view.endpoints.iter() {
                match entry.record.state {
                    EndpointState::Draining => draining += 1,
                    EndpointState::Unusable => unusable += 1,
                    EndpointState::Ready if view.endpoints.notices().leaves(id) => draining += 1,
                    EndpointState::Ready if view.endpoints.is_eligible(id, now) => ready += 1,
                    EndpointState::Ready => backing_off += 1,
                }
            }
            for (name, count) in [
                ("ready", ready),
                ("draining", draining),
                ("resting", backing_off),
                ("unusable", unusable),
            ] {
                self.endpoints.with_label_values(&[name]).set(count);
            }
            self.unadmitted_versions
                .set(view.ledger.unadmitted_count() as i64);
            self.cold_endpoints.set(view.warmups.cold_count(now) as i64);
            let evacuations = view.endpoints.evacuations().iter();
            let evacuated = evacuations.filter(|order| order.is_active).count();
            self.evacuated_domains.set(evacuated as i64);
            let weighted = view.engine_weights.homes().iter().count();
            self.weighted_engines.set(weighted as i64);
            let stored = view.stream_log.stored_count();
            self.stored_streams.set(stored as i64);
            let unstored = view.stream_log.len() - stored;
            self.unstored_streams.set(unstored as i64);
            let quarantined = view.suspects.quarantined_of(SuspectKind::Request, now);
            self.quarantined.set(quarantined as i64);
            let parts = view.suspects.quarantined_of(SuspectKind::Part, now);
            self.quarantined_parts.set(parts as i64);
            self.waiting.reset();
            for (endpoint, queue) in &view.wait_queues {
                let entry = view.endpoints.get(*endpoint);
                let service = entry.map_or("", |entry| &entry.record.service);
                let gauge = self.waiting.with_label_values(&[service]);
                gauge.add(queue.len() as i64);
            }
            let loads = || view.engines.iter();
            self.unread_tokens
                .set(loads().map(|load| load.pending_tokens() as i64).sum());
            self.memory_tokens
                .set(loads().map(|load| load.memory() as i64).sum());
        });
    }
}
