//! Requests under which endpoints end: who is to blame, and what nobody may send any more.
//!
//! A request may end each endpoint that begins to run it. Judged alone, each send of it is harmless: the
//! endpoint is lost, and the next one is tried. So ends are counted by what ran there. All that was at an
//! endpoint when it ended is *suspect*; most of it has just been there. What runs to its end anywhere does
//! not end endpoints, and is cleared. What was there at the ends of [`SuspectBook::VERDICT`] lifetimes
//! without being cleared goes into *quarantine*: no box sends it to an endpoint.
//!
//! A verdict may be wrong: a request that was unlucky three times in a row. So a request in quarantine is
//! let through now and then, by one box of the fleet ([`Quarantine::next_trial`]); one that completes is
//! released. There are few such trials, as each of a guilty request costs an endpoint and all that runs there.
//!
//! All that a box learns is told to others as [`SuspectRow`]s. Rows may be lost, doubled and late, and come in
//! any order: boxes that have got the same rows believe the same.
//!
//! ```
//! use dockgate_core::gateway::{EndpointId, RequestPrint, SuspectBook};
//!
//! let print = RequestPrint::new([7; 16]);
//! let mut book = SuspectBook::default();
//! for endpoint in 1..=3 {
//!     book.note_ended(print, EndpointId(endpoint), 1_000 * endpoint);
//! }
//! assert!(book.quarantine(print, 4_000).is_some());
//! book.note_completed(print, 5_000);
//! assert!(book.quarantine(print, 5_000).is_none());
//! ```

mod quarantine;
mod suspect_row;

use super::request_print::RequestPrint;
use super::route_table::EndpointId;
pub use quarantine::{Quarantine, QuarantineStage};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
pub use suspect_row::{SuspectRow, SuspectSign};

/// What is believed of a request.
#[derive(Debug, Clone, Default)]
struct Suspect {
    /// When which lifetimes ended while it was there, since it last completed.
    ends: BTreeMap<EndpointId, i64>,
    completed_ms: Option<i64>,
    quarantine: Quarantine,
    /// When something new of it was learned.
    learned_ms: u64,
}

/// What has changed for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectNews {
    /// The request.
    pub print: RequestPrint,
    /// Whether it is in quarantine now; it was not before, or the other way round.
    pub is_quarantined: bool,
    /// The lifetimes that ended while it was there, as far as this box knows.
    pub ends: Vec<EndpointId>,
}

/// The requests under which endpoints have ended.
///
/// What is told may have happened before this box began, so that times are kept with a sign.
#[derive(Debug, Clone, Default)]
pub struct SuspectBook {
    suspects: HashMap<RequestPrint, Suspect>,
    /// How many of them are in quarantine, whether young enough to count or not.
    set: usize,
}

impl SuspectBook {
    /// At the ends of how many lifetimes a request must have been. One or two may be chance: where endpoints
    /// end for other reasons, what runs for a second at one of 18 of which one ends each 0.6 s is there at
    /// an end one time in eleven.
    pub const VERDICT: usize = 3;
    /// For how long an end or a completion is remembered, in milliseconds. A bound: what comes again after a
    /// longer time harms little.
    const KEPT_MS: u64 = 600_000;
    /// How many requests are remembered beside those in quarantine: what runs at 16 engines. A bound, so that
    /// ends of many endpoints do not fill the memory of a box.
    const MOST_SUSPECTS: usize = 1_024;
    /// How many requests may be in quarantine; the oldest go first. A bound: all of them are told to each box
    /// that begins, and stand in one value of the store.
    pub const MOST_QUARANTINED: usize = 64;
    /// For how long something new is told again, in milliseconds: six beats, of which some are lost.
    const RETELL_MS: u64 = 2_000;
    /// How many rows are told at once, those of the requests with most ends first, then the newest. A bound: 28
    /// bytes each, and what some engines run that ended in the same moment.
    const MOST_ROWS: usize = 100;

    /// Tells whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Tells whether any request may be in quarantine, in two nanoseconds where counting takes two microseconds.
    pub const fn may_hold_any(&self) -> bool {
        self.set > 0
    }

    /// Returns the quarantine of a request, if it is in one.
    pub fn quarantine(&self, print: RequestPrint, now_ms: u64) -> Option<&Quarantine> {
        let suspect = self.suspects.get(&print)?;
        Some(&suspect.quarantine).filter(|quarantine| quarantine.holds(now_ms))
    }

