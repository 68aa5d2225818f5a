//! The grants of a scheduler that are not yet settled.

use crate::ids::{BoxKey, EndpointKey, GrantId, PoolKey, WorkspaceKey};
use std::collections::HashMap;

/// A slot granted to an entry for one request of a workspace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HeldGrant {
    /// The box that runs the request.
    pub entry: BoxKey,
    /// The pool.
    pub pool: PoolKey,
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The time of the grant, in milliseconds.
    pub granted_ms: u64,
    /// Whether the entry has been asked to pause the request.
    pub pause_requested: bool,
    /// The service units charged so far.
    pub charged: f64,
    /// The time at which the grant expires without a report of the entry, in milliseconds.
    pub expires_ms: u64,
}

/// The grants held, by id.
#[derive(Debug, Default)]
pub struct GrantTable {
    grants: HashMap<GrantId, HeldGrant>,
}

impl GrantTable {
    /// Adds a grant. Returns false if it replaced one with the same id.
    pub fn insert(&mut self, id: GrantId, grant: HeldGrant) -> bool {
        self.grants.insert(id, grant).is_none()
    }

    /// Returns whether a grant is held.
    pub fn contains(&self, id: GrantId) -> bool {
        self.grants.contains_key(&id)
    }

    /// Returns a grant if this entry holds it.
    pub fn get_mut(&mut self, id: GrantId, entry: BoxKey) -> Option<&mut HeldGrant> {
        self.grants
            .get_mut(&id)
            .filter(|grant| grant.entry == entry)
    }

    /// Marks a grant as asked to pause.
    pub fn mark_pause_requested(&mut self, id: GrantId) -> Option<HeldGrant> {
        let grant = self.grants.get_mut(&id)?;
        grant.pause_requested = true;
        Some(*grant)
    }

    /// Removes a grant.
    pub fn remove(&mut self, id: GrantId) -> Option<HeldGrant> {
        self.grants.remove(&id)
    }

    /// Removes and returns every grant that matches `predicate`.
    pub fn remove_where(&mut self, predicate: impl Fn(&HeldGrant) -> bool) -> Vec<HeldGrant> {
        self.grants
            .extract_if(|_, grant| predicate(grant))
            .map(|(_, grant)| grant)
            .collect()
    }

    /// Returns the number of grants.
    pub fn len(&self) -> usize {
        self.grants.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }

    /// Returns an iterator over the grants.
    pub fn iter(&self) -> impl Iterator<Item = (&GrantId, &HeldGrant)> {
        self.grants.iter()
    }
}
