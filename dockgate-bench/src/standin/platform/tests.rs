use super::*;
use dockgate_platform::{
    PlatformClient, PutCondition, PutOutcome, StoreChanges, StoreEvent, WatchOutcome,
};

const WAIT: Duration = Duration::from_secs(5);

/// What a watch tells in the first era.
fn changes(events: Vec<StoreEvent>, revision: u64) -> WatchOutcome {
    WatchOutcome::Changes(StoreChanges {
        events,
        revision,
        era: Some(1),
    })
}

async fn pair() -> (PlatformStandIn, PlatformClient) {
    let standin = PlatformStandIn::start().await.unwrap();
    let client = PlatformClient::new(standin.address, WAIT);
    (standin, client)
}

#[tokio::test]
async fn a_write_with_a_stale_condition_is_refused() {
    let (_standin, client) = pair().await;
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
async fn a_watch_waits_for_a_change_and_a_lost_reply_has_taken_effect() {
    let (standin, client) = pair().await;
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
        panic!("the history is there");
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
async fn keys_go_with_their_lease_and_watches_are_told() {
    let (standin, client) = pair().await;
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
async fn a_lease_that_is_not_renewed_lapses() {
    let (_standin, client) = pair().await;
    let lease = client.lease(Duration::from_millis(1)).await.unwrap();
    tokio::time::sleep(Duration::from_millis(20)).await;
    let value = Bytes::from_static(b"v");
    let late = client
        .put("k", value, PutCondition::Always, Some(lease.id))
        .await;
    assert_eq!(late.unwrap(), PutOutcome::NoLease);
}

#[tokio::test]
async fn pages_are_put_together_and_forgotten_history_is_said() {
    let (standin, client) = pair().await;
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
async fn a_store_that_is_out_says_nothing() {
    let (standin, client) = pair().await;
    standin.set("k", "v");
    standin.set_unavailable(true);
    assert!(client.get("k").await.is_err());
    assert!(client.list("k").await.is_err());
    standin.set_unavailable(false);
    assert!(client.get("k").await.unwrap().is_some());
}
