use super::*;
use crate::gateway::{DomainKey, ShareScope};
use crate::ids::{BoxKey, Incarnation};
use proptest::prelude::*;
use yare::parameterized;

const WINDOW_MS: u64 = 4_000;
const RATE: f64 = 100.0;

/// A box that tells its own sums for the `sequence`th time.
const fn teller(sequence: u32) -> ShareHeader {
    ShareHeader {
        peer: BoxKey(1),
        incarnation: Incarnation(1),
        sequence,
        scope: ShareScope::Own,
    }
}

const fn row(workspace: u64, requested: u64, admitted: u64) -> UsageRow {
    UsageRow {
        workspace,
        requested,
        requested_long: requested,
        admitted,
    }
}

fn window() -> ShareTracker {
    let mut window = ShareTracker::new(WINDOW_MS);
    window.tick(1_000, RATE);
    window
}

/// Asks and gives so much in each tenth of a second.
fn ask_for(window: &mut ShareTracker, sums: &[(u64, u64)], from_ms: u64, until_ms: u64) {
    for now_ms in (from_ms..until_ms).step_by(100) {
        for (workspace, (requested, admitted)) in (0..).zip(sums) {
            window.record_request(workspace, *requested, now_ms);
            let level = window.level(workspace, 1, now_ms);
            window.record_admission(workspace, *admitted, level, now_ms);
        }
        window.tick(now_ms + 100, RATE);
    }
}

/// Takes what a workspace is owed, and returns how it stands beyond that.
fn level_beyond(window: &mut ShareTracker, workspace: u64, now_ms: u64) -> ShareLevel {
    loop {
        let level = window.level(workspace, 1, now_ms);
        if level.is_beyond() {
            return level;
        }
        window.record_admission(workspace, 1, level, now_ms);
    }
}

#[test]
fn a_flood_is_beyond_its_share_and_the_others_are_not() {
    let mut window = window();
    ask_for(&mut window, &[(100, 20), (3, 3)], 1_000, 4_000);
    let flood = level_beyond(&mut window, 0, 4_000);
    assert!(
        flood.share_ratio() > 1.9,
        "it had 200 a second of 70, not {flood:?}"
    );
    assert_eq!(window.level(1, 1, 4_000), ShareLevel::WITHIN);
    (4_000..8_000)
        .step_by(100)
        .for_each(|now_ms| window.tick(now_ms, RATE));
    assert_eq!(
        window.level(0, 1, 8_000),
        ShareLevel::WITHIN,
        "it asks no more"
    );
}

#[test]
fn prompts_that_come_together_are_no_flood() {
    let mut window = window();
    ask_for(&mut window, &[(100, 2), (2, 2)], 1_000, 4_000);
    // What is owed in a second and a half, at once.
    window.record_request(1, 75, 4_000);
    window.tick(4_100, RATE);
    assert_eq!(window.level(1, 75, 4_100), ShareLevel::WITHIN);
}

#[test]
fn a_flood_at_one_box_is_known_there_at_once() {
    let mut window = window();
    ask_for(&mut window, &[(100, 20), (2, 2)], 1_000, 4_000);
    for _ in 0..100 {
        window.record_request(1, 10, 4_000);
        let level = window.level(1, 10, 4_000);
        window.record_admission(1, 10, level, 4_000);
    }
    assert!(window.level(1, 10, 4_000).is_beyond());
}

#[test]
fn who_is_shut_out_by_its_size_has_what_it_is_owed_first() {
    let mut window = window();
    ask_for(&mut window, &[(100, 20), (100, 0)], 1_000, 4_000);
    level_beyond(&mut window, 0, 4_000);
    let waits = window.level(1, 50, 4_000);
    assert_eq!(waits, ShareLevel::WITHIN);
    window.record_admission(1, 60, waits, 4_000);
    assert!(window.level(1, 50, 4_000).is_beyond(), "that was taken");
    assert!(!window.level(1, 50, 5_100).is_beyond(), "it is owed more");
}

#[test]
fn of_two_beyond_their_share_the_one_behind_goes_first() {
    let mut window = window();
    ask_for(&mut window, &[(100, 8), (100, 16)], 1_000, 4_000);
    let behind = level_beyond(&mut window, 0, 4_000).pressure();
    let ahead = level_beyond(&mut window, 1, 4_000).pressure() / behind;
    assert!(
        ahead > 8.0,
        "twice as much admitted holds back far more than twice as much, not {ahead}"
    );
}

#[parameterized(
    alone = { &[(200, 20)] },
    even = { &[(200, 20), (300, 20)] },
)]
fn who_is_even_with_the_others_is_held_back_as_they_are(sums: &[(u64, u64)]) {
    let mut window = window();
    ask_for(&mut window, sums, 1_000, 6_000);
    for workspace in 0..sums.len() as u64 {
        let level = level_beyond(&mut window, workspace, 6_000);
        assert!((0.7..1.1).contains(&level.fair_ratio()), "{level:?}");
    }
}

#[test]
fn engines_are_kept_free_only_for_workspaces_within_their_share() {
    let times = |others: u64| {
        let mut window = window();
        ask_for(&mut window, &[(100, 30), (others, others)], 1_000, 4_000);
        level_beyond(&mut window, 0, 4_000).share_ratio()
    };
    assert!((times(0) - 1.0).abs() < 0.01, "nobody else comes");
    assert!(times(2) > 2.0);
}

