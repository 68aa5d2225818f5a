//! Callers that leave: real processes, looked at from callers and endpoints.

use dockgate_bench::gateway_fleet::{GatewayFleet, start_fleet, wait_until};
use dockgate_bench::standin::RoutedStandIn;
use dockgate_bench::standin::caller::{call, connect, request, text};
use http_body_util::BodyExt;
use serde_json::json;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use yare::parameterized;

#[tokio::test]
async fn work_ends_when_its_caller_goes() {
    let fleet = start_fleet(1, &["model", "plain"]).await;
    fleet.endpoints[0].set_processing_time(Duration::from_millis(50));
    fleet.endpoints[1].set_processing_time(Duration::from_secs(60));
    for (index, path, events) in [(0, "/live/x", Some(1_000)), (1, "/again/x", None)] {
        let mut sender = connect(fleet.gateways[0].callers()).await;
        let pending = tokio::spawn(async move {
            let response = sender.send_request(request(path, "r1", events)).await;
            response
                .map(|response| response.into_body().collect())?
                .await
                .map(drop)
        });
        let endpoint = &fleet.endpoints[index];
        wait_until("the endpoint works", async || endpoint.working() == 1).await;
        pending.abort();
        wait_until("the endpoint stops", async || endpoint.working() == 0).await;
    }
}

/// How a caller leaves.
#[derive(Debug, Clone, Copy)]
enum Leaving {
    Closes,
    Resets,
    /// It says that it sends nothing more, and its connection stays.
    EndsSending,
}

impl Leaving {
    async fn leave(self, mut caller: TcpStream) -> Option<TcpStream> {
        match self {
            Self::Closes => None,
            Self::Resets => {
                caller.set_zero_linger().unwrap();
                None
            }
            Self::EndsSending => {
                caller.shutdown().await.unwrap();
                Some(caller)
            }
        }
    }
}

