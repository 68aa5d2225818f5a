//! Specs declared by operators: workspaces, pools, endpoints and kinds of request.

use super::arena::NamedSpec;
use super::key_hash::KeyHash;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The valid shares of a workspace.
pub(super) const SHARE_RANGE: std::ops::RangeInclusive<u32> = 1..=10_000;
/// The valid priorities; a higher priority goes first inside its workspace.
pub(super) const PRIORITY_RANGE: std::ops::RangeInclusive<u8> = 0..=9;
/// The valid numbers of slots of an endpoint.
pub(super) const SLOT_RANGE: std::ops::RangeInclusive<u32> = 1..=4_096;
/// The valid queue limits of a workspace, in requests per box.
pub(super) const QUEUE_LIMIT_RANGE: std::ops::RangeInclusive<u32> = 1..=100_000;

/// A workspace: a group of callers with a share of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceSpec {
    /// The unique name.
    pub name: String,
    /// The weight relative to other workspaces, from 1 to 10,000.
    pub share: u32,
    /// The default priority of its requests inside the workspace, from 0 to 9.
    pub priority: u8,
    /// Hashes of its API keys.
    pub key_hashes: Vec<KeyHash>,
    /// The maximum number of requests that wait at one box.
    pub queue_limit: u32,
}

/// The type of a pool's endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines that serve the chat-completions API.
    Engine,
    /// Plain HTTP services.
    Service,
}

/// Weights that convert usage of a pool into service units.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct CostRule {
    /// Service units per token of the prompt.
    pub input_weight: f64,
    /// Service units per token of the answer.
    pub output_weight: f64,
    /// Service units per millisecond of slot time, for plain HTTP services.
    pub slot_ms_weight: f64,
}

/// A pool of interchangeable endpoints.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolSpec {
    /// The unique name; for services also the path segment.
    pub name: String,
    /// The type of its endpoints.
    pub kind: PoolKind,
    /// The weights of its service units.
    pub cost: CostRule,
    /// The models that its engines serve.
    pub models: Vec<String>,
    /// Whether its engines can resume a stream by `resume_from`, the number of tokens already sent.
    #[serde(default)]
    pub resumes: bool,
}

/// An endpoint: one model engine or plain HTTP service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointSpec {
    /// The unique name.
    pub name: String,
    /// The pool that it belongs to.
    pub pool: String,
    /// Its failure domain.
    pub domain: String,
    /// The default address.
    pub address: SocketAddr,
    /// Addresses that replace the default one, by the failure domain of the calling box.
    pub domain_addresses: BTreeMap<String, SocketAddr>,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// Whether its refusals (429 and 503) guarantee that the request was not executed.
    pub honest_refusal: bool,
}

impl EndpointSpec {
    /// Returns the address that boxes of a failure domain use for this endpoint.
    pub fn address_from(&self, domain: &str) -> SocketAddr {
        self.domain_addresses
            .get(domain)
            .copied()
            .unwrap_or(self.address)
    }
}

/// A kind of request, named by callers in `Dockgate-Kind`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KindSpec {
    /// The unique name.
    pub name: String,
    /// Whether a request of this kind may be sent to a second endpoint.
    pub repeatable: bool,
}

macro_rules! named_spec {
    ($($spec:ty),+) => {
        $(impl NamedSpec for $spec {
            fn name(&self) -> &str {
                &self.name
            }
        })+
    };
}

named_spec!(WorkspaceSpec, PoolSpec, EndpointSpec, KindSpec);
