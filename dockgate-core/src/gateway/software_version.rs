//! The software version of an endpoint.

use super::rendezvous::name_hash;
use serde::{Deserialize, Serialize};

/// Identifies a software version of the endpoints of a service by a hash of its name, so that every
/// box derives the same key. Versions have no order.
///
/// ```
/// use dockgate_core::gateway::SoftwareVersion;
///
/// assert_eq!(SoftwareVersion::from_name("v2"), SoftwareVersion::from_name("v2"));
/// assert!(!SoftwareVersion::from_name("").is_known());
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(transparent)]
pub struct SoftwareVersion(pub u64);

impl SoftwareVersion {
    /// The version of an endpoint that was reported without one.
    pub const UNKNOWN: Self = Self(0);

    /// Derives the key from a version's name; an empty name is an unknown version.
    pub fn from_name(name: &str) -> Self {
        match name.is_empty() {
            true => Self::UNKNOWN,
            false => Self(name_hash(name)),
        }
    }

    /// Returns whether the version is known. Two endpoints of unknown version may differ.
    pub fn is_known(self) -> bool {
        self != Self::UNKNOWN
    }
}
