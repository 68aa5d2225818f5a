use super::*;

const fn at(number: u64) -> StoreRevision {
    StoreRevision::new(1, number)
}

#[test]
fn a_change_on_its_way_is_no_sign() {
    let mut check = WatchCheck::default();
    assert!(!check.is_stalled(at(7), at(6), 1_000));
    assert!(
        !check.is_stalled(at(8), at(7), 1_900),
        "one more is on its way"
    );
    assert!(!check.is_stalled(at(8), at(8), 2_000));
    assert!(
        !check.is_stalled(at(9), at(8), 2_100),
        "the time begins anew"
    );
    assert!(!check.is_stalled(at(9), at(8), 3_099));
    assert!(check.is_stalled(at(9), at(8), 3_100));
}

#[test]
fn a_key_that_nobody_watches_costs_one_look() {
    let mut check = WatchCheck::default();
    check.is_stalled(at(7), at(6), 1_000);
    assert!(check.is_stalled(at(7), at(6), 2_000));
    assert!(
        (2_000..60_000)
            .step_by(300)
            .all(|now| !check.is_stalled(at(7), at(6), now))
    );
    check.is_stalled(at(9), at(6), 60_000);
    assert!(
        check.is_stalled(at(9), at(6), 61_000),
        "a later one is looked after again"
    );
}

#[test]
fn an_old_answer_is_no_sign() {
    let mut check = WatchCheck::default();
    assert!(
        (0..9_000)
            .step_by(300)
            .all(|now| !check.is_stalled(at(3), at(9), now))
    );
}

#[test]
fn a_store_that_came_back_from_an_older_copy_is_ahead() {
    let mut check = WatchCheck::default();
    let (known, newer) = (at(45), StoreRevision::new(2, 5));
    assert!(!check.is_stalled(newer, known, 1_000));
    assert!(check.is_stalled(newer, known, 2_000));
}
