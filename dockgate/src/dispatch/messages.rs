//! Messages to the control actor.

use crate::members::MemberBox;
use dockgate_core::{BoxKey, FleetConfig, GrantId, SlotOutcome, WaitingRequest};
use dockgate_proto::operator::StatusReply;
use dockgate_proto::{HelloReply, HelloRequest, PeerMessage};
use std::sync::Arc;
use tokio::sync::oneshot;

use super::handle::{BindReply, DispatchHandle};

/// Gives the actor a handle on itself; the first message that it gets.
pub(super) struct Started(pub(super) DispatchHandle);

/// Queues a request.
pub(super) struct Enqueue {
    pub(super) request: WaitingRequest,
    pub(super) limit: usize,
    pub(super) reply: oneshot::Sender<BindReply>,
}

/// Takes a waiting request out.
pub(super) struct Cancel(pub(super) u64);

/// Notes the cost of a running request.
pub(super) struct Progress(pub(super) GrantId, pub(super) f64);

/// Ends a running request.
pub(super) struct Finish(pub(super) GrantId, pub(super) f64, pub(super) SlotOutcome);

/// A batch from a peer; answered with messages for that peer.
pub(crate) struct PeerBatch {
    /// The peer.
    pub(crate) from: BoxKey,
    /// Its messages.
    pub(crate) messages: Vec<PeerMessage>,
}

/// A peer opens its link to this box.
pub(crate) struct PeerHello {
    /// The peer.
    pub(crate) from: BoxKey,
    /// What it tells.
    pub(crate) request: HelloRequest,
}

/// Asks what to tell a peer when a link to it opens.
pub(super) struct PrepareHello(pub(super) BoxKey);

/// A link to a peer is open.
pub(super) struct LinkUp(pub(super) BoxKey, pub(super) HelloReply);

/// What was lost with a link.
pub(crate) struct LinkFailure {
    /// The peer.
    pub(crate) peer: BoxKey,
    /// What was not delivered, or perhaps not.
    pub(crate) undelivered: Vec<PeerMessage>,
    /// Why.
    pub(crate) reason: String,
}

/// The list of boxes has changed.
pub(super) struct SetMembers(pub(super) Vec<MemberBox>);

/// A newer configuration is in force.
pub(super) struct SetConfig(pub(super) Arc<FleetConfig>);

/// Time has passed.
pub(super) struct Tick;

/// Hands over the endpoints, as the daemon is about to stop.
pub(super) struct Leave;

/// Asks for the state of the box.
pub(super) struct Status;

/// The answer to [`Status`], to be completed by the operator door.
pub(super) type StatusAnswer = StatusReply;
