//! Endpoints that announce in their responses that they are leaving, or that ask for a backoff.
//!
//! Guards against boxes that go on sending to such an endpoint until the store's record changes.

use dockgate_bench::gateway_fleet::{GatewayFleet, start_fleet, wait_until};
use dockgate_bench::standin::caller::{call, request};
use dockgate_bench::standin::{ReceivedRequest, RejectedRequest, RoutedStandIn};
use futures::future::join_all;
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use std::time::Duration;

/// Number of consecutive rounds of requests at each box.
const ROUNDS: usize = 8;
/// Number of concurrent requests of a round.
const CONCURRENT_REQUESTS: usize = 8;
/// Time that an endpoint takes for a response or an event of a stream.
const RESPONSE_TIME: Duration = Duration::from_millis(10);
const BACKOFF: Duration = Duration::from_secs(3);
/// Maximum number of requests that a box may send to an endpoint during its backoff.
const MAX_IN_BACKOFF: usize = 2;

/// A response as its caller received it.
#[derive(Debug)]
struct CallerResponse {
    id: String,
    status: StatusCode,
    headers: HeaderMap,
    text: String,
}

impl CallerResponse {
    fn leaves(&self) -> bool {
        self.headers.contains_key("server-leaving")
    }

    fn is_served(&self) -> bool {
        self.status == StatusCode::OK
    }

    fn retry_after(&self) -> Option<f64> {
        self.headers.get("retry-after")?.to_str().ok()?.parse().ok()
    }
}

/// Sends a request to a box and reads the whole response.
///
/// Retries refusals for lack of capacity, which may be justified on a busy machine.
async fn send_with_retries(
    fleet: &GatewayFleet,
    at: usize,
    path: &str,
    id: String,
) -> CallerResponse {
    const RETRIABLE: [&str; 2] = ["not_run: overloaded\n", "not_run: would_be_late\n"];
    const MAX_RETRIES: usize = 20;
    let mut response = send_once(fleet, at, path, &id).await;
    for _ in 0..MAX_RETRIES {
        let Some(after_s) = response
            .retry_after()
            .filter(|_| RETRIABLE.contains(&&*response.text))
        else {
            break;
        };
        tokio::time::sleep(Duration::from_secs_f64(after_s)).await;
        response = send_once(fleet, at, path, &id).await;
    }
    response
}

async fn send_once(fleet: &GatewayFleet, at: usize, path: &str, id: &str) -> CallerResponse {
    let events = path.starts_with("/live/").then_some(3);
    let response = call(&fleet.gateways[at], request(path, id, events)).await;
    let (head, body) = response.into_parts();
    let body = body.collect().await.expect("the response is complete");
    CallerResponse {
        id: id.to_owned(),
        status: head.status,
        headers: head.headers,
        text: String::from_utf8_lossy(&body.to_bytes()).into_owned(),
    }
}

/// Sends rounds of requests to a box, starting with round `first`; their ids name the box.
async fn send_rounds(
    fleet: &GatewayFleet,
    at: usize,
    path: &str,
    first: usize,
) -> Vec<Vec<CallerResponse>> {
    let mut rounds = Vec::new();
    for round in first..first + ROUNDS {
        let responses = (0..CONCURRENT_REQUESTS).map(|number| {
            let id = format!("r{at}{round:02}{number}");
            send_with_retries(fleet, at, path, id)
        });
        rounds.push(join_all(responses).await);
    }
    rounds
}

/// Sends the same rounds to all boxes at once.
async fn send_rounds_to_all(
    fleet: &GatewayFleet,
    path: &str,
    first: usize,
) -> Vec<Vec<Vec<CallerResponse>>> {
    let boxes = 0..fleet.gateways.len();
    join_all(boxes.map(|at| send_rounds(fleet, at, path, first))).await
}

async fn start(gateways: usize, services: &[&str]) -> GatewayFleet {
    let fleet = start_fleet(gateways, services).await;
    fleet
        .endpoints
        .iter()
        .for_each(|each| each.set_processing_time(RESPONSE_TIME));
    fleet
}

/// Returns the responses to requests that were not served.
fn unserved(responses: &[Vec<Vec<CallerResponse>>]) -> Vec<&CallerResponse> {
    let all = responses.iter().flatten().flatten();
    all.filter(|response| !response.is_served()).collect()
}

/// Returns the ids of requests that reached an endpoint in a round after one whose responses
/// announced to the same box that it is leaving.
fn sent_after_notice(
    responses: &[Vec<Vec<CallerResponse>>],
    ran: &[ReceivedRequest],
) -> Vec<String> {
    let after = responses.iter().flat_map(|rounds| {
        let has_notice = |round: &&Vec<CallerResponse>| round.iter().any(CallerResponse::leaves);
        let noticed = rounds.iter().skip_while(move |round| !has_notice(round));
        noticed.skip(1).flatten()
    });
    let ids = after.map(|response| response.id.clone());
    ids.filter(|id| ran.iter().any(|run| run.id == *id))
        .collect()
}

