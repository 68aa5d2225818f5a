//! The platform's lagging list of boxes.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What the platform thinks of a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BoxState {
    /// It runs.
    Live,
    /// It is about to stop.
    Leaving,
}

/// One box on the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxRecord {
    /// The name, one of its kind.
    pub name: String,
    /// The failure domain.
    pub domain: String,
    /// The address at which peers reach it from the domain that asks.
    pub peer_address: SocketAddr,
    /// What the platform thinks of it.
    pub state: BoxState,
}
