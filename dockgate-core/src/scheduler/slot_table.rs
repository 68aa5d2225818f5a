//! The slots of the endpoints that one scheduler owns.

use super::slot_health::{SlotHealth, SlotOutcome};
use crate::ids::{EndpointKey, PoolKey, WorkspaceKey};
use crate::invariant::check_invariant;
use std::collections::{BTreeMap, HashMap};

/// An endpoint as its scheduler sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotEndpoint {
    /// The endpoint.
    pub key: EndpointKey,
    /// Its pool.
    pub pool: PoolKey,
    /// How many requests it runs at once.
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
        match now_ms < self.ready_ms || !self.health.is_open(now_ms) {
            true => 0,
            false => {
                let slots = self.health.slots(self.slots, now_ms);
                slots.saturating_sub(self.held)
            }
        }
    }
}

/// Counts the slots held on each endpoint and by each workspace.
#[derive(Debug, Default)]
pub(super) struct SlotTable {
    endpoints: BTreeMap<EndpointKey, EndpointSlots>,
    held: HashMap<(PoolKey, WorkspaceKey), u32>,
}

impl SlotTable {
    /// Takes a new set of endpoints; known ones keep their counts, new ones wait until `ready_ms`.
    ///
    /// The caller releases nothing for endpoints that are gone: their counts go here.
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

    /// Tells whether an endpoint is owned here.
    pub(super) fn owns(&self, endpoint: EndpointKey) -> bool {
        self.endpoints.contains_key(&endpoint)
    }

    /// Picks the endpoint of a pool with the smallest part of its slots held.
    pub(super) fn pick(&self, pool: PoolKey, now_ms: u64) -> Option<EndpointKey> {
        self.endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.pool == pool && endpoint.free(now_ms) > 0)
            .min_by(|(_, a), (_, b)| {
                (u64::from(a.held) * u64::from(b.slots))
                    .cmp(&(u64::from(b.held) * u64::from(a.slots)))
            })
            .map(|(key, _)| *key)
    }

    /// Notes that an endpoint gets new work.
    pub(super) fn granted(&mut self, endpoint: EndpointKey, now_ms: u64) {
        if let Some(slots) = self.endpoints.get_mut(&endpoint) {
            slots.health.granted(now_ms);
        }
    }

    /// Notes how a request on an endpoint ended, after its slot was released.
    pub(super) fn note(&mut self, endpoint: EndpointKey, sign: SlotOutcome, now_ms: u64) {
        if let Some(slots) = self.endpoints.get_mut(&endpoint) {
            slots.health.note(sign, slots.held, now_ms);
        }
    }

    /// Holds a slot for a workspace; returns false beyond capacity.
    pub(super) fn take(&mut self, endpoint: EndpointKey, workspace: WorkspaceKey) -> bool {
        let Some(slots) = self.endpoints.get_mut(&endpoint) else {
            return false;
        };
        slots.held += 1;
        *self.held.entry((slots.pool, workspace)).or_default() += 1;
        slots.held <= slots.slots
    }

    /// Frees a slot of a workspace.
    pub(super) fn release(&mut self, endpoint: EndpointKey, workspace: WorkspaceKey) {
        let Some(slots) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        let pool = slots.pool;
        if check_invariant("slots never negative", slots.held > 0) {
            slots.held -= 1;
        }
        self.drop_held(pool, workspace);
    }

    /// Takes a slot off a workspace's count.
    pub(super) fn drop_held(&mut self, pool: PoolKey, workspace: WorkspaceKey) {
        let held = self.held.entry((pool, workspace)).or_default();
        if check_invariant("held slots never negative", *held > 0) {
            *held -= 1;
        }
    }

    /// Returns the slots that a workspace holds in a pool.
    pub(super) fn held_of(&self, pool: PoolKey, workspace: WorkspaceKey) -> u32 {
        self.held.get(&(pool, workspace)).copied().unwrap_or(0)
    }

    /// Returns the slots held in each pool.
    pub(super) fn held_by_pool(&self) -> BTreeMap<PoolKey, u32> {
        self.sum_by_pool(|endpoint| endpoint.held)
    }

    /// Returns the free slots of each pool.
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

    /// Returns how many slots are held beyond capacity.
    pub(super) fn overcommitted(&self) -> u32 {
        self.endpoints
            .values()
            .map(|endpoint| endpoint.held.saturating_sub(endpoint.slots))
            .sum()
    }

    /// Returns the declared slots of a pool.
    pub(super) fn slots_of(&self, pool: PoolKey) -> u32 {
        let endpoints = self.endpoints.values();
        endpoints
            .filter(|endpoint| endpoint.pool == pool)
            .map(|endpoint| endpoint.slots)
            .sum()
    }

    /// Returns how many endpoints are resting after failures.
    pub(super) fn resting(&self, now_ms: u64) -> usize {
        let endpoints = self.endpoints.values();
        endpoints
            .filter(|endpoint| !endpoint.health.is_open(now_ms))
            .count()
    }

    /// Returns how many endpoints are owned.
    pub(super) fn len(&self) -> usize {
        self.endpoints.len()
    }
}
