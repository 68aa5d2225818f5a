//! Finds requests and parts of prompts that crash endpoints, and keeps them in quarantine.
//!
//! A request, or every request with a certain part in its prompt, may crash every endpoint that runs
//! it. Retries alone do not reveal this, since each endpoint is lost only once. The registry
//! therefore counts, per request and per part, the lifetimes of endpoints that ended while it was
//! running there. Everything running at that moment becomes a *suspect*. A suspect that completes
//! anywhere is cleared. One that was present at the end of [`SuspectRegistry::VERDICT_THRESHOLD`]
//! lifetimes without completing goes into *quarantine*: no box sends it to an endpoint.
//!
//! Requests and other parts that ran beside a harmful part are present at its ends as well. An end
//! at which a quarantined part was running is therefore *explained*, and says nothing against the
//! others; `verdict` has the rules.
//!
//! A verdict may be wrong, so one box of the fleet occasionally lets a quarantined suspect through
//! as a trial ([`Quarantine::next_trial`]), and a suspect that completes is released. Trials are
//! rare because a trial of a harmful request costs an endpoint and everything that runs there.
//!
//! Boxes exchange what they learn as [`SuspectReport`]s. Reports may be lost, duplicated, delayed
//! and reordered; boxes that have received the same reports reach the same verdicts.
//!
//! ```
//! use dockgate_core::gateway::{EndpointId, SuspectKey, SuspectRegistry};
//!
//! let (request, part) = (SuspectKey::new([7; 16]), SuspectKey::of_part("model", 9));
//! let mut registry = SuspectRegistry::default();
//! for endpoint in 1..=3 {
//!     registry.note_ended(&[part], EndpointId(endpoint), 1_000 * endpoint);
//! }
//! registry.note_ended(&[request], EndpointId(3), 3_000);
//! assert!(registry.quarantine(part, 4_000).is_some());
//! assert!(registry.quarantine(request, 4_000).is_none());
//! registry.note_completed(&[request, part], 5_000);
//! assert!(registry.quarantine(part, 5_000).is_none());
//! ```

mod quarantine;
mod sound_parts;
mod suspect_report;
mod verdict;

use super::route_table::EndpointId;
use super::suspect_key::{SuspectKey, SuspectKind};
pub use quarantine::{Quarantine, QuarantineStage};
use sound_parts::SoundParts;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
pub use suspect_report::{SuspectEvent, SuspectReport};
use verdict::{VerdictCase, VerdictRules};

/// The evidence against one request or part, and its quarantine.
#[derive(Debug, Clone, Default)]
struct Suspect {
    /// The lifetimes that ended while the suspect was running there, with the time of each end,
    /// since the suspect last completed.
    ended_lifetimes: BTreeMap<EndpointId, i64>,
    /// The lifetimes whose ends were the evidence of a verdict that was lifted. Boxes that do not know
    /// of the release report them again.
    pardoned: BTreeSet<EndpointId>,
    completed_ms: Option<i64>,
    quarantine: Quarantine,
    /// When this entry last gained information.
    updated_ms: u64,
    /// The rank of its reports: the number of ended lifetimes before or after the latest change,
    /// whichever is higher, so that the completion of a weighty suspect is reported early as well.
    weight: usize,
}

/// A request or part that entered or left quarantine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineChange {
    /// The request or part.
    pub fingerprint: SuspectKey,
    /// Whether it is in quarantine now.
    pub is_quarantined: bool,
    /// The lifetimes known to this box that ended while it was running there.
    pub ended_lifetimes: Vec<EndpointId>,
}

/// Whether suspects were in quarantine before a change.
type PriorStates = BTreeMap<SuspectKey, bool>;