    /// Counts the requests in quarantine.
    pub fn quarantined(&self, now_ms: u64) -> usize {
        let suspects = self.suspects.values();
        suspects
            .filter(|suspect| suspect.quarantine.holds(now_ms))
            .count()
    }

    /// Notes that an endpoint ended while a request was there.
    pub fn note_ended(
        &mut self,
        print: RequestPrint,
        endpoint: EndpointId,
        now_ms: u64,
    ) -> Option<SuspectNews> {
        let row = SuspectRow::new(print, SuspectSign::Ended(endpoint));
        self.take(row, now_ms)
    }

    /// Notes that a request ran to its end; where it is not suspect, that is nothing new.
    pub fn note_completed(&mut self, print: RequestPrint, now_ms: u64) -> Option<SuspectNews> {
        self.take(SuspectRow::new(print, SuspectSign::Completed), now_ms)
    }

    /// Releases a request, as somebody has decided who knows better.
    pub fn release(&mut self, print: RequestPrint, now_ms: u64) -> Option<SuspectNews> {
        self.suspects.get(&print)?;
        self.change(print, now_ms, |suspect| {
            suspect.ends.clear();
            suspect.quarantine.release(now_ms as i64);
        })
    }

    /// Takes in what another box told.
    pub fn hear(&mut self, rows: &[SuspectRow], now_ms: u64) -> Vec<SuspectNews> {
        let news = rows.iter().filter_map(|row| self.take(*row, now_ms));
        news.collect()
    }

    /// Takes in what is known elsewhere of the quarantine of a request.
    pub fn merge(
        &mut self,
        print: RequestPrint,
        known: Quarantine,
        now_ms: u64,
    ) -> Option<SuspectNews> {
        self.change(print, now_ms, |suspect| suspect.merge(known))
    }

    /// Lists what has to outlast all boxes: the quarantines, and the releases from them, the latest first.
    pub fn quarantines(&self, now_ms: u64) -> Vec<(RequestPrint, Quarantine)> {
        let suspects = self.suspects.iter();
        let kept = suspects.filter(|(_, suspect)| suspect.quarantine.is_kept(now_ms));
        let mut kept: Vec<(RequestPrint, Quarantine)> = kept
            .map(|(print, suspect)| (*print, suspect.quarantine))
            .collect();
        kept.sort_unstable_by_key(|(print, quarantine)| (Reverse(quarantine.at_ms), *print));
        kept.truncate(Self::MOST_QUARANTINED);
        kept
    }

    /// Lists what is told to a box that may know as much: what is new, and where `is_whole` all quarantines.
    pub fn rows(&self, is_whole: bool, now_ms: u64) -> Vec<SuspectRow> {
        let is_fresh = |suspect: &Suspect| suspect.learned_ms + Self::RETELL_MS > now_ms;
        let suspects = self.suspects.iter();
        let fresh = suspects.filter(|(_, suspect)| is_fresh(suspect));
        let mut fresh: Vec<(RequestPrint, &Suspect)> =
            fresh.map(|(print, suspect)| (*print, suspect)).collect();
        fresh.sort_unstable_by_key(|(print, suspect)| {
            (Reverse((suspect.ends.len(), suspect.learned_ms)), *print)
        });
        let fresh = fresh.iter();
        let news = fresh.flat_map(|(print, suspect)| suspect.rows(*print, now_ms));
        let kept = self.suspects.iter();
        let kept = kept.filter(|(_, suspect)| {
            let is_due = is_whole || is_fresh(suspect);
            is_due && suspect.quarantine.is_kept(now_ms)
        });
        let kept = kept.map(|(print, suspect)| {
            let Quarantine { stage, at_ms } = suspect.quarantine;
            SuspectRow::new(*print, SuspectSign::Quarantine(stage)).at(at_ms, now_ms)
        });
        kept.chain(news.take(Self::MOST_ROWS)).collect()
    }

    /// Forgets what is too old to matter.
    pub fn expire(&mut self, now_ms: u64) {
        self.suspects.retain(|_, suspect| {
            suspect.learned_ms + Self::KEPT_MS > now_ms || suspect.quarantine.is_kept(now_ms)
        });
        self.drop_surplus(now_ms);
    }

