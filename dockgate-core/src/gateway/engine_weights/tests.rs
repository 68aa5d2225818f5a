use super::*;
use proptest::prelude::*;

const ENGINE: EndpointId = EndpointId(3);
const SERVICE: ReadyService = ReadyService { key: 1, engines: 4 };

/// Returns the weights of a box that owns engines with these rates.
fn owner(rates: &[f64]) -> EngineWeights {
    let mut weights = EngineWeights::default();
    tick(&mut weights, rates, 0);
    weights
}

fn tick(weights: &mut EngineWeights, rates: &[f64], now_ms: u64) {
    for (id, rate) in rates.iter().enumerate() {
        weights.measure(EndpointId(id as u64), *rate, now_ms);
    }
    weights.refresh(|_| Some(SERVICE), now_ms);
}

fn row(step: i8, counter: u32, age_ds: u8) -> EngineRate {
    EngineRate {
        endpoint: ENGINE,
        step,
        counter,
        age_ds,
    }
}

fn report(from: &mut EngineWeights, to: &mut EngineWeights, now_ms: u64) -> usize {
    let rows = from.rows(RateAudience::Domain, now_ms);
    to.merge(&rows, |_| true, now_ms);
    to.refresh(|_| Some(SERVICE), now_ms);
    rows.len()
}

/// Guards against additional bytes in a fleet of equal engines.
#[test]
fn rates_are_reported_only_while_some_differ() {
    let mut weights = owner(&[30.0, 33.0, 27.0]);
    assert!(weights.rows(RateAudience::Coordinators, 0).is_empty());
    tick(&mut weights, &[30.0, 33.0, 15.0], 300);
    assert_eq!(weights.rows(RateAudience::Coordinators, 300).len(), 3);
    for now_ms in (2_300..=12_600).step_by(300) {
        tick(&mut weights, &[30.0, 33.0, 30.0], now_ms);
    }
    assert!(weights.rows(RateAudience::Coordinators, 12_600).is_empty());
    assert!(weights.homes().is_uniform());
}

/// Guards against owners whose own engines are equal and who stay unknown to the others.
#[test]
fn owners_of_equal_engines_report_once_they_know_of_other_rates() {
    let mut slow = owner(&[15.0, 15.0]);
    let mut mixed = EngineWeights::default();
    for (id, rate) in [(7, 30.0), (8, 30.0), (9, 15.0)] {
        mixed.measure(EndpointId(id), rate, 0);
    }
    mixed.refresh(|_| Some(SERVICE), 0);
    assert_eq!(report(&mut slow, &mut mixed, 0), 0);
    assert_eq!(report(&mut mixed, &mut slow, 0), 3);
    assert_eq!(report(&mut slow, &mut mixed, 10), 5);
    assert_eq!(slow.homes(), mixed.homes());
}

/// Guards against weights by the median of the few rates that are known first.
#[test]
fn weights_are_1_until_half_of_the_rates_are_known() {
    let mut weights = owner(&[30.0, 15.0]);
    let mut weight_of = |engines| {
        weights.refresh(|_| Some(ReadyService { key: 1, engines }), 0);
        weights.homes().get(EndpointId(0))
    };
    assert_eq!([5, 4].map(&mut weight_of), [1.0, 2.0]);
    assert_eq!(
        weights.rows(RateAudience::Domain, 0).len(),
        2,
        "others learn the rates"
    );
}

#[test]
fn step_changes_only_with_clear_changes_of_the_rate_and_not_too_often() {
    let mut weights = EngineWeights::default();
    let mut counter_at = |now_ms, steps: f64| {
        weights.measure(ENGINE, (steps / 4.0).exp2(), now_ms);
        weights.rates[&ENGINE].counter
    };
    let counters = [
        counter_at(0, 20.0),
        counter_at(300, 20.59),
        counter_at(600, 20.61),
        counter_at(2_500, 18.0),
        counter_at(2_600, 18.0),
        counter_at(9_000, f64::NAN),
        counter_at(9_300, f64::NEG_INFINITY),
    ];
    assert_eq!(counters, [1, 1, 2, 2, 3, 3, 3]);
}

