//! Watches of the store whose answers are lost while the store answers other calls.
//!
//! Guards against a watch that has gone mute and is not noticed, because another watch tells of a
//! later change.

use dockgate_bench::gateway_fleet::{GatewayFleet, KEYS, route_config, start_fleet, wait_until};
use dockgate_platform::{ENDPOINT_KEY_PREFIX, OPERATOR_KEY_PREFIX, ROUTES_KEY};
use std::time::{Duration, Instant};

/// The time for which another change follows the one that is lost.
const MASK_DELAY: Duration = Duration::from_millis(300);

/// Returns the lines of a log about the store.
fn store_lines(log: &str) -> String {
    let lines = log.lines().filter(|line| line.contains("\"store_"));
    lines.collect::<Vec<_>>().join("\n")
}

/// Reports that an endpoint leaves.
fn drain(fleet: &GatewayFleet, endpoint: usize) {
    let (key, value) = fleet.endpoints[endpoint].record("a", "draining");
    fleet.store.set(&key, value);
}

/// Makes a change whose answer is lost, then one of the keys of another watch; waits until the
/// first box logs `line`, and checks that it does not take until its watch of `prefix` times out.
async fn assert_noticed(
    fleet: &GatewayFleet,
    prefix: &str,
    lost_change: impl FnOnce(),
    other_change: impl FnOnce(),
    line: &str,
) {
    let listener = &fleet.store_listeners[0];
    wait_until("the box watches", async || listener.watch(prefix).is_some()).await;
    // Lets the box exchange what it keeps in the store itself.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (_, end) = listener.watch(prefix).unwrap();
    listener.set_loses_answers(prefix, true);
    lost_change();
    tokio::time::sleep(MASK_DELAY).await;
    listener.set_loses_answers(prefix, false);
    other_change();
    let gateway = &fleet.gateways[0];
    wait_until("the box sees the change", async || {
        gateway.logged().contains(line)
    })
    .await;
    assert!(
        Instant::now() < end,
        "the change was seen only after the watch ended: {}",
        store_lines(&gateway.logged())
    );
}

/// Guards against a configuration that is missed while the watch of endpoints is answered.
#[tokio::test]
async fn mute_watch_of_routes_is_noticed_while_endpoints_change() {
    let fleet = start_fleet(1, &["plain", "plain"]).await;
    let config = route_config(9, KEYS);
    assert_noticed(
        &fleet,
        OPERATOR_KEY_PREFIX,
        || fleet.store.set(ROUTES_KEY, config),
        || drain(&fleet, 1),
        "\"version\":9",
    )
    .await;
}

/// Guards against a drain notice that is missed while the watch of the routes is answered.
#[tokio::test]
async fn mute_watch_of_endpoints_is_noticed_while_routes_change() {
    let fleet = start_fleet(1, &["plain", "plain"]).await;
    assert_noticed(
        &fleet,
        ENDPOINT_KEY_PREFIX,
        || drain(&fleet, 0),
        || fleet.store.set(ROUTES_KEY, route_config(9, KEYS)),
        "\"endpoint_draining\"",
    )
    .await;
}
