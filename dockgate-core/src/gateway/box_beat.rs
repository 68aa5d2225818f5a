//! What boxes say of themselves, and what others pass on of it.
//!
//! A box numbers what it says. Whatever way news of it takes, and however often it is passed on, only
//! a higher number of the same life counts as a sign that it lives: news that is late, doubled or
//! told in a circle keeps nobody alive.
//!
//! ```
//! use dockgate_core::gateway::{BoxBeat, BoxStanding};
//!
//! let address = "10.0.0.7:7400".parse().unwrap();
//! let beat = BoxBeat::new("a1", "hall-a", address).standing(BoxStanding::new(500));
//! assert_eq!(beat.standing.processor, 500);
//! ```

use super::rendezvous::name_hash;
use super::store_revision::StoreRevision;
use crate::ids::{BoxKey, Incarnation};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Names a failure domain in messages and maps: a hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DomainKey(pub u32);

impl DomainKey {
    /// Derives the key from a domain's name.
    pub fn from_name(name: &str) -> Self {
        Self(name_hash(name) as u32)
    }
}

/// How a box stands among those of its domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxStanding {
    /// Its part of a core, in thousandths.
    pub processor: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Whether it falls behind with its work.
    pub behind: bool,
    /// Whether it follows the store and reached it the last time.
    pub reaches_store: bool,
    /// How long before this saying the store last proved that it hears this box, in milliseconds.
    pub store_age_ms: u32,
}

impl BoxStanding {
    /// Makes the standing of a box that has just begun, with this many thousandths of a core.
    pub const fn new(processor: u32) -> Self {
        Self {
            processor,
            leaving: false,
            behind: false,
            reaches_store: false,
            store_age_ms: 0,
        }
    }

    /// Sets whether it follows the store and reached it the last time.
    #[must_use]
    pub const fn reaches_store(mut self, reaches: bool) -> Self {
        self.reaches_store = reaches;
        self
    }

    /// Sets how long before the saying the store last proved that it hears the box.
    #[must_use]
    pub const fn store_age_ms(mut self, age_ms: u32) -> Self {
        self.store_age_ms = age_ms;
        self
    }

    /// Returns when the store last proved that it hears the box, which said so at `said_ms`, if it
    /// follows the store and is heard.
    pub const fn proof_ms(&self, said_ms: u64) -> Option<u64> {
        match self.reaches_store {
            true => Some(said_ms.saturating_sub(self.store_age_ms as u64)),
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

/// What one box may know more of than another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BoxKnowledge {
    /// The configuration.
    Config,
    /// The endpoints.
    Endpoints,
}

impl BoxKnowledge {
    /// Returns the name, for logs and counters.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Endpoints => "endpoints",
        }
    }
}

/// What a box says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxBeat {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// Where it tells what it knows.
    pub state_address: SocketAddr,
    /// How it stands.
    pub standing: BoxStanding,
    /// The number of this saying within the life of the box.
    pub sequence: u32,
    /// The version of its configuration; 0 where it has none.
    pub config_version: u64,
    /// The store's revision up to which it knows the endpoints.
    pub endpoint_revision: StoreRevision,
}

impl BoxBeat {
    /// Makes the first beat of a box that takes datagrams at `address`, and tells its state there.
    pub fn new(name: &str, domain: &str, address: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            domain: domain.to_owned(),
            address,
            state_address: address,
            standing: BoxStanding::new(1_000),
            sequence: 1,
            config_version: 0,
            endpoint_revision: StoreRevision::NONE,
        }
    }

    /// Sets where it tells what it knows.
    #[must_use]
    pub const fn state_address(mut self, address: SocketAddr) -> Self {
        self.state_address = address;
        self
    }

    /// Sets how it stands.
    #[must_use]
    pub const fn standing(mut self, standing: BoxStanding) -> Self {
        self.standing = standing;
        self
    }

    /// Sets the number of this saying.
    #[must_use]
    pub const fn sequence(mut self, sequence: u32) -> Self {
        self.sequence = sequence;
        self
    }

    /// Sets what the box knows: the version of its configuration, the revision of its endpoints.
    #[must_use]
    pub const fn known(mut self, config_version: u64, endpoint_revision: StoreRevision) -> Self {
        self.config_version = config_version;
        self.endpoint_revision = endpoint_revision;
        self
    }

    /// Returns how new its knowledge is: a version, as one of the first era, or a revision.
    pub const fn known_of(&self, what: BoxKnowledge) -> StoreRevision {
        match what {
            // Versions never go back, whatever becomes of the store.
            BoxKnowledge::Config => StoreRevision::new(0, self.config_version),
            BoxKnowledge::Endpoints => self.endpoint_revision,
        }
    }

    /// Returns the key of the box.
    pub fn key(&self) -> BoxKey {
        BoxKey::from_name(&self.name)
    }
}

/// A box as another one tells of it, in short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxRow {
    /// The box.
    pub key: BoxKey,
    /// Its life.
    pub incarnation: Incarnation,
    /// The number of the newest saying that has been heard of.
    pub sequence: u32,
    /// How long ago that was heard, in milliseconds.
    pub age_ms: u32,
    /// Where it takes datagrams; other domains need not know.
    pub address: Option<SocketAddr>,
    /// How it stands.
    pub standing: BoxStanding,
}

/// A box as another one tells of it, in full.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxReport {
    /// Its life.
    pub incarnation: Incarnation,
    /// How long ago its newest saying was heard, in milliseconds.
    pub age_ms: u32,
    /// That saying.
    pub beat: BoxBeat,
}

/// For whom a digest is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DigestScope {
    /// For a box of the sender's domain: sums of the whole fleet, all boxes of the domain.
    Near,
    /// For a coordinator of another domain: sums of the sender's domain.
    Far,
    /// The same, and all boxes of the sender's domain.
    FarList,
    /// For a box of another domain that looks for its own: just whom to ask.
    Welcome,
}

/// What a box passes on of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetDigest {
    /// For whom it is made.
    pub scope: DigestScope,
    /// What the sender says of itself.
    pub sender: BoxBeat,
    /// The coordinators of all domains; none in what goes to those of another one.
    pub coordinators: Vec<BoxReport>,
    /// The other boxes of the sender's domain, or none where this is no list of them.
    pub members: Vec<BoxRow>,
    /// How many boxes of the fleet live, as far as the sender knows.
    pub live: u32,
    /// How many boxes of the fleet are remembered.
    pub known: u32,
}
