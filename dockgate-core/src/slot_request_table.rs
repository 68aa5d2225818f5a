//! What an entry asks of which scheduler.
//!
//! A seek is a level, not an event: "this many requests of the workspace wait here". It is sent
//! again only where the scheduler's idea of it has become useless: it thinks that nothing waits
//! while something does, that something waits while nothing does, or that much less waits.

use crate::ids::{BoxKey, PoolKey, WorkspaceKey};
use std::collections::HashMap;

/// A seek to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotRequest {
    /// The scheduler.
    pub to: BoxKey,
    /// The pool.
    pub pool: PoolKey,
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// How many requests wait.
    pub waiting: u32,
    /// How many grants of this scheduler the entry has seen for this workspace and pool.
    pub seen: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct SoughtScheduler {
    /// What the scheduler was last told, less the grants seen since.
    believed: u32,
    /// Grants seen from it.
    seen: u32,
}

type AccountKey = (PoolKey, WorkspaceKey);

/// Remembers what every scheduler has been told.
#[derive(Debug, Default)]
pub struct SlotRequestTable {
    sought: HashMap<(AccountKey, BoxKey), SoughtScheduler>,
}

impl SlotRequestTable {
    /// The most that a seek tells; more makes no difference to a scheduler.
    pub const MOST_WAITING: u32 = 64;
    /// A scheduler is told again when this many times more waits than it believes.
    const GROWTH: u32 = 4;

    /// Lists the seeks due to `schedulers` now that `waiting` requests wait.
    pub fn update(
        &mut self,
        pool: PoolKey,
        workspace: WorkspaceKey,
        waiting: usize,
        schedulers: &[BoxKey],
    ) -> Vec<SlotRequest> {
        let waiting = u32::try_from(waiting).map_or(Self::MOST_WAITING, |waiting| {
            waiting.min(Self::MOST_WAITING)
        });
        let account = (pool, workspace);
        let due = |sought: &SoughtScheduler| match (waiting, sought.believed) {
            (0, believed) => believed > 0,
            (_, 0) => true,
            (waiting, believed) => waiting >= believed * Self::GROWTH,
        };
        schedulers
            .iter()
            .filter_map(|to| {
                let sought = self.sought.entry((account, *to)).or_default();
                due(sought).then(|| {
                    sought.believed = waiting;
                    SlotRequest {
                        to: *to,
                        pool,
                        workspace,
                        waiting,
                        seen: sought.seen,
                    }
                })
            })
            .collect()
    }

    /// Asks one scheduler for one slot more.
    pub fn ask_one(&mut self, pool: PoolKey, workspace: WorkspaceKey, to: BoxKey) -> SlotRequest {
        let sought = self.sought.entry(((pool, workspace), to)).or_default();
        sought.believed += 1;
        SlotRequest {
            to,
            pool,
            workspace,
            waiting: sought.believed,
            seen: sought.seen,
        }
    }

    /// Lists the schedulers that believe something of this account waits here.
    pub fn believers(&self, pool: PoolKey, workspace: WorkspaceKey) -> Vec<BoxKey> {
        self.sought
            .iter()
            .filter(|((account, _), sought)| *account == (pool, workspace) && sought.believed > 0)
            .map(|((_, to), _)| *to)
            .collect()
    }

    /// Notes a grant.
    pub fn granted(&mut self, pool: PoolKey, workspace: WorkspaceKey, from: BoxKey) {
        let sought = self.sought.entry(((pool, workspace), from)).or_default();
        sought.seen = sought.seen.wrapping_add(1);
        sought.believed = sought.believed.saturating_sub(1);
    }

    /// Forgets a scheduler that is gone or has lost its memory.
    pub fn forget(&mut self, scheduler: BoxKey) {
        self.sought.retain(|(_, to), _| *to != scheduler);
    }
}

#[cfg(test)]
mod tests;
