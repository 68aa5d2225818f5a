use super::*;
use proptest::prelude::*;

fn ranked_homes(subject: u64, endpoints: impl Iterator<Item = EndpointId>) -> Vec<EndpointId> {
    best_homes(subject, endpoints, usize::MAX - 1, |_| true)
}

proptest! {
    /// The best few that are accepted are those of the whole order.
    #[test]
    fn the_best_homes_are_the_first_of_the_whole_order(
        subject in 0_u64..1_000,
        endpoints in prop::collection::btree_set(0_u64..500, 0..60),
        count in 0_usize..6,
        refused in 1_u64..5,
    ) {
        let accepts = |endpoint: EndpointId| !endpoint.0.is_multiple_of(refused);
        let ids = || endpoints.iter().copied().map(EndpointId);
        let mut whole: Vec<EndpointId> = ids().filter(|id| accepts(*id)).collect();
        whole.sort_by_key(|id| std::cmp::Reverse((score(subject, id.0), *id)));
        whole.truncate(count);
        prop_assert_eq!(best_homes(subject, ids(), count, accepts), whole);
    }
}

#[test]
fn an_endpoint_that_goes_moves_only_its_own_subjects() {
    let endpoints: Vec<EndpointId> = (0..18).map(EndpointId).collect();
    for subject in 0..500 {
        let before = ranked_homes(subject, endpoints.iter().copied());
        let after = ranked_homes(subject, endpoints[..17].iter().copied());
        let kept: Vec<EndpointId> = before
            .into_iter()
            .filter(|endpoint| *endpoint != EndpointId(17))
            .collect();
        assert_eq!(kept, after);
    }
}

#[test]
fn subjects_spread_evenly() {
    let mut counts = [0_u32; 18];
    for subject in 0..3_600 {
        let homes = ranked_homes(name_hash(&subject.to_string()), (0..18).map(EndpointId));
        counts[homes[0].0 as usize] += 1;
    }
    assert!(
        counts.iter().all(|count| (120..290).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn every_box_names_the_same_owner() {
    let boxes = [BoxKey(3), BoxKey(9), BoxKey(11)];
    for endpoint in (0..100).map(EndpointId) {
        let forward = owner_of_endpoint(endpoint, boxes.iter().copied());
        let backward = owner_of_endpoint(endpoint, boxes.iter().rev().copied());
        assert_eq!(forward, backward);
    }
    assert_eq!(owner_of_endpoint(EndpointId(1), std::iter::empty()), None);
}

#[test]
fn a_request_leaves_the_homes_that_it_shares_once_it_has_lost_two_endpoints() {
    let subjects = [0, 1, 2, 3].map(|tried| home_key(7, 8, tried));
    assert_eq!(subjects, [7, 7, 8, 8]);
}
