//! Requests that callers send to a box after its SIGTERM.

use bytes::Bytes;
use dockgate_bench::gateway_fleet::{GatewayFleet, start_fleet, wait_until};
use dockgate_bench::standin::caller::{all_events, connect, connect_within, request};
use dockgate_bench::standin::{ReceivedRequest, RoutedStandIn};
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use nix::sys::signal::Signal;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use yare::parameterized;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// From this time after the signal on, callers have had time to notice that the box stops.
const NOTICE_TIME: Duration = Duration::from_millis(1_500);

/// What a caller got for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
enum CallResult {
    /// The status of an answer that was complete, and whether it announced that the connection closes.
    Answered(StatusCode, bool),
    /// The connection ended in front of a complete answer.
    Cut,
}

/// A request that a caller sent.
#[derive(Debug, Clone)]
struct SentCall {
    id: String,
    sent: Instant,
    /// How long it took until its answer, or the connection, ended.
    took: Duration,
    result: CallResult,
}

/// Sends requests one after the other until the box accepts no connection, and keeps the
/// connection as long as the box does.
async fn call_until_stopped(
    address: SocketAddr,
    name: String,
    request: impl Fn(&str) -> Request<Full<Bytes>>,
) -> Vec<SentCall> {
    let mut calls = Vec::new();
    let mut kept: Option<SendRequest<Full<Bytes>>> = None;
    loop {
        let sender = match kept.take().filter(|sender| !sender.is_closed()) {
            Some(sender) => Some(sender),
            None => connect_within(address, CONNECT_TIMEOUT).await,
        };
        let Some(mut sender) = sender else {
            return calls;
        };
        let id = format!("{name}{:03}", calls.len());
        let sent = Instant::now();
        let result = match sender.send_request(request(&id)).await {
            Ok(response) => {
                let status = response.status();
                let closes = response.headers().contains_key(header::CONNECTION);
                let body = response.into_body().collect().await;
                if !closes && body.is_ok() {
                    kept = Some(sender);
                }
                body.map_or(CallResult::Cut, |_| CallResult::Answered(status, closes))
            }
            Err(_) => CallResult::Cut,
        };
        let took = sent.elapsed();
        if !matches!(result, CallResult::Answered(StatusCode::OK, _)) {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        calls.push(SentCall {
            id,
            sent,
            took,
            result,
        });
    }
}

/// Sends requests to the first gateway while it stops; returns those sent after `NOTICE_TIME`.
async fn calls_to_stopping_box(
    fleet: &GatewayFleet,
    callers: usize,
    request: impl Fn(&str) -> Request<Full<Bytes>> + Clone + Send + 'static,
) -> Vec<SentCall> {
    let gateway = &fleet.gateways[0];
    let mut tasks = JoinSet::new();
    for caller in 0..callers {
        let (address, request) = (gateway.caller_address(), request.clone());
        let name = format!("r{caller}");
        tasks.spawn(call_until_stopped(address, name, request));
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let stopped = Instant::now();
    gateway.signal(Signal::SIGTERM);
    let calls = tasks.join_all().await.into_iter().flatten();
    calls
        .filter(|call| call.sent > stopped + NOTICE_TIME)
        .collect()
}

/// Guards against admitting a prompt by its predicted duration, and aborting it when the process
/// ends because its engine is slower.
#[tokio::test]
async fn prompts_sent_late_after_sigterm_are_not_cut() {
    const EVENTS: u64 = 12;
    let fleet = start_fleet(1, &["model", "model", "model", "model"]).await;
    for endpoint in &fleet.endpoints {
        endpoint.set_processing_time(Duration::from_millis(220));
    }
    let prompt = |id: &str| request("/live/x", id, Some(EVENTS));
    let calls = calls_to_stopping_box(&fleet, 8, prompt).await;
    let cut: Vec<&SentCall> = calls
        .iter()
        .filter(|call| call.result == CallResult::Cut && fleet.runs_of(&call.id) > 0)
        .collect();
    assert!(
        cut.is_empty(),
        "{} of {} were cut: {cut:?}",
        cut.len(),
        calls.len()
    );
    let kept_open = calls
        .iter()
        .filter(|call| matches!(call.result, CallResult::Answered(_, false)));
    assert_eq!(kept_open.count(), 0, "a stopping box closes connections");
}

/// Guards against a request that is taken late in the grace period, with a deadline before or after its
/// end, and cut there without an answer.
#[parameterized(
    not_idempotent = { "/once/x", None },
    idempotent = { "/again/x", None },
    stream = { "/draft/x", Some(12) },
    resumable_stream = { "/live/x", Some(12) },
)]
#[test_macro(tokio::test)]
async fn requests_of_all_kinds_sent_late_after_sigterm_are_not_cut(
    path: &'static str,
    events: Option<u64>,
) {
    const DEADLINES_MS: [u64; 5] = [400, 900, 1_700, 3_000, 9_000];
    /// A request that is cut earlier than this before its deadline has not reached it.
    const DEADLINE_MARGIN: Duration = Duration::from_millis(50);
    let deadline_of = |id: &str| {
        let number: usize = id[1..].parse().unwrap_or_default();
        Duration::from_millis(DEADLINES_MS[number % DEADLINES_MS.len()])
    };
    let service = if events.is_some() { "model" } else { "plain" };
    let fleet = start_fleet(1, &[service; 4]).await;
    let processing_time = match events {
        Some(events) => Duration::from_millis(2_600 / events),
        None => Duration::from_millis(1_300),
    };
    for endpoint in &fleet.endpoints {
        endpoint.set_processing_time(processing_time);
    }
    let call = move |id: &str| {
        let mut request = request(path, id, events);
        let deadline = HeaderValue::from(deadline_of(id).as_millis() as u64);
        request.headers_mut().insert("x-deadline-ms", deadline);
        request
    };
    let calls = calls_to_stopping_box(&fleet, 8, call).await;
    let is_cut = |call: &&SentCall| {
        call.result == CallResult::Cut && call.took + DEADLINE_MARGIN < deadline_of(&call.id)
    };
    let cut = calls.iter().filter(is_cut);
    let cut: Vec<&SentCall> = cut.filter(|call| fleet.runs_of(&call.id) > 0).collect();
    assert!(cut.is_empty(), "of {}: {cut:?}", calls.len());
    assert!(!calls.is_empty(), "no request was sent late");
}

