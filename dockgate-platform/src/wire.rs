//! The HTTP forms of the platform's service.

use serde::{Deserialize, Serialize};

/// Paths and header names.
pub mod routes {
    /// Prefix of the path of a key.
    pub const KEYS: &str = "/kv/";
    /// Path of the leases.
    pub const LEASES: &str = "/leases";
    /// Path of the list of boxes.
    pub const BOXES: &str = "/boxes";
    /// Header with which a watch says how many milliseconds it waits for a change.
    pub const WAIT_MS: &str = "platform-wait-ms";
    /// Header that binds a written key to a lease.
    pub const LEASE: &str = "platform-lease";
}

/// Asks for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// For how long, in milliseconds.
    pub ttl_ms: u64,
}

/// A lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Its id, which rises with every lease.
    pub id: u64,
    /// For how long it lasts unless renewed, in milliseconds.
    pub ttl_ms: u64,
}