/// Rewrites the record of a ready endpoint and waits until all boxes have read it.
async fn rewrite_record(fleet: &GatewayFleet, endpoint: &RoutedStandIn) {
    let line = r#""event":"endpoint_ready""#;
    let count = |at: usize| fleet.gateways[at].logged().matches(line).count();
    let before: Vec<usize> = (0..fleet.gateways.len()).map(count).collect();
    let (key, value) = endpoint.record("a", "ready");
    let value = value.replace("\"capacity\":8", "\"capacity\":9");
    fleet.store.set(&key, value);
    for (at, before) in before.into_iter().enumerate() {
        wait_until("the box has read the newest record", async || {
            count(at) > before
        })
        .await;
    }
}

/// Lets an endpoint announce that it is leaving while its record stays ready, and checks that no
/// more is sent to it.
async fn check_leaving_endpoint_is_unused(path: &str, service: &str) {
    let fleet = start(3, &[service; 4]).await;
    let leaving = &fleet.endpoints[0];
    leaving.set_leaving(true);
    let mut responses = send_rounds_to_all(&fleet, path, 0).await;
    rewrite_record(&fleet, leaving).await;
    let later = send_rounds_to_all(&fleet, path, ROUNDS).await;
    // Notices of the first rounds apply to the later ones.
    for (responses, later) in responses.iter_mut().zip(later) {
        responses.extend(later);
    }
    let noticed = responses
        .iter()
        .flatten()
        .flatten()
        .filter(|response| response.leaves());
    assert!(noticed.count() > 0, "a response has the notice");
    let late = sent_after_notice(&responses, &leaving.ran());
    assert_eq!(late, Vec::<String>::new());
    let unserved = unserved(&responses);
    assert!(
        unserved.is_empty(),
        "the other endpoints serve: {unserved:#?}"
    );
}

#[tokio::test]
async fn leaving_endpoint_gets_no_requests() {
    check_leaving_endpoint_is_unused("/again/x", "plain").await;
}

#[tokio::test]
async fn leaving_engine_gets_no_prompts() {
    check_leaving_endpoint_is_unused("/live/x", "model").await;
}

/// Guards against sending to the only endpoint after its notice, instead of refusing at once with
/// `retry-after`.
#[tokio::test]
async fn requests_are_refused_once_the_only_endpoint_is_leaving() {
    const MIN_RETRY_AFTER_S: f64 = 0.5;
    let fleet = start(1, &["plain"]).await;
    fleet.endpoints[0].set_leaving(true);
    let first = send_with_retries(&fleet, 0, "/again/x", "first".to_owned()).await;
    assert!(first.is_served() && first.leaves(), "{first:?}");
    let responses = send_rounds(&fleet, 0, "/again/x", 0).await;
    for response in responses.iter().flatten() {
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(
            response.retry_after() > Some(MIN_RETRY_AFTER_S),
            "{response:?}"
        );
    }
    assert_eq!(fleet.endpoints[0].ran().len(), 1);
}

/// Returns the ids of a box's requests that an endpoint rejected during its backoff, without the
/// first half second.
fn rejected_in_backoff(rejected: &[RejectedRequest], at: usize) -> Vec<String> {
    const SLACK: Duration = Duration::from_millis(500);
    let id_prefix = format!("r{at}");
    let seen = rejected.iter().map(|rejected| &rejected.request);
    let mut seen = seen.filter(|seen| seen.id.starts_with(&id_prefix));
    let Some(first) = seen.next() else {
        return Vec::new();
    };
    let backoff = first.at + SLACK..first.at + BACKOFF;
    let late = seen.filter(|seen| backoff.contains(&seen.at));
    late.map(|seen| seen.id.clone()).collect()
}

/// Lets one of four endpoints reject all requests and checks that boxes respect its backoff.
async fn check_backoff_is_respected(path: &str, service: &str) {
    let fleet = start(3, &[service; 4]).await;
    let rejecting = &fleet.endpoints[0];
    rejecting.set_backoff(Some(BACKOFF));
    let mut first = 0;
    let mut responses = Vec::new();
    wait_until(
        "each box was rejected and went on for a while",
        async || {
            responses.extend(send_rounds_to_all(&fleet, path, first).await);
            first += ROUNDS;
            let rejected = rejecting.rejected();
            let oldest = rejected.first();
            let lasted = oldest.is_some_and(|oldest| oldest.request.at.elapsed() > BACKOFF / 2);
            lasted && (0..3).all(|at| count_rejected_from(&rejected, at) > 0)
        },
    )
    .await;
    for at in 0..3 {
        let late = rejected_in_backoff(&rejecting.rejected(), at);
        assert!(late.len() <= MAX_IN_BACKOFF, "box {at} sent {late:?}");
    }
    let unserved = unserved(&responses);
    assert!(
        unserved.is_empty(),
        "the other endpoints serve: {unserved:#?}"
    );
}

