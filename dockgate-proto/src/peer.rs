//! Messages between daemons.
//!
//! The serialized names are short to keep the control traffic small.

use dockgate_core::{
    AdoptedGrant, EndpointKey, FleetConfig, GrantId, Incarnation, LedgerReport, PoolKey,
    WorkspaceKey,
};
use serde::{Deserialize, Serialize};

/// Names of the JSON-RPC methods between peers.
pub mod methods {
    /// Opens a link: [`HelloRequest`](super::HelloRequest) to [`HelloReply`](super::HelloReply).
    pub const HELLO: &str = "hello";
    /// Delivers a batch: [`ExchangeRequest`](super::ExchangeRequest) to a list of messages.
    pub const EXCHANGE: &str = "x";
    /// Requests the configuration: a version to [`ConfigAnswer`](super::ConfigAnswer).
    pub const CONFIG: &str = "config";
    /// Requests routes and endpoints: [`StateRequest`](crate::StateRequest) to
    /// [`StateAnswer`](crate::StateAnswer).
    pub const STATE: &str = "state";
    /// Lists what is in quarantine, and optionally releases one entry:
    /// [`QuarantineRequest`](crate::QuarantineRequest) to
    /// [`QuarantineAnswer`](crate::QuarantineAnswer).
    pub const QUARANTINE: &str = "quarantine";
}

/// One message between an entry and a scheduler, or between schedulers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Entry to scheduler: the number of waiting requests, the number of grants received, and how
    /// long the oldest request has waited, in milliseconds.
    #[serde(rename = "s")]
    SlotRequest(PoolKey, WorkspaceKey, u32, u32, u32),
    /// Scheduler to entry: a slot on an endpoint for one request.
    #[serde(rename = "g")]
    Grant(GrantId, PoolKey, WorkspaceKey, EndpointKey),
    /// Entry to scheduler: the cost so far of a running request, in service units.
    #[serde(rename = "p")]
    Progress(GrantId, u64),
    /// Entry to scheduler: the final cost of an ended request, in service units.
    #[serde(rename = "t")]
    Settle(GrantId, u64),
    /// Entry to scheduler: the endpoint refused the request because it is full.
    #[serde(rename = "r")]
    Refused(GrantId),
    /// Entry to scheduler: the endpoint refused the request and asked for a backoff, in
    /// milliseconds.
    #[serde(rename = "w")]
    Backoff(GrantId, u32),
    /// Entry to scheduler: the endpoint was unreachable or lost; with the cost so far, in service
    /// units.
    #[serde(rename = "e")]
    Lost(GrantId, u64),
    /// Scheduler to entry: pause the request of this grant, because a workspace further below its
    /// share needs the slot.
    #[serde(rename = "z")]
    Pause(GrantId),
    /// Entry to scheduler: a request that runs on an endpoint that the scheduler now owns, with the
    /// cost charged so far.
    #[serde(rename = "a")]
    Adopt(GrantId, PoolKey, WorkspaceKey, EndpointKey, u64),
    /// Scheduler to entries: the number of free slots of a pool.
    #[serde(rename = "f")]
    FreeSlots(PoolKey, u32),
    /// Scheduler to scheduler: the service that workspaces received.
    #[serde(rename = "l")]
    Ledger(LedgerReport),
    /// To all: the sender is about to stop and no longer schedules endpoints.
    #[serde(rename = "b")]
    Leaving,
}

impl PeerMessage {
    /// Returns the name of the message in logs and metrics.
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

/// Opens a link. Replaces all state that the receiver has of the sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HelloRequest {
    /// [`PeerMessage::Settle`] messages that an earlier link did not deliver.
    pub settles: Vec<PeerMessage>,
    /// [`PeerMessage::Adopt`] messages for requests that run on endpoints of the receiver.
    pub adopts: Vec<PeerMessage>,
    /// Whether the sender has no ledger yet and requests all sums of service.
    pub wants_ledger: bool,
}

/// The reply to [`HelloRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HelloReply {
    /// The incarnation of the replying daemon.
    pub incarnation: Incarnation,
    /// The version of its configuration.
    pub config_version: u64,
    /// Sums of service, if they were requested.
    pub ledger: Vec<LedgerReport>,
    /// Its free slots, as [`PeerMessage::FreeSlots`] messages.
    pub free: Vec<PeerMessage>,
}

/// The configuration of a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigAnswer {
    /// The configuration, if it is newer than the requested version.
    pub config: Option<FleetConfig>,
}
