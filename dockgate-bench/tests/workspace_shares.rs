//! Service that counts for the share of a workspace, as a box reports it to others.

use dockgate_bench::gateway_fleet::{start_fleet, wait_until};
use dockgate_bench::standin::EndpointBehavior;
use dockgate_bench::standin::caller::{call, request};
use dockgate_core::gateway::UsageRow;
use dockgate_proto::StateAnswer;
use http::StatusCode;
use yare::parameterized;

/// Guards against a workspace that is held back for answers which broke off before any event.
#[parameterized(
    begun = { EndpointBehavior::Sound, true },
    broken_off = { EndpointBehavior::CutsAfter(0), false },
)]
#[test_macro(tokio::test)]
async fn answers_that_break_off_before_an_event_are_no_service(
    behavior: EndpointBehavior,
    counts: bool,
) {
    let fleet = start_fleet(1, &["model"]).await;
    fleet.endpoints[0].set_behavior(behavior);
    let mut peer = fleet.start_peer(StateAnswer::default()).await.unwrap();
    wait_until("the box reports to the other one", async || {
        fleet.gateways[0].logged().contains("\"box_seen\"")
    })
    .await;
    let response = call(&fleet.gateways[0], request("/draft/x", "r1", Some(3))).await;
    assert_eq!(response.status() == StatusCode::OK, counts);
    // Both fade alike, so that an admission which is taken back is the only one without service.
    let is_settled = |row: &UsageRow| row.requested > 0 && (row.admitted > 0) == counts;
    wait_until("the box reports what was admitted", async || {
        peer.next_usage().await.iter().any(is_settled)
    })
    .await;
    assert_eq!(fleet.endpoints[0].ran().len(), 1);
}
