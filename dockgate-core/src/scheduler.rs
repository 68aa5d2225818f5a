//! Grants free slots of the endpoints that this box schedules to workspaces.
//!
//! The scheduler is a state machine without I/O: slot demand, settle reports and ledger reports go
//! in, grants come out. Two schedulers may briefly own the same endpoint. The endpoint's own limit
//! then bounds its load, and `overcommitted_slots` counts the excess.

mod demand_table;
mod pause_policy;
mod rate_meter;
mod slot_health;
mod slot_table;

pub use demand_table::SlotDemand;
pub use pause_policy::PausePolicy;
pub use slot_health::SlotOutcome;
pub use slot_table::SlotEndpoint;

use crate::fair::{FairLedger, FairQueue, LedgerReport, OrderPolicy};
use crate::grant_table::{GrantTable, HeldGrant};
use crate::ids::{BoxKey, EndpointKey, GrantId, Incarnation, PoolKey, WorkspaceKey};
use crate::invariant::check_invariant;
use demand_table::DemandTable;
use pause_policy::{LevelGap, PauseBudget};
use rate_meter::RateMeter;
use slot_table::SlotTable;
use std::collections::{BTreeMap, HashMap, HashSet};

/// The order in which workspaces are served. `Local` and `Fcfs` are baselines for benchmarks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum OrderMode {
    /// Fair shares of the service given by the whole fleet.
    #[default]
    Fair,
    /// Fair shares of the service given by this box only.
    Local,
    /// First come, first served.
    Fcfs,
}

/// The settings of a [`SlotScheduler`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SchedulePolicy {
    /// The order in which workspaces are served.
    pub mode: OrderMode,
    /// How held slots count in the order of workspaces.
    pub order: OrderPolicy,
    /// When streams are paused.
    pub pause: PausePolicy,
    /// The head start of requests at entries in this scheduler's own failure domain, in
    /// milliseconds. Slots turn over faster there.
    pub locality_ms: u64,
    /// The time after which a grant expires if its entry does not report, in milliseconds.
    pub grant_ttl_ms: u64,
    /// The time for which a newly owned endpoint gets no grants, in milliseconds. Entries report
    /// the requests that run on it in this time.
    pub adopt_ms: u64,
}

/// A grant to send to an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantOffer {
    /// The box that holds the waiting request.
    pub entry: BoxKey,
    /// The grant.
    pub id: GrantId,
    /// The pool.
    pub pool: PoolKey,
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// The endpoint.
    pub endpoint: EndpointKey,
}

/// A running request that an entry reports to the new owner of its endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdoptedGrant {
    /// The id assigned by the former scheduler.
    pub id: GrantId,
    /// The pool.
    pub pool: PoolKey,
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The service units already reported to the former scheduler.
    pub charged: f64,
}

/// An entry's report on the cost or the end of a granted request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SettleReport {
    /// The grant.
    pub id: GrantId,
    /// The total cost so far, in service units.
    pub cost: f64,
    /// The outcome, or `None` while the request runs.
    pub ended: Option<SlotOutcome>,
}

/// Grants the slots of the endpoints that this box owns.
#[derive(Debug)]
pub struct SlotScheduler {
    own_key: BoxKey,
    incarnation: Incarnation,
    policy: SchedulePolicy,
    grant_counter: u32,
    shares: HashMap<WorkspaceKey, u32>,
    scheduler_counts: HashMap<PoolKey, u32>,
    ledger: FairLedger,
    demand: DemandTable,
    queues: BTreeMap<PoolKey, FairQueue>,
    idle_floors: HashMap<PoolKey, f64>,
    rates: HashMap<PoolKey, RateMeter>,
    slots: SlotTable,
    grants: GrantTable,
    expired_grants: u64,
    local_entries: HashSet<BoxKey>,
    pause_budget: PauseBudget,
    paused_streams: u64,
}

impl SlotScheduler {
    /// Creates a scheduler without endpoints and with an empty ledger.
    pub fn new(own_key: BoxKey, incarnation: Incarnation, policy: SchedulePolicy) -> Self {
        Self {
            own_key,
            incarnation,
            policy,
            grant_counter: 0,
            shares: HashMap::new(),
            scheduler_counts: HashMap::new(),
            ledger: FairLedger::default(),
            demand: DemandTable::default(),
            queues: BTreeMap::new(),
            idle_floors: HashMap::new(),
            rates: HashMap::new(),
            slots: SlotTable::default(),
            grants: GrantTable::default(),
            expired_grants: 0,
            local_entries: HashSet::new(),
            pause_budget: PauseBudget::default(),
            paused_streams: 0,
        }
    }

