use super::*;
use yare::parameterized;

const BACKOFF: Option<Duration> = Some(Duration::from_secs(3));

#[parameterized(
    success = { 200, AnswerOwner::Own, true, None },
    error = { 500, AnswerOwner::Own, true, None },
    too_many = { 429, AnswerOwner::Own, true, None },
    refusal = { 503, AnswerOwner::Own, true, BACKOFF },
    late_answer_to_another_request = { 200, AnswerOwner::Foreign, true, None },
    refusal_of_another_request = { 503, AnswerOwner::Foreign, true, BACKOFF },
    answer_without_request_id = { 503, AnswerOwner::Unnamed, false, None },
    answer_of_another_endpoint = { 421, AnswerOwner::Own, false, None },
)]
fn a_notice_is_trusted_if_the_answer_comes_from_the_endpoint(
    status: u16,
    owner: AnswerOwner,
    is_leaving: bool,
    backoff: Option<Duration>,
) {
    let notice = EndpointNotice {
        is_leaving: true,
        backoff: BACKOFF,
    };
    for (has_proof, not_run) in [(false, false), (false, true), (true, false), (true, true)] {
        let attributes = AnswerAttributes {
            status,
            owner,
            has_proof,
            not_run,
            is_encoded: not_run,
        };
        assert_eq!(
            notice.trusted(&attributes),
            EndpointNotice {
                is_leaving,
                backoff
            }
        );
    }
}
