//! The entry's decisions: which request is bound to which grant, and who is asked for slots.
//!
//! A request is bound late. While schedulers are known to have free slots, one of them is asked;
//! what has waited a little is asked for at many, so that no slot idles while work waits.

use crate::ids::{BoxKey, EndpointKey, GrantId, PoolKey, WorkspaceKey};
use crate::queue::{QueueError, RequestQueue, WaitingRequest};
use crate::scheduler::{AdoptedGrant, GrantOffer};
use crate::slot_request_table::{SlotRequest, SlotRequestTable};
use std::collections::{BTreeMap, HashMap, HashSet};
use xxhash_rust::xxh3::xxh3_64;

/// The settings of an entry's seeks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotRequestPolicy {
    /// How long a request may wait on the one scheduler that was asked first, in milliseconds.
    pub widen_ms: u64,
    /// How many schedulers are asked after that; doubles with every further `widen_ms` times ten.
    pub width: usize,
}

/// Something to be done by the daemon around an entry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum EntryAction {
    /// Send a seek.
    RequestSlots(SlotRequest),
    /// Hand a request the grant it may use.
    Bind(u64, GrantOffer),
    /// Give a grant back to its scheduler.
    Return(BoxKey, GrantId),
    /// Tell a request that it has waited too long.
    Expire(u64),
}

/// A request that runs on an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunningRequest {
    /// The grant that it uses.
    pub grant: GrantOffer,
    /// The scheduler that is told of its cost.
    pub scheduler: BoxKey,
    /// Service units so far.
    pub cost: f64,
}

impl RunningRequest {
    /// Returns what a scheduler needs to count this request.
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

/// The state of one entry.
#[derive(Debug)]
pub struct EntryState {
    policy: SlotRequestPolicy,
    queue: RequestQueue,
    book: SlotRequestTable,
    running: BTreeMap<GrantId, RunningRequest>,
    schedulers: HashMap<PoolKey, Vec<BoxKey>>,
    reachable: HashSet<BoxKey>,
    free: HashMap<(BoxKey, PoolKey), u32>,
    overgranted: u64,
}

impl EntryState {
    /// The most doublings of the width.
    const MOST_DOUBLINGS: u32 = 10;

    /// Makes an entry with nothing waiting.
    pub fn new(policy: SlotRequestPolicy) -> Self {
        Self {
            policy,
            queue: RequestQueue::default(),
            book: SlotRequestTable::default(),
            running: BTreeMap::new(),
            schedulers: HashMap::new(),
            reachable: HashSet::new(),
            free: HashMap::new(),
            overgranted: 0,
        }
    }

    /// Sets the schedulers of each pool, nearest first.
    pub fn set_schedulers(&mut self, schedulers: HashMap<PoolKey, Vec<BoxKey>>) {
        self.schedulers = schedulers;
    }

    /// Notes that a scheduler can be reached and knows nothing of this entry yet.
    pub fn connect(&mut self, scheduler: BoxKey) {
        self.book.forget(scheduler);
        self.reachable.insert(scheduler);
    }

    /// Notes that a scheduler cannot be reached.
    pub fn disconnect(&mut self, scheduler: BoxKey) {
        self.book.forget(scheduler);
        self.reachable.remove(&scheduler);
        self.free.retain(|(known, _), _| *known != scheduler);
    }

    /// Notes how many slots of a pool a scheduler has free.
    pub fn set_free_slots(&mut self, scheduler: BoxKey, pool: PoolKey, free: u32) {
        self.free.insert((scheduler, pool), free);
    }

    /// Queues a request and asks for a slot.
    ///
    /// # Errors
    ///
    /// Returns [`QueueError::Full`] where the workspace has its limit waiting here.
    pub fn enqueue(
        &mut self,
        request: WaitingRequest,
        limit: usize,
    ) -> Result<Vec<EntryAction>, QueueError> {
        let (pool, workspace) = (request.pool, request.workspace);
        self.queue.push(request, limit)?;
        Ok(match self.freest(pool) {
            Some(scheduler) => {
                let free = self.free.entry((scheduler, pool)).or_default();
                *free -= 1;
                vec![EntryAction::RequestSlots(
                    self.book.ask_one(pool, workspace, scheduler),
                )]
            }
            None => self.widen(pool, workspace, request.queued_ms),
        })
    }

