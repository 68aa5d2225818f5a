use super::simulated_suspension::simulate_suspension;
use super::*;

/// One test, as the clock is that of the whole process.
#[tokio::test]
async fn what_waits_for_a_moment_is_woken_by_a_suspension() {
    let _ = detect_suspension();
    let start = ClockInstant::now();
    let hour = Duration::from_secs(3_600);
    let waiting = tokio::spawn(timeout(hour, std::future::pending::<()>()));
    let longer = tokio::spawn(timeout(hour * 3, std::future::pending::<()>()));
    tokio::task::yield_now().await;
    simulate_suspension(hour);
    assert!(start.elapsed() >= hour, "all clocks have gone on");
    let suspended = detect_suspension().unwrap();
    assert!(
        suspended <= hour && suspended + MIN_SUSPENSION >= hour,
        "{suspended:?}"
    );
    assert_eq!(detect_suspension(), None, "it is told once");
    assert_eq!(waiting.await.unwrap(), Err(TimedOut));
    assert!(!longer.is_finished(), "its time is not over");
    longer.abort();
    assert_eq!(timeout(hour, async { 7 }).await, Ok(7));
}
