use super::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::sync::Notify;

/// Guards against a box that misses all further changes after its reader has panicked once.
#[tokio::test(start_paused = true)]
async fn panicking_tasks_are_restarted_until_they_return() {
    let starts = Arc::new(AtomicU32::new(0));
    let done = Arc::new(Notify::new());
    let (count, end) = (starts.clone(), done.clone());
    spawn_supervised("reader", move || {
        let (count, end) = (count.clone(), end.clone());
        async move {
            let times = count.fetch_add(1, Ordering::Relaxed);
            assert!(times >= 3, "invalid input");
            end.notify_one();
        }
    });
    done.notified().await;
    tokio::time::sleep(MAX_DELAY * 2).await;
    assert_eq!(starts.load(Ordering::Relaxed), 4);
}

#[tokio::test(start_paused = true)]
async fn repeated_panics_delay_the_restart() {
    let starts = Arc::new(AtomicU32::new(0));
    let count = starts.clone();
    spawn_supervised("reader", move || {
        count.fetch_add(1, Ordering::Relaxed);
        async { panic!("each time") }
    });
    tokio::time::sleep(Duration::from_secs(20)).await;
    let times = starts.load(Ordering::Relaxed);
    assert!((10..20).contains(&times), "{times}");
}

#[test]
fn panic_messages_are_extracted() {
    let owned: Box<dyn Any + Send> = Box::new("at 7".to_owned());
    assert_eq!(panic_message(owned.as_ref()), "at 7");
    let text: Box<dyn Any + Send> = Box::new("plain");
    assert_eq!(panic_message(text.as_ref()), "plain");
    let other: Box<dyn Any + Send> = Box::new(7);
    assert_eq!(panic_message(other.as_ref()), "no message");
}
