use super::*;
use yare::parameterized;

const REST: Option<Duration> = Some(Duration::from_secs(3));

#[parameterized(
    success = { 200, AnswerOwner::Own, true, None },
    error = { 500, AnswerOwner::Own, true, None },
    too_many = { 429, AnswerOwner::Own, true, None },
    turned_away = { 503, AnswerOwner::Own, true, REST },
    late_answer_to_another_request = { 200, AnswerOwner::Foreign, true, None },
    turns_another_request_away = { 503, AnswerOwner::Foreign, true, REST },
    of_whatever_listens_there = { 503, AnswerOwner::Unnamed, false, None },
    of_another_endpoint = { 421, AnswerOwner::Own, false, None },
)]
fn an_answer_is_believed_as_far_as_it_is_the_endpoints_word(
    status: u16,
    owner: AnswerOwner,
    leaves: bool,
    rest: Option<Duration>,
) {
    let said = EndpointNotice {
        leaves: true,
        rest: REST,
    };
    for (has_proof, not_run) in [(false, false), (false, true), (true, false), (true, true)] {
        let signs = AnswerAttributes {
            status,
            owner,
            has_proof,
            not_run,
            is_encoded: not_run,
        };
        assert_eq!(said.believed(&signs), EndpointNotice { leaves, rest });
    }
}
