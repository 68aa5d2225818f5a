//! The grants that a scheduler has given out and not seen settled.

use crate::ids::{BoxKey, EndpointKey, GrantId, PoolKey, WorkspaceKey};
use std::collections::HashMap;

/// A slot given to an entry for one request of a workspace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HeldGrant {
    /// The box whose caller it serves.
    pub entry: BoxKey,
    /// The pool.
    pub pool: PoolKey,
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// When it was given, in milliseconds.
    pub granted_ms: u64,
    /// Whether its entry has been asked to pause it.
    pub asked_to_pause: bool,
    /// Service units charged so far.
    pub charged: f64,
    /// When it lapses unless the entry reports on it, in milliseconds.
    pub expires_ms: u64,
}

/// Holds grants by their id.
#[derive(Debug, Default)]
pub struct GrantTable {
    grants: HashMap<GrantId, HeldGrant>,
}

impl GrantTable {
    /// Adds a grant; returns false where the id is known already.
    pub fn insert(&mut self, id: GrantId, grant: HeldGrant) -> bool {
        self.grants.insert(id, grant).is_none()
    }

    /// Tells whether a grant is held.
    pub fn contains(&self, id: GrantId) -> bool {
        self.grants.contains_key(&id)
    }

    /// Returns a grant of an entry, to be changed.
    pub fn get_mut(&mut self, id: GrantId, entry: BoxKey) -> Option<&mut HeldGrant> {
        self.grants
            .get_mut(&id)
            .filter(|grant| grant.entry == entry)
    }

    /// Notes that a grant's entry is asked to pause it.
    pub fn mark_asked(&mut self, id: GrantId) -> Option<HeldGrant> {
        let grant = self.grants.get_mut(&id)?;
        grant.asked_to_pause = true;
        Some(*grant)
    }

    /// Takes a grant out.
    pub fn remove(&mut self, id: GrantId) -> Option<HeldGrant> {
        self.grants.remove(&id)
    }

    /// Takes out every grant that `gone` accepts.
    pub fn remove_where(&mut self, gone: impl Fn(&HeldGrant) -> bool) -> Vec<HeldGrant> {
        self.grants
            .extract_if(|_, grant| gone(grant))
            .map(|(_, grant)| grant)
            .collect()
    }

    /// Returns how many grants are held.
    pub fn len(&self) -> usize {
        self.grants.len()
    }

    /// Tells whether none is held.
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }

    /// Returns every grant.
    pub fn iter(&self) -> impl Iterator<Item = (&GrantId, &HeldGrant)> {
        self.grants.iter()
    }
}
