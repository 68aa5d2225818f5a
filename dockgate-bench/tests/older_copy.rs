//! The store comes back from an older copy.
//!
//! **What is to be expected.** After a drill of the platform the store may lack its last seconds. Revisions go back and
//! are given out again; a number in each answer, its era, rises. The operator and the endpoints write again what they
//! wrote. Callers notice nothing.
//!
//! **What was seen.** An endpoint that left afterwards got up to 265 requests more than 2 s later. All callers were
//! answered, until it ended.
//!
//! **Why.** What is known was ordered by the store's revision alone, so that whatever the store said of a known endpoint
//! was older than what was known, until it had made as many changes again.

use dockgate_bench::gateway_fleet::{GatewayFleet, KEYS, route_config, start_fleet, wait_until};
use dockgate_bench::standin::caller::{call, request};
use http::StatusCode;
use std::time::Duration;
use yare::parameterized;

/// How long endpoints take to write their records again.
const REWRITE: Duration = Duration::from_millis(1_000);
/// Within which time what is new after the return of the store counts.
const SETTLED: Duration = Duration::from_millis(2_000);

/// Makes so many changes of records, of each endpoint in turn.
fn change(fleet: &GatewayFleet, changes: usize) {
    for number in 0..changes {
        let (key, value) = fleet.endpoints[number % 3].record("a", "ready");
        let slots = format!("\"capacity\":{}", 8 + number % 2);
        fleet
            .store
            .set(&key, value.replace("\"capacity\":8", &slots));
    }
}

fn write(fleet: &GatewayFleet, at: usize, state: &str) {
    let (key, value) = fleet.endpoints[at].record("a", state);
    fleet.store.set(&key, value);
}

/// Sends requests to all boxes until each endpoint could have got some; returns how many endpoint `at` got.
async fn reached(fleet: &GatewayFleet, at: usize, round: &str) -> usize {
    let before = fleet.endpoints[at].ran().len();
    for number in 0..6 {
        let asked = fleet
            .gateways
            .iter()
            .enumerate()
            .flat_map(|(box_at, gateway)| {
                (0..4).map(move |same| {
                    let id = format!("{round}-{box_at}-{number}-{same}");
                    call(gateway, request("/again/x", &id, None))
                })
            });
        for response in futures::future::join_all(asked).await {
            assert_eq!(response.status(), StatusCode::OK, "callers notice nothing");
        }
    }
    fleet.endpoints[at].ran().len() - before
}

async fn start(gateways: usize) -> GatewayFleet {
    let fleet = start_fleet(gateways, &["plain"; 3]).await;
    let takes = Duration::from_millis(10);
    fleet
        .endpoints
        .iter()
        .for_each(|each| each.set_processing_time(takes));
    fleet
}

/// Waits until all boxes have heard of the store since it is back.
async fn all_know(fleet: &GatewayFleet) {
    for gateway in &fleet.gateways {
        wait_until("a box knows that the store is another one", async || {
            gateway.logged().contains("\"store_era\"")
        })
        .await;
    }
}

#[parameterized(
    nothing_is_lost = { 1, 0, 0 },
    one_box = { 1, 40, 0 },
    three_boxes = { 3, 40, 0 },
    much_is_lost = { 3, 400, 0 },
    the_new_history_is_longer = { 3, 10, 50 },
    the_new_history_is_as_long = { 3, 40, 40 },
)]
#[test_macro(tokio::test)]
async fn who_leaves_after_it_gets_nothing_more(gateways: usize, lost: usize, made: usize) {
    let fleet = start(gateways).await;
    let copy = fleet.store.snapshot();
    change(&fleet, lost);
    tokio::time::sleep(REWRITE).await;
    fleet.store.restore(copy);
    change(&fleet, made);
    (0..3).for_each(|at| write(&fleet, at, "ready"));
    tokio::time::sleep(REWRITE).await;
    write(&fleet, 0, "draining");
    tokio::time::sleep(SETTLED).await;
    assert_eq!(reached(&fleet, 0, "after").await, 0);
}

/// What an endpoint said before stands, though the store has lost it: it says so again a moment later.
#[tokio::test]
async fn who_said_just_before_that_it_leaves_gets_nothing_in_between() {
    let fleet = start(3).await;
    let copy = fleet.store.snapshot();
    write(&fleet, 0, "draining");
    tokio::time::sleep(REWRITE).await;
    assert_eq!(reached(&fleet, 0, "before").await, 0);
    fleet.store.restore(copy);
    all_know(&fleet).await;
    assert_eq!(reached(&fleet, 0, "between").await, 0);
    (0..3).for_each(|at| write(&fleet, at, ["draining", "ready", "ready"][at]));
    tokio::time::sleep(SETTLED).await;
    assert_eq!(reached(&fleet, 0, "after").await, 0);
}

/// An endpoint that had left is in the copy still: its record lapses there, and nobody writes it again.
#[tokio::test]
async fn who_had_left_just_before_gets_nothing_in_between() {
    let fleet = start(3).await;
    let copy = fleet.store.snapshot();
    let (key, _) = fleet.endpoints[0].record("a", "ready");
    fleet.store.remove(&key);
    tokio::time::sleep(SETTLED).await;
    assert_eq!(reached(&fleet, 0, "before").await, 0);
    fleet.store.restore(copy);
    all_know(&fleet).await;
    (1..3).for_each(|at| write(&fleet, at, "ready"));
    assert_eq!(reached(&fleet, 0, "between").await, 0);
    fleet.store.remove(&key);
    tokio::time::sleep(SETTLED).await;
    assert_eq!(reached(&fleet, 0, "after").await, 0);
}

/// An endpoint that had just begun is missing in the copy, until it writes its record again.
#[tokio::test]
async fn who_had_begun_just_before_serves_on() {
    let mut fleet = start(3).await;
    let copy = fleet.store.snapshot();
    fleet.add_endpoint("young", "plain").await.unwrap();
    tokio::time::sleep(REWRITE).await;
    assert!(reached(&fleet, 3, "before").await > 0);
    fleet.store.restore(copy);
    all_know(&fleet).await;
    assert!(reached(&fleet, 3, "between").await > 0);
    (0..4).for_each(|at| write(&fleet, at, "ready"));
    tokio::time::sleep(SETTLED).await;
    assert!(reached(&fleet, 3, "after").await > 0);
}

/// A configuration does not go back with the store, and the next one counts.
#[tokio::test]
async fn a_configuration_that_the_store_has_lost_stays_in_force() {
    let fleet = start(3).await;
    let copy = fleet.store.snapshot();
    fleet
        .store
        .set(dockgate_platform::ROUTES_KEY, route_config(5, KEYS));
    let in_force = async |version: u64| {
        for gateway in &fleet.gateways {
            let line = format!("dockgate_config_version {version}\n");
            wait_until("the configuration is in force", async || {
                gateway.metrics().await.contains(&line)
            })
            .await;
        }
    };
    in_force(5).await;
    fleet.store.restore(copy);
    all_know(&fleet).await;
    tokio::time::sleep(REWRITE).await;
    in_force(5).await;
    fleet
        .store
        .set(dockgate_platform::ROUTES_KEY, route_config(5, KEYS));
    fleet
        .store
        .set(dockgate_platform::ROUTES_KEY, route_config(7, KEYS));
    in_force(7).await;
}
