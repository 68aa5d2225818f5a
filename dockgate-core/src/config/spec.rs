//! What operators declare: workspaces, pools, endpoints and kinds of request.

use super::arena::NamedSpec;
use super::key_hash::KeyHash;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The shares that may be declared.
pub(super) const SHARES: std::ops::RangeInclusive<u32> = 1..=10_000;
/// The priorities that may be declared; higher goes first inside its workspace.
pub(super) const PRIORITIES: std::ops::RangeInclusive<u8> = 0..=9;
/// The slots that an endpoint may have.
pub(super) const SLOTS: std::ops::RangeInclusive<u32> = 1..=4_096;
/// The longest queue of one workspace at one box.
pub(super) const QUEUE_LIMITS: std::ops::RangeInclusive<u32> = 1..=100_000;

/// A workspace: who calls, and for which share of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceSpec {
    /// The name, one of its kind.
    pub name: String,
    /// The weight against other workspaces, 1 to 10,000.
    pub share: u32,
    /// The priority of its requests inside the workspace where a request names none, 0 to 9.
    pub priority: u8,
    /// Hashes of the API keys that act for it.
    pub key_hashes: Vec<KeyHash>,
    /// How many requests may wait at one box.
    pub queue_limit: u32,
}

/// What stands behind a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines that speak the chat-completions API.
    Engine,
    /// Plain HTTP services.
    Service,
}

/// How the service given by a pool is counted.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct CostRule {
    /// Service units for a token of the prompt.
    pub input_weight: f64,
    /// Service units for a token of the answer.
    pub output_weight: f64,
    /// Service units for a millisecond of slot time (plain services).
    pub slot_ms_weight: f64,
}

/// A pool: endpoints that can stand in for each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolSpec {
    /// The name, one of its kind; for services also the path segment.
    pub name: String,
    /// What stands behind it.
    pub kind: PoolKind,
    /// How its service is counted.
    pub cost: CostRule,
    /// The models that its engines serve.
    pub models: Vec<String>,
    /// Whether its engines resume a stream by `resume_from`, the number of tokens already sent.
    #[serde(default)]
    pub resumes: bool,
}

/// An endpoint: one model engine or plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointSpec {
    /// The name, one of its kind.
    pub name: String,
    /// The pool it belongs to.
    pub pool: String,
    /// The failure domain it stands in.
    pub domain: String,
    /// The address, by IP number.
    pub address: SocketAddr,
    /// Other addresses, by the failure domain of the box that calls.
    pub domain_addresses: BTreeMap<String, SocketAddr>,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether its refusals (429 and 503) mean that it has not started.
    pub honest_refusal: bool,
}

impl EndpointSpec {
    /// Returns the address at which boxes of a failure domain reach this endpoint.
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
    /// The name, one of its kind.
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
