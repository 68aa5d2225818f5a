use super::*;

#[test]
fn an_endpoint_that_goes_moves_only_its_own_subjects() {
    let endpoints: Vec<EndpointId> = (0..18).map(EndpointId).collect();
    for subject in 0..500 {
        let before = home_order(subject, endpoints.iter().copied());
        let after = home_order(subject, endpoints[..17].iter().copied());
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
        let homes = home_order(name_hash(&subject.to_string()), (0..18).map(EndpointId));
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
