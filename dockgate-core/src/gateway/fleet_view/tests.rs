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
fn endpoints_are_owned_within_their_domain_while_it_has_live_boxes() {
    let view = view();
    let b1 = BoxKey::from_name("b1");
    assert!((0..50).all(|id| view.owner(EndpointId(id), "b", 1_000) == b1));
    assert!((0..50).all(|id| view.owner(EndpointId(id), "b", 9_000) == view.own_key()));
    let owners: Vec<BoxKey> = (0..50)
        .map(|id| view.owner(EndpointId(id), "a", 1_000))
        .collect();
    assert!(owners.contains(&view.own_key()) && !owners.contains(&b1));
}

#[test]
fn leaving_boxes_own_no_endpoints() {
    let mut view = view();
    let leaving = BoxStatus::new(1_000).leaving(true);
    let leaving = heartbeat("b1", "b").sequence(2).status(leaving);
    view.receive_heartbeat(leaving, Incarnation(1), 1_100);
    let b1 = BoxKey::from_name("b1");
    assert!((0..50).all(|id| view.owner(EndpointId(id), "b", 1_100) != b1));
}

#[test]
fn silent_boxes_expire_once_and_join_again() {
    let mut view = view();
    view.receive_heartbeat(heartbeat("a3", "a"), Incarnation(1), 1_000);
    assert_eq!(
        view.receive_heartbeat(heartbeat("a2", "a").sequence(2), Incarnation(1), 1_500),
        BoxChange::None
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
fn silent_remote_boxes_lose_ownership_before_they_expire() {
    let mut view = view();
    let b1 = BoxKey::from_name("b1");
    assert_ne!(view.owner(EndpointId(1), "b", 2_200), b1);
    assert!(
        view.is_live(b1, 2_200),
        "its requests may still run at engines"
    );
    assert_eq!(view.expire(4_900, 5_200), vec![b1]);
    assert!(!view.is_live(b1, 5_200));
}

#[test]
fn state_is_requested_from_a_box_with_newer_state() {
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
fn domains_are_silent_when_all_their_boxes_are() {
    let mut view = view();
    view.receive_heartbeat(heartbeat("b2", "b"), Incarnation(1), 1_500);
    assert!(view.silent_domains(1_800).is_empty(), "one of two is live");
    assert_eq!(
        view.silent_domains(2_300).len(),
        1,
        "the own domain is not listed"
    );
    view.receive_heartbeat(heartbeat("b1", "b").sequence(2), Incarnation(1), 2_300);
    assert!(view.silent_domains(2_300).is_empty());
}

#[test]
fn two_boxes_of_a_domain_follow_the_store() {
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
        // Boxes of other domains are not counted.
        view.receive_heartbeat(heartbeat("b1", "b"), Incarnation(1), 1_000);
        let own = StoreAccess::default();
        StoreFollower::default().must_follow(view.store_peers(1_000), own, 1_000)
    };
    assert_eq!(names.into_iter().filter(|name| follows(name)).count(), 2);
}

#[test]
fn boxes_of_a_domain_spread_their_state_requests() {
    let queried = |name: &str| {
        let mut view = FleetView::new(heartbeat(name, "a"));
        for (index, other) in ["a7", "a8", "b7", "b8"].into_iter().enumerate() {
            let state_address = SocketAddr::from(([10, 0, 0, index as u8], 7_500));
            let newer = heartbeat(other, &other[..1]).revisions(5, StoreRevision::NONE);
            let newer = newer.state_address(state_address);
            view.receive_heartbeat(newer, Incarnation(1), 1_000);
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

#[test]
fn removals_are_asked_of_a_box_that_the_store_answered_lately() {
    let address = |host: u8| SocketAddr::from(([10, 0, 0, host], 7_500));
    let mut view = FleetView::new(heartbeat("a1", "a"));
    let witness = |view: &FleetView, avoid| view.find_removal_witness(avoid, 1_000);
    assert_eq!(witness(&view, None), None);
    let newest = heartbeat("a2", "a")
        .revisions(5, StoreRevision::new(1, 9))
        .state_address(address(2));
    let answered = heartbeat("b1", "b")
        .revisions(5, StoreRevision::new(1, 8))
        .status(BoxStatus::new(1_000).reaches_store(true))
        .state_address(address(3));
    view.receive_heartbeat(newest, Incarnation(1), 1_000);
    assert_eq!(witness(&view, None), Some(address(2)));
    view.receive_heartbeat(answered, Incarnation(1), 1_000);
    assert_eq!(witness(&view, None), Some(address(3)));
    assert_eq!(witness(&view, Some(address(3))), Some(address(2)));
}

/// Guards against requests for each change going to whichever domain saw it first.
#[test]
fn state_sources_of_the_own_domain_are_preferred() {
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
    let avoided = Some(address(2));
    assert_eq!(
        newest(&view, avoided),
        Some(address(3)),
        "an unresponsive source is chosen last"
    );
    view.set_revisions(5, StoreRevision::NONE);
    assert_eq!(newest(&view, None), Some(address(3)));
}

/// Guards against counting boxes as followers that the store no longer answers.
#[test]
fn boxes_with_an_old_store_proof_are_not_counted_as_reaching() {
    let mut view = FleetView::new(heartbeat("a1", "a"));
    let reaching = |name: &str, sequence: u32, age_ms: u32| {
        let status = BoxStatus::new(2_000).reaches_store(true);
        let status = status.store_proof_age_ms(age_ms);
        heartbeat(name, "a").sequence(sequence).status(status)
    };
    view.receive_heartbeat(reaching("a2", 1, 400), Incarnation(1), 11_000);
    view.receive_heartbeat(reaching("a3", 1, 2_400), Incarnation(1), 11_000);
    let peers = view.store_peers(11_000);
    assert_eq!((peers.reaching, peers.before), (1, 2));
    assert_eq!(view.store_proof_age_ms(11_000), Some(400));
    assert_eq!(view.store_peers(12_050).reaching, 1, "not yet gone");
    // The store stops answering the box, which still reports that it reaches the store.
    view.receive_heartbeat(reaching("a2", 2, 1_900), Incarnation(1), 11_400);
    assert_eq!(view.store_peers(11_500).reaching, 1);
    assert_eq!(view.store_peers(11_501).reaching, 0);
}

/// Guards against reports of streams that are lost with one box or one domain.
#[test]
fn streams_are_reported_to_a_box_of_the_own_domain_and_one_of_another() {
    let key = |number: u64| StreamKey::new("captions", "model", &number.to_string());
    let [a2, b1, c1] = ["a2", "b1", "c1"].map(BoxKey::from_name);
    let mut view = view();
    assert!((0..50).all(|number| view.stream_keepers(key(number), 1_000) == [a2, b1]));
    view.receive_heartbeat(heartbeat("c1", "c"), Incarnation(1), 1_000);
    let remote = (0..50).map(|number| view.stream_keepers(key(number), 1_000)[1]);
    let remote: BTreeSet<BoxKey> = remote.collect();
    assert_eq!(remote, BTreeSet::from([b1, c1]), "they are spread");
    assert_eq!(view.stream_witnesses().len(), 3);
    let mut alone = FleetView::new(heartbeat("a1", "a"));
    alone.receive_heartbeat(heartbeat("b1", "b"), Incarnation(1), 1_000);
    alone.receive_heartbeat(heartbeat("c1", "c"), Incarnation(1), 1_000);
    let mut keepers = alone.stream_keepers(key(1), 1_000);
    keepers.sort_unstable();
    let mut remote = vec![b1, c1];
    remote.sort_unstable();
    assert_eq!(keepers, remote, "without another box of the own domain");
}

/// Guards against a box that is cut off and takes what it knows for current.
#[test]
fn box_is_in_contact_through_the_store_or_through_all_domains() {
    let mut view = view();
    assert!(view.is_in_contact(1_000), "all domains are heard");
    assert!(!view.is_in_contact(3_500));
    view.set_store_proof(Some(3_000));
    assert!(view.is_in_contact(3_500), "the store answered");
    assert!(!view.is_in_contact(5_100));
    view.receive_heartbeat(heartbeat("a2", "a").sequence(2), Incarnation(1), 5_000);
    assert!(!view.is_in_contact(5_100), "domain b is silent");
    assert!(!FleetView::new(heartbeat("a1", "a")).is_in_contact(1_000));
}

/// Receives a heartbeat of a box with this processor whose last answer of the store is `age_ms` old;
/// `None` if the store does not answer it.
fn receive_store_status(
    view: &mut FleetView,
    (name, domain): (&str, &str),
    processor: u32,
    age_ms: Option<u32>,
    now_ms: u64,
) {
    let mut status = BoxStatus::new(processor);
    status.reaches_store = age_ms.is_some();
    status.store_proof_age_ms = age_ms.unwrap_or_default();
    let heartbeat = heartbeat(name, domain)
        .sequence(now_ms as u32)
        .status(status);
    view.receive_heartbeat(heartbeat, Incarnation(1), now_ms);
}

/// Guards against streams that are given to a box which cannot write them while another one can.
#[test]
fn streams_are_written_by_the_first_box_that_reaches_the_store() {
    let status = BoxStatus::new(200);
    let mut view = FleetView::new(heartbeat("a1", "a").status(status));
    let key = BoxKey::from_name;
    assert_eq!(
        view.stream_writer(11_000),
        key("a1"),
        "it knows no other box"
    );
    receive_store_status(&mut view, ("a2", "a"), 400, None, 11_000);
    receive_store_status(&mut view, ("b1", "b"), 900, None, 11_000);
    assert_eq!(
        view.stream_writer(11_000),
        key("a2"),
        "none reaches the store"
    );
    receive_store_status(&mut view, ("b1", "b"), 900, Some(100), 11_100);
    assert_eq!(
        view.stream_writer(11_100),
        key("b1"),
        "only another domain does"
    );
    view.set_store_proof(Some(11_150));
    assert_eq!(view.stream_writer(11_200), key("a1"), "this box does");
    receive_store_status(&mut view, ("a2", "a"), 400, Some(100), 11_300);
    assert_eq!(view.stream_writer(11_300), key("a2"), "it takes precedence");
    receive_store_status(&mut view, ("a3", "a"), 500, Some(2_100), 11_300);
    assert_eq!(
        view.stream_writer(11_300),
        key("a2"),
        "the proof of a3 is too old"
    );
    assert_eq!(view.stream_writer(12_500), key("a1"), "a2 is silent");
    assert_eq!(view.stream_writer(13_200), key("a1"), "no proof is recent");
}

/// Guards against a box that is about to stop and loses what it has not written.
#[test]
fn leaving_boxes_write_no_streams() {
    let mut view = view();
    view.set_store_proof(Some(1_000));
    let writer = view.stream_writer(1_000);
    assert_eq!(writer, view.own_key());
    view.set_leaving();
    assert_eq!(view.stream_writer(1_000), BoxKey::from_name("a2"));
}

/// Guards against several writers in one domain, each with calls of its own.
#[test]
fn boxes_with_the_same_view_choose_the_same_writer() {
    let names = ["a1", "a2", "a3", "a4"];
    let writers = names.map(|own| {
        let mut view = FleetView::new(heartbeat(own, "a").status(BoxStatus::new(300)));
        view.set_store_proof(Some(1_000));
        for other in names.into_iter().filter(|other| *other != own) {
            receive_store_status(&mut view, (other, "a"), 300, Some(0), 1_000);
        }
        view.stream_writer(1_000)
    });
    assert!(
        writers.iter().all(|writer| *writer == writers[0]),
        "{writers:?}"
    );
}
