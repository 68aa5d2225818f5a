use super::*;
use proptest::prelude::*;
use yare::parameterized;

#[parameterized(
    enough = { &[10.0, 20.0], 40.0, f64::INFINITY },
    even = { &[50.0, 50.0], 40.0, 20.0 },
    small_first = { &[5.0, 100.0, 100.0], 65.0, 30.0 },
)]
fn the_level_is_max_min(asked: &[f64], capacity: f64, level: f64) {
    assert_eq!(max_min_level(asked, capacity), level);
}

/// What callers of a flood and of a small workspace get at one box.
struct PlayedFlood {
    /// How late a request is that is taken at the end, in milliseconds.
    late_ms: f64,
    /// The part of the flood that is taken in the last second.
    flood_taken: f64,
    /// The part of the small workspace that is taken in the last second.
    small_taken: f64,
}

/// Plays a flood of 70 requests in each tenth of a second, beside three of another workspace, at a box
/// that works on 30 in that time and refuses six times as many.
fn play_flood(sheds: bool) -> PlayedFlood {
    const WORK_MS: f64 = 100.0 / 30.0;
    const REFUSAL_MS: f64 = WORK_MS / 6.0;
    let mut shed = LoadShedder::default();
    let (mut backlog_ms, mut taken) = (0.0, [0.0, 0.0]);
    for step in 0..30 {
        let parts = [1, 2].map(|workspace| match sheds {
            true => 1.0 - shed.refused_fraction(workspace),
            false => 1.0,
        });
        let counts = [70.0, 3.0];
        for (workspace, count) in [(1, 70), (2, 3)] {
            (0..count).for_each(|_| shed.record_request(workspace));
        }
        for index in 0..2 {
            let served = counts[index] * parts[index];
            (0..(counts[index] - served) as u32).for_each(|_| shed.record_refusal());
            backlog_ms += served * WORK_MS + (counts[index] - served) * REFUSAL_MS;
        }
        let busy_ms = f64::min(100.0, backlog_ms);
        backlog_ms -= busy_ms;
        shed.record_sample(busy_ms / 100.0, backlog_ms as u64, step * 100);
        if step >= 20 {
            taken = [taken[0] + parts[0] / 10.0, taken[1] + parts[1] / 10.0];
        }
    }
    PlayedFlood {
        late_ms: backlog_ms,
        flood_taken: taken[0],
        small_taken: taken[1],
    }
}

/// Before: all wait for 4.3 s after three seconds, those of the small workspace as well.
#[test]
fn a_flood_that_one_box_cannot_serve_goes_elsewhere_and_nobody_waits() {
    let before = play_flood(false);
    assert!(before.late_ms > 4_000.0, "{} ms", before.late_ms);
    let after = play_flood(true);
    assert!(after.late_ms < 50.0, "{} ms", after.late_ms);
    assert!(
        (0.15..0.45).contains(&after.flood_taken),
        "the box works on what it can: {}",
        after.flood_taken
    );
    assert!(after.small_taken > 0.999, "{}", after.small_taken);
}

#[test]
fn a_pause_sends_few_away_and_all_are_taken_again() {
    let mut shed = LoadShedder::default();
    let requests = |shed: &mut LoadShedder| (0..10).for_each(|_| shed.record_request(1));
    requests(&mut shed);
    shed.record_sample(1.0, 4_000, 1_000);
    assert!(
        shed.admitted_fraction() >= 0.6,
        "one sample alone may be a pause"
    );
    for step in 1..=15 {
        requests(&mut shed);
        shed.record_sample(0.3, 0, 1_000 + step * 100);
    }
    assert_eq!(shed.admitted_fraction(), 1.0);
    assert_eq!(shed.refused_fraction(1), 0.0);
    assert!(
        shed.diverts_connections(3_900),
        "new callers come back when it is sure"
    );
    assert!(!shed.diverts_connections(5_500));
}

#[test]
fn a_refused_request_comes_back_when_it_comes_to_another_box() {
    let mut shed = LoadShedder::default();
    assert!(shed.retry_after(0.0) >= Duration::from_secs(1));
    shed.record_readiness(false);
    assert!(!shed.is_out_of_rotation(), "one answer is not acted on");
    shed.record_readiness(false);
    assert!(shed.retry_after(1.0) <= Duration::from_millis(50));
    shed.record_readiness(true);
    assert!(!shed.is_out_of_rotation());
}

proptest! {
    /// Parts are parts; who asks for less is never refused a larger one.
    #[test]
    fn parts_are_parts_and_the_largest_is_refused_first(
        samples in prop::collection::vec((0.0_f64..1.0, 0_u64..500, 0_u32..100), 1..60),
        counts in prop::collection::vec(0_u32..200, 1..8),
    ) {
        let mut shed = LoadShedder::default();
        for (busy_fraction, late_ms, refused) in samples {
            for (workspace, count) in (0..).zip(&counts) {
                (0..*count).for_each(|_| shed.record_request(workspace));
            }
            (0..refused).for_each(|_| shed.record_refusal());
            shed.record_sample(busy_fraction, late_ms, 1_000);
            let parts = (0..).zip(&counts).map(|(workspace, count)| {
                (*count, shed.refused_fraction(workspace))
            });
            let mut parts: Vec<(u32, f64)> = parts.collect();
            parts.sort_by_key(|(count, _)| *count);
            prop_assert!(parts.iter().all(|(_, part)| (0.0..1.0).contains(part)));
            prop_assert!(parts.is_sorted_by(|a, b| a.1 <= b.1));
            prop_assert!((LoadShedder::MIN_ADMITTED_FRACTION..=1.0).contains(&shed.admitted_fraction()));
        }
    }

    /// A box that keeps up refuses nobody, however many come.
    #[test]
    fn nobody_is_refused_while_the_box_keeps_up(
        samples in prop::collection::vec((0.0_f64..0.6, 40_u32..60), 1..60),
    ) {
        let mut shed = LoadShedder::default();
        for (busy_fraction, count) in samples {
            (0..count).for_each(|_| shed.record_request(1));
            shed.record_sample(busy_fraction * f64::from(count) / 60.0, 0, 1_000);
            prop_assert_eq!(shed.refused_fraction(1), 0.0);
            prop_assert!(!shed.diverts_connections(1_001));
        }
    }
}
