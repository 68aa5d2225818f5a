//! The slots of the servers that one scheduler owns.

use super::health::{ServerHealth, ServerSign};
use crate::ids::{PoolKey, ServerKey, WorkspaceKey};
use crate::invariant::check_invariant;
use std::collections::{BTreeMap, HashMap};

/// A server as its scheduler sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotServer {
    /// The server.
    pub key: ServerKey,
    /// Its pool.
    pub pool: PoolKey,
    /// How many requests it runs at once.
    pub slots: u32,
}

#[derive(Debug, Clone, Copy)]
struct ServerSlots {
    pool: PoolKey,
    slots: u32,
    held: u32,
    ready_ms: u64,
    health: ServerHealth,
}

impl ServerSlots {
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

/// Counts the slots held on each server and by each workspace.
#[derive(Debug, Default)]
pub(super) struct SlotTable {
    servers: BTreeMap<ServerKey, ServerSlots>,
    held: HashMap<(PoolKey, WorkspaceKey), u32>,
}

impl SlotTable {
    /// Takes a new set of servers; known ones keep their counts, new ones wait until `ready_ms`.
    ///
    /// The caller releases nothing for servers that are gone: their counts go here.
    pub(super) fn replace(&mut self, servers: &[SlotServer], ready_ms: u64) {
        let old = std::mem::take(&mut self.servers);
        for server in servers {
            let known = old.get(&server.key);
            let slots = ServerSlots {
                pool: server.pool,
                slots: server.slots,
                held: known.map_or(0, |known| known.held),
                ready_ms: known.map_or(ready_ms, |known| known.ready_ms),
                health: known.map(|known| known.health).unwrap_or_default(),
            };
            self.servers.insert(server.key, slots);
        }
    }

    /// Tells whether a server is owned here.
    pub(super) fn owns(&self, server: ServerKey) -> bool {
        self.servers.contains_key(&server)
    }

    /// Picks the server of a pool with the smallest part of its slots held.
    pub(super) fn pick(&self, pool: PoolKey, now_ms: u64) -> Option<ServerKey> {
        self.servers
            .iter()
            .filter(|(_, server)| server.pool == pool && server.free(now_ms) > 0)
            .min_by(|(_, a), (_, b)| {
                (u64::from(a.held) * u64::from(b.slots))
                    .cmp(&(u64::from(b.held) * u64::from(a.slots)))
            })
            .map(|(key, _)| *key)
    }

    /// Notes that a server gets new work.
    pub(super) fn granted(&mut self, server: ServerKey, now_ms: u64) {
        if let Some(slots) = self.servers.get_mut(&server) {
            slots.health.granted(now_ms);
        }
    }

    /// Notes how a request on a server ended, after its slot was released.
    pub(super) fn note(&mut self, server: ServerKey, sign: ServerSign, now_ms: u64) {
        if let Some(slots) = self.servers.get_mut(&server) {
            slots.health.note(sign, slots.held, now_ms);
        }
    }

    /// Holds a slot for a workspace; returns false beyond capacity.
    pub(super) fn take(&mut self, server: ServerKey, workspace: WorkspaceKey) -> bool {
        let Some(slots) = self.servers.get_mut(&server) else {
            return false;
        };
        slots.held += 1;
        *self.held.entry((slots.pool, workspace)).or_default() += 1;
        slots.held <= slots.slots
    }

    /// Frees a slot of a workspace.
    pub(super) fn release(&mut self, server: ServerKey, workspace: WorkspaceKey) {
        let Some(slots) = self.servers.get_mut(&server) else {
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
        self.sum_by_pool(|server| server.held)
    }

    /// Returns the free slots of each pool.
    pub(super) fn free_by_pool(&self, now_ms: u64) -> BTreeMap<PoolKey, u32> {
        self.sum_by_pool(|server| server.free(now_ms))
    }

    fn sum_by_pool(&self, count: impl Fn(&ServerSlots) -> u32) -> BTreeMap<PoolKey, u32> {
        let mut sums = BTreeMap::new();
        for server in self.servers.values() {
            *sums.entry(server.pool).or_default() += count(server);
        }
        sums
    }

    /// Returns how many slots are held beyond capacity.
    pub(super) fn overcommitted(&self) -> u32 {
        self.servers
            .values()
            .map(|server| server.held.saturating_sub(server.slots))
            .sum()
    }

    /// Returns the declared slots of a pool.
    pub(super) fn slots_of(&self, pool: PoolKey) -> u32 {
        let servers = self.servers.values();
        servers
            .filter(|server| server.pool == pool)
            .map(|server| server.slots)
            .sum()
    }

    /// Returns how many servers are resting after failures.
    pub(super) fn resting(&self, now_ms: u64) -> usize {
        let servers = self.servers.values();
        servers
            .filter(|server| !server.health.is_open(now_ms))
            .count()
    }

    /// Returns how many servers are owned.
    pub(super) fn len(&self) -> usize {
        self.servers.len()
    }
}