/// Guards against refusing what ends before the process does.
#[tokio::test]
async fn requests_that_end_in_time_are_served_by_a_stopping_box() {
    let fleet = start_fleet(1, &["plain", "model", "model"]).await;
    for endpoint in &fleet.endpoints {
        endpoint.set_processing_time(Duration::from_millis(20));
    }
    let brief = |id: &str| {
        let (path, events) = match id.ends_with(['0', '2', '4', '6', '8']) {
            true => ("/once/x", None),
            false => ("/draft/x", Some(3)),
        };
        let mut request = request(path, id, events);
        let deadline = HeaderValue::from_static("700");
        request.headers_mut().insert("x-deadline-ms", deadline);
        request
    };
    let calls = calls_to_stopping_box(&fleet, 4, brief).await;
    let runs = fleet.endpoints.iter().flat_map(RoutedStandIn::ran);
    let runs: Vec<ReceivedRequest> = runs.collect();
    let served = |path: &str| {
        let served = calls.iter().filter(|call| {
            matches!(call.result, CallResult::Answered(StatusCode::OK, true))
                && runs
                    .iter()
                    .any(|run| run.id == call.id && run.target.ends_with(path))
        });
        served.count()
    };
    assert!(served("/once/x") > 0, "{calls:?}");
    assert!(served("/draft/x") > 0, "{calls:?}");
}

/// Guards against a box without connections that ends before callers and the balancer notice.
#[tokio::test]
async fn box_without_connections_serves_callers_that_connect_just_after_its_stop() {
    let fleet = start_fleet(1, &["plain"]).await;
    let gateway = &fleet.gateways[0];
    gateway.signal(Signal::SIGTERM);
    wait_until("the box stops", async || !gateway.is_ready().await).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let sender = connect_within(gateway.caller_address(), CONNECT_TIMEOUT).await;
    let mut sender = sender.expect("a box that stops accepts connections for a while");
    let mut request = request("/once/x", "r1", None);
    let deadline = HeaderValue::from_static("1000");
    request.headers_mut().insert("x-deadline-ms", deadline);
    let response = sender.send_request(request).await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    assert_eq!(response.headers()[header::CONNECTION], "close");
}

/// The status and the body of an answer.
type WholeAnswer = (StatusCode, Bytes);

