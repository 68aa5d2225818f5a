//! Scenarios and randomized runs of one scheduler.

use super::*;
use proptest::prelude::*;

const POOL: PoolKey = PoolKey(1);
const ENTRY: BoxKey = BoxKey(100);

fn policy(mode: OrderMode) -> SchedulePolicy {
    SchedulePolicy {
        mode,
        order: OrderPolicy { horizon_s: 3.0 },
        pause: PausePolicy {
            gap_s: 1.0,
            min_run_ms: 1_000,
            budget: 1.0,
        },
        locality_ms: 250,
        grant_ttl_ms: 5_000,
        adopt_ms: 0,
    }
}

fn scheduler(mode: OrderMode, endpoints: u32, slots: u32) -> SlotScheduler {
    let mut scheduler = SlotScheduler::new(BoxKey(1), Incarnation(1), policy(mode));
    scheduler.set_shares((1..=4).map(|key| (WorkspaceKey(key), key)).collect());
    let endpoints: Vec<SlotEndpoint> = (1..=endpoints)
        .map(|key| SlotEndpoint {
            key: EndpointKey(key),
            pool: POOL,
            slots,
        })
        .collect();
    scheduler.set_endpoints(&endpoints, 0);
    scheduler
}

fn demand(workspace: u32, waiting: u32) -> SlotDemand {
    SlotDemand {
        pool: POOL,
        workspace: WorkspaceKey(workspace),
        waiting,
        grants_seen: 0,
        age_ms: 0,
    }
}

fn settle(id: GrantId, cost: f64, done: bool) -> SettleReport {
    let ended = done.then_some(SlotOutcome::Answered);
    SettleReport { id, cost, ended }
}

#[test]
fn service_follows_shares_at_unequal_request_costs() {
    let mut scheduler = scheduler(OrderMode::Fair, 2, 4);
    let mut service = [0.0; 5];
    let mut running: Vec<GrantOffer> = Vec::new();
    for step in 0..4_000u64 {
        for workspace in 1..=4 {
            let mut demand = demand(workspace, 10);
            demand.grants_seen = u32::MAX / 4;
            scheduler.update_demand(ENTRY, demand, step);
        }
        running.extend(scheduler.schedule(step));
        let done = running.remove(0);
        let cost = f64::from(done.workspace.0 % 2 * 90 + 10);
        service[done.workspace.0 as usize] += cost;
        assert!(scheduler.settle(ENTRY, settle(done.id, cost, true), step));
    }
    let unit = service[1];
    for (workspace, units) in service.iter().enumerate().skip(2) {
        let ratio = units / unit / workspace as f64;
        assert!((0.9..1.1).contains(&ratio), "{workspace}: {ratio}");
    }
}

#[test]
fn grants_are_released_on_entry_loss_and_expiry() {
    let mut scheduler = scheduler(OrderMode::Fair, 1, 2);
    scheduler.update_demand(ENTRY, demand(1, 5), 0);
    assert_eq!(scheduler.schedule(0).len(), 2);
    assert_eq!(scheduler.schedule(0).len(), 0);
    scheduler.forget_box(ENTRY);
    assert_eq!(scheduler.free_slots(0)[&POOL], 2);
    scheduler.update_demand(ENTRY, demand(1, 5), 0);
    scheduler.schedule(0);
    scheduler.tick(6_000);
    assert_eq!(scheduler.expired_grants(), 2);
    assert_eq!(scheduler.free_slots(6_000)[&POOL], 2);
}

#[test]
fn new_owner_adopts_running_requests_before_it_grants() {
    let mut policy = policy(OrderMode::Fair);
    policy.adopt_ms = 200;
    let mut scheduler = SlotScheduler::new(BoxKey(1), Incarnation(2), policy);
    scheduler.set_shares([(WorkspaceKey(1), 1)].into());
    let endpoint = SlotEndpoint {
        key: EndpointKey(1),
        pool: POOL,
        slots: 2,
    };
    scheduler.set_endpoints(&[endpoint], 0);
    scheduler.update_demand(ENTRY, demand(1, 5), 0);
    assert_eq!(scheduler.schedule(100), []);
    let adopted = AdoptedGrant {
        id: GrantId::new(Incarnation(1), 9),
        pool: POOL,
        workspace: WorkspaceKey(1),
        endpoint: EndpointKey(1),
        charged: 40.0,
    };
    assert!(scheduler.adopt(ENTRY, adopted, 100));
    assert!(
        !scheduler.adopt(ENTRY, adopted, 100),
        "the grant is already known"
    );
    assert_eq!(scheduler.schedule(300).len(), 1);
    assert!(scheduler.settle(ENTRY, settle(adopted.id, 50.0, true), 300));
    assert_eq!(scheduler.ledger().total(POOL, WorkspaceKey(1)), 10.0);
}