/// The requests and parts that were running at endpoints when those ended.
///
/// Reported events may predate the start of this box, so times are signed.
#[derive(Debug, Clone, Default)]
pub struct SuspectRegistry {
    suspects: HashMap<SuspectKey, Suspect>,
    /// The lifetimes that ended with anything running there, with the time of each end.
    ended: BTreeMap<EndpointId, i64>,
    /// The parts that recently completed at this box, of which some may become suspects.
    sound: SoundParts,
    /// The number of suspects whose quarantine was not released, including expired quarantines.
    unreleased: usize,
    /// How many of these are requests.
    unreleased_requests: usize,
    /// When the evidence was last judged.
    judged_ms: i64,
    rules: VerdictRules,
}

impl SuspectRegistry {
    /// The number of ended lifetimes that puts a request into quarantine, and a part in the common
    /// case. One or two may be chance when endpoints also end for other reasons.
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
    /// How long the ends without a verdict stay part of full reports, in milliseconds, so that boxes
    /// that were out of touch learn of them.
    const EVIDENCE_MS: u64 = 60_000;
    /// The maximum number of reports sent at once besides those of quarantines. Quarantined parts
    /// come first, then what has the most ended lifetimes, parts before requests, then the newest.
    const MAX_REPORTS: usize = 100;
    /// The maximum number of ended lifetimes kept to tell how many of them a part explains.
    const MAX_ENDED: usize = 256;

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

    /// Returns whether any request or part may be in quarantine; a cheap check before computing keys.
    pub const fn has_quarantined(&self) -> bool {
        self.unreleased > 0
    }

    /// Returns whether any whole request may be in quarantine; only then are bodies hashed.
    pub const fn has_quarantined_requests(&self) -> bool {
        self.unreleased_requests > 0
    }

    /// Returns the quarantine of a request or part, or `None` if it is not in quarantine.
    pub fn quarantine(&self, fingerprint: SuspectKey, now_ms: u64) -> Option<&Quarantine> {
        let suspect = self.suspects.get(&fingerprint)?;
        Some(&suspect.quarantine).filter(|quarantine| quarantine.is_active(now_ms))
    }

    /// Returns the number of requests and parts in quarantine.
    pub fn quarantined_count(&self, now_ms: u64) -> usize {
        let suspects = self.suspects.values();
        suspects
            .filter(|suspect| suspect.quarantine.is_active(now_ms))
            .count()
    }

    /// Records that an endpoint ended while requests with these keys, their own and those of their
    /// parts, were running there.
    pub fn note_ended(
        &mut self,
        keys: &[SuspectKey],
        endpoint: EndpointId,
        now_ms: u64,
    ) -> Vec<QuarantineChange> {
        let event = SuspectEvent::Ended(endpoint);
        let reports = keys.iter().map(|key| SuspectReport::new(*key, event));
        self.apply_all(reports, now_ms)
    }

    /// Records that a request with these keys, its own and those of its parts, completed.
    pub fn note_completed(&mut self, keys: &[SuspectKey], now_ms: u64) -> Vec<QuarantineChange> {
        let parts = keys.iter().filter(|key| key.kind() == SuspectKind::Part);
        parts.for_each(|part| self.sound.note_completed(*part, now_ms));
        let reports = keys
            .iter()
            .map(|key| SuspectReport::new(*key, SuspectEvent::Completed));
        self.apply_all(reports, now_ms)
    }

    /// Releases a request or part on the decision of an operator.
    pub fn release(&mut self, fingerprint: SuspectKey, now_ms: u64) -> Vec<QuarantineChange> {
        if !self.suspects.contains_key(&fingerprint) {
            return Vec::new();
        }
        let mut prior = PriorStates::new();
        self.change(fingerprint, now_ms, &mut prior, |suspect| {
            suspect.pardon_ends();
            suspect.quarantine.release(now_ms as i64);
        });
        self.conclude(prior, now_ms)
    }

    /// Applies the reports of another box.
    pub fn receive(&mut self, reports: &[SuspectReport], now_ms: u64) -> Vec<QuarantineChange> {
        self.apply_all(reports.iter().copied(), now_ms)
    }

