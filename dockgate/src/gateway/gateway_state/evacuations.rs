//! Applies evacuation orders to the state of this box.

use super::super::events::{GatewayEvent, log_gateway};
use super::super::membership::DigestCache;
use super::super::warmup_grants::presume_cold;
use super::GatewayState;
use crate::clock::now_ms;
use dockgate_core::gateway::{EvacuationOrder, StoreRevision};

impl GatewayState {
    /// Applies evacuation orders, except where newer ones are known.
    pub(in super::super) fn apply_evacuations(&self, orders: Vec<EvacuationOrder>, source: &str) {
        if !orders.is_empty() {
            let changed = self.with(|view| view.endpoints.apply_evacuations(orders));
            self.record_evacuations(&changed, source);
        }
    }

    /// Applies the store's list of evacuation orders.
    pub(in super::super) fn replace_evacuations(
        &self,
        listed: Vec<EvacuationOrder>,
        revision: StoreRevision,
    ) {
        let changed = self.with(|view| {
            let endpoints = &mut view.endpoints;
            endpoints.replace_evacuations(listed, revision, now_ms())
        });
        self.record_evacuations(&changed, "store");
    }

    /// Logs the orders that changed, and forwards them with the next heartbeat or digest.
    pub(super) fn record_evacuations(&self, changed: &[EvacuationOrder], source: &str) {
        for order in changed {
            let domain = self.with(|view| view.fleet.domain_name(order.domain).to_owned());
            log_gateway(&GatewayEvent::evacuation(order, &domain, source));
            if !order.is_active {
                presume_cold(self, order);
            }
        }
        if !changed.is_empty() {
            self.with(|view| view.digest = DigestCache::default());
        }
    }
}
