//! The entry's part in scheduling: it requests slots and binds waiting requests to grants.
//!
//! A request is bound when a grant arrives. While a scheduler is known to have free slots, it alone
//! gets the slot request. Requests that keep waiting are announced to many schedulers, so that no
//! slot stays idle.

use crate::ids::{BoxKey, EndpointKey, GrantId, PoolKey, WorkspaceKey};
use crate::queue::{QueueError, RequestQueue, WaitingRequest};
use crate::scheduler::{AdoptedGrant, GrantOffer};
use crate::slot_request_table::{SlotRequest, SlotRequestTable};
use std::collections::{BTreeMap, HashMap, HashSet};
use xxhash_rust::xxh3::xxh3_64;

/// The settings of an entry's slot requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotRequestPolicy {
    /// The time for which a request waits on the first scheduler alone, in milliseconds.
    pub widen_ms: u64,
    /// The number of schedulers that get slot requests after that. Doubles for every
    /// `10 * widen_ms` of waiting.
    pub width: usize,
}

/// An action for the daemon to carry out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum EntryAction {
    /// Send a slot request.
    RequestSlots(SlotRequest),
    /// Give a grant to the waiting request with this id.
    Bind(u64, GrantOffer),
    /// Return a grant to its scheduler.
    Return(BoxKey, GrantId),
    /// Refuse the request with this id, as its deadline has passed.
    Expire(u64),
}

/// A request that runs on an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunningRequest {
    /// The grant that the request uses.
    pub grant: GrantOffer,
    /// The scheduler that receives the cost reports.
    pub scheduler: BoxKey,
    /// The cost so far, in service units.
    pub cost: f64,
}

impl RunningRequest {
    /// Returns the record with which a new owner of the endpoint adopts this request.
    const fn adopted(&self) -> AdoptedGrant {
        AdoptedGrant {
            id: self.grant.id,
            pool: self.grant.pool,
            workspace: self.grant.workspace,
            endpoint: self.grant.endpoint,
            charged: self.cost,
        }
    }
}

/// The waiting and running requests of one entry, and its view of the schedulers.
#[derive(Debug)]
pub struct EntryState {
    policy: SlotRequestPolicy,
    queue: RequestQueue,
    slot_requests: SlotRequestTable,
    running: BTreeMap<GrantId, RunningRequest>,
    schedulers: HashMap<PoolKey, Vec<BoxKey>>,
    reachable: HashSet<BoxKey>,
    free_slots: HashMap<(BoxKey, PoolKey), u32>,
    overgranted: u64,
}

impl EntryState {
    /// The maximum number of doublings of the width.
    const MAX_DOUBLINGS: u32 = 10;

    /// Creates an entry without requests.
    pub fn new(policy: SlotRequestPolicy) -> Self {
        Self {
            policy,
            queue: RequestQueue::default(),
            slot_requests: SlotRequestTable::default(),
            running: BTreeMap::new(),
            schedulers: HashMap::new(),
            reachable: HashSet::new(),
            free_slots: HashMap::new(),
            overgranted: 0,
        }
    }

    /// Sets the schedulers of each pool, nearest first.
    pub fn set_schedulers(&mut self, schedulers: HashMap<PoolKey, Vec<BoxKey>>) {
        self.schedulers = schedulers;
    }

    /// Adds a reachable scheduler that has no state of this entry yet.
    pub fn connect(&mut self, scheduler: BoxKey) {
        self.slot_requests.forget(scheduler);
        self.reachable.insert(scheduler);
    }

    /// Removes a scheduler that has become unreachable.
    pub fn disconnect(&mut self, scheduler: BoxKey) {
        self.slot_requests.forget(scheduler);
        self.reachable.remove(&scheduler);
        self.free_slots.retain(|(known, _), _| *known != scheduler);
    }

    /// Sets the number of free slots that a scheduler has in a pool.
    pub fn set_free_slots(&mut self, scheduler: BoxKey, pool: PoolKey, free: u32) {
        self.free_slots.insert((scheduler, pool), free);
    }

    /// Queues a request and requests a slot.
    ///
    /// # Errors
    ///
    /// Returns [`QueueError::Full`] if the workspace has `limit` requests waiting here.
    pub fn enqueue(
        &mut self,
        request: WaitingRequest,
        limit: usize,
    ) -> Result<Vec<EntryAction>, QueueError> {
        let (pool, workspace) = (request.pool, request.workspace);
        self.queue.push(request, limit)?;
        Ok(match self.nearest_free_scheduler(pool) {
            Some(scheduler) => {
                let free = self.free_slots.entry((scheduler, pool)).or_default();
                *free -= 1;
                vec![EntryAction::RequestSlots(
                    self.slot_requests.request_one(pool, workspace, scheduler),
                )]
            }
            None => self.request_from_many(pool, workspace, request.queued_ms),
        })
    }

    /// Returns the nearest reachable scheduler known to have free slots.
    fn nearest_free_scheduler(&self, pool: PoolKey) -> Option<BoxKey> {
        let schedulers = self.schedulers.get(&pool)?;
        schedulers.iter().copied().find(|scheduler| {
            self.reachable.contains(scheduler)
                && self
                    .free_slots
                    .get(&(*scheduler, pool))
                    .copied()
                    .unwrap_or(0)
                    > 0
        })
    }

    /// Requests slots for an account from many schedulers.
    fn request_from_many(
        &mut self,
        pool: PoolKey,
        workspace: WorkspaceKey,
        now_ms: u64,
    ) -> Vec<EntryAction> {
        let waiting = self.queue.waiting(pool, workspace);
        let oldest = self.queue.oldest_ms(pool, workspace).unwrap_or(now_ms);
        let targets =
            self.select_schedulers(pool, workspace, waiting, now_ms.saturating_sub(oldest));
        self.slot_requests
            .update(pool, workspace, waiting, &targets)
            .into_iter()
            .map(EntryAction::RequestSlots)
            .collect()
    }

