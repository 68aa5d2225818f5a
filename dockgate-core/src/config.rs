//! The fleet's configuration, as one immutable value per version.

mod arena;
mod change;
mod declaration;
mod key_hash;
mod spec;

pub use arena::SpecArena;
pub use change::{ChangeError, ConfigChange, ConfigEntry};
pub use declaration::{Declaration, parse_declaration};
pub use key_hash::KeyHash;
pub use spec::{CostRule, EndpointSpec, KindSpec, PoolKind, PoolSpec, WorkspaceSpec};

use crate::ids::{EndpointKey, KindKey, PoolKey, WorkspaceKey};
use serde::{Deserialize, Serialize};

/// The accepted configuration of one version.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetConfig {
    /// The number of the last change set applied; zero for the empty configuration.
    pub version: u64,
    /// The workspaces that share the fleet.
    pub workspaces: SpecArena<WorkspaceKey, WorkspaceSpec>,
    /// The pools of endpoints.
    pub pools: SpecArena<PoolKey, PoolSpec>,
    /// The endpoints.
    pub endpoints: SpecArena<EndpointKey, EndpointSpec>,
    /// The kinds of request.
    pub kinds: SpecArena<KindKey, KindSpec>,
}

impl FleetConfig {
    /// Finds the workspace that owns an API key, comparing hashes in constant time.
    pub fn workspace_of_key(&self, api_key: &str) -> Option<WorkspaceKey> {
        let hash = KeyHash::of(api_key);
        self.workspaces
            .iter()
            .find(|(_, spec)| spec.key_hashes.iter().any(|known| known.matches(hash)))
            .map(|(key, _)| key)
    }

    /// Finds the engine pool that serves a model.
    pub fn pool_of_model(&self, model: &str) -> Option<PoolKey> {
        self.pools
            .iter()
            .find(|(_, spec)| {
                spec.kind == PoolKind::Engine && spec.models.iter().any(|known| known == model)
            })
            .map(|(key, _)| key)
    }

    /// Finds a pool of plain HTTP services by its name.
    pub fn pool_of_service(&self, name: &str) -> Option<PoolKey> {
        let key = self.pools.find(name)?;
        let spec = self.pools.get(key)?;
        (spec.kind == PoolKind::Service).then_some(key)
    }

    /// Returns the endpoints of a pool.
    pub fn endpoints_of(
        &self,
        pool: PoolKey,
    ) -> impl Iterator<Item = (EndpointKey, &EndpointSpec)> {
        let name = self.pools.get(pool).map(|spec| spec.name.as_str());
        self.endpoints
            .iter()
            .filter(move |(_, spec)| Some(spec.pool.as_str()) == name)
    }

    /// Returns the sum of the shares of all workspaces.
    pub fn total_share(&self) -> u64 {
        self.workspaces
            .iter()
            .map(|(_, spec)| u64::from(spec.share))
            .sum()
    }
}
