//! Whether this box follows the platform's store, and whether the store hears it.

use super::super::events::{GatewayEvent, log_gateway};
use super::super::gateway_metrics::GATEWAY_METRICS;
use super::super::membership::DigestCache;
use super::super::store_probe::StoreRole;
use super::{GatewayState, GatewayView};
use crate::clock::now_ms;
use dockgate_core::gateway::{EraChange, ProbeChange, StoreAccess, StoreFollower, StoreRevision};
use tokio::sync::watch;

impl GatewayView {
    /// Says to the other boxes whether this one follows the store and is heard.
    fn publish_store_access(&mut self) {
        /// Routes and endpoints.
        const FOLLOWED: usize = 2;
        let follows = self.store_revisions.len() == FOLLOWED;
        let proof_ms = self.probe.proof_ms().filter(|_| follows);
        let before = self.fleet.own().status.reaches_store;
        self.fleet.set_store_proof(proof_ms);
        if before != proof_ms.is_some() {
            // What was passed on a moment ago says otherwise.
            self.digest = DigestCache::default();
        }
    }

    /// Forgets that the store was heard: the box was away since, and what it follows there is listed anew.
    pub(in super::super) fn reset_store_access(&mut self, now_ms: u64) {
        self.gate.close(now_ms);
        self.store_revisions.clear();
        self.probe.pause();
        self.publish_store_access();
        self.digest = DigestCache::default();
    }

    /// Tells whether the store has changes of which its watches should have told, and did not.
    ///
    /// What any of them told last counts for all: each is told of its own keys alone.
    fn is_stalled(&mut self, revision: Option<StoreRevision>) -> bool {
        let follows = self.fleet.own().status.reaches_store;
        let known = self.store_revisions.values().max().copied();
        match (revision, known) {
            (Some(revision), Some(known)) if follows => {
                self.watch_check.is_stalled(revision, known, now_ms())
            }
            _ => false,
        }
    }
}

impl GatewayState {
    /// Tells whether this box has to follow the store by itself.
    pub(in super::super) fn follows_store(&self) -> bool {
        self.role.borrow().follows
    }

    /// Returns this box's part in following the store, as it changes.
    pub(in super::super) fn store_roles(&self) -> watch::Receiver<StoreRole> {
        self.role.subscribe()
    }

    /// Returns the times at which the store answers again: each is how long it was away, in milliseconds.
    pub(in super::super) fn store_recoveries(&self) -> watch::Receiver<u64> {
        self.recoveries.subscribe()
    }

    /// Decides what this box's part in following the store is now.
    pub(in super::super) fn update_role(&self) {
        let now = now_ms();
        let role = self.with(|view| {
            let others = view.fleet.store_watchers(now);
            let own = StoreAccess {
                follows: view.fleet.own().status.reaches_store,
                answered_since_ms: view.probe.answered_since_ms(),
            };
            StoreRole {
                follows: view.store.must_follow(others, own, now),
                probes: view.store.must_probe(others, own, now),
            }
        });
        self.role.send_if_modified(|known| {
            let changed = *known != role;
            *known = role;
            changed
        });
    }

    /// Tells whether this box is one of those of its domain that come first in following the store.
    pub(in super::super) fn is_primary_watcher(&self) -> bool {
        self.with(|view| {
            let others = view.fleet.store_watchers(now_ms());
            StoreFollower::is_primary(others)
        })
    }

    /// Tells whether this box coordinates its failure domain.
    pub(in super::super) fn is_coordinator(&self) -> bool {
        self.with(|view| view.fleet.is_coordinator(now_ms()))
    }

    /// Returns how long ago a box of this domain was last heard by the store, in milliseconds.
    pub(in super::super) fn store_proof_age_ms(&self) -> Option<u64> {
        self.with(|view| view.fleet.store_proof_age_ms(now_ms()))
    }

    /// Notes what became of a probe that was sent at `sent_ms`, and the store's revision that was
    /// answered; returns what it says that the one before did not.
    pub(in super::super) fn record_probe(
        &self,
        revision: Option<StoreRevision>,
        sent_ms: u64,
    ) -> Option<ProbeChange> {
        let (change, is_stalled) = self.with(|view| {
            let change = view.probe.record(revision.is_some(), sent_ms);
            view.publish_store_access();
            (change, view.is_stalled(revision))
        });
        match (change, is_stalled) {
            (Some(ProbeChange::Up { down_ms }), _) => drop(self.recoveries.send_replace(down_ms)),
            (_, true) => {
                log_gateway(&GatewayEvent::StoreLost {
                    step: "watch",
                    problem: format!(
                        "told nothing up to revision {}",
                        revision.unwrap_or_default()
                    ),
                });
                self.recoveries.send_replace(0);
            }
            _ => {}
        }
        change
    }

    /// Tells whether the store is in this era, as far as is known.
    pub(in super::super) fn is_current_era(&self, era: u64) -> bool {
        self.with(|view| view.eras.current() == era)
    }

    /// Takes in the era that the store or another box names; returns the one that is known now, or none where what was
    /// told is of one that is over.
    ///
    /// Whoever follows the store lists it anew at once.
    pub(in super::super) fn note_era(&self, named: Option<u64>, source: &str) -> Option<u64> {
        let (change, era) = self.with(|view| {
            let change = view.eras.note(named);
            (change, view.eras.current())
        });
        match change {
            EraChange::Same => {}
            EraChange::Outdated => return None,
            EraChange::Advanced { from } => {
                GATEWAY_METRICS.store_eras.inc();
                let revision = self.with(|view| view.endpoints.revision().number);
                log_gateway(&GatewayEvent::StoreEra {
                    from,
                    to: era,
                    revision,
                    source,
                });
                self.recoveries.send_replace(0);
            }
        }
        Some(era)
    }

    /// Notes that the store is not called for a while.
    pub(in super::super) fn pause_probes(&self) {
        self.with(|view| {
            view.probe.pause();
            view.publish_store_access();
        });
    }

    /// Tells whether what `step` names was listed here, and not lost since.
    pub(in super::super) fn has_listed(&self, step: &'static str) -> bool {
        self.with(|view| view.store_revisions.contains_key(step))
    }

    /// Tells whether this box follows the store and was answered the last time.
    pub(in super::super) fn reaches_store(&self) -> bool {
        self.with(|view| view.fleet.own().status.reaches_store)
    }

    /// Notes up to which revision the store told of what `step` names, or that it did not, for the other
    /// boxes to know; returns whether this box is heard now and was not before.
    pub(in super::super) fn set_store_revision(
        &self,
        step: &'static str,
        told: Option<StoreRevision>,
    ) -> bool {
        self.with(|view| {
            match told {
                Some(revision) => view.store_revisions.insert(step, revision),
                None => view.store_revisions.remove(step),
            };
            let before = view.fleet.own().status.reaches_store;
            view.publish_store_access();
            !before && view.fleet.own().status.reaches_store
        })
    }
}
