//! Odd entries of another writer among the records of endpoints, while a fleet serves requests.

use dockgate_bench::gateway_fleet::{GatewayFleet, GatewayProcess, KEYS, route_config, wait_until};
use dockgate_bench::standin::caller::{all_events, connect_within, request};
use dockgate_bench::standin::{PlatformStandIn, RoutedStandIn};
use dockgate_platform::{
    ENDPOINT_KEY_PREFIX, OPERATOR_KEY_PREFIX, QUARANTINE_KEY_PREFIX, ROUTES_KEY,
};
use http::StatusCode;
use http_body_util::BodyExt;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinHandle;

/// Levels of nesting beyond which a recursive decoder exceeds the stack of a worker.
const LEVELS: usize = 40_000;
/// The length of the longest texts, in bytes.
const LONG: usize = 20_000;
/// How often callers send a request that was refused without being run.
const MAX_TRIES: usize = 4;
/// The length above which a log line counts as unbounded, in bytes.
const LOG_LINE_BYTES: usize = 4_096;

fn nested() -> String {
    format!("{}{}", "[".repeat(LEVELS), "]".repeat(LEVELS))
}

/// Returns a sound record with one field replaced by any JSON.
fn value_with(field: &str, json: &str) -> String {
    let mut record = json!({
        "service": "plain", "address": "192.0.2.1:80", "zone": "a", "version": "v1", "capacity": 8,
        "state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": 1_796_253_517_629_u64,
    });
    record[field] = Value::from("\u{1}");
    let text = record.to_string();
    text.replace(r#""\u0001""#, json)
}

/// Lists values that describe no usable endpoint.
fn odd_values() -> Vec<(&'static str, Vec<u8>)> {
    let with = |field, json: &str| value_with(field, json).into_bytes();
    let long = format!("{:?}", "x".repeat(LONG));
    vec![
        ("empty", Vec::new()),
        ("bytes", vec![0xff, 0xfe, 0x00, 0x80]),
        ("truncated", br#"{"service":"plain","#.to_vec()),
        ("nested", nested().into_bytes()),
        (
            "nested-objects",
            format!("{}0{}", r#"{"a":"#.repeat(LEVELS), "}".repeat(LEVELS)).into_bytes(),
        ),
        ("unclosed", "[".repeat(LEVELS).into_bytes()),
        ("capacity-nested", with("capacity", &nested())),
        ("version-nested", with("version", &nested())),
        ("capacity-zero", with("capacity", "0")),
        ("capacity-2-64", with("capacity", "18446744073709551616")),
        ("capacity-1e400", with("capacity", "1e400")),
        ("capacity-digits", with("capacity", &"9".repeat(400))),
        ("capacity-fraction", with("capacity", "7.5")),
        ("sequence-2-64", with("sequence", "18446744073709551616")),
        ("sequence-negative", with("sequence", "-1")),
        ("warmup-huge", with("warmup_left_ms", "1e300")),
        ("warmup-1e400", with("warmup_left_ms", "1e400")),
        ("warmup-negative", with("warmup_left_ms", "-0.5")),
        ("born-2-64", with("born", "18446744073709551615")),
        ("port-zero", with("address", r#""192.0.2.1:0""#)),
        ("port-65536", with("address", r#""192.0.2.1:65536""#)),
        ("port-negative", with("address", r#""192.0.2.1:-1""#)),
        (
            "port-digits",
            with("address", r#""192.0.2.1:99999999999999999999""#),
        ),
        ("address-any", with("address", r#""0.0.0.0:80""#)),
        ("address-multicast", with("address", r#""[ff02::1]:80""#)),
        ("address-long", with("address", &long)),
        ("service-long", with("service", &long)),
        ("zone-long", with("zone", &long)),
        ("version-long", with("version", &long)),
        ("state-long", with("state", &long)),
        ("surrogate", with("service", r#""\ud800""#)),
    ]
}

/// Lists values that describe an endpoint which does not serve the fleet's requests.
fn unused_values() -> Vec<(&'static str, Vec<u8>)> {
    let with = |field, json: &str| {
        let value = value_with(field, json).replace(r#""service":"plain""#, r#""service":"other""#);
        value.into_bytes()
    };
    vec![
        ("service-unknown", with("service", r#""nobody""#)),
        ("zone-unknown", with("zone", r#""nowhere\n\u0000\"é""#)),
        ("version-empty", with("version", r#""""#)),
        (
            "version-control",
            with("version", r#""v\n1\u0000é\ud83d\ude00""#),
        ),
        ("capacity-10000", with("capacity", "10000")),
        ("warmup-minus-zero", with("warmup_left_ms", "-0")),
        ("warmup-day", with("warmup_left_ms", "86400000")),
        ("born-2099", with("born", "4102444799999")),
        ("unknown-nested", with("more", &nested())),
        ("unknown-1e400", with("more", "[-1e400]")),
        (
            "address-broadcast",
            with("address", r#""255.255.255.255:65535""#),
        ),
    ]
}

/// Lists items of the store that have odd fields of their own.
fn odd_items() -> Vec<(&'static str, String)> {
    let item = |key: &str, fields: &str| format!(r#"{{"key_file":{key},{fields}}}"#);
    let rest = r#""value":"","revision":1,"created":1,"lease":0"#;
    vec![
        ("item-null", "null".to_owned()),
        ("item-nested", nested()),
        ("key-number", item("7", rest)),
        ("key-odd", item(r#""servers/ é\u0000\udc80&%/""#, rest)),
        (
            "value-null",
            item(r#""servers/value-null""#, r#""value":null,"revision":1"#),
        ),
        (
            "value-no-base64",
            item(
                r#""servers/value-no-base64""#,
                r#""value":"*","revision":1"#,
            ),
        ),
        (
            "revision-null",
            item(
                r#""servers/revision-null""#,
                r#""value":"","revision":null"#,
            ),
        ),
        (
            "revision-huge",
            item(
                r#""servers/revision-huge""#,
                r#""value":"","revision":9223372036854775807"#,
            ),
        ),
        (
            "revision-1e400",
            item(
                r#""servers/revision-1e400""#,
                r#""value":"","revision":1e400"#,
            ),
        ),
        (
            "lease-negative",
            item(
                r#""servers/lease-negative""#,
                r#""value":"","revision":1,"lease":-1"#,
            ),
        ),
        (
            "more-nested",
            item(
                r#""servers/more-nested""#,
                &format!(r#"{rest},"more":{}"#, nested()),
            ),
        ),
    ]
}

/// Callers that send requests and streams to all boxes, each on a new connection.
struct SteadyCallers {
    is_ending: Arc<AtomicBool>,
    served: Arc<AtomicU64>,
    failed: Arc<Mutex<Vec<String>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl SteadyCallers {
    fn start(addresses: &[SocketAddr]) -> Self {
        let (is_ending, served): (Arc<AtomicBool>, Arc<AtomicU64>) = Default::default();
        let failed: Arc<Mutex<Vec<String>>> = Arc::default();
        let paths = [("again", None), ("once", None), ("live", Some(10))];
        let routes = addresses
            .iter()
            .flat_map(|address| paths.map(|path| (*address, path)));
        let tasks = routes
            .enumerate()
            .map(|(caller, (address, (path, events)))| {
                let (is_ending, served, failed) =
                    (is_ending.clone(), served.clone(), failed.clone());
                tokio::spawn(async move {
                    for number in 0.. {
                        if is_ending.load(Ordering::Relaxed) {
                            return;
                        }
                        let id = format!("r{caller}x{number}");
                        match call_with_retries(address, path, &id, events).await {
                            Ok(()) => drop(served.fetch_add(1, Ordering::Relaxed)),
                            Err(cause) => {
                                failed.lock().unwrap().push(format!("{path} {id}: {cause}"));
                            }
                        }
                        tokio::time::sleep(Duration::from_millis(10)).await;
                    }
                })
            });
        let tasks = tasks.collect();
        Self {
            is_ending,
            served,
            failed,
            tasks,
        }
    }

    /// Ends the callers; returns the numbers of requests that were served, and the failures.
    async fn end(self) -> (u64, Vec<String>) {
        self.is_ending.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.unwrap();
        }
        let failed = self.failed.lock().unwrap().clone();
        (self.served.load(Ordering::Relaxed), failed)
    }
}

/// Sends a request, and sends it again if it was refused without being run, as callers do.
async fn call_with_retries(
    address: SocketAddr,
    path: &str,
    id: &str,
    events: Option<u64>,
) -> Result<(), String> {
    let mut outcome = Err(String::new());
    for _ in 0..MAX_TRIES {
        outcome = call_once(address, path, id, events).await;
        match &outcome {
            Err(cause) if cause.contains("not_run") => {
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
            _ => break,
        }
    }
    outcome
}

async fn call_once(
    address: SocketAddr,
    path: &str,
    id: &str,
    events: Option<u64>,
) -> Result<(), String> {
    let connected = connect_within(address, Duration::from_secs(5)).await;
    let mut sender = connected.ok_or("cannot connect")?;
    let request = request(&format!("/{path}/x"), id, events);
    let response = sender
        .send_request(request)
        .await
        .map_err(|error| error.to_string())?;
    let status = response.status();
    let body = response
        .into_body()
        .collect()
        .await
        .map_err(|error| error.to_string())?;
    let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    let expected = events.map_or_else(|| "echo hello".to_owned(), all_events);
    match status == StatusCode::OK && body == expected {
        true => Ok(()),
        false => Err(format!("{status}: {body}")),
    }
}

async fn start_fleet() -> GatewayFleet {
    let services = ["plain", "plain", "model", "model"];
    let domains = ["a", "a", "b", "b"];
    let started = GatewayFleet::start_in(&domains, &services, &route_config(3, KEYS)).await;
    let mut fleet = started.expect("a fleet starts on loopback");
    for (id, service) in [("b-plain", "plain"), ("b-model", "model")] {
        fleet.add_endpoint_in("b", id, service).await.unwrap();
    }
    fleet
}

fn endpoint<'a>(fleet: &'a GatewayFleet, id: &str) -> &'a RoutedStandIn {
    let key = format!("{ENDPOINT_KEY_PREFIX}{id}");
    let mut endpoints = fleet.endpoints.iter();
    endpoints
        .find(|endpoint| endpoint.record("a", "ready").0 == key)
        .unwrap()
}

/// Waits until the log of each box has a line with both texts after the first `skip` bytes.
async fn wait_for_line(fleet: &GatewayFleet, skip: &[usize], event: &str, text: &str) {
    for (at, gateway) in fleet.gateways.iter().enumerate() {
        wait_until(&format!("box {at} logs {event} with {text}"), async || {
            let log = gateway.logged();
            let mut lines = log[skip[at]..].lines();
            lines.any(|line| line.contains(event) && line.contains(text))
        })
        .await;
    }
}

fn log_lengths(fleet: &GatewayFleet) -> Vec<usize> {
    fleet
        .gateways
        .iter()
        .map(|gateway| gateway.logged().len())
        .collect()
}

/// Lets an endpoint join, another one drain, and waits until each box has heard of both.
async fn change_endpoints(fleet: &mut GatewayFleet, round: &str) {
    let skip = log_lengths(fleet);
    let (joining, leaving) = (format!("joins-{round}"), format!("leaves-{round}"));
    fleet.add_endpoint_in("b", &leaving, "plain").await.unwrap();
    wait_for_line(fleet, &skip, "endpoint_ready", &leaving).await;
    fleet.add_endpoint_in("b", &joining, "plain").await.unwrap();
    let (key, draining) = endpoint(fleet, &leaving).record("b", "draining");
    fleet.store.set(&key, draining);
    wait_for_line(fleet, &skip, "endpoint_ready", &joining).await;
    wait_for_line(fleet, &skip, "endpoint_draining", &leaving).await;
    fleet.store.remove(&key);
    wait_for_line(fleet, &skip, "endpoint_gone", &leaving).await;
}

/// Checks that no box has ended, panicked, failed to read an answer of the store or written a log
/// line without bound.
fn check_boxes(fleet: &mut GatewayFleet) {
    for gateway in &mut fleet.gateways {
        assert!(!gateway.has_exited());
        let log = gateway.logged();
        let is_fault = |line: &&str| {
            let is_unread = line.contains("store_lost") && line.contains("platform key");
            is_unread || line.contains("panicked") || line.len() > LOG_LINE_BYTES
        };
        let faults = log.lines().filter(is_fault);
        let faults: Vec<String> = faults
            .map(|line| line.chars().take(400).collect())
            .collect();
        assert!(faults.is_empty(), "{faults:#?}");
    }
}

/// Writes odd entries beside the records of endpoints.
fn write_beside(store: &PlatformStandIn, values: &[(&str, Vec<u8>)]) {
    for (name, value) in values {
        store.set(&format!("{ENDPOINT_KEY_PREFIX}odd-{name}"), value.clone());
    }
}

/// Guards against boxes that end, or stop following the store, for an odd entry of another writer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_entries_beside_records_are_harmless() {
    let mut fleet = start_fleet().await;
    let addresses = fleet.gateways.iter().map(GatewayProcess::caller_address);
    let callers = SteadyCallers::start(&addresses.collect::<Vec<_>>());
    write_beside(&fleet.store, &odd_values());
    change_endpoints(&mut fleet, "values").await;
    write_beside(&fleet.store, &unused_values());
    change_endpoints(&mut fleet, "unused").await;
    for (name, json) in odd_items() {
        fleet
            .store
            .set_odd_item(&format!("{ENDPOINT_KEY_PREFIX}{name}"), json);
    }
    for prefix in [OPERATOR_KEY_PREFIX, QUARANTINE_KEY_PREFIX] {
        let value = format!(r#"{{"key_file":"{prefix}odd","value":null,"revision":1e400}}"#);
        fleet
            .store
            .set_odd_item(&format!("{prefix}null"), "null".to_owned());
        fleet.store.set_odd_item(&format!("{prefix}odd"), value);
    }
    change_endpoints(&mut fleet, "items").await;
    let skip = log_lengths(&fleet);
    fleet.store.set(ROUTES_KEY, route_config(4, KEYS));
    wait_for_line(&fleet, &skip, "routes_in_force", r#""version":4,"#).await;
    let (served, failed) = callers.end().await;
    assert!(
        failed.is_empty(),
        "{} of {served}: {failed:#?}",
        failed.len()
    );
    check_boxes(&mut fleet);

    // All boxes list all entries when they start.
    for gateway in &mut fleet.gateways {
        gateway.kill();
    }
    for gateway in &mut fleet.gateways {
        gateway.restart().unwrap();
    }
    for gateway in &fleet.gateways {
        wait_until("a restarted box is ready", async || {
            gateway.is_ready().await
        })
        .await;
    }
    let addresses = fleet.gateways.iter().map(GatewayProcess::caller_address);
    let callers = SteadyCallers::start(&addresses.collect::<Vec<_>>());
    change_endpoints(&mut fleet, "restarted").await;
    let (served, failed) = callers.end().await;
    assert!(served > 0 && failed.is_empty(), "{failed:#?}");
    check_boxes(&mut fleet);
}

/// Guards against an odd entry over a record that takes its endpoint out for good.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn next_record_brings_an_endpoint_back() {
    let mut fleet = start_fleet().await;
    let addresses = fleet.gateways.iter().map(GatewayProcess::caller_address);
    let callers = SteadyCallers::start(&addresses.collect::<Vec<_>>());
    let (key, valid) = endpoint(&fleet, "life-0").record("a", "ready");
    for (name, value) in odd_values() {
        let skip = log_lengths(&fleet);
        println!("{name} over a record");
        fleet.store.set(&key, value);
        wait_for_line(&fleet, &skip, "endpoint_unusable", "life-0").await;
        fleet.store.set(&key, valid.clone());
        wait_for_line(&fleet, &skip, "endpoint_ready", "life-0").await;
    }
    // Each of these may seem to be of another lifetime.
    for (_, value) in unused_values() {
        fleet.store.set(&key, value);
        tokio::time::sleep(Duration::from_millis(50)).await;
        fleet.store.set(&key, valid.clone());
    }
    for (name, json) in odd_items() {
        let json = json.replace(&format!("servers/{name}"), &key);
        fleet.store.set_odd_item(&key, json);
        tokio::time::sleep(Duration::from_millis(50)).await;
        fleet.store.set(&key, valid.clone());
    }
    change_endpoints(&mut fleet, "over").await;
    let before = endpoint(&fleet, "life-0").ran().len();
    wait_until("the endpoint serves again", async || {
        endpoint(&fleet, "life-0").ran().len() > before
    })
    .await;
    let (served, failed) = callers.end().await;
    assert!(
        failed.is_empty(),
        "{} of {served}: {failed:#?}",
        failed.len()
    );
    check_boxes(&mut fleet);
}
