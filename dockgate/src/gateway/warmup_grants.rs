//! Grants of requests to cold endpoints by the boxes that own them.

use super::gateway_state::{GatewayState, GatewayView};
use crate::clock::now_ms;
use dockgate_core::gateway::{EndpointId, EvacuationOrder, WarmupLimit};

impl GatewayView {
    /// Returns whether this box owns an endpoint.
    fn owns(&self, endpoint: EndpointId, now_ms: u64) -> bool {
        let entry = self.endpoints.get(endpoint);
        entry.is_some_and(|entry| {
            self.fleet.owner(endpoint, &entry.record.domain, now_ms) == self.fleet.own_key()
        })
    }

    /// Records what the records of the endpoints tell of their warm-up.
    pub(super) fn observe_warmups(&mut self, now_ms: u64) {
        let mut warmups = std::mem::take(&mut self.warmups);
        for (id, entry) in self.endpoints.iter() {
            let owns = || self.owns(id, now_ms);
            warmups.observe(id, entry.revision, entry.record.warmup_ms, owns, now_ms);
        }
        self.warmups = warmups;
    }

    /// Updates which cold endpoints this box owns, and forgets those that are gone.
    pub(super) fn update_warmups(&mut self, now_ms: u64) {
        let mut warmups = std::mem::take(&mut self.warmups);
        warmups.retain(|id| self.endpoints.get(id).is_some());
        warmups.update_owners(|id| self.owns(id, now_ms), now_ms);
        self.warmups = warmups;
    }
}

/// Returns what an endpoint bears while it warms up, if its service states that.
fn warmup_limit(state: &GatewayState, endpoint: EndpointId) -> Option<WarmupLimit> {
    let table = state.table();
    state.with(|view| {
        let entry = view.endpoints.get(endpoint)?;
        let service = table.find_service(&entry.record.service)?;
        table.service(service).warmup
    })
}

/// Returns the grants per second for an endpoint while it is cold; `None` if its service states no
/// rate.
pub(super) fn warmup_pace(state: &GatewayState, endpoint: EndpointId) -> Option<f64> {
    let settings = state.settings();
    let limit = warmup_limit(state, endpoint)?;
    Some(limit.pace(settings.warmup_overshoot, settings.warmup_slack))
}

/// Assumes that the endpoints of a domain are cold whose evacuation was taken back: they may have
/// become cold meanwhile, and their records tell it late.
pub(super) fn presume_cold(state: &GatewayState, order: &EvacuationOrder) {
    let now = now_ms();
    let endpoints: Vec<EndpointId> = state.with(|view| {
        let entries = view.endpoints.iter();
        let entries = entries.filter(|(_, entry)| entry.domain() == order.domain);
        entries.map(|(id, _)| id).collect()
    });
    for id in endpoints {
        let Some(limit) = warmup_limit(state, id) else {
            continue;
        };
        state.with(|view| {
            let owns = view.owns(id, now);
            let warmups = &mut view.warmups;
            warmups.presume_cold(id, order.revision, limit.duration_ms, || owns, now);
        });
    }
}
