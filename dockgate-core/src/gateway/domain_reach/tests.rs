use super::*;

#[test]
fn one_silent_endpoint_is_no_cut_however_often_it_is_tried() {
    let mut reach = DomainReach::default();
    for _ in 0..5 {
        reach.note_silent("a", EndpointId(1));
    }
    assert!(!reach.is_cut("a"));
}

#[test]
fn a_domain_that_answers_between_is_not_cut() {
    let mut reach = DomainReach::default();
    reach.note_silent("a", EndpointId(1));
    reach.note_answer("a");
    reach.note_silent("a", EndpointId(2));
    assert!(!reach.is_cut("a"));
}

#[test]
fn a_cut_is_one_of_its_domain_alone() {
    let mut reach = DomainReach::default();
    reach.note_silent("a", EndpointId(1));
    reach.note_silent("a", EndpointId(2));
    reach.note_silent("b", EndpointId(3));
    reach.note_answer("b");
    assert_eq!(reach.cut().collect::<Vec<_>>(), ["a"]);
}
