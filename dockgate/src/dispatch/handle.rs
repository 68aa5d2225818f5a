//! A handle on the control actor, for requests, links and doors.

use super::actor::DispatchActor;
use super::messages::{
    Cancel, Enqueue, Finish, Leave, LinkFailure, LinkUp, PeerBatch, PeerHello, PrepareHello,
    Progress, SetConfig, SetMembers, Started, Status, StatusAnswer, Tick,
};
use crate::config_cell::ConfigCell;
use crate::members::MemberBox;
use dockgate_core::{BoxKey, GrantId, GrantOffer, QueueError, SlotSign, WaitingRequest};
use dockgate_proto::{HelloReply, HelloRequest, PeerMessage};
use futures::FutureExt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::oneshot;
use xtra::{Address, Handler};

/// How often the control actor looks at the time.
const TICK: Duration = Duration::from_millis(5);

/// A slot that a request may use.
#[derive(Debug)]
pub(crate) struct BoundSlot {
    /// The grant.
    pub(crate) grant: GrantOffer,
    /// Tells when the scheduler wants the slot back.
    pub(crate) pause: oneshot::Receiver<()>,
}

/// What becomes of a queued request.
#[derive(Debug)]
pub(crate) enum BindReply {
    /// It may use this slot.
    Bound(BoundSlot),
    /// The queue of its workspace is full.
    Refused(QueueError),
    /// Its deadline has passed.
    Expired,
}

/// A request's place in the queue; dropping it takes the request out.
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
        // A grant that came while the caller went away is given back.
        match self.receiver.try_recv() {
            Ok(BindReply::Bound(slot)) => {
                self.dispatch.finish(slot.grant.id, 0.0, SlotSign::Answered);
            }
            Ok(_) => {}
            Err(_) => self.dispatch.tell(Cancel(self.id)),
        }
    }
}

/// A handle on the control actor.
#[derive(Clone)]
pub(crate) struct DispatchHandle {
    address: Address<DispatchActor>,
    next_id: Arc<AtomicU64>,
}

impl DispatchHandle {
    /// Wraps the actor's address, and starts its clock.
    pub(crate) fn new(address: Address<DispatchActor>) -> Self {
        let handle = Self {
            address,
            next_id: Arc::new(AtomicU64::new(1)),
        };
        handle.tell(Started(handle.clone()));
        let clock = handle.clone();
        tokio::spawn(async move {
            let mut interval = tokio::time::interval(TICK);
            interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                interval.tick().await;
                // Waiting for the answer keeps ticks from piling up in a busy mailbox.
                let _ = clock.address.send(Tick).await;
            }
        });
        handle
    }

    /// Sends a message without waiting for it to be handled.
    fn tell<M: Send + 'static>(&self, message: M)
    where
        DispatchActor: Handler<M, Return = ()>,
    {
        // The mailbox is unbounded, so that the message is queued at the first poll.
        let _ = self.address.send(message).detach().now_or_never();
    }

    /// Hands every newer configuration to the actor.
    pub(crate) fn follow_config(&self, cell: &ConfigCell) {
        let mut receiver = cell.subscribe();
        receiver.mark_changed();
        let handle = self.clone();
        tokio::spawn(async move {
            while receiver.changed().await.is_ok() {
                let config = receiver.borrow_and_update().clone();
                handle.tell(SetConfig(config));
            }
        });
    }

    /// Queues a request; its id is given here.
    pub(crate) fn enqueue(&self, mut request: WaitingRequest, limit: usize) -> SlotTicket {
        let (reply, receiver) = oneshot::channel();
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        request.id = id;
        self.tell(Enqueue {
            request,
            limit,
            reply,
        });
        SlotTicket {
            id,
            receiver,
            dispatch: self.clone(),
        }
    }

    /// Notes the cost of a running request.
    pub(crate) fn progress(&self, grant: GrantId, cost: f64) {
        self.tell(Progress(grant, cost));
    }

    /// Ends a running request.
    pub(crate) fn finish(&self, grant: GrantId, cost: f64, sign: SlotSign) {
        self.tell(Finish(grant, cost, sign));
    }

    /// Hands over a batch from a peer; returns the messages for that peer.
    pub(crate) async fn peer_batch(&self, batch: PeerBatch) -> Option<Vec<PeerMessage>> {
        self.address.send(batch).await.ok().flatten()
    }

    /// Opens a peer's link to this box.
    pub(crate) async fn peer_hello(&self, hello: PeerHello) -> Option<HelloReply> {
        self.address.send(hello).await.ok()
    }

    /// Returns what to tell a peer when a link to it opens.
    pub(crate) async fn prepare_hello(&self, peer: BoxKey) -> Option<HelloRequest> {
        self.address.send(PrepareHello(peer)).await.ok()
    }

    /// Notes that a link to a peer is open.
    pub(crate) async fn link_up(&self, peer: BoxKey, reply: HelloReply) {
        let _ = self.address.send(LinkUp(peer, reply)).await;
    }

    /// Notes that a link to a peer is closed.
    pub(crate) async fn link_down(&self, failure: LinkFailure) {
        let _ = self.address.send(failure).await;
    }

    /// Takes in a new list of boxes.
    pub(crate) fn set_members(&self, members: Vec<MemberBox>) {
        self.tell(SetMembers(members));
    }

    /// Hands the endpoints over to other boxes.
    pub(crate) async fn leave(&self) {
        let _ = self.address.send(Leave).await;
    }

    /// Returns the state of the box.
    pub(crate) async fn status(&self) -> Option<StatusAnswer> {
        self.address.send(Status).await.ok()
    }
}
