use super::*;

#[test]
fn lowest_order_key_is_first() {
    let mut queue = FairQueue::default();
    queue.insert(WorkspaceKey(1), 10.0);
    queue.insert(WorkspaceKey(2), 9.5);
    queue.insert(WorkspaceKey(1), 3.0);
    assert_eq!(queue.first(), Some(WorkspaceKey(1)));
    queue.remove(WorkspaceKey(1));
    assert_eq!(queue.first(), Some(WorkspaceKey(2)));
    assert_eq!(queue.len(), 1);
}

#[test]
fn order_key_includes_expected_service_of_held_slots() {
    let policy = OrderPolicy { horizon_s: 3.0 };
    assert_eq!(policy.order_key(100.0, 2, 4, 8, 10.0), 220.0);
}
