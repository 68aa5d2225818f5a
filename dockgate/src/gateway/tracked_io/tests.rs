use super::*;
use crate::shared_stream::tests::pair;

const HEAD_MS: u64 = 3_000;
const IDLE_MS: u64 = 15_000;

#[test]
fn a_connection_is_not_overdue_before_its_task_has_run() {
    // The clock counts from the start of the process, which may be long ago.
    let born_ms = now_ms();
    let state = ConnectionState::new();
    assert!(state.last_used_ms() >= born_ms);
    assert!(!state.is_overdue(born_ms + IDLE_MS - 1, HEAD_MS, IDLE_MS));
}

#[test]
fn rest_and_half_a_head_are_bounded_and_work_is_not() {
    let state = ConnectionState::new();
    let now = now_ms();
    assert!(state.is_overdue(now + IDLE_MS + 100, HEAD_MS, IDLE_MS));
    state.record_read();
    assert!(state.is_overdue(now + HEAD_MS + 100, HEAD_MS, IDLE_MS));
    state.begin_request();
    assert!(!state.is_overdue(now + 10 * IDLE_MS, HEAD_MS, IDLE_MS));
    state.end_request();
    assert!(!state.is_overdue(now_ms() + HEAD_MS + 100, HEAD_MS, IDLE_MS));
}

/// Reads a request a moment after it is first polled, and answers it a while later, as a connection
/// does whose request has arrived and was not read yet.
async fn answer_one(connection: &ConnectionState) -> &'static str {
    tokio::task::yield_now().await;
    connection.begin_request();
    tokio::time::sleep(Duration::from_millis(30)).await;
    connection.end_request();
    "answered"
}

/// On a day of 64 boxes a box that was short of processor closed a connection 370 ms after a request
/// had been sent on it.
#[tokio::test]
async fn a_request_that_crosses_the_close_is_answered() {
    let (_caller, stream) = pair().await;
    let connection = ConnectionState::new();
    connection.close.notify_one();
    let served = std::pin::pin!(answer_one(&connection));
    assert_eq!(
        connection
            .serve_until_closed(served, &stream.disconnect_monitor())
            .await,
        Some("answered")
    );
}

#[tokio::test]
async fn a_connection_at_rest_is_closed_when_it_is_told_to() {
    let (_caller, stream) = pair().await;
    let connection = ConnectionState::new();
    connection.close.notify_one();
    let served = std::pin::pin!(std::future::pending::<()>());
    assert_eq!(
        connection
            .serve_until_closed(served, &stream.disconnect_monitor())
            .await,
        None
    );
}
