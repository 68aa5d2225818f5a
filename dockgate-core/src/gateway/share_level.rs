//! Standing of a workspace relative to its share when one of its prompts is decided on.
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

/// Standing of a workspace relative to its guaranteed and its fair share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ShareLevel {
    /// Service admitted for all contending workspaces over their guaranteed shares, in thousandths.
    share_permille: u32,
    /// Service admitted for this workspace at this box over its fair share, in thousandths.
    fair_permille: u32,
}

impl ShareLevel {
    /// Level of a workspace within its share.
    pub const WITHIN: Self = Self::new(0.0);
    /// Growth of the pressure with the fair ratio: the exponent per fair share in excess.
    const PRESSURE_EXPONENT: f64 = 4.0;
    /// Fair ratio above which the pressure no longer grows.
    const MAX_FAIR_RATIO: f64 = 3.0;

    /// Creates the level of a workspace that gets exactly its fair share, where contending
    /// workspaces get `share_ratio` times their guaranteed shares.
    pub const fn new(share_ratio: f64) -> Self {
        Self {
            share_permille: (share_ratio * 1_000.0) as u32,
            fair_permille: 1_000,
        }
    }

    /// Sets the service admitted for the workspace at this box over its fair share.
    #[must_use]
    pub const fn with_fair_ratio(mut self, ratio: f64) -> Self {
        self.fair_permille = (ratio * 1_000.0) as u32;
        self
    }

    /// Returns whether the workspace has used up its guaranteed share.
    pub const fn is_beyond(self) -> bool {
        self.share_permille >= 1_000
    }

    /// Returns the service admitted for all contending workspaces over their guaranteed shares.
    pub fn share_ratio(self) -> f64 {
        f64::from(self.share_permille) / 1_000.0
    }

    /// Returns the service admitted for the workspace at this box over its fair share.
    pub fn fair_ratio(self) -> f64 {
        f64::from(self.fair_permille) / 1_000.0
    }

    /// Returns the factor by which admission is tightened: the square of the share ratio, times an
    /// exponential of the service in excess of the fair share
    /// (`docs/decisions/0020-shares-without-turns.md`).
    pub fn pressure(self) -> f64 {
        let excess = self.fair_ratio().min(Self::MAX_FAIR_RATIO) - 1.0;
        self.share_ratio().powi(2) * (Self::PRESSURE_EXPONENT * excess).exp()
    }
}
