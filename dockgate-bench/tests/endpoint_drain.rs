//! Time within which boxes learn that an endpoint is draining.
//!
//! Guards against drain notices that wait behind a large configuration, or that are missed because
//! a store connection no longer delivers changes.

use dockgate_bench::gateway_fleet::{GatewayFleet, route_config, wait_until};
use dockgate_bench::standin::caller::{call, request};
use dockgate_bench::standin::{RoutedStandIn, StoreListener};
use dockgate_core::gateway::{EndpointUpdate, RemovedEndpoint, ReportedEndpoint, StoreRevision};
use dockgate_platform::{ENDPOINT_KEY_PREFIX, StoredValue, decode_endpoint, decode_routes};
use dockgate_proto::StateAnswer;
use http::StatusCode;
use std::time::{Duration, Instant};

const KEYS: &str = r#""k1""#;
/// The era of a new store.
const INITIAL_ERA: u64 = 1;
/// An outage of the store in which records can lapse.
const LAPSE_OUTAGE: Duration = Duration::from_millis(2_300);

async fn start(gateways: usize) -> GatewayFleet {
    let services = ["plain", "plain"];
    GatewayFleet::start(gateways, &services, &route_config(3, KEYS))
        .await
        .unwrap()
}

fn reported_endpoint(endpoint: &RoutedStandIn, state: &str, revision: u64) -> ReportedEndpoint {
    let (key, value) = endpoint.record("a", state);
    let stored = StoredValue {
        key,
        revision,
        bytes: value.into(),
    };
    ReportedEndpoint {
        record: decode_endpoint(&stored).unwrap(),
        revision: StoreRevision::new(INITIAL_ERA, revision),
        unconfirmed: None,
        delay_ms: None,
    }
}

/// Sends requests to a gateway and checks that none reaches the endpoint.
async fn assert_nothing_sent_to(fleet: &GatewayFleet, gateway: usize, endpoint: usize) {
    for number in 0..6 {
        let id = format!("r{number}");
        let response = call(&fleet.gateways[gateway], request("/again/x", &id, None)).await;
        assert_eq!(response.status(), StatusCode::OK);
    }
    assert!(fleet.endpoints[endpoint].ran().is_empty());
}

#[tokio::test]
async fn drain_notice_does_not_wait_for_a_large_configuration() {
    let fleet = start(1).await;
    let [leaving, staying] = &fleet.endpoints[..] else {
        panic!("the fleet has two endpoints")
    };
    let config = decode_routes(route_config(9, KEYS).as_bytes()).unwrap();
    let newer_revision = 1_000;
    let answer = StateAnswer {
        config: Some(config),
        endpoints: Some(EndpointUpdate {
            revision: StoreRevision::new(INITIAL_ERA, newer_revision),
            endpoints: vec![
                reported_endpoint(leaving, "draining", newer_revision),
                reported_endpoint(staying, "ready", 1),
            ],
            ..EndpointUpdate::default()
        }),
    };
    let peer = fleet.start_peer(answer).await.unwrap();
    let gateway = &fleet.gateways[0];
    wait_until("the drain notice is applied", async || {
        gateway.logged().contains("\"revision\":1000")
    })
    .await;
    assert_nothing_sent_to(&fleet, 0, 0).await;
    assert!(!gateway.logged().contains("\"version\":9"));
    peer.release_config();
    wait_until("the configuration is in force", async || {
        gateway.logged().contains("\"version\":9")
    })
    .await;
}

