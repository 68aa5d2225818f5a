//! Past states of the store, from which outdated reads are answered.

use super::key_store::KeyStore;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The states that the store had lately.
#[derive(Debug)]
pub(super) struct PastStates {
    age: Duration,
    /// The state that is visible now.
    visible: KeyStore,
    /// Later ones and when they began, oldest first.
    later: VecDeque<(Instant, KeyStore)>,
}

impl PastStates {
    /// Creates the states of a store in which outdated reads show what it held `age` ago.
    pub(super) fn new(age: Duration, store: &KeyStore) -> Self {
        Self {
            age,
            visible: store.clone(),
            later: VecDeque::new(),
        }
    }

    /// Records the state that begins now.
    pub(super) fn record(&mut self, store: &KeyStore) {
        let last = self.later.back().map_or(&self.visible, |(_, last)| last);
        if last.revision() != store.revision() {
            self.later.push_back((Instant::now(), store.clone()));
        }
    }

    /// Returns the state that an outdated read shows now.
    pub(super) fn visible(&mut self) -> &KeyStore {
        while let Some((began, store)) = self.later.pop_front() {
            if began.elapsed() < self.age {
                self.later.push_front((began, store));
                break;
            }
            self.visible = store;
        }
        &self.visible
    }
}
