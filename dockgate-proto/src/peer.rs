//! What daemons say to each other.
//!
//! The forms are short on purpose: control traffic is one of the three things that users measure.

use dockgate_core::{
    AdoptedGrant, EndpointKey, FleetConfig, GrantId, Incarnation, LedgerReport, PoolKey,
    WorkspaceKey,
};
use serde::{Deserialize, Serialize};

/// Names of the JSON-RPC methods between peers.
pub mod methods {
    /// Opens a link: [`HelloRequest`](super::HelloRequest) to [`HelloReply`](super::HelloReply).
    pub const HELLO: &str = "hello";
    /// Hands over a batch: [`ExchangeRequest`](super::ExchangeRequest) to a list of messages.
    pub const EXCHANGE: &str = "x";
    /// Asks for the configuration: a version to [`ConfigAnswer`](super::ConfigAnswer).
    pub const CONFIG: &str = "config";
    /// Asks for routes and endpoints: [`StateRequest`](crate::StateRequest) to
    /// [`StateAnswer`](crate::StateAnswer).
    pub const STATE: &str = "state";
    /// Lists the requests in quarantine, and releases one:
    /// [`QuarantineRequest`](crate::QuarantineRequest) to
    /// [`QuarantineAnswer`](crate::QuarantineAnswer).
    pub const QUARANTINE: &str = "quarantine";
}

/// One message from an entry to a scheduler, back, or among schedulers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Entry to scheduler: how many requests wait, how many grants were seen, and for how many
    /// milliseconds the oldest has waited.
    #[serde(rename = "s")]
    SlotRequest(PoolKey, WorkspaceKey, u32, u32, u32),
    /// Scheduler to entry: a slot on an endpoint for one request.
    #[serde(rename = "g")]
    Grant(GrantId, PoolKey, WorkspaceKey, EndpointKey),
    /// Entry to scheduler: the cost so far of a request that goes on, in service units.
    #[serde(rename = "p")]
    Progress(GrantId, u64),
    /// Entry to scheduler: the cost of a request that has ended, in service units.
    #[serde(rename = "t")]
    Settle(GrantId, u64),
    /// Entry to scheduler: the endpoint refused, as it is full.
    #[serde(rename = "r")]
    Refused(GrantId),
    /// Entry to scheduler: the endpoint refused, and asked to be sent nothing for so many milliseconds.
    #[serde(rename = "w")]
    Backoff(GrantId, u32),
    /// Entry to scheduler: the endpoint could not be reached or was lost, and the cost so far.
    #[serde(rename = "e")]
    Lost(GrantId, u64),
    /// Scheduler to entry: the slot of this grant is wanted by a workspace further behind.
    #[serde(rename = "z")]
    Pause(GrantId),
    /// Entry to scheduler: a request that runs on an endpoint which the scheduler now owns.
    #[serde(rename = "a")]
    Adopt(GrantId, PoolKey, WorkspaceKey, EndpointKey, u64),
    /// Scheduler to entries: free slots of a pool.
    #[serde(rename = "f")]
    FreeSlots(PoolKey, u32),
    /// Scheduler to scheduler: service given.
    #[serde(rename = "l")]
    Ledger(LedgerReport),
    /// To all: the sender is about to stop and schedules no endpoint any more.
    #[serde(rename = "b")]
    Leaving,
}

impl PeerMessage {
    /// Returns the step of a request's way that this message belongs to, for logs and metrics.
    pub const fn step(&self) -> &'static str {
        match self {
            Self::SlotRequest(..) => "seek",
            Self::Grant(..) => "grant",
            Self::Progress(..) => "progress",
            Self::Settle(..) => "settle",
            Self::Refused(_) => "refused",
            Self::Backoff(..) => "resting",
            Self::Lost(..) => "lost",
            Self::Pause(_) => "pause",
            Self::Adopt(..) => "adopt",
            Self::FreeSlots(..) => "free",
            Self::Ledger(_) => "ledger",
            Self::Leaving => "leaving",
        }
    }
}

impl From<AdoptedGrant> for PeerMessage {
    fn from(grant: AdoptedGrant) -> Self {
        Self::Adopt(
            grant.id,
            grant.pool,
            grant.workspace,
            grant.endpoint,
            grant.charged as u64,
        )
    }
}

/// A batch of messages.
pub type ExchangeRequest = Vec<PeerMessage>;

/// Opens a link: replaces all that the receiver knew of the sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HelloRequest {
    /// Settles that an earlier link did not deliver.
    pub settles: Vec<PeerMessage>,
    /// What runs on endpoints that the receiver schedules.
    pub adopts: Vec<PeerMessage>,
    /// Whether the sender has no memory yet and wants every sum of service.
    pub wants_ledger: bool,
}

/// The answer to [`HelloRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HelloReply {
    /// The incarnation of the daemon that answers.
    pub incarnation: Incarnation,
    /// The version of its configuration.
    pub config_version: u64,
    /// Sums of service, if they were asked for.
    pub ledger: Vec<LedgerReport>,
    /// Its free slots.
    pub free: Vec<PeerMessage>,
}

/// The configuration as a peer has it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigAnswer {
    /// The configuration, if it is newer than the one asked about.
    pub config: Option<FleetConfig>,
}
