use super::*;
use crate::gateway::gateway_state::tests::state_with_seed;
use dockgate_core::gateway::{SoftwareVersion, StreamKey};
use dockgate_core::{BoxKey, Incarnation};
use dockgate_platform::{WireItem, WireRange, WireValue};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::JoinHandle;

fn record(number: u32) -> StreamRecord {
    StreamRecord {
        key: StreamKey::new("captions", "model", &number.to_string()),
        workspace: 7,
        version: SoftwareVersion(u64::from(number)),
        life_ms: 60_000,
    }
}

/// Creates the state of a box that lists streams, and the listener of its store.
async fn state_with_store() -> (Arc<GatewayState>, TcpListener) {
    let store = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = store.local_addr().unwrap();
    // The state takes the address of its store from that of its datagrams.
    let datagrams = UdpSocket::bind(address).await.unwrap();
    let state = Arc::new(state_with_seed(datagrams, address));
    tokio::spawn(list_streams(state.clone()));
    (state, store)
}

/// Waits for a call of the box.
async fn next_call(store: &TcpListener) -> TcpStream {
    let (mut stream, _) = store.accept().await.unwrap();
    let mut head = [0; 4_096];
    let length = stream.read(&mut head).await.unwrap();
    let head = String::from_utf8_lossy(&head[..length]).into_owned();
    let path = "/-/kv-range?path_prefix=streams/ ";
    assert!(head.starts_with(&format!("GET {path}")), "{head}");
    stream
}

/// Answers a listing with the values.
async fn answer(mut call: TcpStream, values: &[&[u8]]) {
    let entries = values.iter().enumerate().map(|(number, value)| WireItem {
        key_file: streams_key(BoxKey(1), Incarnation(1), number as u32),
        value: WireValue(value.to_vec().into()),
        revision: 4,
        ..WireItem::default()
    });
    let range = WireRange {
        entries: entries.collect(),
        has_more: false,
        timestamp: 4,
    };
    let body = serde_json::to_string(&range).unwrap();
    let head = format!(
        "HTTP/1.1 200 OK\r\nstore-era: 1\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    call.write_all((head + &body).as_bytes()).await.unwrap();
    call.shutdown().await.unwrap();
}

fn spawn_load(state: &Arc<GatewayState>) -> JoinHandle<ListingResult> {
    let state = state.clone();
    tokio::spawn(async move {
        let deadline = ClockInstant::now() + Duration::from_secs(10);
        load_streams(&state, deadline).await
    })
}

/// Lets the other tasks run until they wait.
async fn run_tasks() {
    for _ in 0..20 {
        tokio::task::yield_now().await;
    }
}

/// Guards against a stream that is missed since its caller was given a listing from before, and
/// against a listing for each caller.
#[tokio::test]
async fn callers_share_a_listing_that_begins_after_they_asked() {
    let (state, store) = state_with_store().await;
    let first = spawn_load(&state);
    let call = next_call(&store).await;
    let later: Vec<JoinHandle<ListingResult>> = (0..5).map(|_| spawn_load(&state)).collect();
    run_tasks().await;
    answer(call, &[&encode_streams(&[record(1)])]).await;
    assert_eq!(first.await.unwrap().unwrap().streams.len(), 1);
    assert!(later.iter().all(|load| !load.is_finished()));
    let call = next_call(&store).await;
    answer(call, &[&encode_streams(&[record(1), record(2)])]).await;
    for load in later {
        let loaded = load.await.unwrap().unwrap();
        let count = loaded.streams.len();
        assert_eq!((count, loaded.unreadable, loaded.era), (2, 0, 1));
    }
    // A listing that has just ended is used without a call.
    let loaded = spawn_load(&state).await.unwrap().unwrap();
    assert_eq!(loaded.streams.len(), 2);
    assert_eq!(loaded.record(record(2).key), Some(record(2)));
}

/// Guards against one value of another writer that hides all others.
#[tokio::test]
async fn unreadable_values_are_skipped() {
    let (state, store) = state_with_store().await;
    let load = spawn_load(&state);
    let call = next_call(&store).await;
    let (one, two) = (encode_streams(&[record(1)]), encode_streams(&[record(2)]));
    answer(call, &[b"", &one, b"\x01\xff\xff\xff", b"{}", &two]).await;
    let loaded = load.await.unwrap().unwrap();
    assert_eq!((loaded.streams.len(), loaded.unreadable), (2, 3));
    assert_eq!(loaded.record(record(1).key), Some(record(1)));
    assert_eq!(loaded.record(record(2).key), Some(record(2)));
}

/// Guards against callers that wait for an answer which does not come, and against a call for each of
/// them.
#[tokio::test]
async fn callers_share_a_failure() {
    let (state, store) = state_with_store().await;
    let loads = [spawn_load(&state), spawn_load(&state)];
    run_tasks().await;
    drop(next_call(&store).await);
    for load in loads {
        assert!(load.await.unwrap().is_err());
    }
    let load = spawn_load(&state);
    answer(next_call(&store).await, &[]).await;
    assert!(load.await.unwrap().unwrap().streams.is_empty());
}

#[tokio::test]
async fn callers_wait_until_their_deadline() {
    let (state, store) = state_with_store().await;
    let deadline = ClockInstant::now() + Duration::from_millis(20);
    let failed = load_streams(&state, deadline).await;
    assert!(matches!(*failed.unwrap_err(), PlatformError::TimedOut(..)));
    drop(store);
}

/// Answers the next call, whose body is an object, with a body in an era; returns the call.
async fn answer_in_era(store: &TcpListener, era: u64, body: &str) -> String {
    let (mut stream, _) = store.accept().await.unwrap();
    let mut call = Vec::new();
    while !call.ends_with(b"}") {
        assert!(stream.read_buf(&mut call).await.unwrap() > 0);
    }
    let answer = format!(
        "HTTP/1.1 200 OK\r\nstore-era: {era}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(answer.as_bytes()).await.unwrap();
    stream.shutdown().await.unwrap();
    String::from_utf8(call).unwrap()
}

/// Guards against streams that count as stored in a copy of the store that is no longer in use.
#[tokio::test]
async fn streams_are_written_again_after_an_answer_of_an_earlier_era() {
    let (state, store) = state_with_store().await;
    state.record_era(Some(3), "test");
    tokio::spawn(write_streams(state.clone()));
    append_streams(&state, &[record(1)]);
    let stored = || state.with(|view| view.stream_log.stored_count());
    let lease = answer_in_era(&store, 3, r#"{"lease":7,"ttl_ms":120000}"#).await;
    assert!(lease.starts_with("POST /-/kv-lease "), "{lease}");
    let write = answer_in_era(&store, 2, r#"{"revision":5}"#).await;
    assert!(write.starts_with("POST /-/kv-txn "), "{write}");
    let again = answer_in_era(&store, 3, r#"{"revision":5}"#).await;
    assert!(again.starts_with("POST /-/kv-txn "), "{again}");
    while stored() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    // The lease and its keys are lost with a later era.
    state.record_era(Some(4), "test");
    let lease = answer_in_era(&store, 4, r#"{"lease":3,"ttl_ms":120000}"#).await;
    assert!(lease.starts_with("POST /-/kv-lease "), "{lease}");
    let write = answer_in_era(&store, 4, r#"{"revision":4}"#).await;
    assert!(write.contains("/00000001"), "the key is new: {write}");
}
