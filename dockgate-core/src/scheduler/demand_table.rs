//! What waits at every entry, as far as this scheduler was told.

use crate::ids::{BoxKey, PoolKey, WorkspaceKey};
use std::collections::{BTreeMap, HashMap};

/// A seek as the scheduler takes it in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotDemand {
    /// The pool.
    pub pool: PoolKey,
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// How many requests wait at the entry.
    pub waiting: u32,
    /// How many grants of this scheduler the entry had seen when it sent the seek.
    pub seen: u32,
    /// For how long the oldest has waited, in milliseconds.
    pub age_ms: u32,
}

type AccountKey = (PoolKey, WorkspaceKey);

#[derive(Debug, Clone, Copy, Default)]
struct EntryDemand {
    waiting: u32,
    granted: u32,
    oldest_ms: u64,
    told_ms: u64,
}

/// Holds the demand of every entry for every account.
#[derive(Debug, Default)]
pub(super) struct DemandTable {
    accounts: HashMap<AccountKey, BTreeMap<BoxKey, EntryDemand>>,
}

impl DemandTable {
    /// Takes in what an entry says, less the grants it had not seen yet.
    pub(super) fn put(&mut self, entry: BoxKey, seek: SlotDemand, now_ms: u64) {
        let account = self
            .accounts
            .entry((seek.pool, seek.workspace))
            .or_default();
        let demand = account.entry(entry).or_default();
        let unseen = demand.granted.wrapping_sub(seek.seen);
        // A wrapped difference means that one side has lost its memory; the seek then stands.
        let unseen = if unseen > u32::MAX / 2 { 0 } else { unseen };
        demand.waiting = seek.waiting.saturating_sub(unseen);
        demand.oldest_ms = now_ms.saturating_sub(u64::from(seek.age_ms));
        demand.told_ms = now_ms;
    }

    /// Returns how many requests of an account wait over all entries.
    pub(super) fn waiting(&self, pool: PoolKey, workspace: WorkspaceKey) -> u32 {
        self.accounts.get(&(pool, workspace)).map_or(0, |entries| {
            entries.values().map(|entry| entry.waiting).sum()
        })
    }

    /// Takes one request of an account: at the entry where the oldest waits, after a handicap in
    /// milliseconds for each entry.
    ///
    /// Taking it where most wait would starve an entry whose queue only shrinks, such as that of a
    /// box that is stopping.
    pub(super) fn take(
        &mut self,
        pool: PoolKey,
        workspace: WorkspaceKey,
        handicap: impl Fn(BoxKey) -> u64,
    ) -> Option<BoxKey> {
        let entries = self.accounts.get_mut(&(pool, workspace))?;
        let (entry, demand) = entries
            .iter_mut()
            .filter(|(_, demand)| demand.waiting > 0)
            .min_by_key(|(entry, demand)| demand.oldest_ms + handicap(**entry))?;
        // The next request is assumed to be younger by an equal part of the queue's age.
        let spread = demand.told_ms.saturating_sub(demand.oldest_ms);
        demand.oldest_ms += spread / u64::from(demand.waiting);
        demand.waiting -= 1;
        demand.granted = demand.granted.wrapping_add(1);
        Some(*entry)
    }

    /// Returns when the oldest request arrived: the order key of first come, first served.
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

    /// Forgets an entry; returns the accounts it had.
    pub(super) fn forget(&mut self, entry: BoxKey) -> Vec<AccountKey> {
        self.accounts
            .iter_mut()
            .filter_map(|(account, entries)| entries.remove(&entry).map(|_| *account))
            .collect()
    }
}
