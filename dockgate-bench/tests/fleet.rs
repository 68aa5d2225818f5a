//! Focused tests of failures: real daemons as processes, small stand-ins around them.

use bytes::Bytes;
use dockgate_bench::caller::{AnswerCheck, CheckVerdict};
use dockgate_bench::fleet::{BenchFleet, DaemonProcess, workspace_key};
use dockgate_bench::scenario::{BenchArm, BenchScenario};
use dockgate_config::{CommitOutcome, ConfigStore};
use dockgate_core::{ConfigChange, KindSpec, Outcome};
use dockgate_platform::PlatformClient;
use dockgate_proto::operator::PlanIntent;
use dockgate_proto::{RefusalBody, RefusalCode, headers};
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const SCENARIO: &str = "\
[fleet]
domains = hall-a, hall-b
boxes_per_domain = 1
[pool chat]
kind = engine
endpoints = 2
slots = 2
tokens_per_second = 400
[pool media]
kind = service
endpoints = 2
slots = 4
[workspace captions]
share = 2
queue_limit = 4
[workspace quizzes]
[kind quiz]
";

async fn start() -> BenchFleet {
    let scenario = BenchScenario::parse("test", "test.ini", SCENARIO).unwrap();
    BenchFleet::start(scenario, &BenchArm::fair())
        .await
        .unwrap()
}

fn request(daemon: &DaemonProcess, path: &str, body: &str) -> Request<Full<Bytes>> {
    Request::builder()
        .method("POST")
        .uri(format!("http://{}{path}", daemon.callers()))
        .header(
            header::AUTHORIZATION,
            format!("Bearer {}", workspace_key("captions")),
        )
        .body(Full::new(Bytes::from(body.to_owned())))
        .unwrap()
}

async fn send(request: Request<Full<Bytes>>) -> Response<Incoming> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    client.request(request).await.unwrap()
}

async fn text_of(response: Response<Incoming>) -> String {
    let body = response.into_body().collect().await.unwrap().to_bytes();
    String::from_utf8(body.to_vec()).unwrap()
}

async fn refusal_of(response: Response<Incoming>) -> RefusalBody {
    serde_json::from_str(&text_of(response).await).unwrap()
}

fn chat(model: &str, tokens: usize, nonce: &str, stream: bool) -> String {
    serde_json::json!({
        "model": model,
        "stream": stream,
        "max_tokens": tokens,
        "messages": [{ "role": "user", "content": format!("explain {nonce}") }],
    })
    .to_string()
}

#[tokio::test]
async fn streamed_whole_and_plain_requests_are_served_at_every_box() {
    let mut fleet = start().await;
    for daemon in &fleet.daemons {
        let path = "/v1/chat/completions";
        let streamed = send(request(daemon, path, &chat("chat", 3, "n1", true))).await;
        assert!(streamed.headers().contains_key(headers::REQUEST_ID));
        let streamed = text_of(streamed).await;
        assert!(
            streamed.contains("n1.0 ") && streamed.contains("n1.2 "),
            "{streamed}"
        );
        assert!(streamed.ends_with("data: [DONE]\n\n"), "{streamed}");
        let whole = text_of(send(request(daemon, path, &chat("chat", 2, "n2", false))).await).await;
        assert!(whole.contains("\"content\":\"n2.0 n2.1 \""), "{whole}");
        let plain = text_of(send(request(daemon, "/services/media/a/b?c=d", "x")).await).await;
        assert_eq!(plain, "POST /a/b?c=d x");
    }
    fleet.stop().await;
}

#[tokio::test]
async fn bad_requests_are_refused_as_not_run_with_a_stable_code() {
    let mut fleet = start().await;
    let daemon = &fleet.daemons[0];
    let chat_path = "/v1/chat/completions";
    let mut wrong_key = request(daemon, chat_path, &chat("chat", 1, "n", false));
    wrong_key
        .headers_mut()
        .insert(header::AUTHORIZATION, "Bearer nobody".parse().unwrap());
    let mut wrong_kind = request(daemon, chat_path, &chat("chat", 1, "n", false));
    wrong_kind
        .headers_mut()
        .insert(headers::KIND, "poem".parse().unwrap());
    let mut wrong_priority = request(daemon, chat_path, &chat("chat", 1, "n", false));
    wrong_priority
        .headers_mut()
        .insert(headers::PRIORITY, "10".parse().unwrap());
    let large = "x".repeat(5 << 20);
    let cases = [
        (wrong_key, RefusalCode::UnknownKey),
        (wrong_kind, RefusalCode::UnknownKind),
        (wrong_priority, RefusalCode::BadRequest),
        (
            request(daemon, chat_path, &chat("none", 1, "n", false)),
            RefusalCode::UnknownModel,
        ),
        (request(daemon, chat_path, "{"), RefusalCode::BadRequest),
        (
            request(daemon, chat_path, &large),
            RefusalCode::BodyTooLarge,
        ),
        (
            request(daemon, "/services/none/", ""),
            RefusalCode::UnknownService,
        ),
        (request(daemon, "/elsewhere", ""), RefusalCode::UnknownPath),
    ];
    for (request, code) in cases {
        let response = send(request).await;
        assert_eq!(response.status(), code.status());
        let refusal = refusal_of(response).await;
        assert_eq!((refusal.code, refusal.outcome), (code, Outcome::NotRun));
    }
    fleet.stop().await;
}

