use super::*;
use crate::shared_stream::tests::pair;

/// The limit of heads of a connection.
const HEAD_BYTES: usize = 8_192;

const HEAD_MS: u64 = 3_000;
const IDLE_MS: u64 = 15_000;

#[test]
fn new_connections_are_not_overdue() {
    // The clock starts with the process, long before the connection.
    let started_ms = now_ms();
    let state = ConnectionState::new(HEAD_BYTES);
    assert!(state.last_used_ms() >= started_ms);
    assert!(!state.is_overdue(started_ms + IDLE_MS - 1, HEAD_MS, IDLE_MS));
}

#[test]
fn idle_time_and_incomplete_heads_are_bounded_unlike_busy_time() {
    let state = ConnectionState::new(HEAD_BYTES);
    let now = now_ms();
    assert!(state.is_overdue(now + IDLE_MS + 100, HEAD_MS, IDLE_MS));
    state.record_read();
    assert!(state.is_overdue(now + HEAD_MS + 100, HEAD_MS, IDLE_MS));
    state.begin_request();
    assert!(!state.is_overdue(now + 10 * IDLE_MS, HEAD_MS, IDLE_MS));
    state.end_request();
    assert!(!state.is_overdue(now_ms() + HEAD_MS + 100, HEAD_MS, IDLE_MS));
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
    let connection = ConnectionState::new(HEAD_BYTES);
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
    let connection = ConnectionState::new(HEAD_BYTES);
    connection.close.notify_one();
    let request = std::pin::pin!(std::future::pending::<()>());
    assert_eq!(
        connection
            .serve_until_closed(request, &stream.disconnect_monitor())
            .await,
        None
    );
}

/// Guards against taking a connection for idle whose answer the caller still reads.
#[test]
fn connections_are_busy_until_their_answer_is_written() {
    let state = ConnectionState::new(HEAD_BYTES);
    state.begin_request();
    state.end_request();
    state.record_write(true);
    assert!(state.is_busy());
    state.record_write(false);
    assert!(!state.is_busy());
}

/// Guards against keeping a connection for ever whose caller does not read the answer.
#[test]
fn unread_answers_are_bounded_like_idle_time() {
    let state = ConnectionState::new(HEAD_BYTES);
    state.record_write(true);
    let now = now_ms();
    assert!(!state.is_overdue(now + MIN_UNREAD_MS - 100, 1, 1));
    assert!(state.is_overdue(now + IDLE_MS + 100, HEAD_MS, IDLE_MS));
}

#[tokio::test]
async fn overdue_connections_with_unread_answers_are_closed() {
    let (_caller, stream) = pair().await;
    let connection = ConnectionState::new(HEAD_BYTES);
    connection.record_write(true);
    connection.close.notify_one();
    let request = std::pin::pin!(std::future::pending::<()>());
    assert_eq!(
        connection
            .serve_until_closed(request, &stream.disconnect_monitor())
            .await,
        None
    );
}
