//! Scenarios and long randomised runs of one scheduler.

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

fn seek(workspace: u32, waiting: u32) -> SlotDemand {
    SlotDemand {
        pool: POOL,
        workspace: WorkspaceKey(workspace),
        waiting,
        seen: 0,
        age_ms: 0,
    }
}

fn settle(id: GrantId, cost: f64, done: bool) -> SettleReport {
    let ended = done.then_some(SlotOutcome::Answered);
    SettleReport { id, cost, ended }
}

#[test]
fn shares_are_kept_whatever_the_cost_of_an_answer() {
    let mut scheduler = scheduler(OrderMode::Fair, 2, 4);
    let mut given = [0.0; 5];
    let mut running: Vec<GrantOffer> = Vec::new();
    for step in 0..4_000u64 {
        for workspace in 1..=4 {
            let mut demand = seek(workspace, 10);
            demand.seen = u32::MAX / 4;
            scheduler.update_demand(ENTRY, demand, step);
        }
        running.extend(scheduler.schedule(step));
        let done = running.remove(0);
        let cost = f64::from(done.workspace.0 % 2 * 90 + 10);
        given[done.workspace.0 as usize] += cost;
        assert!(scheduler.settle(ENTRY, settle(done.id, cost, true), step));
    }
    let unit = given[1];
    for (workspace, given) in given.iter().enumerate().skip(2) {
        let ratio = given / unit / workspace as f64;
        assert!((0.9..1.1).contains(&ratio), "{workspace}: {ratio}");
    }
}

#[test]
fn a_lost_entry_frees_its_slots_and_a_silent_grant_expires() {
    let mut scheduler = scheduler(OrderMode::Fair, 1, 2);
    scheduler.update_demand(ENTRY, seek(1, 5), 0);
    assert_eq!(scheduler.schedule(0).len(), 2);
    assert_eq!(scheduler.schedule(0).len(), 0);
    scheduler.forget_box(ENTRY);
    assert_eq!(scheduler.free_slots(0)[&POOL], 2);
    scheduler.update_demand(ENTRY, seek(1, 5), 0);
    scheduler.schedule(0);
    scheduler.tick(6_000);
    assert_eq!(scheduler.expired_grants(), 2);
    assert_eq!(scheduler.free_slots(6_000)[&POOL], 2);
}

#[test]
fn a_successor_rebuilds_slot_use_before_it_grants() {
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
    scheduler.update_demand(ENTRY, seek(1, 5), 0);
    assert_eq!(scheduler.schedule(100), []);
    let adopted = AdoptedGrant {
        id: GrantId::new(Incarnation(1), 9),
        pool: POOL,
        workspace: WorkspaceKey(1),
        endpoint: EndpointKey(1),
        charged: 40.0,
    };
    assert!(scheduler.adopt(ENTRY, adopted, 100));
    assert!(!scheduler.adopt(ENTRY, adopted, 100), "told twice");
    assert_eq!(scheduler.schedule(300).len(), 1);
    assert!(scheduler.settle(ENTRY, settle(adopted.id, 50.0, true), 300));
    assert_eq!(scheduler.ledger().total(POOL, WorkspaceKey(1)), 10.0);
}

#[test]
fn an_entry_with_a_short_queue_is_not_starved_by_one_with_a_long_queue() {
    let mut scheduler = scheduler(OrderMode::Fair, 1, 1);
    let small = BoxKey(200);
    scheduler.update_demand(small, seek(1, 2), 0);
    let mut served = 0;
    for now in 1..=20 {
        let mut demand = seek(1, 50);
        demand.seen = u32::MAX / 4;
        scheduler.update_demand(ENTRY, demand, now);
        for grant in scheduler.schedule(now) {
            served += u32::from(grant.entry == small);
            scheduler.settle(grant.entry, settle(grant.id, 1.0, true), now);
        }
    }
    assert_eq!(served, 2);
}

#[test]
fn a_dead_endpoint_does_not_swallow_the_queue() {
    let mut scheduler = scheduler(OrderMode::Fair, 2, 1);
    let mut lost = 0;
    for now in 0..1_000 {
        let mut demand = seek(1, 10);
        demand.seen = u32::MAX / 4;
        scheduler.update_demand(ENTRY, demand, now);
        for grant in scheduler.schedule(now) {
            let dead = grant.endpoint == EndpointKey(1);
            let sign = if dead {
                SlotOutcome::Lost
            } else {
                SlotOutcome::Answered
            };
            lost += u32::from(dead);
            let mut report = settle(grant.id, 1.0, true);
            report.ended = Some(sign);
            scheduler.settle(ENTRY, report, now);
        }
    }
    assert_eq!(lost, 4, "probed after 100, 200 and 400 ms of rest");
}

