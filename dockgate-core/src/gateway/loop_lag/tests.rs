use super::*;
use proptest::prelude::*;

fn overloaded() -> LoopLag {
    let mut lag = LoopLag::default();
    for step in 1..=3 {
        lag.record(400, step * 500);
    }
    lag
}

#[test]
fn suspension_and_throttling_are_not_overload() {
    let mut lag = LoopLag::default();
    for (step, late_ms) in [4_000, 0, 95, 90, 95, 3_000, 90, 0].into_iter().enumerate() {
        assert_eq!(lag.record(late_ms, step as u64 * 100), LagChange::None);
        assert!(!lag.is_overloaded());
        assert!(!lag.is_too_late_for(100));
    }
}

#[test]
fn requests_that_wait_past_half_of_their_objective_are_too_late() {
    let lag = overloaded();
    assert!(lag.is_too_late_for(600));
    assert!(!lag.is_too_late_for(1_000));
}

#[test]
fn overload_lasts_until_caught_up_and_hold_time_has_passed() {
    let mut lag = overloaded();
    assert_eq!(lag.record(0, 2_000), LagChange::None);
    assert!(lag.is_overloaded(), "the hold time has not passed");
    assert!(!lag.is_too_late_for(600), "new requests are in time");
    for step in 0..3 {
        assert_eq!(lag.record(60, 4_300 + step * 100), LagChange::None);
    }
    assert_eq!(
        lag.record(60, 4_600),
        LagChange::None,
        "a lag of 60 ms is above the threshold"
    );
    assert_eq!(lag.record(5, 4_900), LagChange::CaughtUp(3_400));
    assert!(!lag.is_overloaded());
}

proptest! {
    /// Overloads must not overlap or end early, and requests are in time outside of them.
    #[test]
    fn overloads_begin_and_end_in_turn(
        samples in prop::collection::vec((0_u64..1_000, 50_u64..500), 1..200),
    ) {
        let mut lag = LoopLag::default();
        let (mut now_ms, mut since_ms) = (0, None);
        for (late_ms, step_ms) in samples {
            now_ms += step_ms;
            match lag.record(late_ms, now_ms) {
                LagChange::Overloaded => {
                    prop_assert_eq!(since_ms.replace(now_ms), None);
                }
                LagChange::CaughtUp(for_ms) => {
                    prop_assert_eq!(since_ms.take(), Some(now_ms - for_ms));
                    prop_assert!(for_ms >= LoopLag::HOLD_MS);
                }
                LagChange::None => {}
            }
            prop_assert_eq!(lag.is_overloaded(), since_ms.is_some());
            prop_assert!(lag.is_overloaded() || !lag.is_too_late_for(1));
        }
    }
}
