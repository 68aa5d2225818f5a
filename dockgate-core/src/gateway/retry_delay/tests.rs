use super::*;
use proptest::prelude::*;
use yare::parameterized;

const fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const AMPLE: Duration = millis(60_000);

#[parameterized(
    idle = { 0, 75, 175 },
    usual = { 200, 150, 350 },
    deep = { 5_000, 300, 700 },
)]
fn who_met_a_backlog_comes_back_when_it_was_read(backlog_ms: u64, first_ms: u64, last_ms: u64) {
    let cause = RetryCause::Backlog(millis(backlog_ms));
    let times = [0.0, 1.0].map(|draw| retry_delay(cause, AMPLE, draw));
    assert_eq!(times, [millis(first_ms), millis(last_ms)]);
}

#[test]
fn who_has_had_far_too_much_comes_back_while_it_may_be_in_time() {
    let times = [0.0, 1.0].map(|draw| retry_delay(RetryCause::Share, AMPLE, draw));
    assert_eq!(times, [millis(120), millis(240)]);
}

proptest! {
    /// Nobody is told a time that callers would ignore, unless coming sooner is of no use.
    #[test]
    fn it_is_within_a_third_of_the_time_left(
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
    /// Whoever came back before the end of a rest would be turned away for certain.
    #[test]
    fn nobody_is_told_to_come_back_within_a_rest(
        rest_ms in 1_u64..20_000,
        left_ms in 0_u64..20_000,
        draw in -1.0_f64..2.0,
    ) {
        let rest = millis(rest_ms);
        let time = retry_delay(RetryCause::Backoff(rest), millis(left_ms), draw);
        prop_assert!(time >= rest && time <= rest + REST_SPREAD);
    }
}
