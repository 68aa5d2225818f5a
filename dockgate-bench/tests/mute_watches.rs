//! Watches of the store whose answers are lost while the store answers other calls.
//!
//! Guards against a watch that has gone mute and is not noticed, because another watch tells of a
//! later change, or because nothing tells of any: reads that may be outdated show the store as it was
//! long ago.

use dockgate_bench::gateway_fleet::{GatewayFleet, KEYS, route_config, start_fleet, wait_until};
use dockgate_platform::{ENDPOINT_KEY_PREFIX, OPERATOR_KEY_PREFIX, ROUTES_KEY};
use std::time::{Duration, Instant};

/// The time for which another change follows the one that is lost.
const MASK_DELAY: Duration = Duration::from_millis(300);

/// How old reads are that may be outdated: longer than a watch waits.
const STALENESS: Duration = Duration::from_secs(60);

/// Returns the lines of a log about the store.
fn store_lines(log: &str) -> String {
    let lines = log.lines().filter(|line| line.contains("\"store_"));
    lines.collect::<Vec<_>>().join("\n")
}

/// Returns when the watches of `prefix` time out.
fn watch_ends(fleet: &GatewayFleet, prefix: &str) -> Vec<Instant> {
    let listeners = fleet.store_listeners.iter();
    let watches = listeners.filter_map(|listener| listener.watch(prefix));
    watches.map(|(_, end)| end).collect()
}

/// Waits until boxes follow the store, and have exchanged what they keep in it themselves.
async fn wait_until_settled(fleet: &GatewayFleet, prefix: &str) {
    wait_until("a box watches", async || {
        !watch_ends(fleet, prefix).is_empty()
    })
    .await;
    tokio::time::sleep(Duration::from_secs(2)).await;
}

/// Makes a change in a store without any other one, while the answers to the watches of `prefix` are
/// lost and outdated reads do not show it. Waits until all boxes log `line`, and checks that it does
/// not take until the watches time out.
async fn assert_noticed_in_calm(
    fleet: &GatewayFleet,
    prefix: &str,
    change: impl FnOnce(),
    line: &str,
) {
    wait_until_settled(fleet, prefix).await;
    fleet.store.set_staleness(STALENESS);
    let first_end = watch_ends(fleet, prefix).into_iter().min().unwrap();
    let set_loses_answers = |loses| {
        for listener in &fleet.store_listeners {
            listener.set_loses_answers(prefix, loses);
        }
    };
    set_loses_answers(true);
    change();
    tokio::time::sleep(MASK_DELAY).await;
    set_loses_answers(false);
    for gateway in &fleet.gateways {
        wait_until("the box sees the change", async || {
            gateway.logged().contains(line)
        })
        .await;
        assert!(
            Instant::now() < first_end,
            "the change was seen only after the watches ended: {}",
            store_lines(&gateway.logged())
        );
    }
}

/// Guards against a configuration that no box of a domain learns of until its watches time out.
#[tokio::test]
async fn mute_watch_of_routes_is_noticed_while_reads_are_outdated() {
    let fleet = start_fleet(4, &["plain", "plain"]).await;
    let change = || fleet.store.set(ROUTES_KEY, route_config(9, KEYS));
    assert_noticed_in_calm(&fleet, OPERATOR_KEY_PREFIX, change, "\"version\":9").await;
}

/// Guards against a drain notice that no box of a domain learns of until its watches time out.
#[tokio::test]
async fn mute_watch_of_endpoints_is_noticed_while_reads_are_outdated() {
    let fleet = start_fleet(4, &["plain", "plain"]).await;
    let change = || drain(&fleet, 0);
    assert_noticed_in_calm(&fleet, ENDPOINT_KEY_PREFIX, change, "\"endpoint_draining\"").await;
}

/// Guards against current reads by each box, which cost the store ten times as much as outdated
/// ones.
#[tokio::test]
async fn current_reads_are_made_by_one_box_of_a_domain() {
    const SECONDS: u64 = 4;
    let fleet = start_fleet(4, &["plain"]).await;
    wait_until_settled(&fleet, OPERATOR_KEY_PREFIX).await;
    let before = fleet.store.current_listings();
    tokio::time::sleep(Duration::from_secs(SECONDS)).await;
    let made = fleet.store.current_listings() - before;
    assert!((1..=SECONDS + 1).contains(&made), "{made} in {SECONDS} s");
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
    wait_until_settled(fleet, prefix).await;
    let listener = &fleet.store_listeners[0];
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
