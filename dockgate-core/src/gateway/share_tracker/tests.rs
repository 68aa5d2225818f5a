use super::*;
use crate::gateway::{DomainKey, ShareScope};
use crate::ids::{BoxKey, Incarnation};
use proptest::prelude::*;
use yare::parameterized;

const WINDOW_MS: u64 = 4_000;
const RATE: f64 = 100.0;

/// Header of the report number `sequence` of a single box.
const fn header(sequence: u32) -> ShareHeader {
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

fn tracker() -> ShareTracker {
    let mut tracker = ShareTracker::new(WINDOW_MS);
    tracker.tick(1_000, RATE);
    tracker
}

/// Records the requested and admitted units of each workspace every 100 ms.
fn run_load(tracker: &mut ShareTracker, load: &[(u64, u64)], from_ms: u64, until_ms: u64) {
    for now_ms in (from_ms..until_ms).step_by(100) {
        for (workspace, (requested, admitted)) in (0..).zip(load) {
            tracker.record_request(workspace, *requested, now_ms);
            let level = tracker.level(workspace, 1, now_ms);
            tracker.record_admission(workspace, *admitted, level, now_ms);
        }
        tracker.tick(now_ms + 100, RATE);
    }
}

/// Spends the workspace's credit, and returns its level beyond the share.
fn level_beyond(tracker: &mut ShareTracker, workspace: u64, now_ms: u64) -> ShareLevel {
    loop {
        let level = tracker.level(workspace, 1, now_ms);
        if level.is_beyond() {
            return level;
        }
        tracker.record_admission(workspace, 1, level, now_ms);
    }
}

#[test]
fn excess_demand_is_beyond_share_and_other_workspaces_are_within() {
    let mut tracker = tracker();
    run_load(&mut tracker, &[(100, 20), (3, 3)], 1_000, 4_000);
    let level = level_beyond(&mut tracker, 0, 4_000);
    assert!(
        level.share_ratio() > 1.9,
        "200 units per second of a share of 70 were admitted: {level:?}"
    );
    assert_eq!(tracker.level(1, 1, 4_000), ShareLevel::WITHIN);
    (4_000..8_000)
        .step_by(100)
        .for_each(|now_ms| tracker.tick(now_ms, RATE));
    assert_eq!(
        tracker.level(0, 1, 8_000),
        ShareLevel::WITHIN,
        "demand has ended"
    );
}

#[test]
fn short_burst_stays_within_share() {
    let mut tracker = tracker();
    run_load(&mut tracker, &[(100, 2), (2, 2)], 1_000, 4_000);
    // The guaranteed share of 1.5 seconds in a single request.
    tracker.record_request(1, 75, 4_000);
    tracker.tick(4_100, RATE);
    assert_eq!(tracker.level(1, 75, 4_100), ShareLevel::WITHIN);
}

#[test]
fn excess_demand_at_one_box_is_detected_before_the_next_tick() {
    let mut tracker = tracker();
    run_load(&mut tracker, &[(100, 20), (2, 2)], 1_000, 4_000);
    for _ in 0..100 {
        tracker.record_request(1, 10, 4_000);
        let level = tracker.level(1, 10, 4_000);
        tracker.record_admission(1, 10, level, 4_000);
    }
    assert!(tracker.level(1, 10, 4_000).is_beyond());
}

#[test]
fn workspace_without_admissions_stays_within_share_until_its_credit_is_spent() {
    let mut tracker = tracker();
    run_load(&mut tracker, &[(100, 20), (100, 0)], 1_000, 4_000);
    level_beyond(&mut tracker, 0, 4_000);
    let level = tracker.level(1, 50, 4_000);
    assert_eq!(level, ShareLevel::WITHIN);
    tracker.record_admission(1, 60, level, 4_000);
    assert!(
        tracker.level(1, 50, 4_000).is_beyond(),
        "the credit is spent"
    );
    assert!(
        !tracker.level(1, 50, 5_100).is_beyond(),
        "the credit is refilled"
    );
}

#[test]
fn pressure_is_higher_on_the_workspace_with_more_admissions() {
    let mut tracker = tracker();
    run_load(&mut tracker, &[(100, 8), (100, 16)], 1_000, 4_000);
    let base = level_beyond(&mut tracker, 0, 4_000).pressure();
    let ratio = level_beyond(&mut tracker, 1, 4_000).pressure() / base;
    assert!(
        ratio > 8.0,
        "twice the admissions must raise pressure at least eightfold: {ratio}"
    );
}

#[parameterized(
    alone = { &[(200, 20)] },
    even = { &[(200, 20), (300, 20)] },
)]
fn fair_ratio_is_close_to_one_under_even_admission(load: &[(u64, u64)]) {
    let mut tracker = tracker();
    run_load(&mut tracker, load, 1_000, 6_000);
    for workspace in 0..load.len() as u64 {
        let level = level_beyond(&mut tracker, workspace, 6_000);
        assert!((0.7..1.1).contains(&level.fair_ratio()), "{level:?}");
    }
}

