//! Who has had its share of the fleet, and what others beyond theirs may take.
//!
//! Where more is asked than the endpoints make, a workspace is owed its max-min share: what it asks, or an
//! equal level with all who ask for more. Who asks for less is within its share. Who asks for more has two
//! rates, divided among its boxes by what they are asked for:
//!
//! - what it is owed, taken by whatever prompts come as long as any is left. Such a prompt counts as within the
//!   share, so no size and no box is shut out;
//! - its fair part of all that is given. Beyond what is owed the fleet holds back each prompt, the more so the more
//!   of the fair part its box takes already ([`ShareLevel::pressure`]).
//!
//! Both rates follow from what all ask for. What a workspace itself was given counts only at the box that
//! gave it, where it is known at once: sums of the whole fleet are some tenths of a second old, and what
//! is held back by old sums is let go too late as well, so that workspaces are served in turns.
//!
//! ```
//! use dockgate_core::gateway::ShareTracker;
//!
//! let mut window = ShareTracker::new(4_000);
//! window.tick(1_000, 100.0);
//! window.record_request(1, 1_000, 1_300);
//! window.record_request(2, 10, 1_300);
//! window.tick(1_300, 100.0);
//! let flood = window.level(1, 10, 1_300);
//! window.record_admission(1, 500, flood, 1_300);
//! assert!(window.level(1, 10, 1_400).is_beyond());
//! assert!(!window.level(2, 10, 1_400).is_beyond());
//! ```

use super::decaying_usage::{
    DecayTimes, DecayingUsage, UsageRow, UsageTable, WorkspaceUsage, share_rows, total_row,
};
use super::fair_usage::FairUsage;
use super::load_shedder::max_min_level;
use super::share_credit::ShareCredit;
use super::share_level::ShareLevel;
use super::share_reports::{ShareHeader, ShareReports, ShareSource};
use std::collections::HashMap;

/// What the endpoints make, divided among all: service units of one workspace within the short fading time.
#[derive(Debug, Clone, Copy)]
struct ShareThresholds {
    /// What is owed to each that asks for more, of what the configuration states.
    owed: f64,
    /// What each gets that asks for more, of what is given lately.
    fair: f64,
    /// Beyond which sums over the long fading time are a flood.
    long: f64,
    /// How many times what they are owed those get together that ask for more.
    times: f64,
}

impl ShareThresholds {
    /// There is enough for all.
    const ENDLESS: Self = Self {
        owed: f64::INFINITY,
        fair: f64::INFINITY,
        long: f64::INFINITY,
        times: 0.0,
    };

    /// Tells whether so much is more than is owed, now and over a while: prompts that come together are no flood.
    fn is_greedy(&self, sum: &WorkspaceUsage) -> bool {
        sum.requested > self.owed.min(self.fair) && sum.requested_long > self.long
    }
}

/// How a workspace stands that asks for more than it is owed.
#[derive(Debug, Clone, Copy)]
struct ContendingShare {
    /// How many times what they are owed all such get together.
    times: f64,
    /// What it is owed at this box.
    owed: ShareCredit,
    /// What it takes at this box beside its fair part.
    taking: FairUsage,
}

/// Adds up service over boxes and over the last moments.
#[derive(Debug)]
pub struct ShareTracker {
    /// Over how many milliseconds shares are owed.
    window_ms: f64,
    own: DecayingUsage,
    reports: ShareReports,
    /// Whether so much is asked for that some may soon be owed less than they ask.
    is_tight: bool,
    levels: ShareThresholds,
    /// Those who ask for more than they are owed.
    greedy: HashMap<u64, ContendingShare>,
}

