//! Quarantine of requests that crash the endpoints that run them.
//!
//! Guards against a request being sent to one endpoint after another although each crashed while it
//! ran, and against boxes that don't report its crashes to each other.

use bytes::Bytes;
use dockgate_bench::gateway_fleet::{GatewayFleet, GatewayProcess, start_fleet, wait_until};
use dockgate_bench::standin::RoutedStandIn;
use dockgate_bench::standin::caller::{call, request_with_body};
use http::StatusCode;
use std::time::Duration;

/// Interval between two requests.
const SEND_INTERVAL: Duration = Duration::from_millis(250);
const CRASHING_BODY: Bytes = Bytes::from_static(b"ends what runs it");
const HARMLESS_BODY: Bytes = Bytes::from_static(b"hello");

/// A fleet whose endpoints crash when they run `CRASHING_BODY` and are restarted by the test.
struct CrashingFleet {
    fleet: GatewayFleet,
    /// Earlier lifetimes of endpoints, which have crashed.
    crashed: Vec<RoutedStandIn>,
}

impl CrashingFleet {
    async fn start(gateways: usize, service: &str) -> Self {
        let fleet = start_fleet(gateways, &[service; 8]).await;
        let endpoints = fleet.endpoints.iter();
        endpoints.for_each(|endpoint| endpoint.add_crash_body(&CRASHING_BODY));
        Self {
            fleet,
            crashed: Vec::new(),
        }
    }

    /// Restarts crashed endpoints under their ids.
    async fn restart_crashed(&mut self) {
        for endpoint in &mut self.fleet.endpoints {
            if !endpoint.has_ended() {
                continue;
            }
            let restarted = RoutedStandIn::start(&endpoint.id, &endpoint.service);
            let restarted = restarted.await.expect("loopback has a port");
            restarted.add_crash_body(&CRASHING_BODY);
            let (key, value) = restarted.record("a", "ready");
            self.fleet.store.set(&key, value);
            self.crashed.push(std::mem::replace(endpoint, restarted));
        }
    }

    /// Sends a request to a box and returns the status and body of the response.
    async fn send(&self, at: usize, path: &str, id: &str, body: &Bytes) -> (StatusCode, String) {
        let events = path.starts_with("/live/").then_some(3);
        let request = request_with_body(path, id, events, body.clone());
        let gateways = &self.fleet.gateways;
        let response = call(&gateways[at % gateways.len()], request).await;
        let status = response.status();
        let body = http_body_util::BodyExt::collect(response.into_body()).await;
        let body = body
            .map(http_body_util::Collected::to_bytes)
            .unwrap_or_default();
        (status, String::from_utf8_lossy(&body).into_owned())
    }

    /// Sends the crashing request until a box refuses it, then waits until all boxes quarantine it.
    async fn quarantine_request(&mut self) {
        const MAX_SENDS: usize = 12;
        for number in 0..MAX_SENDS {
            let (status, _) = self
                .send(number, "/once/x", &format!("r{number}"), &CRASHING_BODY)
                .await;
            if status == StatusCode::SERVICE_UNAVAILABLE {
                break;
            }
            tokio::time::sleep(SEND_INTERVAL).await;
            self.restart_crashed().await;
        }
        assert!(
            self.crashing_runs() < MAX_SENDS,
            "the request ran {} times",
            self.crashing_runs()
        );
        self.wait_for_quarantined(1).await;
    }

    /// Simulates a suspension of all boxes, each for a total of `time`.
    async fn suspend_all(&self, time: Duration) {
        for gateway in &self.fleet.gateways {
            let before = gateway.logged().matches("\"woke\"").count();
            gateway
                .simulate_suspension(time)
                .expect("the suspension is simulated");
            wait_until("a box has noticed the suspension", async || {
                gateway.logged().matches("\"woke\"").count() > before
            })
            .await;
        }
    }

    /// Sends the crashing request to all boxes at once.
    async fn send_to_all(&self, id: &str) -> Vec<StatusCode> {
        let statuses = (0..self.fleet.gateways.len()).map(|at| async move {
            self.send(at, "/once/x", &format!("{id}{at}"), &CRASHING_BODY)
                .await
                .0
        });
        futures::future::join_all(statuses).await
    }

    /// Waits until each box has `count` requests in quarantine.
    async fn wait_for_quarantined(&self, count: usize) {
        for gateway in &self.fleet.gateways {
            wait_for_count(gateway, count).await;
        }
    }

    /// Returns whether the store has a record of quarantined requests.
    fn is_stored(&self) -> bool {
        let keys = self.fleet.store.keys();
        keys.iter().any(|key| key.starts_with("quarantine/"))
    }

    /// Returns how often the crashing request reached an endpoint.
    fn crashing_runs(&self) -> usize {
        let endpoints = self.fleet.endpoints.iter().chain(&self.crashed);
        let runs = endpoints.flat_map(RoutedStandIn::ran);
        runs.filter(|run| run.body == CRASHING_BODY).count()
    }
}

/// Waits until a box has `count` requests in quarantine.
async fn wait_for_count(gateway: &GatewayProcess, count: usize) {
    let line = format!("dockgate_quarantined_requests {count}\n");
    wait_until("the count is reached", async || {
        gateway.metrics().await.contains(&line)
    })
    .await;
}