    /// Sets the shares of the workspaces. Their levels do not change.
    pub fn set_shares(&mut self, shares: HashMap<WorkspaceKey, u32>) {
        for (workspace, new) in &shares {
            match self.shares.get(workspace) {
                Some(old) if old != new => self.ledger.change_share(*workspace, *old, *new),
                _ => {}
            }
        }
        self.shares = shares;
        self.reorder_all();
    }

    /// Sets the number of schedulers of each pool.
    pub fn set_scheduler_counts(&mut self, scheduler_counts: HashMap<PoolKey, u32>) {
        self.scheduler_counts = scheduler_counts;
        self.reorder_all();
    }

    /// Sets the entries of this scheduler's own failure domain.
    pub fn set_local_entries(&mut self, local_entries: HashSet<BoxKey>) {
        self.local_entries = local_entries;
    }

    /// Sets the endpoints that this box owns.
    ///
    /// Drops the grants on other endpoints and keeps their charges.
    pub fn set_endpoints(&mut self, endpoints: &[SlotEndpoint], now_ms: u64) {
        let ready_ms = now_ms + self.policy.adopt_ms;
        let kept: HashSet<EndpointKey> = endpoints.iter().map(|endpoint| endpoint.key).collect();
        self.slots.replace(endpoints, ready_ms);
        let removed = self
            .grants
            .remove_where(|grant| !kept.contains(&grant.endpoint));
        for grant in removed {
            self.slots.decrement_held(grant.pool, grant.workspace);
            self.update_position(grant.pool, grant.workspace);
        }
    }

    /// Updates the demand of an entry. Returns false if the workspace is unknown.
    pub fn update_demand(&mut self, entry: BoxKey, demand: SlotDemand, now_ms: u64) -> bool {
        let Some(share) = self.shares.get(&demand.workspace).copied() else {
            return false;
        };
        let (pool, workspace) = (demand.pool, demand.workspace);
        self.demand.update(entry, demand, now_ms);
        if self.demand.waiting(pool, workspace) > 0 {
            let floor = self.idle_floors.get(&pool).copied().unwrap_or_default();
            self.ledger
                .mark_active(pool, workspace, share, floor, now_ms);
        }
        self.update_position(pool, workspace);
        true
    }

    /// Applies a settle report. Returns false if the entry does not hold the grant.
    pub fn settle(&mut self, entry: BoxKey, report: SettleReport, now_ms: u64) -> bool {
        let Some(grant) = self.grants.get_mut(report.id, entry) else {
            return false;
        };
        let increase = (report.cost - grant.charged).max(0.0);
        grant.charged += increase;
        grant.expires_ms = now_ms + self.policy.grant_ttl_ms;
        let grant = *grant;
        self.ledger.charge(grant.pool, grant.workspace, increase);
        self.rates
            .entry(grant.pool)
            .or_default()
            .add_units(increase);
        if let Some(outcome) = report.ended {
            self.grants.remove(report.id);
            self.slots.release(grant.endpoint, grant.workspace);
            self.slots.record_outcome(grant.endpoint, outcome, now_ms);
        }
        self.update_position(grant.pool, grant.workspace);
        true
    }

    /// Takes over a running request from the former owner of its endpoint.
    ///
    /// Returns false if the endpoint is not owned here or the grant is already known.
    pub fn adopt(&mut self, entry: BoxKey, adopted: AdoptedGrant, now_ms: u64) -> bool {
        if !self.slots.owns(adopted.endpoint) || self.grants.contains(adopted.id) {
            return false;
        }
        let grant = HeldGrant {
            entry,
            pool: adopted.pool,
            workspace: adopted.workspace,
            endpoint: adopted.endpoint,
            granted_ms: now_ms,
            pause_requested: false,
            charged: adopted.charged,
            expires_ms: now_ms + self.policy.grant_ttl_ms,
        };
        self.grants.insert(adopted.id, grant);
        self.slots.acquire(adopted.endpoint, adopted.workspace);
        self.update_position(adopted.pool, adopted.workspace);
        true
    }

    /// Drops the demand of an unreachable entry, so that it gets no further grants.
    ///
    /// Grants of its running requests stay.
    pub fn forget_demand(&mut self, entry: BoxKey) {
        for (pool, workspace) in self.demand.forget(entry) {
            self.update_position(pool, workspace);
        }
    }