impl ShareTracker {
    /// The short fading time, in parts of the window.
    const SHORT_PART: f64 = 0.2;
    /// The long fading time, in parts of the window.
    const LONG_PART: f64 = 0.5;
    /// For which part of the window what is owed and not taken is kept.
    const KEPT_PART: f64 = 0.25;
    /// What all may take together, in parts of what they took lately: engines that become faster are found out by
    /// what is above one.
    const GROWTH: f64 = 1.15;
    /// From which part of the stated rate on what is given limits anybody: after a moment without endpoints next to
    /// nothing was.
    const LEAST_SERVED: f64 = 0.5;
    /// Which part of the stated rate workspaces within their share have to ask for, so that engines are kept free
    /// enough for them to be in time.
    const PROTECTED_PART: f64 = 0.2;
    /// From which part of the stated rate on domains tell each other of each workspace. Below, nobody can
    /// ask for more than it is owed; between domains that are told of one beat apart, asks do not double.
    const TIGHT_PART: f64 = 0.5;

    /// Makes a window in which nothing was counted, for shares that are owed over so many milliseconds.
    pub fn new(window_ms: u64) -> Self {
        Self {
            window_ms: window_ms as f64,
            own: DecayingUsage::default(),
            reports: ShareReports::default(),
            is_tight: false,
            levels: ShareThresholds::ENDLESS,
            greedy: HashMap::new(),
        }
    }

    /// Sets over how many milliseconds shares are owed.
    pub const fn set_window(&mut self, window_ms: u64) {
        self.window_ms = window_ms as f64;
    }

    const fn times(&self) -> DecayTimes {
        DecayTimes {
            short_ms: self.window_ms * Self::SHORT_PART,
            long_ms: self.window_ms * Self::LONG_PART,
        }
    }

    /// Counts a request of a workspace.
    pub fn record_request(&mut self, workspace: u64, units: u64, now_ms: u64) {
        self.own.count(workspace).ask(units as f64);
        // A flood at one box is known here before any other box tells of it.
        let here = self.own.of(workspace);
        if self.levels.is_greedy(&here) && !self.greedy.contains_key(&workspace) {
            let share = self.greedy_share(workspace, here, now_ms);
            self.greedy.insert(workspace, share);
        }
    }

    /// Counts a request of a workspace that was admitted at this level.
    pub fn record_admission(&mut self, workspace: u64, units: u64, level: ShareLevel, now_ms: u64) {
        let units = units as f64;
        self.own.count(workspace).admitted += units;
        let Some(share) = self.greedy.get_mut(&workspace) else {
            return;
        };
        share.taking.record(units, now_ms);
        if !level.is_beyond() {
            share.owed.spend(units, now_ms);
        }
    }

    fn recent(&self, now_ms: u64) -> UsageTable {
        self.own.faded(self.times(), now_ms)
    }

    /// Returns this box's sums, for its coordinators.
    pub fn rows(&self, now_ms: u64) -> Vec<UsageRow> {
        share_rows(&self.recent(now_ms))
    }

    /// Returns the sums of this box and those that beat to it, for other failure domains: of each
    /// workspace, or in one row while all get what they ask for.
    pub fn domain_rows(&self, now_ms: u64) -> Vec<UsageRow> {
        let sums = self.reports.domain_sums(self.recent(now_ms), now_ms);
        match self.is_tight {
            true => share_rows(&sums),
            false => vec![total_row(&sums)],
        }
    }

    /// Returns the sums of the fleet as a coordinator knows them, for its failure domain.
    pub fn fleet_rows(&self, now_ms: u64) -> Vec<UsageRow> {
        share_rows(&self.reports.counted_sums(self.recent(now_ms), now_ms))
    }

    /// Takes in what another box tells, unless something newer of it is known.
    pub fn merge(&mut self, teller: ShareHeader, rows: &[UsageRow], now_ms: u64) {
        self.reports.merge(teller, rows, now_ms);
    }

    /// Tells where the sums come from that levels are worked out of.
    pub fn source(&self, now_ms: u64) -> ShareSource {
        self.reports.source(self.recent(now_ms), now_ms)
    }

