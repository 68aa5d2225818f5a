//! Which workspace gets each free slot of the endpoints that this box schedules.
//!
//! A plain state machine: seeks, settles and reports go in, grants come out. Two schedulers that
//! both think they own an endpoint are tolerated; the endpoint's own limit and the settles of both
//! entries keep the promises, and `overcommitted_slots` shows it.

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

/// How workspaces are ordered; the last two are baselines for measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum OrderMode {
    /// Fair over the whole fleet.
    #[default]
    Fair,
    /// Fair by what this box has given alone.
    Local,
    /// First come, first served.
    Fcfs,
}

/// The settings of a scheduler.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SchedulePolicy {
    /// How workspaces are ordered.
    pub mode: OrderMode,
    /// What the order key adds.
    pub order: OrderPolicy,
    /// When streams are paused.
    pub pause: PausePolicy,
    /// How much younger a request at an entry of this scheduler's own domain may be and still go
    /// first, in milliseconds: a slot turns over faster there.
    pub locality_ms: u64,
    /// How long a grant lasts without a sign of the entry, in milliseconds.
    pub grant_ttl_ms: u64,
    /// How long a newly owned endpoint is left alone while entries report what runs on it, in
    /// milliseconds.
    pub adopt_ms: u64,
}

/// A grant to be sent to an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantOffer {
    /// The entry.
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

/// A running request that an entry reports to the scheduler that now owns its endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdoptedGrant {
    /// The grant, as the former scheduler named it.
    pub id: GrantId,
    /// The pool.
    pub pool: PoolKey,
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The service units that the former scheduler was told of.
    pub charged: f64,
}

/// What an entry says of a grant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SettleReport {
    /// The grant.
    pub id: GrantId,
    /// The cost so far, in service units.
    pub cost: f64,
    /// How the request ended, if it has.
    pub ended: Option<SlotOutcome>,
}

/// Decides who gets the slots of the endpoints that this box owns.
#[derive(Debug)]
pub struct SlotScheduler {
    me: BoxKey,
    incarnation: Incarnation,
    policy: SchedulePolicy,
    counter: u32,
    shares: HashMap<WorkspaceKey, u32>,
    schedulers: HashMap<PoolKey, u32>,
    ledger: FairLedger,
    demand: DemandTable,
    queues: BTreeMap<PoolKey, FairQueue>,
    floors: HashMap<PoolKey, f64>,
    rates: HashMap<PoolKey, RateMeter>,
    slots: SlotTable,
    grants: GrantTable,
    expired: u64,
    near: HashSet<BoxKey>,
    pause_budget: PauseBudget,
    paused: u64,
}

impl SlotScheduler {
    /// Makes a scheduler with no endpoints and no memory.
    pub fn new(me: BoxKey, incarnation: Incarnation, policy: SchedulePolicy) -> Self {
        Self {
            me,
            incarnation,
            policy,
            counter: 0,
            shares: HashMap::new(),
            schedulers: HashMap::new(),
            ledger: FairLedger::default(),
            demand: DemandTable::default(),
            queues: BTreeMap::new(),
            floors: HashMap::new(),
            rates: HashMap::new(),
            slots: SlotTable::default(),
            grants: GrantTable::default(),
            expired: 0,
            near: HashSet::new(),
            pause_budget: PauseBudget::default(),
            paused: 0,
        }
    }

    /// Sets the shares in force; levels stay where they are.
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

    /// Sets how many schedulers each pool has.
    pub fn set_schedulers(&mut self, schedulers: HashMap<PoolKey, u32>) {
        self.schedulers = schedulers;
        self.reorder_all();
    }

    /// Sets the entries of this scheduler's own failure domain.
    pub fn set_local_entries(&mut self, near: HashSet<BoxKey>) {
        self.near = near;
    }

    /// Sets the endpoints that this box owns; grants on the others are forgotten, their charges stay.
    pub fn set_endpoints(&mut self, endpoints: &[SlotEndpoint], now_ms: u64) {
        let ready_ms = now_ms + self.policy.adopt_ms;
        let kept: HashSet<EndpointKey> = endpoints.iter().map(|endpoint| endpoint.key).collect();
        self.slots.replace(endpoints, ready_ms);
        let gone = self
            .grants
            .remove_where(|grant| !kept.contains(&grant.endpoint));
        for grant in gone {
            self.slots.drop_held(grant.pool, grant.workspace);
            self.refresh(grant.pool, grant.workspace);
        }
    }

    /// Takes a seek in; an unknown workspace is refused with `false`.
    pub fn update_demand(&mut self, entry: BoxKey, seek: SlotDemand, now_ms: u64) -> bool {
        let Some(share) = self.shares.get(&seek.workspace).copied() else {
            return false;
        };
        let (pool, workspace) = (seek.pool, seek.workspace);
        self.demand.put(entry, seek, now_ms);
        if self.demand.waiting(pool, workspace) > 0 {
            let floor = self.floors.get(&pool).copied().unwrap_or_default();
            self.ledger.touch(pool, workspace, share, floor, now_ms);
        }
        self.refresh(pool, workspace);
        true
    }

