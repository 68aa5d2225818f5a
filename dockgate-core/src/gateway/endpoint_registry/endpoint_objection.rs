//! What a box knows against sending requests to an endpoint, and the evacuation orders that are part
//! of it.

use super::EndpointRegistry;
use crate::gateway::evacuation_orders::{EvacuationOrder, EvacuationOrders};
use crate::gateway::route_table::{EndpointId, EndpointState};
use crate::gateway::store_revision::StoreRevision;

/// What a box knows against sending requests to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointObjection {
    /// It leaves, has ended, or has no valid record.
    Leaving,
    /// Its failure domain is evacuated.
    Evacuated,
}

impl EndpointRegistry {
    /// Applies evacuation orders; returns those that changed whether their domain is evacuated.
    pub fn apply_evacuations(
        &mut self,
        orders: impl IntoIterator<Item = EvacuationOrder>,
    ) -> Vec<EvacuationOrder> {
        let orders = orders.into_iter();
        let changed = orders.filter_map(|order| self.evacuations.apply(order));
        let changed: Vec<EvacuationOrder> = changed.collect();
        self.rebuild_index_after(&changed);
        changed
    }

    /// Replaces the evacuation orders by the store's list as of `revision`; returns those that
    /// changed.
    pub fn replace_evacuations(
        &mut self,
        listed: Vec<EvacuationOrder>,
        revision: StoreRevision,
        now_ms: u64,
    ) -> Vec<EvacuationOrder> {
        let changed = self.evacuations.replace(listed, revision, now_ms);
        self.rebuild_index_after(&changed);
        changed
    }

    /// Takes back the evacuation orders that a restored store lacks; returns them.
    pub fn expire_evacuations(&mut self, now_ms: u64) -> Vec<EvacuationOrder> {
        let changed = self.evacuations.expire(now_ms);
        self.rebuild_index_after(&changed);
        changed
    }

    fn rebuild_index_after(&mut self, changed: &[EvacuationOrder]) {
        if !changed.is_empty() {
            self.rebuild_index();
        }
    }

    /// Returns the evacuation orders.
    pub const fn evacuations(&self) -> &EvacuationOrders {
        &self.evacuations
    }

    /// Returns what is known here against sending requests to an endpoint; `None` if nothing is.
    pub fn objection(&self, id: EndpointId, now_ms: u64) -> Option<EndpointObjection> {
        let entry = self.endpoints.get(&id);
        match entry {
            None => self
                .history
                .has_ended(id)
                .then_some(EndpointObjection::Leaving),
            Some(entry) if entry.record.state != EndpointState::Ready => {
                Some(EndpointObjection::Leaving)
            }
            Some(_) if self.notices.is_reported_leaving(id, now_ms) => {
                Some(EndpointObjection::Leaving)
            }
            Some(entry) if self.evacuations.is_evacuated(entry.domain()) => {
                Some(EndpointObjection::Evacuated)
            }
            Some(_) => None,
        }
    }

    /// Returns whether a request that is about to be written may still be sent to an endpoint.
    pub fn accepts_requests(&self, id: EndpointId, now_ms: u64) -> bool {
        let entry = self.endpoints.get(&id);
        let is_evacuated = entry.is_some_and(|entry| self.evacuations.is_evacuated(entry.domain()));
        !is_evacuated && self.notices.accepts_requests(id, now_ms)
    }
}
