//! Owners of all endpoints, and the schedulers of each pool, as seen by one box.

use crate::config::FleetConfig;
use crate::ids::{BoxKey, EndpointKey, PoolKey};
use crate::placement::owner_of;
use crate::scheduler::SlotEndpoint;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A live box.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveBox {
    /// The key of the box.
    pub key: BoxKey,
    /// Its failure domain.
    pub domain: String,
    /// Whether it may schedule endpoints; false for a leaving box.
    pub may_schedule: bool,
}

/// The owners of all endpoints, derived from the configuration and the live boxes.
#[derive(Debug, Clone, Default)]
pub struct FleetTopology {
    owners: HashMap<EndpointKey, BoxKey>,
    endpoints: Vec<SlotEndpoint>,
    schedulers: BTreeMap<PoolKey, BTreeSet<BoxKey>>,
    domains: HashMap<BoxKey, String>,
}

impl FleetTopology {
    /// Assigns every endpoint to a box of its own failure domain.
    pub fn new(config: &FleetConfig, boxes: &[LiveBox]) -> Self {
        let mut by_domain: HashMap<&str, Vec<BoxKey>> = HashMap::new();
        for live_box in boxes.iter().filter(|live_box| live_box.may_schedule) {
            by_domain
                .entry(&live_box.domain)
                .or_default()
                .push(live_box.key);
        }
        let mut topology = Self {
            domains: boxes
                .iter()
                .map(|live_box| (live_box.key, live_box.domain.clone()))
                .collect(),
            ..Self::default()
        };
        for (key, endpoint) in config.endpoints.iter() {
            let candidates = by_domain.get(endpoint.domain.as_str());
            let owner = candidates.and_then(|boxes| owner_of(key, boxes));
            let pool = config.pools.find(&endpoint.pool);
            if let (Some(owner), Some(pool)) = (owner, pool) {
                topology.add(key, pool, endpoint.slots, owner);
            }
        }
        topology
    }

    fn add(&mut self, key: EndpointKey, pool: PoolKey, slots: u32, owner: BoxKey) {
        self.owners.insert(key, owner);
        self.schedulers.entry(pool).or_default().insert(owner);
        self.endpoints.push(SlotEndpoint { key, pool, slots });
    }

    /// Returns the box that schedules an endpoint.
    pub fn owner(&self, endpoint: EndpointKey) -> Option<BoxKey> {
        self.owners.get(&endpoint).copied()
    }

    /// Returns the endpoints that a box schedules.
    pub fn endpoints_of(&self, owner: BoxKey) -> Vec<SlotEndpoint> {
        self.endpoints
            .iter()
            .filter(|endpoint| self.owner(endpoint.key) == Some(owner))
            .copied()
            .collect()
    }

    /// Returns the number of boxes that schedule endpoints of each pool.
    pub fn scheduler_counts(&self) -> HashMap<PoolKey, u32> {
        self.schedulers
            .iter()
            .map(|(pool, boxes)| (*pool, boxes.len() as u32))
            .collect()
    }

    /// Returns the schedulers of each pool, ordered by distance from the box `own_key`: first the
    /// box itself, then those of its failure domain, then the others.
    pub fn schedulers_by_distance(&self, own_key: BoxKey) -> HashMap<PoolKey, Vec<BoxKey>> {
        let own_domain = self.domains.get(&own_key);
        let distance = |key: &BoxKey| match key {
            key if *key == own_key => 0,
            key if self.domains.get(key) == own_domain => 1,
            _ => 2,
        };
        self.schedulers
            .iter()
            .map(|(pool, boxes)| {
                let mut boxes: Vec<BoxKey> = boxes.iter().copied().collect();
                boxes.sort_by_key(|key| (distance(key), key.0 ^ own_key.0));
                (*pool, boxes)
            })
            .collect()
    }
}

#[cfg(test)]
mod tests;
