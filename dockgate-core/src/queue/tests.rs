use super::*;

const POOL: PoolKey = PoolKey(1);

fn request(id: u64, workspace: u32, priority: u8, deadline_ms: u64) -> WaitingRequest {
    WaitingRequest {
        id,
        pool: POOL,
        workspace: WorkspaceKey(workspace),
        priority,
        deadline_ms,
        queued_ms: id,
        resumed: false,
    }
}

#[test]
fn requests_are_ordered_by_priority_deadline_and_age() {
    let mut queue = RequestQueue::default();
    for request in [
        request(1, 1, 0, 900),
        request(2, 1, 0, 500),
        request(3, 1, 5, 900),
        request(4, 1, 0, 500),
    ] {
        queue.push(request, 10).unwrap();
    }
    let order: Vec<u64> = std::iter::from_fn(|| queue.pop(POOL, WorkspaceKey(1)))
        .map(|request| request.id)
        .collect();
    assert_eq!(order, [3, 2, 4, 1]);
    assert!(queue.is_empty());
}

#[test]
fn resumed_requests_go_first() {
    let mut queue = RequestQueue::default();
    queue.push(request(1, 1, 9, 10), 10).unwrap();
    let resumed = WaitingRequest {
        resumed: true,
        ..request(2, 1, 0, 99)
    };
    queue.push(resumed, 10).unwrap();
    assert_eq!(
        queue.pop(POOL, WorkspaceKey(1)).map(|request| request.id),
        Some(2)
    );
}

#[test]
fn queue_limit_applies_per_workspace() {
    let mut queue = RequestQueue::default();
    for id in 0..3 {
        queue.push(request(id, 1, 0, 10), 3).unwrap();
    }
    assert_eq!(
        queue.push(request(3, 1, 0, 10), 3),
        Err(QueueError::Full(3))
    );
    assert_eq!(queue.push(request(4, 2, 0, 10), 3), Ok(()));
    queue.remove(0);
    assert_eq!(queue.push(request(5, 1, 0, 10), 3), Ok(()));
}

#[test]
fn expired_and_oldest_requests_are_found() {
    let mut queue = RequestQueue::default();
    queue.push(request(1, 1, 0, 10), 3).unwrap();
    queue.push(request(2, 1, 9, 20), 3).unwrap();
    assert_eq!(queue.expired(10), [1]);
    assert_eq!(queue.oldest_ms(POOL, WorkspaceKey(1)), Some(1));
}
