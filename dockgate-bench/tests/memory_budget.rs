//! A flood from one workspace at a real daemon whose machine has little memory.

use bytes::Bytes;
use dockgate_bench::gateway_fleet::{
    GatewayFleet, GatewayProcess, KEYS, route_config, start_fleet, wait_until,
};
use dockgate_bench::standin::EndpointBehavior;
use dockgate_bench::standin::caller::{
    call, connect, connect_within, request, request_with_body, text,
};
use futures::future::join_all;
use http::StatusCode;
use http_body_util::BodyExt;
use std::fmt::Write as _;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const MEMORY_MB: u64 = 48;
const STREAMS: usize = 300;
const IDLE_CONNECTIONS: usize = 700;
const LARGE_BODIES: usize = 80;
const LARGE_BODY_BYTES: usize = 600_000;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts a box of [`MEMORY_MB`] with one endpoint, at which a request or an event takes 50 ms.
async fn start() -> GatewayFleet {
    let tenants = r#""tenants":[{"name":"notes","api_keys":["k9"]},"#;
    let config = route_config(3, KEYS)
        .replace(r#""service":"model""#, r#""service":"plain""#)
        .replace(r#""max_connections":100"#, r#""max_connections":3000"#)
        .replace(r#""timeout_ms":4000"#, r#""timeout_ms":30000"#)
        .replace(r#""max_body_bytes":10000"#, r#""max_body_bytes":1000000"#)
        .replace(r#""tenants":["#, tenants);
    let mut fleet = GatewayFleet::start(1, &["plain"], &config).await.unwrap();
    let (key, value) = fleet.endpoints[0].record("a", "ready");
    let value = value.replace(r#""capacity":8"#, r#""capacity":2000"#);
    fleet.store.set(&key, value);
    fleet.endpoints[0].set_processing_time(Duration::from_millis(50));
    let memory = format!("domain = a\nmemory_mb = {MEMORY_MB}\n");
    let edit = |text: &str| {
        text.replace("domain = a\n", &memory)
            .replace("descriptors = 300", "descriptors = 9000")
    };
    let gateway = &mut fleet.gateways[0];
    gateway.restart_with_settings(edit).unwrap();
    let gateway = &fleet.gateways[0];
    wait_until("the gateway is ready", async || gateway.is_ready().await).await;
    fleet
}

/// Opens a stream of which nothing is read.
async fn open_unread_stream(gateway: &GatewayProcess, number: usize) -> TcpStream {
    let mut stream = TcpStream::connect(gateway.caller_address()).await.unwrap();
    let head = format!(
        "POST /draft/x HTTP/1.1\r\nhost: h.example\r\nauthorization: Token k1\r\n\
         x-request-id: s{number}\r\nx-deadline-ms: 30000\r\nx-token-usage: 500,200\r\n\
         x-model: m\r\nx-prefix-hash: a{number}:400\r\ncontent-length: 4000\r\n\r\n"
    );
    let request = [head.as_bytes(), &[b'x'; 4_000]].concat();
    // A box without memory accepts no connection, so that the request stays unread.
    stream.write_all(&request).await.unwrap();
    stream
}

/// Sends a large body; returns the text of the answer, or `None` without one.
async fn send_large_body(gateway: &GatewayProcess, number: usize) -> Option<String> {
    let mut sender = connect_within(gateway.caller_address(), CONNECT_TIMEOUT).await?;
    let body = Bytes::from(vec![b'x'; LARGE_BODY_BYTES]);
    let large = request_with_body("/again/x", &format!("l{number}"), None, body);
    let response = sender.send_request(large).await.ok()?;
    let status = response.status();
    let mut line = text(response).await;
    line.truncate(40);
    write!(line, "{}", status.as_u16()).unwrap();
    Some(line)
}

/// Sends a request of the other workspace; returns the reason of its refusal, or `None` if it is
/// served.
async fn send_other(gateway: &GatewayProcess, number: usize) -> Option<String> {
    let mut other = request("/again/x", &format!("o{number}"), None);
    let key = "Token k9".parse().unwrap();
    other.headers_mut().insert("authorization", key);
    let mut sender = connect(gateway.caller_address()).await;
    let response = sender.send_request(other).await.unwrap();
    let is_served = response.status() == StatusCode::OK;
    let answer = text(response).await;
    (!is_served).then_some(answer)
}

/// Guards against a box that exceeds its memory under a flood, that refuses other workspaces
/// meanwhile, that loses refusals of unread bodies, or that refuses for ever after the flood.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn flood_of_one_workspace_stays_within_the_memory_and_others_are_served() {
    let fleet = start().await;
    let gateway = &fleet.gateways[0];
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        streams.push(open_unread_stream(gateway, number).await);
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let idle = (0..IDLE_CONNECTIONS).map(|_| TcpStream::connect(gateway.caller_address()));
    let idle = join_all(idle).await;
    let large = join_all((0..LARGE_BODIES).map(|number| send_large_body(gateway, number)));
    let others = async {
        let mut refusals = Vec::new();
        for number in 0..20 {
            refusals.push(send_other(gateway, number).await);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        refusals
    };
    let diverted = wait_until("new callers are diverted", async || {
        !gateway.is_ready().await
    });
    let (large, refusals, ()) = futures::join!(large, others, diverted);
    assert_eq!(refusals, vec![None; 20], "of the other workspace");
    let answers: Vec<String> = large.into_iter().flatten().collect();
    assert_eq!(answers.len(), LARGE_BODIES, "an answer was lost");
    let refused = answers
        .iter()
        .filter(|line| *line == "not_run: out_of_memory\n503");
    assert!(refused.count() > 0, "{answers:?}");
    // The system can drop pages that are mapped from files and read them again.
    let peak_kb = gateway.memory_kb("VmHWM") - gateway.memory_kb("RssFile");
    assert!(
        peak_kb > 0 && peak_kb * 10 < MEMORY_MB * 1_024 * 8,
        "peak of {peak_kb} kB"
    );
    let mut head = [0; 12];
    streams[0].read_exact(&mut head).await.unwrap();
    assert_eq!(
        &head, b"HTTP/1.1 200",
        "an admitted stream is not broken off"
    );
    drop((streams, idle));
    wait_until("the workspace is served again", async || {
        let answer = send_large_body(gateway, 900).await;
        answer.is_some_and(|line| line.ends_with("200")) && gateway.is_ready().await
    })
    .await;
    assert!(gateway.logged().contains("memory_short"));
}

/// Sends a stream until an event with its fingerprint is logged; returns the fingerprint. An endpoint
/// that failed before is not used at once.
async fn logged_print(gateway: &GatewayProcess, event: &str) -> String {
    let event = format!(r#""event":"{event}""#);
    wait_until(&event, async || {
        let body = Bytes::from(vec![b'x'; 2_000]);
        let request = request_with_body("/draft/x", "r1", Some(9), body);
        let response = call(gateway, request).await;
        // A stream that is broken off has no complete body.
        let _ = response.into_body().collect().await;
        gateway.logged().contains(&event)
    })
    .await;
    let log = gateway.logged();
    let line = log.lines().find(|line| line.contains(&event)).unwrap();
    let print = line.split_once(r#""print":""#).unwrap().1;
    print.split_once('"').unwrap().0.to_owned()
}

/// Guards against another fingerprint of a request whose body was released: quarantine would not
/// find it.
#[tokio::test]
async fn fingerprint_is_the_same_after_the_body_is_released() {
    let fleet = start_fleet(1, &["model"]).await;
    fleet.endpoints[0].set_behavior(EndpointBehavior::CutsAfter(2));
    let released = logged_print(&fleet.gateways[0], "broken_off").await;
    fleet.endpoints[0].set_behavior(EndpointBehavior::Loses);
    let kept = logged_print(&fleet.gateways[0], "send_failed").await;
    assert_eq!(released, kept);
}
