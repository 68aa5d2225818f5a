//! Handle to the control actor, for requests, links and listeners.

use super::actor::DispatchActor;
use super::messages::{
    Cancel, Enqueue, Finish, Leave, LinkFailure, LinkUp, PeerBatch, PeerHello, PrepareHello,
    Progress, SetConfig, SetMembers, Started, Status, StatusAnswer, Tick,
};
use crate::config_cell::ConfigCell;
use crate::members::MemberBox;
use dockgate_core::{BoxKey, GrantId, GrantOffer, QueueError, SlotOutcome, WaitingRequest};
use dockgate_proto::{HelloReply, HelloRequest, PeerMessage};
use futures::FutureExt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::oneshot;
use xtra::{Address, Handler};

/// Interval of the ticks of the control actor.
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// A slot granted to a request.
#[derive(Debug)]
pub(crate) struct BoundSlot {
    /// The grant.
    pub(crate) grant: GrantOffer,
    /// Completes when the scheduler reclaims the slot.
    pub(crate) pause: oneshot::Receiver<()>,
}

/// The result of a queued request.
#[derive(Debug)]
pub(crate) enum BindReply {
    /// The request may use this slot.
    Bound(BoundSlot),
    /// The queue of its workspace is full.
    Refused(QueueError),
    /// Its deadline has passed.
    Expired,
}

/// The place of a request in the queue. Dropping it cancels the request.
pub(crate) struct SlotTicket {
    id: u64,
    receiver: oneshot::Receiver<BindReply>,
    dispatch: DispatchHandle,
}

impl SlotTicket {
    /// Waits until the request is bound, refused or expired.
    pub(crate) async fn wait(mut self) -> BindReply {
        (&mut self.receiver).await.unwrap_or(BindReply::Expired)
    }
}

impl Drop for SlotTicket {
    fn drop(&mut self) {
        // A grant that arrived after the caller closed the connection is returned.
        match self.receiver.try_recv() {
            Ok(BindReply::Bound(slot)) => {
                self.dispatch
                    .finish(slot.grant.id, 0.0, SlotOutcome::Answered);
            }
            Ok(_) => {}
            Err(_) => self.dispatch.send_detached(Cancel(self.id)),
        }
    }
}

/// A handle to the control actor.
#[derive(Clone)]
pub(crate) struct DispatchHandle {
    address: Address<DispatchActor>,
    next_id: Arc<AtomicU64>,
}

impl DispatchHandle {
    /// Wraps the address of the actor and starts its ticks.
    pub(crate) fn new(address: Address<DispatchActor>) -> Self {
        let handle = Self {
            address,
            next_id: Arc::new(AtomicU64::new(1)),
        };
        handle.send_detached(Started(handle.clone()));
        let ticker = handle.clone();
        tokio::spawn(async move {
            let mut interval = tokio::time::interval(TICK_INTERVAL);
            interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                interval.tick().await;
                // Waiting for the reply keeps ticks from accumulating in the mailbox.
                let _ = ticker.address.send(Tick).await;
            }
        });
        handle
    }

    /// Sends a message without waiting for it to be handled.
    fn send_detached<M: Send + 'static>(&self, message: M)
    where
        DispatchActor: Handler<M, Return = ()>,
    {
        // The mailbox is unbounded, so the first poll queues the message.
        let _ = self.address.send(message).detach().now_or_never();
    }

    /// Forwards every newer configuration to the actor.
    pub(crate) fn follow_config(&self, cell: &ConfigCell) {
        let mut receiver = cell.subscribe();
        receiver.mark_changed();
        let handle = self.clone();
        tokio::spawn(async move {
            while receiver.changed().await.is_ok() {
                let config = receiver.borrow_and_update().clone();
                handle.send_detached(SetConfig(config));
            }
        });
    }

    /// Assigns an id to a request and queues it.
    pub(crate) fn enqueue(&self, mut request: WaitingRequest, queue_limit: usize) -> SlotTicket {
        let (reply, receiver) = oneshot::channel();
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        request.id = id;
        self.send_detached(Enqueue {
            request,
            queue_limit,
            reply,
        });
        SlotTicket {
            id,
            receiver,
            dispatch: self.clone(),
        }
    }

    /// Reports the cost so far of a running request.
    pub(crate) fn progress(&self, grant: GrantId, cost: f64) {
        self.send_detached(Progress(grant, cost));
    }

    /// Reports the end of a running request, with its cost and the state of its endpoint.
    pub(crate) fn finish(&self, grant: GrantId, cost: f64, slot_outcome: SlotOutcome) {
        self.send_detached(Finish(grant, cost, slot_outcome));
    }

    /// Handles a batch of a peer and returns the messages for it; `None` if no link is open.
    pub(crate) async fn peer_batch(&self, batch: PeerBatch) -> Option<Vec<PeerMessage>> {
        self.address.send(batch).await.ok().flatten()
    }

    /// Handles the hello of a peer.
    pub(crate) async fn peer_hello(&self, hello: PeerHello) -> Option<HelloReply> {
        self.address.send(hello).await.ok()
    }

    /// Returns the hello for a peer to which a link opens.
    pub(crate) async fn prepare_hello(&self, peer: BoxKey) -> Option<HelloRequest> {
        self.address.send(PrepareHello(peer)).await.ok()
    }

    /// Reports that a link to a peer is open.
    pub(crate) async fn link_up(&self, peer: BoxKey, reply: HelloReply) {
        let _ = self.address.send(LinkUp(peer, reply)).await;
    }

    /// Reports that a link to a peer is closed.
    pub(crate) async fn link_down(&self, failure: LinkFailure) {
        let _ = self.address.send(failure).await;
    }

    /// Replaces the list of boxes.
    pub(crate) fn set_members(&self, members: Vec<MemberBox>) {
        self.send_detached(SetMembers(members));
    }

    /// Hands the endpoints of this scheduler over to other boxes.
    pub(crate) async fn leave(&self) {
        let _ = self.address.send(Leave).await;
    }

    /// Returns the status of the box.
    pub(crate) async fn status(&self) -> Option<StatusAnswer> {
        self.address.send(Status).await.ok()
    }
}
