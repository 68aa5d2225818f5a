//! The slot requests of an entry to each scheduler.
//!
//! A slot request states the number of requests of a workspace that wait at the entry. It is sent
//! again only if the number last announced, less the grants since, is much too low, or if one of
//! this number and the number of waiting requests is zero and the other is not.

use crate::ids::{BoxKey, PoolKey, WorkspaceKey};
use std::collections::HashMap;

/// A slot request to send to a scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotRequest {
    /// The scheduler.
    pub to: BoxKey,
    /// The pool.
    pub pool: PoolKey,
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// The number of waiting requests.
    pub waiting: u32,
    /// The number of grants received from this scheduler for this workspace and pool.
    pub grants_seen: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct AnnouncedDemand {
    /// The number of requests last announced, less the grants received since.
    pending: u32,
    /// The number of grants received.
    grants_seen: u32,
}

type AccountKey = (PoolKey, WorkspaceKey);

/// The demand announced to each scheduler.
#[derive(Debug, Default)]
pub struct SlotRequestTable {
    announced: HashMap<(AccountKey, BoxKey), AnnouncedDemand>,
}

impl SlotRequestTable {
    /// The maximum number of waiting requests in a slot request.
    pub const MAX_ANNOUNCED: u32 = 64;
    /// The ratio of waiting to pending requests that triggers a new slot request.
    const GROWTH_FACTOR: u32 = 4;

    /// Returns the slot requests due to `schedulers` when `waiting` requests wait.
    pub fn update(
        &mut self,
        pool: PoolKey,
        workspace: WorkspaceKey,
        waiting: usize,
        schedulers: &[BoxKey],
    ) -> Vec<SlotRequest> {
        let waiting = u32::try_from(waiting).map_or(Self::MAX_ANNOUNCED, |waiting| {
            waiting.min(Self::MAX_ANNOUNCED)
        });
        let account = (pool, workspace);
        let is_due = |demand: &AnnouncedDemand| match (waiting, demand.pending) {
            (0, pending) => pending > 0,
            (_, 0) => true,
            (waiting, pending) => waiting >= pending * Self::GROWTH_FACTOR,
        };
        schedulers
            .iter()
            .filter_map(|to| {
                let demand = self.announced.entry((account, *to)).or_default();
                is_due(demand).then(|| {
                    demand.pending = waiting;
                    SlotRequest {
                        to: *to,
                        pool,
                        workspace,
                        waiting,
                        grants_seen: demand.grants_seen,
                    }
                })
            })
            .collect()
    }

    /// Returns a request for one more slot of one scheduler.
    pub fn request_one(
        &mut self,
        pool: PoolKey,
        workspace: WorkspaceKey,
        to: BoxKey,
    ) -> SlotRequest {
        let demand = self.announced.entry(((pool, workspace), to)).or_default();
        demand.pending += 1;
        SlotRequest {
            to,
            pool,
            workspace,
            waiting: demand.pending,
            grants_seen: demand.grants_seen,
        }
    }

    /// Returns the schedulers with pending requests of an account.
    pub fn schedulers_with_demand(&self, pool: PoolKey, workspace: WorkspaceKey) -> Vec<BoxKey> {
        self.announced
            .iter()
            .filter(|((account, _), demand)| *account == (pool, workspace) && demand.pending > 0)
            .map(|((_, to), _)| *to)
            .collect()
    }

    /// Records a grant.
    pub fn record_grant(&mut self, pool: PoolKey, workspace: WorkspaceKey, from: BoxKey) {
        let demand = self.announced.entry(((pool, workspace), from)).or_default();
        demand.grants_seen = demand.grants_seen.wrapping_add(1);
        demand.pending = demand.pending.saturating_sub(1);
    }

    /// Removes a scheduler that disconnected or restarted.
    pub fn forget(&mut self, scheduler: BoxKey) {
        self.announced.retain(|(_, to), _| *to != scheduler);
    }
}

#[cfg(test)]
mod tests;
