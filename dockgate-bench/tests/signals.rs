//! Signals that stop a box or make it reload its settings.

use dockgate_bench::gateway_fleet::{start_fleet, wait_until};
use dockgate_bench::standin::EndpointBehavior;
use dockgate_bench::standin::caller::{all_events, call, connect, request, text};
use http::StatusCode;
use nix::sys::signal::Signal;
use std::time::Duration;

#[tokio::test]
async fn stop_finishes_streams_and_refuses_long_requests() {
    let mut fleet = start_fleet(1, &["model"]).await;
    fleet.endpoints[0].set_processing_time(Duration::from_millis(30));
    let address = fleet.gateways[0].caller_address();
    let mut idle = connect(address).await;
    let mut streaming = connect(address).await;
    let response = streaming
        .send_request(request("/live/x", "r1", Some(30)))
        .await
        .unwrap();
    fleet.gateways[0].signal(Signal::SIGTERM);
    let gateway = &fleet.gateways[0];
    wait_until("the box is not ready", async || !gateway.is_ready().await).await;
    let mut long = request("/live/x", "r2", Some(5_000));
    long.headers_mut()
        .insert("x-deadline-ms", "9000".parse().unwrap());
    let long = idle.send_request(long).await.unwrap();
    assert_eq!(long.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(long.headers()["connection"], "close");
    assert_eq!(fleet.runs_of("r2"), 0);
    assert_eq!(text(response).await, all_events(30));
    let gateway = &mut fleet.gateways[0];
    wait_until("the box exits", async || gateway.has_exited()).await;
    assert!(
        gateway
            .logged()
            .contains(r#""event":"stopped","in_time":true,"cut":0"#)
    );
}

/// Guards against a stopping box that accepts a request for its usual duration and then closes the
/// connection before the outcome is known.
#[tokio::test]
async fn stopping_box_refuses_requests_that_may_outlast_it() {
    let fleet = start_fleet(1, &["plain"]).await;
    fleet.endpoints[0].set_behavior(EndpointBehavior::Silent);
    let mut idle = connect(fleet.gateways[0].caller_address()).await;
    fleet.gateways[0].signal(Signal::SIGTERM);
    let gateway = &fleet.gateways[0];
    wait_until("the box is not ready", async || !gateway.is_ready().await).await;
    // The box exits within 3.6 s; the route allows 4 s.
    let mut long = request("/once/x", "r1", None);
    long.headers_mut()
        .insert("x-deadline-ms", "3900".parse().unwrap());
    let response = idle.send_request(long).await.unwrap();
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(fleet.runs_of("r1"), 0);
}

/// Guards against an idle box that exits at once and closes connections on which requests arrive.
#[tokio::test]
async fn idle_box_serves_requests_that_cross_its_stop() {
    let fleet = start_fleet(1, &["plain"]).await;
    let mut idle = connect(fleet.gateways[0].caller_address()).await;
    let gateway = &fleet.gateways[0];
    tokio::time::sleep(Duration::from_secs(2)).await;
    gateway.signal(Signal::SIGTERM);
    wait_until("the box is not ready", async || !gateway.is_ready().await).await;
    let mut short = request("/again/x", "r1", None);
    short
        .headers_mut()
        .insert("x-deadline-ms", "500".parse().unwrap());
    let response = idle.send_request(short).await.unwrap();
    assert_eq!(text(response).await, "echo hello");
}

#[tokio::test]
async fn reload_signal_keeps_the_box_serving() {
    let fleet = start_fleet(1, &["plain"]).await;
    fleet.gateways[0].signal(Signal::SIGHUP);
    let gateway = &fleet.gateways[0];
    wait_until("the box has reloaded its settings", async || {
        gateway.logged().contains("reloaded")
    })
    .await;
    let response = call(&fleet.gateways[0], request("/again/x", "r1", None)).await;
    assert_eq!(response.status(), StatusCode::OK);
}

/// Guards against the default action of SIGHUP, which ends a process that has no handler yet.
#[tokio::test]
async fn reload_signal_during_startup_does_not_end_the_box() {
    let mut fleet = start_fleet(1, &["plain"]).await;
    let gateway = &mut fleet.gateways[0];
    gateway.kill();
    gateway.restart_with_signal(Signal::SIGHUP).unwrap();
    wait_until("the box is ready", async || gateway.is_ready().await).await;
    assert!(!gateway.has_exited());
}
