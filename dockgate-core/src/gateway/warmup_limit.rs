//! What the endpoints of a service bear while they warm up, and the pace of grants that keeps to it.
//!
//! ```
//! use dockgate_core::gateway::WarmupLimit;
//!
//! let limit = WarmupLimit { duration_ms: 3_000, rate_per_s: 10.0 };
//! assert_eq!(limit.pace(1.5, 5.0), 10.0);
//! assert!(limit.pace(1.0, 0.0) < 10.0);
//! ```

use serde::{Deserialize, Serialize};

/// What the endpoints of a service bear while they warm up.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WarmupLimit {
    /// How long an endpoint stays cold after its start, in milliseconds.
    pub duration_ms: u64,
    /// The number of requests per second that a cold endpoint bears.
    pub rate_per_s: f64,
}

impl WarmupLimit {
    /// The longest time between a grant and the arrival of its request, in seconds: a box that is
    /// short of processor sends late, so grants of this time and one second may arrive together.
    const MAX_DELAY_S: f64 = 0.7;

    /// The number of grants that may follow each other at once.
    pub(super) const BURST: f64 = 1.0;

    /// Returns the number of grants per second at which no more requests arrive within one second
    /// than `overshoot` times the rate plus `slack`.
    pub fn pace(&self, overshoot: f64, slack: f64) -> f64 {
        let max_arrivals = self.rate_per_s * overshoot + slack;
        let max_pace = (max_arrivals - Self::BURST) / (1.0 + Self::MAX_DELAY_S);
        self.rate_per_s.min(max_pace).max(0.0)
    }
}
