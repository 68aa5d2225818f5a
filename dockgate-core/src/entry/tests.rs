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

fn asked(actions: &[EntryAction]) -> Vec<(BoxKey, u32)> {
    let seeks = actions.iter().filter_map(|action| match action {
        EntryAction::RequestSlots(seek) => Some((seek.to, seek.waiting)),
        _ => None,
    });
    seeks.collect()
}

#[test]
fn one_scheduler_is_asked_while_slots_are_free_and_all_when_none_is() {
    let mut entry = entry();
    entry.set_free_slots(FAR, POOL, 1);
    assert_eq!(asked(&entry.enqueue(request(1, 0), 9).unwrap()), [(FAR, 1)]);
    let actions = entry.enqueue(request(2, 0), 9).unwrap();
    assert_eq!(asked(&actions), [(NEAR, 2)]);
}

#[test]
fn what_waits_is_asked_for_more_widely() {
    let mut entry = entry();
    entry.set_free_slots(NEAR, POOL, 4);
    assert_eq!(
        asked(&entry.enqueue(request(1, 0), 9).unwrap()),
        [(NEAR, 1)]
    );
    assert_eq!(entry.tick(4), []);
    assert_eq!(asked(&entry.tick(5)), [(FAR, 1)]);
    assert_eq!(entry.tick(6), []);
}

#[test]
fn a_grant_too_many_is_given_back_and_the_others_are_told() {
    let mut entry = entry();
    entry.enqueue(request(1, 0), 9).unwrap();
    assert_eq!(
        entry.bind_grant(NEAR, grant(1)),
        [EntryAction::Bind(1, grant(1))]
    );
    assert_eq!(entry.bind_grant(NEAR, grant(1)), [], "told twice");
    let actions = entry.bind_grant(FAR, grant(2));
    assert_eq!(actions, [EntryAction::Return(FAR, grant(2).id)]);
    assert_eq!(entry.overgranted(), 1);
}

#[test]
fn deadlines_end_the_wait() {
    let mut entry = entry();
    entry.enqueue(request(1, 0), 9).unwrap();
    assert_eq!(entry.tick(1_000), [EntryAction::Expire(1)]);
    assert_eq!(entry.waiting(), 0);
}

#[test]
fn what_runs_is_reported_to_the_new_owner() {
    let mut entry = entry();
    entry.enqueue(request(1, 0), 9).unwrap();
    entry.bind_grant(NEAR, grant(1));
    assert_eq!(entry.record_cost(grant(1).id, 12.0), Some(NEAR));
    assert_eq!(entry.reassign(|_| Some(NEAR)), []);
    let moved = entry.reassign(|_| Some(FAR));
    assert_eq!((moved[0].0, moved[0].1.charged), (FAR, 12.0));
    assert_eq!(entry.running_under(FAR).len(), 1);
    assert_eq!(entry.finish(grant(1).id), Some(FAR));
    assert_eq!(entry.finish(grant(1).id), None);
}

#[test]
fn an_unreachable_scheduler_is_not_asked() {
    let mut entry = entry();
    entry.disconnect(NEAR);
    let actions = entry.enqueue(request(1, 0), 9).unwrap();
    assert_eq!(asked(&actions), [(FAR, 1)]);
    entry.connect(NEAR);
    assert_eq!(asked(&entry.tick(5)), [(NEAR, 1)]);
}
