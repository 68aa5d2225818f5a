use super::*;

const fn at(number: u64) -> StoreRevision {
    StoreRevision::new(1, number)
}

#[test]
fn changes_in_transit_are_no_stall() {
    let mut check = WatchCheck::default();
    assert!(!check.is_due(at(7), at(6), 1_000));
    assert!(!check.is_due(at(8), at(7), 1_900), "one more is in transit");
    assert!(!check.is_due(at(8), at(8), 2_000));
    assert!(!check.is_due(at(9), at(8), 2_100), "the wait starts again");
    assert!(!check.is_due(at(9), at(8), 3_099));
    assert_eq!(check.due_in_ms(3_099), Some(1));
    assert!(check.is_due(at(9), at(8), 3_100));
}

#[test]
fn an_unwatched_key_causes_one_check() {
    let mut check = WatchCheck::default();
    check.is_due(at(7), at(6), 1_000);
    assert!(check.is_due(at(7), at(6), 2_000));
    check.confirm(at(7));
    assert_eq!(check.due_in_ms(2_000), None);
    assert!(
        (2_000..60_000)
            .step_by(300)
            .all(|now| !check.is_due(at(7), at(6), now))
    );
    check.is_due(at(9), at(6), 60_000);
    assert!(
        check.is_due(at(9), at(6), 61_000),
        "a later revision is checked again"
    );
}

/// Guards against a check whose answer is lost as well, after which the watch stays mute.
#[test]
fn a_check_without_an_answer_is_due_again() {
    let mut check = WatchCheck::default();
    check.is_due(at(7), at(6), 1_000);
    assert!(check.is_due(at(7), at(6), 2_000));
    assert!(check.is_due(at(7), at(6), 2_300));
}

#[test]
fn outdated_answers_are_no_stall() {
    let mut check = WatchCheck::default();
    assert!(
        (0..9_000)
            .step_by(300)
            .all(|now| !check.is_due(at(3), at(9), now))
    );
}

#[test]
fn a_later_store_era_is_ahead_of_any_revision() {
    let mut check = WatchCheck::default();
    let (known, newer) = (at(45), StoreRevision::new(2, 5));
    assert!(!check.is_due(newer, known, 1_000));
    assert!(check.is_due(newer, known, 2_000));
}
