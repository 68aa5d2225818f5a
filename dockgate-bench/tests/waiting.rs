//! Requests that wait at the owner of a full endpoint, in a fleet whose conditions ask for it.

use bytes::Bytes;
use dockgate_bench::gateway_fleet::{GatewayFleet, KEYS, route_config, wait_until};
use dockgate_bench::standin::caller::{connect, request};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use nix::sys::signal::Signal;
use tokio::task::JoinHandle;

/// The requests that an endpoint with eight slots gets at most.
const FULL: i64 = 12;

/// Starts two boxes and a plain endpoint whose requests may wait for almost two seconds.
async fn start_contended_fleet() -> GatewayFleet {
    let config = route_config(3, KEYS)
        .replace(r#""target_latency_ms":500"#, r#""target_latency_ms":8000"#)
        .replace(r#""timeout_ms":4000"#, r#""timeout_ms":60000"#);
    let fleet = GatewayFleet::start(2, &["plain"], &config).await.unwrap();
    for gateway in &fleet.gateways {
        gateway.add_setting("conditions = pressure").unwrap();
        gateway.signal(Signal::SIGHUP);
        wait_until("the settings are read", async || {
            gateway.logged().contains(r#""reloaded""#)
        })
        .await;
    }
    fleet
}

fn patient_request(id: &str) -> Request<Full<Bytes>> {
    let mut request = request("/again/x", id, None);
    let headers = request.headers_mut();
    headers.insert("x-deadline-ms", "60000".parse().unwrap());
    request
}

/// Sends a request to a box; the caller disconnects when the task is aborted.
fn send(fleet: &GatewayFleet, index: usize, id: &str) -> JoinHandle<StatusCode> {
    let address = fleet.gateways[index].caller_address();
    let request = patient_request(id);
    tokio::spawn(async move {
        let mut sender = connect(address).await;
        let response = sender.send_request(request).await.unwrap();
        let status = response.status();
        let _ = response.into_body().collect().await;
        status
    })
}

/// Sends requests to the first box until the endpoint gets no more.
async fn fill(fleet: &GatewayFleet) -> Vec<JoinHandle<StatusCode>> {
    fleet.endpoints[0].set_processing_time(std::time::Duration::from_secs(60));
    let sent = (0..FULL).map(|number| send(fleet, 0, &format!("r{number}")));
    let sent = sent.collect();
    wait_until("the endpoint is full", async || {
        fleet.endpoints[0].running() == FULL
    })
    .await;
    sent
}

/// Returns the value of a metric at a box, or 0 if it has none.
async fn metric(fleet: &GatewayFleet, index: usize, name: &str) -> i64 {
    let metrics = fleet.gateways[index].metrics().await;
    let values = metrics.lines().filter_map(|line| line.strip_prefix(name));
    values
        .filter_map(|value| value.trim().parse::<i64>().ok())
        .sum()
}

const WAITING: &str = r#"dockgate_endpoint_waiting_requests{service="plain"}"#;
const LEFT: &str = r#"dockgate_endpoint_waits_total{outcome="left",service="plain"}"#;

async fn total(fleet: &GatewayFleet, name: &str) -> i64 {
    metric(fleet, 0, name).await + metric(fleet, 1, name).await
}

/// Guards against callers that have left but keep a place in the queue, or a count at the owner.
#[tokio::test]
async fn callers_that_disconnect_leave_the_queue() {
    let fleet = start_contended_fleet().await;
    let sent = fill(&fleet).await;
    let waiting = [send(&fleet, 0, "w0"), send(&fleet, 1, "w1")];
    wait_until("both wait", async || total(&fleet, WAITING).await == 2).await;
    for caller in &waiting {
        caller.abort();
    }
    wait_until("both left", async || total(&fleet, LEFT).await == 2).await;
    assert_eq!(total(&fleet, WAITING).await, 0);
    // Each place that the first requests leave is granted again.
    for caller in &sent {
        caller.abort();
    }
    wait_until("the endpoint is idle", async || {
        fleet.endpoints[0].running() == 0
    })
    .await;
    let _again = fill(&fleet).await;
    assert_eq!(fleet.runs_of("w0") + fleet.runs_of("w1"), 0);
}

/// Guards against callers that are held for as long as their owner does not answer, and against
/// requests that run although the refusal says that they did not.
#[tokio::test]
async fn requests_are_refused_when_their_owner_is_killed() {
    let mut fleet = start_contended_fleet().await;
    let _sent = fill(&fleet).await;
    let waiting = [send(&fleet, 0, "w0"), send(&fleet, 1, "w1")];
    wait_until("both wait", async || total(&fleet, WAITING).await == 2).await;
    let is_first = metric(&fleet, 0, WAITING).await == 2;
    let (owner, entry) = if is_first { (0, 1) } else { (1, 0) };
    fleet.gateways[owner].kill();
    let [first, second] = waiting;
    let refused = if entry == 0 { first } else { second };
    assert_eq!(refused.await.unwrap(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(fleet.runs_of(&format!("w{entry}")), 0);
}
