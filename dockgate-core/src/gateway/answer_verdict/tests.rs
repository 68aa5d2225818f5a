use super::*;
use yare::parameterized;

const GOOD: AnswerAttributes = AnswerAttributes {
    status: 200,
    owner: AnswerOwner::Own,
    has_proof: true,
    not_run: false,
    is_encoded: false,
};

#[parameterized(
    good = { GOOD, AnswerVerdict::PassOn },
    foreign = { AnswerAttributes { owner: AnswerOwner::Foreign, ..GOOD }, AnswerVerdict::Unusable },
    unnamed = { AnswerAttributes { owner: AnswerOwner::Unnamed, ..GOOD }, AnswerVerdict::Unusable },
    no_proof = { AnswerAttributes { has_proof: false, ..GOOD }, AnswerVerdict::Unusable },
    encoded = { AnswerAttributes { is_encoded: true, ..GOOD }, AnswerVerdict::Unusable },
    shed = {
        AnswerAttributes { status: 503, owner: AnswerOwner::Unnamed, not_run: true, ..GOOD },
        AnswerVerdict::NotRun
    },
    foreign_shed = {
        AnswerAttributes { status: 503, owner: AnswerOwner::Foreign, not_run: true, ..GOOD },
        AnswerVerdict::Unusable
    },
    promise_without_word = { AnswerAttributes { status: 503, ..GOOD }, AnswerVerdict::Unusable },
    failed = { AnswerAttributes { status: 500, ..GOOD }, AnswerVerdict::Failed },
    timed_out = { AnswerAttributes { status: 504, ..GOOD }, AnswerVerdict::Failed },
    not_found = { AnswerAttributes { status: 404, ..GOOD }, AnswerVerdict::PassOn },
)]
fn answers_are_judged(signs: AnswerAttributes, verdict: AnswerVerdict) {
    assert_eq!(signs.classify(), verdict);
}

#[test]
fn only_the_endpoints_word_makes_a_refusal() {
    for status in 100..600 {
        let signs = AnswerAttributes { status, ..GOOD };
        assert_ne!(signs.classify(), AnswerVerdict::NotRun);
        if PROMISES.contains(&status) {
            assert_ne!(signs.classify(), AnswerVerdict::PassOn);
        }
    }
}
