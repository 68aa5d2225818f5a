//! Client of the platform's key-value service, and the layout of what dockgate keeps there.
//!
//! This is the one place to adapt to another platform: [`PlatformClient`] speaks HTTP with `ETag`,
//! `If-Match` and long-polling watches; [`ConfigStore`] knows which keys hold the configuration.

mod boxes;
mod client;
mod error;
mod store;
mod wire;

pub use boxes::{BoxRecord, BoxState};
pub use client::{PlatformClient, PutCondition, PutOutcome, StoredValue};
pub use error::PlatformError;
pub use store::{CommitOutcome, ConfigHead, ConfigStore};
pub use wire::{LeaseGrant, LeaseRequest, routes};