#[test]
fn unknown_and_outdated_rows_are_ignored() {
    let mut weights = EngineWeights::default();
    assert_eq!(weights.merge(&[row(9, 2, 0)], |_| false, 20_000), 1);
    assert_eq!(weights.merge(&[row(9, 2, 100)], |_| true, 20_000), 1);
    assert!(weights.rates.is_empty());
    assert_eq!(
        weights.merge(&[row(9, 2, 0), row(9, 2, 0)], |_| true, 20_000),
        0
    );
    assert_eq!(weights.merge(&[row(12, 1, 0)], |_| true, 20_000), 1);
    assert_eq!(weights.rates[&ENGINE].step, 9);
}

/// Guards against a new or restarted owner whose counter is below the known one.
#[test]
fn owner_counts_on_from_the_reports_of_the_previous_one() {
    let mut weights = EngineWeights::default();
    weights.measure(ENGINE, 16.0, 0);
    weights.merge(&[row(9, 40, 3)], |_| true, 0);
    assert_eq!(weights.rates[&ENGINE].rank(), (41, 16));
    // It is no longer the owner.
    weights.merge(&[row(10, 42, 0)], |_| true, 5_000);
    assert_eq!(weights.rates[&ENGINE].rank(), (42, 10));
}

/// Guards against rows that two coordinators keep alive after their owner is gone.
#[test]
fn circulating_rows_expire() {
    let (mut one, mut other) = (owner(&[30.0, 30.0, 15.0]), EngineWeights::default());
    for now_ms in (0..10_300).step_by(100) {
        one.refresh(|_| Some(SERVICE), now_ms);
        report(&mut one, &mut other, now_ms);
        report(&mut other, &mut one, now_ms);
    }
    assert!(one.homes().is_uniform() && one.rates.is_empty());
    assert!(other.homes().is_uniform() && other.rates.is_empty());
}

/// Guards against engines that a fleet with more rows than a datagram holds never reports.
#[test]
fn rows_are_selected_in_turn() {
    let rates: Vec<f64> = (0..450)
        .map(|id| if id % 2 == 0 { 15.0 } else { 30.0 })
        .collect();
    let mut weights = owner(&rates);
    let mut reported = Vec::new();
    for _ in 0..3 {
        let rows = weights.rows(RateAudience::Coordinators, 0);
        assert_eq!(rows.len(), EngineWeights::MAX_ROWS);
        reported.extend(rows.iter().map(|row| row.endpoint));
    }
    reported.sort_unstable();
    reported.dedup();
    assert_eq!(reported.len(), rates.len());
}

proptest! {
    /// Boxes that received the newest row agree, whatever was lost, repeated or reordered before.
    #[test]
    fn newest_row_wins_in_any_order(
        received in prop::collection::vec(0_u32..9, 0..40),
        newest_at in 0_usize..41,
    ) {
        let mut received = received;
        received.insert(newest_at.min(received.len()), 9);
        let mut weights = EngineWeights::default();
        for counter in received {
            weights.merge(&[row(counter as i8 * 7 % 5, counter, 0)], |_| true, 0);
        }
        prop_assert_eq!(weights.rates[&ENGINE].rank(), (9, 63 % 5));
    }
}

/// Guards against boxes that keep outdated weights after datagrams were lost, repeated or late.
#[test]
fn boxes_agree_although_half_of_the_datagrams_are_lost() {
    const OWNERS: usize = 4;
    const MEMBERS: usize = 20;
    let draw = |one, other| crate::gateway::tie_break(one, EndpointId(other));
    let mut boxes = vec![EngineWeights::default(); OWNERS + MEMBERS];
    let mut late: Vec<Vec<EngineRate>> = Vec::new();
    for tick in 0..40_u64 {
        let now_ms = tick * 300;
        for owner in 0..OWNERS as u64 {
            // One engine becomes slower, and later as fast as before.
            let slow = if (5..20).contains(&tick) {
                1.0 / 3.5
            } else {
                1.0
            };
            for engine in 0..3 {
                let rate = 30.0 * [0.6, 1.0, 1.6][engine as usize];
                let rate = if owner == 0 && engine == 2 {
                    rate * slow
                } else {
                    rate
                };
                boxes[owner as usize].measure(EndpointId(owner * 3 + engine), rate, now_ms);
            }
        }
        let service = ReadyService {
            key: 1,
            engines: 3 * OWNERS,
        };
        for weights in &mut boxes {
            weights.refresh(|_| Some(service), now_ms);
        }
        let rows: Vec<Vec<EngineRate>> = boxes[..OWNERS]
            .iter_mut()
            .map(|owner| owner.rows(RateAudience::Domain, now_ms))
            .collect();
        for (number, weights) in (0..).zip(&mut boxes) {
            for (sender, rows) in (0..).zip(rows.iter().chain(&late)) {
                if draw(tick, number * 100 + sender).is_multiple_of(2) {
                    weights.merge(rows, |_| true, now_ms);
                }
            }
        }
        late = rows;
    }
    let expected = boxes[0].homes();
    assert_eq!(expected.get(EndpointId(2)), expected.get(EndpointId(5)));
    assert!(expected.get(EndpointId(2)) > 1.4 && expected.get(EndpointId(0)) < 0.7);
    assert!(boxes.iter().all(|weights| weights.homes() == expected));
}

