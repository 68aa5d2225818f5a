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
fn duplicate_and_late_reports_have_no_effect() {
    let mut ledger = FairLedger::default();
    for units in [10, 30, 30, 20] {
        ledger.merge(&report(1, units), 1);
    }
    assert_eq!(ledger.total(POOL, WORKSPACE), 30.0);
    ledger.merge(&report(2, 5), 1);
    assert_eq!(ledger.total(POOL, WORKSPACE), 35.0);
}

#[test]
fn returning_from_idle_raises_the_level_to_the_floor() {
    let mut ledger = FairLedger::default();
    ledger.mark_active(POOL, WORKSPACE, 2, 500.0, 10_000);
    assert_eq!(ledger.level(POOL, WORKSPACE, 2), 500.0);
    ledger.mark_active(POOL, WORKSPACE, 2, 900.0, 10_500);
    assert_eq!(ledger.level(POOL, WORKSPACE, 2), 500.0, "it was not idle");
}

#[test]
fn share_change_keeps_the_level() {
    let mut ledger = FairLedger::default();
    ledger.charge(POOL, WORKSPACE, 100.0);
    ledger.change_share(WORKSPACE, 1, 4);
    assert_eq!(ledger.level(POOL, WORKSPACE, 4), 100.0);
}

proptest! {
    #[test]
    fn merge_order_does_not_change_the_total(
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
        let rotation = seed % reports.len();
        reports.rotate_left(rotation);
        reports.extend_from_within(..rotation);
        prop_assert_eq!(first, sum(&reports));
    }

    #[test]
    fn full_reports_reproduce_the_totals(
        reports in prop::collection::vec((0u32..3, 0u64..1000), 1..20),
        own in 0u64..1000,
    ) {
        let mut ledger = FairLedger::default();
        ledger.charge(POOL, WORKSPACE, own as f64);
        for (incarnation, units) in &reports {
            ledger.merge(&report(*incarnation, *units), 1);
        }
        let mut copy = FairLedger::default();
        for report in ledger.full_reports(BoxKey(1), Incarnation(1)) {
            copy.merge(&report, 2);
        }
        prop_assert_eq!(ledger.total(POOL, WORKSPACE), copy.total(POOL, WORKSPACE));
    }
}