    /// Takes a settle in; an unknown grant, or one of another entry, is refused with `false`.
    pub fn settle(&mut self, entry: BoxKey, settle: SettleReport, now_ms: u64) -> bool {
        let Some(grant) = self.grants.get_mut(settle.id, entry) else {
            return false;
        };
        let news = (settle.cost - grant.charged).max(0.0);
        grant.charged += news;
        grant.expires_ms = now_ms + self.policy.grant_ttl_ms;
        let grant = *grant;
        self.ledger.charge(grant.pool, grant.workspace, news);
        self.rates.entry(grant.pool).or_default().add_units(news);
        if let Some(sign) = settle.ended {
            self.grants.remove(settle.id);
            self.slots.release(grant.endpoint, grant.workspace);
            self.slots.note(grant.endpoint, sign, now_ms);
        }
        self.refresh(grant.pool, grant.workspace);
        true
    }

    /// Takes a running request over from a scheduler that is gone.
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
            asked_to_pause: false,
            charged: adopted.charged,
            expires_ms: now_ms + self.policy.grant_ttl_ms,
        };
        self.grants.insert(adopted.id, grant);
        self.slots.take(adopted.endpoint, adopted.workspace);
        self.refresh(adopted.pool, adopted.workspace);
        true
    }

    /// Forgets what waits at an entry that cannot be reached, so that no grant is sent into the
    /// void; what runs there goes on.
    pub fn forget_demand(&mut self, entry: BoxKey) {
        for (pool, workspace) in self.demand.forget(entry) {
            self.refresh(pool, workspace);
        }
    }

    /// Forgets a box: its seeks go, and its grants are free again since its connections are cut.
    pub fn forget_box(&mut self, entry: BoxKey) {
        self.forget_demand(entry);
        for grant in self.grants.remove_where(|grant| grant.entry == entry) {
            self.slots.release(grant.endpoint, grant.workspace);
            self.refresh(grant.pool, grant.workspace);
        }
    }

    /// Merges what another scheduler has given.
    pub fn merge(&mut self, report: &LedgerReport, now_ms: u64) {
        let me = (self.me, self.incarnation);
        if self.policy.mode != OrderMode::Fair || (report.source, report.incarnation) == me {
            return;
        }
        for (pool, workspace) in self.ledger.merge(report, now_ms) {
            self.refresh(pool, workspace);
        }
    }

    /// Takes what the other schedulers are to be told.
    pub fn take_report(&mut self) -> LedgerReport {
        self.ledger.take_report(self.me, self.incarnation)
    }

    /// Returns everything known, for a daemon that starts with no memory.
    pub fn full_reports(&self) -> Vec<LedgerReport> {
        self.ledger.full_reports(self.me, self.incarnation)
    }

    /// Releases grants without a sign of their entry, and measures the rates.
    pub fn tick(&mut self, now_ms: u64) {
        for grant in self.grants.remove_where(|grant| grant.expires_ms <= now_ms) {
            self.expired += 1;
            self.slots.release(grant.endpoint, grant.workspace);
            self.refresh(grant.pool, grant.workspace);
        }
        let mut rates_changed = false;
        for (pool, held) in self.slots.held_by_pool() {
            rates_changed |= self.rates.entry(pool).or_default().advance(now_ms, held);
        }
        if rates_changed {
            self.reorder_all();
        }
    }

    /// Gives every free slot to the workspace furthest behind that waits for it.
    pub fn schedule(&mut self, now_ms: u64) -> Vec<GrantOffer> {
        let pools: Vec<PoolKey> = self.queues.keys().copied().collect();
        let mut offers = Vec::new();
        for pool in pools {
            while let Some(offer) = self.grant_one(pool, now_ms) {
                offers.push(offer);
            }
        }
        offers
    }

    fn grant_one(&mut self, pool: PoolKey, now_ms: u64) -> Option<GrantOffer> {
        let endpoint = self.slots.pick(pool, now_ms)?;
        let workspace = self.queues.get(&pool)?.first()?;
        let (near, locality_ms) = (&self.near, self.policy.locality_ms);
        let handicap = |entry: BoxKey| {
            if near.contains(&entry) {
                0
            } else {
                locality_ms
            }
        };
        let entry = self.demand.take(pool, workspace, handicap)?;
        self.pause_budget.earn(&self.policy.pause);
        self.raise_floor(pool, workspace);
        self.counter = self.counter.wrapping_add(1);
        let id = GrantId::new(self.incarnation, self.counter);
        let grant = HeldGrant {
            entry,
            pool,
            workspace,
            endpoint,
            granted_ms: now_ms,
            asked_to_pause: false,
            charged: 0.0,
            expires_ms: now_ms + self.policy.grant_ttl_ms,
        };
        check_invariant("a grant id is new", self.grants.insert(id, grant));
        self.slots.granted(endpoint, now_ms);
        let free = self.slots.take(endpoint, workspace);
        check_invariant("slots never above capacity", free);
        self.refresh(pool, workspace);
        Some(GrantOffer {
            entry,
            id,
            pool,
            workspace,
            endpoint,
        })
    }

    /// Picks the streams to be paused now: their entries, and their grants.
    ///
    /// A stream is paused where every slot is taken, and its workspace is further ahead of the one
    /// that waits furthest behind than the policy allows; within a budget, and asked for once.
    pub fn select_pauses(&mut self, now_ms: u64) -> Vec<(BoxKey, GrantId)> {
        // The baselines of measurements have no such lever.
        if self.policy.pause.gap_s <= 0.0 || self.policy.mode != OrderMode::Fair {
            return Vec::new();
        }
        let pools: Vec<PoolKey> = self.queues.keys().copied().collect();
        pools
            .into_iter()
            .filter_map(|pool| self.pause_one(pool, now_ms))
            .collect()
    }

    fn pause_one(&mut self, pool: PoolKey, now_ms: u64) -> Option<(BoxKey, GrantId)> {
        let behind = self.queues.get(&pool)?.first()?;
        if !self.pause_budget.allows(now_ms) || self.slots.pick(pool, now_ms).is_some() {
            return None;
        }
        let level_of = |workspace| {
            let share = self.share(workspace);
            self.ledger.level(pool, workspace, share)
        };
        let gap = LevelGap {
            pool,
            behind: level_of(behind),
            allowed: self.policy.pause.gap_s * self.fair_rate(pool, now_ms),
        };
        let id = gap.pick(self.grants.iter(), level_of, &self.policy.pause, now_ms)?;
        let grant = self.grants.mark_asked(id)?;
        self.pause_budget.spend(now_ms);
        self.paused += 1;
        Some((grant.entry, id))
    }

    /// Returns what a backlogged workspace gets a second for a share of one, over the fleet.
    fn fair_rate(&self, pool: PoolKey, now_ms: u64) -> f64 {
        let shares: u32 = self
            .ledger
            .active(pool, now_ms)
            .map(|workspace| self.share(workspace))
            .sum();
        let own = self.slots.slots_of(pool);
        let schedulers = self.schedulers.get(&pool).copied().unwrap_or(1);
        let rate = self.rates.get(&pool).map_or(0.0, RateMeter::rate);
        f64::from(own) * f64::from(schedulers) * rate / f64::from(shares.max(1))
    }

    /// Raises the level to which workspaces that come back from idle are lifted.
    fn raise_floor(&mut self, pool: PoolKey, workspace: WorkspaceKey) {
        let share = self.share(workspace);
        let level = self.ledger.level(pool, workspace, share);
        let floor = self.floors.entry(pool).or_default();
        *floor = floor.max(level);
    }

    fn share(&self, workspace: WorkspaceKey) -> u32 {
        self.shares.get(&workspace).copied().unwrap_or(1)
    }

    /// Puts a workspace where its key says, or takes it out when nothing of it waits.
    fn refresh(&mut self, pool: PoolKey, workspace: WorkspaceKey) {
        let queue = self.queues.entry(pool).or_default();
        match self.demand.waiting(pool, workspace) {
            0 => queue.remove(workspace),
            _ => {
                let key = self.order_key(pool, workspace);
                self.queues.entry(pool).or_default().put(workspace, key);
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
            OrderMode::Fair => self.schedulers.get(&pool).copied().unwrap_or(1),
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
            self.refresh(pool, workspace);
        }
    }

    /// Returns the free slots of each pool.
    pub fn free_slots(&self, now_ms: u64) -> BTreeMap<PoolKey, u32> {
        self.slots.free_by_pool(now_ms)
    }

    /// Returns how many grants are held.
    pub fn held_grants(&self) -> usize {
        self.grants.len()
    }

    /// Returns how many grants lapsed without a sign of their entry.
    pub const fn expired_grants(&self) -> u64 {
        self.expired
    }

    /// Returns how many streams were asked to pause.
    pub const fn paused_streams(&self) -> u64 {
        self.paused
    }

    /// Returns how many slots are held beyond capacity, as when two boxes own an endpoint.
    pub fn overcommitted_slots(&self) -> u32 {
        self.slots.overcommitted()
    }

    /// Returns how many endpoints get no new work for a while, after failures.
    pub fn backed_off_endpoints(&self, now_ms: u64) -> usize {
        self.slots.resting(now_ms)
    }

    /// Returns the endpoints that this box schedules.
    pub fn endpoint_count(&self) -> usize {
        self.slots.len()
    }

    /// Returns the sums of service.
    pub const fn ledger(&self) -> &FairLedger {
        &self.ledger
    }
}

#[cfg(test)]
mod tests;
