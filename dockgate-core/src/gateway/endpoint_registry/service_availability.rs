//! When a service that has no eligible endpoint may have one again.

use std::time::Duration;

/// The expected availability of a service that has no eligible endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceAvailability {
    /// Nothing is known.
    Unknown,
    /// All known endpoints are leaving or have unusable records, and replacements have to start.
    Leaving,
    /// All endpoints have asked this box to back off; the first backoff ends after this time.
    BackingOff(Duration),
}
