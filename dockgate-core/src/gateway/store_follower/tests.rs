use super::*;

const fn others(reaching_before: usize, before: usize) -> StoreWatchers {
    StoreWatchers {
        reaching: reaching_before,
        reaching_before,
        before,
        has_live_peer: true,
    }
}

const fn heard_since(since_ms: u64) -> StoreAccess {
    StoreAccess {
        follows: false,
        answered_since_ms: Some(since_ms),
    }
}

const FOLLOWS: StoreAccess = StoreAccess {
    follows: true,
    answered_since_ms: Some(1_000),
};
const UNHEARD: StoreAccess = StoreAccess {
    follows: false,
    answered_since_ms: None,
};

#[test]
fn the_first_two_follow_the_store_and_the_others_do_not() {
    for before in 0..30 {
        let mut duty = StoreFollower::default();
        let reaching = before.min(2);
        let others = others(reaching, before);
        assert_eq!(duty.must_follow(others, UNHEARD, 1_000), before < 2);
        assert_eq!(duty.must_probe(others, UNHEARD, 1_000), before < 2);
    }
}

/// Before: just the first eight of a domain ever tried, two more each 0.6 s, whether the store
/// heard them or not; with the store silent for nine of ten boxes, nobody was heard in most
/// domains.
#[test]
fn where_those_that_come_first_are_not_heard_every_box_probes_and_the_next_that_is_heard_follows() {
    let follows_at = |before: usize| {
        let mut duty = StoreFollower::default();
        duty.must_follow(others(2, before), UNHEARD, 500);
        assert!(duty.must_probe(others(0, before), UNHEARD, 1_000));
        let mut times = (1_000..4_000).step_by(20);
        times.find(|now| duty.must_follow(others(0, before), heard_since(1_010), *now))
    };
    assert_eq!(follows_at(2), Some(1_020));
    assert_eq!(follows_at(3), Some(1_080));
    assert_eq!(follows_at(27), Some(2_520), "the last of 28 boxes");
}

#[test]
fn a_box_that_is_not_heard_follows_nothing_in_place_of_others() {
    let mut duty = StoreFollower::default();
    duty.must_follow(others(0, 5), UNHEARD, 1_000);
    assert!(!duty.must_follow(others(0, 5), UNHEARD, 60_000));
    assert!(duty.must_probe(others(0, 5), UNHEARD, 60_000));
}

#[test]
fn where_one_still_reaches_it_those_that_come_next_get_time_to_begin() {
    let mut duty = StoreFollower::default();
    assert!(!duty.must_follow(others(1, 2), heard_since(1_000), 1_000));
    assert!(!duty.must_follow(others(1, 2), heard_since(1_000), 1_599));
    assert!(duty.must_follow(others(1, 2), heard_since(1_000), 1_600));
}

#[test]
fn a_fleet_that_starts_waits_for_the_first_two() {
    let mut duty = StoreFollower::default();
    assert!(!duty.must_follow(others(0, 5), heard_since(1_000), 1_000));
    assert!(
        !duty.must_follow(others(0, 5), heard_since(1_000), 1_599),
        "none has reached the store yet"
    );
}

/// Before: each of 295 boxes that start together follows the store at once, 1,400 calls.
#[test]
fn a_box_that_has_just_begun_waits_to_hear_who_goes_before_it() {
    let unheard = StoreWatchers::default();
    let mut duty = StoreFollower::default();
    assert!(!duty.must_follow(unheard, UNHEARD, 1_000));
    assert!(!duty.must_probe(unheard, UNHEARD, 1_000));
    assert!(
        !duty.must_follow(others(0, 5), UNHEARD, 1_020),
        "five go before it"
    );
    let mut alone = StoreFollower::default();
    alone.must_follow(unheard, UNHEARD, 1_000);
    assert!(
        alone.must_follow(unheard, UNHEARD, 1_050),
        "nobody else is there"
    );
    assert!(alone.must_follow(unheard, UNHEARD, 1_300));
}

#[test]
fn a_box_stops_when_enough_that_go_before_it_reach_it_again() {
    let mut duty = StoreFollower::default();
    duty.must_follow(others(2, 3), UNHEARD, 500);
    assert!(!duty.must_follow(others(0, 3), heard_since(1_000), 1_000));
    assert!(duty.must_follow(others(0, 3), heard_since(1_000), 1_060));
    assert!(
        duty.must_follow(others(1, 3), FOLLOWS, 1_700),
        "one is not enough"
    );
    assert!(!duty.must_follow(others(2, 3), FOLLOWS, 1_800));
    assert!(
        !duty.must_follow(others(1, 3), heard_since(1_000), 1_900),
        "the time begins anew"
    );
}

#[test]
fn those_that_go_before_take_over_again_and_nobody_else_begins() {
    let mut duty = StoreFollower::default();
    let after = StoreWatchers {
        reaching: 2,
        reaching_before: 0,
        before: 1,
        has_live_peer: true,
    };
    assert!(duty.must_follow(after, UNHEARD, 1_000), "it comes second");
    let third = StoreWatchers { before: 2, ..after };
    assert!(
        !duty.must_follow(third, heard_since(900), 60_000),
        "two reach it"
    );
}
