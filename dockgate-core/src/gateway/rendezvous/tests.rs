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
