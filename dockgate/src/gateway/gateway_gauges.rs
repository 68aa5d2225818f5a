//! What a gateway believes, as gauges that are read when somebody asks for them.

use super::gateway_state::GatewayState;
use crate::clock::now_ms;
use crate::metrics::METRICS;
use dockgate_core::gateway::EndpointState;
use prometheus::{IntGauge, IntGaugeVec, Opts};
use std::sync::LazyLock;

/// Every gauge of the gateway.
pub(super) struct GatewayGauges {
    endpoints: IntGaugeVec,
    coordinates: IntGauge,
    taken_part: IntGauge,
    boxes: IntGauge,
    quarantined: IntGauge,
    unread: IntGauge,
    memory: IntGauge,
    config_age_ms: IntGauge,
    endpoints_age_ms: IntGauge,
    store_proof_age_ms: IntGauge,
    connections: IntGauge,
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
        Self {
            endpoints,
            coordinates: gauge(
                "dockgate_coordinates",
                "Whether this box coordinates its failure domain: 1 or 0",
            ),
            taken_part: gauge(
                "dockgate_taken_part",
                "Of a thousand requests, how many this box has processor for",
            ),
            boxes: gauge(
                "dockgate_boxes_live",
                "Boxes that are heard, this one included",
            ),
            quarantined: gauge(
                "dockgate_quarantined_requests",
                "Requests that go to no endpoint, as several have ended under them",
            ),
            unread: gauge(
                "dockgate_engine_unread_tokens",
                "Prompt tokens believed unread at the engines that this box knows of",
            ),
            memory: gauge(
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
        }
    }

    /// Reads what is believed now into the gauges.
    pub(super) fn read(&self, state: &GatewayState) {
        let now = now_ms();
        self.connections.set(state.pools.open() as i64);
        self.config_age_ms.set(state.config_age_ms() as i64);
        self.endpoints_age_ms.set(state.endpoints_age_ms() as i64);
        state.with(|beliefs| {
            let coordinates = beliefs.fleet.is_coordinator(now);
            self.coordinates.set(i64::from(coordinates));
            let taken_part = beliefs.shed.admitted_fraction();
            self.taken_part.set((taken_part * 1_000.0) as i64);
            let proof_age_ms = beliefs.fleet.store_proof_age_ms(now);
            self.store_proof_age_ms
                .set(proof_age_ms.map_or(-1, |age_ms| age_ms as i64));
            self.boxes.set(i64::from(beliefs.fleet.live_count(now)));
            let (mut ready, mut draining, mut resting, mut unusable) = (0, 0, 0, 0);
            for (id, entry) in beliefs.endpoints.iter() {
                match entry.record.state {
                    EndpointState::Draining => draining += 1,
                    EndpointState::Unusable => unusable += 1,
                    EndpointState::Ready if beliefs.endpoints.notices().leaves(id) => draining += 1,
                    EndpointState::Ready if beliefs.endpoints.is_eligible(id, now) => ready += 1,
                    EndpointState::Ready => resting += 1,
                }
            }
            for (name, count) in [
                ("ready", ready),
                ("draining", draining),
                ("resting", resting),
                ("unusable", unusable),
            ] {
                self.endpoints.with_label_values(&[name]).set(count);
            }
            let quarantined = beliefs.suspects.quarantined_count(now);
            self.quarantined.set(quarantined as i64);
            let loads = || beliefs.engines.iter();
            self.unread
                .set(loads().map(|load| load.unread() as i64).sum());
            self.memory
                .set(loads().map(|load| load.memory() as i64).sum());
        });
    }
}
