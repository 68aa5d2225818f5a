//! The slot demand reported by the entries.

use crate::ids::{BoxKey, PoolKey, WorkspaceKey};
use std::collections::{BTreeMap, HashMap};

/// The demand of one entry for slots of a pool, as it reports it to a scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotDemand {
    /// The pool.
    pub pool: PoolKey,
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// The number of requests that wait at the entry.
    pub waiting: u32,
    /// The number of this scheduler's grants that the entry had received before its report.
    pub grants_seen: u32,
    /// The age of the oldest waiting request, in milliseconds.
    pub age_ms: u32,
}

type AccountKey = (PoolKey, WorkspaceKey);

#[derive(Debug, Clone, Copy, Default)]
struct EntryDemand {
    waiting: u32,
    granted: u32,
    oldest_ms: u64,
    updated_ms: u64,
}

/// The demand of each entry, by pool and workspace.
#[derive(Debug, Default)]
pub(super) struct DemandTable {
    accounts: HashMap<AccountKey, BTreeMap<BoxKey, EntryDemand>>,
}

impl DemandTable {
    /// Stores the demand of an entry, less the grants that it had not received yet.
    pub(super) fn update(&mut self, entry: BoxKey, report: SlotDemand, now_ms: u64) {
        let account = self
            .accounts
            .entry((report.pool, report.workspace))
            .or_default();
        let demand = account.entry(entry).or_default();
        let unseen = demand.granted.wrapping_sub(report.grants_seen);
        // The difference wraps if one side has restarted; the report then counts in full.
        let unseen = if unseen > u32::MAX / 2 { 0 } else { unseen };
        demand.waiting = report.waiting.saturating_sub(unseen);
        demand.oldest_ms = now_ms.saturating_sub(u64::from(report.age_ms));
        demand.updated_ms = now_ms;
    }

    /// Returns the number of requests of an account that wait at all entries.
    pub(super) fn waiting(&self, pool: PoolKey, workspace: WorkspaceKey) -> u32 {
        self.accounts.get(&(pool, workspace)).map_or(0, |entries| {
            entries.values().map(|entry| entry.waiting).sum()
        })
    }

    /// Takes one request of an account and returns its entry: the one whose oldest request has
    /// waited longest, less the penalty of the entry.
    ///
    /// Choosing the longest queue instead would starve entries whose queue only shrinks, such as
    /// that of a stopping box.
    pub(super) fn take(
        &mut self,
        pool: PoolKey,
        workspace: WorkspaceKey,
        penalty_ms: impl Fn(BoxKey) -> u64,
    ) -> Option<BoxKey> {
        let entries = self.accounts.get_mut(&(pool, workspace))?;
        let (entry, demand) = entries
            .iter_mut()
            .filter(|(_, demand)| demand.waiting > 0)
            .min_by_key(|(entry, demand)| demand.oldest_ms + penalty_ms(**entry))?;
        // Assumes that the arrivals are spread evenly over the age of the queue.
        let age_ms = demand.updated_ms.saturating_sub(demand.oldest_ms);
        demand.oldest_ms += age_ms / u64::from(demand.waiting);
        demand.waiting -= 1;
        demand.granted = demand.granted.wrapping_add(1);
        Some(*entry)
    }

    /// Returns the arrival time of the oldest request, the order key of `OrderMode::Fcfs`.
    pub(super) fn arrival_key(&self, pool: PoolKey, workspace: WorkspaceKey) -> f64 {
        let oldest = self
            .accounts
            .get(&(pool, workspace))
            .into_iter()
            .flat_map(BTreeMap::values)
            .filter(|demand| demand.waiting > 0)
            .map(|demand| demand.oldest_ms)
            .min();
        oldest.unwrap_or_default() as f64
    }

    /// Removes an entry and returns its accounts.
    pub(super) fn forget(&mut self, entry: BoxKey) -> Vec<AccountKey> {
        self.accounts
            .iter_mut()
            .filter_map(|(account, entries)| entries.remove(&entry).map(|_| *account))
            .collect()
    }
}
