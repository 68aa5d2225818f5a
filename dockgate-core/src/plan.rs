//! Plans: configuration changes with their effects, for review before they are committed.

use crate::config::{ChangeError, ConfigChange, FleetConfig};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Identifies a plan by a hash of its base version and changes, so that repeating a request on the
/// same version yields the same plan.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PlanId(pub String);

impl fmt::Display for PlanId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The share of a workspace before and after a plan, as fractions of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareEffect {
    /// The name of the workspace.
    pub workspace: String,
    /// Its fraction in the base version; zero for a new workspace.
    pub before: f64,
    /// Its fraction after the plan; zero for a retired workspace.
    pub after: f64,
}

/// The effects of a plan on the fleet.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanEffect {
    /// The shares that change.
    pub shares: Vec<ShareEffect>,
    /// Endpoints that get no new requests and finish their running ones.
    pub drained: Vec<String>,
    /// Descriptions of the requests that are refused only after the plan.
    pub refused: Vec<String>,
    /// Slots of the whole fleet, before and after.
    pub slots: (u64, u64),
}

/// A set of changes and their effects, valid for one base version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigPlan {
    /// The id of the plan.
    pub id: PlanId,
    /// The version that the changes apply to.
    pub base: u64,
    /// The changes.
    pub changes: Vec<ConfigChange>,
    /// The effects of the changes.
    pub effect: PlanEffect,
}

impl ConfigPlan {
    /// Creates a plan and computes its effects.
    ///
    /// # Errors
    ///
    /// Returns the rule that the changes would violate.
    pub fn new(config: &FleetConfig, changes: Vec<ConfigChange>) -> Result<Self, ChangeError> {
        let after = config.apply(&changes)?;
        Ok(Self {
            id: plan_id(config.version, &changes),
            base: config.version,
            effect: PlanEffect {
                shares: share_effects(config, &after),
                drained: drained_endpoints(&changes, config),
                refused: refused_requests(config, &after),
                slots: (total_slots(config), total_slots(&after)),
            },
            changes,
        })
    }
}

fn plan_id(base: u64, changes: &[ConfigChange]) -> PlanId {
    const ID_DIGITS: usize = 16;
    let text = serde_json::to_string(&(base, changes)).unwrap_or_default();
    let hash = blake3::hash(text.as_bytes()).to_hex();
    PlanId(hash[..ID_DIGITS].to_owned())
}

fn total_slots(config: &FleetConfig) -> u64 {
    config
        .endpoints
        .iter()
        .map(|(_, endpoint)| u64::from(endpoint.slots))
        .sum()
}

fn share_of(config: &FleetConfig, name: &str) -> f64 {
    let share = config
        .workspaces
        .get_by_name(name)
        .map_or(0, |spec| spec.share);
    match config.total_share() {
        0 => 0.0,
        total => f64::from(share) / total as f64,
    }
}

fn share_effects(before: &FleetConfig, after: &FleetConfig) -> Vec<ShareEffect> {
    let mut names: Vec<&str> = before
        .workspaces
        .iter()
        .chain(after.workspaces.iter())
        .map(|(_, spec)| spec.name.as_str())
        .collect();
    names.sort_unstable();
    names.dedup();
    names
        .into_iter()
        .map(|name| ShareEffect {
            workspace: name.to_owned(),
            before: share_of(before, name),
            after: share_of(after, name),
        })
        .filter(|effect| effect.before != effect.after)
        .collect()
}

fn drained_endpoints(changes: &[ConfigChange], config: &FleetConfig) -> Vec<String> {
    let drains = |change: &&ConfigChange| match change {
        ConfigChange::RetireEndpoint(_) => true,
        ConfigChange::PutEndpoint(spec) => config
            .endpoints
            .get_by_name(&spec.name)
            .is_some_and(|current| current.pool != spec.pool || current.address != spec.address),
        _ => false,
    };
    changes
        .iter()
        .filter(drains)
        .map(|change| change.name().to_owned())
        .collect()
}

/// Describes the pools and workspaces whose requests are refused only after the changes.
fn refused_requests(before: &FleetConfig, after: &FleetConfig) -> Vec<String> {
    let pools = before
        .pools
        .iter()
        .filter(|(key, _)| before.endpoints_of(*key).next().is_some())
        .filter(|(key, _)| after.endpoints_of(*key).next().is_none())
        .map(|(_, pool)| format!("every request for pool {}", pool.name));
    let workspaces = before
        .workspaces
        .iter()
        .filter(|(_, spec)| after.workspaces.find(&spec.name).is_none())
        .map(|(_, spec)| format!("every request of workspace {}", spec.name));
    pools.chain(workspaces).collect()
}

#[cfg(test)]
mod tests;
