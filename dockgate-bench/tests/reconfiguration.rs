//! Requests that are in progress while a box gets another configuration or other settings, or stops.

use dockgate_bench::gateway_fleet::{GatewayFleet, KEYS, route_config, wait_until};
use nix::sys::signal::Signal;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use yare::parameterized;

/// Size of a body that fits into no socket buffer.
const LARGE_BODY_BYTES: usize = 9_900_000;
/// Receive buffer of a caller that reads slowly.
const READ_BUFFER_BYTES: u32 = 64 << 10;

fn config(version: u64) -> String {
    route_config(version, KEYS).replace(
        r#""max_body_bytes":10000"#,
        r#""max_body_bytes":10000000,"max_header_bytes":8192"#,
    )
}

async fn start() -> GatewayFleet {
    GatewayFleet::start(1, &["plain", "model"], &config(3))
        .await
        .unwrap()
}

/// Puts a configuration in force.
async fn apply(fleet: &GatewayFleet, version: u64, config: String) {
    fleet.store.set(dockgate_platform::ROUTES_KEY, config);
    let in_force = format!(r#""version":{version},"#);
    wait_until("the configuration is in force", async || {
        let logged = fleet.gateways[0].logged();
        let mut lines = logged.lines();
        lines.any(|line| line.contains("routes_in_force") && line.contains(&in_force))
    })
    .await;
}

/// Connects with a small receive buffer.
async fn connect(fleet: &GatewayFleet) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(READ_BUFFER_BYTES).unwrap();
    let address = fleet.gateways[0].caller_address();
    socket.connect(address).await.unwrap()
}

fn head(path: &str, id: &str, body_bytes: usize, extra: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: h.example\r\nauthorization: Token k1\r\n\
         x-request-id: {id}\r\nx-deadline-ms: 3000\r\ncontent-length: {body_bytes}\r\n{extra}\r\n"
    )
}

/// Reads the head of an answer; returns it and the bytes of the body that were read with it.
async fn read_head(stream: &mut TcpStream) -> (String, Vec<u8>) {
    let mut read = Vec::new();
    loop {
        let mut buffer = [0; 4_096];
        let count = stream.read(&mut buffer).await.unwrap();
        assert_ne!(count, 0, "the connection ended in the head of the answer");
        read.extend_from_slice(&buffer[..count]);
        let end = read.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        if let Some(end) = end {
            let body = read.split_off(end + 4);
            return (String::from_utf8(read).unwrap(), body);
        }
    }
}

/// A change that makes a box refuse requests by their heads.
#[derive(Debug, Clone, Copy)]
enum Change {
    RouteRemoved,
    KeyRevoked,
    ServiceRemoved,
    BodyLimitReduced,
    Stop,
}

