//! Finds requests that crash endpoints, and keeps them in quarantine.
//!
//! A request may crash every endpoint that runs it. Retries alone do not reveal this, since each
//! endpoint is lost only once. The registry therefore counts, per request, the lifetimes of
//! endpoints that ended while the request was running there. Every request running at that moment
//! becomes a *suspect*. A request that completes anywhere is cleared. A request that was present at
//! the end of [`SuspectRegistry::VERDICT_THRESHOLD`] lifetimes without completing goes into
//! *quarantine*: no box sends it to an endpoint.
//!
//! A verdict may be wrong, so one box of the fleet occasionally lets a quarantined request through
//! as a trial ([`Quarantine::next_trial`]), and a request that completes is released. Trials are
//! rare because a trial of a harmful request costs an endpoint and everything that runs there.
//!
//! Boxes exchange what they learn as [`SuspectReport`]s. Reports may be lost, duplicated, delayed
//! and reordered; boxes that have received the same reports reach the same verdicts.
//!
//! ```
//! use dockgate_core::gateway::{EndpointId, SuspectKey, SuspectRegistry};
//!
//! let fingerprint = SuspectKey::new([7; 16]);
//! let mut registry = SuspectRegistry::default();
//! for endpoint in 1..=3 {
//!     registry.note_ended(fingerprint, EndpointId(endpoint), 1_000 * endpoint);
//! }
//! assert!(registry.quarantine(fingerprint, 4_000).is_some());
//! registry.note_completed(fingerprint, 5_000);
//! assert!(registry.quarantine(fingerprint, 5_000).is_none());
//! ```

mod quarantine;
mod suspect_report;

use super::route_table::EndpointId;
use super::suspect_key::{SuspectKey, SuspectKind};
pub use quarantine::{Quarantine, QuarantineStage};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
pub use suspect_report::{SuspectEvent, SuspectReport};

/// The evidence against one request, and its quarantine.
#[derive(Debug, Clone, Default)]
struct Suspect {
    /// The lifetimes that ended while the request was running there, with the time of each end,
    /// since the request last completed.
    ended_lifetimes: BTreeMap<EndpointId, i64>,
    completed_ms: Option<i64>,
    quarantine: Quarantine,
    /// When this entry last gained information.
    updated_ms: u64,
}

/// A request that entered or left quarantine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineChange {
    /// The request.
    pub fingerprint: SuspectKey,
    /// Whether the request is in quarantine now.
    pub is_quarantined: bool,
    /// The lifetimes known to this box that ended while the request was running there.
    pub ended_lifetimes: Vec<EndpointId>,
}

/// The requests that were running at endpoints when those ended.
///
/// Reported events may predate the start of this box, so times are signed.
#[derive(Debug, Clone, Default)]
pub struct SuspectRegistry {
    suspects: HashMap<SuspectKey, Suspect>,
    /// The number of suspects whose quarantine was not released, including expired quarantines.
    unreleased: usize,
}

impl SuspectRegistry {
    /// The number of ended lifetimes that puts a request into quarantine. One or two may be chance
    /// when endpoints also end for other reasons.
    pub const VERDICT_THRESHOLD: usize = 3;
    /// How long a suspect without new information is kept, in milliseconds.
    const RETENTION_MS: u64 = 600_000;
    /// The maximum number of suspects kept besides those in quarantine, which bounds memory.
    const MAX_SUSPECTS: usize = 1_024;
    /// The maximum number of quarantines; the oldest are evicted first. All of them are sent to
    /// each box that starts and are stored in a single value.
    pub const MAX_QUARANTINED: usize = 64;
    /// How long new information is repeated, in milliseconds: several heartbeats, as some are lost.
    const ANNOUNCE_MS: u64 = 2_000;
    /// The maximum number of reports sent at once besides those of quarantines. Requests with the
    /// most ended lifetimes come first, then the newest.
    const MAX_REPORTS: usize = 100;

