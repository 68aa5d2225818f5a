//! Decides which requests and parts of prompts are to blame for the ends of endpoints.
//!
//! A harmful part is present at the end of each endpoint that it crashes, and so are the requests
//! and the other parts that happen to run there. The part that explains the most ends is blamed
//! first; these ends then count against nothing else. To blame a suspect is to put it into
//! quarantine, or to keep it there.

use super::SuspectRegistry;
use crate::gateway::route_table::EndpointId;
use crate::gateway::suspect_key::{SuspectKey, SuspectKind};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// The evidence against one suspect.
#[derive(Debug, Clone)]
pub(super) struct VerdictCase {
    pub(super) key: SuspectKey,
    /// The ended lifetimes since the last completion, with the time of each end.
    pub(super) ends: BTreeMap<EndpointId, i64>,
    /// Whether the suspect is in quarantine.
    pub(super) is_blamed: bool,
    /// Whether the suspect is known to have completed.
    pub(super) has_completed: bool,
}

/// The numbers of ends at which a verdict falls, and what is weighed.
#[derive(Debug, Clone, Copy)]
pub(super) struct VerdictRules {
    /// The number of unexplained ends at which a verdict falls in the common case.
    pub(super) common_ends: usize,
    /// The number of unexplained ends at which a part is blamed in a doubtful case: it has completed
    /// before, another part was at the same ends, or it was at few of the ends in its time.
    pub(super) doubtful_ends: usize,
    /// Whether ends are explained by quarantined parts.
    pub(super) explains: bool,
    /// Whether a part that has completed needs more ends.
    pub(super) weighs_completions: bool,
    /// How long a part that has completed must not complete after the last of the needed ends, in
    /// milliseconds.
    pub(super) confirmation_ms: i64,
    /// Whether a part at fewer than two thirds of the ends in its time needs more ends.
    pub(super) weighs_others: bool,
}

impl Default for VerdictRules {
    fn default() -> Self {
        Self {
            common_ends: SuspectRegistry::VERDICT_THRESHOLD,
            doubtful_ends: 5,
            explains: true,
            weighs_completions: true,
            confirmation_ms: 2_000,
            weighs_others: true,
        }
    }
}

impl VerdictCase {
    /// The number of ends by which a part must exceed one that is blamed in its place. One may be
    /// an end for another reason.
    const MIN_LEAD: usize = 2;

    fn is_part(&self) -> bool {
        self.key.kind() == SuspectKind::Part
    }

    /// Returns whether this part was present at all ends of another one and at enough more, so that
    /// the other one may have been blamed in its place.
    fn supersedes(&self, other: &Self) -> bool {
        let has_lead = self.ends.len() >= other.ends.len() + Self::MIN_LEAD;
        let mut ends = other.ends.keys();
        self.is_part() && has_lead && ends.all(|end| self.ends.contains_key(end))
    }

    fn covers(&self, ends: &BTreeSet<EndpointId>) -> bool {
        ends.iter().all(|end| self.ends.contains_key(end))
    }

    /// Returns the times of some of the ends.
    fn times(&self, ends: &BTreeSet<EndpointId>) -> Vec<i64> {
        let times = ends.iter().filter_map(|end| self.ends.get(end).copied());
        times.collect()
    }

    /// Returns the ends that no part of `others` was present at.
    fn unexplained<'a>(&self, others: impl Iterator<Item = &'a Self>) -> BTreeSet<EndpointId> {
        let mut ends: BTreeSet<EndpointId> = self.ends.keys().copied().collect();
        for other in others {
            ends.retain(|end| !other.ends.contains_key(end));
        }
        ends
    }
}

impl VerdictRules {
    /// Returns the cases with their verdicts. `ended` are all ends that are known.
    pub(super) fn judge(
        &self,
        mut cases: Vec<VerdictCase>,
        ended: &BTreeMap<EndpointId, i64>,
        now_ms: i64,
    ) -> Vec<VerdictCase> {
        loop {
            let blamed = self.find_harmful_parts(&cases, ended, now_ms);
            if blamed.is_empty() {
                break;
            }
            blamed.iter().for_each(|at| cases[*at].is_blamed = true);
        }
        if self.explains {
            self.release_explained_parts(&mut cases);
        }
        for at in 0..cases.len() {
            let is_request = !cases[at].is_part();
            if is_request {
                cases[at].is_blamed = self.is_request_blamed(&cases, at);
            }
        }
        cases
    }

    fn unexplained(&self, cases: &[VerdictCase], at: usize) -> BTreeSet<EndpointId> {
        let is_explaining = |other: &usize| {
            let case = &cases[*other];
            let is_blamed = case.is_part() && case.is_blamed;
            self.explains && *other != at && is_blamed && !cases[at].supersedes(case)
        };
        let others = (0..cases.len()).filter(is_explaining);
        cases[at].unexplained(others.map(|other| &cases[other]))
    }

    fn is_request_blamed(&self, cases: &[VerdictCase], at: usize) -> bool {
        let unexplained = self.unexplained(cases, at).len();
        let all = cases[at].ends.len();
        unexplained >= self.common_ends || (cases[at].is_blamed && unexplained == all)
    }

