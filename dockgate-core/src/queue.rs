//! Requests that wait at an entry, one queue per workspace and pool.
//!
//! A queue is ordered by priority, then deadline, then age. The number of waiting requests is
//! limited per workspace, so that a burst of one workspace does not affect the others.

use crate::ids::{PoolKey, WorkspaceKey};
use quick_error::quick_error;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The rank of a request in its workspace: higher priority, then earlier deadline, then older.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRank {
    /// False if the request continues an answer that was interrupted; such requests go first.
    is_new: bool,
    /// Nine minus the priority, so that a higher priority sorts first.
    urgency: u8,
    /// The deadline, in milliseconds.
    deadline_ms: u64,
    /// The time at which the request was first queued, in milliseconds.
    queued_ms: u64,
    /// The id, which increases with time.
    id: u64,
}

/// A request that waits for a slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitingRequest {
    /// The id assigned by the entry, which increases with time.
    pub id: u64,
    /// The pool that serves the request.
    pub pool: PoolKey,
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// The priority in the workspace, from 0 to 9 (highest).
    pub priority: u8,
    /// The time at which the request is refused if it still waits, in milliseconds.
    pub deadline_ms: u64,
    /// The time at which the request was first queued, in milliseconds.
    pub queued_ms: u64,
    /// Whether the request continues an interrupted answer.
    pub resumed: bool,
}

impl WaitingRequest {
    const TOP_PRIORITY: u8 = 9;

    /// Returns the rank of the request.
    pub const fn rank(&self) -> RequestRank {
        RequestRank {
            is_new: !self.resumed,
            urgency: Self::TOP_PRIORITY.saturating_sub(self.priority),
            deadline_ms: self.deadline_ms,
            queued_ms: self.queued_ms,
            id: self.id,
        }
    }
}

quick_error! {
    /// The reason why a request is not queued.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum QueueError {
        /// The workspace has reached its limit of waiting requests.
        Full(limit: usize) {
            display("the workspace has {} requests waiting here, its limit", limit)
        }
    }
}

type AccountKey = (PoolKey, WorkspaceKey);

/// The requests that wait at one entry.
#[derive(Debug, Default)]
pub struct RequestQueue {
    queues: HashMap<AccountKey, BTreeMap<RequestRank, WaitingRequest>>,
    index: HashMap<u64, (AccountKey, RequestRank)>,
    /// Deadlines and ids, ordered to find expired requests.
    deadlines: BTreeSet<(u64, u64)>,
    /// Accounts, queue times and ids, ordered to find the oldest request of an account.
    ages: BTreeSet<(AccountKey, u64, u64)>,
    lengths: HashMap<WorkspaceKey, usize>,
}

impl RequestQueue {
    /// Queues a request.
    ///
    /// # Errors
    ///
    /// Returns [`QueueError::Full`] if the workspace has `limit` requests waiting.
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

    /// Removes and returns the first request of an account.
    pub fn pop(&mut self, pool: PoolKey, workspace: WorkspaceKey) -> Option<WaitingRequest> {
        let queue = self.queues.get(&(pool, workspace))?;
        let id = queue.first_key_value()?.1.id;
        self.remove(id)
    }

    /// Removes a request by its id.
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

    /// Returns the number of requests of a workspace that wait for a pool.
    pub fn waiting(&self, pool: PoolKey, workspace: WorkspaceKey) -> usize {
        self.queues.get(&(pool, workspace)).map_or(0, BTreeMap::len)
    }

    /// Returns the queue time of the oldest request of an account, in milliseconds.
    pub fn oldest_ms(&self, pool: PoolKey, workspace: WorkspaceKey) -> Option<u64> {
        let account = (pool, workspace);
        let mut ages = self
            .ages
            .range((account, 0, 0)..=(account, u64::MAX, u64::MAX));
        ages.next().map(|(_, queued_ms, _)| *queued_ms)
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

    /// Returns the total number of waiting requests.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }
}

#[cfg(test)]
mod tests;