#[test]
fn share_ratio_exceeds_one_only_beside_workspaces_within_their_share() {
    let share_ratio = |others: u64| {
        let mut tracker = tracker();
        run_load(&mut tracker, &[(100, 30), (others, others)], 1_000, 4_000);
        level_beyond(&mut tracker, 0, 4_000).share_ratio()
    };
    assert!(
        (share_ratio(0) - 1.0).abs() < 0.01,
        "there is no other demand"
    );
    assert!(share_ratio(2) > 2.0);
}

#[test]
fn one_report_suffices_after_a_start() {
    let mut tracker = tracker();
    tracker.merge(header(1), &[row(1, 2_000, 1_000)], 1_100);
    tracker.tick(1_300, RATE);
    tracker.record_request(1, 10, 1_300);
    let level = tracker.level(1, 10, 1_300);
    tracker.record_admission(1, 10, level, 1_300);
    assert!(tracker.level(1, 10, 1_310).is_beyond());
    tracker.tick(3_200, RATE);
    assert!(
        !tracker.level(1, 10, 3_200).is_beyond(),
        "the report has expired"
    );
}

#[test]
fn overlapping_reports_are_counted_once() {
    let domain_header = |peer: u32| ShareHeader {
        peer: BoxKey(peer),
        scope: ShareScope::Domain(DomainKey(7)),
        ..header(1)
    };
    let mut tracker = tracker();
    tracker.record_request(1, 100, 1_000);
    tracker.tick(1_000, RATE);
    tracker.merge(header(1), &[row(1, 1_000, 10)], 1_000);
    // Two coordinators report on one domain; the second one has just started and lacks boxes.
    tracker.merge(domain_header(3), &[row(1, 5_000, 50)], 1_000);
    tracker.merge(domain_header(4), &[row(1, 300, 3)], 1_000);
    assert_eq!(tracker.fleet_rows(1_000), [row(1, 6_100, 60)]);
    tracker.tick(1_000, RATE);
    assert_eq!(
        tracker.domain_rows(1_000),
        [row(1, 1_100, 10)],
        "demand is high"
    );
    // Another coordinator of this domain first reports less, then more.
    let fleet_header = |sequence| ShareHeader {
        scope: ShareScope::Fleet,
        ..header(sequence)
    };
    let requested = |tracker: &ShareTracker| {
        let local = tracker.local_usage(1_000);
        tracker.reports.fleet_usage(local, 1_000)[&1].requested
    };
    tracker.merge(fleet_header(1), &[row(1, 900, 9)], 1_000);
    assert!((requested(&tracker) - 6_100.0).abs() < 1.0);
    tracker.merge(fleet_header(2), &[row(1, 9_000, 90)], 1_000);
    assert!((requested(&tracker) - 9_000.0).abs() < 1.0);
    tracker.merge(fleet_header(1), &[row(1, 90_000, 90)], 1_000);
    assert!(
        (requested(&tracker) - 9_000.0).abs() < 1.0,
        "an older report is ignored"
    );
}

#[test]
fn domain_usage_is_one_row_without_contention() {
    let mut tracker = tracker();
    tracker.record_request(1, 3, 1_000);
    tracker.record_request(2, 4, 1_000);
    tracker.tick(1_000, RATE);
    assert_eq!(tracker.domain_rows(1_000), [row(0, 7, 0)]);
}

