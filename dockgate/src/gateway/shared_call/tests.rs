use super::*;
use futures::future::join_all;
use std::time::Duration;

/// Guards against results that are older than the request, and against a call for each request.
#[tokio::test(start_paused = true)]
async fn requests_share_the_next_call_that_begins() {
    let shared = SharedCall::<u64>::default();
    let calls = AtomicU64::new(0);
    let call = async || {
        let number = calls.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(10)).await;
        number
    };
    let late = async || {
        // The first call is under way.
        tokio::time::sleep(Duration::from_millis(5)).await;
        shared.run(call).await
    };
    let (first, others) = tokio::join!(shared.run(call), join_all((0..20).map(|_| late())));
    assert_eq!(first, 0);
    assert_eq!(others, vec![1; 20]);
    assert_eq!(calls.load(Ordering::Relaxed), 2);
}

/// Guards against requests that wait for ever after one of them was dropped during its call.
#[tokio::test(start_paused = true)]
async fn call_of_a_dropped_request_is_made_again() {
    let shared = SharedCall::<u64>::default();
    let endless = shared.run(async || std::future::pending().await);
    let dropped = tokio::time::timeout(Duration::from_millis(1), endless).await;
    assert!(dropped.is_err());
    assert_eq!(shared.run(async || 7).await, 7);
}
