//! Max-min fair shares of the fleet's capacity, by workspace.
//!
//! When demand exceeds capacity, each workspace is guaranteed its max-min share: its demand, or an
//! equal level with all workspaces whose demand is higher. Capacity is the configured one, or a part
//! of what engines have begun lately if that is less. Workspaces below that level are within
//! their share. A workspace above it has two rates, which are divided among boxes in proportion to
//! the demand at each box:
//!
//! - The guaranteed rate is a credit that any prompt may use while it lasts. Such a prompt counts
//!   as within the share, so no workspace is shut out by the size of its prompts or by its box.
//! - The fair rate is its part of the throughput. Once the credit is spent, prompts are admitted
//!   under increasing pressure, the more the box admits relative to the fair rate
//!   ([`ShareLevel::pressure`]).
//!
//! Both rates follow from the demand in the fleet. The service admitted for a workspace is
//! counted at the box that admitted it, without delay. Totals of the fleet lag by some tenths of a
//! second; limiting admission by them would make workspaces oscillate between starvation and
//! excess.
//!
//! ```
//! use dockgate_core::gateway::ShareTracker;
//!
//! let mut tracker = ShareTracker::new(4_000);
//! tracker.tick(1_000, 100.0);
//! tracker.record_request(1, 1_000, 1_300);
//! tracker.record_request(2, 10, 1_300);
//! tracker.tick(1_300, 100.0);
//! let level = tracker.level(1, 10, 1_300);
//! tracker.record_admission(1, 500, level, 1_300);
//! assert!(tracker.level(1, 10, 1_400).is_beyond());
//! assert!(!tracker.level(2, 10, 1_400).is_beyond());
//! ```

use super::decaying_usage::{
    DecayTimes, DecayingUsage, UsageRow, UsageTable, WorkspaceUsage, total_row, usage_rows,
};
use super::fair_usage::FairUsage;
use super::load_shedder::max_min_level;
use super::share_credit::ShareCredit;
use super::share_level::ShareLevel;
use super::share_reports::{ShareHeader, ShareReports, ShareSource};
use serde::Serialize;
use std::collections::HashMap;

/// Thresholds that apply to every workspace, in service units within the short decay time.
#[derive(Debug, Clone, Copy)]
struct ShareThresholds {
    /// Max-min level of the capacity that can be guaranteed: the guaranteed share of a contending
    /// workspace.
    guaranteed: f64,
    /// Max-min level of the recent throughput: the fair share of a contending workspace.
    fair: f64,
    /// Max-min level over the long decay time; a short burst stays below it.
    long: f64,
    /// Service admitted for all contending workspaces over their guaranteed shares.
    share_ratio: f64,
}

impl ShareThresholds {
    /// Thresholds while capacity exceeds demand.
    const UNLIMITED: Self = Self {
        guaranteed: f64::INFINITY,
        fair: f64::INFINITY,
        long: f64::INFINITY,
        share_ratio: 0.0,
    };

    /// Returns whether demand exceeds the share over both decay times.
    fn is_exceeded_by(&self, usage: &WorkspaceUsage) -> bool {
        usage.requested > self.guaranteed.min(self.fair) && usage.requested_long > self.long
    }
}

/// Share of a contending workspace, whose demand exceeds its guaranteed share.
#[derive(Debug, Clone, Copy)]
struct ContendingShare {
    /// Service admitted for all contending workspaces over their guaranteed shares.
    share_ratio: f64,
    /// Guaranteed service at this box.
    credit: ShareCredit,
    /// Service admitted at this box, relative to the fair rate.
    usage: FairUsage,
    /// Service requested in the fleet within the short decay time.
    fleet_requested: f64,
}

/// What a box knows of a contending workspace, in service units per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct ShareAllotment {
    /// This box's part of the guaranteed rate.
    pub guaranteed_per_s: u64,
    /// This box's part of the fair rate.
    pub fair_per_s: u64,
    /// Requested service in the whole fleet.
    pub fleet_requested_per_s: u64,
    /// Fair rate of the workspace in the whole fleet.
    pub fleet_fair_per_s: u64,
}

/// Tracks demand and admitted service by workspace, and derives each workspace's share.
#[derive(Debug)]
pub struct ShareTracker {
    /// Period over which shares are balanced, in milliseconds.
    window_ms: f64,
    local: DecayingUsage,
    reports: ShareReports,
    /// Whether demand is high enough that some workspace may soon exceed its share.
    is_contended: bool,
    thresholds: ShareThresholds,
    /// Workspaces whose demand exceeds their guaranteed share.
    contending: HashMap<u64, ContendingShare>,
}

