use super::*;
use yare::parameterized;

#[parameterized(
    no_era = { &[None, None], 0 },
    constant = { &[Some(3), Some(3), None], 3 },
    rising = { &[Some(3), Some(4), Some(9)], 9 },
    falling = { &[Some(3), Some(4), Some(3), Some(1)], 4 },
    omitted = { &[None, Some(3), None, Some(4)], 4 },
    excessive_rise = { &[Some(3), Some(u64::MAX), Some(4)], 4 },
)]
fn latest_plausible_era_is_kept(reports: &[Option<u64>], current: u64) {
    let mut tracker = EraTracker::default();
    for reported in reports {
        tracker.note(*reported);
    }
    assert_eq!(tracker.current(), current);
}