    /// Works out who asks for more than it is owed of `units_per_s`, and what each of them may take here.
    pub fn tick(&mut self, now_ms: u64, units_per_s: f64) {
        self.own.fade(self.times(), now_ms);
        self.reports.expire(now_ms);
        let total = self.reports.fleet_sums(self.recent(now_ms), now_ms);
        let stated = units_per_s * self.times().short_ms / 1_000.0;
        let asked: f64 = total.values().map(|sum| sum.requested).sum();
        self.is_tight = asked > stated * Self::TIGHT_PART;
        self.levels = self.common_levels(&total, stated);
        let greedy = total.iter();
        let greedy = greedy.filter(|(_, sum)| self.levels.is_greedy(sum));
        let shares = greedy.map(|(workspace, sum)| {
            let share = self.greedy_share(*workspace, *sum, now_ms);
            (*workspace, share)
        });
        self.greedy = shares.collect();
    }

    /// Works out the levels of all, where the endpoints make `stated` units within the short fading time.
    fn common_levels(&self, total: &UsageTable, stated: f64) -> ShareThresholds {
        let given: f64 = total.values().map(|sum| sum.admitted).sum();
        let served = (given * Self::GROWTH).max(stated * Self::LEAST_SERVED);
        let lately: Vec<f64> = total.values().map(|sum| sum.requested).collect();
        let long: Vec<f64> = total.values().map(|sum| sum.requested_long).collect();
        let DecayTimes { short_ms, long_ms } = self.times();
        let levels = ShareThresholds {
            owed: max_min_level(&lately, stated),
            fair: max_min_level(&lately, served),
            long: max_min_level(&long, stated.min(served) * long_ms / short_ms),
            times: 0.0,
        };
        let (greedy, within): (Vec<WorkspaceUsage>, Vec<WorkspaceUsage>) =
            total.values().partition(|sum| levels.is_greedy(sum));
        let within: f64 = within.iter().map(|sum| sum.requested).sum();
        let protected = (within / (stated * Self::PROTECTED_PART)).min(1.0);
        let taken: f64 = greedy.iter().map(|sum| sum.admitted).sum();
        let times = taken / (levels.owed * greedy.len().max(1) as f64);
        ShareThresholds {
            times: times.min(1.0) + (times - 1.0).max(0.0) * protected,
            ..levels
        }
    }

    /// Works out what a workspace that asks for so much in the whole fleet may take here.
    fn greedy_share(&self, workspace: u64, total: WorkspaceUsage, now_ms: u64) -> ContendingShare {
        let ShareThresholds {
            owed, fair, times, ..
        } = self.levels;
        let short_ms = self.times().short_ms;
        let here = self.own.of(workspace);
        let part = here.requested / total.requested.max(here.requested).max(1.0);
        let owed_per_ms = owed.min(fair).min(total.requested) * part / short_ms;
        let kept = owed_per_ms * self.window_ms * Self::KEPT_PART;
        let known = self.greedy.get(&workspace);
        let (credit, taking) = known.map_or_else(
            || {
                let credit = ShareCredit::new(kept - here.admitted, now_ms);
                (credit, FairUsage::new(here.admitted / short_ms, now_ms))
            },
            |share| (share.owed, share.taking),
        );
        ContendingShare {
            times: times.min(total.requested / owed).max(1.0),
            owed: credit.rate(owed_per_ms, now_ms).most(kept),
            taking: taking
                .fair(fair * part / short_ms)
                .fleet_part(total.admitted / fair.max(1.0)),
        }
    }

    /// Returns how a workspace stands that has a prompt of so many service units.
    pub fn level(&self, workspace: u64, units: u64, now_ms: u64) -> ShareLevel {
        match self.greedy.get(&workspace) {
            Some(share) if !share.owed.is_left(now_ms) => {
                let taken = share.taking.part(units as f64, now_ms);
                ShareLevel::new(share.times).with_fair_ratio(taken)
            }
            _ => ShareLevel::WITHIN,
        }
    }
}

#[cfg(test)]
mod fairness_tests;
#[cfg(test)]
mod share_simulation;
#[cfg(test)]
mod tests;