/// Sends the request to three boxes in turn and checks that it is quarantined after few crashes.
async fn check_crashes_are_limited(path: &str, service: &str) {
    const SENDS: usize = 24;
    /// A quarantine needs three crashes; as many more may occur until all boxes know of it.
    const MAX_RUNS: usize = 6;
    let mut fleet = CrashingFleet::start(3, service).await;
    let mut responses = Vec::new();
    for number in 0..SENDS {
        responses.push(
            fleet
                .send(number, path, &format!("r{number}"), &CRASHING_BODY)
                .await,
        );
        tokio::time::sleep(SEND_INTERVAL).await;
        fleet.restart_crashed().await;
    }
    let runs = fleet.crashing_runs();
    assert!(runs <= MAX_RUNS, "{runs} runs: {responses:?}");
    for (status, text) in &responses[MAX_RUNS..] {
        assert_eq!(*status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(text, "not_run: ends_endpoints\n");
    }
    let (status, _) = fleet.send(0, path, "other", &HARMLESS_BODY).await;
    assert_eq!(
        status,
        StatusCode::OK,
        "other requests of the caller are served"
    );
}

#[tokio::test]
async fn crashing_request_is_quarantined() {
    check_crashes_are_limited("/once/x", "plain").await;
}

#[tokio::test]
async fn crashing_repeatable_stream_is_quarantined() {
    check_crashes_are_limited("/live/x", "model").await;
}

/// Guards against several boxes running the same trial. A trial that crashes its endpoint prolongs
/// the quarantine; one that completes lifts it.
#[tokio::test]
async fn trials_of_a_quarantined_request_run_at_one_box() {
    const FIRST_TRIAL: Duration = Duration::from_secs(31);
    const SECOND_TRIAL: Duration = Duration::from_secs(31 + 301);
    let mut fleet = CrashingFleet::start(3, "plain").await;
    fleet.quarantine_request().await;
    wait_until("the quarantine is stored", async || fleet.is_stored()).await;
    let runs = fleet.crashing_runs();
    fleet.suspend_all(FIRST_TRIAL).await;
    let responses = fleet.send_to_all("first").await;
    assert_eq!(fleet.crashing_runs(), runs + 1, "{responses:?}");
    fleet.restart_crashed().await;

    let endpoints = fleet.fleet.endpoints.iter();
    endpoints.for_each(RoutedStandIn::clear_crash_bodies);
    fleet.suspend_all(SECOND_TRIAL).await;
    let responses = fleet.send_to_all("second").await;
    let served = responses.iter().filter(|status| **status == StatusCode::OK);
    assert!(served.count() > 0, "{responses:?}");
    fleet.wait_for_quarantined(0).await;
}

/// Guards against a release by an operator that takes effect at one box only.
#[tokio::test]
async fn release_by_an_operator_applies_to_all_boxes() {
    let mut fleet = CrashingFleet::start(3, "plain").await;
    fleet.quarantine_request().await;
    let gateways = &fleet.fleet.gateways;
    let answer = gateways[0].quarantine(None).await.expect("the box answers");
    let [quarantined] = &answer.requests[..] else {
        panic!("one request is in quarantine: {answer:?}")
    };
    assert_eq!(
        (quarantined.trials, quarantined.next_trial_ms.is_some()),
        (0, true)
    );
    let invalid = gateways[0].quarantine(Some("07".to_owned())).await;
    assert!(invalid.is_err_and(|problem| problem.contains("is not a request fingerprint")));
    let remaining = gateways[0]
        .quarantine(Some(quarantined.fingerprint.clone()))
        .await;
    assert_eq!(remaining.map(|remaining| remaining.requests.len()), Ok(0));
    fleet.wait_for_quarantined(0).await;
    let endpoints = fleet.fleet.endpoints.iter();
    endpoints.for_each(RoutedStandIn::clear_crash_bodies);
    for at in 0..3 {
        let (status, text) = fleet
            .send(at, "/once/x", &format!("free{at}"), &CRASHING_BODY)
            .await;
        assert_eq!((status, &text[..4]), (StatusCode::OK, "echo"));
    }
}

/// Guards against a quarantine that is lost when all boxes restart.
#[tokio::test]
async fn quarantine_survives_a_restart_of_all_boxes() {
    let mut fleet = CrashingFleet::start(3, "plain").await;
    fleet.quarantine_request().await;
    wait_until("the quarantine is stored", async || fleet.is_stored()).await;
    let gateways = &mut fleet.fleet.gateways;
    gateways.iter_mut().for_each(GatewayProcess::kill);
    for gateway in gateways {
        gateway.restart().expect("the gateway restarts");
    }
    let runs = fleet.crashing_runs();
    for at in 0..3 {
        let gateway = &fleet.fleet.gateways[at];
        wait_until("a box is ready again", async || gateway.is_ready().await).await;
        wait_until("the box has read the quarantine", async || {
            gateway.logged().contains("request_quarantined")
        })
        .await;
        wait_for_count(gateway, 1).await;
        let (status, text) = fleet
            .send(at, "/once/x", &format!("again{at}"), &CRASHING_BODY)
            .await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{text}");
    }
    assert_eq!(fleet.crashing_runs(), runs);
}
