use super::*;
use yare::parameterized;

/// A stop at 1,000 ms of a process that ends at 9,000 ms.
const WINDOW: StopWindow = StopWindow::new(1_000, 8_000);

#[parameterized(
    deadline_in_time = { 1_000, 7_800, None, true },
    deadline_in_time_late = { 8_500, 300, None, true },
    deadline_too_late = { 1_000, 7_801, None, false },
    prediction_fits_at_first = { 2_999, 9_000, Some(4_000), true },
    prediction_without_margin = { 1_000, 9_000, Some(7_000), false },
    prediction_is_too_old = { 3_000, 9_000, Some(100), false },
    deadline_counts_later = { 3_000, 4_000, Some(100), true },
    unbounded = { 1_000, u64::MAX, Some(u64::MAX), false },
    past_end = { 9_500, 0, Some(0), false },
)]
fn requests_are_accepted_if_they_end_in_time(
    now_ms: u64,
    time_left_ms: u64,
    predicted_ms: Option<u64>,
    expected: bool,
) {
    assert_eq!(WINDOW.admits(now_ms, time_left_ms, predicted_ms), expected);
}

#[test]
fn short_windows_shorten_the_time_of_predictions() {
    let window = StopWindow::new(1_000, 2_000);
    assert!(window.admits(1_499, 9_000, Some(400)));
    assert!(!window.admits(1_500, 9_000, Some(400)));
}

#[test]
fn window_without_grace_accepts_nothing() {
    let window = StopWindow::new(1_000, 0);
    assert!(!window.admits(1_000, 100, Some(10)));
    assert_eq!(window.final_answer_ms(), 1_000);
    assert!(window.is_past_end(1_000));
}
