use super::*;

const POOL: PoolKey = PoolKey(1);
const WORKSPACE: WorkspaceKey = WorkspaceKey(1);
const SCHEDULER: BoxKey = BoxKey(5);

fn update(table: &mut SlotRequestTable, waiting: usize) -> Option<u32> {
    table
        .update(POOL, WORKSPACE, waiting, &[SCHEDULER])
        .first()
        .map(|update| update.waiting)
}

#[test]
fn slot_requests_are_sent_only_on_relevant_changes() {
    let mut table = SlotRequestTable::default();
    assert_eq!(update(&mut table, 0), None);
    assert_eq!(update(&mut table, 1), Some(1));
    assert_eq!(update(&mut table, 2), None);
    assert_eq!(update(&mut table, 4), Some(4));
    table.record_grant(POOL, WORKSPACE, SCHEDULER);
    assert_eq!(update(&mut table, 3), None);
    assert_eq!(update(&mut table, 0), Some(0));
    assert_eq!(update(&mut table, 0), None);
}

#[test]
fn scheduler_without_pending_requests_is_updated_at_once() {
    let mut table = SlotRequestTable::default();
    update(&mut table, 1);
    table.record_grant(POOL, WORKSPACE, SCHEDULER);
    assert_eq!(update(&mut table, 1), Some(1));
    table.forget(SCHEDULER);
    assert_eq!(update(&mut table, 1), Some(1));
    assert_eq!(table.schedulers_with_demand(POOL, WORKSPACE), [SCHEDULER]);
}
