use super::*;
use yare::parameterized;

#[parameterized(
    none_at_all = { &[None, None], 0 },
    one_for_ever = { &[Some(3), Some(3), None], 3 },
    one_that_rises = { &[Some(3), Some(4), Some(9)], 9 },
    one_that_falls = { &[Some(3), Some(4), Some(3), Some(1)], 4 },
    one_that_is_left_out = { &[None, Some(3), None, Some(4)], 4 },
    one_beyond_all_reason = { &[Some(3), Some(u64::MAX), Some(4)], 4 },
)]
fn the_latest_era_counts(named: &[Option<u64>], current: u64) {
    let mut book = EraTracker::default();
    for named in named {
        book.note(*named);
    }
    assert_eq!(book.current(), current);
}
