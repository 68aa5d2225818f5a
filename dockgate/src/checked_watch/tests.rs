use super::*;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const PREFIX: &str = "op/";
const SINCE: StoreRevision = StoreRevision::new(0, 6);
const LATEST: StoreRevision = StoreRevision::new(0, 8);
const TIMEOUT: Duration = Duration::from_secs(5);
const NO_NEWS: &str = r#"{"events":[],"timestamp":8}"#;
const MISSED: &str =
    r#"{"events":[{"key_file":"op/config","revision":7,"deleted":true}],"timestamp":8}"#;

/// A store that never answers a watch which waits. It answers others with `page`, and the first
/// ones of these not at all either.
struct MuteStore {
    client: PlatformClient,
    /// The number of calls that do not wait.
    checks: Arc<AtomicUsize>,
}

impl MuteStore {
    async fn start(page: &'static str, lost_checks: usize) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let client = PlatformClient::new(listener.local_addr().unwrap(), TIMEOUT);
        let checks = Arc::new(AtomicUsize::new(0));
        let counter = checks.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer_checks(stream, page, lost_checks, counter.clone()));
            }
        });
        Self { client, checks }
    }
}

async fn answer_checks(
    mut stream: TcpStream,
    page: &str,
    lost_checks: usize,
    checks: Arc<AtomicUsize>,
) {
    let answer = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{page}",
        page.len()
    );
    let mut bytes = vec![0; 4_096];
    while let Ok(length @ 1..) = stream.read(&mut bytes).await {
        let request = String::from_utf8_lossy(&bytes[..length]);
        let waits = !request.contains("wait_ms=0 ");
        if waits || checks.fetch_add(1, Ordering::Relaxed) < lost_checks {
            // Once an answer is lost, nothing more is said on the connection.
            std::future::pending::<()>().await;
        }
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Watches a store whose latest revision is reported to be [`LATEST`] again and again, for `time`;
/// returns the outcome, if there is one by then, and the results of checks.
async fn watch_for(
    watch: &mut CheckedWatch,
    sender: &watch::Sender<StoreRevision>,
    time: Duration,
) -> (
    Option<Result<WatchOutcome, PlatformError>>,
    Vec<CheckResult>,
) {
    let mut results = Vec::new();
    let probes = async {
        loop {
            tokio::time::sleep(Duration::from_millis(100)).await;
            sender.send_replace(LATEST);
        }
    };
    let outcome = tokio::select! {
        outcome = watch.next(SINCE, |result| results.push(result)) => Some(outcome),
        () = probes => None,
        () = tokio::time::sleep(time) => None,
    };
    (outcome, results)
}

fn has_events(outcome: Option<Result<WatchOutcome, PlatformError>>) -> bool {
    matches!(outcome, Some(Ok(WatchOutcome::Changes(changes))) if changes.events.len() == 1)
}

/// Guards against a mute watch that is waited for until it times out.
#[tokio::test]
async fn missed_changes_are_read_while_the_watch_is_mute() {
    let store = MuteStore::start(MISSED, 0).await;
    let (sender, latest) = watch::channel(SINCE);
    let mut watch = CheckedWatch::new(store.client, PREFIX, TIMEOUT, latest);
    let (outcome, results) = watch_for(&mut watch, &sender, TIMEOUT).await;
    assert!(has_events(outcome));
    let [CheckResult::Missed { latest, behind_ms }] = results[..] else {
        panic!("one check that finds a missed change: {results:?}");
    };
    assert_eq!(latest, LATEST);
    assert!(behind_ms >= 1_000, "checked after {behind_ms} ms");
}

/// Guards against calls without end to a store in which only other keys change.
#[tokio::test]
async fn watch_without_changes_is_checked_once_for_a_revision() {
    let store = MuteStore::start(NO_NEWS, 0).await;
    let (sender, latest) = watch::channel(SINCE);
    let mut watch = CheckedWatch::new(store.client, PREFIX, TIMEOUT, latest);
    let (outcome, results) = watch_for(&mut watch, &sender, Duration::from_millis(3_500)).await;
    assert!(outcome.is_none(), "the watch goes on");
    assert_eq!(results, [CheckResult::Current]);
    assert_eq!(store.checks.load(Ordering::Relaxed), 1);
}

/// Guards against a long wait after a check whose answer is lost as well.
#[tokio::test]
async fn call_after_a_lost_check_does_not_wait() {
    let store = MuteStore::start(MISSED, 1).await;
    let (sender, latest) = watch::channel(SINCE);
    let mut watch = CheckedWatch::new(store.client, PREFIX, TIMEOUT, latest);
    let (outcome, results) = watch_for(&mut watch, &sender, TIMEOUT).await;
    assert!(matches!(
        outcome,
        Some(Err(PlatformError::TimedOut("watch", _)))
    ));
    assert_eq!(results, [CheckResult::Failed]);
    let (outcome, _) = watch_for(&mut watch, &sender, TIMEOUT).await;
    assert!(has_events(outcome));
    assert_eq!(store.checks.load(Ordering::Relaxed), 2);
}

/// Guards against a check that waits for the store's next answer to another call.
#[tokio::test]
async fn lagging_watch_is_checked_without_a_further_answer() {
    let store = MuteStore::start(MISSED, 0).await;
    let (sender, latest) = watch::channel(SINCE);
    let mut watch = CheckedWatch::new(store.client, PREFIX, TIMEOUT, latest);
    sender.send_replace(LATEST);
    let outcome = tokio::time::timeout(TIMEOUT, watch.next(SINCE, |_| {})).await;
    assert!(has_events(outcome.ok()));
}