#[test]
fn rows_are_limited_to_the_workspaces_with_most_demand() {
    let mut tracker = tracker();
    (0..500).for_each(|workspace| tracker.record_request(workspace, workspace + 1, 1_000));
    let rows = tracker.rows(1_000);
    assert_eq!(rows.len(), 200);
    assert!(rows.iter().all(|row| row.requested > 300));
}

proptest! {
    /// Under unlimited demand, pressure must be finite and ordered by admitted service.
    #[test]
    fn pressure_grows_with_admitted_service(admitted in prop::collection::vec(10_u64..200, 1..10)) {
        let mut tracker = tracker();
        let load: Vec<(u64, u64)> = admitted.iter().map(|admitted| (10_000, *admitted)).collect();
        run_load(&mut tracker, &load, 1_000, 2_000);
        let workspaces = 0..admitted.len() as u64;
        let levels: Vec<ShareLevel> = workspaces
            .map(|workspace| level_beyond(&mut tracker, workspace, 2_000))
            .collect();
        for (level, admissions) in levels.iter().zip(&admitted) {
            prop_assert!(level.pressure().is_finite());
            for (other, more) in levels.iter().zip(&admitted) {
                prop_assert!(more < admissions || other.pressure() >= level.pressure());
            }
        }
    }

    /// Guards against errors that persist after a later report arrives.
    #[test]
    fn lost_duplicated_and_late_reports_leave_no_error(
        steps in prop::collection::vec((0_u64..4, 0_u64..1_000, 0_usize..3), 1..100),
    ) {
        let (mut sender, mut receiver, mut direct) = (tracker(), tracker(), tracker());
        let mut sent: Vec<Vec<UsageRow>> = Vec::new();
        for (workspace, units, delivery) in steps {
            sender.record_request(workspace, units, 1_000);
            sender.record_admission(workspace, units / 2, ShareLevel::WITHIN, 1_000);
            sent.push(sender.rows(1_000));
            let index = [sent.len() - 1, 0, sent.len() / 2][delivery];
            receiver.merge(header(index as u32), &sent[index], 1_100);
        }
        let last = sent.len() as u32;
        receiver.merge(header(last), &sender.rows(1_000), 1_200);
        receiver.merge(header(0), &sent[0], 1_250);
        direct.merge(header(last), &sender.rows(1_000), 1_200);
        receiver.tick(1_300, RATE);
        direct.tick(1_300, RATE);
        for workspace in 0..4 {
            let level = |tracker: &ShareTracker| tracker.level(workspace, 10, 1_300);
            prop_assert_eq!(level(&receiver), level(&direct));
        }
        prop_assert_eq!(receiver.fleet_rows(1_300), direct.fleet_rows(1_300));
        prop_assert_eq!(sender.rows(1_000).len(), sent.last().map_or(0, Vec::len));
    }
}

#[test]
fn retracted_service_does_not_use_up_the_share() {
    let level_after = |retracts: bool| {
        let mut tracker = ShareTracker::new(4_000);
        tracker.tick(1_000, 100.0);
        tracker.record_request(1, 1_000, 1_300);
        tracker.record_request(2, 1_000, 1_300);
        tracker.tick(1_300, 100.0);
        let level = tracker.level(1, 500, 1_300);
        tracker.record_admission(1, 500, level, 1_300);
        if retracts {
            tracker.retract_admission(1, 500, level, 1_310);
        }
        tracker.level(1, 500, 1_320)
    };
    assert!(level_after(false).is_beyond());
    assert!(!level_after(true).is_beyond());
}

/// Engines that begin a tenth of the configured capacity cannot honor shares of all of it.
#[test]
fn guaranteed_shares_follow_what_engines_begin() {
    let mut tracker = ShareTracker::new(4_000);
    for now_ms in (0..8_000).step_by(100) {
        tracker.record_request(1, 1_000, now_ms);
        tracker.record_request(2, 1_000, now_ms);
        let level = tracker.level(1, 50, now_ms);
        tracker.record_admission(1, 50, level, now_ms);
        tracker.record_admission(2, 50, ShareLevel::WITHIN, now_ms);
        tracker.tick(now_ms, 10_000.0);
    }
    let allotment = tracker.allotment(1).unwrap();
    assert!(allotment.guaranteed_per_s < 2_500, "{allotment:?}");
}
