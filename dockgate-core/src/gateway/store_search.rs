//! Decides which boxes of a failure domain probe the store while followers are missing.
//!
//! Any box may be the only one that the store answers, but a large domain must not call the store in
//! step. The first boxes in rank probe at every turn. The others join in a wave that doubles until
//! each has probed once; after that, a few of them drawn at random probe at each turn.
//!
//! ```
//! use dockgate_core::gateway::{StandbyTurn, StoreSearch};
//!
//! let mut search = StoreSearch::default();
//! assert_eq!(search.turn(3, 200, 0.5, 1_000), StandbyTurn::Probe, "one of the first");
//! assert!(matches!(search.turn(90, 200, 0.5, 1_000), StandbyTurn::WaitMs(_)));
//! assert_eq!(search.turn(90, 200, 0.5, 3_000), StandbyTurn::Probe, "its turn in the wave");
//! ```

/// What a box that stands by to follow the store does now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StandbyTurn {
    /// It probes the store.
    Probe,
    /// It waits for this many milliseconds and decides again.
    WaitMs(u64),
}

/// A search of the boxes of a domain for one that the store answers, as one of them takes part.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreSearch {
    /// When the search began.
    since_ms: Option<u64>,
    /// When this box joins the wave.
    first_probe_ms: Option<u64>,
    /// Whether it has probed in the wave.
    has_probed: bool,
}

impl StoreSearch {
    /// The number of boxes, first in rank, that probe at every turn.
    pub const FIRST_RANKS: usize = 8;
    /// The number of further boxes that begin the wave, and that probe together at each turn after
    /// it, on average.
    const DRAWN: f64 = 8.0;
    /// The time in which the wave doubles, in milliseconds: about one heartbeat, by which a box that
    /// was answered is noticed.
    const DOUBLING_MS: f64 = 300.0;
    /// The interval between turns, in milliseconds.
    const INTERVAL_MS: u64 = 1_000;

    /// Begins a new search, since fewer boxes reach the store than before.
    pub const fn restart(&mut self, now_ms: u64) {
        *self = Self {
            since_ms: Some(now_ms),
            first_probe_ms: None,
            has_probed: false,
        };
    }

    /// Decides whether the box with `before` boxes before it in rank, of `live` in its domain,
    /// probes now. `draw` is a random number from 0 to 1.
    pub fn turn(&mut self, before: usize, live: usize, draw: f64, now_ms: u64) -> StandbyTurn {
        let drawn_fraction = Self::DRAWN / live.max(1) as f64;
        let since_ms = *self.since_ms.get_or_insert(now_ms);
        let first_probe_ms = *self.first_probe_ms.get_or_insert_with(|| {
            let doublings = (1.0 + draw / drawn_fraction).log2();
            since_ms + (Self::DOUBLING_MS * doublings) as u64
        });
        match self.has_probed {
            _ if before < Self::FIRST_RANKS => StandbyTurn::Probe,
            false if now_ms < first_probe_ms => StandbyTurn::WaitMs(first_probe_ms - now_ms),
            false => {
                self.has_probed = true;
                StandbyTurn::Probe
            }
            true if draw < drawn_fraction => StandbyTurn::Probe,
            true => StandbyTurn::WaitMs(Self::INTERVAL_MS),
        }
    }
}

#[cfg(test)]
mod tests;
