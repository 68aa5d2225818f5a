//! Which running stream is paused, so that long answers do not lock slots against the workspace
//! furthest behind.

use crate::grant_table::HeldGrant;
use crate::ids::{GrantId, PoolKey, WorkspaceKey};

/// When streams are paused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PausePolicy {
    /// How far apart two workspaces may be, in seconds of the fair rate; zero never pauses.
    pub gap_s: f64,
    /// How long a stream is left alone after its grant, in milliseconds.
    pub min_run_ms: u64,
    /// The part of all grants that may be paused.
    pub budget: f64,
}

/// Keeps the budget of pauses.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PauseBudget {
    allowance: f64,
    due_ms: u64,
}

impl PauseBudget {
    /// How often one stream may be paused, in milliseconds.
    const EVERY_MS: u64 = 100;
    /// The most pauses that are saved up.
    const MOST_SAVED: f64 = 10.0;

    /// Notes a grant, which earns a part of a pause.
    pub(super) fn earn(&mut self, policy: &PausePolicy) {
        self.allowance = (self.allowance + policy.budget).min(Self::MOST_SAVED);
    }

    /// Tells whether a stream may be paused now.
    pub(super) fn allows(&self, now_ms: u64) -> bool {
        self.allowance >= 1.0 && now_ms >= self.due_ms
    }

    /// Notes a pause.
    pub(super) fn spend(&mut self, now_ms: u64) {
        self.allowance -= 1.0;
        self.due_ms = now_ms + Self::EVERY_MS;
    }
}

/// A workspace that is too far ahead, and one that waits furthest behind.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct LevelGap {
    /// The pool.
    pub(super) pool: PoolKey,
    /// The level of the workspace furthest behind.
    pub(super) behind: f64,
    /// How far ahead another may be.
    pub(super) allowed: f64,
}

impl LevelGap {
    /// Picks the stream to be paused: of the workspace furthest ahead the one that runs longest.
    pub(super) fn pick<'a>(
        &self,
        grants: impl Iterator<Item = (&'a GrantId, &'a HeldGrant)>,
        level_of: impl Fn(WorkspaceKey) -> f64,
        policy: &PausePolicy,
        now_ms: u64,
    ) -> Option<GrantId> {
        grants
            .filter(|(_, grant)| grant.pool == self.pool && !grant.asked_to_pause)
            .filter(|(_, grant)| grant.granted_ms + policy.min_run_ms <= now_ms)
            .map(|(id, grant)| (level_of(grant.workspace), grant.granted_ms, *id))
            .filter(|(level, ..)| *level - self.behind > self.allowed)
            .max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)).then(a.2.cmp(&b.2)))
            .map(|(.., id)| id)
    }
}