#[test]
fn nothing_is_granted_to_an_entry_that_cannot_be_reached() {
    let mut scheduler = scheduler(OrderMode::Fair, 1, 2);
    scheduler.update_demand(ENTRY, seek(1, 5), 0);
    let running = scheduler.schedule(0).len();
    scheduler.forget_demand(ENTRY);
    scheduler.update_demand(BoxKey(200), seek(2, 1), 0);
    assert_eq!(scheduler.held_grants(), running, "what runs goes on");
    scheduler.forget_box(ENTRY);
    let entries: Vec<BoxKey> = scheduler
        .schedule(0)
        .iter()
        .map(|grant| grant.entry)
        .collect();
    assert_eq!(entries, [BoxKey(200)]);
}

#[test]
fn a_near_entry_goes_first_unless_a_far_one_waits_much_longer() {
    let far = BoxKey(200);
    for (age_ms, expected) in [(200, ENTRY), (300, far)] {
        let mut scheduler = scheduler(OrderMode::Fair, 1, 1);
        scheduler.set_local_entries([ENTRY].into());
        let mut older = seek(1, 1);
        older.age_ms = age_ms;
        scheduler.update_demand(far, older, 1_000);
        scheduler.update_demand(ENTRY, seek(1, 1), 1_000);
        assert_eq!(scheduler.schedule(1_000)[0].entry, expected);
    }
}

#[test]
fn the_stream_of_the_workspace_furthest_ahead_is_paused_once() {
    let mut scheduler = scheduler(OrderMode::Fair, 1, 2);
    scheduler.update_demand(ENTRY, seek(1, 2), 1);
    let running = scheduler.schedule(1);
    for now in [1_001, 2_001, 3_001] {
        for (index, grant) in running.iter().enumerate() {
            let cost = now as f64 / 10.0 + index as f64;
            scheduler.settle(ENTRY, settle(grant.id, cost, false), now);
        }
        scheduler.tick(now);
    }
    assert_eq!(scheduler.select_pauses(3_001), [], "nobody else waits");
    scheduler.update_demand(ENTRY, seek(2, 1), 3_001);
    let paused = scheduler.select_pauses(3_001);
    assert_eq!(paused.len(), 1);
    assert_eq!(
        scheduler.select_pauses(3_002),
        [],
        "not two within a tenth of a second"
    );
    assert_ne!(
        scheduler.select_pauses(3_200),
        paused,
        "and no stream is asked twice"
    );
}

#[test]
fn strangers_are_refused() {
    let mut scheduler = scheduler(OrderMode::Fair, 1, 1);
    assert!(!scheduler.update_demand(ENTRY, seek(99, 1), 0));
    scheduler.update_demand(ENTRY, seek(1, 1), 0);
    let grant = scheduler.schedule(0)[0];
    let stranger = BoxKey(200);
    assert!(!scheduler.settle(stranger, settle(grant.id, 1.0, true), 0));
    assert_eq!(scheduler.held_grants(), 1);
}

#[derive(Debug, Clone)]
enum Step {
    Seek(u32, u32, u32),
    Settle(usize, u32, bool),
    Settled(usize),
    Report(u32, u64),
    LoseEntry(u32),
    Endpoints(u32),
    Share(u32, u32),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u32..3, 1u32..5, 0u32..20).prop_map(|(e, w, n)| Step::Seek(e, w, n)),
        4 => (0usize..64, 0u32..200, any::<bool>()).prop_map(|(g, c, d)| Step::Settle(g, c, d)),
        1 => (0usize..64).prop_map(Step::Settled),
        1 => (1u32..5, 0u64..5_000).prop_map(|(w, u)| Step::Report(w, u)),
        1 => (0u32..3).prop_map(Step::LoseEntry),
        1 => (0u32..5).prop_map(Step::Endpoints),
        1 => (1u32..5, 1u32..50).prop_map(|(w, s)| Step::Share(w, s)),
        2 => (1u64..4_000).prop_map(Step::Wait),
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
            Step::Seek(entry, workspace, waiting) => {
                scheduler.update_demand(BoxKey(entry), seek(workspace, waiting), now);
            }
            Step::Settle(index, cost, done) => {
                if let Some(grant) = grants.get(index) {
                    scheduler.settle(grant.entry, settle(grant.id, f64::from(cost), done), now);
                }
            }
            Step::Settled(index) => {
                if let Some(grant) = grants.get(index) {
                    // The same end told twice.
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
            Step::Wait(ms) => {
                now += ms;
                scheduler.tick(now);
            }
        }
        grants.extend(scheduler.schedule(now));
        grants.truncate(64);
        let free = scheduler.free_slots(now).values().sum::<u32>();
        let waits = scheduler.queues.values().any(|queue| !queue.is_empty());
        assert!(free == 0 || !waits, "a slot is idle while work waits");
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
