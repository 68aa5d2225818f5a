//! Changes to the configuration, and how they are applied.

use super::spec::{EndpointSpec, KindSpec, PoolKind, PoolSpec, WorkspaceSpec};
use super::{FleetConfig, arena::NamedSpec};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::collections::HashSet;

/// One change. A `Put` adds the spec or replaces the spec of the same name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigChange {
    /// Adds or replaces a workspace.
    PutWorkspace(WorkspaceSpec),
    /// Removes a workspace.
    RetireWorkspace(String),
    /// Adds or replaces a pool.
    PutPool(PoolSpec),
    /// Removes a pool that has no endpoints left.
    RetirePool(String),
    /// Adds or replaces an endpoint.
    PutEndpoint(EndpointSpec),
    /// Removes an endpoint, which gets no new requests and finishes its running ones.
    RetireEndpoint(String),
    /// Adds or replaces a kind of request.
    PutKind(KindSpec),
    /// Removes a kind of request.
    RetireKind(String),
}

impl ConfigChange {
    /// Returns the type of the changed item, as operators name it.
    pub const fn subject(&self) -> &'static str {
        match self {
            Self::PutWorkspace(_) | Self::RetireWorkspace(_) => "workspace",
            Self::PutPool(_) | Self::RetirePool(_) => "pool",
            Self::PutEndpoint(_) | Self::RetireEndpoint(_) => "endpoint",
            Self::PutKind(_) | Self::RetireKind(_) => "kind",
        }
    }

    /// Returns the name of the changed item.
    pub fn name(&self) -> &str {
        match self {
            Self::PutWorkspace(spec) => spec.name(),
            Self::PutPool(spec) => spec.name(),
            Self::PutEndpoint(spec) => spec.name(),
            Self::PutKind(spec) => spec.name(),
            Self::RetireWorkspace(name)
            | Self::RetirePool(name)
            | Self::RetireEndpoint(name)
            | Self::RetireKind(name) => name,
        }
    }
}

/// One accepted change set, as stored in the platform's store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigEntry {
    /// The version that this entry creates.
    pub version: u64,
    /// The id of the confirmed plan.
    pub plan: String,
    /// The author, as given by whoever confirmed the plan.
    pub author: String,
    /// The time of confirmation by the confirming box's clock, in Unix milliseconds; shown to
    /// operators only.
    pub at_ms: u64,
    /// The changes, in the order in which they are applied.
    pub changes: Vec<ConfigChange>,
}

quick_error! {
    /// An error that keeps a change from being applied.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ChangeError {
        /// The item to retire does not exist.
        NotFound(subject: &'static str, name: String) {
            display("there is no {} named {}", subject, name)
        }
        /// An endpoint names a pool that does not exist.
        UnknownPool(endpoint: String, pool: String) {
            display("endpoint {} names pool {}, which does not exist", endpoint, pool)
        }
        /// A pool that still has endpoints is retired.
        PoolInUse(pool: String, endpoint: String) {
            display("pool {} still has endpoint {}", pool, endpoint)
        }
        /// A model is served by two engine pools.
        ModelInUse(model: String) {
            display("model {} is served by two pools", model)
        }
        /// A key belongs to two workspaces.
        KeyInUse(workspace: String) {
            display("workspace {} has the same key as another workspace", workspace)
        }
        /// An address belongs to two endpoints.
        AddressInUse(endpoint: String) {
            display("endpoint {} has the same address as another endpoint", endpoint)
        }
        /// An entry is not the successor of the current version.
        VersionGap(have: u64, got: u64) {
            display("version {} cannot follow version {}", got, have)
        }
    }
}

impl FleetConfig {
    /// Applies changes to a copy and validates the result. The version stays the same.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the result would violate.
    pub fn apply(&self, changes: &[ConfigChange]) -> Result<Self, ChangeError> {
        let mut config = self.clone();
        for change in changes {
            config.apply_one(change.clone())?;
        }
        config.check()?;
        Ok(config)
    }

    /// Applies the entry that creates the next version.
    ///
    /// # Errors
    ///
    /// Returns [`ChangeError::VersionGap`] for an entry out of order, or the rule that is violated.
    pub fn advance(&self, entry: &ConfigEntry) -> Result<Self, ChangeError> {
        if entry.version != self.version + 1 {
            return Err(ChangeError::VersionGap(self.version, entry.version));
        }
        let mut config = self.apply(&entry.changes)?;
        config.version = entry.version;
        Ok(config)
    }

    fn apply_one(&mut self, change: ConfigChange) -> Result<(), ChangeError> {
        let subject = change.subject();
        let found = match &change {
            ConfigChange::RetireWorkspace(name) => self.workspaces.remove(name),
            ConfigChange::RetirePool(name) => self.pools.remove(name),
            ConfigChange::RetireEndpoint(name) => self.endpoints.remove(name),
            ConfigChange::RetireKind(name) => self.kinds.remove(name),
            _ => true,
        };
        match change {
            ConfigChange::PutWorkspace(spec) => self.workspaces.put(spec),
            ConfigChange::PutPool(spec) => self.pools.put(spec),
            ConfigChange::PutEndpoint(spec) => self.endpoints.put(spec),
            ConfigChange::PutKind(spec) => self.kinds.put(spec),
            retire if !found => {
                return Err(ChangeError::NotFound(subject, retire.name().to_owned()));
            }
            _ => {}
        }
        Ok(())
    }

    fn check(&self) -> Result<(), ChangeError> {
        self.check_endpoints()?;
        self.check_models()?;
        self.check_keys()
    }

    fn check_endpoints(&self) -> Result<(), ChangeError> {
        let mut addresses = HashSet::new();
        for (_, endpoint) in self.endpoints.iter() {
            if self.pools.find(&endpoint.pool).is_none() {
                let (name, pool) = (endpoint.name.clone(), endpoint.pool.clone());
                return Err(ChangeError::UnknownPool(name, pool));
            }
            if !addresses.insert(endpoint.address) {
                return Err(ChangeError::AddressInUse(endpoint.name.clone()));
            }
        }
        Ok(())
    }

    fn check_models(&self) -> Result<(), ChangeError> {
        let mut models = HashSet::new();
        self.pools
            .iter()
            .filter(|(_, pool)| pool.kind == PoolKind::Engine)
            .flat_map(|(_, pool)| &pool.models)
            .find(|model| !models.insert(*model))
            .map_or(Ok(()), |model| Err(ChangeError::ModelInUse(model.clone())))
    }

    fn check_keys(&self) -> Result<(), ChangeError> {
        let mut hashes = HashSet::new();
        for (_, workspace) in self.workspaces.iter() {
            for hash in &workspace.key_hashes {
                if !hashes.insert(hash.to_string()) {
                    return Err(ChangeError::KeyInUse(workspace.name.clone()));
                }
            }
        }
        Ok(())
    }
}
