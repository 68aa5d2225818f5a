//! Requests under which endpoints end: who is to blame, and what nobody may send any more.
//!
//! A request may end each endpoint that begins to run it. Judged alone, each send of it is harmless: the
//! endpoint is lost, and the next one is tried. So ends are counted by what ran there. All that was at an
//! endpoint when it ended is *suspect*; most of it has just been there. What runs to its end anywhere does
//! not end endpoints, and is cleared. What was there at the ends of [`SuspectRegistry::VERDICT_THRESHOLD`] lifetimes
//! without being cleared goes into *quarantine*: no box sends it to an endpoint.
//!
//! A verdict may be wrong: a request that was unlucky three times in a row. So a request in quarantine is
//! let through now and then, by one box of the fleet ([`Quarantine::next_trial`]); one that completes is
//! released. There are few such trials, as each of a guilty request costs an endpoint and all that runs there.
//!
//! All that a box learns is told to others as [`SuspectReport`]s. Rows may be lost, doubled and late, and come in
//! any order: boxes that have got the same rows believe the same.
//!
//! ```
//! use dockgate_core::gateway::{EndpointId, RequestFingerprint, SuspectRegistry};
//!
//! let fingerprint = RequestFingerprint::new([7; 16]);
//! let mut book = SuspectRegistry::default();
//! for endpoint in 1..=3 {
//!     book.note_ended(fingerprint, EndpointId(endpoint), 1_000 * endpoint);
//! }
//! assert!(book.quarantine(fingerprint, 4_000).is_some());
//! book.note_completed(fingerprint, 5_000);
//! assert!(book.quarantine(fingerprint, 5_000).is_none());
//! ```

mod quarantine;
mod suspect_report;

use super::request_fingerprint::RequestFingerprint;
use super::route_table::EndpointId;
pub use quarantine::{Quarantine, QuarantineStage};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
pub use suspect_report::{SuspectEvent, SuspectReport};

/// What is believed of a request.
#[derive(Debug, Clone, Default)]
struct Suspect {
    /// When which lifetimes ended while it was there, since it last completed.
    ends: BTreeMap<EndpointId, i64>,
    completed_ms: Option<i64>,
    quarantine: Quarantine,
    /// When something new of it was learned.
    updated_ms: u64,
}

/// What has changed for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineChange {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Whether it is in quarantine now; it was not before, or the other way round.
    pub is_quarantined: bool,
    /// The lifetimes that ended while it was there, as far as this box knows.
    pub ended_lifetimes: Vec<EndpointId>,
}

/// The requests under which endpoints have ended.
///
/// What is told may have happened before this box began, so that times are kept with a sign.
#[derive(Debug, Clone, Default)]
pub struct SuspectRegistry {
    suspects: HashMap<RequestFingerprint, Suspect>,
    /// How many of them are in quarantine, whether young enough to count or not.
    set: usize,
}

impl SuspectRegistry {
    /// At the ends of how many lifetimes a request must have been. One or two may be chance: where endpoints
    /// end for other reasons, what runs for a second at one of 18 of which one ends each 0.6 s is there at
    /// an end one time in eleven.
    pub const VERDICT_THRESHOLD: usize = 3;
    /// For how long an end or a completion is remembered, in milliseconds. A bound: what comes again after a
    /// longer time harms little.
    const RETENTION_MS: u64 = 600_000;
    /// How many requests are remembered beside those in quarantine: what runs at 16 engines. A bound, so that
    /// ends of many endpoints do not fill the memory of a box.
    const MAX_SUSPECTS: usize = 1_024;
    /// How many requests may be in quarantine; the oldest go first. A bound: all of them are told to each box
    /// that begins, and stand in one value of the store.
    pub const MAX_QUARANTINED: usize = 64;
    /// For how long something new is told again, in milliseconds: six beats, of which some are lost.
    const ANNOUNCE_MS: u64 = 2_000;
    /// How many rows are told at once, those of the requests with most ends first, then the newest. A bound: 28
    /// bytes each, and what some engines run that ended in the same moment.
    const MAX_REPORTS: usize = 100;

    /// Tells whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Tells whether any request may be in quarantine, in two nanoseconds where counting takes two microseconds.
    pub const fn has_quarantined(&self) -> bool {
        self.set > 0
    }

    /// Returns the quarantine of a request, if it is in one.
    pub fn quarantine(&self, fingerprint: RequestFingerprint, now_ms: u64) -> Option<&Quarantine> {
        let suspect = self.suspects.get(&fingerprint)?;
        Some(&suspect.quarantine).filter(|quarantine| quarantine.is_active(now_ms))
    }

