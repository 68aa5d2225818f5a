use super::*;
use proptest::prelude::*;

const POOL: PoolKey = PoolKey(1);
const WORKSPACE: WorkspaceKey = WorkspaceKey(1);

fn report(incarnation: u32, units: u64) -> LedgerReport {
    LedgerReport {
        source: BoxKey(9),
        incarnation: Incarnation(incarnation),
        rows: vec![LedgerRow(POOL, WORKSPACE, units, 0)],
    }
}

#[test]
fn doubled_and_late_reports_change_nothing() {
    let mut ledger = FairLedger::default();
    for units in [10, 30, 30, 20] {
        ledger.merge(&report(1, units), 1);
    }
    assert_eq!(ledger.total(POOL, WORKSPACE), 30.0);
    ledger.merge(&report(2, 5), 1);
    assert_eq!(ledger.total(POOL, WORKSPACE), 35.0);
}

#[test]
fn idle_time_is_not_saved_up() {
    let mut ledger = FairLedger::default();
    ledger.touch(POOL, WORKSPACE, 2, 500.0, 10_000);
    assert_eq!(ledger.level(POOL, WORKSPACE, 2), 500.0);
    ledger.touch(POOL, WORKSPACE, 2, 900.0, 10_500);
    assert_eq!(ledger.level(POOL, WORKSPACE, 2), 500.0, "it was not idle");
}

#[test]
fn a_share_change_keeps_the_level() {
    let mut ledger = FairLedger::default();
    ledger.charge(POOL, WORKSPACE, 100.0);
    ledger.change_share(WORKSPACE, 1, 4);
    assert_eq!(ledger.level(POOL, WORKSPACE, 4), 100.0);
}

proptest! {
    #[test]
    fn merging_in_any_order_gives_the_same_total(
        mut reports in prop::collection::vec((0u32..3, 0u64..1000), 1..40),
        seed in 0usize..40,
    ) {
        let sum = |reports: &[(u32, u64)]| {
            let mut ledger = FairLedger::default();
            for (incarnation, units) in reports {
                ledger.merge(&report(*incarnation, *units), 1);
            }
            ledger.total(POOL, WORKSPACE)
        };
        let first = sum(&reports);
        let turn = seed % reports.len();
        reports.rotate_left(turn);
        reports.extend_from_within(..turn);
        prop_assert_eq!(first, sum(&reports));
    }

    #[test]
    fn a_newcomer_learns_the_same_totals(
        reports in prop::collection::vec((0u32..3, 0u64..1000), 1..20),
        own in 0u64..1000,
    ) {
        let mut old = FairLedger::default();
        old.charge(POOL, WORKSPACE, own as f64);
        for (incarnation, units) in &reports {
            old.merge(&report(*incarnation, *units), 1);
        }
        let mut newcomer = FairLedger::default();
        for report in old.full_reports(BoxKey(1), Incarnation(1)) {
            newcomer.merge(&report, 2);
        }
        prop_assert_eq!(old.total(POOL, WORKSPACE), newcomer.total(POOL, WORKSPACE));
    }
}
