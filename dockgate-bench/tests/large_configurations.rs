//! Configurations in quick succession that are large for the answers of the store.

use dockgate_bench::gateway_fleet::{KEYS, large_config, start_fleet, wait_until};
use dockgate_platform::ROUTES_KEY;
use std::time::Duration;

/// The number of routes with which a configuration has 2 MB, twice the largest value of the users'
/// store. The changes below exceed what a box reads of one answer several times over.
const EXTRA_ROUTES: usize = 9_000;
const FIRST_VERSION: u64 = 5;
const LAST_VERSION: u64 = 12;
const CHANGE_INTERVAL: Duration = Duration::from_millis(80);
/// The time that a slow store takes to answer.
const STORE_DELAY: Duration = Duration::from_millis(240);

/// Guards against a follower that cannot read the answer to a watch and asks for it again and again,
/// so that an old configuration stays in force.
#[tokio::test]
async fn newest_configuration_is_read_after_an_answer_that_is_too_large() {
    let fleet = start_fleet(1, &["plain"]).await;
    let gateway = &fleet.gateways[0];
    fleet.store.set_delay(STORE_DELAY);
    for version in FIRST_VERSION..=LAST_VERSION {
        let config = large_config(version, KEYS, EXTRA_ROUTES);
        fleet.store.set(ROUTES_KEY, config);
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
    wait_until("the newest configuration is in force", async || {
        let line = format!("\"version\":{LAST_VERSION},\"source\":\"store\"");
        gateway.logged().contains(&line)
    })
    .await;
    assert!(
        gateway.logged().contains("answer cannot be read"),
        "the answers to watches were not too large"
    );
    wait_until("the box follows the store again", async || {
        let metrics = gateway.metrics().await;
        metrics.contains("dockgate_store_calls_total{followed=\"op/\",outcome=\"answered\"}")
            && gateway.logged().contains("\"store_back\"")
    })
    .await;
}
