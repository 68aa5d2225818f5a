//! The order in which backlogged workspaces of one pool are granted slots.

use crate::ids::WorkspaceKey;
use std::collections::{BTreeSet, HashMap};

/// What the order key adds to the service delivered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OrderPolicy {
    /// For how many seconds ahead a held slot is charged.
    pub horizon_s: f64,
}

impl OrderPolicy {
    /// Returns the level plus what the slots held here will take within the horizon, scaled to the
    /// fleet: every scheduler is assumed to hold as many.
    ///
    /// `rate` is service units a second for one held slot, `schedulers` how many schedule the pool.
    pub fn order_key(self, level: f64, held: u32, share: u32, schedulers: u32, rate: f64) -> f64 {
        let ahead = f64::from(held) * f64::from(schedulers.max(1)) * rate * self.horizon_s;
        level + ahead / f64::from(share.max(1))
    }
}

/// The workspaces of one pool that have work waiting, furthest behind first.
///
/// Insertion, removal and the pick take time logarithmic in the number of workspaces.
#[derive(Debug, Default)]
pub struct FairQueue {
    order: BTreeSet<(u64, WorkspaceKey)>,
    keys: HashMap<WorkspaceKey, u64>,
}

impl FairQueue {
    /// Puts a workspace at its order key, which must not be negative.
    pub fn put(&mut self, workspace: WorkspaceKey, order_key: f64) {
        // The bits of non-negative floats sort as the floats do.
        let bits = order_key.max(0.0).to_bits();
        self.remove(workspace);
        self.keys.insert(workspace, bits);
        self.order.insert((bits, workspace));
    }

    /// Takes a workspace out.
    pub fn remove(&mut self, workspace: WorkspaceKey) {
        if let Some(bits) = self.keys.remove(&workspace) {
            self.order.remove(&(bits, workspace));
        }
    }

    /// Returns the workspace furthest behind.
    pub fn first(&self) -> Option<WorkspaceKey> {
        self.order.first().map(|(_, workspace)| *workspace)
    }

    /// Returns how many workspaces wait.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Tells whether none waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns every workspace, furthest behind first.
    pub fn iter(&self) -> impl Iterator<Item = WorkspaceKey> {
        self.order.iter().map(|(_, workspace)| *workspace)
    }
}

#[cfg(test)]
mod tests;