#[test]
fn short_queue_is_not_starved_by_a_long_queue() {
    let mut scheduler = scheduler(OrderMode::Fair, 1, 1);
    let short_entry = BoxKey(200);
    scheduler.update_demand(short_entry, demand(1, 2), 0);
    let mut served = 0;
    for now in 1..=20 {
        let mut demand = demand(1, 50);
        demand.grants_seen = u32::MAX / 4;
        scheduler.update_demand(ENTRY, demand, now);
        for grant in scheduler.schedule(now) {
            served += u32::from(grant.entry == short_entry);
            scheduler.settle(grant.entry, settle(grant.id, 1.0, true), now);
        }
    }
    assert_eq!(served, 2);
}

#[test]
fn dead_endpoint_is_probed_with_backoff() {
    let mut scheduler = scheduler(OrderMode::Fair, 2, 1);
    let mut lost = 0;
    for now in 0..1_000 {
        let mut demand = demand(1, 10);
        demand.grants_seen = u32::MAX / 4;
        scheduler.update_demand(ENTRY, demand, now);
        for grant in scheduler.schedule(now) {
            let dead = grant.endpoint == EndpointKey(1);
            let outcome = if dead {
                SlotOutcome::Lost
            } else {
                SlotOutcome::Answered
            };
            lost += u32::from(dead);
            let mut report = settle(grant.id, 1.0, true);
            report.ended = Some(outcome);
            scheduler.settle(ENTRY, report, now);
        }
    }
    assert_eq!(lost, 4, "probed after backoffs of 100, 200 and 400 ms");
}

#[test]
fn unreachable_entry_gets_no_grants() {
    let mut scheduler = scheduler(OrderMode::Fair, 1, 2);
    scheduler.update_demand(ENTRY, demand(1, 5), 0);
    let running = scheduler.schedule(0).len();
    scheduler.forget_demand(ENTRY);
    scheduler.update_demand(BoxKey(200), demand(2, 1), 0);
    assert_eq!(
        scheduler.held_grants(),
        running,
        "running requests keep their grants"
    );
    scheduler.forget_box(ENTRY);
    let entries: Vec<BoxKey> = scheduler
        .schedule(0)
        .iter()
        .map(|grant| grant.entry)
        .collect();
    assert_eq!(entries, [BoxKey(200)]);
}

#[test]
fn local_entry_goes_first_within_the_locality_limit() {
    let remote = BoxKey(200);
    for (age_ms, expected) in [(200, ENTRY), (300, remote)] {
        let mut scheduler = scheduler(OrderMode::Fair, 1, 1);
        scheduler.set_local_entries([ENTRY].into());
        let mut older = demand(1, 1);
        older.age_ms = age_ms;
        scheduler.update_demand(remote, older, 1_000);
        scheduler.update_demand(ENTRY, demand(1, 1), 1_000);
        assert_eq!(scheduler.schedule(1_000)[0].entry, expected);
    }
}

#[test]
fn stream_of_the_highest_level_is_paused_once() {
    let mut scheduler = scheduler(OrderMode::Fair, 1, 2);
    scheduler.update_demand(ENTRY, demand(1, 2), 1);
    let running = scheduler.schedule(1);
    for now in [1_001, 2_001, 3_001] {
        for (index, grant) in running.iter().enumerate() {
            let cost = now as f64 / 10.0 + index as f64;
            scheduler.settle(ENTRY, settle(grant.id, cost, false), now);
        }
        scheduler.tick(now);
    }
    assert_eq!(
        scheduler.select_pauses(3_001),
        [],
        "no other workspace waits"
    );
    scheduler.update_demand(ENTRY, demand(2, 1), 3_001);
    let paused = scheduler.select_pauses(3_001);
    assert_eq!(paused.len(), 1);
    assert_eq!(
        scheduler.select_pauses(3_002),
        [],
        "at most one pause per 100 ms"
    );
    assert_ne!(
        scheduler.select_pauses(3_200),
        paused,
        "no stream is selected twice"
    );
}