    /// Returns whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the lifetimes known to this box that ended while a suspect was running there.
    pub fn ended_lifetimes(&self, key: SuspectKey) -> Vec<EndpointId> {
        let suspect = self.suspects.get(&key);
        let ended = suspect
            .into_iter()
            .flat_map(|suspect| suspect.ended_lifetimes.keys());
        ended.copied().collect()
    }

    /// Returns the number of requests, or of parts of prompts, in quarantine.
    pub fn quarantined_of(&self, kind: SuspectKind, now_ms: u64) -> usize {
        let suspects = self.suspects.iter().filter(|(key, _)| key.kind() == kind);
        let active = suspects.filter(|(_, suspect)| suspect.quarantine.is_active(now_ms));
        active.count()
    }

    /// Returns whether any request may be in quarantine; a cheap check before computing a
    /// fingerprint.
    pub const fn has_quarantined(&self) -> bool {
        self.unreleased > 0
    }

    /// Returns the quarantine of a request, or `None` if it is not in quarantine.
    pub fn quarantine(&self, fingerprint: SuspectKey, now_ms: u64) -> Option<&Quarantine> {
        let suspect = self.suspects.get(&fingerprint)?;
        Some(&suspect.quarantine).filter(|quarantine| quarantine.is_active(now_ms))
    }

    /// Returns the number of requests in quarantine.
    pub fn quarantined_count(&self, now_ms: u64) -> usize {
        let suspects = self.suspects.values();
        suspects
            .filter(|suspect| suspect.quarantine.is_active(now_ms))
            .count()
    }

    /// Records that an endpoint ended while a request was running there.
    pub fn note_ended(
        &mut self,
        fingerprint: SuspectKey,
        endpoint: EndpointId,
        now_ms: u64,
    ) -> Option<QuarantineChange> {
        let report = SuspectReport::new(fingerprint, SuspectEvent::Ended(endpoint));
        self.apply(report, now_ms)
    }

    /// Records that a request completed; ignored if it is not a suspect.
    pub fn note_completed(
        &mut self,
        fingerprint: SuspectKey,
        now_ms: u64,
    ) -> Option<QuarantineChange> {
        self.apply(
            SuspectReport::new(fingerprint, SuspectEvent::Completed),
            now_ms,
        )
    }

    /// Releases a request on the decision of an operator.
    pub fn release(&mut self, fingerprint: SuspectKey, now_ms: u64) -> Option<QuarantineChange> {
        self.suspects.get(&fingerprint)?;
        self.change(fingerprint, now_ms, |suspect| {
            suspect.ended_lifetimes.clear();
            suspect.quarantine.release(now_ms as i64);
        })
    }

    /// Applies the reports of another box.
    pub fn receive(&mut self, reports: &[SuspectReport], now_ms: u64) -> Vec<QuarantineChange> {
        let changes = reports
            .iter()
            .filter_map(|report| self.apply(*report, now_ms));
        changes.collect()
    }

    /// Merges the quarantine of a request as known to the store or another box.
    pub fn merge(
        &mut self,
        fingerprint: SuspectKey,
        known: Quarantine,
        now_ms: u64,
    ) -> Option<QuarantineChange> {
        self.change(fingerprint, now_ms, |suspect| suspect.merge(known))
    }

    /// Lists the quarantines to persist, including released ones, newest first.
    pub fn quarantines(&self, now_ms: u64) -> Vec<(SuspectKey, Quarantine)> {
        let suspects = self.suspects.iter();
        let kept = suspects.filter(|(_, suspect)| suspect.quarantine.is_retained(now_ms));
        let mut kept: Vec<(SuspectKey, Quarantine)> = kept
            .map(|(fingerprint, suspect)| (*fingerprint, suspect.quarantine))
            .collect();
        kept.sort_unstable_by_key(|(key, quarantine)| (Reverse(quarantine.at_ms), *key));
        kept.truncate(Self::MAX_QUARANTINED);
        kept
    }

