//! Records of endpoints in the store: lifetimes that begin again under an id, and what others write there.

use dockgate_bench::gateway_fleet::{GatewayFleet, start_fleet, wait_until};
use dockgate_bench::standin::caller::{call, request, text};
use dockgate_bench::standin::{EndpointBehavior, RoutedStandIn};
use dockgate_platform::ENDPOINT_KEY_PREFIX;
use http::StatusCode;
use serde_json::json;

async fn status_of(fleet: &GatewayFleet, box_at: usize, id: &str) -> StatusCode {
    let response = call(&fleet.gateways[box_at], request("/once/x", id, None)).await;
    response.status()
}

/// The endpoint of a service crashed, its requests failed, and it rested for up to 1.2 s; it started again under its
/// id, elsewhere, and was left to rest for what its life before had done.
#[tokio::test]
async fn an_endpoint_that_starts_again_under_its_id_is_used_from_the_first_moment() {
    let fleet = start_fleet(3, &["plain"]).await;
    fleet.endpoints[0].set_behavior(EndpointBehavior::Loses);
    for number in 0..8 {
        let status = status_of(&fleet, 0, &format!("r{number}")).await;
        assert_eq!(status, StatusCode::BAD_GATEWAY);
    }
    fleet.endpoints[0].kill();
    let again = RoutedStandIn::start("life-0", "plain").await.unwrap();
    let (key, value) = again.record("a", "ready");
    fleet.store.set(&key, value);
    let born = format!(r#""endpoint":"life-0","born_ms":{},"#, again.started_ms);
    for (at, gateway) in fleet.gateways.iter().enumerate() {
        wait_until("the new life is known", async || {
            gateway.logged().contains(&born)
        })
        .await;
        let response = call(gateway, request("/once/x", &format!("a{at}"), None)).await;
        assert_eq!(text(response).await, "echo hello");
    }
    assert_eq!(again.ran().len(), 3);
}

/// A record of the life before is written late: nothing goes back to it.
#[tokio::test]
async fn a_late_record_of_the_life_before_brings_it_no_requests() {
    let fleet = start_fleet(2, &["plain"]).await;
    let (before_key, before) = fleet.endpoints[0].record("a", "ready");
    let again = RoutedStandIn::start("life-0", "plain").await.unwrap();
    let (key, value) = again.record("a", "ready");
    assert_eq!(before_key, key);
    fleet.store.set(&key, value);
    let born = format!(r#""endpoint":"life-0","born_ms":{},"#, again.started_ms);
    for gateway in &fleet.gateways {
        wait_until("the new life is known", async || {
            gateway.logged().contains(&born)
        })
        .await;
    }
    fleet.store.set(&key, before);
    // What comes behind it in the store is known once it was heard.
    let (other, value) = RoutedStandIn::start("other", "model")
        .await
        .unwrap()
        .record("a", "ready");
    fleet.store.set(&other, value);
    for (at, gateway) in fleet.gateways.iter().enumerate() {
        wait_until("the boxes have heard of it", async || {
            gateway.logged().contains(r#""endpoint":"other""#)
        })
        .await;
        let response = call(gateway, request("/once/x", &format!("r{at}"), None)).await;
        assert_eq!(text(response).await, "echo hello");
    }
    assert_eq!(fleet.endpoints[0].ran().len(), 0);
    assert_eq!(again.ran().len(), 2);
}

/// What another writer put among the records ended nothing else: the records beside it hold, in a list as in the
/// changes that a watch brings.
#[tokio::test]
async fn a_record_that_another_wrote_names_no_endpoint_and_the_others_hold() {
    let mut fleet = start_fleet(2, &["plain", "plain"]).await;
    let odd = [
        ("bytes", "\u{1}\u{2} no json".to_owned()),
        ("list", "[1, 2, 3]".to_owned()),
        (
            "state",
            json!({"service": "plain", "state": "odd"}).to_string(),
        ),
        ("huge", json!({"service": "s".repeat(300_000)}).to_string()),
    ];
    for (name, value) in &odd {
        fleet
            .store
            .set(&format!("{ENDPOINT_KEY_PREFIX}{name}"), value.clone());
    }
    // One that was in use is overwritten; the other one is written behind all of them.
    let (key, good) = fleet.endpoints[0].record("a", "ready");
    fleet.store.set(&key, odd[0].1.clone());
    fleet.add_endpoint("behind", "plain").await.unwrap();
    for gateway in &fleet.gateways {
        wait_until("the good record behind is known", async || {
            gateway.logged().contains(r#""endpoint":"behind""#)
        })
        .await;
    }
    for number in 0..20 {
        let status = status_of(&fleet, number % 2, &format!("r{number}")).await;
        assert_eq!(status, StatusCode::OK);
    }
    assert_eq!(
        fleet.endpoints[0].ran().len(),
        0,
        "its record names no endpoint"
    );
    assert!(fleet.endpoints[1].ran().len() + fleet.endpoints[2].ran().len() == 20);

    // A box that begins lists them all.
    fleet.gateways[1].kill();
    fleet.gateways[1].restart().unwrap();
    let restarted = &fleet.gateways[1];
    wait_until("it is ready", async || restarted.is_ready().await).await;
    assert_eq!(status_of(&fleet, 1, "again").await, StatusCode::OK);

    // It writes its own record again, and the others leave.
    fleet.store.set(&key, good);
    for endpoint in &fleet.endpoints[1..] {
        fleet.store.remove(&endpoint.record("a", "ready").0);
    }
    let gateway = &fleet.gateways[0];
    wait_until("the others are gone", async || {
        gateway.logged().matches("endpoint_gone").count() == 2
    })
    .await;
    assert_eq!(status_of(&fleet, 0, "own").await, StatusCode::OK);
    assert_eq!(fleet.endpoints[0].ran().len(), 1);
    let counted = fleet.gateways[0].metrics().await + &fleet.gateways[1].metrics().await;
    for reason in ["not_json", "field"] {
        let line = format!(r#"dockgate_unusable_records_total{{reason="{reason}"}}"#);
        assert!(counted.contains(&line), "{counted}");
    }
}
