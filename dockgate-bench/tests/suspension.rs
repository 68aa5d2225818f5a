//! Suspension of a box, during which its monotonic clock and timers stop.
//!
//! Guards against deadlines, ages and timeouts that leave out the time of the suspension.

use dockgate_bench::gateway_fleet::{start_fleet, wait_until};
use dockgate_bench::standin::caller::{call, request, text};
use dockgate_bench::standin::{EndpointBehavior, RoutedStandIn};
use http::StatusCode;
use std::time::Duration;

/// Duration of the simulated suspension.
const SUSPENSION: Duration = Duration::from_millis(1_500);
/// Time budget that callers announce, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

#[tokio::test]
async fn retry_after_a_suspension_announces_the_remaining_budget() {
    let fleet = start_fleet(1, &["plain", "plain"]).await;
    let endpoints = &fleet.endpoints;
    let silent = endpoints.iter();
    silent.for_each(|endpoint| endpoint.set_behavior(EndpointBehavior::Silent));
    let gateway = &fleet.gateways[0];
    let answer = call(gateway, request("/again/x", "r", None));
    let suspended = async {
        wait_until("the first endpoint has the request", async || {
            fleet.runs_of("r") == 1
        })
        .await;
        let idle = endpoints.iter().find(|endpoint| endpoint.ran().is_empty());
        let next = idle.expect("only one of two endpoints has the request");
        next.set_behavior(EndpointBehavior::Sound);
        gateway.simulate_suspension(SUSPENSION).unwrap();
        next
    };
    let (answer, next) = tokio::join!(answer, suspended);
    assert_eq!(text(answer).await, "echo hello");
    let ran = next.ran();
    let budget_ms: u64 = ran[0].headers["x-deadline-ms"].parse().unwrap();
    let max_ms = DEADLINE_MS - SUSPENSION.as_millis() as u64;
    assert!(
        budget_ms <= max_ms,
        "{budget_ms} ms announced, {max_ms} ms left"
    );
}

/// Guards against answering an expired request only after one that was sent later and takes a
/// second.
#[tokio::test]
async fn expired_requests_are_answered_at_once_after_a_suspension() {
    let fleet = start_fleet(1, &["plain", "plain"]).await;
    let gateway = &fleet.gateways[0];
    for endpoint in &fleet.endpoints {
        endpoint.set_behavior(EndpointBehavior::Silent);
    }
    let expired = async {
        let answer = call(gateway, request("/once/x", "over", None)).await;
        (answer.status(), std::time::Instant::now())
    };
    let later = async {
        wait_until("an endpoint ran it", async || fleet.runs_of("over") == 1).await;
        for endpoint in &fleet.endpoints {
            endpoint.set_behavior(EndpointBehavior::Sound);
            endpoint.set_processing_time(Duration::from_secs(1));
        }
        gateway
            .simulate_suspension(Duration::from_millis(DEADLINE_MS))
            .unwrap();
        // A request that arrives before the box notices is aged by the whole suspension.
        wait_until("the box notices the suspension", async || {
            gateway.logged().contains("\"woke\"")
        })
        .await;
        let answer = text(call(gateway, request("/once/x", "later", None)).await).await;
        (answer, std::time::Instant::now())
    };
    let ((status, expired_at), (answer, later_at)) = tokio::join!(expired, later);
    assert_eq!(status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(answer, "echo hello");
    assert!(
        expired_at < later_at,
        "the expired request is answered first"
    );
}

/// Guards against sending to an endpoint whose drain notice the box has missed, while its own store
/// connections are silent.
#[tokio::test]
async fn endpoint_drained_during_a_suspension_gets_no_requests() {
    const CALLS: usize = 40;
    let fleet = start_fleet(3, &["plain", "plain"]).await;
    let [leaving, _staying] = &fleet.endpoints[..] else {
        panic!("the fleet has two endpoints")
    };
    let suspended = &fleet.gateways[0];
    fleet.store_listeners[0].set_silent(true);
    let (key, value) = leaving.record("a", "draining");
    fleet.store.set(&key, value);
    for other in &fleet.gateways[1..] {
        wait_until(
            "the other box sees that the endpoint is draining",
            async || {
                let logged = other.logged();
                logged.contains("\"endpoint_draining\"")
                    || logged.matches("endpoints_listed").count() > 1
            },
        )
        .await;
    }
    suspended
        .simulate_suspension(Duration::from_secs(6))
        .unwrap();
    wait_until("the box notices the suspension", async || {
        suspended.logged().contains("\"woke\"")
    })
    .await;
    let before = RoutedStandIn::ran(leaving).len();
    let mut answered = 0;
    wait_until("the callers are served", async || {
        let id = format!("r{answered}");
        let answer = call(suspended, request("/again/x", &id, None)).await;
        answered += usize::from(answer.status() == StatusCode::OK);
        answered == CALLS
    })
    .await;
    assert_eq!(
        leaving.ran().len(),
        before,
        "the draining endpoint gets nothing more"
    );
}
