use super::{BreakNews, BrokenEndpoints};
use crate::gateway::{EndpointId, RequestPrint};

const ONE: RequestPrint = RequestPrint::new([1; 16]);
const OTHER: RequestPrint = RequestPrint::new([2; 16]);
const ENDPOINT: EndpointId = EndpointId(1);

#[test]
fn one_look_tells_of_all_requests_that_broke_off_together() {
    let mut broken = BrokenEndpoints::default();
    assert_eq!(broken.note_break(ONE, ENDPOINT, 10), BreakNews::Open);
    assert_eq!(broken.note_break(OTHER, ENDPOINT, 11), BreakNews::Watched);
    assert_eq!(broken.note_break(ONE, ENDPOINT, 11), BreakNews::Watched);
    assert_eq!(broken.note_ended(ENDPOINT, 40), [ONE, OTHER]);
}

#[test]
fn an_answer_that_breaks_off_after_the_end_is_known_counts_at_once() {
    let mut broken = BrokenEndpoints::default();
    broken.note_break(ONE, ENDPOINT, 10);
    broken.note_ended(ENDPOINT, 40);
    assert_eq!(broken.note_break(OTHER, ENDPOINT, 60), BreakNews::Ended);
}

#[test]
fn an_endpoint_that_lives_ended_under_nothing() {
    let mut broken = BrokenEndpoints::default();
    broken.note_break(ONE, ENDPOINT, 10);
    broken.note_alive(ENDPOINT);
    assert_eq!(broken.note_ended(ENDPOINT, 500), []);
    assert_eq!(broken.note_break(ONE, ENDPOINT, 600), BreakNews::Open);
}

#[test]
fn what_broke_off_long_before_an_end_has_nothing_to_do_with_it() {
    let mut broken = BrokenEndpoints::default();
    broken.note_break(ONE, ENDPOINT, 10);
    broken.expire(10 + BrokenEndpoints::KEPT_MS);
    assert_eq!(broken.note_ended(ENDPOINT, 20_000), []);
}
