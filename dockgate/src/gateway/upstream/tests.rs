use super::*;
use proptest::prelude::*;

/// On a day of 64 boxes an even part of 580 connections was eight, and the one box that had the
/// callers of a large workspace refused what engines with 32 slots had room for.
#[test]
fn one_box_can_use_all_slots_of_an_endpoint() {
    let limits = ConnectionLimits::new(580, 32, 64);
    assert!(limits.open >= 32, "{limits:?}");
    assert!(limits.resting <= 9, "{limits:?}");
}

proptest! {
    /// What rests everywhere and what all slots use is never more than the endpoint takes.
    #[test]
    fn all_boxes_together_stay_within_what_an_endpoint_takes(
        most in 40_usize..2_000,
        slots in 1_u32..64,
        boxes in 2_u32..400,
    ) {
        prop_assume!(slots as usize * 10 <= most * 2 && boxes as usize <= most / 2);
        let limits = ConnectionLimits::new(most, slots, boxes);
        let all = limits.resting * boxes as usize + slots as usize;
        prop_assert!(all <= most, "{limits:?} over {boxes} boxes: {all} of {most}");
        prop_assert!(limits.resting >= 1 && limits.open >= limits.resting);
        prop_assert!(limits.open <= most);
    }
}