#[tokio::main]
async fn refuse_while_the_body_arrives(change: Change, status: &str) {
    let fleet = start().await;
    let removed = match change {
        Change::RouteRemoved => config(4).replace("/again/", "/other/"),
        Change::KeyRevoked => config(4).replace(r#""k1","#, ""),
        Change::ServiceRemoved => config(4).replace(r#""name":"plain""#, r#""name":"other""#),
        Change::BodyLimitReduced => config(4).replace("10000000", "10000"),
        Change::Stop => String::new(),
    };
    let mut stream = connect(&fleet).await;
    if removed.is_empty() {
        fleet.gateways[0].signal(Signal::SIGTERM);
        let gateway = &fleet.gateways[0];
        wait_until("the box is not ready", async || !gateway.is_ready().await).await;
    } else {
        apply(&fleet, 4, removed).await;
    }
    let head = head("/again/x", "r1", 300_000, "");
    let head = head.replace("x-deadline-ms: 3000", "x-deadline-ms: 3900");
    stream.write_all(head.as_bytes()).await.unwrap();
    // The refusal is written long before the body has arrived.
    for _ in 0..30 {
        let written = stream.write_all(&[b'x'; 10_000]).await;
        written.expect("the box reads the body");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let (answer, _) = read_head(&mut stream).await;
    assert!(answer.starts_with(status), "{answer}");
}

/// Guards against a refusal whose connection is closed while the caller still sends the body, so
/// that the caller sees a reset in place of the refusal.
#[parameterized(
    route_removed = { Change::RouteRemoved, "HTTP/1.1 404" },
    key_revoked = { Change::KeyRevoked, "HTTP/1.1 401" },
    service_removed = { Change::ServiceRemoved, "HTTP/1.1 503" },
    body_limit_reduced = { Change::BodyLimitReduced, "HTTP/1.1 413" },
    stop = { Change::Stop, "HTTP/1.1 503" },
)]
fn callers_get_refusals_that_precede_their_bodies(change: Change, status: &str) {
    refuse_while_the_body_arrives(change, status);
}

/// A change that closes idle connections.
#[derive(Debug, Clone, Copy)]
enum IdleChange {
    IdleTimeoutReduced,
    MemoryReduced,
    Stop,
}

#[tokio::main]
async fn change_while_an_answer_is_read(change: IdleChange) {
    let fleet = start().await;
    let mut stream = connect(&fleet).await;
    let head = head("/once/x", "r1", LARGE_BODY_BYTES, "");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
        .write_all(&vec![b'x'; LARGE_BODY_BYTES])
        .await
        .unwrap();
    let (answer, body) = read_head(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    match change {
        IdleChange::IdleTimeoutReduced => {
            let limits = r#""max_body_bytes":10000000,"idle_timeout_ms":100"#;
            let reduced = config(4).replace(r#""max_body_bytes":10000000"#, limits);
            apply(&fleet, 4, reduced).await;
        }
        IdleChange::MemoryReduced => {
            let reduced = |text: &str| text.replace("domain = a\n", "domain = a\nmemory_mb = 12\n");
            fleet.gateways[0].edit_settings(reduced).unwrap();
            fleet.gateways[0].signal(Signal::SIGHUP);
        }
        IdleChange::Stop => {
            let gateway = &fleet.gateways[0];
            let longer = |text: &str| text.replace("stop_grace_s = 4", "stop_grace_s = 12");
            gateway.edit_settings(longer).unwrap();
            gateway.signal(Signal::SIGHUP);
            wait_until("the box has reloaded its settings", async || {
                gateway.logged().contains("reloaded")
            })
            .await;
            gateway.signal(Signal::SIGTERM);
        }
    }
    let mut read = body.len();
    let mut buffer = vec![0; 128 << 10];
    while read < LARGE_BODY_BYTES + "echo ".len() {
        tokio::time::sleep(Duration::from_millis(25)).await;
        let count = stream.read(&mut buffer).await;
        let count = count.unwrap_or_else(|error| panic!("{error} after {read} bytes"));
        assert_ne!(count, 0, "the connection ended after {read} bytes");
        read += count;
    }
}

/// Guards against taking a connection for idle while its caller still reads the answer.
#[parameterized(
    idle_timeout_reduced = { IdleChange::IdleTimeoutReduced },
    memory_reduced = { IdleChange::MemoryReduced },
    stop = { IdleChange::Stop },
)]
fn answers_to_slow_readers_are_not_cut(change: IdleChange) {
    change_while_an_answer_is_read(change);
}

/// Guards against a panic on unusual values, by which a caller would get neither an answer nor a
/// refusal.
#[parameterized(
    no_objective = { r#""target_latency_ms":500"#, r#""target_latency_ms":0,"target_gap_ms":0"# },
    no_timeout = { r#""timeout_ms":4000"#, r#""timeout_ms":0"# },
    longest_timeout = { r#""timeout_ms":4000"#, r#""timeout_ms":1e300"# },
    no_slots = { r#""capacity":8"#, r#""capacity":0"# },
    no_engine_memory = { r#""kv_capacity_tokens":100000"#, r#""kv_capacity_tokens":0"# },
    no_connections = { r#""max_connections":100"#, r#""max_connections":0"# },
    no_limits = { r#""max_body_bytes":10000000,"max_header_bytes":8192"#,
        r#""max_body_bytes":0,"max_header_bytes":0,"header_timeout_ms":0,"idle_timeout_ms":0"# },
    many_attempts = { r#""max_attempts":2"#, r#""max_attempts":4294967295"# },
    no_weight = { r#""service":"model""#, r#""weighted_services":[{"service":"model","weight":0}]"# },
    no_service = { r#""service":"model""#, r#""weighted_services":[]"# },
    no_engine = { r#""name":"model","max_connections":100,"#, r#""name":"model","max_connections":100,"was":1,"# },
    throughput = { r#""max_body_bytes":10000000"#, r#""max_body_bytes":10000000,"tokens_per_s":1e-300"# },
)]
fn unusual_configurations_break_no_request(from: &str, to: &str) {
    check_unusual(Some((from, to)), None);
}

#[parameterized(
    no_windows = { "share_window_s = 0\nretry_window_s = 0\nretry_ratio = 0\nretry_slack = 0" },
    long_windows = { "share_window_s = 1e300\nretry_window_s = 1e300\nretry_ratio = 1e300" },
    no_grace = { "drain_ms = 500\nwarmup_slack = 1e300\nwarmup_overshoot = 1e300" },
)]
fn unusual_settings_break_no_request(settings: &str) {
    check_unusual(None, Some(settings));
}

#[tokio::main]
async fn check_unusual(config_change: Option<(&str, &str)>, settings: Option<&str>) {
    let fleet = start().await;
    let gateway = &fleet.gateways[0];
    if let Some((from, to)) = config_change {
        let changed = config(4).replace(from, to);
        assert_ne!(changed, config(4));
        apply(&fleet, 4, changed).await;
    }
    if let Some(settings) = settings {
        gateway.add_setting(settings).unwrap();
        gateway.signal(Signal::SIGHUP);
        wait_until("the box has reloaded its settings", async || {
            gateway.logged().contains("reloaded")
        })
        .await;
    }
    for (number, path) in ["/again/x", "/once/x", "/live/x", "/draft/x"]
        .iter()
        .enumerate()
    {
        let mut stream = connect(&fleet).await;
        let prompt = "x-model: m\r\nx-token-usage: 500,3\r\nx-prefix-hash: a1:400,b2:100\r\n";
        let head = head(path, &format!("r{number}"), 5, prompt);
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(b"hello").await.unwrap();
        let (answer, _) = read_head(&mut stream).await;
        assert!(answer.starts_with("HTTP/1.1 "), "{answer}");
    }
    assert!(
        !gateway.logged().contains("panicked"),
        "{}",
        gateway.logged()
    );
}

/// Guards against a stopping box that admits requests by a grace period which is no longer in the
/// settings, and is killed before they are answered.
#[tokio::test]
async fn stopping_box_uses_the_grace_period_in_its_settings() {
    let fleet = start().await;
    let mut stream = connect(&fleet).await;
    let gateway = &fleet.gateways[0];
    let shorter = |text: &str| text.replace("stop_grace_s = 4", "stop_grace_s = 2");
    gateway.edit_settings(shorter).unwrap();
    gateway.signal(Signal::SIGTERM);
    wait_until("the box is not ready", async || !gateway.is_ready().await).await;
    let head = head("/once/x", "r1", 0, "").replace("x-deadline-ms: 3000", "x-deadline-ms: 2500");
    stream.write_all(head.as_bytes()).await.unwrap();
    let (answer, _) = read_head(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
}

/// Guards against a box that stays with a store at an address that is no longer in its settings.
#[parameterized(
    with_a_signal = { true },
    without_a_signal = { false },
)]
#[test_macro(tokio::test)]
async fn changed_address_of_the_store_is_followed(signal: bool) {
    let fleet = start().await;
    let gateway = &fleet.gateways[0];
    let old = &fleet.store_listeners[0];
    let new = fleet.store.open_listener().await.unwrap();
    let moved = |text: &str| text.replace(&old.address.to_string(), &new.address.to_string());
    gateway.edit_settings(moved).unwrap();
    if signal {
        gateway.signal(Signal::SIGHUP);
    }
    wait_until("the box has reloaded its settings", async || {
        gateway.logged().contains("\"reloaded\"")
    })
    .await;
    old.set_silent(true);
    apply(&fleet, 4, config(4)).await;
    let (key, record) = fleet.endpoints[0].record("a", "draining");
    fleet.store.set(&key, record);
    wait_until("the box knows that the endpoint leaves", async || {
        gateway.logged().contains("endpoint_draining")
    })
    .await;
}

/// Sends a request on a connection that may have ended; returns the head of its answer.
async fn answer_on(stream: &mut TcpStream, id: &str, extra: &str) -> Option<String> {
    let head = head("/again/x", id, 0, extra);
    stream.write_all(head.as_bytes()).await.ok()?;
    let mut read = Vec::new();
    while !read.ends_with(b"echo ") {
        if stream.read_buf(&mut read).await.ok()? == 0 {
            break;
        }
    }
    Some(String::from_utf8(read).unwrap()).filter(|answer| !answer.is_empty())
}

/// Guards against denying requests by a limit of heads that is no longer in force, on connections that
/// were opened under it.
#[parameterized(
    raised = { 32_768 },
    reduced = { 4_096 },
)]
#[test_macro(tokio::test)]
async fn changed_limit_of_heads_reaches_kept_connections(max_header_bytes: usize) {
    const TRIES: usize = 40;
    let fleet = start().await;
    let (mut used, mut resting) = (connect(&fleet).await, connect(&fleet).await);
    for stream in [&mut used, &mut resting] {
        let answer = answer_on(stream, "r1", "").await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(!answer.contains("connection: close"), "{answer}");
    }
    let limit = format!(r#""max_header_bytes":{max_header_bytes}"#);
    let changed = config(4).replace(r#""max_header_bytes":8192"#, &limit);
    apply(&fleet, 4, changed).await;
    let mut ends = false;
    for number in 0..TRIES {
        let answer = answer_on(&mut used, &format!("u{number}"), "").await;
        ends = answer.is_none_or(|answer| answer.contains("connection: close"));
        if ends {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(ends, "a connection in use keeps the limit");
    let mut rest = Vec::new();
    let closed = tokio::time::timeout(Duration::from_secs(5), resting.read_to_end(&mut rest));
    closed.await.expect("a resting connection ends").unwrap();
    let long = format!("x-long: {}\r\n", "x".repeat(max_header_bytes / 2));
    let answer = answer_on(&mut connect(&fleet).await, "r2", &long)
        .await
        .unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}
