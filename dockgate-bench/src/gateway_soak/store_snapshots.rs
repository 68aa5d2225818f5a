//! Restores the store from older snapshots.

use super::fault_injector::{FaultInjector, UndoAction};
use crate::gateway_fleet::GatewayFleet;
use crate::standin::{PlatformStandIn, StoreSnapshot};
use rand::RngExt;
use std::collections::VecDeque;
use std::ops::Range;
use std::time::{Duration, Instant};

/// Maximum number of snapshots, one per step.
const MAX_SNAPSHOTS: usize = 100;
/// Time after which the lost records are written again, in milliseconds.
const REWRITE_MS: Range<u64> = 50..1_200;

/// Older snapshots of the store, and the times at which lost records were written again.
#[derive(Default)]
pub(super) struct StoreSnapshots {
    snapshots: VecDeque<StoreSnapshot>,
    rewrites: Vec<Instant>,
}

impl StoreSnapshots {
    /// Takes a snapshot of the store.
    pub(super) fn take(&mut self, store: &PlatformStandIn) {
        self.snapshots.push_back(store.snapshot());
        self.snapshots.truncate(MAX_SNAPSHOTS);
    }

    /// Returns the last time before `before` at which lost records were written again.
    pub(super) fn last_rewrite(&self, before: Instant) -> Option<Instant> {
        let rewrites = self.rewrites.iter().copied();
        rewrites.filter(|rewrite| *rewrite < before).max()
    }
}

impl FaultInjector {
    /// Restores the store from a snapshot of the last seconds; the lost records are written again
    /// soon after.
    pub(super) fn restore_store(&mut self, fleet: &GatewayFleet) {
        let Some(last) = self.snapshots.snapshots.len().checked_sub(1) else {
            return;
        };
        let back = self.rng.random_range(0..=last);
        let restored = self.snapshots.snapshots.drain(last - back..).next();
        let Some(snapshot) = restored else { return };
        fleet.store.restore(snapshot);
        let at = self.started.elapsed().as_millis();
        self.fault_log
            .push(format!("{at} ms: restore the store from {back} steps ago"));
        let delay = Duration::from_millis(self.rng.random_range(REWRITE_MS));
        self.undo_actions
            .push((Instant::now() + delay, UndoAction::RewriteStore));
    }

    /// Writes the records of the operator and the endpoints again.
    pub(super) fn rewrite_store(&mut self, fleet: &GatewayFleet) {
        let store = &fleet.store;
        store.set(dockgate_platform::ROUTES_KEY, self.config.clone());
        for endpoint in &fleet.endpoints {
            let state = match self.is_drained(endpoint) {
                true => "draining",
                false => "ready",
            };
            let (key, value) = endpoint.record("a", state);
            match endpoint.has_ended() {
                true => store.remove(&key),
                false => store.set(&key, value),
            }
        }
        self.snapshots.rewrites.push(Instant::now());
    }
}