/// Writes a request as text; a prompt where it asks for events.
fn text_request(path: &str, id: &str, events: Option<u64>, body: &str) -> String {
    let prompt = events.map_or(String::new(), |events| {
        format!("x-model: m\r\nx-token-usage: 500,{events}\r\nx-prefix-hash: a1:400,b2:100\r\n")
    });
    format!(
        "POST {path} HTTP/1.1\r\nhost: h.example\r\nauthorization: Token k1\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 60000\r\n{prompt}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// What a caller sends behind its request while that is being answered.
#[derive(Debug, Clone, Copy)]
enum Behind {
    EmptyLine,
    OneMore,
    /// More than the box reads ahead, and less than its system keeps unread: an end behind more than that
    /// stays in the caller's system, so that no box can know of it.
    Hundreds,
}

impl Behind {
    fn text(self, path: &str, events: Option<u64>) -> String {
        let next = text_request(path, "behind", events, "hello");
        match self {
            Self::EmptyLine => "\r\n".to_owned(),
            Self::OneMore => next,
            Self::Hundreds => next.repeat(200),
        }
    }
}

/// Users saw endpoints work for callers that had left, and get requests long after. A caller had sent
/// more on its connection while its request was being answered: an empty line, or the next request. It
/// left; the box did not notice, let the endpoint go on to its end, and then began the request behind.
///
/// Evidence: on one box without load or trouble, one caller. With nothing behind the request its endpoint was
/// rid of it 6 ms after the caller had left; with an empty line or a request behind it 2.9 s after, as soon
/// as the answer was made, and the next request reached an endpoint 2,902 ms after. The library that reads
/// the connection looks for its end only while nothing else is unread there.
#[parameterized(
    empty_line_closes = { "/again/x", None, Behind::EmptyLine, Leaving::Closes },
    empty_line_resets = { "/again/x", None, Behind::EmptyLine, Leaving::Resets },
    empty_line_ends_sending = { "/again/x", None, Behind::EmptyLine, Leaving::EndsSending },
    one_more_closes = { "/again/x", None, Behind::OneMore, Leaving::Closes },
    one_more_ends_sending = { "/again/x", None, Behind::OneMore, Leaving::EndsSending },
    hundreds_closes = { "/again/x", None, Behind::Hundreds, Leaving::Closes },
    hundreds_resets = { "/again/x", None, Behind::Hundreds, Leaving::Resets },
    not_repeatable = { "/once/x", None, Behind::OneMore, Leaving::Closes },
    stream_one_more = { "/live/x", Some(9), Behind::OneMore, Leaving::Closes },
    stream_empty_line = { "/live/x", Some(9), Behind::EmptyLine, Leaving::Resets },
)]
#[test_macro(tokio::test)]
async fn work_ends_when_its_caller_goes_whatever_it_has_sent_behind(
    path: &str,
    events: Option<u64>,
    behind: Behind,
    leaving: Leaving,
) {
    let service = if events.is_some() { "model" } else { "plain" };
    let fleet = start_fleet(1, &[service, service]).await;
    for endpoint in &fleet.endpoints {
        endpoint.set_processing_time(Duration::from_secs(60));
    }
    let working = || {
        fleet
            .endpoints
            .iter()
            .map(RoutedStandIn::working)
            .sum::<i64>()
    };
    let mut caller = TcpStream::connect(fleet.gateways[0].callers())
        .await
        .unwrap();
    let first = text_request(path, "first", events, "hello");
    caller.write_all(first.as_bytes()).await.unwrap();
    wait_until("an endpoint works", async || working() == 1).await;
    let more = behind.text(path, events);
    // A box that reads no further may leave some of it in the caller's system.
    let write = caller.write_all(more.as_bytes());
    let _ = tokio::time::timeout(Duration::from_millis(300), write).await;
    let _kept = leaving.leave(caller).await;
    wait_until("no endpoint works any more", async || working() == 0).await;
    // Whatever the box had still to do on that connection comes before the next caller's turn.
    let other = call(&fleet.gateways[0], request("/none/x", "other", None)).await;
    assert_eq!(other.status(), 404);
    let counted = fleet.gateways[0].metrics().await;
    let left = format!(r#"outcome="caller_left",service="{service}"}} 1"#);
    assert!(counted.contains(&left), "it ended otherwise: {counted}");
    assert_eq!(fleet.runs_of("first"), 1, "it is not tried again");
    assert_eq!(
        fleet.runs_of("behind"),
        0,
        "nothing is begun for who has left"
    );
}

/// Adds an endpoint to the store that takes connections and reads nothing by itself.
async fn add_unread_endpoint(fleet: &GatewayFleet, room: u32) -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(room).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(16).unwrap();
    let value = json!({
        "service": "plain", "address": listener.local_addr().unwrap(), "zone": "a", "version": "v1",
        "capacity": 8, "state": "ready", "warmup_left_ms": 0, "sequence": 1,
    });
    let key = format!("{}unread", dockgate_platform::ENDPOINT_KEY_PREFIX);
    fleet.store.set(&key, value.to_string());
    let gateway = &fleet.gateways[0];
    wait_until("the endpoint is known", async || {
        gateway
            .logged()
            .contains(r#""event":"endpoint_ready","endpoint":"unread""#)
    })
    .await;
    listener
}

/// Users saw endpoints get requests long after the callers had left. The box had written them while the
/// callers were there; the endpoint, or the way there, took them only later. The box had dropped everything
/// when the caller left, but a connection that is closed delivers what it still holds.
///
/// Evidence: an endpoint that began to read once the caller had gone got all 9,653 bytes of its request. Of
/// 9,000 bytes between two sockets of which one did not read, it got all after the other had closed, and 2,048
/// after the other had reset the connection.
#[tokio::test]
async fn what_an_endpoint_has_not_taken_is_taken_back_when_the_caller_goes() {
    const ROOM: u32 = 2_048;
    // The only one that takes plain requests is the one that reads nothing.
    let fleet = start_fleet(1, &["model"]).await;
    let listener = add_unread_endpoint(&fleet, ROOM).await;
    let mut caller = TcpStream::connect(fleet.gateways[0].callers())
        .await
        .unwrap();
    let body = "b".repeat(9_500);
    let sent = text_request("/again/x", "r1", None, &body);
    caller.write_all(sent.as_bytes()).await.unwrap();
    let (mut endpoint, _) = listener.accept().await.unwrap();
    endpoint.readable().await.unwrap();
    drop(caller);
    let gateway = &fleet.gateways[0];
    wait_until("the box notices", async || {
        gateway.logged().contains("caller_left")
    })
    .await;
    let mut taken = Vec::new();
    // It ends by the box's reset, or by its close.
    let _ = endpoint.read_to_end(&mut taken).await;
    assert!(
        taken.len() < body.len(),
        "it got {} bytes, the whole request",
        taken.len()
    );
}

/// A connection whose caller has gone on to the next request in good order is not taken for one that has left.
#[tokio::test]
async fn a_caller_that_sends_ahead_and_stays_gets_all_its_answers() {
    let fleet = start_fleet(1, &["plain"]).await;
    fleet.endpoints[0].set_processing_time(Duration::from_millis(30));
    let mut caller = TcpStream::connect(fleet.gateways[0].callers())
        .await
        .unwrap();
    let requests: String = (0..20)
        .map(|number| {
            text_request(
                "/once/x",
                &format!("r{number}"),
                None,
                &format!("body {number}"),
            )
        })
        .collect();
    caller.write_all(requests.as_bytes()).await.unwrap();
    let mut answers = String::new();
    while answers.matches("HTTP/1.1 200").count() < 20 || !answers.contains("echo body 19") {
        let mut piece = vec![0; 8_192];
        let length = caller.read(&mut piece).await.unwrap();
        assert!(length > 0, "cut after {answers}");
        answers.push_str(&String::from_utf8_lossy(&piece[..length]));
    }
    let order: Vec<usize> = (0..20)
        .map(|number| answers.find(&format!("echo body {number}")).unwrap())
        .collect();
    assert!(order.is_sorted(), "{answers}");
    let response = call(&fleet.gateways[0], request("/again/x", "r30", None)).await;
    assert_eq!(text(response).await, "echo hello");
}
