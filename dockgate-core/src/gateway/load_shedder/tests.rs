use super::*;
use proptest::prelude::*;
use yare::parameterized;

#[parameterized(
    enough = { &[10.0, 20.0], 40.0, f64::INFINITY },
    even = { &[50.0, 50.0], 40.0, 20.0 },
    small_first = { &[5.0, 100.0, 100.0], 65.0, 30.0 },
)]
fn max_min_level_divides_capacity(demands: &[f64], capacity: f64, level: f64) {
    assert_eq!(max_min_level(demands, capacity), level);
}

/// Outcome of a simulated flood beside a small workspace at one box.
struct FloodOutcome {
    /// Delay of a request at the end, in milliseconds.
    late_ms: f64,
    /// Admitted fraction of the flood in the last second.
    flood_admitted: f64,
    /// Admitted fraction of the small workspace in the last second.
    small_admitted: f64,
}

/// Simulates 70 requests of one workspace and three of another every 100 ms, at a box that can
/// serve 30 in that time or refuse six times as many.
fn simulate_flood(is_shedding: bool) -> FloodOutcome {
    const WORK_MS: f64 = 100.0 / 30.0;
    const REFUSAL_MS: f64 = WORK_MS / 6.0;
    let mut shedder = LoadShedder::default();
    let (mut backlog_ms, mut admitted) = (0.0, [0.0, 0.0]);
    for step in 0..30 {
        let fractions = [1, 2].map(|workspace| match is_shedding {
            true => 1.0 - shedder.refused_fraction(workspace),
            false => 1.0,
        });
        let counts = [70.0, 3.0];
        for (workspace, count) in [(1, 70), (2, 3)] {
            (0..count).for_each(|_| shedder.record_request(workspace));
        }
        for index in 0..2 {
            let served = counts[index] * fractions[index];
            (0..(counts[index] - served) as u32).for_each(|_| shedder.record_refusal());
            backlog_ms += served * WORK_MS + (counts[index] - served) * REFUSAL_MS;
        }
        let busy_ms = f64::min(100.0, backlog_ms);
        backlog_ms -= busy_ms;
        shedder.record_sample(busy_ms / 100.0, backlog_ms as u64, step * 100);
        if step >= 20 {
            admitted = [
                admitted[0] + fractions[0] / 10.0,
                admitted[1] + fractions[1] / 10.0,
            ];
        }
    }
    FloodOutcome {
        late_ms: backlog_ms,
        flood_admitted: admitted[0],
        small_admitted: admitted[1],
    }
}

/// Without shedding, the backlog delays the requests of both workspaces.
#[test]
fn excess_of_a_flood_is_refused_without_backlog() {
    let unprotected = simulate_flood(false);
    assert!(unprotected.late_ms > 4_000.0, "{} ms", unprotected.late_ms);
    let shedding = simulate_flood(true);
    assert!(shedding.late_ms < 50.0, "{} ms", shedding.late_ms);
    assert!(
        (0.15..0.45).contains(&shedding.flood_admitted),
        "the box must be used to capacity: {}",
        shedding.flood_admitted
    );
    assert!(
        shedding.small_admitted > 0.999,
        "{}",
        shedding.small_admitted
    );
}

#[test]
fn admission_recovers_after_a_suspension() {
    let mut shedder = LoadShedder::default();
    let add_requests = |shedder: &mut LoadShedder| (0..10).for_each(|_| shedder.record_request(1));
    add_requests(&mut shedder);
    shedder.record_sample(1.0, 4_000, 1_000);
    assert!(
        shedder.admitted_fraction() >= 0.6,
        "a single sample may be due to a suspension"
    );
    for step in 1..=15 {
        add_requests(&mut shedder);
        shedder.record_sample(0.3, 0, 1_000 + step * 100);
    }
    assert_eq!(shedder.admitted_fraction(), 1.0);
    assert_eq!(shedder.refused_fraction(1), 0.0);
    assert!(
        shedder.diverts_connections(3_900),
        "the diversion has not ended"
    );
    assert!(!shedder.diverts_connections(5_500));
}

#[test]
fn retry_waits_until_it_reaches_another_box() {
    let mut shedder = LoadShedder::default();
    assert!(shedder.retry_after(0.0) >= Duration::from_secs(1));
    shedder.record_readiness(false);
    assert!(!shedder.is_out_of_rotation(), "one answer has no effect");
    shedder.record_readiness(false);
    assert!(shedder.retry_after(1.0) <= Duration::from_millis(50));
    shedder.record_readiness(true);
    assert!(!shedder.is_out_of_rotation());
}

proptest! {
    /// Fractions must stay in range and grow with the number of requests.
    #[test]
    fn refused_fraction_grows_with_the_number_of_requests(
        samples in prop::collection::vec((0.0_f64..1.0, 0_u64..500, 0_u32..100), 1..60),
        counts in prop::collection::vec(0_u32..200, 1..8),
    ) {
        let mut shedder = LoadShedder::default();
        for (busy_fraction, late_ms, refused) in samples {
            for (workspace, count) in (0..).zip(&counts) {
                (0..*count).for_each(|_| shedder.record_request(workspace));
            }
            (0..refused).for_each(|_| shedder.record_refusal());
            shedder.record_sample(busy_fraction, late_ms, 1_000);
            let fractions = (0..).zip(&counts).map(|(workspace, count)| {
                (*count, shedder.refused_fraction(workspace))
            });
            let mut fractions: Vec<(u32, f64)> = fractions.collect();
            fractions.sort_by_key(|(count, _)| *count);
            prop_assert!(fractions.iter().all(|(_, fraction)| (0.0..1.0).contains(fraction)));
            prop_assert!(fractions.is_sorted_by(|a, b| a.1 <= b.1));
            prop_assert!((LoadShedder::MIN_ADMITTED_FRACTION..=1.0).contains(&shedder.admitted_fraction()));
        }
    }

    /// A box that keeps up must not refuse requests, regardless of their number.
    #[test]
    fn no_request_is_refused_below_capacity(
        samples in prop::collection::vec((0.0_f64..0.6, 40_u32..60), 1..60),
    ) {
        let mut shedder = LoadShedder::default();
        for (busy_fraction, count) in samples {
            (0..count).for_each(|_| shedder.record_request(1));
            shedder.record_sample(busy_fraction * f64::from(count) / 60.0, 0, 1_000);
            prop_assert_eq!(shedder.refused_fraction(1), 0.0);
            prop_assert!(!shedder.diverts_connections(1_001));
        }
    }
}
