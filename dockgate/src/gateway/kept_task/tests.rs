use super::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::sync::Notify;

/// What was read made the reader panic, and the box went on without one: it knew of no change any more.
#[tokio::test(start_paused = true)]
async fn a_task_that_panics_is_begun_anew_until_it_ends_by_itself() {
    let begun = Arc::new(AtomicU32::new(0));
    let done = Arc::new(Notify::new());
    let (count, end) = (begun.clone(), done.clone());
    keep_task("reader", move || {
        let (count, end) = (count.clone(), end.clone());
        async move {
            let times = count.fetch_add(1, Ordering::Relaxed);
            assert!(times >= 3, "it cannot be read");
            end.notify_one();
        }
    });
    done.notified().await;
    tokio::time::sleep(MOST_PAUSE * 2).await;
    assert_eq!(begun.load(Ordering::Relaxed), 4);
}

#[tokio::test(start_paused = true)]
async fn it_is_not_begun_at_once_again_and_again() {
    let begun = Arc::new(AtomicU32::new(0));
    let count = begun.clone();
    keep_task("reader", move || {
        count.fetch_add(1, Ordering::Relaxed);
        async { panic!("each time") }
    });
    tokio::time::sleep(Duration::from_secs(20)).await;
    let times = begun.load(Ordering::Relaxed);
    assert!((10..20).contains(&times), "{times}");
}

#[test]
fn what_a_panic_says_is_told() {
    let owned: Box<dyn Any + Send> = Box::new("at 7".to_owned());
    assert_eq!(message_of(owned.as_ref()), "at 7");
    let text: Box<dyn Any + Send> = Box::new("plain");
    assert_eq!(message_of(text.as_ref()), "plain");
    let other: Box<dyn Any + Send> = Box::new(7);
    assert_eq!(message_of(other.as_ref()), "no message");
}
