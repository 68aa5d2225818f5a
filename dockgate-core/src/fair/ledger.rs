//! Totals of the service given over the fleet.

use crate::ids::{BoxKey, Incarnation, PoolKey, WorkspaceKey};
use crate::invariant::check_invariant;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

type AccountKey = (PoolKey, WorkspaceKey);
type SourceKey = (BoxKey, Incarnation);

/// The cumulative service that one scheduler has given to one workspace in one pool.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LedgerRow(
    /// The pool.
    pub PoolKey,
    /// The workspace.
    pub WorkspaceKey,
    /// Service units since the scheduler started, rounded down.
    pub u64,
    /// The level offset of the workspace, in units for a share of one, rounded down.
    pub u64,
);

/// The service given by one scheduler, as sent by it or forwarded by another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LedgerReport {
    /// The scheduler that gave the service.
    #[serde(rename = "b")]
    pub source: BoxKey,
    /// Its incarnation.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// The rows that changed.
    #[serde(rename = "r")]
    pub rows: Vec<LedgerRow>,
}

/// The account of one workspace in one pool, in service units.
#[derive(Debug, Clone, Copy, Default)]
struct FairAccount {
    own: f64,
    others: f64,
    /// Added to the level, in units for a share of one.
    level_offset: f64,
    last_active_ms: u64,
    reported: (u64, u64),
}

/// Sums the service given to each workspace in each pool.
#[derive(Debug, Default)]
pub struct FairLedger {
    accounts: BTreeMap<AccountKey, FairAccount>,
    sources: HashMap<SourceKey, HashMap<AccountKey, u64>>,
}

impl FairLedger {
    /// The time for which an account counts as active after its last demand, in milliseconds.
    const ACTIVE_FOR_MS: u64 = 2_000;

    /// Adds service given by this scheduler.
    pub fn charge(&mut self, pool: PoolKey, workspace: WorkspaceKey, units: f64) {
        if check_invariant("service never decreases", units >= 0.0 && units.is_finite()) {
            self.accounts.entry((pool, workspace)).or_default().own += units;
        }
    }

    /// Returns the service known to be given over the fleet, in service units.
    pub fn total(&self, pool: PoolKey, workspace: WorkspaceKey) -> f64 {
        self.accounts
            .get(&(pool, workspace))
            .map_or(0.0, |account| account.own + account.others)
    }

    /// Returns the level: the service for a share of one plus the offset.
    ///
    /// The scheduler keeps the levels of the waiting workspaces equal.
    pub fn level(&self, pool: PoolKey, workspace: WorkspaceKey, share: u32) -> f64 {
        self.accounts
            .get(&(pool, workspace))
            .map_or(0.0, |account| {
                (account.own + account.others) / f64::from(share.max(1)) + account.level_offset
            })
    }

    /// Marks an account as active, and raises its level to `floor` if it returns from idle.
    pub fn mark_active(
        &mut self,
        pool: PoolKey,
        workspace: WorkspaceKey,
        share: u32,
        floor: f64,
        now_ms: u64,
    ) {
        let level = self.level(pool, workspace, share);
        let account = self.accounts.entry((pool, workspace)).or_default();
        let is_idle =
            account.last_active_ms + Self::ACTIVE_FOR_MS < now_ms || account.last_active_ms == 0;
        if is_idle && level < floor {
            account.level_offset += floor - level;
        }
        account.last_active_ms = now_ms;
    }

    /// Returns the workspaces that were recently active in a pool.
    pub fn active(&self, pool: PoolKey, now_ms: u64) -> impl Iterator<Item = WorkspaceKey> {
        let range = (pool, WorkspaceKey(0))..=(pool, WorkspaceKey(u32::MAX));
        self.accounts
            .range(range)
            .filter(move |(_, account)| account.last_active_ms + Self::ACTIVE_FOR_MS >= now_ms)
            .map(|((_, workspace), _)| *workspace)
    }

    /// Adjusts the offset so that a change of share keeps the level.
    pub fn change_share(&mut self, workspace: WorkspaceKey, old: u32, new: u32) {
        for ((_, key), account) in &mut self.accounts {
            if *key == workspace {
                let total = account.own + account.others;
                account.level_offset +=
                    total / f64::from(old.max(1)) - total / f64::from(new.max(1));
            }
        }
    }

    /// Merges a report and returns the accounts that it lists.
    ///
    /// Late and duplicate rows do not change the totals.
    pub fn merge(&mut self, report: &LedgerReport, now_ms: u64) -> Vec<(PoolKey, WorkspaceKey)> {
        let source = self
            .sources
            .entry((report.source, report.incarnation))
            .or_default();
        let mut accounts = Vec::new();
        for LedgerRow(pool, workspace, units, level_offset) in &report.rows {
            let account = self.accounts.entry((*pool, *workspace)).or_default();
            let known = source.entry((*pool, *workspace)).or_default();
            let increase = units.saturating_sub(*known);
            *known += increase;
            account.others += increase as f64;
            account.level_offset = account.level_offset.max(*level_offset as f64);
            account.last_active_ms = now_ms;
            accounts.push((*pool, *workspace));
        }
        accounts
    }

    /// Returns the rows of this scheduler that changed since the last call.
    pub fn take_report(&mut self, source: BoxKey, incarnation: Incarnation) -> LedgerReport {
        let mut rows = Vec::new();
        for ((pool, workspace), account) in &mut self.accounts {
            let totals = (account.own as u64, account.level_offset.max(0.0) as u64);
            if totals != account.reported {
                account.reported = totals;
                rows.push(LedgerRow(*pool, *workspace, totals.0, totals.1));
            }
        }
        LedgerReport {
            source,
            incarnation,
            rows,
        }
    }

    /// Returns the whole ledger, one report per source, for a daemon that has just started.
    pub fn full_reports(&self, source: BoxKey, incarnation: Incarnation) -> Vec<LedgerReport> {
        let own = self
            .accounts
            .iter()
            .map(|((pool, workspace), account)| {
                LedgerRow(
                    *pool,
                    *workspace,
                    account.own as u64,
                    account.level_offset.max(0.0) as u64,
                )
            })
            .collect();
        let mut reports = vec![LedgerReport {
            source,
            incarnation,
            rows: own,
        }];
        for ((source, incarnation), rows) in &self.sources {
            let rows = rows
                .iter()
                .map(|((pool, workspace), units)| LedgerRow(*pool, *workspace, *units, 0))
                .collect();
            reports.push(LedgerReport {
                source: *source,
                incarnation: *incarnation,
                rows,
            });
        }
        reports
    }
}

#[cfg(test)]
mod tests;