    /// Selects the schedulers to request slots from: all if they are few, else a sample that grows
    /// with age.
    fn select_schedulers(
        &self,
        pool: PoolKey,
        workspace: WorkspaceKey,
        waiting: usize,
        age_ms: u64,
    ) -> Vec<BoxKey> {
        let known = self.schedulers.get(&pool).map_or(&[][..], Vec::as_slice);
        let reachable = known
            .iter()
            .copied()
            .filter(|key| self.reachable.contains(key));
        let mut targets: Vec<BoxKey> = reachable.collect();
        let doublings = age_ms / (self.policy.widen_ms.max(1) * 10);
        let doublings = u32::try_from(doublings).unwrap_or(u32::MAX);
        let width = self.policy.width.max(2 * waiting);
        let width = width << doublings.min(Self::MAX_DOUBLINGS);
        if targets.len() > width {
            targets.sort_by_key(|key| {
                xxh3_64(&[key.0.to_le_bytes(), workspace.0.to_le_bytes()].concat())
            });
            targets.truncate(width);
        }
        targets
    }

    /// Binds the first waiting request to a grant, or returns the grant if none waits.
    pub fn bind_grant(&mut self, from: BoxKey, grant: GrantOffer) -> Vec<EntryAction> {
        let (pool, workspace) = (grant.pool, grant.workspace);
        if self.running.contains_key(&grant.id) {
            return Vec::new();
        }
        self.slot_requests.record_grant(pool, workspace, from);
        let Some(request) = self.queue.pop(pool, workspace) else {
            self.overgranted += 1;
            return self.return_grant(from, grant);
        };
        let running = RunningRequest {
            grant,
            scheduler: from,
            cost: 0.0,
        };
        self.running.insert(grant.id, running);
        vec![EntryAction::Bind(request.id, grant)]
    }

    /// Returns a grant, and withdraws the pending slot requests of its account.
    fn return_grant(&mut self, from: BoxKey, grant: GrantOffer) -> Vec<EntryAction> {
        let schedulers = self
            .slot_requests
            .schedulers_with_demand(grant.pool, grant.workspace);
        let withdrawals = self
            .slot_requests
            .update(grant.pool, grant.workspace, 0, &schedulers)
            .into_iter()
            .map(EntryAction::RequestSlots);
        std::iter::once(EntryAction::Return(from, grant.id))
            .chain(withdrawals)
            .collect()
    }

    /// Records the cost of a running request. Returns the scheduler to report it to.
    pub fn record_cost(&mut self, grant: GrantId, cost: f64) -> Option<BoxKey> {
        let running = self.running.get_mut(&grant)?;
        running.cost = running.cost.max(cost);
        Some(running.scheduler)
    }

    /// Ends a running request. Returns the scheduler to report it to.
    pub fn finish(&mut self, grant: GrantId) -> Option<BoxKey> {
        let running = self.running.remove(&grant)?;
        let key = (running.scheduler, running.grant.pool);
        if let Some(free) = self.free_slots.get_mut(&key) {
            *free += 1;
        }
        Some(running.scheduler)
    }

    /// Removes a waiting request, as when its caller disconnects. Returns whether it was waiting.
    pub fn cancel(&mut self, request: u64) -> bool {
        self.queue.remove(request).is_some()
    }

    /// Expires requests past their deadline, and requests slots from more schedulers for those that
    /// still wait.
    pub fn tick(&mut self, now_ms: u64) -> Vec<EntryAction> {
        let expired = self.queue.expired(now_ms);
        let mut actions = Vec::new();
        for request in expired {
            self.queue.remove(request);
            actions.push(EntryAction::Expire(request));
        }
        let accounts: Vec<(PoolKey, WorkspaceKey)> = self.queue.accounts().collect();
        for (pool, workspace) in accounts {
            let oldest = self.queue.oldest_ms(pool, workspace).unwrap_or(now_ms);
            if oldest + self.policy.widen_ms <= now_ms {
                actions.extend(self.request_from_many(pool, workspace, now_ms));
            }
        }
        actions
    }

    /// Assigns running requests to the new owners of their endpoints.
    ///
    /// Returns the requests to report to each new owner.
    pub fn reassign(
        &mut self,
        owner_of: impl Fn(EndpointKey) -> Option<BoxKey>,
    ) -> Vec<(BoxKey, AdoptedGrant)> {
        let mut moved = Vec::new();
        for running in self.running.values_mut() {
            match owner_of(running.grant.endpoint) {
                Some(owner) if owner != running.scheduler => {
                    running.scheduler = owner;
                    moved.push((owner, running.adopted()));
                }
                _ => {}
            }
        }
        moved
    }

    /// Returns the running requests of one scheduler, so that it can rebuild its slot counts.
    pub fn running_requests_of(&self, scheduler: BoxKey) -> Vec<AdoptedGrant> {
        self.running
            .values()
            .filter(|running| running.scheduler == scheduler)
            .map(RunningRequest::adopted)
            .collect()
    }

    /// Returns the number of running requests.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the age of the oldest waiting request of an account, in milliseconds.
    pub fn age_ms(&self, pool: PoolKey, workspace: WorkspaceKey, now_ms: u64) -> u64 {
        let oldest = self.queue.oldest_ms(pool, workspace);
        oldest.map_or(0, |oldest| now_ms.saturating_sub(oldest))
    }

    /// Returns the number of grants received while no request waited.
    pub const fn overgranted(&self) -> u64 {
        self.overgranted
    }
}

#[cfg(test)]
mod tests;
