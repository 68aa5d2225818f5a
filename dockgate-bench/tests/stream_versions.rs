//! Streams of a service whose endpoints run several software versions.
//!
//! Guards against streams that hold events of two versions, and against streams that are refused
//! although their version is known and served.

use dockgate_bench::gateway_fleet::{GatewayFleet, KEYS, route_config, wait_until};
use dockgate_bench::standin::EndpointBehavior;
use dockgate_bench::standin::caller::{all_events, call, request, text};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use std::collections::BTreeSet;
use std::time::Duration;

/// Events of a whole stream.
const EVENTS: u64 = 12;
/// Time between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Streams of one test.
const STREAMS: u64 = 30;

/// Starts boxes in the failure domains, three endpoints of v1 and three of v2.
async fn start_two_versions(domains: &[&str]) -> GatewayFleet {
    let services = ["model"; 3];
    let config = route_config(3, KEYS);
    let mut fleet = GatewayFleet::start_in(domains, &services, &config)
        .await
        .unwrap();
    add_version(&mut fleet, "v2", 3).await;
    for endpoint in &fleet.endpoints {
        endpoint.set_processing_time(EVENT_INTERVAL);
    }
    fleet
}

/// Starts endpoints of a version and waits until all boxes know them.
async fn add_version(fleet: &mut GatewayFleet, version: &str, count: usize) {
    for number in 0..count {
        let id = format!("{version}-{number}");
        fleet
            .add_endpoint_of_version(version, &id, "model")
            .await
            .unwrap();
        for gateway in &fleet.gateways {
            wait_until("a gateway knows the endpoint", async || {
                gateway.logged().contains(&format!("\"endpoint\":\"{id}\""))
            })
            .await;
        }
    }
}

fn stream_request(id: &str) -> Request<Full<Bytes>> {
    request("/live/x", id, Some(EVENTS))
}

/// Creates the request with which a caller takes up its stream `began` after an event.
fn take_up_request(id: &str, began: &str, after_event: u64) -> Request<Full<Bytes>> {
    let mut request = stream_request(id);
    let headers = request.headers_mut();
    headers.insert("last-event-id", after_event.into());
    headers.insert("resumes", began.parse().unwrap());
    request
}

/// Reads a stream up to its event `last`; the caller disconnects when the answer is dropped.
async fn read_until(response: &mut Response<Incoming>, last: u64) {
    let wanted = format!("id: {last}\n");
    let mut read = String::new();
    while !read.contains(&wanted) {
        let frame = response.frame().await.expect("the stream goes on").unwrap();
        let data = frame.into_data().unwrap();
        read.push_str(std::str::from_utf8(&data).unwrap());
    }
}

/// Returns the versions of the endpoints that ran the requests.
fn versions_of<'a>(fleet: &'a GatewayFleet, ids: &[&str]) -> BTreeSet<&'a str> {
    let endpoints = fleet.endpoints.iter().filter(|endpoint| {
        let runs = endpoint.ran();
        runs.iter().any(|run| ids.contains(&run.id.as_str()))
    });
    endpoints
        .map(|endpoint| endpoint.version.as_str())
        .collect()
}

/// Begins streams at a gateway and reads their first events; the answers stay open.
async fn begin_streams(fleet: &GatewayFleet, gateway: usize) -> Vec<(String, Response<Incoming>)> {
    let mut begun = Vec::new();
    for number in 0..STREAMS {
        let id = format!("r{number}");
        let mut response = call(&fleet.gateways[gateway], stream_request(&id)).await;
        assert_eq!(response.status(), StatusCode::OK, "stream {number} begins");
        read_until(&mut response, 2).await;
        begun.push((id, response));
    }
    begun
}

/// Takes up streams after their second event and returns how many were served.
async fn take_up_all(fleet: &GatewayFleet, gateway: usize, ids: &[String]) -> usize {
    let mut served = 0;
    for began in ids {
        let id = format!("{began}-again");
        let response = call(&fleet.gateways[gateway], take_up_request(&id, began, 2)).await;
        if response.status() == StatusCode::OK {
            let rest = all_events(EVENTS).replace(&all_events(2), "");
            assert_eq!(text(response).await, rest);
            served += 1;
        }
        let versions = versions_of(fleet, &[began, &id]);
        assert_eq!(versions.len(), 1, "versions of stream {began}");
    }
    served
}

#[tokio::test]
async fn stream_resumed_within_an_answer_stays_at_its_version() {
    let fleet = start_two_versions(&["a", "a"]).await;
    fleet.endpoints[0].set_behavior(EndpointBehavior::CutsAfter(4));
    let mut resumed = 0;
    for number in 0..STREAMS {
        let id = format!("r{number}");
        let response = call(&fleet.gateways[0], stream_request(&id)).await;
        assert_eq!(text(response).await, all_events(EVENTS));
        let versions = versions_of(&fleet, &[&id]);
        assert_eq!(versions.len(), 1, "versions of stream {id}");
        resumed += usize::from(fleet.runs_of(&id) > 1);
    }
    assert!(resumed > 0, "no stream was resumed");
}

#[tokio::test]
async fn stream_taken_up_at_another_box_stays_at_its_version() {
    let fleet = start_two_versions(&["a", "a", "b"]).await;
    let begun = begin_streams(&fleet, 0).await;
    let ids: Vec<String> = begun.into_iter().map(|(id, _)| id).collect();
    let served = take_up_all(&fleet, 1, &ids).await;
    assert_eq!(served, ids.len(), "streams that were taken up");
}

#[tokio::test]
async fn stream_of_a_killed_box_stays_at_its_version() {
    let mut fleet = start_two_versions(&["a", "a", "b"]).await;
    let begun = begin_streams(&fleet, 0).await;
    let ids: Vec<String> = begun.iter().map(|(id, _)| id.clone()).collect();
    fleet.gateways[0].kill();
    drop(begun);
    let served = take_up_all(&fleet, 2, &ids).await;
    assert!(served * 2 >= ids.len(), "{served} streams were taken up");
}
