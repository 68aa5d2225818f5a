use super::*;
use crate::ids::Incarnation;

const POOL: PoolKey = PoolKey(1);
const WORKSPACE: WorkspaceKey = WorkspaceKey(1);
const NEAR: BoxKey = BoxKey(1);
const FAR: BoxKey = BoxKey(2);

fn entry() -> EntryState {
    let mut entry = EntryState::new(SlotRequestPolicy {
        widen_ms: 5,
        width: 8,
    });
    entry.set_schedulers([(POOL, vec![NEAR, FAR])].into());
    entry.connect(NEAR);
    entry.connect(FAR);
    entry
}

fn request(id: u64, queued_ms: u64) -> WaitingRequest {
    WaitingRequest {
        id,
        pool: POOL,
        workspace: WORKSPACE,
        priority: 0,
        deadline_ms: 1_000,
        queued_ms,
        resumed: false,
    }
}

fn grant(counter: u32) -> GrantOffer {
    GrantOffer {
        entry: BoxKey(9),
        id: GrantId::new(Incarnation(1), counter),
        pool: POOL,
        workspace: WORKSPACE,
        endpoint: EndpointKey(4),
    }
}

fn slot_requests(actions: &[EntryAction]) -> Vec<(BoxKey, u32)> {
    let requests = actions.iter().filter_map(|action| match action {
        EntryAction::RequestSlots(request) => Some((request.to, request.waiting)),
        _ => None,
    });
    requests.collect()
}

#[test]
fn scheduler_with_free_slots_is_asked_first() {
    let mut entry = entry();
    entry.set_free_slots(FAR, POOL, 1);
    assert_eq!(
        slot_requests(&entry.enqueue(request(1, 0), 9).unwrap()),
        [(FAR, 1)]
    );
    let actions = entry.enqueue(request(2, 0), 9).unwrap();
    assert_eq!(slot_requests(&actions), [(NEAR, 2)]);
}

#[test]
fn waiting_requests_are_announced_to_more_schedulers() {
    let mut entry = entry();
    entry.set_free_slots(NEAR, POOL, 4);
    assert_eq!(
        slot_requests(&entry.enqueue(request(1, 0), 9).unwrap()),
        [(NEAR, 1)]
    );
    assert_eq!(entry.tick(4), []);
    assert_eq!(slot_requests(&entry.tick(5)), [(FAR, 1)]);
    assert_eq!(entry.tick(6), []);
}

#[test]
fn surplus_grant_is_returned() {
    let mut entry = entry();
    entry.enqueue(request(1, 0), 9).unwrap();
    assert_eq!(
        entry.bind_grant(NEAR, grant(1)),
        [EntryAction::Bind(1, grant(1))]
    );
    assert_eq!(
        entry.bind_grant(NEAR, grant(1)),
        [],
        "a duplicate grant is ignored"
    );
    let actions = entry.bind_grant(FAR, grant(2));
    assert_eq!(actions, [EntryAction::Return(FAR, grant(2).id)]);
    assert_eq!(entry.overgranted(), 1);
}

#[test]
fn requests_expire_at_their_deadline() {
    let mut entry = entry();
    entry.enqueue(request(1, 0), 9).unwrap();
    assert_eq!(entry.tick(1_000), [EntryAction::Expire(1)]);
    assert_eq!(entry.waiting(), 0);
}

#[test]
fn running_requests_are_reported_to_the_new_owner() {
    let mut entry = entry();
    entry.enqueue(request(1, 0), 9).unwrap();
    entry.bind_grant(NEAR, grant(1));
    assert_eq!(entry.record_cost(grant(1).id, 12.0), Some(NEAR));
    assert_eq!(entry.reassign(|_| Some(NEAR)), []);
    let moved = entry.reassign(|_| Some(FAR));
    assert_eq!((moved[0].0, moved[0].1.charged), (FAR, 12.0));
    assert_eq!(entry.running_requests_of(FAR).len(), 1);
    assert_eq!(entry.finish(grant(1).id), Some(FAR));
    assert_eq!(entry.finish(grant(1).id), None);
}

#[test]
fn unreachable_scheduler_gets_no_slot_requests() {
    let mut entry = entry();
    entry.disconnect(NEAR);
    let actions = entry.enqueue(request(1, 0), 9).unwrap();
    assert_eq!(slot_requests(&actions), [(FAR, 1)]);
    entry.connect(NEAR);
    assert_eq!(slot_requests(&entry.tick(5)), [(NEAR, 1)]);
}
