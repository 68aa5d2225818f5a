use super::*;
use proptest::prelude::*;
use yare::parameterized;

const fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const AMPLE_TIME: Duration = millis(60_000);

#[parameterized(
    idle = { 0, 75, 175 },
    usual = { 200, 150, 350 },
    deep = { 5_000, 300, 700 },
)]
fn delay_follows_the_backlog(backlog_ms: u64, first_ms: u64, last_ms: u64) {
    let cause = RetryCause::Backlog(millis(backlog_ms));
    let delays = [0.0, 1.0].map(|draw| retry_delay(cause, AMPLE_TIME, draw));
    assert_eq!(delays, [millis(first_ms), millis(last_ms)]);
}

#[test]
fn workspace_beyond_its_share_retries_soon() {
    let delays = [0.0, 1.0].map(|draw| retry_delay(RetryCause::Share, AMPLE_TIME, draw));
    assert_eq!(delays, [millis(120), millis(240)]);
}

proptest! {
    /// Callers ignore longer delays.
    #[test]
    fn delay_is_within_a_third_of_the_remaining_time(
        backlog_ms in 0_u64..20_000,
        kind in 0_u8..3,
        left_ms in 0_u64..20_000,
        draw in -1.0_f64..2.0,
    ) {
        let cause = match kind {
            0 => RetryCause::Share,
            1 => RetryCause::Replacement,
            _ => RetryCause::Backlog(millis(backlog_ms)),
        };
        let left = millis(left_ms);
        prop_assert!(retry_delay(cause, left, draw) <= left / 3);
    }
}

proptest! {
    /// An earlier retry would be refused.
    #[test]
    fn delay_reaches_past_the_backoff(
        backoff_ms in 1_u64..20_000,
        left_ms in 0_u64..20_000,
        draw in -1.0_f64..2.0,
    ) {
        let backoff = millis(backoff_ms);
        let delay = retry_delay(RetryCause::Backoff(backoff), millis(left_ms), draw);
        prop_assert!(delay >= backoff && delay <= backoff + BACKOFF_SPREAD);
    }
}
