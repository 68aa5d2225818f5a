//! Requests at endpoints that warm up, summed over all boxes of a fleet.

use dockgate_bench::gateway_fleet::{GatewayFleet, KEYS, route_config, wait_until};
use dockgate_bench::standin::RoutedStandIn;
use dockgate_bench::standin::caller::{call, request};
use futures::future::join_all;
use http::StatusCode;
use std::time::{Duration, Instant};

/// The rate of a cold endpoint, as [`config`] states it.
const RATE_PER_S: f64 = 4.0;
const WARMUP: Duration = Duration::from_secs(3);
/// The largest number of requests in a second, as the boxes' settings state it: overshoot 1, no
/// slack.
const MAX_PER_SECOND: usize = 4;
const BOXES: usize = 6;

fn config() -> String {
    let warmup = format!(r#""warmup_s":3.0,"warmup_per_s":{RATE_PER_S},"max_connections""#);
    route_config(3, KEYS).replace(r#""max_connections""#, &warmup)
}

async fn start() -> GatewayFleet {
    let services = ["plain", "model"];
    GatewayFleet::start(BOXES, &services, &config())
        .await
        .unwrap()
}

/// Adds endpoints of both services that are cold.
async fn add_cold_endpoints(fleet: &mut GatewayFleet) {
    for (id, service) in [("plain-cold", "plain"), ("model-cold", "model")] {
        let endpoint = RoutedStandIn::start(id, service).await.unwrap();
        let (key, value) = endpoint.record("a", "ready");
        let warmup = format!(r#""warmup_left_ms":{}"#, WARMUP.as_millis());
        let value = value.replace(r#""warmup_left_ms":0"#, &warmup);
        assert!(value.contains(&warmup));
        fleet.store.set(&key, value);
        fleet.endpoints.push(endpoint);
    }
}

/// Sends requests of both services to all boxes at once; returns the statuses.
async fn press(fleet: &GatewayFleet, round: usize) -> Vec<StatusCode> {
    let calls = fleet
        .gateways
        .iter()
        .enumerate()
        .map(async |(index, gateway)| {
            let id = format!("r-{round}-{index}");
            let streamed = call(gateway, request("/live/x", &format!("{id}-s"), Some(1)));
            let plain = call(gateway, request("/again/x", &id, None));
            let (streamed, plain) = futures::join!(streamed, plain);
            [streamed.status(), plain.status()]
        });
    join_all(calls).await.concat()
}

/// Presses all boxes for a while; returns the statuses.
async fn press_for(fleet: &GatewayFleet, time: Duration) -> Vec<StatusCode> {
    let started = Instant::now();
    let mut statuses = Vec::new();
    for round in 1.. {
        if started.elapsed() > time {
            break;
        }
        statuses.extend(press(fleet, round).await);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    statuses
}

fn most_in_a_second(endpoint: &RoutedStandIn) -> usize {
    let times: Vec<Instant> = endpoint.ran().iter().map(|run| run.at).collect();
    let count = |from: Instant| {
        let window = from..from + Duration::from_secs(1);
        times.iter().filter(|at| window.contains(at)).count()
    };
    times.iter().map(|from| count(*from)).max().unwrap_or(0)
}

#[tokio::test]
async fn cold_endpoints_get_a_bounded_number_of_requests_from_all_boxes() {
    let mut fleet = start().await;
    add_cold_endpoints(&mut fleet).await;
    let statuses = press_for(&fleet, WARMUP - Duration::from_millis(300)).await;
    let most = fleet.endpoints[2..].iter().map(most_in_a_second).max();
    assert!(
        most <= Some(MAX_PER_SECOND),
        "{most:?} requests in a second"
    );
    let answered = statuses.iter().filter(|status| **status == StatusCode::OK);
    assert!(answered.count() * 10 >= statuses.len() * 9, "{statuses:?}");
}

#[tokio::test]
async fn cold_endpoint_is_used_while_no_other_is_left() {
    let mut fleet = start().await;
    add_cold_endpoints(&mut fleet).await;
    for endpoint in &fleet.endpoints[..2] {
        let (key, value) = endpoint.record("a", "draining");
        fleet.store.set(&key, value);
    }
    let statuses = press_for(&fleet, WARMUP - Duration::from_millis(300)).await;
    for endpoint in &fleet.endpoints[2..] {
        let most = most_in_a_second(endpoint);
        assert!((1..=MAX_PER_SECOND).contains(&most), "{most} in a second");
    }
    let unexpected = statuses.iter().find(|status| {
        let expected = [StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE];
        !expected.contains(status)
    });
    assert_eq!(unexpected, None);
}

#[tokio::test]
async fn endpoints_of_a_domain_taken_back_are_presumed_cold() {
    const ORDER: &str = "op/evacuate/a";
    let fleet = start().await;
    fleet.store.set(ORDER, "{}");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let before: Vec<usize> = fleet
        .endpoints
        .iter()
        .map(|endpoint| endpoint.ran().len())
        .collect();
    fleet.store.remove(ORDER);
    wait_until("the endpoints are used again", async || {
        press(&fleet, 0).await;
        let endpoints = fleet.endpoints.iter().zip(&before);
        endpoints
            .into_iter()
            .all(|(endpoint, before)| endpoint.ran().len() > *before)
    })
    .await;
    press_for(&fleet, Duration::from_millis(1_500)).await;
    for endpoint in &fleet.endpoints {
        let most = most_in_a_second(endpoint);
        assert!((1..=MAX_PER_SECOND).contains(&most), "{most} in a second");
    }
}