    /// Returns the nearest reachable scheduler known to have free slots; the freest among equals.
    fn freest(&self, pool: PoolKey) -> Option<BoxKey> {
        let near_first = self.schedulers.get(&pool)?;
        near_first.iter().copied().find(|scheduler| {
            self.reachable.contains(scheduler)
                && self.free.get(&(*scheduler, pool)).copied().unwrap_or(0) > 0
        })
    }

    /// Asks many schedulers for what waits.
    fn widen(&mut self, pool: PoolKey, workspace: WorkspaceKey, now_ms: u64) -> Vec<EntryAction> {
        let waiting = self.queue.waiting(pool, workspace);
        let oldest = self.queue.oldest_ms(pool, workspace).unwrap_or(now_ms);
        let targets = self.sample(pool, workspace, waiting, now_ms.saturating_sub(oldest));
        self.book
            .update(pool, workspace, waiting, &targets)
            .into_iter()
            .map(EntryAction::RequestSlots)
            .collect()
    }

    /// Picks the schedulers to ask: all where there are few, else a sample that grows with age.
    fn sample(
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
        let width = width << doublings.min(Self::MOST_DOUBLINGS);
        if targets.len() > width {
            targets.sort_by_key(|key| {
                xxh3_64(&[key.0.to_le_bytes(), workspace.0.to_le_bytes()].concat())
            });
            targets.truncate(width);
        }
        targets
    }

    /// Binds the request that goes first to a grant, or gives the grant back.
    pub fn bind_grant(&mut self, from: BoxKey, grant: GrantOffer) -> Vec<EntryAction> {
        let (pool, workspace) = (grant.pool, grant.workspace);
        if self.running.contains_key(&grant.id) {
            return Vec::new();
        }
        self.book.granted(pool, workspace, from);
        let Some(request) = self.queue.pop(pool, workspace) else {
            self.overgranted += 1;
            return self.give_back(from, grant);
        };
        let running = RunningRequest {
            grant,
            scheduler: from,
            cost: 0.0,
        };
        self.running.insert(grant.id, running);
        vec![EntryAction::Bind(request.id, grant)]
    }

    /// Gives a grant back, and tells everyone who believes that something waits.
    fn give_back(&mut self, from: BoxKey, grant: GrantOffer) -> Vec<EntryAction> {
        let believers = self.book.believers(grant.pool, grant.workspace);
        let withdrawals = self
            .book
            .update(grant.pool, grant.workspace, 0, &believers)
            .into_iter()
            .map(EntryAction::RequestSlots);
        std::iter::once(EntryAction::Return(from, grant.id))
            .chain(withdrawals)
            .collect()
    }

    /// Notes the cost of a running request; returns whom to tell.
    pub fn record_cost(&mut self, grant: GrantId, cost: f64) -> Option<BoxKey> {
        let running = self.running.get_mut(&grant)?;
        running.cost = running.cost.max(cost);
        Some(running.scheduler)
    }

    /// Ends a running request; returns whom to tell.
    pub fn finish(&mut self, grant: GrantId) -> Option<BoxKey> {
        let running = self.running.remove(&grant)?;
        let key = (running.scheduler, running.grant.pool);
        if let Some(free) = self.free.get_mut(&key) {
            *free += 1;
        }
        Some(running.scheduler)
    }

    /// Takes a waiting request out, as when its caller has gone.
    pub fn cancel(&mut self, request: u64) -> bool {
        self.queue.remove(request).is_some()
    }

    /// Expires what is past its deadline, and asks more widely for what has waited.
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
                actions.extend(self.widen(pool, workspace, now_ms));
            }
        }
        actions
    }

    /// Reports what runs to the schedulers that own the endpoints now, where that has changed.
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

    /// Lists what runs by grants of one scheduler, so that it can rebuild its slots.
    pub fn running_under(&self, scheduler: BoxKey) -> Vec<AdoptedGrant> {
        self.running
            .values()
            .filter(|running| running.scheduler == scheduler)
            .map(RunningRequest::adopted)
            .collect()
    }

    /// Returns how many requests run.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns for how long the oldest request of an account has waited, in milliseconds.
    pub fn age_ms(&self, pool: PoolKey, workspace: WorkspaceKey, now_ms: u64) -> u64 {
        let oldest = self.queue.oldest_ms(pool, workspace);
        oldest.map_or(0, |oldest| now_ms.saturating_sub(oldest))
    }

    /// Returns how many grants came for which nothing waited any more.
    pub const fn overgranted(&self) -> u64 {
        self.overgranted
    }
}

#[cfg(test)]
mod tests;
