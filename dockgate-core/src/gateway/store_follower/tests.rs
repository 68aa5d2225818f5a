use super::*;

const fn others(reaching_before: usize, before: usize) -> StorePeers {
    StorePeers {
        reaching: reaching_before,
        reaching_before,
        before,
        live: before + 1,
        has_live_peer: true,
    }
}

const fn answered_since(since_ms: u64) -> StoreAccess {
    StoreAccess {
        follows: false,
        answered_since_ms: Some(since_ms),
    }
}

const FOLLOWS: StoreAccess = StoreAccess {
    follows: true,
    answered_since_ms: Some(1_000),
};
const UNANSWERED: StoreAccess = StoreAccess {
    follows: false,
    answered_since_ms: None,
};

#[test]
fn the_first_two_boxes_follow_the_store() {
    for before in 0..30 {
        let mut follower = StoreFollower::default();
        let reaching = before.min(2);
        let others = others(reaching, before);
        assert_eq!(follower.must_follow(others, UNANSWERED, 1_000), before < 2);
        assert_eq!(follower.must_probe(others, UNANSWERED, 1_000), before < 2);
    }
}

/// Guards against a domain without a follower while the store answers only low-ranked boxes.
#[test]
fn the_next_answered_box_takes_over_from_unanswered_primaries() {
    let follows_at = |before: usize| {
        let mut follower = StoreFollower::default();
        follower.must_follow(others(2, before), UNANSWERED, 500);
        assert!(follower.must_probe(others(0, before), UNANSWERED, 1_000));
        let mut times = (1_000..4_000).step_by(20);
        times.find(|now| follower.must_follow(others(0, before), answered_since(1_010), *now))
    };
    assert_eq!(follows_at(2), Some(1_020));
    assert_eq!(follows_at(3), Some(1_080));
    for before in [10, 27, 999] {
        assert_eq!(
            follows_at(before),
            Some(1_500),
            "the delay does not grow with the domain"
        );
    }
}

#[test]
fn unanswered_boxes_probe_but_do_not_take_over() {
    let mut follower = StoreFollower::default();
    follower.must_follow(others(0, 5), UNANSWERED, 1_000);
    assert!(!follower.must_follow(others(0, 5), UNANSWERED, 60_000));
    assert!(follower.must_probe(others(0, 5), UNANSWERED, 60_000));
}

#[test]
fn takeover_is_delayed_while_one_follower_remains() {
    let mut follower = StoreFollower::default();
    assert!(!follower.must_follow(others(1, 2), answered_since(1_000), 1_000));
    assert!(!follower.must_follow(others(1, 2), answered_since(1_000), 1_599));
    assert!(follower.must_follow(others(1, 2), answered_since(1_000), 1_600));
}

#[test]
fn takeover_at_fleet_start_waits_for_the_primaries() {
    let mut follower = StoreFollower::default();
    assert!(!follower.must_follow(others(0, 5), answered_since(1_000), 1_000));
    assert!(
        !follower.must_follow(others(0, 5), answered_since(1_000), 1_599),
        "none has reached the store yet"
    );
}

/// Guards against all boxes of a starting fleet following the store at once.
#[test]
fn newly_started_boxes_wait_for_heartbeats() {
    let no_others = StorePeers::default();
    let mut follower = StoreFollower::default();
    assert!(!follower.must_follow(no_others, UNANSWERED, 1_000));
    assert!(!follower.must_probe(no_others, UNANSWERED, 1_000));
    assert!(
        !follower.must_follow(others(0, 5), UNANSWERED, 1_020),
        "five rank before it"
    );
    let mut alone = StoreFollower::default();
    alone.must_follow(no_others, UNANSWERED, 1_000);
    assert!(
        alone.must_follow(no_others, UNANSWERED, 1_050),
        "no other box exists"
    );
    assert!(alone.must_follow(no_others, UNANSWERED, 1_300));
}

#[test]
fn a_replacement_stops_once_two_higher_ranked_boxes_reach_the_store() {
    let mut follower = StoreFollower::default();
    follower.must_follow(others(2, 3), UNANSWERED, 500);
    assert!(!follower.must_follow(others(0, 3), answered_since(1_000), 1_000));
    assert!(follower.must_follow(others(0, 3), answered_since(1_000), 1_060));
    assert!(
        follower.must_follow(others(1, 3), FOLLOWS, 1_700),
        "one is not enough"
    );
    assert!(!follower.must_follow(others(2, 3), FOLLOWS, 1_800));
    assert!(
        !follower.must_follow(others(1, 3), answered_since(1_000), 1_900),
        "the wait starts again"
    );
}

#[test]
fn higher_ranked_boxes_take_over_from_lower_ranked_followers() {
    let mut follower = StoreFollower::default();
    let after = StorePeers {
        reaching: 2,
        reaching_before: 0,
        before: 1,
        live: 4,
        has_live_peer: true,
    };
    assert!(
        follower.must_follow(after, UNANSWERED, 1_000),
        "it ranks second"
    );
    let third = StorePeers { before: 2, ..after };
    assert!(
        !follower.must_follow(third, answered_since(900), 60_000),
        "two boxes reach the store"
    );
}