#[tokio::test]
async fn a_flood_is_refused_in_its_own_queue_and_touches_nobody_else() {
    let mut fleet = start().await;
    let daemon = &fleet.daemons[0];
    let calls = (0..40).map(|number| {
        let body = chat("chat", 400, &format!("n{number}"), false);
        send(request(daemon, "/v1/chat/completions", &body))
    });
    let flood = futures::future::join_all(calls);
    let other = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let mut call = request(daemon, "/v1/chat/completions", &chat("chat", 1, "m", false));
        let key = format!("Bearer {}", workspace_key("quizzes"));
        call.headers_mut()
            .insert(header::AUTHORIZATION, key.parse().unwrap());
        send(call).await.status()
    };
    let (flood, other) = tokio::join!(flood, other);
    assert_eq!(other, StatusCode::OK);
    let mut refused = 0;
    for response in flood {
        if response.status() == StatusCode::TOO_MANY_REQUESTS {
            assert!(response.headers().contains_key(header::RETRY_AFTER));
            let refusal = refusal_of(response).await;
            assert_eq!(refusal.code, RefusalCode::QueueFull);
            assert_eq!(refusal.outcome, Outcome::NotRun);
            refused += 1;
        }
    }
    assert!(refused >= 20, "{refused}");
    for (name, runs) in (0..40).map(|n| (n, fleet.tallies["chat"].runs_of(&format!("n{n}")))) {
        assert!(runs <= 1, "n{name} ran {runs} times");
    }
    fleet.stop().await;
}

#[tokio::test]
async fn a_planned_stop_cuts_off_nothing_and_the_next_request_is_not_run() {
    let mut fleet = start().await;
    let stopping = &fleet.daemons[0];
    let body = chat("chat", 400, "n", true);
    let running = tokio::spawn(send(request(stopping, "/v1/chat/completions", &body)));
    let response = running.await.unwrap();
    stopping.terminate();
    let refused = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        refusal_of(send(request(stopping, "/services/media/", "")).await).await
    };
    let (answer, refused) = tokio::join!(text_of(response), refused);
    assert!(answer.ends_with("data: [DONE]\n\n"));
    assert_eq!(refused.code, RefusalCode::Stopping);
    assert_eq!(refused.outcome, Outcome::NotRun);
    let name = stopping.name().to_owned();
    let mut daemons = fleet.daemons.iter_mut();
    let daemon = daemons.find(|daemon| daemon.name() == name).unwrap();
    assert!(daemon.wait_or_kill(Duration::from_secs(20)).await);
    fleet.stop().await;
}

