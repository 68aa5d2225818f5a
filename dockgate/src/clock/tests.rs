use super::simulated_suspension::simulate_suspension;
use super::*;

/// A single test, since the detection of suspensions is shared by all tests of a process.
#[tokio::test]
async fn timeouts_include_suspensions() {
    let _ = detect_suspension();
    let start = ClockInstant::now();
    let hour = Duration::from_secs(3_600);
    let waiting = tokio::spawn(timeout(hour, std::future::pending::<()>()));
    let longer = tokio::spawn(timeout(hour * 3, std::future::pending::<()>()));
    tokio::task::yield_now().await;
    simulate_suspension(hour);
    assert!(start.elapsed() >= hour, "the clock includes the suspension");
    let suspended = detect_suspension().unwrap();
    assert!(
        suspended <= hour && suspended + MIN_SUSPENSION >= hour,
        "{suspended:?}"
    );
    assert_eq!(detect_suspension(), None, "a suspension is reported once");
    assert_eq!(waiting.await.unwrap(), Err(TimedOut));
    assert!(!longer.is_finished(), "its time has not elapsed");
    longer.abort();
    assert_eq!(timeout(hour, async { 7 }).await, Ok(7));
}
