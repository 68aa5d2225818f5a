use super::*;
use crate::shared_stream::tests::pair;
use tokio::io::AsyncWriteExt;

const HEAD_MS: u64 = 3_000;
const IDLE_MS: u64 = 15_000;

#[test]
fn new_connections_are_not_overdue() {
    // The clock starts with the process, long before the connection.
    let started_ms = now_ms();
    let state = ConnectionState::new();
    assert!(state.last_used_ms() >= started_ms);
    assert!(!state.is_overdue(started_ms + IDLE_MS - 1, HEAD_MS, IDLE_MS));
}

#[test]
fn idle_time_and_incomplete_heads_are_bounded_unlike_busy_time() {
    let state = ConnectionState::new();
    let now = now_ms();
    assert!(state.is_overdue(now + IDLE_MS + 100, HEAD_MS, IDLE_MS));
    state.record_read();
    assert!(state.is_overdue(now + HEAD_MS + 100, HEAD_MS, IDLE_MS));
    state.begin_request();
    assert!(!state.is_overdue(now + 10 * IDLE_MS, HEAD_MS, IDLE_MS));
    state.end_request();
    assert!(!state.is_overdue(now + 10 * IDLE_MS, HEAD_MS, IDLE_MS));
    state.record_flush();
    assert!(!state.is_overdue(now_ms() + HEAD_MS + 100, HEAD_MS, IDLE_MS));
    assert!(state.is_overdue(now_ms() + IDLE_MS + 100, HEAD_MS, IDLE_MS));
}

/// Guards against a connection that counts as idle while its answer is still being written.
#[tokio::test]
async fn connections_are_busy_until_their_answer_is_flushed() {
    let (_caller, stream) = pair().await;
    let state = Arc::new(ConnectionState::new());
    let mut io = TrackedIo::new(stream, state.clone());
    state.begin_request();
    io.flush().await.unwrap();
    assert!(state.is_busy());
    state.end_request();
    assert!(state.is_busy());
    io.flush().await.unwrap();
    assert!(!state.is_busy());
}

/// Simulates a connection whose received request is read after the first poll.
async fn answer_one_request(connection: &ConnectionState) -> &'static str {
    tokio::task::yield_now().await;
    connection.begin_request();
    tokio::time::sleep(Duration::from_millis(30)).await;
    connection.end_request();
    "answered"
}

/// Guards against a close that drops a request which was received but not read yet.
#[tokio::test]
async fn requests_received_before_the_close_are_answered() {
    let (_caller, stream) = pair().await;
    let connection = ConnectionState::new();
    connection.close.notify_one();
    let request = std::pin::pin!(answer_one_request(&connection));
    assert_eq!(
        connection
            .serve_until_closed(request, &stream.disconnect_monitor())
            .await,
        Some("answered")
    );
}

#[tokio::test]
async fn idle_connections_are_closed_on_notification() {
    let (_caller, stream) = pair().await;
    let connection = ConnectionState::new();
    connection.close.notify_one();
    let request = std::pin::pin!(std::future::pending::<()>());
    assert_eq!(
        connection
            .serve_until_closed(request, &stream.disconnect_monitor())
            .await,
        None
    );
}