    /// Returns the parts to blame next: the one with the most unexplained ends, and with it the
    /// parts that were present at exactly the same ends.
    fn find_harmful_parts(
        &self,
        cases: &[VerdictCase],
        ended: &BTreeMap<EndpointId, i64>,
        now_ms: i64,
    ) -> Vec<usize> {
        let candidates =
            (0..cases.len()).filter(|at| cases[*at].is_part() && !cases[*at].is_blamed);
        let candidates = candidates.map(|at| (at, self.unexplained(cases, at)));
        let candidates = candidates.filter(|(_, ends)| ends.len() >= self.common_ends);
        let mut candidates: Vec<(usize, BTreeSet<EndpointId>)> = candidates.collect();
        candidates.sort_by_key(|(at, ends)| {
            let has_completed = self.weighs_completions && cases[*at].has_completed;
            (has_completed, Reverse(ends.len()), cases[*at].key)
        });
        let found = candidates.iter().find(|(at, ends)| {
            let needed = self.needed_ends(cases, *at, ends, &candidates, ended, now_ms);
            ends.len() >= needed
        });
        let Some((_, found)) = found else {
            return Vec::new();
        };
        let same = candidates.iter().filter(|(_, ends)| ends == found);
        let same = same.filter(|(at, ends)| {
            ends.len() >= self.needed_ends(cases, *at, ends, &candidates, ended, now_ms)
        });
        same.map(|(at, _)| *at).collect()
    }

    /// Returns the number of unexplained ends at which a part is blamed.
    fn needed_ends(
        &self,
        cases: &[VerdictCase],
        at: usize,
        ends: &BTreeSet<EndpointId>,
        candidates: &[(usize, BTreeSet<EndpointId>)],
        ended: &BTreeMap<EndpointId, i64>,
        now_ms: i64,
    ) -> usize {
        if !self.explains {
            return self.common_ends;
        }
        // A request that was present at all ends of the part explains them as well: the next end
        // of a harmful part is without that request, which is in quarantine.
        let is_request_harmful = cases
            .iter()
            .any(|case| !case.is_part() && case.covers(ends));
        if is_request_harmful {
            return usize::MAX;
        }
        let has_completed = self.weighs_completions && cases[at].has_completed;
        let is_less_likely = candidates.iter().any(|(other, rival)| {
            let left = ends.difference(rival).count();
            has_completed && !cases[*other].has_completed && left < self.common_ends
        });
        if is_less_likely || (has_completed && !self.is_confirmed(&cases[at], ends, now_ms)) {
            return usize::MAX;
        }
        let has_rival = candidates.iter().any(|(other, rival)| {
            let is_likely = !self.weighs_completions || !cases[*other].has_completed;
            *other != at && is_likely && rival.is_superset(ends)
        });
        let is_minor = self.weighs_others && self.is_minor(cases, at, ends, ended);
        match has_completed || has_rival || is_minor {
            true => self.doubtful_ends.max(self.common_ends),
            false => self.common_ends,
        }
    }

    /// Returns whether a part has not completed for some time after enough ends.
    fn is_confirmed(&self, case: &VerdictCase, ends: &BTreeSet<EndpointId>, now_ms: i64) -> bool {
        let mut times = case.times(ends);
        times.sort_unstable();
        let last = times.get(self.doubtful_ends - 1);
        last.is_some_and(|last_ms| now_ms - last_ms >= self.confirmation_ms)
    }

    /// Returns whether a part was present at fewer than two thirds of the unexplained ends between its
    /// first and its last one.
    fn is_minor(
        &self,
        cases: &[VerdictCase],
        at: usize,
        ends: &BTreeSet<EndpointId>,
        ended: &BTreeMap<EndpointId, i64>,
    ) -> bool {
        let times = cases[at].times(ends);
        let first = times.iter().min().copied().unwrap_or_default();
        let last = times.iter().max().copied().unwrap_or_default();
        let is_explained = |end: &EndpointId| {
            let mut blamed = cases.iter().filter(|case| case.is_part() && case.is_blamed);
            blamed.any(|case| case.ends.contains_key(end))
        };
        let others = ended.iter().filter(|(end, at_ms)| {
            (first..=last).contains(*at_ms) && !ends.contains(end) && !is_explained(end)
        });
        2 * others.count() > ends.len()
    }

    /// Releases the quarantined parts, beginning with those at the fewest ends, whose ends other
    /// quarantined parts explain.
    fn release_explained_parts(&self, cases: &mut [VerdictCase]) {
        let blamed = (0..cases.len()).filter(|at| {
            let case = &cases[*at];
            // A box that knows only some of the ends cannot tell whether they are explained.
            case.is_part() && case.is_blamed && case.ends.len() >= self.common_ends
        });
        let mut blamed: Vec<usize> = blamed.collect();
        blamed.sort_by_key(|at| (cases[*at].ends.len(), cases[*at].key));
        for at in blamed {
            let case = &cases[at];
            let is_explaining = |other: &&VerdictCase| {
                let is_same = other.ends.keys().eq(case.ends.keys());
                let is_stronger = other.ends.len() >= case.ends.len() && !is_same;
                other.is_part() && other.is_blamed && other.key != case.key && is_stronger
            };
            let unexplained = case.unexplained(cases.iter().filter(is_explaining));
            cases[at].is_blamed = !unexplained.is_empty();
        }
    }
}

#[cfg(test)]
mod tests;
