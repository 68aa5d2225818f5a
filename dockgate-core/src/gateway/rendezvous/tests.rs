use super::*;
use proptest::prelude::*;

fn ranked_homes(key: u64, endpoints: impl Iterator<Item = EndpointId>) -> Vec<EndpointId> {
    best_homes(key, endpoints, usize::MAX - 1, |_| true)
}

proptest! {
    /// Selection in one pass must agree with a full sort.
    #[test]
    fn best_homes_agree_with_a_full_sort(
        key in 0_u64..1_000,
        endpoints in prop::collection::btree_set(0_u64..500, 0..60),
        count in 0_usize..6,
        refused in 1_u64..5,
    ) {
        let accepts = |endpoint: EndpointId| !endpoint.0.is_multiple_of(refused);
        let ids = || endpoints.iter().copied().map(EndpointId);
        let mut sorted: Vec<EndpointId> = ids().filter(|id| accepts(*id)).collect();
        sorted.sort_by_key(|id| std::cmp::Reverse((score(key, id.0), *id)));
        sorted.truncate(count);
        prop_assert_eq!(best_homes(key, ids(), count, accepts), sorted);
    }
}

#[test]
fn removed_endpoint_moves_only_its_own_keys() {
    let endpoints: Vec<EndpointId> = (0..18).map(EndpointId).collect();
    for key in 0..500 {
        let before = ranked_homes(key, endpoints.iter().copied());
        let after = ranked_homes(key, endpoints[..17].iter().copied());
        let kept: Vec<EndpointId> = before
            .into_iter()
            .filter(|endpoint| *endpoint != EndpointId(17))
            .collect();
        assert_eq!(kept, after);
    }
}

#[test]
fn keys_are_distributed_evenly() {
    let mut counts = [0_u32; 18];
    for key in 0..3_600 {
        let homes = ranked_homes(name_hash(&key.to_string()), (0..18).map(EndpointId));
        counts[homes[0].0 as usize] += 1;
    }
    assert!(
        counts.iter().all(|count| (120..290).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn owner_does_not_depend_on_the_order_of_boxes() {
    let boxes = [BoxKey(3), BoxKey(9), BoxKey(11)];
    for endpoint in (0..100).map(EndpointId) {
        let forward = owner_of_endpoint(endpoint, boxes.iter().copied());
        let backward = owner_of_endpoint(endpoint, boxes.iter().rev().copied());
        assert_eq!(forward, backward);
    }
    assert_eq!(owner_of_endpoint(EndpointId(1), std::iter::empty()), None);
}

#[test]
fn request_uses_its_own_key_after_two_attempts() {
    let keys = [0, 1, 2, 3].map(|tried| placement_key(7, 8, tried));
    assert_eq!(keys, [7, 7, 8, 8]);
}

/// Boxes that see all endpoints idle do not choose the same one.
#[test]
fn ties_spread_requests_over_all_endpoints() {
    const ENDPOINTS: u64 = 8;
    for boxes in [30_u64, 300] {
        let mut counts = [0_u64; ENDPOINTS as usize];
        for request in 0..boxes {
            let request = name_hash(&format!("request-{request}"));
            let chosen = (0..ENDPOINTS).min_by_key(|id| tie_break(request, EndpointId(*id)));
            counts[chosen.unwrap() as usize] += 1;
        }
        let busiest = counts.iter().max().copied().unwrap();
        assert!(busiest <= 3 * boxes / ENDPOINTS, "{counts:?}");
        assert!(!counts.contains(&0), "{counts:?}");
    }
}

/// Weights of 60 engines at three speeds.
fn three_speeds() -> HomeWeights {
    let weight = |id: u64| [0.6, 1.0, 1.6][id as usize % 3];
    (0..60).map(|id| (EndpointId(id), weight(id))).collect()
}

/// The share of each speed's keys must follow its weight within 5 %.
#[test]
fn keys_are_distributed_by_weight() {
    const KEYS: u64 = 10_000;
    let weights = three_speeds();
    let mut counts = [0_u64; 3];
    for key in 0..KEYS {
        let homes = weighted_homes(key, (0..60).map(EndpointId), &weights, 1, |_| true);
        counts[homes[0].0 as usize % 3] += 1;
    }
    for (count, weight) in counts.into_iter().zip([0.6, 1.0, 1.6]) {
        let expected = KEYS as f64 * weight / 3.2;
        assert!((count as f64 / expected - 1.0).abs() < 0.05, "{counts:?}");
    }
}

proptest! {
    /// The bound that spares logarithms must not exclude a home.
    #[test]
    fn weighted_homes_agree_with_a_full_sort(
        key in any::<u64>(),
        weighted in prop::collection::btree_map(0_u64..500, 0.25_f64..4.0, 1..60),
        count in 0_usize..6,
        refused in 1_u64..5,
    ) {
        let accepts = |endpoint: EndpointId| !endpoint.0.is_multiple_of(refused);
        let weights = weighted.into_iter().map(|(id, weight)| (EndpointId(id), weight));
        let weights: HomeWeights = weights.collect();
        let rank = |id: EndpointId| weighted_score(score(key, id.0), weights.get(id));
        let all = (0..500).map(EndpointId);
        let mut sorted: Vec<EndpointId> = all.filter(|id| accepts(*id)).collect();
        sorted.sort_by(|one, other| rank(*other).total_cmp(&rank(*one)));
        sorted.truncate(count);
        let homes = weighted_homes(key, (0..500).map(EndpointId), &weights, count, accepts);
        prop_assert_eq!(homes, sorted);
    }

    #[test]
    fn equal_weights_place_keys_like_none(
        key in any::<u64>(),
        count in 0_usize..6,
        engines in 1_u64..80,
        weight in 0.25_f64..4.0,
    ) {
        let all = || (0..engines).map(EndpointId);
        let equal: HomeWeights = all().map(|id| (id, weight)).collect();
        let homes = best_homes(key, all(), count, |_| true);
        for weights in [equal, HomeWeights::default()] {
            prop_assert_eq!(&weighted_homes(key, all(), &weights, count, |_| true), &homes);
        }
    }

    /// A changed weight moves keys to or from its engine alone, in proportion to the change.
    #[test]
    fn changed_weight_moves_only_keys_of_its_engine(
        from in 0.25_f64..4.0,
        to in 0.25_f64..4.0,
        changed in 0_u64..60,
    ) {
        const KEYS: u64 = 2_000;
        let changed = EndpointId(changed);
        let with = |weight| -> HomeWeights {
            let others = three_speeds();
            let others: Vec<(EndpointId, f64)> = others.iter().collect();
            others.into_iter().chain([(changed, weight)]).collect()
        };
        let (before, after) = (with(from), with(to));
        let others = (0..60).map(EndpointId).filter(|id| *id != changed);
        let others: f64 = others.map(|id| before.get(id)).sum();
        let mut moved = 0;
        for key in 0..KEYS {
            let all = || (0..60).map(EndpointId);
            let home = |weights| weighted_homes(key, all(), weights, 1, |_| true)[0];
            let (old, new) = (home(&before), home(&after));
            moved += u64::from(old != new);
            let is_expected = if to > from { new == changed } else { old == changed };
            prop_assert!(old == new || is_expected);
        }
        let portion = (to / (to + others) - from / (from + others)).abs();
        // Four standard deviations of the number of moved keys.
        let margin = 4.0 * (KEYS as f64 * portion).sqrt() + 4.0;
        prop_assert!(moved as f64 <= KEYS as f64 * portion + margin);
    }
}
