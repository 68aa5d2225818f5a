use super::*;

#[test]
fn one_silent_endpoint_does_not_make_its_domain_unreachable() {
    let mut reachability = DomainReachability::default();
    for _ in 0..5 {
        reachability.record_silence("a", EndpointId(1));
    }
    assert!(!reachability.is_unreachable("a"));
}

#[test]
fn an_answer_resets_the_silent_endpoints_of_its_domain() {
    let mut reachability = DomainReachability::default();
    reachability.record_silence("a", EndpointId(1));
    reachability.record_answer("a");
    reachability.record_silence("a", EndpointId(2));
    assert!(!reachability.is_unreachable("a"));
}

#[test]
fn domains_are_tracked_separately() {
    let mut reachability = DomainReachability::default();
    reachability.record_silence("a", EndpointId(1));
    reachability.record_silence("a", EndpointId(2));
    reachability.record_silence("b", EndpointId(3));
    reachability.record_answer("b");
    assert_eq!(reachability.unreachable().collect::<Vec<_>>(), ["a"]);
}
