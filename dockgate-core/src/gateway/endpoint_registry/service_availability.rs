//! When a service may have an endpoint that takes work, where none does now.

use std::time::Duration;

/// What is known of that.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceAvailability {
    /// Nothing is.
    Unknown,
    /// Those that are known leave, or their records name none to use: others have to take their place.
    Leaving,
    /// All have asked this box for rest; the first is back after so long.
    BackingOff(Duration),
}
