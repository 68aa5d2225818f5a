//! Heartbeats of boxes, and the digests in which other boxes relay them.
//!
//! Each heartbeat carries a sequence number. Only a higher number of the same incarnation shows
//! that the box is alive, by whatever path it arrives: late, duplicated or circulating reports do
//! not make a dead box appear alive.
//!
//! ```
//! use dockgate_core::gateway::{BoxHeartbeat, BoxStatus};
//!
//! let address = "10.0.0.7:7400".parse().unwrap();
//! let heartbeat = BoxHeartbeat::new("a1", "hall-a", address).status(BoxStatus::new(500));
//! assert_eq!(heartbeat.status.processor, 500);
//! ```

use super::rendezvous::name_hash;
use super::store_revision::StoreRevision;
use crate::ids::{BoxKey, Incarnation};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The key of a failure domain: a hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DomainKey(pub u32);

impl DomainKey {
    /// Derives the key from a domain's name.
    pub fn from_name(name: &str) -> Self {
        Self(name_hash(name) as u32)
    }
}

/// The status of a box that decides its role in its domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxStatus {
    /// Its share of a processor core, in thousandths.
    pub processor: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Whether it falls behind with its work.
    pub behind: bool,
    /// Whether it follows the store and its last probe was answered.
    pub reaches_store: bool,
    /// How long before the heartbeat the store last answered this box, in milliseconds.
    pub store_proof_age_ms: u32,
}

impl BoxStatus {
    /// Creates the status of a newly started box with a share of a core in thousandths.
    pub const fn new(processor: u32) -> Self {
        Self {
            processor,
            leaving: false,
            behind: false,
            reaches_store: false,
            store_proof_age_ms: 0,
        }
    }

    /// Sets whether it follows the store and its last probe was answered.
    #[must_use]
    pub const fn reaches_store(mut self, reaches: bool) -> Self {
        self.reaches_store = reaches;
        self
    }

    /// Sets how long before the heartbeat the store last answered the box, in milliseconds.
    #[must_use]
    pub const fn store_proof_age_ms(mut self, age_ms: u32) -> Self {
        self.store_proof_age_ms = age_ms;
        self
    }

    /// Returns when the store last answered the box, given when the box reported it; `None` if the
    /// box does not reach the store.
    pub const fn store_proof_ms(&self, sent_ms: u64) -> Option<u64> {
        match self.reaches_store {
            true => Some(sent_ms.saturating_sub(self.store_proof_age_ms as u64)),
            false => None,
        }
    }

    /// Sets whether it is about to stop.
    #[must_use]
    pub const fn leaving(mut self, leaving: bool) -> Self {
        self.leaving = leaving;
        self
    }

    /// Sets whether it falls behind with its work.
    #[must_use]
    pub const fn behind(mut self, behind: bool) -> Self {
        self.behind = behind;
        self
    }
}

/// A kind of state that boxes fetch from each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateKind {
    /// The configuration.
    Config,
    /// The endpoints.
    Endpoints,
}

impl StateKind {
    /// Returns the name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Endpoints => "endpoints",
        }
    }
}

/// The heartbeat in which a box describes itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxHeartbeat {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// The address at which it receives datagrams.
    pub address: SocketAddr,
    /// The address that serves its state.
    pub state_address: SocketAddr,
    /// Its status.
    pub status: BoxStatus,
    /// The sequence number within the incarnation of the box.
    pub sequence: u32,
    /// The version of its configuration; 0 if it has none.
    pub config_version: u64,
    /// The store revision up to which it knows the endpoints.
    pub endpoint_revision: StoreRevision,
}

impl BoxHeartbeat {
    /// Creates the first heartbeat of a box that receives datagrams and serves its state at
    /// `address`.
    pub fn new(name: &str, domain: &str, address: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            domain: domain.to_owned(),
            address,
            state_address: address,
            status: BoxStatus::new(1_000),
            sequence: 1,
            config_version: 0,
            endpoint_revision: StoreRevision::NONE,
        }
    }

    /// Sets the address that serves its state.
    #[must_use]
    pub const fn state_address(mut self, address: SocketAddr) -> Self {
        self.state_address = address;
        self
    }

    /// Sets its status.
    #[must_use]
    pub const fn status(mut self, status: BoxStatus) -> Self {
        self.status = status;
        self
    }

    /// Sets the sequence number.
    #[must_use]
    pub const fn sequence(mut self, sequence: u32) -> Self {
        self.sequence = sequence;
        self
    }

    /// Sets the version of its configuration and the revision of its endpoints.
    #[must_use]
    pub const fn revisions(
        mut self,
        config_version: u64,
        endpoint_revision: StoreRevision,
    ) -> Self {
        self.config_version = config_version;
        self.endpoint_revision = endpoint_revision;
        self
    }

    /// Returns the revision of a kind of state; a configuration version counts as one of era 0.
    pub const fn revision_of(&self, kind: StateKind) -> StoreRevision {
        match kind {
            // Configuration versions never decrease, even in a new era of the store.
            StateKind::Config => StoreRevision::new(0, self.config_version),
            StateKind::Endpoints => self.endpoint_revision,
        }
    }

    /// Returns the key of the box.
    pub fn key(&self) -> BoxKey {
        BoxKey::from_name(&self.name)
    }
}

/// The short form in which another box reports a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxSummary {
    /// The box.
    pub key: BoxKey,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The newest known sequence number.
    pub sequence: u32,
    /// The age of that number, in milliseconds.
    pub age_ms: u32,
    /// The address at which it receives datagrams; omitted for other domains.
    pub address: Option<SocketAddr>,
    /// Its status.
    pub status: BoxStatus,
}

/// The full form in which another box reports a box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxReport {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The age of its last heartbeat, in milliseconds.
    pub age_ms: u32,
    /// Its last heartbeat.
    pub heartbeat: BoxHeartbeat,
}

/// The recipient of a digest, which decides what the digest contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DigestScope {
    /// A box of the sender's domain: all coordinators and all boxes of the domain.
    SameDomain,
    /// A coordinator of another domain: only the sender itself.
    OtherDomain,
    /// A coordinator of another domain: also all boxes of the sender's domain.
    OtherDomainFull,
    /// A box of another domain that looks for its own: only the coordinators.
    Introduction,
}

/// A digest of the fleet as one box knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetDigest {
    /// The recipient.
    pub scope: DigestScope,
    /// The heartbeat of the sender.
    pub sender: BoxHeartbeat,
    /// The coordinators of all domains; empty for coordinators of other domains.
    pub coordinators: Vec<BoxReport>,
    /// The other boxes of the sender's domain; empty unless the scope includes them.
    pub members: Vec<BoxSummary>,
    /// The number of live boxes in the fleet, as far as the sender knows.
    pub live: u32,
    /// The number of known boxes in the fleet, live or not.
    pub known: u32,
}
