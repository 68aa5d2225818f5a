//! Requests that wait at an entry, one bounded queue for each workspace and pool.
//!
//! Inside a workspace the order is priority, then deadline, then age. A full queue refuses, so that
//! a flood fills its own queue and nobody else's.

use crate::ids::{PoolKey, WorkspaceKey};
use quick_error::quick_error;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The order inside a workspace: higher priority, then earlier deadline, then older.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRank {
    /// False for the rest of an answer that was paused or lost its endpoint: it goes first.
    fresh: bool,
    /// Nine minus the priority, so that a higher priority sorts first.
    urgency: u8,
    /// The deadline in milliseconds.
    deadline_ms: u64,
    /// When it was first queued, in milliseconds.
    queued_ms: u64,
    /// The id, which grows with time.
    id: u64,
}

/// One request that waits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitingRequest {
    /// The id given by the entry, growing with time.
    pub id: u64,
    /// The pool that can serve it.
    pub pool: PoolKey,
    /// The workspace it belongs to.
    pub workspace: WorkspaceKey,
    /// The priority inside the workspace, 0 to 9.
    pub priority: u8,
    /// When it is refused if it still waits, in milliseconds.
    pub deadline_ms: u64,
    /// When it was queued, in milliseconds.
    pub queued_ms: u64,
    /// Whether it is the rest of an answer that has begun.
    pub resumed: bool,
}

impl WaitingRequest {
    const TOP_PRIORITY: u8 = 9;

    /// Returns its place in the order.
    pub const fn rank(&self) -> RequestRank {
        RequestRank {
            fresh: !self.resumed,
            urgency: Self::TOP_PRIORITY.saturating_sub(self.priority),
            deadline_ms: self.deadline_ms,
            queued_ms: self.queued_ms,
            id: self.id,
        }
    }
}

quick_error! {
    /// Why a request is not queued.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum QueueError {
        /// The workspace's own queue is full.
        Full(limit: usize) {
            display("the workspace has {} requests waiting here, its limit", limit)
        }
    }
}

type AccountKey = (PoolKey, WorkspaceKey);

/// Holds every request that waits at one entry.
#[derive(Debug, Default)]
pub struct RequestQueue {
    queues: HashMap<AccountKey, BTreeMap<RequestRank, WaitingRequest>>,
    index: HashMap<u64, (AccountKey, RequestRank)>,
    /// By deadline, so that a look for expired requests costs nothing while there are none.
    deadlines: BTreeSet<(u64, u64)>,
    /// By account and age, so that the oldest is found without a scan.
    ages: BTreeSet<(AccountKey, u64, u64)>,
    lengths: HashMap<WorkspaceKey, usize>,
}

impl RequestQueue {
    /// Queues a request.
    ///
    /// # Errors
    ///
    /// Returns [`QueueError::Full`] where the workspace has `limit` requests waiting.
    pub fn push(&mut self, request: WaitingRequest, limit: usize) -> Result<(), QueueError> {
        let length = self.lengths.entry(request.workspace).or_default();
        if *length >= limit {
            return Err(QueueError::Full(limit));
        }
        *length += 1;
        let account = (request.pool, request.workspace);
        let queue = self.queues.entry(account).or_default();
        queue.insert(request.rank(), request);
        self.index.insert(request.id, (account, request.rank()));
        self.deadlines.insert((request.deadline_ms, request.id));
        self.ages.insert((account, request.queued_ms, request.id));
        Ok(())
    }

    /// Takes the request of a workspace that goes first.
    pub fn pop(&mut self, pool: PoolKey, workspace: WorkspaceKey) -> Option<WaitingRequest> {
        let queue = self.queues.get(&(pool, workspace))?;
        let id = queue.first_key_value()?.1.id;
        self.remove(id)
    }

    /// Takes a request out, by its id.
    pub fn remove(&mut self, id: u64) -> Option<WaitingRequest> {
        let (account, rank) = self.index.remove(&id)?;
        let queue = self.queues.get_mut(&account)?;
        let request = queue.remove(&rank)?;
        if queue.is_empty() {
            self.queues.remove(&account);
        }
        self.deadlines.remove(&(request.deadline_ms, request.id));
        self.ages.remove(&(account, request.queued_ms, request.id));
        if let Some(length) = self.lengths.get_mut(&request.workspace) {
            *length -= 1;
        }
        Some(request)
    }

    /// Returns how many requests of a workspace wait for a pool.
    pub fn waiting(&self, pool: PoolKey, workspace: WorkspaceKey) -> usize {
        self.queues.get(&(pool, workspace)).map_or(0, BTreeMap::len)
    }

    /// Returns when the oldest request of an account was queued, in milliseconds.
    pub fn oldest_ms(&self, pool: PoolKey, workspace: WorkspaceKey) -> Option<u64> {
        let account = (pool, workspace);
        let mut aged = self
            .ages
            .range((account, 0, 0)..=(account, u64::MAX, u64::MAX));
        aged.next().map(|(_, queued_ms, _)| *queued_ms)
    }

    /// Returns the ids of the requests whose deadline has passed.
    pub fn expired(&self, now_ms: u64) -> Vec<u64> {
        self.deadlines
            .range(..=(now_ms, u64::MAX))
            .map(|(_, id)| *id)
            .collect()
    }

    /// Returns the accounts that have requests waiting.
    pub fn accounts(&self) -> impl Iterator<Item = AccountKey> {
        self.queues.keys().copied()
    }

    /// Returns how many requests wait in all.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Tells whether none waits.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }
}

#[cfg(test)]
mod tests;