    fn drop_surplus(&mut self, now_ms: u64) {
        let (mut kept, mut others) = (Vec::new(), Vec::new());
        for (print, suspect) in &self.suspects {
            match suspect.quarantine.is_kept(now_ms) {
                true => kept.push((suspect.quarantine.at_ms, *print)),
                false => others.push((suspect.ends.len(), suspect.learned_ms, *print)),
            }
        }
        kept.sort_unstable_by_key(|row| Reverse(*row));
        others.sort_unstable_by_key(|row| Reverse(*row));
        let kept = kept.into_iter().skip(Self::MOST_QUARANTINED);
        let others = others.into_iter().skip(Self::MOST_SUSPECTS);
        let surplus = kept
            .map(|(_, print)| print)
            .chain(others.map(|(_, _, print)| print));
        for print in surplus {
            self.suspects.remove(&print);
        }
        let left = self.suspects.values();
        self.set = left
            .filter(|suspect| suspect.quarantine.stage.is_set())
            .count();
    }

    fn take(&mut self, row: SuspectRow, now_ms: u64) -> Option<SuspectNews> {
        let at_ms = row.at_ms(now_ms);
        match row.sign {
            SuspectSign::Ended(endpoint) => self.change(row.print, now_ms, |suspect| {
                suspect.note_ended(endpoint, at_ms);
            }),
            // What is not suspect is not remembered for having completed.
            SuspectSign::Completed if !self.suspects.contains_key(&row.print) => None,
            SuspectSign::Completed => self.change(row.print, now_ms, |suspect| {
                suspect.note_completed(at_ms);
            }),
            SuspectSign::Quarantine(stage) => {
                self.merge(row.print, Quarantine { stage, at_ms }, now_ms)
            }
        }
    }

    /// Changes what is believed of a request; returns whether that brings it into quarantine or out of it.
    fn change(
        &mut self,
        print: RequestPrint,
        now_ms: u64,
        change: impl FnOnce(&mut Suspect),
    ) -> Option<SuspectNews> {
        let before = self.suspects.get(&print).cloned().unwrap_or_default();
        let mut after = before.clone();
        change(&mut after);
        after.judge();
        if after.says_more_than(&before) {
            after.learned_ms = now_ms;
        } else if !self.suspects.contains_key(&print) {
            return None;
        }
        let (was, is) = (
            before.quarantine.holds(now_ms),
            after.quarantine.holds(now_ms),
        );
        let ends = after.ends.keys().copied().collect();
        match (
            before.quarantine.stage.is_set(),
            after.quarantine.stage.is_set(),
        ) {
            (false, true) => self.set += 1,
            (true, false) => self.set -= 1,
            _ => {}
        }
        self.suspects.insert(print, after);
        if self.suspects.len() > Self::MOST_SUSPECTS + Self::MOST_QUARANTINED {
            self.drop_surplus(now_ms);
        }
        (was != is).then_some(SuspectNews {
            print,
            is_quarantined: is,
            ends,
        })
    }
}

impl Suspect {
    /// How many ends are kept of a request: more tell nothing more.
    const MOST_ENDS: usize = 2 * SuspectBook::VERDICT;

    fn note_ended(&mut self, endpoint: EndpointId, at_ms: i64) {
        let is_cleared = self
            .completed_ms
            .is_some_and(|completed| completed >= at_ms);
        if !is_cleared && self.ends.len() < Self::MOST_ENDS {
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
    fn judge(&mut self) {
        if self.ends.len() >= SuspectBook::VERDICT {
            let last = self.ends.values().max().copied().unwrap_or_default();
            self.quarantine.order(last);
        }
    }

    /// Tells whether this is news for somebody who believes `before`: a moment that is told again, some
    /// milliseconds later, is none.
    fn says_more_than(&self, before: &Self) -> bool {
        let is_cleared = self.completed_ms.is_some() != before.completed_ms.is_some();
        self.ends.len() != before.ends.len()
            || self.quarantine.stage != before.quarantine.stage
            || is_cleared
    }

    fn rows(&self, print: RequestPrint, now_ms: u64) -> impl Iterator<Item = SuspectRow> {
        let ends = self.ends.iter();
        let ends = ends.map(|(endpoint, at_ms)| (SuspectSign::Ended(*endpoint), *at_ms));
        let completed = self.completed_ms.iter();
        let completed = completed.map(|at_ms| (SuspectSign::Completed, *at_ms));
        let signs = completed.chain(ends);
        signs.map(move |(sign, at_ms)| SuspectRow::new(print, sign).at(at_ms, now_ms))
    }
}

#[cfg(test)]
mod blame_tests;
#[cfg(test)]
mod fleet_tests;
#[cfg(test)]
mod tests;
