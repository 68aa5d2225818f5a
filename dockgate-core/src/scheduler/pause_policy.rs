//! Selection of running streams to pause, so that long answers do not keep slots from the
//! workspaces that have received least.

use crate::grant_table::HeldGrant;
use crate::ids::{GrantId, PoolKey, WorkspaceKey};

/// The conditions under which streams are paused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PausePolicy {
    /// The allowed gap between the levels of two workspaces, in seconds of the fair rate. Zero
    /// disables pauses.
    pub gap_s: f64,
    /// The time that a stream runs before it may be paused, in milliseconds.
    pub min_run_ms: u64,
    /// The fraction of all grants that may be paused, from 0 to 1.
    pub budget: f64,
}

/// A token bucket that limits pauses to a fraction of the grants.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PauseBudget {
    available: f64,
    next_pause_ms: u64,
}

impl PauseBudget {
    /// The minimum interval between two pauses, in milliseconds.
    const MIN_INTERVAL_MS: u64 = 100;
    /// The maximum number of pauses saved up.
    const MAX_AVAILABLE: f64 = 10.0;

    /// Adds the share of a pause that one grant earns.
    pub(super) fn earn(&mut self, policy: &PausePolicy) {
        self.available = (self.available + policy.budget).min(Self::MAX_AVAILABLE);
    }

    /// Returns whether a stream may be paused now.
    pub(super) fn allows(&self, now_ms: u64) -> bool {
        self.available >= 1.0 && now_ms >= self.next_pause_ms
    }

    /// Records a pause.
    pub(super) fn spend(&mut self, now_ms: u64) {
        self.available -= 1.0;
        self.next_pause_ms = now_ms + Self::MIN_INTERVAL_MS;
    }
}

/// The level of the first waiting workspace of a pool, and the allowed gap above it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct LevelGap {
    /// The pool.
    pub(super) pool: PoolKey,
    /// The level of the first waiting workspace, in service units for a share of one.
    pub(super) first_level: f64,
    /// The maximum gap between this level and that of another workspace.
    pub(super) max_gap: f64,
}

impl LevelGap {
    /// Returns the longest-running stream of the workspace furthest above the allowed gap.
    pub(super) fn select<'a>(
        &self,
        grants: impl Iterator<Item = (&'a GrantId, &'a HeldGrant)>,
        level_of: impl Fn(WorkspaceKey) -> f64,
        policy: &PausePolicy,
        now_ms: u64,
    ) -> Option<GrantId> {
        grants
            .filter(|(_, grant)| grant.pool == self.pool && !grant.pause_requested)
            .filter(|(_, grant)| grant.granted_ms + policy.min_run_ms <= now_ms)
            .map(|(id, grant)| (level_of(grant.workspace), grant.granted_ms, *id))
            .filter(|(level, ..)| *level - self.first_level > self.max_gap)
            .max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)).then(a.2.cmp(&b.2)))
            .map(|(.., id)| id)
    }
}