    /// Lists the reports to send to another box: recent information, and all quarantines if
    /// `is_full` is set.
    pub fn reports(&self, is_full: bool, now_ms: u64) -> Vec<SuspectReport> {
        let is_fresh = |suspect: &Suspect| suspect.updated_ms + Self::ANNOUNCE_MS > now_ms;
        let suspects = self.suspects.iter();
        let fresh = suspects.filter(|(_, suspect)| is_fresh(suspect));
        let mut fresh: Vec<(SuspectKey, &Suspect)> = fresh
            .map(|(fingerprint, suspect)| (*fingerprint, suspect))
            .collect();
        fresh.sort_unstable_by_key(|(fingerprint, suspect)| {
            (
                Reverse((suspect.ended_lifetimes.len(), suspect.updated_ms)),
                *fingerprint,
            )
        });
        let fresh = fresh.iter();
        let reports =
            fresh.flat_map(|(fingerprint, suspect)| suspect.reports(*fingerprint, now_ms));
        let kept = self.suspects.iter();
        let kept = kept.filter(|(_, suspect)| {
            let is_due = is_full || is_fresh(suspect);
            is_due && suspect.quarantine.is_retained(now_ms)
        });
        let kept = kept.map(|(fingerprint, suspect)| {
            let Quarantine { stage, at_ms } = suspect.quarantine;
            SuspectReport::new(*fingerprint, SuspectEvent::Quarantine(stage)).at(at_ms, now_ms)
        });
        kept.chain(reports.take(Self::MAX_REPORTS)).collect()
    }

    /// Removes expired entries, and the surplus beyond the bounds.
    pub fn expire(&mut self, now_ms: u64) {
        self.suspects.retain(|_, suspect| {
            suspect.updated_ms + Self::RETENTION_MS > now_ms
                || suspect.quarantine.is_retained(now_ms)
        });
        self.evict_surplus(now_ms);
    }

    fn evict_surplus(&mut self, now_ms: u64) {
        let (mut kept, mut others) = (Vec::new(), Vec::new());
        for (fingerprint, suspect) in &self.suspects {
            match suspect.quarantine.is_retained(now_ms) {
                true => kept.push((suspect.quarantine.at_ms, *fingerprint)),
                false => others.push((
                    suspect.ended_lifetimes.len(),
                    suspect.updated_ms,
                    *fingerprint,
                )),
            }
        }
        kept.sort_unstable_by_key(|entry| Reverse(*entry));
        others.sort_unstable_by_key(|entry| Reverse(*entry));
        let kept = kept.into_iter().skip(Self::MAX_QUARANTINED);
        let others = others.into_iter().skip(Self::MAX_SUSPECTS);
        let surplus = kept
            .map(|(_, fingerprint)| fingerprint)
            .chain(others.map(|(_, _, fingerprint)| fingerprint));
        for fingerprint in surplus {
            self.suspects.remove(&fingerprint);
        }
        let suspects = self.suspects.values();
        self.unreleased = suspects
            .filter(|suspect| suspect.quarantine.stage.is_active())
            .count();
    }

    fn apply(&mut self, report: SuspectReport, now_ms: u64) -> Option<QuarantineChange> {
        let at_ms = report.at_ms(now_ms);
        match report.event {
            SuspectEvent::Ended(endpoint) => self.change(report.fingerprint, now_ms, |suspect| {
                suspect.note_ended(endpoint, at_ms);
            }),
            // The completion of a request that is no suspect is not recorded.
            SuspectEvent::Completed if !self.suspects.contains_key(&report.fingerprint) => None,
            SuspectEvent::Completed => self.change(report.fingerprint, now_ms, |suspect| {
                suspect.note_completed(at_ms);
            }),
            SuspectEvent::Quarantine(stage) => {
                self.merge(report.fingerprint, Quarantine { stage, at_ms }, now_ms)
            }
        }
    }

