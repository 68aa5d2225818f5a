//! Small `Copy` keys that name things in arenas and in messages between boxes.
//!
//! Workspaces, pools, endpoints and kinds get their key from the configuration when they are first
//! accepted; a key is never used again for something else, so a late message cannot be mistaken.

use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// A key of an entry in a [`SpecArena`](crate::SpecArena).
pub trait SpecKey: Copy + Ord + From<u32> + Into<u32> {}

macro_rules! spec_key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
        )]
        #[serde(transparent)]
        pub struct $name(pub u32);

        impl From<u32> for $name {
            fn from(key: u32) -> Self {
                Self(key)
            }
        }

        impl From<$name> for u32 {
            fn from(key: $name) -> Self {
                key.0
            }
        }

        impl SpecKey for $name {}

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

spec_key!(
    /// Names a workspace.
    WorkspaceKey
);
spec_key!(
    /// Names a pool of endpoints.
    PoolKey
);
spec_key!(
    /// Names an endpoint.
    EndpointKey
);
spec_key!(
    /// Names a kind of request.
    KindKey
);

/// Names a box: a hash of the box's name, so that every box derives the same key alone.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(transparent)]
pub struct BoxKey(pub u32);

impl BoxKey {
    /// Derives the key of the box with this name.
    pub fn from_name(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

impl fmt::Display for BoxKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// One life of a daemon: drawn at random at start, so that a restart is never taken for its
/// predecessor.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(transparent)]
pub struct Incarnation(pub u32);

/// Names a grant: 21 bits of the scheduler's incarnation and a 32-bit counter, which together
/// stay exact in a JSON number.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(transparent)]
pub struct GrantId(pub u64);

impl GrantId {
    const COUNTER_BITS: u32 = 32;
    const INCARNATION_MASK: u32 = (1 << 21) - 1;

    /// Composes an id from a scheduler's incarnation and its own counter.
    pub const fn new(incarnation: Incarnation, counter: u32) -> Self {
        let high = (incarnation.0 & Self::INCARNATION_MASK) as u64;
        Self(high << Self::COUNTER_BITS | counter as u64)
    }

    /// Tells whether this id was given out by that life of a scheduler.
    pub const fn is_issued_by(self, incarnation: Incarnation) -> bool {
        (self.0 >> Self::COUNTER_BITS) as u32 == incarnation.0 & Self::INCARNATION_MASK
    }
}

impl fmt::Display for GrantId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

#[cfg(test)]
mod tests;