    /// Counts the requests in quarantine.
    pub fn quarantined_count(&self, now_ms: u64) -> usize {
        let suspects = self.suspects.values();
        suspects
            .filter(|suspect| suspect.quarantine.is_active(now_ms))
            .count()
    }

    /// Notes that an endpoint ended while a request was there.
    pub fn note_ended(
        &mut self,
        fingerprint: RequestFingerprint,
        endpoint: EndpointId,
        now_ms: u64,
    ) -> Option<QuarantineChange> {
        let row = SuspectReport::new(fingerprint, SuspectEvent::Ended(endpoint));
        self.apply(row, now_ms)
    }

    /// Notes that a request ran to its end; where it is not suspect, that is nothing new.
    pub fn note_completed(
        &mut self,
        fingerprint: RequestFingerprint,
        now_ms: u64,
    ) -> Option<QuarantineChange> {
        self.apply(
            SuspectReport::new(fingerprint, SuspectEvent::Completed),
            now_ms,
        )
    }

    /// Releases a request, as somebody has decided who knows better.
    pub fn release(
        &mut self,
        fingerprint: RequestFingerprint,
        now_ms: u64,
    ) -> Option<QuarantineChange> {
        self.suspects.get(&fingerprint)?;
        self.change(fingerprint, now_ms, |suspect| {
            suspect.ends.clear();
            suspect.quarantine.release(now_ms as i64);
        })
    }

    /// Takes in what another box told.
    pub fn receive(&mut self, rows: &[SuspectReport], now_ms: u64) -> Vec<QuarantineChange> {
        let news = rows.iter().filter_map(|row| self.apply(*row, now_ms));
        news.collect()
    }

    /// Takes in what is known elsewhere of the quarantine of a request.
    pub fn merge(
        &mut self,
        fingerprint: RequestFingerprint,
        known: Quarantine,
        now_ms: u64,
    ) -> Option<QuarantineChange> {
        self.change(fingerprint, now_ms, |suspect| suspect.merge(known))
    }

    /// Lists what has to outlast all boxes: the quarantines, and the releases from them, the latest first.
    pub fn quarantines(&self, now_ms: u64) -> Vec<(RequestFingerprint, Quarantine)> {
        let suspects = self.suspects.iter();
        let kept = suspects.filter(|(_, suspect)| suspect.quarantine.is_retained(now_ms));
        let mut kept: Vec<(RequestFingerprint, Quarantine)> = kept
            .map(|(fingerprint, suspect)| (*fingerprint, suspect.quarantine))
            .collect();
        kept.sort_unstable_by_key(|(fingerprint, quarantine)| {
            (Reverse(quarantine.at_ms), *fingerprint)
        });
        kept.truncate(Self::MAX_QUARANTINED);
        kept
    }

    /// Lists what is told to a box that may know as much: what is new, and where `is_whole` all quarantines.
    pub fn reports(&self, is_whole: bool, now_ms: u64) -> Vec<SuspectReport> {
        let is_fresh = |suspect: &Suspect| suspect.updated_ms + Self::ANNOUNCE_MS > now_ms;
        let suspects = self.suspects.iter();
        let fresh = suspects.filter(|(_, suspect)| is_fresh(suspect));
        let mut fresh: Vec<(RequestFingerprint, &Suspect)> = fresh
            .map(|(fingerprint, suspect)| (*fingerprint, suspect))
            .collect();
        fresh.sort_unstable_by_key(|(fingerprint, suspect)| {
            (
                Reverse((suspect.ends.len(), suspect.updated_ms)),
                *fingerprint,
            )
        });
        let fresh = fresh.iter();
        let news = fresh.flat_map(|(fingerprint, suspect)| suspect.rows(*fingerprint, now_ms));
        let kept = self.suspects.iter();
        let kept = kept.filter(|(_, suspect)| {
            let is_due = is_whole || is_fresh(suspect);
            is_due && suspect.quarantine.is_retained(now_ms)
        });
        let kept = kept.map(|(fingerprint, suspect)| {
            let Quarantine { stage, at_ms } = suspect.quarantine;
            SuspectReport::new(*fingerprint, SuspectEvent::Quarantine(stage)).at(at_ms, now_ms)
        });
        kept.chain(news.take(Self::MAX_REPORTS)).collect()
    }

