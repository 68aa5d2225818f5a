//! Evacuations of failure domains, as all boxes of a fleet learn of them.

use dockgate_bench::gateway_fleet::{GatewayFleet, GatewayProcess, KEYS, route_config, wait_until};
use dockgate_bench::standin::caller::{call, request, text};
use http::StatusCode;
use nix::sys::signal::Signal;
use std::time::Duration;

/// The time within which all boxes obey an order; less than half of the platform's bound.
const OBEY_WITHIN: Duration = Duration::from_millis(2_000);
const ORDER: &str = "op/evacuate/a";
/// The number of requests of each service that are sent to a box at a time.
const REQUESTS: usize = 12;

/// Starts boxes and endpoints of both services in domain `a`, whose endpoints the boxes prefer, and
/// endpoints in domain `b`.
async fn start(boxes: usize) -> GatewayFleet {
    start_in(&vec!["a"; boxes]).await
}

/// Starts one box in each of these domains, and endpoints as [`start`] does.
async fn start_in(domains: &[&str]) -> GatewayFleet {
    let config = route_config(3, KEYS);
    let mut fleet = GatewayFleet::start_in(domains, &["plain", "model"], &config)
        .await
        .unwrap();
    for (id, service) in [("plain-b", "plain"), ("model-b", "model")] {
        fleet.add_endpoint_in("b", id, service).await.unwrap();
    }
    for gateway in &fleet.gateways {
        wait_until("a box lists the endpoints", async || {
            gateway.logged().contains("model-b")
        })
        .await;
    }
    fleet
}

fn runs_in_a(fleet: &GatewayFleet) -> usize {
    let endpoints = fleet.endpoints.iter();
    let endpoints = endpoints.filter(|endpoint| !endpoint.id.ends_with("-b"));
    endpoints.map(|endpoint| endpoint.ran().len()).sum()
}