/// Returns the weights at all boxes after 30 s, of a service whose engines have these rates, by
/// domain and owner. Each domain has a coordinator and a member without engines.
fn weights_at_all_boxes(domains: &[Vec<Vec<f64>>]) -> Vec<HomeWeights> {
    let rates = domains.iter().flatten().flatten();
    let service = ReadyService {
        key: 1,
        engines: rates.count(),
    };
    // The coordinator of each domain comes first, and its member last.
    let mut boxes: Vec<Vec<EngineWeights>> = domains
        .iter()
        .map(|owners| vec![EngineWeights::default(); owners.len() + 2])
        .collect();
    for now_ms in (0..30_000).step_by(300) {
        let mut engines = (0..).map(EndpointId);
        for (owners, boxes) in domains.iter().zip(&mut boxes) {
            for (rates, weights) in owners.iter().zip(&mut boxes[1..]) {
                for rate in rates {
                    weights.measure(engines.next().unwrap(), *rate, now_ms);
                }
            }
        }
        let mut between_domains = Vec::new();
        for boxes in &mut boxes {
            for weights in &mut *boxes {
                weights.refresh(|_| Some(service), now_ms);
            }
            let (coordinator, others) = boxes.split_first_mut().unwrap();
            for weights in &mut *others {
                let rows = weights.rows(RateAudience::Coordinators, now_ms);
                coordinator.merge(&rows, |_| true, now_ms);
            }
            let rows = coordinator.rows(RateAudience::Domain, now_ms);
            for weights in others {
                weights.merge(&rows, |_| true, now_ms);
            }
            between_domains.push(coordinator.rows(RateAudience::OtherDomains, now_ms));
        }
        for (domain, boxes) in boxes.iter_mut().enumerate() {
            for (sender, rows) in between_domains.iter().enumerate() {
                if sender != domain {
                    boxes[0].merge(rows, |_| true, now_ms);
                }
            }
        }
    }
    let boxes = boxes.iter().flatten();
    boxes.map(|weights| weights.homes().clone()).collect()
}

/// Guards against owners each of whom knows too few rates to see that any differ.
#[test]
fn rates_that_no_owner_can_compare_reach_all_boxes() {
    let fleets = [
        vec![vec![vec![30.0], vec![30.0], vec![7.5]]],
        vec![vec![vec![30.0], vec![7.5]]],
        vec![vec![vec![30.0, 30.0, 30.0], vec![7.5]]],
        vec![vec![vec![30.0, 30.0], vec![7.5, 7.5]]],
        vec![vec![vec![30.0, 30.0]], vec![vec![7.5, 7.5]]],
        vec![vec![vec![30.0]], vec![vec![30.0]], vec![vec![7.5]]],
        vec![vec![vec![30.0, 30.0, 30.0]], vec![vec![30.0], vec![7.5]]],
    ];
    for domains in fleets {
        let weights = weights_at_all_boxes(&domains);
        let (first, others) = weights.split_first().unwrap();
        assert!(!first.is_uniform(), "{domains:?}");
        assert!(others.iter().all(|other| other == first), "{domains:?}");
    }
    let equal = [vec![vec![30.0], vec![31.0]], vec![vec![33.0], vec![29.0]]];
    let mut weights = weights_at_all_boxes(&equal).into_iter();
    assert!(weights.all(|weights| weights.is_uniform()));
}
