//! A store that comes back from older copies of itself.

use super::soak_fault::{FaultEnd, FaultField};
use crate::gateway_fleet::GatewayFleet;
use crate::standin::{PlatformStandIn, StoreSnapshot};
use rand::RngExt;
use std::collections::VecDeque;
use std::ops::Range;
use std::time::{Duration, Instant};

/// How many copies are kept, one each step.
const KEPT: usize = 100;
/// After how long the operator and the endpoints have written again what they wrote, in milliseconds.
const WRITTEN_MS: Range<u64> = 50..1_200;

/// Older copies of the store, and when what was lost by them was written again.
#[derive(Default)]
pub(super) struct StoreCopies {
    copies: VecDeque<StoreSnapshot>,
    written: Vec<Instant>,
}

impl StoreCopies {
    /// Keeps a copy of the store as it is now.
    pub(super) fn keep(&mut self, store: &PlatformStandIn) {
        self.copies.push_back(store.snapshot());
        self.copies.truncate(KEPT);
    }

    /// Returns when what had been lost was written again the last time before a moment.
    pub(super) fn last_written(&self, before: Instant) -> Option<Instant> {
        let written = self.written.iter().copied();
        written.filter(|written| *written < before).max()
    }
}

impl FaultField {
    /// Lets the store come back from a copy of some seconds ago at most; what was lost is written again a moment later.
    pub(super) fn lose_history(&mut self, fleet: &GatewayFleet) {
        let Some(last) = self.copies.copies.len().checked_sub(1) else {
            return;
        };
        let back = self.draw.random_range(0..=last);
        let lost = self.copies.copies.drain(last - back..).next();
        let Some(copy) = lost else { return };
        fleet.store.restore(copy);
        let at = self.started.elapsed().as_millis();
        self.told.push(format!(
            "{at} ms: the store comes back from {back} steps ago"
        ));
        let lasts = Duration::from_millis(self.draw.random_range(WRITTEN_MS));
        self.ends
            .push((Instant::now() + lasts, FaultEnd::WrittenAgain));
    }

    /// Lets the operator and the endpoints write again what they wrote.
    pub(super) fn write_again(&mut self, fleet: &GatewayFleet) {
        let store = &fleet.store;
        store.set(dockgate_platform::ROUTES, self.config.clone());
        for endpoint in &fleet.endpoints {
            let state = match self.has_left(endpoint) {
                true => "draining",
                false => "ready",
            };
            let (key, value) = endpoint.record("a", state);
            match endpoint.has_ended() {
                true => store.remove(&key),
                false => store.set(&key, value),
            }
        }
        self.copies.written.push(Instant::now());
    }
}
