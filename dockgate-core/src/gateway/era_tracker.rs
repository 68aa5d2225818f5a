//! The era of the platform's store.

/// How a reported era relates to the known one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraChange {
    /// It is the known era.
    Same,
    /// The store was restored from an older copy and has to be listed again.
    Advanced {
        /// The era known before.
        from: u64,
    },
    /// It is an earlier era, whose data is outdated.
    Outdated,
}

/// Tracks the era of the store.
///
/// The era rises by one each time the store is restored from an older copy, and never falls.
///
/// ```
/// use dockgate_core::gateway::{EraChange, EraTracker};
///
/// let mut tracker = EraTracker::default();
/// assert_eq!(tracker.note(Some(3)), EraChange::Same);
/// assert_eq!(tracker.note(Some(4)), EraChange::Advanced { from: 3 });
/// assert_eq!(tracker.note(Some(3)), EraChange::Outdated);
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct EraTracker {
    /// `None` until an era was reported.
    current: Option<u64>,
}

impl EraTracker {
    /// The maximum rise of the era between two reports. A larger one is taken for an error, since
    /// it would make this box ignore the store's true era.
    const MAX_STEP: u64 = 1_000;

    /// Returns the known era, or 0 if none was reported yet.
    pub fn current(&self) -> u64 {
        self.current.unwrap_or_default()
    }

    /// Records the era reported by the store or by another box. `None` counts as the known era.
    pub fn note(&mut self, reported: Option<u64>) -> EraChange {
        let known = self.current();
        match (reported, self.current) {
            (None, _) => EraChange::Same,
            (Some(era), None) => {
                self.current = Some(era);
                EraChange::Same
            }
            (Some(era), Some(_)) if era < known => EraChange::Outdated,
            (Some(era), Some(_)) if era == known || era - known > Self::MAX_STEP => EraChange::Same,
            (Some(era), Some(_)) => {
                self.current = Some(era);
                EraChange::Advanced { from: known }
            }
        }
    }
}

#[cfg(test)]
mod tests;
