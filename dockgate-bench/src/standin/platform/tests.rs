use super::*;
use dockgate_platform::{
    PlatformClient, PutCondition, PutOutcome, StoreChanges, StoreEvent, WatchOutcome,
};

const WAIT: Duration = Duration::from_secs(5);

/// Returns the outcome of a watch in the first era.
fn changes(events: Vec<StoreEvent>, revision: u64) -> WatchOutcome {
    WatchOutcome::Changes(StoreChanges {
        events,
        revision,
        era: Some(1),
    })
}

async fn start_store() -> (PlatformStandIn, PlatformClient) {
    let standin = PlatformStandIn::start().await.unwrap();
    let client = PlatformClient::new(standin.address, WAIT);
    (standin, client)
}

#[tokio::test]
async fn stale_conditional_writes_are_rejected() {
    let (_standin, client) = start_store().await;
    let put = async |text: &'static str, condition| {
        let value = Bytes::from_static(text.as_bytes());
        client.put("k", value, condition, None).await.unwrap()
    };
    let first = put("a", PutCondition::Absent).await;
    assert_eq!(first, PutOutcome::Done(1));
    assert_eq!(put("b", PutCondition::Absent).await, PutOutcome::Conflict);
    assert_eq!(
        put("b", PutCondition::Revision(1)).await,
        PutOutcome::Done(2)
    );
    assert_eq!(
        put("c", PutCondition::Revision(1)).await,
        PutOutcome::Conflict
    );
    assert_eq!(client.get("k").await.unwrap().unwrap().bytes, "b");
}

#[tokio::test]
async fn writes_with_dropped_replies_take_effect_and_wake_watches() {
    let (standin, client) = start_store().await;
    let watching = client.clone();
    let watch = tokio::spawn(async move { watching.watch("k", 0, WAIT).await });
    standin.set_drops_replies(true);
    let value = Bytes::from_static(b"v");
    let lost = client.put("k", value, PutCondition::Absent, None).await;
    assert!(lost.is_err());
    let WatchOutcome::Changes(StoreChanges {
        events, revision, ..
    }) = watch.await.unwrap().unwrap()
    else {
        panic!("the history covers the watch");
    };
    assert!(matches!(&events[..], [StoreEvent::Written(item)] if item.bytes == "v"));
    assert_eq!(revision, 1);
    assert_eq!(
        standin.calls(),
        PlatformCalls {
            reads: 1,
            writes: 1
        }
    );
}

#[tokio::test]
async fn ended_leases_remove_their_keys_and_notify_watches() {
    let (standin, client) = start_store().await;
    let lease = client.lease(WAIT).await.unwrap();
    let put = |lease| {
        client.put(
            "k",
            Bytes::from_static(b"v"),
            PutCondition::Always,
            Some(lease),
        )
    };
    assert_eq!(put(lease.id).await.unwrap(), PutOutcome::Done(1));
    assert!(client.renew(lease.id).await.unwrap());
    assert!(client.end_lease(lease.id).await.unwrap());
    assert!(!client.renew(lease.id).await.unwrap());
    assert_eq!(put(lease.id).await.unwrap(), PutOutcome::NoLease);
    let outcome = client.watch("k", 1, WAIT).await.unwrap();
    let removed = StoreEvent::Removed("k".to_owned(), 2);
    assert_eq!(outcome, changes(vec![removed], 2));
    drop(standin);
}

#[tokio::test]
async fn unrenewed_leases_expire() {
    let (_standin, client) = start_store().await;
    let lease = client.lease(Duration::from_millis(1)).await.unwrap();
    tokio::time::sleep(Duration::from_millis(20)).await;
    let value = Bytes::from_static(b"v");
    let late = client
        .put("k", value, PutCondition::Always, Some(lease.id))
        .await;
    assert_eq!(late.unwrap(), PutOutcome::NoLease);
}

#[tokio::test]
async fn listings_span_pages_and_dropped_history_is_reported() {
    let (standin, client) = start_store().await;
    for number in 0..1_203 {
        standin.set(&format!("e/{number:05}"), "x");
    }
    standin.set("f/1", "x");
    let listing = client.list("e/").await.unwrap();
    assert_eq!((listing.items.len(), listing.revision), (1_203, 1_204));
    standin.forget_history();
    assert_eq!(
        client.watch("e/", 1_000, WAIT).await.unwrap(),
        WatchOutcome::HistoryLost
    );
    let none = client
        .watch("e/", 1_204, Duration::from_millis(1))
        .await
        .unwrap();
    assert_eq!(none, changes(Vec::new(), 1_204));
}

#[tokio::test]
async fn unavailable_store_does_not_answer() {
    let (standin, client) = start_store().await;
    standin.set("k", "v");
    standin.set_unavailable(true);
    assert!(client.get("k").await.is_err());
    assert!(client.list("k").await.is_err());
    standin.set_unavailable(false);
    assert!(client.get("k").await.unwrap().is_some());
}

/// Guards against a listing that skips keys, or fails, where a key of another writer ends a page.
#[tokio::test]
async fn listings_continue_after_any_key() {
    let (standin, client) = start_store().await;
    // Each odd key is the last one of a page of 500.
    let ends = ["a b", "a&since_revision=z", "a%62", "a#?", "a+", "é\n", "z"];
    for (page, end) in ends.iter().enumerate() {
        for number in 1..500 {
            standin.set(&format!("servers/{page}-{number:03}"), "");
        }
        standin.set(&format!("servers/{page}-{end}"), "");
    }
    let listing = client.list("servers/").await.unwrap();
    let listed: Vec<String> = listing.items.into_iter().map(|item| item.key).collect();
    assert_eq!(listed, standin.keys());
}
