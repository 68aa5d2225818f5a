//! The control actor, which connects the entry and the scheduler to links and requests.
//!
//! `dockgate-core` makes the decisions. The actor passes the time to it, carries out its actions
//! and owns its state, so no lock is needed.

mod actor;
mod handle;
mod handlers;
mod messages;
mod peer_links;

pub(crate) use actor::DispatchActor;
pub(crate) use handle::{BindReply, BoundSlot, DispatchHandle};
pub(crate) use messages::{LinkFailure, PeerBatch, PeerHello};