    /// Applies a change to a suspect and returns the change of its quarantine, if any.
    fn change(
        &mut self,
        fingerprint: SuspectKey,
        now_ms: u64,
        change: impl FnOnce(&mut Suspect),
    ) -> Option<QuarantineChange> {
        let before = self.suspects.get(&fingerprint).cloned().unwrap_or_default();
        let mut after = before.clone();
        change(&mut after);
        after.apply_verdict();
        if after.adds_to(&before) {
            after.updated_ms = now_ms;
        } else if !self.suspects.contains_key(&fingerprint) {
            return None;
        }
        let (was_active, is_active) = (
            before.quarantine.is_active(now_ms),
            after.quarantine.is_active(now_ms),
        );
        let ended_lifetimes = after.ended_lifetimes.keys().copied().collect();
        match (
            before.quarantine.stage.is_active(),
            after.quarantine.stage.is_active(),
        ) {
            (false, true) => self.unreleased += 1,
            (true, false) => self.unreleased -= 1,
            _ => {}
        }
        self.suspects.insert(fingerprint, after);
        if self.suspects.len() > Self::MAX_SUSPECTS + Self::MAX_QUARANTINED {
            self.evict_surplus(now_ms);
        }
        (was_active != is_active).then_some(QuarantineChange {
            fingerprint,
            is_quarantined: is_active,
            ended_lifetimes,
        })
    }
}

impl Suspect {
    /// The maximum number of ended lifetimes kept per request.
    const MAX_ENDED_LIFETIMES: usize = 2 * SuspectRegistry::VERDICT_THRESHOLD;

    fn note_ended(&mut self, endpoint: EndpointId, at_ms: i64) {
        let is_cleared = self
            .completed_ms
            .is_some_and(|completed| completed >= at_ms);
        if !is_cleared && self.ended_lifetimes.len() < Self::MAX_ENDED_LIFETIMES {
            self.ended_lifetimes.entry(endpoint).or_insert(at_ms);
        }
    }

    /// Discards the evidence up to the completion, and releases the request.
    fn note_completed(&mut self, at_ms: i64) {
        let known = self.completed_ms;
        let completed = known.map_or(at_ms, |known| known.max(at_ms));
        self.completed_ms = Some(completed);
        self.ended_lifetimes.retain(|_, ended| *ended > completed);
        // A completion that predates the verdict was already accounted for.
        if completed > self.quarantine.at_ms {
            self.quarantine.release(completed);
        }
    }

    fn merge(&mut self, known: Quarantine) {
        let before = self.quarantine.stage;
        self.quarantine.merge(known);
        if self.quarantine.stage.released && self.quarantine.stage > before {
            self.ended_lifetimes.clear();
        }
    }

    /// Puts the request into quarantine if enough lifetimes ended while it was running there.
    fn apply_verdict(&mut self) {
        if self.ended_lifetimes.len() >= SuspectRegistry::VERDICT_THRESHOLD {
            let last = self
                .ended_lifetimes
                .values()
                .max()
                .copied()
                .unwrap_or_default();
            self.quarantine.impose(last);
        }
    }

    /// Returns whether this entry has information that `before` lacks. Differing times of the same
    /// event do not count, as each report shifts them by its delay.
    fn adds_to(&self, before: &Self) -> bool {
        let is_cleared = self.completed_ms.is_some() != before.completed_ms.is_some();
        self.ended_lifetimes.len() != before.ended_lifetimes.len()
            || self.quarantine.stage != before.quarantine.stage
            || is_cleared
    }

    fn reports(&self, fingerprint: SuspectKey, now_ms: u64) -> impl Iterator<Item = SuspectReport> {
        let ends = self.ended_lifetimes.iter();
        let ends = ends.map(|(endpoint, at_ms)| (SuspectEvent::Ended(*endpoint), *at_ms));
        let completed = self.completed_ms.iter();
        let completed = completed.map(|at_ms| (SuspectEvent::Completed, *at_ms));
        let events = completed.chain(ends);
        events.map(move |(event, at_ms)| SuspectReport::new(fingerprint, event).at(at_ms, now_ms))
    }
}

#[cfg(test)]
mod fleet_tests;
#[cfg(test)]
mod tests;
#[cfg(test)]
mod verdict_tests;
