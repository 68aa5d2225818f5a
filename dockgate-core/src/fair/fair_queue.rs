//! The order in which the waiting workspaces of one pool are granted slots.

use crate::ids::WorkspaceKey;
use std::collections::{BTreeSet, HashMap};

/// How held slots count in the order key of a workspace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OrderPolicy {
    /// The time for which a held slot is charged in advance, in seconds.
    pub horizon_s: f64,
}

impl OrderPolicy {
    /// Returns the level plus the service that held slots are expected to take within the horizon.
    ///
    /// Each of the pool's `schedulers` is assumed to hold `held` slots for the workspace. `rate` is
    /// in service units per second and held slot.
    pub fn order_key(self, level: f64, held: u32, share: u32, schedulers: u32, rate: f64) -> f64 {
        let expected = f64::from(held) * f64::from(schedulers.max(1)) * rate * self.horizon_s;
        level + expected / f64::from(share.max(1))
    }
}

/// The waiting workspaces of one pool, lowest order key first.
///
/// Insertion, removal and lookup of the first take time logarithmic in the number of workspaces.
#[derive(Debug, Default)]
pub struct FairQueue {
    order: BTreeSet<(u64, WorkspaceKey)>,
    keys: HashMap<WorkspaceKey, u64>,
}

impl FairQueue {
    /// Inserts or moves a workspace at an order key. Negative keys count as zero.
    pub fn insert(&mut self, workspace: WorkspaceKey, order_key: f64) {
        // The bit patterns of non-negative floats sort like the floats.
        let bits = order_key.max(0.0).to_bits();
        self.remove(workspace);
        self.keys.insert(workspace, bits);
        self.order.insert((bits, workspace));
    }

    /// Removes a workspace.
    pub fn remove(&mut self, workspace: WorkspaceKey) {
        if let Some(bits) = self.keys.remove(&workspace) {
            self.order.remove(&(bits, workspace));
        }
    }

    /// Returns the workspace with the lowest order key.
    pub fn first(&self) -> Option<WorkspaceKey> {
        self.order.first().map(|(_, workspace)| *workspace)
    }

    /// Returns the number of waiting workspaces.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns whether no workspace waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns the workspaces, lowest order key first.
    pub fn iter(&self) -> impl Iterator<Item = WorkspaceKey> {
        self.order.iter().map(|(_, workspace)| *workspace)
    }
}

#[cfg(test)]
mod tests;
