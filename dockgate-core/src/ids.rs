//! Small `Copy` keys that identify items in arenas and in messages between boxes.
//!
//! Workspaces, pools, endpoints and kinds get their key when the configuration first accepts them.
//! Keys are never reused, so a delayed message cannot refer to the wrong item.

use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// A key of a spec in a [`SpecArena`](crate::SpecArena).
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
    /// Identifies a workspace.
    WorkspaceKey
);
spec_key!(
    /// Identifies a pool of endpoints.
    PoolKey
);
spec_key!(
    /// Identifies an endpoint.
    EndpointKey
);
spec_key!(
    /// Identifies a kind of request.
    KindKey
);

/// Identifies a box by a hash of its name, which every box derives without coordination.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(transparent)]
pub struct BoxKey(pub u32);

impl BoxKey {
    /// Derives the key from the name of a box.
    pub fn from_name(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

impl fmt::Display for BoxKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// Identifies one run of a daemon by a number drawn at random at its start, so that a restarted
/// daemon is distinguished from its predecessor.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(transparent)]
pub struct Incarnation(pub u32);

/// Identifies a grant by 21 bits of the scheduler's incarnation and a 32-bit counter. The 53 bits
/// are represented exactly by a JSON number.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(transparent)]
pub struct GrantId(pub u64);

impl GrantId {
    const COUNTER_BITS: u32 = 32;
    const INCARNATION_MASK: u32 = (1 << 21) - 1;

    /// Composes an id from a scheduler's incarnation and counter.
    pub const fn new(incarnation: Incarnation, counter: u32) -> Self {
        let high = (incarnation.0 & Self::INCARNATION_MASK) as u64;
        Self(high << Self::COUNTER_BITS | counter as u64)
    }

    /// Returns whether the scheduler of this incarnation issued the grant.
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
