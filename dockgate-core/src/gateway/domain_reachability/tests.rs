use super::*;

#[test]
fn one_silent_endpoint_is_no_cut_however_often_it_is_tried() {
    let mut reachability = DomainReachability::default();
    for _ in 0..5 {
        reachability.record_silence("a", EndpointId(1));
    }
    assert!(!reachability.is_unreachable("a"));
}

#[test]
fn a_domain_that_answers_between_is_not_cut() {
    let mut reachability = DomainReachability::default();
    reachability.record_silence("a", EndpointId(1));
    reachability.record_answer("a");
    reachability.record_silence("a", EndpointId(2));
    assert!(!reachability.is_unreachable("a"));
}

#[test]
fn a_cut_is_one_of_its_domain_alone() {
    let mut reachability = DomainReachability::default();
    reachability.record_silence("a", EndpointId(1));
    reachability.record_silence("a", EndpointId(2));
    reachability.record_silence("b", EndpointId(3));
    reachability.record_answer("b");
    assert_eq!(reachability.unreachable().collect::<Vec<_>>(), ["a"]);
}
