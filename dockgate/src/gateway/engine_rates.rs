//! Exchanges the prefill rates of engines with other boxes, from which the weights of engines in
//! the placement of prompts follow.

use super::events::{GatewayEvent, log_gateway};
use super::gateway_metrics::GATEWAY_METRICS;
use super::gateway_state::{GatewayState, GatewayView};
use crate::clock::now_ms;
use crate::metrics::METRICS;
use dockgate_core::gateway::{
    DigestScope, EndpointId, EndpointState, EngineRate, RateAudience, ReadyService, WeightChange,
    name_hash,
};
use dockgate_proto::GatewayMessage;

impl GatewayView {
    /// Measures the rates of the engines that this box owns, and updates the weights; returns the
    /// changed weights of these engines.
    fn update_engine_weights(&mut self, now_ms: u64) -> Vec<WeightChange> {
        for (id, rate) in self.engines.prefill_rates() {
            let entry = self.endpoints.get(id);
            let is_owner = entry.is_some_and(|entry| {
                let owner = self.fleet.owner(id, &entry.record.domain, now_ms);
                owner == self.fleet.own_key()
            });
            if is_owner {
                self.engine_weights.measure(id, rate, now_ms);
            }
        }
        let endpoints = &self.endpoints;
        self.engine_weights.retain(|id| endpoints.get(id).is_some());
        let service_of = |id: EndpointId| {
            let entry = endpoints.get(id)?;
            let service = &entry.record.service;
            let is_ready = entry.record.state == EndpointState::Ready;
            is_ready.then(|| ReadyService {
                key: name_hash(service),
                engines: endpoints.ready(service).len(),
            })
        };
        self.engine_weights.refresh(service_of, now_ms)
    }
}

/// Updates the weights of engines, and logs the changed ones of the engines that this box owns.
pub(super) fn update_weights(state: &GatewayState) {
    let changes = state.with(|view| {
        let changes = view.update_engine_weights(now_ms()).into_iter();
        let named = changes.filter_map(|change| {
            let entry = view.endpoints.get(change.endpoint)?;
            Some((entry.record.id.clone(), change))
        });
        named.collect::<Vec<(String, WeightChange)>>()
    });
    for (endpoint, change) in &changes {
        GATEWAY_METRICS.weight_changes.inc();
        log_gateway(&GatewayEvent::EngineWeight {
            endpoint,
            from: change.from,
            to: change.to,
        });
    }
}

/// Returns the rates that a message to other boxes carries.
pub(super) fn reported_rates(state: &GatewayState, message: &GatewayMessage) -> Vec<EngineRate> {
    let audience = match message {
        GatewayMessage::Heartbeat { .. } => RateAudience::Coordinators,
        GatewayMessage::Digest { digest, .. } => match digest.scope {
            DigestScope::SameDomain => RateAudience::Domain,
            DigestScope::OtherDomain | DigestScope::OtherDomainFull => RateAudience::OtherDomains,
            DigestScope::Introduction => return Vec::new(),
        },
        _ => return Vec::new(),
    };
    state.with(|view| view.engine_weights.rows(audience, now_ms()))
}

/// Merges the rates that another box reports.
pub(super) fn receive_rates(state: &GatewayState, rates: &[EngineRate]) {
    if rates.is_empty() {
        return;
    }
    let ignored = state.with(|view| {
        let endpoints = &view.endpoints;
        let is_known = |id| endpoints.get(id).is_some();
        view.engine_weights.merge(rates, is_known, now_ms())
    });
    let counter = METRICS.ignored.with_label_values(&["rates"]);
    counter.inc_by(ignored as u64);
}

#[cfg(test)]
mod tests;
