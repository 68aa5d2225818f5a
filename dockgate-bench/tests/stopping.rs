//! Signals: boxes that are told to stop, or to read their settings again.

use dockgate_bench::gateway_fleet::{start_fleet, wait_until};
use dockgate_bench::standin::EndpointBehavior;
use dockgate_bench::standin::caller::{all_events, call, connect, request, text};
use http::StatusCode;
use nix::sys::signal::Signal;
use std::time::Duration;

#[tokio::test]
async fn a_stop_cuts_nothing_and_takes_nothing_that_it_cannot_finish() {
    let mut fleet = start_fleet(1, &["model"]).await;
    fleet.endpoints[0].set_processing_time(Duration::from_millis(30));
    let address = fleet.gateways[0].callers();
    let mut kept = connect(address).await;
    let mut streaming = connect(address).await;
    let response = streaming
        .send_request(request("/live/x", "r1", Some(30)))
        .await
        .unwrap();
    fleet.gateways[0].signal(Signal::SIGTERM);
    let gateway = &fleet.gateways[0];
    wait_until("it is not ready", async || !gateway.is_ready().await).await;
    let mut long = request("/live/x", "r2", Some(5_000));
    long.headers_mut()
        .insert("x-deadline-ms", "9000".parse().unwrap());
    let long = kept.send_request(long).await.unwrap();
    assert_eq!(long.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(long.headers()["connection"], "close");
    assert_eq!(fleet.runs_of("r2"), 0);
    assert_eq!(text(response).await, all_events(30));
    let gateway = &mut fleet.gateways[0];
    wait_until("it ends", async || gateway.has_ended()).await;
    assert!(
        gateway
            .logged()
            .contains(r#""event":"stopped","in_time":true,"cut":0"#)
    );
}

/// A box that was told to stop took a request 0.2 s before its end, as such a request usually takes 0.1 s;
/// the endpoint did not answer, and the connection was closed with no word whether it had run.
#[tokio::test]
async fn a_stopping_box_takes_nothing_that_may_outlast_it() {
    let fleet = start_fleet(1, &["plain"]).await;
    fleet.endpoints[0].set_behavior(EndpointBehavior::Silent);
    let mut kept = connect(fleet.gateways[0].callers()).await;
    fleet.gateways[0].signal(Signal::SIGTERM);
    let gateway = &fleet.gateways[0];
    wait_until("it is not ready", async || !gateway.is_ready().await).await;
    // It ends within 3.6 s, and the route allows 4.
    let mut long = request("/once/x", "r1", None);
    long.headers_mut()
        .insert("x-deadline-ms", "3900".parse().unwrap());
    let response = kept.send_request(long).await.unwrap();
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(fleet.runs_of("r1"), 0);
}

/// A box that had answered nothing for a while ended as soon as it was told to: a connection at rest was closed just as
/// its caller sent a request on it.
#[tokio::test]
async fn a_box_that_has_rested_takes_what_crosses_its_stop() {
    let fleet = start_fleet(1, &["plain"]).await;
    let mut kept = connect(fleet.gateways[0].callers()).await;
    let gateway = &fleet.gateways[0];
    tokio::time::sleep(Duration::from_secs(2)).await;
    gateway.signal(Signal::SIGTERM);
    wait_until("it is not ready", async || !gateway.is_ready().await).await;
    let mut short = request("/again/x", "r1", None);
    short
        .headers_mut()
        .insert("x-deadline-ms", "500".parse().unwrap());
    let response = kept.send_request(short).await.unwrap();
    assert_eq!(text(response).await, "echo hello");
}

#[tokio::test]
async fn a_signal_to_reload_ends_nothing() {
    let fleet = start_fleet(1, &["plain"]).await;
    fleet.gateways[0].signal(Signal::SIGHUP);
    let gateway = &fleet.gateways[0];
    wait_until("it has read its settings", async || {
        gateway.logged().contains("reloaded")
    })
    .await;
    let response = call(&fleet.gateways[0], request("/again/x", "r1", None)).await;
    assert_eq!(response.status(), StatusCode::OK);
}

/// Found by the soak, seed 126: a box that was reloaded while it started had ended for good.
#[tokio::test]
async fn a_signal_to_reload_while_a_box_starts_does_not_end_it() {
    let mut fleet = start_fleet(1, &["plain"]).await;
    let gateway = &mut fleet.gateways[0];
    gateway.kill();
    gateway.restart_with_signal(Signal::SIGHUP).unwrap();
    wait_until("the box is ready", async || gateway.is_ready().await).await;
    assert!(!gateway.has_ended());
}
