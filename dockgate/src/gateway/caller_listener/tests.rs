use super::super::gateway_state::tests::state_with_seed;
use super::*;
use futures::FutureExt;
use tokio::net::UdpSocket;

/// The limit of heads of a connection.
const HEAD_BYTES: usize = 8_192;

/// Guards against new callers that wait until lingering connections time out.
#[tokio::test(start_paused = true)]
async fn lingering_connections_are_closed_for_new_callers() {
    const HANG_TIMEOUT: Duration = Duration::from_secs(5);
    let datagrams = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let seed = datagrams.local_addr().unwrap();
    let state = Arc::new(state_with_seed(datagrams, seed));
    let listener = Arc::new(CallerListener::new(state));
    let idle = Arc::new(ConnectionState::new(HEAD_BYTES));
    listener.locked().insert(0, idle.clone());
    let limit = listener.max_connections() as u64;
    let lingering: Vec<Arc<ConnectionState>> = (1..limit)
        .map(|number| {
            let connection = Arc::new(ConnectionState::new(HEAD_BYTES));
            connection.begin_linger();
            listener.locked().insert(number, connection.clone());
            connection
        })
        .collect();
    let callers = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let accepting = tokio::spawn(listener.accept(callers));
    let closed = lingering
        .iter()
        .map(|connection| Box::pin(connection.close.notified()));
    let closed = tokio::time::timeout(HANG_TIMEOUT, futures::future::select_all(closed)).await;
    accepting.abort();
    assert!(closed.is_ok(), "no lingering connection is closed");
    let is_closed = idle.close.notified().now_or_never().is_some();
    assert!(!is_closed, "a caller may still send on an idle connection");
}