    /// Merges the quarantine of a request or part as known to the store or another box.
    pub fn merge(
        &mut self,
        fingerprint: SuspectKey,
        known: Quarantine,
        now_ms: u64,
    ) -> Vec<QuarantineChange> {
        let mut prior = PriorStates::new();
        self.change(fingerprint, now_ms, &mut prior, |suspect| {
            suspect.merge(known);
        });
        match prior.is_empty() {
            true => Vec::new(),
            false => self.conclude(prior, now_ms),
        }
    }

    /// Lists the quarantines to persist, including released ones. Those in force come first, parts
    /// before requests, then the newest.
    pub fn quarantines(&self, now_ms: u64) -> Vec<(SuspectKey, Quarantine)> {
        let suspects = self.suspects.iter();
        let kept = suspects.filter(|(_, suspect)| suspect.quarantine.is_retained(now_ms));
        let mut kept: Vec<(SuspectKey, Quarantine)> = kept
            .map(|(fingerprint, suspect)| (*fingerprint, suspect.quarantine))
            .collect();
        kept.sort_unstable_by_key(|(key, quarantine)| Reverse(quarantine_rank(*key, quarantine)));
        kept.truncate(Self::MAX_QUARANTINED);
        kept
    }

    /// Lists the reports to send to another box: recent information; all quarantines and the ends
    /// without a verdict if `is_full` is set.
    pub fn reports(&self, is_full: bool, now_ms: u64) -> Vec<SuspectReport> {
        let is_fresh = |suspect: &Suspect| suspect.updated_ms + Self::ANNOUNCE_MS > now_ms;
        let is_unjudged = |key: SuspectKey, suspect: &Suspect| {
            let is_weighty = key.kind() == SuspectKind::Part || suspect.ended_lifetimes.len() > 1;
            let is_recent = suspect.updated_ms + Self::EVIDENCE_MS > now_ms;
            is_weighty && is_recent && !suspect.quarantine.is_active(now_ms)
        };
        let suspects = self.suspects.iter();
        let fresh = suspects
            .filter(|(key, suspect)| is_fresh(suspect) || (is_full && is_unjudged(**key, suspect)));
        let mut fresh: Vec<(SuspectKey, &Suspect)> = fresh
            .map(|(fingerprint, suspect)| (*fingerprint, suspect))
            .collect();
        fresh.sort_unstable_by_key(|(key, suspect)| {
            let is_blamed = is_quarantined_part(*key, suspect, now_ms);
            Reverse((is_blamed, suspect_rank(*key, suspect, suspect.weight)))
        });
        let explained = &self.explained_ends(now_ms);
        let fresh = fresh.iter();
        let reports = fresh.flat_map(|(fingerprint, suspect)| {
            let is_blamed = suspect.quarantine.is_active(now_ms);
            let is_reported =
                move |endpoint: &EndpointId| is_blamed || !explained.contains(endpoint);
            suspect.reports(*fingerprint, is_reported, now_ms)
        });
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

    /// Returns the ended lifetimes at which a quarantined part was running.
    fn explained_ends(&self, now_ms: u64) -> BTreeSet<EndpointId> {
        let suspects = self.suspects.iter();
        let blamed = suspects.filter(|(key, suspect)| is_quarantined_part(**key, suspect, now_ms));
        blamed
            .flat_map(|(_, suspect)| suspect.ended_lifetimes.keys().copied())
            .collect()
    }

    /// Removes expired entries and the surplus beyond the bounds, and reaches the verdicts that are
    /// due without further evidence.
    pub fn expire(&mut self, now_ms: u64) -> Vec<QuarantineChange> {
        let oldest_ms = now_ms as i64 - Self::RETENTION_MS as i64;
        self.ended.retain(|_, at_ms| *at_ms > oldest_ms);
        self.sound.expire(now_ms.saturating_sub(Self::RETENTION_MS));
        self.suspects.retain(|_, suspect| {
            suspect.updated_ms + Self::RETENTION_MS > now_ms
                || suspect.quarantine.is_retained(now_ms)
        });
        self.evict_surplus(now_ms);
        match self.is_confirmation_due(now_ms) {
            true => self.conclude(PriorStates::new(), now_ms),
            false => Vec::new(),
        }
    }

    /// Returns whether a part that has completed may have been confirmed as harmful since the
    /// evidence was last judged.
    fn is_confirmation_due(&self, now_ms: u64) -> bool {
        let confirmed = self.judged_ms - self.rules.confirmation_ms + 1
            ..=now_ms as i64 - self.rules.confirmation_ms;
        self.suspects.iter().any(|(key, suspect)| {
            key.kind() == SuspectKind::Part
                && suspect.completed_ms.is_some()
                && suspect.ended_lifetimes.len() >= self.rules.doubtful_ends
                && !suspect.quarantine.is_active(now_ms)
                && suspect
                    .ended_lifetimes
                    .values()
                    .any(|at_ms| confirmed.contains(at_ms))
        })
    }

    fn evict_surplus(&mut self, now_ms: u64) {
        let (mut kept, mut others) = (Vec::new(), Vec::new());
        for (key, suspect) in &self.suspects {
            match suspect.quarantine.is_retained(now_ms) {
                true => kept.push(quarantine_rank(*key, &suspect.quarantine)),
                false => others.push(suspect_rank(*key, suspect, suspect.ended_lifetimes.len())),
            }
        }
        kept.sort_unstable_by_key(|rank| Reverse(*rank));
        others.sort_unstable_by_key(|rank| Reverse(*rank));
        let kept = kept.into_iter().skip(Self::MAX_QUARANTINED);
        let others = others.into_iter().skip(Self::MAX_SUSPECTS);
        let surplus = kept.map(|(.., key)| key).chain(others.map(|(.., key)| key));
        for key in surplus {
            self.suspects.remove(&key);
        }
        let suspects = self.suspects.iter();
        let unreleased = suspects.filter(|(_, suspect)| suspect.quarantine.stage.is_active());
        let unreleased: Vec<SuspectKey> = unreleased.map(|(key, _)| *key).collect();
        (self.unreleased, self.unreleased_requests) = (0, 0);
        unreleased
            .into_iter()
            .for_each(|key| self.count_unreleased(key, 1));
    }

    fn count_unreleased(&mut self, key: SuspectKey, change: isize) {
        self.unreleased = self.unreleased.saturating_add_signed(change);
        if matches!(key.kind(), SuspectKind::Request) {
            self.unreleased_requests = self.unreleased_requests.saturating_add_signed(change);
        }
    }

    fn apply_all(
        &mut self,
        reports: impl Iterator<Item = SuspectReport>,
        now_ms: u64,
    ) -> Vec<QuarantineChange> {
        let mut prior = PriorStates::new();
        let known = self.ended.len();
        reports.for_each(|report| self.apply(report, now_ms, &mut prior));
        match prior.is_empty() && self.ended.len() == known {
            true => Vec::new(),
            false => self.conclude(prior, now_ms),
        }
    }

    fn apply(&mut self, report: SuspectReport, now_ms: u64, prior: &mut PriorStates) {
        let at_ms = report.at_ms(now_ms);
        let key = report.fingerprint;
        match report.event {
            SuspectEvent::Ended(endpoint) => {
                self.ended.entry(endpoint).or_insert(at_ms);
                let known = self.suspects.get(&key);
                if known.is_some_and(|known| known.ended_lifetimes.contains_key(&endpoint)) {
                    return;
                }
                // What completed before it became a suspect is reported with the ends.
                let completed_ms = self.sound.completed_ms(key).map(|at_ms| at_ms as i64);
                self.change(key, now_ms, prior, |suspect| {
                    suspect.completed_ms = suspect.completed_ms.max(completed_ms);
                    suspect.note_ended(endpoint, at_ms);
                });
            }
            SuspectEvent::Completed => match self.suspects.get_mut(&key) {
                // The completion of a request that is no suspect is not recorded.
                None => {}
                Some(suspect) if suspect.is_cleared_before(at_ms) => {
                    suspect.completed_ms = suspect.completed_ms.max(Some(at_ms));
                }
                Some(_) => self.change(key, now_ms, prior, |suspect| {
                    suspect.note_completed(at_ms);
                }),
            },
            SuspectEvent::Quarantine(stage) => self.change(key, now_ms, prior, |suspect| {
                suspect.merge(Quarantine { stage, at_ms });
            }),
        }
    }

    /// Applies a change to a suspect, and notes the prior state if information was added.
    fn change(
        &mut self,
        key: SuspectKey,
        now_ms: u64,
        prior: &mut PriorStates,
        change: impl FnOnce(&mut Suspect),
    ) {
        let before = self.suspects.get(&key).cloned().unwrap_or_default();
        let mut after = before.clone();
        change(&mut after);
        if after.adds_to(&before) {
            after.updated_ms = now_ms;
            after.weight = before
                .ended_lifetimes
                .len()
                .max(after.ended_lifetimes.len());
            let was_active = before.quarantine.is_active(now_ms);
            prior.entry(key).or_insert(was_active);
        } else if !self.suspects.contains_key(&key) {
            return;
        }
        match (
            before.quarantine.stage.is_active(),
            after.quarantine.stage.is_active(),
        ) {
            (false, true) => self.count_unreleased(key, 1),
            (true, false) => self.count_unreleased(key, -1),
            _ => {}
        }
        self.suspects.insert(key, after);
    }

    /// Reaches the verdicts after changes, and returns the changes of quarantines.
    fn conclude(&mut self, mut prior: PriorStates, now_ms: u64) -> Vec<QuarantineChange> {
        while self.ended.len() > Self::MAX_ENDED {
            let oldest = self.ended.iter().min_by_key(|(_, at_ms)| **at_ms);
            let oldest = oldest.map(|(endpoint, _)| *endpoint);
            oldest.and_then(|endpoint| self.ended.remove(&endpoint));
        }
        self.judge(now_ms, &mut prior);
        let changes = prior.into_iter().filter_map(|(key, was_active)| {
            let suspect = self.suspects.get(&key)?;
            let is_active = suspect.quarantine.is_active(now_ms);
            (was_active != is_active).then(|| QuarantineChange {
                fingerprint: key,
                is_quarantined: is_active,
                ended_lifetimes: suspect.ended_lifetimes.keys().copied().collect(),
            })
        });
        let changes = changes.collect();
        if self.suspects.len() > Self::MAX_SUSPECTS + Self::MAX_QUARANTINED {
            self.evict_surplus(now_ms);
        }
        changes
    }

    /// Imposes and lifts quarantines by the evidence.
    fn judge(&mut self, now_ms: u64, prior: &mut PriorStates) {
        self.judged_ms = now_ms as i64;
        let suspects = self.suspects.iter();
        let suspects = suspects.filter(|(key, suspect)| {
            let ends = suspect.ended_lifetimes.len();
            ends >= Self::VERDICT_THRESHOLD || is_quarantined_part(**key, suspect, now_ms)
        });
        let cases = suspects.map(|(key, suspect)| VerdictCase {
            key: *key,
            ends: suspect.ended_lifetimes.clone(),
            is_blamed: suspect.quarantine.is_active(now_ms),
            has_completed: suspect.completed_ms.is_some(),
        });
        let mut cases: Vec<VerdictCase> = cases.collect();
        if cases.is_empty() {
            return;
        }
        cases.sort_unstable_by_key(|case| case.key);
        let judged = self.rules.judge(cases.clone(), &self.ended, now_ms as i64);
        for (case, known) in judged.iter().zip(&cases) {
            match (known.is_blamed, case.is_blamed) {
                (false, true) => {
                    let last_ms = case.ends.values().max().copied().unwrap_or_default();
                    self.change(case.key, now_ms, prior, |suspect| {
                        suspect.quarantine.impose(last_ms);
                    });
                }
                (true, false) => {
                    self.change(case.key, now_ms, prior, |suspect| {
                        suspect.quarantine.release(now_ms as i64);
                    });
                    self.announce_explanation(&case.ends, now_ms);
                }
                _ => {}
            }
        }
    }

    /// Reports the quarantined parts again that explain ends, so that other boxes can follow the
    /// release of what they explain.
    fn announce_explanation(&mut self, ends: &BTreeMap<EndpointId, i64>, now_ms: u64) {
        for (key, suspect) in &mut self.suspects {
            let is_blamed = is_quarantined_part(*key, suspect, now_ms);
            let lifetimes = &suspect.ended_lifetimes;
            if is_blamed && ends.keys().any(|end| lifetimes.contains_key(end)) {
                suspect.updated_ms = now_ms;
            }
        }
    }
}

fn is_quarantined_part(key: SuspectKey, suspect: &Suspect, now_ms: u64) -> bool {
    key.kind() == SuspectKind::Part && suspect.quarantine.is_active(now_ms)
}

/// The order in which quarantines are kept: those in force, parts before requests, then the newest.
fn quarantine_rank(key: SuspectKey, known: &Quarantine) -> (bool, SuspectKind, i64, SuspectKey) {
    (known.stage.is_active(), key.kind(), known.at_ms, key)
}

/// The order in which suspects are kept and reported: by ended lifetimes, parts before requests,
/// then the newest.
fn suspect_rank(
    key: SuspectKey,
    suspect: &Suspect,
    ends: usize,
) -> (usize, SuspectKind, u64, SuspectKey) {
    (ends, key.kind(), suspect.updated_ms, key)
}

impl Suspect {
    /// The maximum number of ended lifetimes kept per suspect. A harmful part may end more than the
    /// verdict takes until all boxes know it, and each of them explains the ends of others.
    const MAX_ENDED_LIFETIMES: usize = 12;

