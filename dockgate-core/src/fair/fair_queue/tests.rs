use super::*;

#[test]
fn the_one_furthest_behind_is_first() {
    let mut queue = FairQueue::default();
    queue.put(WorkspaceKey(1), 10.0);
    queue.put(WorkspaceKey(2), 9.5);
    queue.put(WorkspaceKey(1), 3.0);
    assert_eq!(queue.first(), Some(WorkspaceKey(1)));
    queue.remove(WorkspaceKey(1));
    assert_eq!(queue.first(), Some(WorkspaceKey(2)));
    assert_eq!(queue.len(), 1);
}

#[test]
fn a_held_slot_counts_for_what_it_will_take() {
    let policy = OrderPolicy { horizon_s: 3.0 };
    assert_eq!(policy.order_key(100.0, 2, 4, 8, 10.0), 220.0);
}