#[test]
fn a_box_that_has_just_begun_learns_from_one_report() {
    let mut window = window();
    window.merge(teller(1), &[row(1, 2_000, 1_000)], 1_100);
    window.tick(1_300, RATE);
    window.record_request(1, 10, 1_300);
    let level = window.level(1, 10, 1_300);
    window.record_admission(1, 10, level, 1_300);
    assert!(window.level(1, 10, 1_310).is_beyond());
    window.tick(3_200, RATE);
    assert!(
        !window.level(1, 10, 3_200).is_beyond(),
        "a box that is not heard any more counts no longer"
    );
}

#[test]
fn sums_of_boxes_domains_and_the_fleet_are_not_counted_twice() {
    let far = |peer: u32| ShareHeader {
        peer: BoxKey(peer),
        scope: ShareScope::Domain(DomainKey(7)),
        ..teller(1)
    };
    let mut window = window();
    window.record_request(1, 100, 1_000);
    window.tick(1_000, RATE);
    window.merge(teller(1), &[row(1, 1_000, 10)], 1_000);
    // Two coordinators of one domain tell of it; the second one has just begun.
    window.merge(far(3), &[row(1, 5_000, 50)], 1_000);
    window.merge(far(4), &[row(1, 300, 3)], 1_000);
    assert_eq!(window.fleet_rows(1_000), [row(1, 6_100, 60)]);
    window.tick(1_000, RATE);
    assert_eq!(
        window.domain_rows(1_000),
        [row(1, 1_100, 10)],
        "much is requested"
    );
    // Another coordinator of the own domain knows of less, then of more.
    let fleet = |sequence| ShareHeader {
        scope: ShareScope::Fleet,
        ..teller(sequence)
    };
    let requested = |window: &ShareTracker| {
        let own = window.recent(1_000);
        window.reports.fleet_sums(own, 1_000)[&1].requested
    };
    window.merge(fleet(1), &[row(1, 900, 9)], 1_000);
    assert!((requested(&window) - 6_100.0).abs() < 1.0);
    window.merge(fleet(2), &[row(1, 9_000, 90)], 1_000);
    assert!((requested(&window) - 9_000.0).abs() < 1.0);
    window.merge(fleet(1), &[row(1, 90_000, 90)], 1_000);
    assert!((requested(&window) - 9_000.0).abs() < 1.0, "that was older");
}

#[test]
fn while_there_is_enough_domains_tell_one_row() {
    let mut window = window();
    window.record_request(1, 3, 1_000);
    window.record_request(2, 4, 1_000);
    window.tick(1_000, RATE);
    assert_eq!(window.domain_rows(1_000), [row(0, 7, 0)]);
}

#[test]
fn of_too_many_workspaces_those_that_ask_for_most_are_told() {
    let mut window = window();
    (0..500).for_each(|workspace| window.record_request(workspace, workspace + 1, 1_000));
    let rows = window.rows(1_000);
    assert_eq!(rows.len(), 200);
    assert!(rows.iter().all(|row| row.requested > 300));
}

proptest! {
    /// Whoever takes more, of two that ask without end, is held back more; nobody is held back by
    /// something that is no number.
    #[test]
    fn pressure_follows_what_is_taken(admitted in prop::collection::vec(10_u64..200, 1..10)) {
        let mut window = window();
        let sums: Vec<(u64, u64)> = admitted.iter().map(|admitted| (10_000, *admitted)).collect();
        ask_for(&mut window, &sums, 1_000, 2_000);
        let workspaces = 0..admitted.len() as u64;
        let levels: Vec<ShareLevel> = workspaces
            .map(|workspace| level_beyond(&mut window, workspace, 2_000))
            .collect();
        for (level, had) in levels.iter().zip(&admitted) {
            prop_assert!(level.pressure().is_finite());
            for (other, more) in levels.iter().zip(&admitted) {
                prop_assert!(more < had || other.pressure() >= level.pressure());
            }
        }
    }

    /// Reports that are lost, doubled or late change nothing once one comes through.
    #[test]
    fn levels_survive_bad_delivery(
        steps in prop::collection::vec((0_u64..4, 0_u64..1_000, 0_usize..3), 1..100),
    ) {
        let (mut sender, mut receiver, mut direct) = (window(), window(), window());
        let mut sent: Vec<Vec<UsageRow>> = Vec::new();
        for (workspace, units, delivery) in steps {
            sender.record_request(workspace, units, 1_000);
            sender.record_admission(workspace, units / 2, ShareLevel::WITHIN, 1_000);
            sent.push(sender.rows(1_000));
            let index = [sent.len() - 1, 0, sent.len() / 2][delivery];
            receiver.merge(teller(index as u32), &sent[index], 1_100);
        }
        let last = sent.len() as u32;
        receiver.merge(teller(last), &sender.rows(1_000), 1_200);
        receiver.merge(teller(0), &sent[0], 1_250);
        direct.merge(teller(last), &sender.rows(1_000), 1_200);
        receiver.tick(1_300, RATE);
        direct.tick(1_300, RATE);
        for workspace in 0..4 {
            let level = |window: &ShareTracker| window.level(workspace, 10, 1_300);
            prop_assert_eq!(level(&receiver), level(&direct));
        }
        prop_assert_eq!(receiver.fleet_rows(1_300), direct.fleet_rows(1_300));
        prop_assert_eq!(sender.rows(1_000).len(), sent.last().map_or(0, Vec::len));
    }
}
