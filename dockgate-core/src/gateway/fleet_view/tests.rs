use super::*;
use crate::gateway::{StoreAccess, StoreFollower};

const ADDRESS: &str = "10.0.0.1:7400";

fn heartbeat(name: &str, domain: &str) -> BoxHeartbeat {
    BoxHeartbeat::new(name, domain, ADDRESS.parse().unwrap())
}

fn view() -> FleetView {
    let mut view = FleetView::new(heartbeat("a1", "a"));
    view.receive_heartbeat(heartbeat("a2", "a"), Incarnation(1), 1_000);
    view.receive_heartbeat(heartbeat("b1", "b"), Incarnation(1), 1_000);
    view
}

#[test]
fn an_endpoint_is_decided_for_in_its_own_domain_while_anyone_lives_there() {
    let view = view();
    let b1 = BoxKey::from_name("b1");
    assert!((0..50).all(|id| view.owner(EndpointId(id), "b", 1_000) == b1));
    assert!((0..50).all(|id| view.owner(EndpointId(id), "b", 9_000) == view.me()));
    let owners: Vec<BoxKey> = (0..50)
        .map(|id| view.owner(EndpointId(id), "a", 1_000))
        .collect();
    assert!(owners.contains(&view.me()) && !owners.contains(&b1));
}

#[test]
fn a_box_that_leaves_decides_for_nothing() {
    let mut view = view();
    let leaving = BoxStatus::new(1_000).leaving(true);
    let leaving = heartbeat("b1", "b").sequence(2).status(leaving);
    view.receive_heartbeat(leaving, Incarnation(1), 1_100);
    let b1 = BoxKey::from_name("b1");
    assert!((0..50).all(|id| view.owner(EndpointId(id), "b", 1_100) != b1));
}

#[test]
fn a_box_that_falls_silent_is_gone_once_and_new_when_it_is_heard_again() {
    let mut view = view();
    view.receive_heartbeat(heartbeat("a3", "a"), Incarnation(1), 1_000);
    assert_eq!(
        view.receive_heartbeat(heartbeat("a2", "a").sequence(2), Incarnation(1), 1_500),
        BoxChange::Unchanged
    );
    assert_eq!(view.expire(2_000, 2_200), vec![BoxKey::from_name("a3")]);
    assert_eq!(view.expire(2_200, 2_400), Vec::new());
    assert_eq!(view.live_count(2_400), 3);
    assert_eq!(
        view.receive_heartbeat(heartbeat("a3", "a").sequence(2), Incarnation(1), 2_500),
        BoxChange::Joined
    );
    assert_eq!(
        view.receive_heartbeat(heartbeat("a2", "a"), Incarnation(2), 2_500),
        BoxChange::Restarted
    );
}

#[test]
fn a_silent_box_of_another_domain_decides_for_nothing_long_before_what_it_has_is_given_up() {
    let mut view = view();
    let b1 = BoxKey::from_name("b1");
    assert_ne!(view.owner(EndpointId(1), "b", 2_200), b1);
    assert!(
        view.is_live(b1, 2_200),
        "kind it has at engines may be there"
    );
    assert_eq!(view.expire(4_900, 5_200), vec![b1]);
    assert!(!view.is_live(b1, 5_200));
}

#[test]
fn the_box_that_knows_most_is_asked() {
    let mut view = view();
    let newest = |view: &FleetView, kind: StateKind, now_ms: u64| {
        let source = view.find_state_source(kind, None, now_ms);
        source.map(|source| source.state_address)
    };
    assert_eq!(newest(&view, StateKind::Config, 1_000), None);
    let newer = heartbeat("b1", "b")
        .sequence(2)
        .revisions(4, StoreRevision::NONE);
    view.receive_heartbeat(newer.clone(), Incarnation(1), 1_100);
    let source = Some(newer.state_address);
    assert_eq!(newest(&view, StateKind::Config, 1_100), source);
    assert_eq!(newest(&view, StateKind::Endpoints, 1_100), None);
    view.set_revisions(4, StoreRevision::NONE);
    assert_eq!(newest(&view, StateKind::Config, 1_100), None);
}

#[test]
fn a_domain_is_silent_when_none_of_its_boxes_is_heard() {
    let mut view = view();
    view.receive_heartbeat(heartbeat("b2", "b"), Incarnation(1), 1_500);
    assert!(view.silent_domains(1_800).is_empty(), "one of two is heard");
    assert_eq!(
        view.silent_domains(2_300).len(),
        1,
        "the own domain is none"
    );
    view.receive_heartbeat(heartbeat("b1", "b").sequence(2), Incarnation(1), 2_300);
    assert!(view.silent_domains(2_300).is_empty());
}