    /// Drops the demand of a box and releases its grants, as its connections are closed.
    pub fn forget_box(&mut self, entry: BoxKey) {
        self.forget_demand(entry);
        for grant in self.grants.remove_where(|grant| grant.entry == entry) {
            self.slots.release(grant.endpoint, grant.workspace);
            self.update_position(grant.pool, grant.workspace);
        }
    }

    /// Merges the service given by another scheduler.
    pub fn merge(&mut self, report: &LedgerReport, now_ms: u64) {
        let own_source = (self.own_key, self.incarnation);
        if self.policy.mode != OrderMode::Fair || (report.source, report.incarnation) == own_source
        {
            return;
        }
        for (pool, workspace) in self.ledger.merge(report, now_ms) {
            self.update_position(pool, workspace);
        }
    }

    /// Returns the ledger rows that changed since the last call, for the other schedulers.
    pub fn take_report(&mut self) -> LedgerReport {
        self.ledger.take_report(self.own_key, self.incarnation)
    }

    /// Returns the whole ledger, for a daemon that has just started.
    pub fn full_reports(&self) -> Vec<LedgerReport> {
        self.ledger.full_reports(self.own_key, self.incarnation)
    }

    /// Releases expired grants and updates the service rates.
    pub fn tick(&mut self, now_ms: u64) {
        for grant in self.grants.remove_where(|grant| grant.expires_ms <= now_ms) {
            self.expired_grants += 1;
            self.slots.release(grant.endpoint, grant.workspace);
            self.update_position(grant.pool, grant.workspace);
        }
        let mut rates_changed = false;
        for (pool, held) in self.slots.held_by_pool() {
            rates_changed |= self.rates.entry(pool).or_default().advance(now_ms, held);
        }
        if rates_changed {
            self.reorder_all();
        }
    }

    /// Grants every free slot to the waiting workspace with the lowest order key.
    pub fn schedule(&mut self, now_ms: u64) -> Vec<GrantOffer> {
        let pools: Vec<PoolKey> = self.queues.keys().copied().collect();
        let mut offers = Vec::new();
        for pool in pools {
            while let Some(offer) = self.grant_slot(pool, now_ms) {
                offers.push(offer);
            }
        }
        offers
    }

    fn grant_slot(&mut self, pool: PoolKey, now_ms: u64) -> Option<GrantOffer> {
        let endpoint = self.slots.least_loaded(pool, now_ms)?;
        let workspace = self.queues.get(&pool)?.first()?;
        let (local_entries, locality_ms) = (&self.local_entries, self.policy.locality_ms);
        let penalty_ms = |entry: BoxKey| {
            if local_entries.contains(&entry) {
                0
            } else {
                locality_ms
            }
        };
        let entry = self.demand.take(pool, workspace, penalty_ms)?;
        self.pause_budget.earn(&self.policy.pause);
        self.raise_idle_floor(pool, workspace);
        self.grant_counter = self.grant_counter.wrapping_add(1);
        let id = GrantId::new(self.incarnation, self.grant_counter);
        let grant = HeldGrant {
            entry,
            pool,
            workspace,
            endpoint,
            granted_ms: now_ms,
            pause_requested: false,
            charged: 0.0,
            expires_ms: now_ms + self.policy.grant_ttl_ms,
        };
        check_invariant("grant ids are unique", self.grants.insert(id, grant));
        self.slots.record_grant(endpoint, now_ms);
        let within_capacity = self.slots.acquire(endpoint, workspace);
        check_invariant("slots never above capacity", within_capacity);
        self.update_position(pool, workspace);
        Some(GrantOffer {
            entry,
            id,
            pool,
            workspace,
            endpoint,
        })
    }

    /// Selects the streams to pause now, as pairs of entry and grant.
    ///
    /// A stream qualifies if its pool has no free slot and the level of its workspace exceeds that
    /// of the first waiting workspace by more than the policy allows. Each stream is selected at
    /// most once, and the pause budget limits the total.
    pub fn select_pauses(&mut self, now_ms: u64) -> Vec<(BoxKey, GrantId)> {
        // The baseline order modes never pause streams.
        if self.policy.pause.gap_s <= 0.0 || self.policy.mode != OrderMode::Fair {
            return Vec::new();
        }
        let pools: Vec<PoolKey> = self.queues.keys().copied().collect();
        pools
            .into_iter()
            .filter_map(|pool| self.select_pause(pool, now_ms))
            .collect()
    }

