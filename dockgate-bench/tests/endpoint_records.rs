//! Records of endpoints in the store: restarts under the same id, and invalid records.

use dockgate_bench::gateway_fleet::{GatewayFleet, start_fleet, wait_until};
use dockgate_bench::standin::caller::{call, request, text};
use dockgate_bench::standin::{EndpointBehavior, RoutedStandIn};
use dockgate_platform::ENDPOINT_KEY_PREFIX;
use http::StatusCode;
use serde_json::json;

async fn status_of(fleet: &GatewayFleet, box_index: usize, id: &str) -> StatusCode {
    let response = call(&fleet.gateways[box_index], request("/once/x", id, None)).await;
    response.status()
}

/// Guards against a backoff for failures of an earlier lifetime of the endpoint.
#[tokio::test]
async fn restarted_endpoint_is_used_at_once() {
    let fleet = start_fleet(3, &["plain"]).await;
    fleet.endpoints[0].set_behavior(EndpointBehavior::Loses);
    for number in 0..8 {
        let status = status_of(&fleet, 0, &format!("r{number}")).await;
        assert_eq!(status, StatusCode::BAD_GATEWAY);
    }
    fleet.endpoints[0].kill();
    let restarted = RoutedStandIn::start("life-0", "plain").await.unwrap();
    let (key, value) = restarted.record("a", "ready");
    fleet.store.set(&key, value);
    let new_lifetime = format!(r#""endpoint":"life-0","born_ms":{},"#, restarted.started_ms);
    for (at, gateway) in fleet.gateways.iter().enumerate() {
        wait_until("the new lifetime is in use", async || {
            gateway.logged().contains(&new_lifetime)
        })
        .await;
        let response = call(gateway, request("/once/x", &format!("a{at}"), None)).await;
        assert_eq!(text(response).await, "echo hello");
    }
    assert_eq!(restarted.ran().len(), 3);
}

/// Guards against a late record of an earlier lifetime replacing that of the current one.
#[tokio::test]
async fn late_record_of_an_earlier_lifetime_is_ignored() {
    let fleet = start_fleet(2, &["plain"]).await;
    let (old_key, old_value) = fleet.endpoints[0].record("a", "ready");
    let restarted = RoutedStandIn::start("life-0", "plain").await.unwrap();
    let (key, value) = restarted.record("a", "ready");
    assert_eq!(old_key, key);
    fleet.store.set(&key, value);
    let new_lifetime = format!(r#""endpoint":"life-0","born_ms":{},"#, restarted.started_ms);
    for gateway in &fleet.gateways {
        wait_until("the new lifetime is in use", async || {
            gateway.logged().contains(&new_lifetime)
        })
        .await;
    }
    fleet.store.set(&key, old_value);
    // A later record shows that the boxes have read the late one.
    let (other, value) = RoutedStandIn::start("other", "model")
        .await
        .unwrap()
        .record("a", "ready");
    fleet.store.set(&other, value);
    for (at, gateway) in fleet.gateways.iter().enumerate() {
        wait_until("the box has read the later record", async || {
            gateway.logged().contains(r#""endpoint":"other""#)
        })
        .await;
        let response = call(gateway, request("/once/x", &format!("r{at}"), None)).await;
        assert_eq!(text(response).await, "echo hello");
    }
    assert_eq!(fleet.endpoints[0].ran().len(), 0);
    assert_eq!(restarted.ran().len(), 2);
}

/// Guards against an invalid record that makes the box drop valid ones, in a listing or in the
/// changes of a watch.
#[tokio::test]
async fn invalid_records_are_ignored_and_valid_ones_kept() {
    let mut fleet = start_fleet(2, &["plain", "plain"]).await;
    let invalid = [
        ("bytes", "\u{1}\u{2} no json".to_owned()),
        ("list", "[1, 2, 3]".to_owned()),
        (
            "state",
            json!({"service": "plain", "state": "odd"}).to_string(),
        ),
        ("huge", json!({"service": "s".repeat(300_000)}).to_string()),
    ];
    for (name, value) in &invalid {
        fleet
            .store
            .set(&format!("{ENDPOINT_KEY_PREFIX}{name}"), value.clone());
    }
    // The record of a used endpoint is overwritten; a valid record is added after all of these.
    let (key, valid) = fleet.endpoints[0].record("a", "ready");
    fleet.store.set(&key, invalid[0].1.clone());
    fleet.add_endpoint("behind", "plain").await.unwrap();
    for gateway in &fleet.gateways {
        wait_until("the valid record is in use", async || {
            gateway.logged().contains(r#""endpoint":"behind""#)
        })
        .await;
    }
    for number in 0..20 {
        let status = status_of(&fleet, number % 2, &format!("r{number}")).await;
        assert_eq!(status, StatusCode::OK);
    }
    assert_eq!(fleet.endpoints[0].ran().len(), 0, "its record is invalid");
    assert!(fleet.endpoints[1].ran().len() + fleet.endpoints[2].ran().len() == 20);

    // A restarted box reads all records in a listing.
    fleet.gateways[1].kill();
    fleet.gateways[1].restart().unwrap();
    let restarted = &fleet.gateways[1];
    wait_until("the box is ready", async || restarted.is_ready().await).await;
    assert_eq!(status_of(&fleet, 1, "again").await, StatusCode::OK);

    // The first endpoint rewrites its record, and the others are removed.
    fleet.store.set(&key, valid);
    for endpoint in &fleet.endpoints[1..] {
        fleet.store.remove(&endpoint.record("a", "ready").0);
    }
    let gateway = &fleet.gateways[0];
    wait_until("the other endpoints are removed", async || {
        gateway.logged().matches("endpoint_gone").count() == 2
    })
    .await;
    assert_eq!(status_of(&fleet, 0, "own").await, StatusCode::OK);
    assert_eq!(fleet.endpoints[0].ran().len(), 1);
    let metrics = fleet.gateways[0].metrics().await + &fleet.gateways[1].metrics().await;
    for reason in ["not_json", "field"] {
        let line = format!(r#"dockgate_unusable_records_total{{reason="{reason}"}}"#);
        assert!(metrics.contains(&line), "{metrics}");
    }
}
