use super::*;
use crate::shared_stream::tests::pair;
use http_body_util::BodyExt;
use proptest::prelude::*;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use yare::parameterized;

/// If all callers of a workspace are at one box, an even share of the connections is too small for
/// that box to use the slots of an endpoint.
#[test]
fn one_box_can_use_all_slots_of_an_endpoint() {
    let limits = ConnectionLimits::new(580, 32, 64);
    assert!(limits.open >= 32, "{limits:?}");
    assert!(limits.idle <= 9, "{limits:?}");
}

proptest! {
    /// Idle connections of all boxes and used slots together never exceed the endpoint's limit.
    #[test]
    fn all_boxes_together_stay_within_the_connection_limit(
        max in 40_usize..2_000,
        slots in 1_u32..64,
        boxes in 2_u32..400,
    ) {
        prop_assume!(slots as usize * 10 <= max * 2 && boxes as usize <= max / 2);
        let limits = ConnectionLimits::new(max, slots, boxes);
        let total = limits.idle * boxes as usize + slots as usize;
        prop_assert!(total <= max, "{limits:?} over {boxes} boxes: {total} of {max}");
        prop_assert!(limits.idle >= 1 && limits.open >= limits.idle);
        prop_assert!(limits.open <= max);
    }
}

/// When the caller of a request leaves.
#[derive(Debug, Clone, Copy)]
enum CallerLeaves {
    BeforeSend,
    /// After the request was handed to the connection task, and before that task runs.
    BeforeWrite,
}

/// Answers the first request on one connection, and returns the bytes received after it.
async fn answer_first(listener: TcpListener) -> Vec<u8> {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut first = Vec::new();
    while !first.ends_with(b"\r\n\r\n") {
        stream.read_buf(&mut first).await.unwrap();
    }
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(answer).await.unwrap();
    let mut trailing = Vec::new();
    // A reset of the connection is expected too.
    let _ = stream.read_to_end(&mut trailing).await;
    trailing
}

/// On an overloaded box, a request may be written long after it was placed. It must not reach the
/// endpoint if its caller has left meanwhile.
#[parameterized(
    before_send = { CallerLeaves::BeforeSend },
    before_write = { CallerLeaves::BeforeWrite },
)]
#[test_macro(tokio::test)]
async fn nothing_is_written_for_a_caller_that_has_left(leaves: CallerLeaves) {
    const TIMEOUT: Duration = Duration::from_millis(500);
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let target = EndpointTarget {
        id: EndpointId::from_name("life-1"),
        name: "life-1".to_owned(),
        address: listener.local_addr().unwrap(),
        version: SoftwareVersion::UNKNOWN,
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
    if matches!(leaves, CallerLeaves::BeforeWrite) {
        assert!(futures::poll!(&mut sending).is_pending());
    }
    drop(caller);
    // Blocks the runtime, so that only the kernel learns of the close.
    std::thread::sleep(Duration::from_millis(20));
    let sent = tokio::time::timeout(TIMEOUT, &mut sending).await;
    assert!(!matches!(sent, Ok(Ok(_))), "there is no answer");
    drop(sending);
    let trailing = endpoint.await.unwrap();
    assert_eq!(String::from_utf8_lossy(&trailing), "");
}

/// An endpoint may announce that it accepts no requests after one was placed there and before its
/// first byte is written.
#[tokio::test]
async fn nothing_is_written_to_an_endpoint_that_stopped_accepting() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let target = EndpointTarget {
        id: EndpointId::from_name("life-1"),
        name: "life-1".to_owned(),
        address: listener.local_addr().unwrap(),
        version: SoftwareVersion::UNKNOWN,
        limits: ConnectionLimits::new(100, 8, 2),
    };
    let endpoint = tokio::spawn(answer_first(listener));
    let (_caller, accepted) = pair().await;
    let accepts = Arc::new(AtomicBool::new(true));
    let is_accepted = accepts.clone();
    let condition = SendCondition::new(&accepted.disconnect_monitor(), move || {
        is_accepted.load(Ordering::Relaxed)
    });
    let pools = Arc::<EndpointPools>::default();
    let request = || Request::new(Full::new(Bytes::new()));
    let (response, connection) = send(&pools, &target, request(), &condition).await.unwrap();
    response.into_body().collect().await.unwrap();
    connection.keep(None);

    let mut sending = Box::pin(send(&pools, &target, request(), &condition));
    assert!(futures::poll!(&mut sending).is_pending());
    accepts.store(false, Ordering::Relaxed);
    let sent = sending.await;
    let reason = WithheldReason::Unwanted;
    assert!(matches!(sent, Err(SendFailure::Withheld(withheld)) if withheld == reason));
    let trailing = endpoint.await.unwrap();
    assert_eq!(String::from_utf8_lossy(&trailing), "");
}

/// Guards against a new connection for each request.
#[tokio::test]
async fn connections_of_written_requests_are_kept() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let target = EndpointTarget {
        id: EndpointId::from_name("life-1"),
        name: "life-1".to_owned(),
        address: listener.local_addr().unwrap(),
        version: SoftwareVersion::UNKNOWN,
        limits: ConnectionLimits::new(100, 8, 2),
    };
    let endpoint = tokio::spawn(answer_first(listener));
    let (_caller, accepted) = pair().await;
    let condition = SendCondition::new(&accepted.disconnect_monitor(), || true);
    let pools = Arc::<EndpointPools>::default();
    let request = Request::new(Full::new(Bytes::new()));
    let (response, connection) = send(&pools, &target, request, &condition).await.unwrap();
    response.into_body().collect().await.unwrap();
    connection.keep(None);
    assert_eq!(pools.locked()[&target.id].idle.len(), 1);
    endpoint.abort();
}
