//! Orders of the operator to send nothing to the endpoints of a failure domain.
//!
//! Each order carries the store's revision, and the newest order of a domain wins, by whatever path
//! it arrives. An order that was taken back is kept as well, so that a late report of a box that was
//! cut off does not put it in force again.
//!
//! ```
//! use dockgate_core::gateway::{DomainKey, EvacuationOrder, EvacuationOrders, StoreRevision};
//!
//! let domain = DomainKey::from_name("hall-a");
//! let order = |number, is_active| EvacuationOrder {
//!     domain,
//!     revision: StoreRevision::new(1, number),
//!     is_active,
//! };
//! let mut orders = EvacuationOrders::default();
//! assert!(orders.apply(order(5, true)).is_some());
//! assert!(orders.is_evacuated(domain));
//! assert!(orders.apply(order(7, false)).is_some());
//! assert!(orders.apply(order(5, true)).is_none());
//! assert!(!orders.is_evacuated(domain));
//! ```

use super::box_heartbeat::DomainKey;
use super::store_revision::StoreRevision;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The newest order for a failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationOrder {
    /// The failure domain.
    pub domain: DomainKey,
    /// The store's revision at which the order was written or taken back.
    pub revision: StoreRevision,
    /// Whether the order is in force; it was taken back otherwise.
    pub is_active: bool,
}

/// An order as this box knows it.
#[derive(Debug, Clone, Copy)]
struct KnownOrder {
    revision: StoreRevision,
    is_active: bool,
    /// Set if a restored store lacks the order, which the operator may still write again.
    lapse: Option<OrderLapse>,
}

/// When an order that a restored store lacks counts as taken back.
#[derive(Debug, Clone, Copy)]
struct OrderLapse {
    revision: StoreRevision,
    at_ms: u64,
}

/// The orders for all failure domains.
#[derive(Debug, Clone, Default)]
pub struct EvacuationOrders {
    orders: BTreeMap<DomainKey, KnownOrder>,
}

impl EvacuationOrders {
    /// How long an order that a restored store lacks stays in force, in milliseconds. The operator
    /// has written it again by then.
    const REWRITE_WINDOW_MS: u64 = 2_000;
    /// The maximum number of domains with an order. The one whose order was taken back longest ago
    /// is dropped first.
    const MAX_DOMAINS: usize = 64;

    /// Applies an order; returns it if it changes whether its domain is evacuated.
    pub fn apply(&mut self, order: EvacuationOrder) -> Option<EvacuationOrder> {
        let known = self.orders.get(&order.domain).copied();
        if known.is_some_and(|known| known.revision >= order.revision) {
            return None;
        }
        let was_active = known.is_some_and(|known| known.is_active);
        let stored = KnownOrder {
            revision: order.revision,
            is_active: order.is_active,
            lapse: None,
        };
        self.orders.insert(order.domain, stored);
        self.drop_excess();
        (was_active != order.is_active).then_some(order)
    }

    /// Drops the orders that were taken back longest ago beyond the limit.
    fn drop_excess(&mut self) {
        while self.orders.len() > Self::MAX_DOMAINS {
            let oldest = self
                .orders
                .iter()
                .min_by_key(|(_, known)| (known.is_active, known.revision))
                .map(|(domain, _)| *domain);
            oldest.and_then(|domain| self.orders.remove(&domain));
        }
    }

    /// Applies the store's list of orders as of `revision`; returns the orders that changed.
    ///
    /// An order missing from the list was taken back. A store that was restored from an older copy
    /// may lack it only until the operator writes it again, so it stays in force for a moment.
    pub fn replace(
        &mut self,
        listed: Vec<EvacuationOrder>,
        revision: StoreRevision,
        now_ms: u64,
    ) -> Vec<EvacuationOrder> {
        let missing = self.orders.iter().filter(|(domain, known)| {
            known.is_active && !listed.iter().any(|order| order.domain == **domain)
        });
        let missing: Vec<DomainKey> = missing.map(|(domain, _)| *domain).collect();
        let mut changed = Vec::new();
        for domain in missing {
            changed.extend(self.handle_missing(domain, revision, now_ms));
        }
        changed.extend(listed.into_iter().filter_map(|order| self.apply(order)));
        changed
    }

    /// Handles an order that is missing from the store's list as of `revision`; returns it if it was
    /// taken back.
    fn handle_missing(
        &mut self,
        domain: DomainKey,
        revision: StoreRevision,
        now_ms: u64,
    ) -> Option<EvacuationOrder> {
        let known = self.orders.get_mut(&domain)?;
        if revision.era > known.revision.era {
            let lapse = OrderLapse {
                revision,
                at_ms: now_ms + Self::REWRITE_WINDOW_MS,
            };
            // A further list does not extend the time.
            known.lapse = known.lapse.or(Some(lapse));
            return None;
        }
        self.apply(EvacuationOrder {
            domain,
            revision,
            is_active: false,
        })
    }

    /// Takes back the orders that a restored store lacks and that were not written again in time;
    /// returns them.
    pub fn expire(&mut self, now_ms: u64) -> Vec<EvacuationOrder> {
        let lapsed = self.orders.iter().filter_map(|(domain, known)| {
            let lapse = known.lapse.filter(|lapse| lapse.at_ms <= now_ms)?;
            Some(EvacuationOrder {
                domain: *domain,
                revision: lapse.revision,
                is_active: false,
            })
        });
        let lapsed: Vec<EvacuationOrder> = lapsed.collect();
        let lapsed = lapsed.into_iter();
        lapsed.filter_map(|order| self.apply(order)).collect()
    }

    /// Returns whether a failure domain is evacuated.
    pub fn is_evacuated(&self, domain: DomainKey) -> bool {
        let known = self.orders.get(&domain);
        known.is_some_and(|known| known.is_active)
    }

    /// Iterates over the newest order of each domain, those that were taken back included.
    pub fn iter(&self) -> impl Iterator<Item = EvacuationOrder> {
        let orders = self.orders.iter();
        orders.map(|(domain, known)| EvacuationOrder {
            domain: *domain,
            revision: known.revision,
            is_active: known.is_active,
        })
    }
}

#[cfg(test)]
mod tests;