#[tokio::test]
async fn a_lost_endpoint_costs_a_repeatable_request_a_retry_and_another_its_certainty() {
    let mut fleet = start().await;
    let daemon = &fleet.daemons[0];
    let path = "/v1/chat/completions";
    let again = tokio::spawn(send(request(
        daemon,
        path,
        &chat("chat", 200, "again", false),
    )));
    let mut once = request(daemon, path, &chat("chat", 200, "once", false));
    once.headers_mut()
        .insert(headers::KIND, "quiz".parse().unwrap());
    let once = tokio::spawn(send(once));
    for _ in 0..1_000 {
        if fleet.tallies["chat"].running() == 2 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(fleet.tallies["chat"].running(), 2);
    // Whichever endpoint they run on dies; the other one is left.
    for endpoint in fleet
        .endpoints
        .iter()
        .filter(|endpoint| endpoint.name == "chat-0")
    {
        endpoint.standin.kill();
    }
    let refused = once.await.unwrap();
    let answered = again.await.unwrap();
    assert_eq!(answered.status(), StatusCode::OK);
    if refused.status() != StatusCode::OK {
        let refusal = refusal_of(refused).await;
        assert_eq!(refusal.outcome, Outcome::Unknown);
    }
    assert_eq!(fleet.tallies["chat"].runs_of("once"), 1);
    fleet.stop().await;
}

#[tokio::test]
async fn conflicting_operators_get_one_version_and_a_lost_reply_changes_things_once() {
    let mut fleet = start().await;
    let client = PlatformClient::new(fleet.platform.address, Duration::from_secs(2));
    let store = ConfigStore::new(client);
    let (config, other) = (fleet.shown(0).await.unwrap(), fleet.shown(1).await.unwrap());
    assert_eq!(config, other);
    let kind = |name: &str| {
        let spec = KindSpec {
            name: name.to_owned(),
            repeatable: true,
        };
        let changes = vec![ConfigChange::PutKind(spec)];
        dockgate_core::ConfigPlan::new(&config, changes).unwrap()
    };
    let (first, second) = (kind("first"), kind("second"));
    fleet.platform.set_drops_replies(true);
    assert!(store.commit(&first, "a", 0).await.is_err());
    fleet.platform.set_drops_replies(false);
    let version = config.version + 1;
    let settled = store.commit(&first, "a", 0).await.unwrap();
    assert_eq!(settled, CommitOutcome::AlreadyCommitted(version));
    let stale = store.commit(&second, "b", 0).await.unwrap();
    let CommitOutcome::Stale(head) = stale else {
        panic!("{stale:?}");
    };
    assert_eq!(head.entries_since(config.version).unwrap().len(), 1);
    fleet.stop().await;
}

#[tokio::test]
async fn a_long_log_is_snapshotted_and_a_box_that_restarts_learns_it_even_without_the_platform() {
    let mut fleet = start().await;
    for number in 0..70 {
        let spec = KindSpec {
            name: format!("kind-{number}"),
            repeatable: true,
        };
        let intent = PlanIntent::Changes(vec![ConfigChange::PutKind(spec)]);
        fleet.change(number % 2, intent).await.unwrap();
    }
    let client = PlatformClient::new(fleet.platform.address, Duration::from_secs(2));
    let (head, _) = ConfigStore::new(client).read_head().await.unwrap();
    assert!(head.snapshot > 0 && head.entries.len() < 70);

    for out in [false, true] {
        fleet.platform.set_unavailable(out);
        fleet.daemons[1].kill();
        fleet.daemons[1].restart().unwrap();
        let ready = fleet.daemons[1].wait_for("readyz", Duration::from_secs(20));
        ready.await.unwrap();
        assert_eq!(fleet.shown(1).await.unwrap().version, head.version);
    }
    fleet.stop().await;
}

#[tokio::test]
async fn doors_turn_strangers_away_and_slow_callers_are_timed_out() {
    let mut fleet = start().await;
    let daemon = &fleet.daemons[0];
    let mut stranger = TcpStream::connect(daemon.operators()).await.unwrap();
    let call = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"show\"}";
    let head = format!(
        "POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-type: application/json\r\n\
         content-length: {}\r\n\r\n{call}",
        call.len()
    );
    stranger.write_all(head.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stranger.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
    assert_eq!(daemon.metric("dockgate_turned_away_total").await, Some(1.0));

    let mut smuggler = TcpStream::connect(daemon.callers()).await.unwrap();
    let both = "POST /services/media/ HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\
        transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /livez HTTP/1.1\r\nhost: x\r\n\r\n";
    smuggler.write_all(both.as_bytes()).await.unwrap();
    smuggler.shutdown().await.unwrap();
    let mut answer = Vec::new();
    // A close with bytes that nobody read is a reset, which may overtake the answer.
    if let Err(error) = smuggler.read_to_end(&mut answer).await {
        assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    }
    let answer = String::from_utf8(answer).unwrap();
    assert!(!answer.contains("alive"), "{answer}");
    fleet.stop().await;
}

#[tokio::test]
async fn a_stream_whose_endpoint_dies_is_continued_and_the_caller_sees_one_answer() {
    let mut fleet = start().await;
    let daemon = &fleet.daemons[0];
    let tokens = 200;
    // Two streams fill one endpoint each, so that one of them runs on the endpoint that dies.
    let streams = ["x", "y", "z", "w"].map(|nonce| {
        let body = chat("chat", tokens, nonce, true);
        let call = send(request(daemon, "/v1/chat/completions", &body));
        tokio::spawn(async move { text_of(call.await).await })
    });
    for _ in 0..1_000 {
        if fleet.tallies["chat"].running() == 4 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let dying = fleet
        .endpoints
        .iter()
        .find(|endpoint| endpoint.name == "chat-0");
    dying.unwrap().standin.kill();
    for (nonce, stream) in ["x", "y", "z", "w"].iter().zip(streams) {
        let answer = stream.await.unwrap();
        let mut check = AnswerCheck::new((*nonce).to_owned(), tokens);
        check.feed(answer.as_bytes());
        assert_eq!(check.verdict(), CheckVerdict::Whole, "{answer}");
    }
    fleet.stop().await;
}

/// Work went on until its answer was made where a caller had sent more on its connection before it left: the library
/// that reads the connection does not look behind bytes that it has no use for yet.
#[tokio::test]
async fn work_ends_when_its_caller_goes_whatever_it_has_sent_behind() {
    let mut fleet = start().await;
    let daemon = &fleet.daemons[0];
    let running = async |count: usize| {
        let media = &fleet.tallies["media"];
        for _ in 0..1_000 {
            if media.running() == count {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("{} run, not {count}", media.running());
    };
    let key = workspace_key("captions");
    let text = |nonce: &str| {
        format!(
            "POST /services/media/wait/60000 HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n\
             x-nonce: {nonce}\r\ncontent-length: 5\r\n\r\nhello"
        )
    };
    let mut caller = TcpStream::connect(daemon.callers()).await.unwrap();
    caller.write_all(text("first").as_bytes()).await.unwrap();
    running(1).await;
    caller.write_all(text("behind").as_bytes()).await.unwrap();
    drop(caller);
    running(0).await;
    let plain = text_of(send(request(daemon, "/services/media/a", "x")).await).await;
    assert_eq!(plain, "POST /a x");
    assert_eq!(fleet.tallies["media"].runs_of("behind"), 0);
    fleet.stop().await;
}
