use super::*;
use crate::gateway::StoreDuty;

fn beat(name: &str, domain: &str) -> BoxBeat {
    BoxBeat {
        name: name.to_owned(),
        domain: domain.to_owned(),
        address: "10.0.0.1:7400".parse().unwrap(),
        state_address: "10.0.0.1:7500".parse().unwrap(),
        leaving: false,
        config_version: 0,
        endpoint_revision: 0,
        reaches_store: false,
    }
}

fn view() -> FleetView {
    let mut view = FleetView::new(beat("a1", "a"));
    view.hear(beat("a2", "a"), Incarnation(1), 1_000);
    view.hear(beat("b1", "b"), Incarnation(1), 1_000);
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
    view.hear(
        BoxBeat {
            leaving: true,
            ..beat("b1", "b")
        },
        Incarnation(1),
        1_100,
    );
    let b1 = BoxKey::from_name("b1");
    assert!((0..50).all(|id| view.owner(EndpointId(id), "b", 1_100) != b1));
}

#[test]
fn a_box_that_falls_silent_is_gone_once_and_new_when_it_is_heard_again() {
    let mut view = view();
    assert_eq!(
        view.hear(beat("a2", "a"), Incarnation(1), 1_500),
        BoxNews::None
    );
    assert_eq!(view.expire(2_000, 2_200), vec![BoxKey::from_name("b1")]);
    assert_eq!(view.expire(2_200, 2_400), Vec::new());
    assert_eq!(view.live_count(2_400), 2);
    assert_eq!(
        view.hear(beat("b1", "b"), Incarnation(1), 2_500),
        BoxNews::Back
    );
    assert_eq!(
        view.hear(beat("a2", "a"), Incarnation(2), 2_500),
        BoxNews::NewLife
    );
}

#[test]
fn the_box_that_knows_most_is_asked() {
    let mut view = view();
    assert_eq!(view.better_informed(1_000), None);
    let newer = BoxBeat {
        config_version: 4,
        ..beat("b1", "b")
    };
    view.hear(newer.clone(), Incarnation(1), 1_100);
    assert_eq!(view.better_informed(1_100), Some(newer.state_address));
    view.set_known(4, 0);
    assert_eq!(view.better_informed(1_100), None);
}

#[test]
fn a_domain_is_silent_when_none_of_its_boxes_is_heard() {
    let mut view = view();
    view.hear(beat("b2", "b"), Incarnation(1), 1_500);
    assert!(view.silent_domains(1_800).is_empty(), "one of two is heard");
    assert_eq!(
        view.silent_domains(2_300).len(),
        1,
        "the own domain is none"
    );
    view.hear(beat("b1", "b"), Incarnation(1), 2_300);
    assert!(view.silent_domains(2_300).is_empty());
}

#[test]
fn two_boxes_of_a_domain_follow_the_store_for_all() {
    let names = ["a1", "a2", "a3", "a4", "a5"];
    let due = |name: &str| {
        let mut view = FleetView::new(beat(name, "a"));
        for other in names.into_iter().filter(|other| *other != name) {
            let reaching = BoxBeat {
                reaches_store: true,
                ..beat(other, "a")
            };
            view.hear(reaching, Incarnation(1), 1_000);
        }
        // Boxes of other domains follow it for their own.
        view.hear(beat("b1", "b"), Incarnation(1), 1_000);
        StoreDuty::default().is_due(view.store_watchers(1_000), 1_000)
    };
    assert_eq!(names.into_iter().filter(|name| due(name)).count(), 2);
}

#[test]
fn boxes_that_lack_a_change_ask_different_ones_of_their_domain() {
    let asked = |name: &str| {
        let mut view = FleetView::new(beat(name, "a"));
        for (index, other) in ["a7", "a8", "b7", "b8"].into_iter().enumerate() {
            let informed = BoxBeat {
                config_version: 5,
                state_address: SocketAddr::from(([10, 0, 0, index as u8], 7_500)),
                ..beat(other, &other[..1])
            };
            view.hear(informed, Incarnation(1), 1_000);
        }
        view.better_informed(1_000).unwrap()
    };
    let asked: BTreeSet<SocketAddr> = (0..20)
        .map(|number| asked(&format!("a-{number}")))
        .collect();
    let near = [0, 1].map(|index| SocketAddr::from(([10, 0, 0, index], 7_500)));
    assert_eq!(asked, BTreeSet::from(near));
}