    /// Forgets what is too old to matter.
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
                false => others.push((suspect.ends.len(), suspect.updated_ms, *fingerprint)),
            }
        }
        kept.sort_unstable_by_key(|row| Reverse(*row));
        others.sort_unstable_by_key(|row| Reverse(*row));
        let kept = kept.into_iter().skip(Self::MAX_QUARANTINED);
        let others = others.into_iter().skip(Self::MAX_SUSPECTS);
        let surplus = kept
            .map(|(_, fingerprint)| fingerprint)
            .chain(others.map(|(_, _, fingerprint)| fingerprint));
        for fingerprint in surplus {
            self.suspects.remove(&fingerprint);
        }
        let left = self.suspects.values();
        self.set = left
            .filter(|suspect| suspect.quarantine.stage.is_active())
            .count();
    }

    fn apply(&mut self, row: SuspectReport, now_ms: u64) -> Option<QuarantineChange> {
        let at_ms = row.at_ms(now_ms);
        match row.sign {
            SuspectEvent::Ended(endpoint) => self.change(row.fingerprint, now_ms, |suspect| {
                suspect.note_ended(endpoint, at_ms);
            }),
            // What is not suspect is not remembered for having completed.
            SuspectEvent::Completed if !self.suspects.contains_key(&row.fingerprint) => None,
            SuspectEvent::Completed => self.change(row.fingerprint, now_ms, |suspect| {
                suspect.note_completed(at_ms);
            }),
            SuspectEvent::Quarantine(stage) => {
                self.merge(row.fingerprint, Quarantine { stage, at_ms }, now_ms)
            }
        }
    }

    /// Changes what is believed of a request; returns whether that brings it into quarantine or out of it.
    fn change(
        &mut self,
        fingerprint: RequestFingerprint,
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
        let (was, is) = (
            before.quarantine.is_active(now_ms),
            after.quarantine.is_active(now_ms),
        );
        let ended_lifetimes = after.ends.keys().copied().collect();
        match (
            before.quarantine.stage.is_active(),
            after.quarantine.stage.is_active(),
        ) {
            (false, true) => self.set += 1,
            (true, false) => self.set -= 1,
            _ => {}
        }
        self.suspects.insert(fingerprint, after);
        if self.suspects.len() > Self::MAX_SUSPECTS + Self::MAX_QUARANTINED {
            self.evict_surplus(now_ms);
        }
        (was != is).then_some(QuarantineChange {
            fingerprint,
            is_quarantined: is,
            ended_lifetimes,
        })
    }
}

impl Suspect {
    /// How many ends are kept of a request: more tell nothing more.
    const MAX_ENDS: usize = 2 * SuspectRegistry::VERDICT_THRESHOLD;

    fn note_ended(&mut self, endpoint: EndpointId, at_ms: i64) {
        let is_cleared = self
            .completed_ms
            .is_some_and(|completed| completed >= at_ms);
        if !is_cleared && self.ends.len() < Self::MAX_ENDS {
            self.ends.entry(endpoint).or_insert(at_ms);
        }
    }

    /// Clears the request of all ends until then, and releases it.
    fn note_completed(&mut self, at_ms: i64) {
        let known = self.completed_ms;
        let completed = known.map_or(at_ms, |known| known.max(at_ms));
        self.completed_ms = Some(completed);
        self.ends.retain(|_, ended| *ended > completed);
        // One from before the verdict, told late, is in it already.
        if completed > self.quarantine.at_ms {
            self.quarantine.release(completed);
        }
    }

    fn merge(&mut self, known: Quarantine) {
        let before = self.quarantine.stage;
        self.quarantine.merge(known);
        if self.quarantine.stage.released && self.quarantine.stage > before {
            self.ends.clear();
        }
    }

    /// Puts the request into quarantine where enough lifetimes have ended under it.
    fn apply_verdict(&mut self) {
        if self.ends.len() >= SuspectRegistry::VERDICT_THRESHOLD {
            let last = self.ends.values().max().copied().unwrap_or_default();
            self.quarantine.impose(last);
        }
    }

    /// Tells whether this is news for somebody who believes `before`: a moment that is told again, some
    /// milliseconds later, is none.
    fn adds_to(&self, before: &Self) -> bool {
        let is_cleared = self.completed_ms.is_some() != before.completed_ms.is_some();
        self.ends.len() != before.ends.len()
            || self.quarantine.stage != before.quarantine.stage
            || is_cleared
    }

    fn rows(
        &self,
        fingerprint: RequestFingerprint,
        now_ms: u64,
    ) -> impl Iterator<Item = SuspectReport> {
        let ends = self.ends.iter();
        let ends = ends.map(|(endpoint, at_ms)| (SuspectEvent::Ended(*endpoint), *at_ms));
        let completed = self.completed_ms.iter();
        let completed = completed.map(|at_ms| (SuspectEvent::Completed, *at_ms));
        let signs = completed.chain(ends);
        signs.map(move |(sign, at_ms)| SuspectReport::new(fingerprint, sign).at(at_ms, now_ms))
    }
}

#[cfg(test)]
mod blame_tests;
#[cfg(test)]
mod fleet_tests;
#[cfg(test)]
mod tests;
