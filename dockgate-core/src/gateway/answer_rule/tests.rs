use super::*;
use yare::parameterized;

const GOOD: AnswerSigns = AnswerSigns {
    status: 200,
    owner: AnswerOwner::Own,
    has_proof: true,
    not_run: false,
    is_encoded: false,
};

#[parameterized(
    good = { GOOD, AnswerVerdict::PassOn },
    foreign = { AnswerSigns { owner: AnswerOwner::Foreign, ..GOOD }, AnswerVerdict::Unusable },
    unnamed = { AnswerSigns { owner: AnswerOwner::Unnamed, ..GOOD }, AnswerVerdict::Unusable },
    no_proof = { AnswerSigns { has_proof: false, ..GOOD }, AnswerVerdict::Unusable },
    encoded = { AnswerSigns { is_encoded: true, ..GOOD }, AnswerVerdict::Unusable },
    shed = {
        AnswerSigns { status: 503, owner: AnswerOwner::Unnamed, not_run: true, ..GOOD },
        AnswerVerdict::NotRun
    },
    foreign_shed = {
        AnswerSigns { status: 503, owner: AnswerOwner::Foreign, not_run: true, ..GOOD },
        AnswerVerdict::Unusable
    },
    promise_without_word = { AnswerSigns { status: 503, ..GOOD }, AnswerVerdict::Unusable },
    failed = { AnswerSigns { status: 500, ..GOOD }, AnswerVerdict::Failed },
    timed_out = { AnswerSigns { status: 504, ..GOOD }, AnswerVerdict::Failed },
    not_found = { AnswerSigns { status: 404, ..GOOD }, AnswerVerdict::PassOn },
)]
fn answers_are_judged(signs: AnswerSigns, verdict: AnswerVerdict) {
    assert_eq!(signs.judge(), verdict);
}

#[test]
fn only_the_endpoints_word_makes_a_refusal() {
    for status in 100..600 {
        let signs = AnswerSigns { status, ..GOOD };
        assert_ne!(signs.judge(), AnswerVerdict::NotRun);
        if PROMISES.contains(&status) {
            assert_ne!(signs.judge(), AnswerVerdict::PassOn);
        }
    }
}
