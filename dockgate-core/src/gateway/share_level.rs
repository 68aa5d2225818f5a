//! How a workspace stands beside the others when a prompt of it is decided on.
//!
//! ```
//! use dockgate_core::gateway::ShareLevel;
//!
//! let even = ShareLevel::new(1.5);
//! assert!(even.is_beyond());
//! assert!(even.with_fair_ratio(1.5).pressure() > even.pressure());
//! assert!(even.with_fair_ratio(0.5).pressure() < even.pressure());
//! assert!(!ShareLevel::WITHIN.is_beyond());
//! ```

use serde::{Deserialize, Serialize};

/// How much of their share those have had who ask for more, and what a workspace takes beside the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareLevel {
    /// Given over owed, in thousandths: 1,000 is all that is owed.
    share_permille: u32,
    /// What it takes here over its fair part, in thousandths: 1,000 is even with the others.
    fair_permille: u32,
}

impl ShareLevel {
    /// It is owed more.
    pub const WITHIN: Self = Self::new(0.0);
    /// How steeply one is held back that takes more than its fair part: the exponent for one fair part more.
    const PRESSURE_EXPONENT: f64 = 4.0;
    /// Beyond how many fair parts more makes no difference.
    const MAX_FAIR_RATIO: f64 = 3.0;

    /// Makes the level of a workspace, where those who ask for more have had this many times their share.
    pub const fn new(share_ratio: f64) -> Self {
        Self {
            share_permille: (share_ratio * 1_000.0) as u32,
            fair_permille: 1_000,
        }
    }

    /// Sets what it takes here, as a part of what is fair.
    #[must_use]
    pub const fn with_fair_ratio(mut self, ratio: f64) -> Self {
        self.fair_permille = (ratio * 1_000.0) as u32;
        self
    }

    /// Tells whether it has had what it is owed.
    pub const fn is_beyond(self) -> bool {
        self.share_permille >= 1_000
    }

    /// Returns how many times their share those who ask for more have had.
    pub fn share_ratio(self) -> f64 {
        f64::from(self.share_permille) / 1_000.0
    }

    /// Returns what it takes here over its fair part.
    pub fn fair_ratio(self) -> f64 {
        f64::from(self.fair_permille) / 1_000.0
    }

    /// Returns what holds it back: the square of how far all are beyond their share, and more, the more it takes of what is fair
    /// (`docs/decisions/0020-shares-without-turns.md`).
    pub fn pressure(self) -> f64 {
        let ahead = self.fair_ratio().min(Self::MAX_FAIR_RATIO) - 1.0;
        self.share_ratio().powi(2) * (Self::PRESSURE_EXPONENT * ahead).exp()
    }
}