    fn select_pause(&mut self, pool: PoolKey, now_ms: u64) -> Option<(BoxKey, GrantId)> {
        let first = self.queues.get(&pool)?.first()?;
        if !self.pause_budget.allows(now_ms) || self.slots.least_loaded(pool, now_ms).is_some() {
            return None;
        }
        let level_of = |workspace| {
            let share = self.share(workspace);
            self.ledger.level(pool, workspace, share)
        };
        let gap = LevelGap {
            pool,
            first_level: level_of(first),
            max_gap: self.policy.pause.gap_s * self.fair_rate(pool, now_ms),
        };
        let id = gap.select(self.grants.iter(), level_of, &self.policy.pause, now_ms)?;
        let grant = self.grants.mark_pause_requested(id)?;
        self.pause_budget.spend(now_ms);
        self.paused_streams += 1;
        Some((grant.entry, id))
    }

    /// Returns the service units per second that the fleet gives to a share of one.
    fn fair_rate(&self, pool: PoolKey, now_ms: u64) -> f64 {
        let shares: u32 = self
            .ledger
            .active(pool, now_ms)
            .map(|workspace| self.share(workspace))
            .sum();
        let own_slots = self.slots.declared_slots(pool);
        let schedulers = self.scheduler_counts.get(&pool).copied().unwrap_or(1);
        let rate = self.rates.get(&pool).map_or(0.0, RateMeter::rate);
        f64::from(own_slots) * f64::from(schedulers) * rate / f64::from(shares.max(1))
    }

    /// Raises the minimum level of workspaces that return from idle.
    fn raise_idle_floor(&mut self, pool: PoolKey, workspace: WorkspaceKey) {
        let share = self.share(workspace);
        let level = self.ledger.level(pool, workspace, share);
        let floor = self.idle_floors.entry(pool).or_default();
        *floor = floor.max(level);
    }

    fn share(&self, workspace: WorkspaceKey) -> u32 {
        self.shares.get(&workspace).copied().unwrap_or(1)
    }

    /// Updates the position of a workspace in its queue, or removes it if nothing waits.
    fn update_position(&mut self, pool: PoolKey, workspace: WorkspaceKey) {
        let queue = self.queues.entry(pool).or_default();
        match self.demand.waiting(pool, workspace) {
            0 => queue.remove(workspace),
            _ => {
                let key = self.order_key(pool, workspace);
                self.queues.entry(pool).or_default().insert(workspace, key);
            }
        }
    }

    fn order_key(&self, pool: PoolKey, workspace: WorkspaceKey) -> f64 {
        if self.policy.mode == OrderMode::Fcfs {
            return self.demand.arrival_key(pool, workspace);
        }
        let share = self.share(workspace);
        let level = self.ledger.level(pool, workspace, share);
        let held = self.slots.held_of(pool, workspace);
        let schedulers = match self.policy.mode {
            OrderMode::Fair => self.scheduler_counts.get(&pool).copied().unwrap_or(1),
            _ => 1,
        };
        let rate = self.rates.get(&pool).map_or(0.0, RateMeter::rate);
        self.policy
            .order
            .order_key(level, held, share, schedulers, rate)
    }

    fn reorder_all(&mut self) {
        let waiting: Vec<(PoolKey, WorkspaceKey)> = self
            .queues
            .iter()
            .flat_map(|(pool, queue)| queue.iter().map(|workspace| (*pool, workspace)))
            .collect();
        for (pool, workspace) in waiting {
            self.update_position(pool, workspace);
        }
    }

    /// Returns the number of free slots in each pool.
    pub fn free_slots(&self, now_ms: u64) -> BTreeMap<PoolKey, u32> {
        self.slots.free_by_pool(now_ms)
    }

    /// Returns the number of grants held.
    pub fn held_grants(&self) -> usize {
        self.grants.len()
    }

    /// Returns the number of grants that expired because their entry did not report.
    pub const fn expired_grants(&self) -> u64 {
        self.expired_grants
    }

    /// Returns the number of streams selected for a pause.
    pub const fn paused_streams(&self) -> u64 {
        self.paused_streams
    }

    /// Returns the number of slots held beyond capacity, as when two boxes own an endpoint.
    pub fn overcommitted_slots(&self) -> u32 {
        self.slots.overcommitted()
    }

    /// Returns the number of endpoints in backoff.
    pub fn backed_off_endpoints(&self, now_ms: u64) -> usize {
        self.slots.backed_off(now_ms)
    }

    /// Returns the number of endpoints that this box schedules.
    pub fn endpoint_count(&self) -> usize {
        self.slots.len()
    }

    /// Returns the ledger of service given.
    pub const fn ledger(&self) -> &FairLedger {
        &self.ledger
    }
}

#[cfg(test)]
mod tests;