    fn note_ended(&mut self, endpoint: EndpointId, at_ms: i64) {
        let is_cleared = self
            .completed_ms
            .is_some_and(|completed| completed >= at_ms);
        let is_cleared = is_cleared || self.pardoned.contains(&endpoint);
        if !is_cleared && self.ended_lifetimes.len() < Self::MAX_ENDED_LIFETIMES {
            self.ended_lifetimes.entry(endpoint).or_insert(at_ms);
        }
    }

    /// Discards the evidence, also if it is reported again.
    fn pardon_ends(&mut self) {
        let ended = std::mem::take(&mut self.ended_lifetimes);
        self.pardoned = ended.into_keys().collect();
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
            self.pardon_ends();
        }
    }

    /// Returns whether a completion adds nothing but its time.
    fn is_cleared_before(&self, at_ms: i64) -> bool {
        let is_cleared = self.completed_ms.is_some() && !self.quarantine.stage.is_active();
        is_cleared && self.ended_lifetimes.values().all(|ended| *ended > at_ms)
    }

    /// Returns whether this entry has information that `before` lacks. Differing times of the same
    /// event do not count, as each report shifts them by its delay.
    fn adds_to(&self, before: &Self) -> bool {
        let is_cleared = self.completed_ms.is_some() != before.completed_ms.is_some();
        self.ended_lifetimes.len() != before.ended_lifetimes.len()
            || self.quarantine.stage != before.quarantine.stage
            || is_cleared
    }

    fn reports(
        &self,
        fingerprint: SuspectKey,
        is_reported: impl Fn(&EndpointId) -> bool,
        now_ms: u64,
    ) -> impl Iterator<Item = SuspectReport> {
        let ends = self.ended_lifetimes.iter();
        let ends = ends.filter(move |(endpoint, _)| is_reported(endpoint));
        let ends = ends.map(|(endpoint, at_ms)| (SuspectEvent::Ended(*endpoint), *at_ms));
        let completed = self.completed_ms.iter();
        let completed = completed.map(|at_ms| (SuspectEvent::Completed, *at_ms));
        // A completion is recorded of suspects alone, so the ends that make one come first.
        let events = ends.chain(completed);
        events.map(move |(event, at_ms)| SuspectReport::new(fingerprint, event).at(at_ms, now_ms))
    }
}

#[cfg(test)]
mod fleet_tests;
#[cfg(test)]
mod part_tests;
#[cfg(test)]
mod tests;
#[cfg(test)]
mod verdict_tests;