#[test]
fn two_boxes_of_a_domain_follow_the_store_for_all() {
    let names = ["a1", "a2", "a3", "a4", "a5"];
    let follows = |name: &str| {
        let mut view = FleetView::new(heartbeat(name, "a"));
        for other in names.into_iter().filter(|other| *other != name) {
            let reaching = BoxStatus::new(1_000).reaches_store(true);
            view.receive_heartbeat(
                heartbeat(other, "a").status(reaching),
                Incarnation(1),
                1_000,
            );
        }
        // Boxes of other domains follow it for their own.
        view.receive_heartbeat(heartbeat("b1", "b"), Incarnation(1), 1_000);
        let own = StoreAccess::default();
        StoreFollower::default().must_follow(view.store_watchers(1_000), own, 1_000)
    };
    assert_eq!(names.into_iter().filter(|name| follows(name)).count(), 2);
}

#[test]
fn boxes_that_lack_a_change_ask_different_ones_of_their_domain() {
    let queried = |name: &str| {
        let mut view = FleetView::new(heartbeat(name, "a"));
        for (index, other) in ["a7", "a8", "b7", "b8"].into_iter().enumerate() {
            let state_address = SocketAddr::from(([10, 0, 0, index as u8], 7_500));
            let informed = heartbeat(other, &other[..1]).revisions(5, StoreRevision::NONE);
            let informed = informed.state_address(state_address);
            view.receive_heartbeat(informed, Incarnation(1), 1_000);
        }
        let source = view.find_state_source(StateKind::Config, None, 1_000);
        source.unwrap().state_address
    };
    let queried: BTreeSet<SocketAddr> = (0..20)
        .map(|number| queried(&format!("a-{number}")))
        .collect();
    let same_domain = [0, 1].map(|index| SocketAddr::from(([10, 0, 0, index], 7_500)));
    assert_eq!(queried, BTreeSet::from(same_domain));
}

/// With 3,000 endpoints and 300 boxes, each change was source for at whichever domain saw it first.
#[test]
fn a_box_of_the_own_domain_is_asked_first_and_others_for_what_it_lacks() {
    let mut view = FleetView::new(heartbeat("a1", "a"));
    let address = |index: u8| SocketAddr::from(([10, 0, 0, index], 7_500));
    let newest = |view: &FleetView, avoid: Option<SocketAddr>| {
        let source = view.find_state_source(StateKind::Config, avoid, 1_000);
        source.map(|source| source.state_address)
    };
    let same_domain = heartbeat("a2", "a")
        .revisions(5, StoreRevision::NONE)
        .state_address(address(2));
    let other_domain = heartbeat("b1", "b")
        .revisions(7, StoreRevision::NONE)
        .state_address(address(3));
    view.receive_heartbeat(same_domain, Incarnation(1), 1_000);
    view.receive_heartbeat(other_domain, Incarnation(1), 1_000);
    assert_eq!(newest(&view, None), Some(address(2)));
    let silent = Some(address(2));
    assert_eq!(
        newest(&view, silent),
        Some(address(3)),
        "one that gave no answer goes last"
    );
    view.set_revisions(5, StoreRevision::NONE);
    assert_eq!(newest(&view, None), Some(address(3)));
}

/// Two boxes that followed the store said that they reach it for nine seconds in which it told them
/// nothing, and no other box began to.
#[test]
fn who_has_not_been_heard_by_the_store_for_long_does_not_count_as_one_that_reaches_it() {
    let mut view = FleetView::new(heartbeat("a1", "a"));
    let reaching = |name: &str, sequence: u32, age_ms: u32| {
        let status = BoxStatus::new(2_000).reaches_store(true);
        let status = status.store_proof_age_ms(age_ms);
        heartbeat(name, "a").sequence(sequence).status(status)
    };
    view.receive_heartbeat(reaching("a2", 1, 400), Incarnation(1), 11_000);
    view.receive_heartbeat(reaching("a3", 1, 2_400), Incarnation(1), 11_000);
    let watchers = view.store_watchers(11_000);
    assert_eq!((watchers.reaching, watchers.before), (1, 2));
    assert_eq!(view.store_proof_age_ms(11_000), Some(400));
    assert_eq!(view.store_watchers(12_050).reaching, 1, "not yet gone");
    // Its store falls silent, and it does not say so.
    view.receive_heartbeat(reaching("a2", 2, 1_900), Incarnation(1), 11_400);
    assert_eq!(view.store_watchers(11_500).reaching, 1);
    assert_eq!(view.store_watchers(11_501).reaching, 0);
}