impl ShareTracker {
    /// Short decay time, as a fraction of the window.
    const SHORT_FRACTION: f64 = 0.2;
    /// Long decay time, as a fraction of the window.
    const LONG_FRACTION: f64 = 0.5;
    /// Fraction of the window for which unused credit is kept.
    const CREDIT_FRACTION: f64 = 0.25;
    /// Upper bound of total admission relative to recent throughput. It is above 1 so that an
    /// increase in engine speed is discovered.
    const GROWTH_FACTOR: f64 = 1.15;
    /// Lower bound of the assumed throughput, as a fraction of the configured capacity: the
    /// measured throughput is close to 0 after an outage of all endpoints.
    const MIN_SERVED_FRACTION: f64 = 0.25;
    /// Upper bound of the capacity that is guaranteed, as a fraction of the assumed throughput. If
    /// all of it were, prompts within their shares would fill the engines, and a workspace of which
    /// few requests reach an engine would get less than the others.
    const GUARANTEED_FRACTION: f64 = 0.7;
    /// Demand of workspaces within their share, as a fraction of the configured capacity, at which
    /// engines are fully kept free for them.
    const PROTECTED_FRACTION: f64 = 0.2;
    /// Demand, as a fraction of the configured capacity, from which domains exchange usage by
    /// workspace. Below it no workspace can exceed its share, even if demand grows until the next
    /// heartbeat.
    const CONTENDED_FRACTION: f64 = 0.5;

    /// Creates a tracker that balances shares over `window_ms` milliseconds.
    pub fn new(window_ms: u64) -> Self {
        Self {
            window_ms: window_ms as f64,
            local: DecayingUsage::default(),
            reports: ShareReports::default(),
            is_contended: false,
            thresholds: ShareThresholds::UNLIMITED,
            contending: HashMap::new(),
        }
    }

    /// Sets the period over which shares are balanced, in milliseconds.
    pub const fn set_window(&mut self, window_ms: u64) {
        self.window_ms = window_ms as f64;
    }

    const fn decay_times(&self) -> DecayTimes {
        DecayTimes {
            short_ms: self.window_ms * Self::SHORT_FRACTION,
            long_ms: self.window_ms * Self::LONG_FRACTION,
        }
    }

    /// Records a request of a workspace, in service units.
    pub fn record_request(&mut self, workspace: u64, units: u64, now_ms: u64) {
        self.local.recent_mut(workspace).add_request(units as f64);
        // Detects excess demand at this box before the next tick and before other boxes report it.
        let usage = self.local.usage_of(workspace);
        if self.thresholds.is_exceeded_by(&usage) && !self.contending.contains_key(&workspace) {
            let share = self.contending_share(workspace, usage, now_ms);
            self.contending.insert(workspace, share);
        }
    }

    /// Records a request that was admitted at `level`, in service units.
    pub fn record_admission(&mut self, workspace: u64, units: u64, level: ShareLevel, now_ms: u64) {
        let units = units as f64;
        self.local.recent_mut(workspace).admitted += units;
        let Some(share) = self.contending.get_mut(&workspace) else {
            return;
        };
        share.usage.record(units, now_ms);
        if !level.is_beyond() {
            share.credit.spend(units, now_ms);
        }
    }

    /// Takes back an admission at `level`, in service units, of a prompt that no engine has begun.
    pub fn retract_admission(
        &mut self,
        workspace: u64,
        units: u64,
        level: ShareLevel,
        now_ms: u64,
    ) {
        let units = units as f64;
        self.local.recent_mut(workspace).admitted -= units;
        let Some(share) = self.contending.get_mut(&workspace) else {
            return;
        };
        share.usage.retract(units, now_ms);
        if !level.is_beyond() {
            share.credit.refund(units, now_ms);
        }
    }

    fn local_usage(&self, now_ms: u64) -> UsageTable {
        self.local.decayed(self.decay_times(), now_ms)
    }

    /// Returns the usage at this box, to be reported to the coordinators of its failure domain.
    pub fn rows(&self, now_ms: u64) -> Vec<UsageRow> {
        usage_rows(&self.local_usage(now_ms))
    }

    /// Returns the usage in this box's failure domain, to be reported to other domains: by
    /// workspace under contention, otherwise as a single total.
    pub fn domain_rows(&self, now_ms: u64) -> Vec<UsageRow> {
        let usage = self.reports.domain_usage(self.local_usage(now_ms), now_ms);
        match self.is_contended {
            true => usage_rows(&usage),
            false => vec![total_row(&usage)],
        }
    }

    /// Returns the usage in the fleet as computed by this coordinator, to be reported to its
    /// failure domain.
    pub fn fleet_rows(&self, now_ms: u64) -> Vec<UsageRow> {
        usage_rows(
            &self
                .reports
                .computed_usage(self.local_usage(now_ms), now_ms),
        )
    }

    /// Merges a report of another box; ignores it if a newer one was received.
    pub fn merge(&mut self, header: ShareHeader, rows: &[UsageRow], now_ms: u64) {
        self.reports.merge(header, rows, now_ms);
    }

    /// Returns the source of the fleet's usage from which shares are derived.
    pub fn source(&self, now_ms: u64) -> ShareSource {
        self.reports.source(self.local_usage(now_ms), now_ms)
    }

