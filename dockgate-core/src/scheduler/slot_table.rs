//! The slots of the endpoints that one scheduler owns.

use super::slot_health::{SlotHealth, SlotOutcome};
use crate::ids::{EndpointKey, PoolKey, WorkspaceKey};
use crate::invariant::check_invariant;
use std::collections::{BTreeMap, HashMap};

/// An endpoint with the slots that its scheduler may grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotEndpoint {
    /// The endpoint.
    pub key: EndpointKey,
    /// The pool.
    pub pool: PoolKey,
    /// The declared number of concurrent requests.
    pub slots: u32,
}

#[derive(Debug, Clone, Copy)]
struct EndpointSlots {
    pool: PoolKey,
    slots: u32,
    held: u32,
    ready_ms: u64,
    health: SlotHealth,
}

impl EndpointSlots {
    fn free(&self, now_ms: u64) -> u32 {
        match now_ms < self.ready_ms || !self.health.is_available(now_ms) {
            true => 0,
            false => {
                let slots = self.health.slots(self.slots, now_ms);
                slots.saturating_sub(self.held)
            }
        }
    }
}

/// The slots held on each endpoint and by each workspace.
#[derive(Debug, Default)]
pub(super) struct SlotTable {
    endpoints: BTreeMap<EndpointKey, EndpointSlots>,
    held: HashMap<(PoolKey, WorkspaceKey), u32>,
}

impl SlotTable {
    /// Replaces the set of endpoints. Known ones keep their counts, new ones wait until `ready_ms`.
    ///
    /// Drops the counts of removed endpoints; the caller must not release their slots.
    pub(super) fn replace(&mut self, endpoints: &[SlotEndpoint], ready_ms: u64) {
        let old = std::mem::take(&mut self.endpoints);
        for endpoint in endpoints {
            let known = old.get(&endpoint.key);
            let slots = EndpointSlots {
                pool: endpoint.pool,
                slots: endpoint.slots,
                held: known.map_or(0, |known| known.held),
                ready_ms: known.map_or(ready_ms, |known| known.ready_ms),
                health: known.map(|known| known.health).unwrap_or_default(),
            };
            self.endpoints.insert(endpoint.key, slots);
        }
    }

    /// Returns whether this scheduler owns an endpoint.
    pub(super) fn owns(&self, endpoint: EndpointKey) -> bool {
        self.endpoints.contains_key(&endpoint)
    }

    /// Returns the available endpoint of a pool with the smallest fraction of its slots held.
    pub(super) fn least_loaded(&self, pool: PoolKey, now_ms: u64) -> Option<EndpointKey> {
        self.endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.pool == pool && endpoint.free(now_ms) > 0)
            .min_by(|(_, a), (_, b)| {
                (u64::from(a.held) * u64::from(b.slots))
                    .cmp(&(u64::from(b.held) * u64::from(a.slots)))
            })
            .map(|(key, _)| *key)
    }

    /// Records a grant on an endpoint.
    pub(super) fn record_grant(&mut self, endpoint: EndpointKey, now_ms: u64) {
        if let Some(slots) = self.endpoints.get_mut(&endpoint) {
            slots.health.record_grant(now_ms);
        }
    }

    /// Records how a request on an endpoint ended, after its slot was released.
    pub(super) fn record_outcome(
        &mut self,
        endpoint: EndpointKey,
        outcome: SlotOutcome,
        now_ms: u64,
    ) {
        if let Some(slots) = self.endpoints.get_mut(&endpoint) {
            slots.health.record_outcome(outcome, slots.held, now_ms);
        }
    }

    /// Takes a slot for a workspace. Returns false if the endpoint is unknown or over capacity.
    pub(super) fn acquire(&mut self, endpoint: EndpointKey, workspace: WorkspaceKey) -> bool {
        let Some(slots) = self.endpoints.get_mut(&endpoint) else {
            return false;
        };
        slots.held += 1;
        *self.held.entry((slots.pool, workspace)).or_default() += 1;
        slots.held <= slots.slots
    }

    /// Releases a slot of a workspace.
    pub(super) fn release(&mut self, endpoint: EndpointKey, workspace: WorkspaceKey) {
        let Some(slots) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        let pool = slots.pool;
        if check_invariant("slots never negative", slots.held > 0) {
            slots.held -= 1;
        }
        self.decrement_held(pool, workspace);
    }

    /// Decrements the count of slots that a workspace holds in a pool.
    pub(super) fn decrement_held(&mut self, pool: PoolKey, workspace: WorkspaceKey) {
        let held = self.held.entry((pool, workspace)).or_default();
        if check_invariant("held slots never negative", *held > 0) {
            *held -= 1;
        }
    }

    /// Returns the number of slots that a workspace holds in a pool.
    pub(super) fn held_of(&self, pool: PoolKey, workspace: WorkspaceKey) -> u32 {
        self.held.get(&(pool, workspace)).copied().unwrap_or(0)
    }

    /// Returns the number of slots held in each pool.
    pub(super) fn held_by_pool(&self) -> BTreeMap<PoolKey, u32> {
        self.sum_by_pool(|endpoint| endpoint.held)
    }

    /// Returns the number of free slots in each pool.
    pub(super) fn free_by_pool(&self, now_ms: u64) -> BTreeMap<PoolKey, u32> {
        self.sum_by_pool(|endpoint| endpoint.free(now_ms))
    }

    fn sum_by_pool(&self, count: impl Fn(&EndpointSlots) -> u32) -> BTreeMap<PoolKey, u32> {
        let mut sums = BTreeMap::new();
        for endpoint in self.endpoints.values() {
            *sums.entry(endpoint.pool).or_default() += count(endpoint);
        }
        sums
    }

    /// Returns the number of slots held beyond capacity.
    pub(super) fn overcommitted(&self) -> u32 {
        self.endpoints
            .values()
            .map(|endpoint| endpoint.held.saturating_sub(endpoint.slots))
            .sum()
    }

    /// Returns the declared number of slots of a pool.
    pub(super) fn declared_slots(&self, pool: PoolKey) -> u32 {
        let endpoints = self.endpoints.values();
        endpoints
            .filter(|endpoint| endpoint.pool == pool)
            .map(|endpoint| endpoint.slots)
            .sum()
    }

    /// Returns the number of endpoints that get no new requests for now.
    pub(super) fn backed_off(&self, now_ms: u64) -> usize {
        let endpoints = self.endpoints.values();
        endpoints
            .filter(|endpoint| !endpoint.health.is_available(now_ms))
            .count()
    }

    /// Returns the number of endpoints.
    pub(super) fn len(&self) -> usize {
        self.endpoints.len()
    }
}
