//! The versions at which streams began, in the platform's store.
//!
//! Guards against streams that cannot be taken up after all boxes have lost their memory, since the
//! store lacks their versions or has wrong ones.

use dockgate_bench::gateway_fleet::{GatewayFleet, KEYS, route_config, wait_until};
use dockgate_bench::standin::caller::{call, request};
use dockgate_core::gateway::{SoftwareVersion, StreamKey};
use dockgate_platform::{PlatformClient, STREAMS_KEY_PREFIX, decode_streams};
use futures::future::join_all;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::collections::BTreeMap;
use std::time::Duration;

/// Events of a whole stream.
const EVENTS: u64 = 12;
/// Time between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Streams that begin at one gateway at once.
const STREAMS: usize = 12;
/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts boxes in the failure domains and endpoints of one version.
async fn start_one_version(domains: &[&str]) -> GatewayFleet {
    let config = route_config(3, KEYS);
    let fleet = GatewayFleet::start_in(domains, &["model"; 3], &config).await;
    fleet.unwrap()
}

/// Starts boxes in the failure domains, three endpoints of v1 and three of v2.
async fn start_two_versions(domains: &[&str]) -> GatewayFleet {
    let mut fleet = start_one_version(domains).await;
    for number in 0..3 {
        let id = format!("v2-{number}");
        fleet
            .add_endpoint_of_version("v2", &id, "model")
            .await
            .unwrap();
        for gateway in &fleet.gateways {
            wait_until("a gateway knows the endpoint", async || {
                gateway.logged().contains(&format!("\"endpoint\":\"{id}\""))
            })
            .await;
        }
    }
    for endpoint in &fleet.endpoints {
        endpoint.set_processing_time(EVENT_INTERVAL);
    }
    fleet
}

/// Reads a stream up to its first event.
async fn read_first(response: &mut Response<Incoming>) {
    let mut read = String::new();
    while !read.contains("id: 1\n") {
        let frame = response.frame().await.expect("the stream goes on").unwrap();
        let data = frame.into_data().unwrap();
        read.push_str(std::str::from_utf8(&data).unwrap());
    }
}

/// Begins streams at each gateway and reads their first events; returns their ids.
async fn begin_streams(fleet: &GatewayFleet, name: &str) -> Vec<String> {
    let numbers = 0..STREAMS * fleet.gateways.len();
    let begun = numbers.map(async |number| {
        let id = format!("{name}-{number}");
        let gateway = &fleet.gateways[number % fleet.gateways.len()];
        let mut response = call(gateway, request("/live/x", &id, Some(EVENTS))).await;
        assert_eq!(response.status(), StatusCode::OK, "stream {id} begins");
        read_first(&mut response).await;
        id
    });
    join_all(begun).await
}

/// Returns the versions of the streams in the store.
async fn stored_versions(fleet: &GatewayFleet) -> BTreeMap<StreamKey, SoftwareVersion> {
    let client = PlatformClient::new(fleet.store.address, STORE_TIMEOUT);
    let listing = client.list(STREAMS_KEY_PREFIX).await.unwrap();
    let streams = listing
        .items
        .iter()
        .flat_map(|item| decode_streams(&item.key, &item.bytes).unwrap());
    streams.map(|stream| (stream.key, stream.version)).collect()
}

/// Returns the key of a stream and the version of the endpoint that ran it.
fn expected_version(fleet: &GatewayFleet, id: &str) -> (StreamKey, SoftwareVersion) {
    let mut endpoints = fleet.endpoints.iter();
    let endpoint = endpoints
        .find(|endpoint| endpoint.ran().iter().any(|run| run.id == id))
        .expect("an endpoint ran the stream");
    let version = SoftwareVersion::from_name(&endpoint.version);
    (StreamKey::new("captions", "model", id), version)
}

/// Waits until all streams are in the store, and checks their versions.
async fn check_stored(fleet: &GatewayFleet, ids: &[String]) {
    let expected = ids.iter().map(|id| expected_version(fleet, id));
    let expected: BTreeMap<StreamKey, SoftwareVersion> = expected.collect();
    wait_until("the streams are in the store", async || {
        let stored = stored_versions(fleet).await;
        expected.keys().all(|key| stored.contains_key(key))
    })
    .await;
    let stored = stored_versions(fleet).await;
    let versions: Vec<_> = expected.keys().map(|key| stored.get(key)).collect();
    assert_eq!(versions, expected.values().map(Some).collect::<Vec<_>>());
}

