//! A box that was suspended: its steady clock and its timers know nothing of the time that has passed, and all
//! others do.
//!
//! **What was seen.** A box that was away for 2.5 s told the next endpoint that 2.5 s more remained than its
//! caller would wait; it answered its callers up to 2.5 s after their time was over; and it went on sending to an
//! endpoint that had left while it was away, until 3.15 s after it woke. A box that is frozen for as long does all of
//! it right.
//!
//! **Why.** All ages, deadlines and timers rested on the steady clock, which does not count a suspension.

use dockgate_bench::gateway_fleet::{start_fleet, wait_until};
use dockgate_bench::standin::caller::{call, request, text};
use dockgate_bench::standin::{EndpointBehavior, RoutedStandIn};
use http::StatusCode;
use std::time::Duration;

/// For how long the box is away.
const AWAY: Duration = Duration::from_millis(1_500);
/// What callers say that they wait, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

#[tokio::test]
async fn after_a_suspension_the_next_endpoint_is_told_what_remains() {
    let fleet = start_fleet(1, &["plain", "plain"]).await;
    let endpoints = &fleet.endpoints;
    let silent = endpoints.iter();
    silent.for_each(|endpoint| endpoint.set_behavior(EndpointBehavior::Silent));
    let gateway = &fleet.gateways[0];
    let answer = call(gateway, request("/again/x", "r", None));
    let suspended = async {
        wait_until("the first endpoint has it", async || {
            fleet.runs_of("r") == 1
        })
        .await;
        let idle = endpoints.iter().find(|endpoint| endpoint.ran().is_empty());
        let next = idle.expect("one has it, and there are two");
        next.set_behavior(EndpointBehavior::Sound);
        gateway.simulate_suspension(AWAY).unwrap();
        next
    };
    let (answer, next) = tokio::join!(answer, suspended);
    assert_eq!(text(answer).await, "echo hello");
    let ran = next.ran();
    let told: u64 = ran[0].headers["x-deadline-ms"].parse().unwrap();
    let most = DEADLINE_MS - AWAY.as_millis() as u64;
    assert!(told <= most, "{told} of {most} ms are left at most");
}

/// What is asked after the box woke, and takes a second, is answered after what has no time left.
#[tokio::test]
async fn after_a_suspension_callers_whose_time_is_over_are_answered_at_once() {
    let fleet = start_fleet(1, &["plain", "plain"]).await;
    let gateway = &fleet.gateways[0];
    for endpoint in &fleet.endpoints {
        endpoint.set_behavior(EndpointBehavior::Silent);
    }
    let over = async {
        let answer = call(gateway, request("/once/x", "over", None)).await;
        (answer.status(), std::time::Instant::now())
    };
    let later = async {
        wait_until("an endpoint has it", async || fleet.runs_of("over") == 1).await;
        for endpoint in &fleet.endpoints {
            endpoint.set_behavior(EndpointBehavior::Sound);
            endpoint.set_processing_time(Duration::from_secs(1));
        }
        gateway
            .simulate_suspension(Duration::from_millis(DEADLINE_MS))
            .unwrap();
        // What comes before it knows is as old as it was away.
        wait_until("the box knows", async || {
            gateway.logged().contains("\"woke\"")
        })
        .await;
        let answer = text(call(gateway, request("/once/x", "later", None)).await).await;
        (answer, std::time::Instant::now())
    };
    let ((status, over_at), (answer, later_at)) = tokio::join!(over, later);
    assert_eq!(status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(answer, "echo hello");
    assert!(over_at < later_at, "it is answered first");
}

/// The connections of the box to the store say nothing; an endpoint leaves while it is away. Its callers come
/// back when they are told to.
#[tokio::test]
async fn after_a_suspension_nothing_is_sent_to_an_endpoint_that_left_meanwhile() {
    const CALLS: usize = 40;
    let fleet = start_fleet(3, &["plain", "plain"]).await;
    let [leaving, _staying] = &fleet.endpoints[..] else {
        panic!("there are two")
    };
    let suspended = &fleet.gateways[0];
    fleet.store_listeners[0].set_silent(true);
    let (key, value) = leaving.record("a", "draining");
    fleet.store.set(&key, value);
    for other in &fleet.gateways[1..] {
        wait_until("the others know that it leaves", async || {
            let logged = other.logged();
            logged.contains("\"endpoint_draining\"")
                || logged.matches("endpoints_listed").count() > 1
        })
        .await;
    }
    suspended
        .simulate_suspension(Duration::from_secs(6))
        .unwrap();
    wait_until("the box knows", async || {
        suspended.logged().contains("\"woke\"")
    })
    .await;
    let before = RoutedStandIn::ran(leaving).len();
    let mut answered = 0;
    wait_until("its callers are served", async || {
        let id = format!("r{answered}");
        let answer = call(suspended, request("/again/x", &id, None)).await;
        answered += usize::from(answer.status() == StatusCode::OK);
        answered == CALLS
    })
    .await;
    assert_eq!(leaving.ran().len(), before, "it gets nothing more");
}
