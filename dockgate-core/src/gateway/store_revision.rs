//! A point in what the platform's store tells.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A revision of the store, and the era in which it was given out.
///
/// The store may come back from an older copy: revisions go back then and are given out again, and the era rises. All
/// that is known of the store is ordered by both, so that nothing of an earlier era replaces what a later one says.
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
    /// The era; 0 where the store names none.
    pub era: u64,
    /// The revision within it.
    pub number: u64,
}

impl StoreRevision {
    /// Before all that the store tells.
    pub const NONE: Self = Self::new(0, 0);
    /// Later than all that the store tells.
    pub const LATEST: Self = Self::new(u64::MAX, u64::MAX);

    /// Names a revision of an era.
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}

impl From<u64> for StoreRevision {
    /// Names a revision of a store that names no era.
    fn from(number: u64) -> Self {
        Self::new(0, number)
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
