//! The control actor: the entry's and the scheduler's decisions, wired to links and requests.
//!
//! Decisions are `dockgate-core`'s. This actor gives them the time, carries out their actions, and
//! is the only place that holds their state, so that no lock is needed.

mod actor;
mod handle;
mod handlers;
mod messages;
mod peer_links;

pub(crate) use actor::DispatchActor;
pub(crate) use handle::{BindReply, BoundSlot, DispatchHandle};
pub(crate) use messages::{LinkFailure, PeerBatch, PeerHello};
