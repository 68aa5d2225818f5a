//! Time of a grant with its settle report, and of the merge of a ledger report, by the number of
//! waiting workspaces and of endpoints.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use dockgate_core::{
    BoxKey, EndpointKey, GrantOffer, Incarnation, LedgerReport, LedgerRow, OrderMode, OrderPolicy,
    PausePolicy, PoolKey, SchedulePolicy, SettleReport, SlotDemand, SlotEndpoint, SlotOutcome,
    SlotScheduler, WorkspaceKey,
};
use std::hint::black_box;
use std::time::Duration;

const POOL: PoolKey = PoolKey(1);
const ENTRY: BoxKey = BoxKey(9);
const SLOTS: u32 = 16;

fn demand(workspace: u32) -> SlotDemand {
    SlotDemand {
        pool: POOL,
        workspace: WorkspaceKey(workspace),
        waiting: u32::MAX / 2,
        grants_seen: 0,
        age_ms: 0,
    }
}

/// Creates a scheduler without free slots and with demand of every workspace.
fn loaded_scheduler(workspaces: u32, endpoints: u32) -> (SlotScheduler, Vec<GrantOffer>) {
    let policy = SchedulePolicy {
        mode: OrderMode::Fair,
        order: OrderPolicy { horizon_s: 3.0 },
        pause: PausePolicy {
            gap_s: 1.0,
            min_run_ms: 2_000,
            budget: 0.03,
        },
        locality_ms: 250,
        grant_ttl_ms: u64::MAX / 2,
        adopt_ms: 0,
    };
    let mut scheduler = SlotScheduler::new(BoxKey(1), Incarnation(1), policy);
    scheduler.set_shares((1..=workspaces).map(|key| (WorkspaceKey(key), 1)).collect());
    let endpoints: Vec<SlotEndpoint> = (1..=endpoints)
        .map(|key| SlotEndpoint {
            key: EndpointKey(key),
            pool: POOL,
            slots: SLOTS,
        })
        .collect();
    scheduler.set_endpoints(&endpoints, 0);
    for workspace in 1..=workspaces {
        scheduler.update_demand(ENTRY, demand(workspace), 1);
    }
    let held = scheduler.schedule(1);
    (scheduler, held)
}

fn grant_and_settle(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("grant_and_settle");
    for (workspaces, endpoints) in [(16, 32), (150, 32), (1_500, 32), (150, 320)] {
        let (mut scheduler, mut held) = loaded_scheduler(workspaces, endpoints);
        let id =
            BenchmarkId::from_parameter(format!("{workspaces}-workspaces-{endpoints}-endpoints"));
        let mut next = 0;
        group.bench_function(id, |bencher| {
            bencher.iter(|| {
                next = (next + 1) % held.len();
                let report = SettleReport {
                    id: held[next].id,
                    cost: 30.0,
                    ended: Some(SlotOutcome::Answered),
                };
                black_box(scheduler.settle(ENTRY, report, 2));
                let granted = scheduler.schedule(2);
                held[next] = granted[0];
            });
        });
    }
    group.finish();
}

fn merge_report(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("merge_report_row");
    for workspaces in [16, 150, 1_500] {
        let (mut scheduler, _) = loaded_scheduler(workspaces, 32);
        let mut units = 0;
        let mut workspace = 0;
        group.bench_function(BenchmarkId::from_parameter(workspaces), |bencher| {
            bencher.iter(|| {
                units += 30;
                workspace = workspace % workspaces + 1;
                let report = LedgerReport {
                    source: BoxKey(2),
                    incarnation: Incarnation(1),
                    rows: vec![LedgerRow(POOL, WorkspaceKey(workspace), units, 0)],
                };
                scheduler.merge(black_box(&report), 2);
            });
        });
    }
    group.finish();
}

criterion_group! {
    name = decisions;
    config = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    targets = grant_and_settle, merge_report
}
criterion_main!(decisions);
