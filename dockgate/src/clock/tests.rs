use super::away_standin::be_away;
use super::*;

/// One test, as the clock is that of the whole process.
#[tokio::test]
async fn what_waits_for_a_moment_is_woken_by_a_suspension() {
    let _ = note_suspension();
    let begun = ClockInstant::now();
    let hour = Duration::from_secs(3_600);
    let waiting = tokio::spawn(timeout(hour, std::future::pending::<()>()));
    let longer = tokio::spawn(timeout(hour * 3, std::future::pending::<()>()));
    tokio::task::yield_now().await;
    be_away(hour);
    assert!(begun.elapsed() >= hour, "all clocks have gone on");
    let noted = note_suspension().unwrap();
    assert!(
        noted <= hour && noted + LEAST_SUSPENSION >= hour,
        "{noted:?}"
    );
    assert_eq!(note_suspension(), None, "it is told once");
    assert_eq!(waiting.await.unwrap(), Err(TimeOver));
    assert!(!longer.is_finished(), "its time is not over");
    longer.abort();
    assert_eq!(timeout(hour, async { 7 }).await, Ok(7));
}
