//! What a box knows of endpoints that leave: a notice must not wait for other news, nor for a store that
//! has fallen silent.
//!
//! **What users saw.** On 85 boxes, two prompts reached engines 3.5 s after these had said that they
//! leave; the bound is 3 s. Nothing else failed: the store had taken the notices, and answered in 5 ms.
//!
//! **In which order.** Engines were replaced one by one. A configuration with 1,400 routes more was
//! written, 1.2 MB by then. The two boxes of each domain that follow the store had it after 0.2 s; the
//! 26 others asked them for what they lacked, each for all of it, configuration and endpoints in one
//! answer within 0.8 s. Answers of that size took longer, so they were given up, and asked for again. An
//! engine said that it leaves; the boxes whose questions went on failing heard of it seconds later.
//!
//! **What proved it.** The same plan played again on that code: 832 questions without an answer, 186
//! prompts at engines that had left. The first box to break the bound listed endpoints each 0.36 s until
//! the configuration came, then logged six `Request timeout` in 7 s and took nothing in meanwhile.
//!
//! **Why.** News that is small and urgent shared one answer, and one limit, with news that is large. It is
//! one of a class: a box acts on what it knows without knowing how old that is. The second test is of the
//! same class: a store that says nothing any more was taken for one in which nothing changes.

use dockgate_bench::gateway_fleet::{GatewayFleet, route_config, wait_until};
use dockgate_bench::standin::caller::{call, request};
use dockgate_bench::standin::{RoutedStandIn, StoreListener};
use dockgate_core::gateway::{EndpointUpdate, ReportedEndpoint, StoreRevision};
use dockgate_platform::{StoredValue, decode_endpoint, decode_routes};
use dockgate_proto::StateAnswer;
use http::StatusCode;
use std::time::{Duration, Instant};

const KEYS: &str = r#""k1""#;
/// The era in which the store begins.
const FIRST_ERA: u64 = 1;

async fn start(gateways: usize) -> GatewayFleet {
    let services = ["plain", "plain"];
    GatewayFleet::start(gateways, &services, &route_config(3, KEYS))
        .await
        .unwrap()
}

fn told(endpoint: &RoutedStandIn, state: &str, revision: u64) -> ReportedEndpoint {
    let (key, value) = endpoint.record("a", state);
    let stored = StoredValue {
        key,
        revision,
        bytes: value.into(),
    };
    ReportedEndpoint {
        record: decode_endpoint(&stored).unwrap(),
        revision: StoreRevision::new(FIRST_ERA, revision),
        unconfirmed: None,
        delay_ms: None,
    }
}

async fn sends_nothing_to(fleet: &GatewayFleet, gateway: usize, endpoint: usize) {
    for number in 0..6 {
        let id = format!("r{number}");
        let response = call(&fleet.gateways[gateway], request("/again/x", &id, None)).await;
        assert_eq!(response.status(), StatusCode::OK);
    }
    assert!(fleet.endpoints[endpoint].ran().is_empty());
}

#[tokio::test]
async fn the_notice_of_an_endpoint_that_leaves_does_not_wait_for_a_large_configuration() {
    let fleet = start(1).await;
    let [leaving, staying] = &fleet.endpoints[..] else {
        panic!("there are two")
    };
    let config = decode_routes(route_config(9, KEYS).as_bytes()).unwrap();
    let newer = 1_000;
    let knows = StateAnswer {
        config: Some(config),
        endpoints: Some(EndpointUpdate {
            revision: StoreRevision::new(FIRST_ERA, newer),
            endpoints: vec![told(leaving, "draining", newer), told(staying, "ready", 1)],
            ..EndpointUpdate::default()
        }),
    };
    let peer = fleet.start_peer(knows).await.unwrap();
    let gateway = &fleet.gateways[0];
    wait_until("the notice is taken in", async || {
        gateway.logged().contains("\"revision\":1000")
    })
    .await;
    sends_nothing_to(&fleet, 0, 0).await;
    assert!(!gateway.logged().contains("\"version\":9"));
    peer.release_config();
    wait_until("the configuration is in force", async || {
        gateway.logged().contains("\"version\":9")
    })
    .await;
}

/// Returns the boxes that have begun a watch since then.
fn watching(doors: &[StoreListener], since: Instant) -> Vec<usize> {
    let watches = doors.iter().enumerate();
    let watches = watches.filter(|(_, door)| door.watch().is_some_and(|(begun, _)| begun > since));
    watches.map(|(index, _)| index).collect()
}

/// Nine seconds passed until the boxes that follow the store took its silence for one, and said until
/// then that they reach it; the box beside them, which did, asked it for nothing.
#[tokio::test]
async fn a_store_that_says_nothing_to_those_who_follow_it_is_asked_by_another_box() {
    let fleet = start(3).await;
    let mut changes = 0;
    wait_until("two boxes follow the store for all", async || {
        // A watch ends with a change, and a box that need not go on follows no more.
        let changed = Instant::now();
        changes += 1;
        let (key, value) = fleet.endpoints[1].record("a", "ready");
        let value = value.replace("\"v1\"", &format!("\"v{changes}\""));
        fleet.store.set(&key, value);
        tokio::time::sleep(Duration::from_millis(600)).await;
        watching(&fleet.store_listeners, changed).len() == 2
    })
    .await;
    let followers = watching(
        &fleet.store_listeners,
        Instant::now() - Duration::from_millis(600),
    );
    let [first, second] = followers[..] else {
        panic!("two follow it")
    };
    let other = (0..3).find(|index| !followers.contains(index)).unwrap();
    let ends = [first, second].map(|index| fleet.store_listeners[index].watch().unwrap().1);
    let end = ends.into_iter().min().unwrap();

    for index in followers {
        fleet.store_listeners[index].set_silent(true);
    }
    let (key, value) = fleet.endpoints[0].record("a", "draining");
    fleet.store.set(&key, value);
    let gateway = &fleet.gateways[other];
    wait_until("the box that reaches the store knows it", async || {
        gateway.logged().contains("\"endpoint_draining\"")
            || gateway.logged().matches("endpoints_listed").count() > 1
    })
    .await;
    assert!(
        Instant::now() < end,
        "not before the others' watches were over"
    );
    sends_nothing_to(&fleet, other, 0).await;
}

/// A connection that falls silent for good while others work: calls are answered, so the store is there,
/// and the watch that waits hears nothing more until it is over.
#[tokio::test]
async fn a_watch_that_hears_nothing_more_is_made_anew_before_it_is_over() {
    let fleet = start(1).await;
    let door = &fleet.store_listeners[0];
    wait_until("the box watches", async || door.watch().is_some()).await;
    let (_, end) = door.watch().unwrap();
    door.stall_watches();
    let (key, value) = fleet.endpoints[0].record("a", "draining");
    fleet.store.set(&key, value);
    let gateway = &fleet.gateways[0];
    wait_until("the box knows it", async || {
        gateway.logged().contains("\"endpoint_draining\"")
    })
    .await;
    assert!(Instant::now() < end, "not before the watch was over");
    sends_nothing_to(&fleet, 0, 0).await;
}