    /// Updates all shares for a configured capacity of `units_per_s` service units per second.
    pub fn tick(&mut self, now_ms: u64, units_per_s: f64) {
        self.local.decay(self.decay_times(), now_ms);
        self.reports.expire(now_ms);
        let total = self.reports.fleet_usage(self.local_usage(now_ms), now_ms);
        let capacity = units_per_s * self.decay_times().short_ms / 1_000.0;
        let requested: f64 = total.values().map(|usage| usage.requested).sum();
        self.is_contended = requested > capacity * Self::CONTENDED_FRACTION;
        self.thresholds = self.compute_thresholds(&total, capacity);
        let contending = total.iter();
        let contending = contending.filter(|(_, usage)| self.thresholds.is_exceeded_by(usage));
        let shares = contending.map(|(workspace, usage)| {
            let share = self.contending_share(*workspace, *usage, now_ms);
            (*workspace, share)
        });
        self.contending = shares.collect();
    }

    /// Computes the thresholds for a configured `capacity` in service units per short decay time.
    fn compute_thresholds(&self, total: &UsageTable, capacity: f64) -> ShareThresholds {
        let admitted: f64 = total.values().map(|usage| usage.admitted).sum();
        let served = (admitted * Self::GROWTH_FACTOR).max(capacity * Self::MIN_SERVED_FRACTION);
        let short: Vec<f64> = total.values().map(|usage| usage.requested).collect();
        let long: Vec<f64> = total.values().map(|usage| usage.requested_long).collect();
        let DecayTimes { short_ms, long_ms } = self.decay_times();
        let guaranteed = capacity.min(served * Self::GUARANTEED_FRACTION);
        let thresholds = ShareThresholds {
            guaranteed: max_min_level(&short, guaranteed),
            fair: max_min_level(&short, served),
            long: max_min_level(&long, capacity.min(served) * long_ms / short_ms),
            share_ratio: 0.0,
        };
        let (contending, within): (Vec<WorkspaceUsage>, Vec<WorkspaceUsage>) = total
            .values()
            .partition(|usage| thresholds.is_exceeded_by(usage));
        let within: f64 = within.iter().map(|usage| usage.requested).sum();
        let protected = (within / (capacity * Self::PROTECTED_FRACTION)).min(1.0);
        let admitted: f64 = contending.iter().map(|usage| usage.admitted).sum();
        let share_ratio = admitted / (thresholds.guaranteed * contending.len().max(1) as f64);
        ShareThresholds {
            share_ratio: share_ratio.min(1.0) + (share_ratio - 1.0).max(0.0) * protected,
            ..thresholds
        }
    }

    /// Computes this box's part of the share of a workspace with `total` usage in the fleet.
    fn contending_share(
        &self,
        workspace: u64,
        total: WorkspaceUsage,
        now_ms: u64,
    ) -> ContendingShare {
        let ShareThresholds {
            guaranteed,
            fair,
            share_ratio,
            ..
        } = self.thresholds;
        let short_ms = self.decay_times().short_ms;
        let local = self.local.usage_of(workspace);
        let local_fraction = local.requested / total.requested.max(local.requested).max(1.0);
        let guaranteed_per_ms = guaranteed.min(total.requested) * local_fraction / short_ms;
        let max_credit = guaranteed_per_ms * self.window_ms * Self::CREDIT_FRACTION;
        let known = self.contending.get(&workspace);
        let (credit, usage) = known.map_or_else(
            || {
                let credit = ShareCredit::new(max_credit - local.admitted, now_ms);
                (credit, FairUsage::new(local.admitted / short_ms, now_ms))
            },
            |share| (share.credit, share.usage),
        );
        ContendingShare {
            share_ratio: share_ratio.min(total.requested / guaranteed).max(1.0),
            credit: credit
                .with_rate(guaranteed_per_ms, now_ms)
                .with_max(max_credit),
            usage: usage
                .with_fair_rate(fair * local_fraction / short_ms)
                .with_fleet_ratio(total.admitted / fair.max(1.0)),
            fleet_requested: total.requested,
        }
    }

    /// Returns what this box knows of a workspace; `None` if it is within its share.
    pub fn allotment(&self, workspace: u64) -> Option<ShareAllotment> {
        let share = self.contending.get(&workspace)?;
        let per_s = |per_ms: f64| (per_ms * 1_000.0) as u64;
        let short_ms = self.decay_times().short_ms;
        let fair = self.thresholds.fair.min(share.fleet_requested);
        Some(ShareAllotment {
            guaranteed_per_s: per_s(share.credit.per_ms()),
            fair_per_s: per_s(share.usage.fair_per_ms().min(fair / short_ms)),
            fleet_requested_per_s: per_s(share.fleet_requested / short_ms),
            fleet_fair_per_s: per_s(fair / short_ms),
        })
    }

    /// Returns the level at which a prompt of `units` service units is admitted.
    pub fn level(&self, workspace: u64, units: u64, now_ms: u64) -> ShareLevel {
        match self.contending.get(&workspace) {
            Some(share) if !share.credit.is_available(now_ms) => {
                let fair_ratio = share.usage.fair_ratio(units as f64, now_ms);
                ShareLevel::new(share.share_ratio).with_fair_ratio(fair_ratio)
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
