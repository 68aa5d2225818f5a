//! Which era of the platform's store this box has heard of.

/// What a named era says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraChange {
    /// It is the one that is known.
    Unchanged,
    /// The store has come back from an older copy since: what it has must be listed anew.
    Advanced {
        /// The era that was known.
        from: u64,
    },
    /// The answer is of an era that is over.
    Outdated,
}

/// The era of the store.
///
/// It rises by one each time that the store comes back from an older copy, and never falls.
///
/// ```
/// use dockgate_core::gateway::{EraTracker, EraChange};
///
/// let mut book = EraTracker::default();
/// assert_eq!(book.note(Some(3)), EraChange::Unchanged);
/// assert_eq!(book.note(Some(4)), EraChange::Advanced { from: 3 });
/// assert_eq!(book.note(Some(3)), EraChange::Outdated);
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct EraTracker {
    /// None until one was named.
    current: Option<u64>,
}

impl EraTracker {
    /// By how much the era may rise between two answers that this box hears; more is taken for a mistake, as it
    /// would make this box deaf to the store's true era. A bound.
    const MOST_STEP: u64 = 1_000;

    /// Returns the era that is known; 0 where none was named yet.
    pub fn current(&self) -> u64 {
        self.current.unwrap_or_default()
    }

    /// Takes in the era that an answer names, or another box; without one, it is the one that is known.
    pub fn note(&mut self, named: Option<u64>) -> EraChange {
        let known = self.current();
        match (named, self.current) {
            (None, _) => EraChange::Unchanged,
            (Some(era), None) => {
                self.current = Some(era);
                EraChange::Unchanged
            }
            (Some(era), Some(_)) if era < known => EraChange::Outdated,
            (Some(era), Some(_)) if era == known || era - known > Self::MOST_STEP => {
                EraChange::Unchanged
            }
            (Some(era), Some(_)) => {
                self.current = Some(era);
                EraChange::Advanced { from: known }
            }
        }
    }
}

#[cfg(test)]
mod tests;