/// Guards against requests to a removed endpoint by a box that takes its missing record for one
/// that lapsed in an outage.
#[tokio::test]
async fn endpoint_removed_before_a_box_follows_the_store_is_dropped_with_the_other_boxes() {
    let mut fleet = GatewayFleet::start_in(&["b"], &["plain", "plain"], &route_config(3, KEYS))
        .await
        .unwrap();
    let [removed, staying] = [0, 1].map(|index| {
        let revision = index as u64 + 2;
        reported_endpoint(&fleet.endpoints[index], "ready", revision)
    });
    let name = removed.record.name();
    let listed_at = StoreRevision::new(INITIAL_ERA, 3);
    let list = EndpointUpdate {
        revision: listed_at,
        endpoints: vec![removed, staying],
        ..EndpointUpdate::default()
    };
    fleet.store_listeners[0].set_silent(true);
    fleet.gateways[0].kill();
    let answer = StateAnswer {
        config: None,
        endpoints: Some(list),
    };
    let peer = fleet.start_peer(answer).await.unwrap();
    let logged_before = fleet.gateways[0].logged().len();
    fleet.gateways[0].restart().unwrap();
    let gateway = &fleet.gateways[0];
    let source = format!("\"source\":\"{}\"", peer.state_address());
    let find_event = |event: &str| {
        let logged = gateway.logged();
        let mut lines = logged[logged_before..].lines();
        lines.find(|line| line.contains(event)).map(str::to_owned)
    };
    wait_until("the box has the endpoints of the other one", async || {
        find_event("\"endpoints_listed\"").is_some_and(|line| line.contains(&source))
    })
    .await;

    let outage = format!("\"store_lost\",\"step\":\"{ENDPOINT_KEY_PREFIX}\"");
    wait_until("the box is in an outage", async || {
        find_event(&outage).is_some()
    })
    .await;
    tokio::time::sleep(LAPSE_OUTAGE).await;

    let (key, _) = fleet.endpoints[0].record("a", "ready");
    fleet.store.remove(&key);
    let removed_at = StoreRevision::new(INITIAL_ERA, 1_000);
    peer.set_endpoints(EndpointUpdate {
        since: Some(listed_at),
        revision: removed_at,
        removed: vec![RemovedEndpoint {
            name,
            revision: removed_at,
            started_ms: None,
        }],
        ..EndpointUpdate::default()
    });
    fleet.store_listeners[0].set_silent(false);
    wait_until("the endpoint is dropped", async || {
        find_event("\"endpoint_gone\"").is_some()
    })
    .await;
    let dropped = find_event("\"endpoint_gone\"").unwrap();
    assert!(dropped.contains(&source), "{dropped}");
}

/// Returns the indices of the boxes that have started a store watch after `since`.
fn boxes_watching(listeners: &[StoreListener], since: Instant) -> Vec<usize> {
    let watches = listeners.iter().enumerate();
    let watches = watches.filter(|(_, listener)| {
        listener
            .watch(ENDPOINT_KEY_PREFIX)
            .is_some_and(|(started, _)| started > since)
    });
    watches.map(|(index, _)| index).collect()
}

/// Guards against a box relying on followers of the store that no longer receive its changes.
#[tokio::test]
async fn box_reads_the_store_once_its_followers_are_cut_off() {
    let fleet = start(3).await;
    let mut changes = 0;
    wait_until("two boxes follow the store for all boxes", async || {
        // A watch ends with each change, and boxes that are not followers start no new one.
        let changed = Instant::now();
        changes += 1;
        let (key, value) = fleet.endpoints[1].record("a", "ready");
        let value = value.replace("\"v1\"", &format!("\"v{changes}\""));
        fleet.store.set(&key, value);
        tokio::time::sleep(Duration::from_millis(600)).await;
        boxes_watching(&fleet.store_listeners, changed).len() == 2
    })
    .await;
    let followers = boxes_watching(
        &fleet.store_listeners,
        Instant::now() - Duration::from_millis(600),
    );
    let [first, second] = followers[..] else {
        panic!("two boxes follow the store")
    };
    let other = (0..3).find(|index| !followers.contains(index)).unwrap();
    let ends = [first, second].map(|index| {
        fleet.store_listeners[index]
            .watch(ENDPOINT_KEY_PREFIX)
            .unwrap()
            .1
    });
    let end = ends.into_iter().min().unwrap();

    for index in followers {
        fleet.store_listeners[index].set_silent(true);
    }
    let (key, value) = fleet.endpoints[0].record("a", "draining");
    fleet.store.set(&key, value);
    let gateway = &fleet.gateways[other];
    wait_until(
        "the box that reaches the store sees the change",
        async || {
            gateway.logged().contains("\"endpoint_draining\"")
                || gateway.logged().matches("endpoints_listed").count() > 1
        },
    )
    .await;
    assert!(
        Instant::now() < end,
        "the change was seen only after the other watches ended"
    );
    assert_nothing_sent_to(&fleet, other, 0).await;
}

/// Guards against waiting for the end of a watch whose connection is broken while the store
/// answers other calls.
#[tokio::test]
async fn silent_watch_is_restarted_before_it_times_out() {
    let fleet = start(1).await;
    let listener = &fleet.store_listeners[0];
    wait_until("the box watches", async || {
        listener.watch(ENDPOINT_KEY_PREFIX).is_some()
    })
    .await;
    let (_, end) = listener.watch(ENDPOINT_KEY_PREFIX).unwrap();
    listener.stall_watches();
    let (key, value) = fleet.endpoints[0].record("a", "draining");
    fleet.store.set(&key, value);
    let gateway = &fleet.gateways[0];
    wait_until("the box sees the change", async || {
        gateway.logged().contains("\"endpoint_draining\"")
    })
    .await;
    assert!(
        Instant::now() < end,
        "the change was seen only after the watch ended"
    );
    assert_nothing_sent_to(&fleet, 0, 0).await;
}