#[test]
fn unknown_workspaces_and_entries_are_refused() {
    let mut scheduler = scheduler(OrderMode::Fair, 1, 1);
    assert!(!scheduler.update_demand(ENTRY, demand(99, 1), 0));
    scheduler.update_demand(ENTRY, demand(1, 1), 0);
    let grant = scheduler.schedule(0)[0];
    let other_entry = BoxKey(200);
    assert!(!scheduler.settle(other_entry, settle(grant.id, 1.0, true), 0));
    assert_eq!(scheduler.held_grants(), 1);
}

#[derive(Debug, Clone)]
enum Step {
    Demand(u32, u32, u32),
    Settle(usize, u32, bool),
    SettleTwice(usize),
    Report(u32, u64),
    LoseEntry(u32),
    Endpoints(u32),
    Share(u32, u32),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u32..3, 1u32..5, 0u32..20).prop_map(|(e, w, n)| Step::Demand(e, w, n)),
        4 => (0usize..64, 0u32..200, any::<bool>()).prop_map(|(g, c, d)| Step::Settle(g, c, d)),
        1 => (0usize..64).prop_map(Step::SettleTwice),
        1 => (1u32..5, 0u64..5_000).prop_map(|(w, u)| Step::Report(w, u)),
        1 => (0u32..3).prop_map(Step::LoseEntry),
        1 => (0u32..5).prop_map(Step::Endpoints),
        1 => (1u32..5, 1u32..50).prop_map(|(w, s)| Step::Share(w, s)),
        2 => (1u64..4_000).prop_map(Step::Advance),
    ]
}

fn run_steps(steps: &[Step]) {
    let mut scheduler = scheduler(OrderMode::Fair, 3, 2);
    let mut shares: HashMap<WorkspaceKey, u32> =
        (1..=4).map(|key| (WorkspaceKey(key), 1)).collect();
    let mut grants: Vec<GrantOffer> = Vec::new();
    let mut now = 1;
    for step in steps {
        match *step {
            Step::Demand(entry, workspace, waiting) => {
                scheduler.update_demand(BoxKey(entry), demand(workspace, waiting), now);
            }
            Step::Settle(index, cost, done) => {
                if let Some(grant) = grants.get(index) {
                    scheduler.settle(grant.entry, settle(grant.id, f64::from(cost), done), now);
                }
            }
            Step::SettleTwice(index) => {
                if let Some(grant) = grants.get(index) {
                    // A repeated settle report is refused.
                    scheduler.settle(grant.entry, settle(grant.id, 5.0, true), now);
                    assert!(!scheduler.settle(grant.entry, settle(grant.id, 5.0, true), now));
                }
            }
            Step::Report(workspace, units) => {
                let row = crate::fair::LedgerRow(POOL, WorkspaceKey(workspace), units, 0);
                let report = LedgerReport {
                    source: BoxKey(7),
                    incarnation: Incarnation(7),
                    rows: vec![row],
                };
                scheduler.merge(&report, now);
            }
            Step::LoseEntry(entry) => scheduler.forget_box(BoxKey(entry)),
            Step::Endpoints(count) => {
                let endpoints: Vec<SlotEndpoint> = (1..=count)
                    .map(|key| SlotEndpoint {
                        key: EndpointKey(key),
                        pool: POOL,
                        slots: 2,
                    })
                    .collect();
                scheduler.set_endpoints(&endpoints, now);
            }
            Step::Share(workspace, share) => {
                shares.insert(WorkspaceKey(workspace), share);
                scheduler.set_shares(shares.clone());
            }
            Step::Advance(ms) => {
                now += ms;
                scheduler.tick(now);
            }
        }
        grants.extend(scheduler.schedule(now));
        grants.truncate(64);
        let free = scheduler.free_slots(now).values().sum::<u32>();
        let has_waiting = scheduler.queues.values().any(|queue| !queue.is_empty());
        assert!(
            free == 0 || !has_waiting,
            "a slot is free while requests wait"
        );
        assert_eq!(scheduler.overcommitted_slots(), 0);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn invariants_hold_over_random_steps(steps in prop::collection::vec(step(), 1..200)) {
        run_steps(&steps);
    }
}