/// Sends a request to a box until the box does not refuse it for want of processor, which a busy
/// machine may justify; returns status and text of the response.
async fn send_when_not_overloaded(
    gateway: &GatewayProcess,
    path: &str,
    id: &str,
    events: Option<u64>,
) -> (StatusCode, String) {
    const MAX_SENDS: usize = 40;
    const PAUSE: Duration = Duration::from_millis(250);
    for _ in 1..MAX_SENDS {
        let response = call(gateway, request(path, id, events)).await;
        let status = response.status();
        let text = text(response).await;
        if text != "not_run: overloaded\n" {
            return (status, text);
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("a box stays overloaded");
}

/// Sends requests of both services to a box; returns the statuses.
async fn send_some(fleet: &GatewayFleet, index: usize, name: &str) -> Vec<StatusCode> {
    let mut statuses = Vec::new();
    for number in 0..REQUESTS {
        let id = format!("{name}-{index}-{number}-{}", rand::random::<u32>());
        let gateway = &fleet.gateways[index];
        let plain = call(gateway, request("/again/x", &id, None)).await;
        let streamed = call(gateway, request("/live/x", &format!("{id}-s"), Some(1))).await;
        statuses.extend([plain.status(), streamed.status()]);
    }
    statuses
}

/// Checks that requests to all boxes are answered and that none reaches domain `a`.
async fn assert_evacuated(fleet: &GatewayFleet) {
    let before = runs_in_a(fleet);
    for (index, gateway) in fleet.gateways.iter().enumerate() {
        for number in 0..REQUESTS {
            let id = format!("evacuated-{index}-{number}-{}", rand::random::<u32>());
            for (path, id, events) in [
                ("/again/x", id.clone(), None),
                ("/live/x", format!("{id}-s"), Some(1)),
            ] {
                let (status, text) = send_when_not_overloaded(gateway, path, &id, events).await;
                assert_eq!(status, StatusCode::OK, "{id}: {text}");
            }
        }
    }
    assert_eq!(runs_in_a(fleet), before);
}

async fn wait_until_used_again(fleet: &GatewayFleet) {
    let before = runs_in_a(fleet);
    wait_until("the domain is used again", async || {
        send_some(fleet, 0, "again").await;
        runs_in_a(fleet) > before
    })
    .await;
}

#[tokio::test]
async fn evacuated_domain_gets_nothing_until_it_is_taken_back() {
    let fleet = start(3).await;
    fleet.store.set(ORDER, "{}");
    tokio::time::sleep(OBEY_WITHIN).await;
    assert_evacuated(&fleet).await;
    fleet.store.remove(ORDER);
    wait_until_used_again(&fleet).await;
}

#[tokio::test]
async fn box_that_the_store_does_not_answer_learns_of_an_evacuation() {
    let fleet = start(3).await;
    fleet.store_listeners[1].set_silent(true);
    fleet.store.set(ORDER, "{}");
    tokio::time::sleep(OBEY_WITHIN).await;
    assert_evacuated(&fleet).await;
}

#[tokio::test]
async fn restarted_box_sends_nothing_to_an_evacuated_domain() {
    let mut fleet = start(2).await;
    fleet.store.set(ORDER, "{}");
    tokio::time::sleep(OBEY_WITHIN).await;
    let before = runs_in_a(&fleet);
    fleet.store.set_unavailable(true);
    fleet.gateways[0].signal(Signal::SIGKILL);
    fleet.gateways[0].kill();
    fleet.gateways[0].restart().unwrap();
    let gateway = &fleet.gateways[0];
    wait_until("the box is ready", async || gateway.is_ready().await).await;
    send_some(&fleet, 0, "restarted").await;
    assert_eq!(runs_in_a(&fleet), before);
}

#[tokio::test]
async fn evacuation_survives_a_store_restored_from_a_copy_without_it() {
    let fleet = start(2).await;
    let copy = fleet.store.snapshot();
    fleet.store.set(ORDER, "{}");
    tokio::time::sleep(OBEY_WITHIN).await;
    fleet.store.restore(copy);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.store.set(ORDER, "{}");
    for _ in 0..4 {
        assert_evacuated(&fleet).await;
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
}

#[tokio::test]
async fn evacuation_taken_back_while_the_history_is_lost_ends() {
    let fleet = start(2).await;
    fleet.store.set(ORDER, "{}");
    tokio::time::sleep(OBEY_WITHIN).await;
    for listener in &fleet.store_listeners {
        listener.set_silent(true);
    }
    fleet.store.remove(ORDER);
    fleet.store.forget_history();
    for listener in &fleet.store_listeners {
        listener.set_silent(false);
    }
    wait_until_used_again(&fleet).await;
}

#[tokio::test]
async fn requests_are_refused_at_once_while_all_domains_are_evacuated() {
    let fleet = start(1).await;
    fleet.store.set(ORDER, "{}");
    fleet.store.set("op/evacuate/b", "{}");
    fleet.store.set("op/evacuate/nowhere", "{}");
    tokio::time::sleep(OBEY_WITHIN).await;
    let started = std::time::Instant::now();
    let statuses = send_some(&fleet, 0, "refused").await;
    let is_refused = |status: &StatusCode| *status == StatusCode::SERVICE_UNAVAILABLE;
    assert!(statuses.iter().all(is_refused), "{statuses:?}");
    assert!(started.elapsed() < Duration::from_secs(2));
    fleet.store.remove("op/evacuate/b");
    tokio::time::sleep(OBEY_WITHIN).await;
    assert_evacuated(&fleet).await;
}

/// Boxes of two domains learn of an order that the store tells only one of them.
#[tokio::test]
async fn orders_cross_domains() {
    let fleet = start_in(&["a", "c"]).await;
    fleet.store_listeners[1].set_silent(true);
    fleet.store.set(ORDER, "{}");
    tokio::time::sleep(OBEY_WITHIN).await;
    assert_evacuated(&fleet).await;
}
