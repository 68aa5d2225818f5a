//! Revisions of the platform's store.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A revision of the store within an era.
///
/// If the store is restored from an older copy, its revisions go back and are assigned again, and
/// the era rises. Ordering by era first keeps data of an earlier era from replacing that of a later
/// one.
///
/// ```
/// use dockgate_core::gateway::StoreRevision;
///
/// assert!(StoreRevision::new(2, 5) > StoreRevision::new(1, 45));
/// assert!(StoreRevision::new(2, 6) > StoreRevision::new(2, 5));
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct StoreRevision {
    /// The era, or 0 if the store reports none.
    pub era: u64,
    /// The revision within the era.
    pub number: u64,
}

impl StoreRevision {
    /// Precedes every revision of the store.
    pub const NONE: Self = Self::new(0, 0);
    /// Follows every revision of the store.
    pub const LATEST: Self = Self::new(u64::MAX, u64::MAX);

    /// Creates the revision with this number of an era.
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}

impl From<u64> for StoreRevision {
    /// Creates a revision of a store that reports no era.
    fn from(number: u64) -> Self {
        Self::new(0, number)
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