/// Sends requests that outlast the grace period; returns their answers once all of them run.
async fn start_long_requests(fleet: &GatewayFleet) -> JoinSet<Option<WholeAnswer>> {
    for endpoint in &fleet.endpoints {
        endpoint.set_processing_time(Duration::from_secs(30));
    }
    let gateway = &fleet.gateways[0];
    let mut tasks = JoinSet::new();
    for number in 0..8 {
        let (path, events) = match number % 2 {
            0 => ("/once/x", None),
            _ => ("/draft/x", Some(3)),
        };
        let mut sender = connect(gateway.caller_address()).await;
        let mut request = request(path, &format!("r{number}"), events);
        let deadline = HeaderValue::from_static("4000");
        request.headers_mut().insert("x-deadline-ms", deadline);
        tasks.spawn(async move {
            let response = sender.send_request(request).await.ok()?;
            let status = response.status();
            let body = response.into_body().collect().await.ok()?;
            Some((status, body.to_bytes()))
        });
    }
    let running = || -> i64 { fleet.endpoints.iter().map(RoutedStandIn::running).sum() };
    wait_until("all requests run", async || running() == 8).await;
    tasks
}

/// Guards against aborting requests without an answer when the process ends.
#[tokio::test]
async fn unanswered_requests_are_answered_before_the_process_ends() {
    let fleet = start_fleet(1, &["plain", "plain", "model", "model"]).await;
    let gateway = &fleet.gateways[0];
    let tasks = start_long_requests(&fleet).await;
    let mut half_sent = TcpStream::connect(gateway.caller_address()).await.unwrap();
    let half = "POST /once/x HTTP/1.1\r\nhost: h.example\r\nauthorization: Token k1\r\n\
                x-request-id: half\r\nx-deadline-ms: 4000\r\ncontent-length: 10\r\n\r\nhello";
    half_sent.write_all(half.as_bytes()).await.unwrap();
    gateway.signal(Signal::SIGTERM);
    let expected = (
        StatusCode::BAD_GATEWAY,
        Bytes::from_static(b"unknown: stopped_unanswered\n"),
    );
    let answers = tasks.join_all().await;
    let missing = answers
        .iter()
        .filter(|answer| answer.as_ref() != Some(&expected));
    assert_eq!(missing.count(), 0, "{answers:?}");
    let mut answer = String::new();
    let read = half_sent.read_to_string(&mut answer).await;
    assert!(read.is_ok(), "the box resets a connection: {read:?}");
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.ends_with("not_run: stopping\n"), "{answer}");
}

/// Guards against a process that ends with the pause in which it should have answered.
#[tokio::test]
async fn unanswered_requests_are_answered_by_a_box_that_was_paused_at_its_end() {
    let fleet = start_fleet(1, &["plain", "plain", "model", "model"]).await;
    let gateway = &fleet.gateways[0];
    let tasks = start_long_requests(&fleet).await;
    gateway.signal(Signal::SIGTERM);
    tokio::time::sleep(Duration::from_millis(3_200)).await;
    gateway.signal(Signal::SIGSTOP);
    tokio::time::sleep(Duration::from_millis(500)).await;
    gateway.signal(Signal::SIGCONT);
    let answers = tasks.join_all().await;
    let is_answered = |answer: &Option<WholeAnswer>| {
        let answer = answer.as_ref();
        answer.is_some_and(|(_, body)| body.starts_with(b"unknown: "))
    };
    assert!(answers.iter().all(is_answered), "{answers:?}");
}

/// Guards against breaking a stream off within an event when the process ends.
#[tokio::test]
async fn streams_in_progress_are_broken_off_after_whole_events() {
    let fleet = start_fleet(1, &["model", "model"]).await;
    for endpoint in &fleet.endpoints {
        endpoint.set_processing_time(Duration::from_millis(30));
    }
    let gateway = &fleet.gateways[0];
    let mut tasks = JoinSet::new();
    for number in 0..6 {
        let mut sender = connect(gateway.caller_address()).await;
        let request = request("/draft/x", &format!("r{number}"), Some(1_000));
        tasks.spawn(async move {
            let response = sender.send_request(request).await.unwrap();
            let mut body = response.into_body();
            let mut received = Vec::new();
            while let Some(Ok(frame)) = body.frame().await {
                received.extend_from_slice(frame.data_ref().unwrap());
            }
            String::from_utf8(received).unwrap()
        });
    }
    let running = || -> i64 { fleet.endpoints.iter().map(RoutedStandIn::running).sum() };
    wait_until("all streams run", async || running() == 6).await;
    gateway.signal(Signal::SIGTERM);
    for received in tasks.join_all().await {
        let events = received.matches("\n\n").count() as u64;
        assert!(events > 0, "{received}");
        assert_eq!(received, all_events(events));
    }
}
