//! Whether this box follows the platform's store, and whether the store answers it.

use super::super::events::{GatewayEvent, log_gateway};
use super::super::gateway_metrics::GATEWAY_METRICS;
use super::super::membership::DigestCache;
use super::super::store_probe::StoreRole;
use super::{GatewayState, GatewayView};
use crate::clock::now_ms;
use dockgate_core::gateway::{
    EraChange, ProbeChange, ProbeTiming, StandbyTurn, StoreAccess, StoreFollower, StoreRevision,
};
use std::net::SocketAddr;
use tokio::sync::watch;

impl GatewayView {
    /// Updates the proof of store access in this box's heartbeat.
    fn publish_store_access(&mut self) {
        /// The number of followed key prefixes: routes and endpoints.
        const FOLLOWED_PREFIXES: usize = 2;
        let follows = self.store_revisions.len() == FOLLOWED_PREFIXES;
        let proof_ms = self.probe.proof_ms().filter(|_| follows);
        let before = self.fleet.own().status.reaches_store;
        self.fleet.set_store_proof(proof_ms);
        if before != proof_ms.is_some() {
            // The cached digest is outdated.
            self.digest = DigestCache::default();
        }
    }

    /// Discards all proofs of store access after a suspension; the followed keys are listed again.
    pub(in super::super) fn reset_store_access(&mut self, now_ms: u64) {
        self.gate.close(now_ms);
        self.store_revisions.clear();
        self.probe.pause();
        self.publish_store_access();
        self.digest = DigestCache::default();
    }
}

impl GatewayState {
    /// Returns whether this box has to follow the store itself.
    pub(in super::super) fn follows_store(&self) -> bool {
        self.role.borrow().follows
    }

    /// Subscribes to this box's role in following the store.
    pub(in super::super) fn store_roles(&self) -> watch::Receiver<StoreRole> {
        self.role.subscribe()
    }

    /// Subscribes to changes of the store's address.
    pub(in super::super) fn store_moves(&self) -> watch::Receiver<SocketAddr> {
        self.store_address.subscribe()
    }

    /// Subscribes to recoveries of the store; each value is the length of the outage in
    /// milliseconds.
    pub(in super::super) fn store_recoveries(&self) -> watch::Receiver<u64> {
        self.recoveries.subscribe()
    }

    /// Subscribes to the store's latest known revision, sent whenever the store answers.
    pub(in super::super) fn store_revisions(&self) -> watch::Receiver<StoreRevision> {
        self.store_revision.subscribe()
    }

    /// Records a revision of the store, which any answer reports.
    fn record_store_revision(&self, revision: StoreRevision) {
        self.store_revision
            .send_modify(|latest| *latest = revision.max(*latest));
    }

    /// Updates this box's role in following the store.
    pub(in super::super) fn update_role(&self) {
        let now = now_ms();
        let role = self.with(|view| {
            let others = view.fleet.store_peers(now);
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

    /// Returns whether this box is one of the primary followers of the store in its domain.
    pub(in super::super) fn is_primary_watcher(&self) -> bool {
        self.with(|view| {
            let others = view.fleet.store_peers(now_ms());
            StoreFollower::is_primary(others)
        })
    }

    /// Decides whether this box, if it stands by to follow the store, probes it now. `draw` is a
    /// random number from 0 to 1.
    pub(in super::super) fn standby_turn(&self, draw: f64) -> StandbyTurn {
        if self.follows_store() {
            return StandbyTurn::Probe;
        }
        let now = now_ms();
        self.with(|view| {
            let others = view.fleet.store_peers(now);
            view.store.standby_turn(others, draw, now)
        })
    }

    /// Returns whether a probe sent at `sent_ms` has to read the store's current revision, and records
    /// that it does. One follower of the domain is enough, as others learn from it what it finds.
    pub(in super::super) fn reads_current_revision(
        &self,
        timing: ProbeTiming,
        sent_ms: u64,
    ) -> bool {
        if !self.follows_store() {
            return false;
        }
        self.with(|view| {
            let is_first = view.fleet.store_peers(sent_ms).reaching_before == 0;
            let is_due = is_first && view.revision_age.is_over(timing.revision_age_ms, sent_ms);
            if is_due {
                view.revision_age.record(sent_ms);
            }
            is_due
        })
    }

    /// Returns whether this box is a coordinator of its failure domain.
    pub(in super::super) fn is_coordinator(&self) -> bool {
        self.with(|view| view.fleet.is_coordinator(now_ms()))
    }

    /// Returns the time since the store last answered a follower of this domain, in milliseconds;
    /// `None` if it never did.
    pub(in super::super) fn store_proof_age_ms(&self) -> Option<u64> {
        self.with(|view| view.fleet.store_proof_age_ms(now_ms()))
    }

    /// Records the result of a probe sent at `sent_ms`: the store's revision, or `None` if the
    /// probe failed. Returns the change since the previous probe.
    pub(in super::super) fn record_probe(
        &self,
        revision: Option<StoreRevision>,
        sent_ms: u64,
    ) -> Option<ProbeChange> {
        let change = self.with(|view| {
            let change = view.probe.record(revision.is_some(), sent_ms);
            view.publish_store_access();
            change
        });
        if let Some(ProbeChange::Up { down_ms }) = change {
            self.recoveries.send_replace(down_ms);
        }
        if let Some(revision) = revision {
            self.record_store_revision(revision);
        }
        change
    }

    /// Returns whether this is the latest known era of the store.
    pub(in super::super) fn is_current_era(&self, era: u64) -> bool {
        self.with(|view| view.eras.current() == era)
    }

    /// Records the era that the store or another box reported; returns the current era, or `None`
    /// if the reported one is outdated.
    ///
    /// A new era makes followers list the store again at once.
    pub(in super::super) fn record_era(&self, reported: Option<u64>, source: &str) -> Option<u64> {
        let (change, era) = self.with(|view| {
            let change = view.eras.note(reported);
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

    /// Records that this box stops probing the store.
    pub(in super::super) fn pause_probes(&self) {
        self.with(|view| {
            view.probe.pause();
            view.publish_store_access();
        });
    }

    /// Returns whether the keys of `prefix` were listed and the contact has not been lost since.
    pub(in super::super) fn has_listed(&self, prefix: &'static str) -> bool {
        self.with(|view| view.store_revisions.contains_key(prefix))
    }

    /// Returns whether this box follows the store and its last calls were answered.
    pub(in super::super) fn reaches_store(&self) -> bool {
        self.with(|view| view.fleet.own().status.reaches_store)
    }

    /// Sets the revision up to which the keys of `prefix` are known, or `None` if the last call
    /// failed. Returns whether this box has just gained access to the store.
    pub(in super::super) fn set_store_revision(
        &self,
        prefix: &'static str,
        revision: Option<StoreRevision>,
    ) -> bool {
        if let Some(revision) = revision {
            self.record_store_revision(revision);
        }
        self.with(|view| {
            match revision {
                Some(revision) => {
                    view.revision_age.record(now_ms());
                    view.store_revisions.insert(prefix, revision)
                }
                None => view.store_revisions.remove(prefix),
            };
            let before = view.fleet.own().status.reaches_store;
            view.publish_store_access();
            !before && view.fleet.own().status.reaches_store
        })
    }
}
