use super::*;

const fn others(reaching: usize, before: usize) -> StoreWatchers {
    StoreWatchers {
        reaching,
        before,
        is_heard: true,
    }
}

#[test]
fn the_first_two_follow_the_store_and_the_others_do_not() {
    for before in 0..30 {
        let mut duty = StoreDuty::default();
        let reaching = before.min(2);
        assert_eq!(duty.is_due(others(reaching, before), 1_000), before < 2);
    }
}

#[test]
fn where_too_few_reach_it_a_few_more_try_with_each_step() {
    let trying = |at_ms: u64| {
        let due = |before: &usize| {
            let mut duty = StoreDuty::default();
            duty.is_due(others(1, *before), 1_000);
            duty.is_due(others(1, *before), at_ms)
        };
        (0..30).filter(due).count()
    };
    assert_eq!(
        [1_000, 1_600, 2_200, 4_000, 60_000].map(trying),
        [2, 4, 6, 8, 8]
    );
}

/// Before: each of 295 boxes that start together follows the store at once, 1,400 calls.
#[test]
fn a_box_that_has_just_begun_waits_to_hear_who_goes_before_it() {
    let unheard = StoreWatchers {
        is_heard: false,
        ..others(0, 0)
    };
    let mut duty = StoreDuty::default();
    assert!(!duty.is_due(unheard, 1_000));
    assert!(!duty.is_due(others(0, 5), 1_020), "five go before it");
    let mut alone = StoreDuty::default();
    alone.is_due(unheard, 1_000);
    assert!(alone.is_due(unheard, 1_050), "nobody else is there");
    assert!(alone.is_due(unheard, 1_300));
}

#[test]
fn a_box_stops_when_enough_others_reach_it_again() {
    let mut duty = StoreDuty::default();
    duty.is_due(others(0, 3), 1_000);
    assert!(duty.is_due(others(0, 3), 1_700));
    assert!(!duty.is_due(others(2, 3), 1_800));
    assert!(
        !duty.is_due(others(0, 3), 1_900),
        "the count of steps begins anew"
    );
}
