//! Messages to the control actor.

use crate::members::MemberBox;
use dockgate_core::{BoxKey, FleetConfig, GrantId, SlotOutcome, WaitingRequest};
use dockgate_proto::operator::StatusReply;
use dockgate_proto::{HelloReply, HelloRequest, PeerMessage};
use std::sync::Arc;
use tokio::sync::oneshot;

use super::handle::{BindReply, DispatchHandle};

/// The first message to the actor, with a handle to itself.
pub(super) struct Started(pub(super) DispatchHandle);

/// Queues a request.
pub(super) struct Enqueue {
    pub(super) request: WaitingRequest,
    pub(super) queue_limit: usize,
    pub(super) reply: oneshot::Sender<BindReply>,
}

/// Removes a waiting request.
pub(super) struct Cancel(pub(super) u64);

/// Reports the cost so far of a running request.
pub(super) struct Progress(pub(super) GrantId, pub(super) f64);

/// Reports the end of a running request, with its cost and the state of its endpoint.
pub(super) struct Finish(pub(super) GrantId, pub(super) f64, pub(super) SlotOutcome);

/// A batch of a peer, which is answered with messages for that peer.
pub(crate) struct PeerBatch {
    /// The peer.
    pub(crate) from: BoxKey,
    /// Its messages.
    pub(crate) messages: Vec<PeerMessage>,
}

/// The hello of a peer that opens a link to this box.
pub(crate) struct PeerHello {
    /// The peer.
    pub(crate) from: BoxKey,
    /// Its hello.
    pub(crate) request: HelloRequest,
}

/// Requests the hello for a peer to which a link opens.
pub(super) struct PrepareHello(pub(super) BoxKey);

/// A link to a peer is open.
pub(super) struct LinkUp(pub(super) BoxKey, pub(super) HelloReply);

/// The failure of a link.
pub(crate) struct LinkFailure {
    /// The peer.
    pub(crate) peer: BoxKey,
    /// The messages that may not have been delivered.
    pub(crate) undelivered: Vec<PeerMessage>,
    /// The cause.
    pub(crate) reason: String,
}

/// Replaces the list of boxes.
pub(super) struct SetMembers(pub(super) Vec<MemberBox>);

/// Replaces the configuration.
pub(super) struct SetConfig(pub(super) Arc<FleetConfig>);

/// Triggers work that is due by time.
pub(super) struct Tick;

/// Hands the endpoints over to other boxes before the daemon stops.
pub(super) struct Leave;

/// Requests the status of the box.
pub(super) struct Status;

/// The reply to [`Status`].
pub(super) type StatusAnswer = StatusReply;
