use super::*;
use crate::shared_stream::tests::pair;
use http_body_util::BodyExt;
use proptest::prelude::*;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use yare::parameterized;

/// On a day of 64 boxes an even part of 580 connections was eight, and the one box that had the
/// callers of a large workspace refused what engines with 32 slots had room for.
#[test]
fn one_box_can_use_all_slots_of_an_endpoint() {
    let limits = ConnectionLimits::new(580, 32, 64);
    assert!(limits.open >= 32, "{limits:?}");
    assert!(limits.resting <= 9, "{limits:?}");
}

proptest! {
    /// What rests everywhere and what all slots use is never more than the endpoint takes.
    #[test]
    fn all_boxes_together_stay_within_what_an_endpoint_takes(
        most in 40_usize..2_000,
        slots in 1_u32..64,
        boxes in 2_u32..400,
    ) {
        prop_assume!(slots as usize * 10 <= most * 2 && boxes as usize <= most / 2);
        let limits = ConnectionLimits::new(most, slots, boxes);
        let all = limits.resting * boxes as usize + slots as usize;
        prop_assert!(all <= most, "{limits:?} over {boxes} boxes: {all} of {most}");
        prop_assert!(limits.resting >= 1 && limits.open >= limits.resting);
        prop_assert!(limits.open <= most);
    }
}

/// When the caller of a request leaves.
#[derive(Debug, Clone, Copy)]
enum CallerLeaves {
    BeforeItIsSent,
    /// Once the task of the endpoint's connection has the request, and before that task runs.
    BeforeItIsWritten,
}

/// Answers the first request on one connection, and returns what comes behind it.
async fn answer_first(listener: TcpListener) -> Vec<u8> {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut first = Vec::new();
    while !first.ends_with(b"\r\n\r\n") {
        stream.read_buf(&mut first).await.unwrap();
    }
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(answer).await.unwrap();
    let mut behind = Vec::new();
    // A connection that is reset has nothing more to tell either.
    let _ = stream.read_to_end(&mut behind).await;
    behind
}

/// Users saw endpoints get requests long after the callers had left, at a small box. It had read the
/// requests and decided where they go while the callers were there; then they stood in the queue of its
/// one thread, behind a flood, and the callers left meanwhile. The tasks that wrote the requests stood
/// before those that would have noticed.
///
/// Evidence: of a box that was stopped for 800 ms and ran for 4 in turn, endpoints got 99 of 100 requests
/// more than 500 ms after their callers had closed their connections, one box 5.8 s after; at the moment
/// of each of these writes the system knew that the caller had gone.
#[parameterized(
    before_it_is_sent = { CallerLeaves::BeforeItIsSent },
    before_it_is_written = { CallerLeaves::BeforeItIsWritten },
)]
#[test_macro(tokio::test)]
async fn nothing_is_written_for_a_caller_who_has_left(leaves: CallerLeaves) {
    const PATIENCE: Duration = Duration::from_millis(500);
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let target = EndpointTarget {
        id: EndpointId::from_name("life-1"),
        name: "life-1".to_owned(),
        address: listener.local_addr().unwrap(),
        limits: ConnectionLimits::new(100, 8, 2),
    };
    let endpoint = tokio::spawn(answer_first(listener));
    let (caller, accepted) = pair().await;
    let condition = SendCondition::new(&accepted.disconnect_monitor(), || true);
    let pools = Arc::<EndpointPools>::default();
    let request = || Request::new(Full::new(Bytes::new()));
    let (response, connection) = send(&pools, &target, request(), &condition).await.unwrap();
    response.into_body().collect().await.unwrap();
    connection.keep(None);

    let mut sending = Box::pin(send(&pools, &target, request(), &condition));
    if matches!(leaves, CallerLeaves::BeforeItIsWritten) {
        assert!(futures::poll!(&mut sending).is_pending());
    }
    drop(caller);
    // No task runs meanwhile, but the system hears of the end.
    std::thread::sleep(Duration::from_millis(20));
    let sent = tokio::time::timeout(PATIENCE, &mut sending).await;
    assert!(!matches!(sent, Ok(Ok(_))), "there is no answer");
    drop(sending);
    let behind = endpoint.await.unwrap();
    assert_eq!(String::from_utf8_lossy(&behind), "");
}

/// Where a request goes is decided on what was heard by then. On a box that is late its first byte stands in the queue
/// behind the answer that says the endpoint takes nothing more.
#[tokio::test]
async fn nothing_is_written_that_its_endpoint_does_not_want_any_more() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let target = EndpointTarget {
        id: EndpointId::from_name("life-1"),
        name: "life-1".to_owned(),
        address: listener.local_addr().unwrap(),
        limits: ConnectionLimits::new(100, 8, 2),
    };
    let endpoint = tokio::spawn(answer_first(listener));
    let (_caller, accepted) = pair().await;
    let wants = Arc::new(AtomicBool::new(true));
    let is_wanted = wants.clone();
    let condition = SendCondition::new(&accepted.disconnect_monitor(), move || {
        is_wanted.load(Ordering::Relaxed)
    });
    let pools = Arc::<EndpointPools>::default();
    let request = || Request::new(Full::new(Bytes::new()));
    let (response, connection) = send(&pools, &target, request(), &condition).await.unwrap();
    response.into_body().collect().await.unwrap();
    connection.keep(None);

    let mut sending = Box::pin(send(&pools, &target, request(), &condition));
    assert!(futures::poll!(&mut sending).is_pending());
    wants.store(false, Ordering::Relaxed);
    let sent = sending.await;
    let reason = WithheldReason::Unwanted;
    assert!(matches!(sent, Err(SendFailure::Withheld(withheld)) if withheld == reason));
    let behind = endpoint.await.unwrap();
    assert_eq!(String::from_utf8_lossy(&behind), "");
}
