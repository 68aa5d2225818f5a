//! Failure tests of daemons as real processes, with stand-ins for endpoints and the platform.

use bytes::Bytes;
use dockgate_bench::caller::{AnswerChecker, AnswerVerdict};
use dockgate_bench::fleet::{BenchFleet, DaemonProcess, EndpointStandIn, workspace_key};
use dockgate_bench::scenario::{BenchArm, BenchScenario};
use dockgate_bench::standin::ENDLESS_NONCE;
use dockgate_config::{CommitOutcome, ConfigStore, HEAD_KEY};
use dockgate_core::{ConfigChange, KindSpec, Outcome};
use dockgate_platform::{BOX_KEY_PREFIX, PlatformClient};
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
        .uri(format!("http://{}{path}", daemon.caller_address()))
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
async fn each_box_serves_streamed_whole_and_service_requests() {
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

/// Guards against passing on an answer that is no final one, after which a caller takes its connection
/// for one of another protocol.
#[tokio::test]
async fn answer_that_is_not_final_is_a_failure() {
    let mut fleet = start().await;
    let daemon = &fleet.daemons[0];
    let response = send(request(daemon, "/services/media/status/101", "x")).await;
    assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
    let served = send(request(daemon, "/services/media/status/404", "x")).await;
    assert_eq!(served.status(), StatusCode::NOT_FOUND);
    fleet.stop().await;
}

#[tokio::test]
async fn invalid_requests_are_refused_with_their_code() {
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
async fn flood_of_one_workspace_does_not_affect_others() {
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
async fn stopping_daemon_finishes_streams_and_refuses_requests() {
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
async fn only_repeatable_requests_are_retried_after_an_endpoint_loss() {
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
    // One of the two endpoints crashes; the other one remains.
    for endpoint in fleet
        .endpoints
        .iter()
        .filter(|endpoint| endpoint.name == "chat-0")
    {
        endpoint.standin.kill();
    }
    let once = once.await.unwrap();
    let again = again.await.unwrap();
    assert_eq!(again.status(), StatusCode::OK);
    if once.status() != StatusCode::OK {
        let refusal = refusal_of(once).await;
        assert_eq!(refusal.outcome, Outcome::Unknown);
    }
    assert_eq!(fleet.tallies["chat"].runs_of("once"), 1);
    fleet.stop().await;
}

#[tokio::test]
async fn conflicting_changes_are_rejected_and_repeated_commits_apply_once() {
    let mut fleet = start().await;
    let client = PlatformClient::new(fleet.platform.address, Duration::from_secs(2));
    let store = ConfigStore::new(client);
    let (config, other) = (
        fleet.config_in_force(0).await.unwrap(),
        fleet.config_in_force(1).await.unwrap(),
    );
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
    let repeated = store.commit(&first, "a", 0).await.unwrap();
    assert_eq!(repeated, CommitOutcome::AlreadyCommitted(version));
    let stale = store.commit(&second, "b", 0).await.unwrap();
    let CommitOutcome::Stale(head) = stale else {
        panic!("{stale:?}");
    };
    assert_eq!(head.entries_since(config.version).unwrap().len(), 1);
    fleet.stop().await;
}

#[tokio::test]
async fn configuration_survives_snapshots_and_restarts_without_the_platform() {
    let mut fleet = start().await;
    for number in 0..70 {
        let spec = KindSpec {
            name: format!("kind-{number}"),
            repeatable: true,
        };
        let intent = PlanIntent::Changes(vec![ConfigChange::PutKind(spec)]);
        fleet.apply_intent(number % 2, intent).await.unwrap();
    }
    let client = PlatformClient::new(fleet.platform.address, Duration::from_secs(2));
    let (head, _) = ConfigStore::new(client).read_head().await.unwrap();
    assert!(head.snapshot > 0 && head.entries.len() < 70);

    for is_unavailable in [false, true] {
        fleet.platform.set_unavailable(is_unavailable);
        fleet.daemons[1].kill();
        fleet.daemons[1].restart().unwrap();
        let ready = fleet.daemons[1].wait_for_ok("readyz", Duration::from_secs(20));
        ready.await.unwrap();
        assert_eq!(
            fleet.config_in_force(1).await.unwrap().version,
            head.version
        );
    }
    fleet.stop().await;
}

#[tokio::test]
async fn calls_without_token_and_smuggled_requests_are_rejected() {
    let mut fleet = start().await;
    let daemon = &fleet.daemons[0];
    let mut unauthorized = TcpStream::connect(daemon.operator_address()).await.unwrap();
    let call = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"show\"}";
    let head = format!(
        "POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-type: application/json\r\n\
         content-length: {}\r\n\r\n{call}",
        call.len()
    );
    unauthorized.write_all(head.as_bytes()).await.unwrap();
    let mut answer = String::new();
    unauthorized.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
    assert_eq!(daemon.metric("dockgate_turned_away_total").await, Some(1.0));

    let mut smuggling = TcpStream::connect(daemon.caller_address()).await.unwrap();
    let both = "POST /services/media/ HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\
        transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /livez HTTP/1.1\r\nhost: x\r\n\r\n";
    smuggling.write_all(both.as_bytes()).await.unwrap();
    smuggling.shutdown().await.unwrap();
    let mut answer = Vec::new();
    // Closing a socket with unread bytes sends a reset, which may overtake the response.
    if let Err(error) = smuggling.read_to_end(&mut answer).await {
        assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    }
    let answer = String::from_utf8(answer).unwrap();
    assert!(!answer.contains("alive"), "{answer}");
    fleet.stop().await;
}

#[tokio::test]
async fn stream_resumes_after_its_endpoint_is_lost() {
    let mut fleet = start().await;
    let daemon = &fleet.daemons[0];
    let tokens = 200;
    // Two streams fill an endpoint, so that some of the four run on the one that crashes.
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
    let lost = fleet
        .endpoints
        .iter()
        .find(|endpoint| endpoint.name == "chat-0");
    lost.unwrap().standin.kill();
    for (nonce, stream) in ["x", "y", "z", "w"].iter().zip(streams) {
        let answer = stream.await.unwrap();
        let mut checker = AnswerChecker::new((*nonce).to_owned(), tokens);
        checker.feed(answer.as_bytes());
        assert_eq!(checker.verdict(), AnswerVerdict::Complete, "{answer}");
    }
    fleet.stop().await;
}

/// Guards against a box that keeps a line without end until its memory is exhausted.
#[tokio::test]
async fn stream_with_a_line_without_end_is_given_up() {
    // What the system buffers between two processes counts as sent.
    const MAX_LINE_BYTES: usize = 16 << 20;
    let mut fleet = start().await;
    let body = chat("chat", 3, ENDLESS_NONCE, true);
    let response = send(request(&fleet.daemons[0], "/v1/chat/completions", &body)).await;
    let received = response.into_body().collect().await;
    assert!(received.is_err(), "the answer must not look complete");
    let engines = fleet
        .endpoints
        .iter()
        .filter_map(|endpoint| match &endpoint.standin {
            EndpointStandIn::Engine(engine) => Some(engine.endless_lines()),
            EndpointStandIn::Service(_) => None,
        });
    let (bytes, lines) = engines.fold((0, 0), |sum, line| (sum.0 + line.0, sum.1 + line.1));
    assert!(lines > 0, "no engine was asked");
    assert!(
        bytes <= lines * MAX_LINE_BYTES,
        "{bytes} bytes of {lines} lines"
    );
    fleet.stop().await;
}

/// Guards against missing a disconnect because a pipelined request is still unread.
#[tokio::test]
async fn request_is_cancelled_despite_a_pipelined_one() {
    let mut fleet = start().await;
    let daemon = &fleet.daemons[0];
    let wait_for_running = async |count: usize| {
        let media = &fleet.tallies["media"];
        for _ in 0..1_000 {
            if media.running() == count {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("{} requests are running, expected {count}", media.running());
    };
    let key = workspace_key("captions");
    let text = |nonce: &str| {
        format!(
            "POST /services/media/wait/60000 HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n\
             x-nonce: {nonce}\r\ncontent-length: 5\r\n\r\nhello"
        )
    };
    let mut caller = TcpStream::connect(daemon.caller_address()).await.unwrap();
    caller.write_all(text("first").as_bytes()).await.unwrap();
    wait_for_running(1).await;
    caller.write_all(text("behind").as_bytes()).await.unwrap();
    drop(caller);
    wait_for_running(0).await;
    let plain = text_of(send(request(daemon, "/services/media/a", "x")).await).await;
    assert_eq!(plain, "POST /a x");
    assert_eq!(fleet.tallies["media"].runs_of("behind"), 0);
    fleet.stop().await;
}

/// Guards against boxes that stop following the other boxes, or the configuration, for an odd entry
/// of another writer.
#[tokio::test]
async fn odd_entries_among_boxes_are_harmless() {
    let mut fleet = start().await;
    let key = |name: &str| format!("{BOX_KEY_PREFIX}odd-{name}");
    let nested = "[".repeat(40_000) + &"]".repeat(40_000);
    let record = |address: &str, name: &str| {
        format!(
            r#"{{"name":{name},"domain":"hall-a","peer_address":{address},"state":"live","more":1e400}}"#
        )
    };
    let values = [
        ("empty", String::new()),
        ("nested", nested.clone()),
        ("name-nested", record(r#""192.0.2.1:80""#, &nested)),
        ("name-number", record(r#""192.0.2.1:80""#, "1e400")),
        ("port", record(r#""192.0.2.1:65536""#, r#""odd""#)),
        ("address", record("[192,0,2,1]", r#""odd""#)),
    ];
    for (name, value) in values {
        fleet.platform.set(&key(name), value);
    }
    let items = [
        ("null", "null".to_owned()),
        ("nested", nested),
        (
            "value",
            r#"{"key_file":"config/head-odd","value":null,"revision":null}"#.to_owned(),
        ),
        (
            "revision",
            r#"{"key_file":"config/head-odd","value":"","revision":1e400}"#.to_owned(),
        ),
    ];
    for (name, json) in items {
        fleet
            .platform
            .set_odd_item(&key(&format!("item-{name}")), json.clone());
        fleet
            .platform
            .set_odd_item(&format!("{HEAD_KEY}-{name}"), json);
    }
    for (number, is_restarted) in [false, true].into_iter().enumerate() {
        if is_restarted {
            for daemon in &mut fleet.daemons {
                daemon.kill();
            }
            for daemon in &mut fleet.daemons {
                daemon.restart().unwrap();
            }
            for daemon in &fleet.daemons {
                let ready = daemon.wait_for_ok("readyz", Duration::from_secs(20));
                ready.await.unwrap();
            }
        }
        let spec = KindSpec {
            name: format!("kind-{number}"),
            repeatable: true,
        };
        let version = fleet.config_in_force(0).await.unwrap().version + 1;
        let intent = PlanIntent::Changes(vec![ConfigChange::PutKind(spec)]);
        fleet.apply_intent(0, intent).await.unwrap();
        for index in [0, 1] {
            let mut known = 0;
            for _ in 0..1_000 {
                known = fleet.config_in_force(index).await.unwrap().version;
                if known == version {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            assert_eq!(known, version, "box {index}");
        }
        // Restarted boxes find each other by their records.
        for daemon in &fleet.daemons {
            daemon
                .wait_for_links(1, Duration::from_secs(20))
                .await
                .unwrap();
        }
    }
    for daemon in &fleet.daemons {
        let log = std::fs::read_to_string(daemon.log_path()).unwrap();
        let unread = [BOX_KEY_PREFIX, HEAD_KEY].map(|key| format!("platform key {key}: "));
        let is_unread = |line: &&str| unread.iter().any(|start| line.contains(start));
        let lines: Vec<&str> = log.lines().filter(is_unread).collect();
        assert!(lines.is_empty(), "{} lines: {}", lines.len(), lines[0]);
    }
    fleet.stop().await;
}
