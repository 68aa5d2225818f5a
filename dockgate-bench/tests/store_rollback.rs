//! Restores of the store from an older snapshot, which lose its last changes and increment its era.
//!
//! Guards against boxes that ignore later changes as outdated because the store reuses revisions.

use dockgate_bench::gateway_fleet::{GatewayFleet, KEYS, route_config, start_fleet, wait_until};
use dockgate_bench::standin::caller::{call, request};
use http::StatusCode;
use std::time::Duration;
use yare::parameterized;

/// Time that endpoints take to rewrite their records.
const REWRITE_TIME: Duration = Duration::from_millis(1_000);
/// Time within which changes made after the return of the store take effect.
const SETTLE_TIME: Duration = Duration::from_millis(2_000);

/// Writes changed records, for each endpoint in turn.
fn write_changes(fleet: &GatewayFleet, changes: usize) {
    for number in 0..changes {
        let (key, value) = fleet.endpoints[number % 3].record("a", "ready");
        let slots = format!("\"capacity\":{}", 8 + number % 2);
        fleet
            .store
            .set(&key, value.replace("\"capacity\":8", &slots));
    }
}

fn write_state(fleet: &GatewayFleet, at: usize, state: &str) {
    let (key, value) = fleet.endpoints[at].record("a", state);
    fleet.store.set(&key, value);
}

/// Sends enough requests to all boxes to reach each endpoint; returns how many endpoint `at` got.
async fn requests_reaching(fleet: &GatewayFleet, at: usize, round: &str) -> usize {
    let before = fleet.endpoints[at].ran().len();
    for number in 0..6 {
        let responses = fleet
            .gateways
            .iter()
            .enumerate()
            .flat_map(|(box_index, gateway)| {
                (0..4).map(move |attempt| {
                    let id = format!("{round}-{box_index}-{number}-{attempt}");
                    call(gateway, request("/again/x", &id, None))
                })
            });
        for response in futures::future::join_all(responses).await {
            assert_eq!(
                response.status(),
                StatusCode::OK,
                "callers are not affected"
            );
        }
    }
    fleet.endpoints[at].ran().len() - before
}

async fn start(gateways: usize) -> GatewayFleet {
    let fleet = start_fleet(gateways, &["plain"; 3]).await;
    let response_time = Duration::from_millis(10);
    fleet
        .endpoints
        .iter()
        .for_each(|each| each.set_processing_time(response_time));
    fleet
}

/// Waits until all boxes have seen the new era of the store.
async fn wait_for_new_era(fleet: &GatewayFleet) {
    for gateway in &fleet.gateways {
        wait_until("a box has seen the new era", async || {
            gateway.logged().contains("\"store_era\"")
        })
        .await;
    }
}

#[parameterized(
    no_lost_changes = { 1, 0, 0 },
    one_box = { 1, 40, 0 },
    three_boxes = { 3, 40, 0 },
    many_lost_changes = { 3, 400, 0 },
    new_history_is_longer = { 3, 10, 50 },
    new_history_is_as_long = { 3, 40, 40 },
)]
#[test_macro(tokio::test)]
async fn endpoint_draining_after_a_rollback_gets_no_requests(
    gateways: usize,
    lost: usize,
    rewritten: usize,
) {
    let fleet = start(gateways).await;
    let snapshot = fleet.store.snapshot();
    write_changes(&fleet, lost);
    tokio::time::sleep(REWRITE_TIME).await;
    fleet.store.restore(snapshot);
    write_changes(&fleet, rewritten);
    (0..3).for_each(|at| write_state(&fleet, at, "ready"));
    tokio::time::sleep(REWRITE_TIME).await;
    write_state(&fleet, 0, "draining");
    tokio::time::sleep(SETTLE_TIME).await;
    assert_eq!(requests_reaching(&fleet, 0, "after").await, 0);
}

/// Guards against using a draining endpoint whose notice the store has lost, before it is
/// rewritten.
#[tokio::test]
async fn endpoint_draining_before_a_rollback_gets_no_requests() {
    let fleet = start(3).await;
    let snapshot = fleet.store.snapshot();
    write_state(&fleet, 0, "draining");
    tokio::time::sleep(REWRITE_TIME).await;
    assert_eq!(requests_reaching(&fleet, 0, "before").await, 0);
    fleet.store.restore(snapshot);
    wait_for_new_era(&fleet).await;
    assert_eq!(requests_reaching(&fleet, 0, "between").await, 0);
    (0..3).for_each(|at| write_state(&fleet, at, ["draining", "ready", "ready"][at]));
    tokio::time::sleep(SETTLE_TIME).await;
    assert_eq!(requests_reaching(&fleet, 0, "after").await, 0);
}

/// Guards against using an endpoint that was removed but still has a record in the snapshot.
#[tokio::test]
async fn endpoint_removed_before_a_rollback_gets_no_requests() {
    let fleet = start(3).await;
    let snapshot = fleet.store.snapshot();
    let (key, _) = fleet.endpoints[0].record("a", "ready");
    fleet.store.remove(&key);
    tokio::time::sleep(SETTLE_TIME).await;
    assert_eq!(requests_reaching(&fleet, 0, "before").await, 0);
    fleet.store.restore(snapshot);
    wait_for_new_era(&fleet).await;
    (1..3).for_each(|at| write_state(&fleet, at, "ready"));
    assert_eq!(requests_reaching(&fleet, 0, "between").await, 0);
    fleet.store.remove(&key);
    tokio::time::sleep(SETTLE_TIME).await;
    assert_eq!(requests_reaching(&fleet, 0, "after").await, 0);
}

/// Guards against dropping a new endpoint that the snapshot lacks, before it rewrites its record.
#[tokio::test]
async fn endpoint_added_before_a_rollback_stays_in_use() {
    let mut fleet = start(3).await;
    let snapshot = fleet.store.snapshot();
    fleet.add_endpoint("young", "plain").await.unwrap();
    tokio::time::sleep(REWRITE_TIME).await;
    assert!(requests_reaching(&fleet, 3, "before").await > 0);
    fleet.store.restore(snapshot);
    wait_for_new_era(&fleet).await;
    assert!(requests_reaching(&fleet, 3, "between").await > 0);
    (0..4).for_each(|at| write_state(&fleet, at, "ready"));
    tokio::time::sleep(SETTLE_TIME).await;
    assert!(requests_reaching(&fleet, 3, "after").await > 0);
}

/// Guards against reverting to the older configuration of the snapshot, and against ignoring the
/// next one.
#[tokio::test]
async fn configuration_lost_in_a_rollback_stays_in_force() {
    let fleet = start(3).await;
    let snapshot = fleet.store.snapshot();
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
    fleet.store.restore(snapshot);
    wait_for_new_era(&fleet).await;
    tokio::time::sleep(REWRITE_TIME).await;
    in_force(5).await;
    fleet
        .store
        .set(dockgate_platform::ROUTES_KEY, route_config(5, KEYS));
    fleet
        .store
        .set(dockgate_platform::ROUTES_KEY, route_config(7, KEYS));
    in_force(7).await;
}