fn has_stored_keys(fleet: &GatewayFleet) -> bool {
    let keys = fleet.store.keys();
    keys.iter().any(|key| key.starts_with(STREAMS_KEY_PREFIX))
}

/// Guards also against records that stay after their streams can no longer be taken up.
#[tokio::test]
async fn begun_streams_are_stored_at_their_versions_for_as_long_as_they_live() {
    let fleet = start_two_versions(&["a", "a", "b"]).await;
    let ids = begin_streams(&fleet, "r").await;
    check_stored(&fleet, &ids).await;
    let versions: Vec<_> = ids
        .iter()
        .map(|id| expected_version(&fleet, id).1)
        .collect();
    assert!(versions.iter().any(|version| *version != versions[0]));
    wait_until("the records are removed", async || !has_stored_keys(&fleet)).await;
}

/// Guards against records that are lost with the box that wrote them.
#[tokio::test]
async fn stored_streams_outlive_all_boxes() {
    let mut fleet = start_two_versions(&["a", "b"]).await;
    let ids = begin_streams(&fleet, "r").await;
    check_stored(&fleet, &ids).await;
    for gateway in &mut fleet.gateways {
        gateway.kill();
    }
    check_stored(&fleet, &ids).await;
    for gateway in &mut fleet.gateways {
        gateway.restart().unwrap();
    }
    for gateway in &fleet.gateways {
        wait_until("a box is ready", async || gateway.is_ready().await).await;
    }
    let more = begin_streams(&fleet, "s").await;
    check_stored(&fleet, &more).await;
}

#[tokio::test]
async fn streams_begun_while_the_store_is_away_are_stored_after_its_return() {
    let fleet = start_two_versions(&["a", "b"]).await;
    fleet.store.set_unavailable(true);
    let ids = begin_streams(&fleet, "r").await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(!has_stored_keys(&fleet));
    fleet.store.set_unavailable(false);
    check_stored(&fleet, &ids).await;
}

/// Guards against a write that is taken for failed and blocks later ones.
#[tokio::test]
async fn streams_are_stored_after_lost_answers() {
    let fleet = start_two_versions(&["a", "b"]).await;
    fleet.store.set_drops_replies(true);
    let mut ids = begin_streams(&fleet, "r").await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.store.set_drops_replies(false);
    ids.extend(begin_streams(&fleet, "s").await);
    check_stored(&fleet, &ids).await;
}

/// Guards against records that the store has lost and the boxes take for stored.
#[tokio::test]
async fn streams_are_stored_again_after_the_store_came_back_from_an_older_copy() {
    let fleet = start_two_versions(&["a", "b"]).await;
    let ids = begin_streams(&fleet, "r").await;
    check_stored(&fleet, &ids).await;
    let snapshot = fleet.store.snapshot();
    let more = begin_streams(&fleet, "s").await;
    check_stored(&fleet, &more).await;
    fleet.store.restore(snapshot);
    check_stored(&fleet, &more).await;
    check_stored(&fleet, &ids).await;
}

/// Guards against a store that also lacks the lease of the records.
#[tokio::test]
async fn streams_are_stored_again_after_the_store_came_back_without_any() {
    let fleet = start_two_versions(&["a", "b"]).await;
    let snapshot = fleet.store.snapshot();
    let ids = begin_streams(&fleet, "r").await;
    check_stored(&fleet, &ids).await;
    fleet.store.restore(snapshot);
    check_stored(&fleet, &ids).await;
}

/// Guards against calls for a service whose streams need no records.
#[tokio::test]
async fn streams_of_the_only_version_are_not_stored() {
    let fleet = start_one_version(&["a", "b"]).await;
    begin_streams(&fleet, "r").await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(!has_stored_keys(&fleet));
    for gateway in &fleet.gateways {
        let metrics = gateway.metrics().await;
        let is_called = metrics.contains("streams_write") || metrics.contains("streams_list");
        assert!(!is_called, "{metrics}");
        let sent = metrics.contains("kind=\"streams\"") || metrics.contains("store_streams");
        assert!(!sent, "{metrics}");
    }
}