/// Returns the number of a box's requests that an endpoint rejected.
fn count_rejected_from(rejected: &[RejectedRequest], at: usize) -> usize {
    let id_prefix = format!("r{at}");
    let seen = rejected.iter().map(|rejected| &rejected.request);
    seen.filter(|seen| seen.id.starts_with(&id_prefix)).count()
}

#[tokio::test]
async fn backoff_of_an_endpoint_is_respected() {
    check_backoff_is_respected("/again/x", "plain").await;
}

#[tokio::test]
async fn backoff_of_an_engine_is_respected() {
    check_backoff_is_respected("/live/x", "model").await;
}

/// Guards against a `retry-after` that ends before the first endpoint's backoff does.
#[tokio::test]
async fn retry_after_covers_the_backoff_of_all_endpoints() {
    /// Minimum remaining backoff after the requests of this test.
    const MIN_RETRY_AFTER_S: f64 = 1.0;
    let fleet = start(1, &["plain"; 2]).await;
    let endpoints = fleet.endpoints.iter();
    endpoints.for_each(|each| each.set_backoff(Some(BACKOFF)));
    send_with_retries(&fleet, 0, "/again/x", "first".to_owned()).await;
    let responses = send_rounds(&fleet, 0, "/again/x", 0).await;
    for response in responses.iter().flatten() {
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(
            response.retry_after() > Some(MIN_RETRY_AFTER_S),
            "{response:?}"
        );
    }
    for endpoint in &fleet.endpoints {
        assert_eq!(endpoint.rejected().len(), 1);
        endpoint.set_backoff(None);
    }
    wait_until("requests are served again", async || {
        send_with_retries(&fleet, 0, "/again/x", "after".to_owned())
            .await
            .is_served()
    })
    .await;
}

/// Returns the sum of a counter over all boxes.
async fn counter_total(fleet: &GatewayFleet, counter: &str) -> u64 {
    let mut sum = 0;
    for gateway in &fleet.gateways {
        let metrics = gateway.metrics().await;
        let value = metrics.lines().find_map(|line| line.strip_prefix(counter));
        sum += value.map_or(0, |value| value.trim().parse::<u64>().unwrap());
    }
    sum
}

/// Waits until all notices that boxes sent to each other have been received.
async fn wait_for_notices(fleet: &GatewayFleet) {
    let counter = |direction: &str| {
        format!(r#"dockgate_peer_datagrams_total{{direction="{direction}",kind="leaves"}}"#)
    };
    wait_until("all sent notices are received", async || {
        counter_total(fleet, &counter("sent")).await
            == counter_total(fleet, &counter("received")).await
    })
    .await;
}

/// Starts six boxes with an engine that is leaving, and sends prompts through the first box until it
/// has the notice.
async fn start_with_leaving_engine() -> GatewayFleet {
    let fleet = start(6, &["model"; 4]).await;
    fleet.endpoints[0].set_leaving(true);
    let mut noticed = false;
    for number in 0..64 {
        noticed |= send_with_retries(&fleet, 0, "/live/x", format!("r0{number:03}"))
            .await
            .leaves();
    }
    assert!(noticed, "the first box has the notice");
    fleet
}

/// Asserts that the other boxes send no prompt to the engine that is leaving.
async fn assert_others_avoid_leaving_engine(fleet: &GatewayFleet) {
    let leaving = &fleet.endpoints[0];
    let before = leaving.ran().len();
    for at in 1..6 {
        send_rounds(fleet, at, "/live/x", 0).await;
    }
    // On a busy machine, a box whose request gets no verdict in time decides alone.
    let alone = counter_total(fleet, "dockgate_missed_verdicts_total").await as usize;
    let more = leaving.ran().len() - before;
    assert!(
        more <= alone,
        "{more} of 320 prompts at five other boxes, {alone} decided alone"
    );
}

/// Guards against an owner that forgets that an engine is leaving while its record is still ready,
/// so that boxes send to it again.
#[tokio::test]
async fn leaving_notice_is_still_known_to_the_owner_after_some_seconds() {
    /// Longer than a single report is trusted.
    const PAUSE: Duration = Duration::from_secs(6);
    let fleet = start_with_leaving_engine().await;
    tokio::time::sleep(PAUSE).await;
    assert_others_avoid_leaving_engine(&fleet).await;
}

/// Guards against each box learning only by itself that an engine is leaving, so that most of a
/// large fleet would go on sending to it.
#[tokio::test]
async fn leaving_notice_reaches_boxes_through_the_coordinator() {
    let fleet = start_with_leaving_engine().await;
    wait_for_notices(&fleet).await;
    assert_others_avoid_leaving_engine(&fleet).await;
}
