use super::*;
use yare::parameterized;

const VALID: AnswerAttributes = AnswerAttributes {
    status: 200,
    owner: AnswerOwner::Own,
    has_proof: true,
    not_run: false,
    is_encoded: false,
};

#[parameterized(
    valid = { VALID, AnswerVerdict::PassOn },
    foreign = { AnswerAttributes { owner: AnswerOwner::Foreign, ..VALID }, AnswerVerdict::Unusable },
    unnamed = { AnswerAttributes { owner: AnswerOwner::Unnamed, ..VALID }, AnswerVerdict::Unusable },
    no_proof = { AnswerAttributes { has_proof: false, ..VALID }, AnswerVerdict::Unusable },
    encoded = { AnswerAttributes { is_encoded: true, ..VALID }, AnswerVerdict::Unusable },
    refused = {
        AnswerAttributes { status: 503, owner: AnswerOwner::Unnamed, not_run: true, ..VALID },
        AnswerVerdict::NotRun
    },
    foreign_refusal = {
        AnswerAttributes { status: 503, owner: AnswerOwner::Foreign, not_run: true, ..VALID },
        AnswerVerdict::Unusable
    },
    unavailable_without_statement = { AnswerAttributes { status: 503, ..VALID }, AnswerVerdict::Unusable },
    failed = { AnswerAttributes { status: 500, ..VALID }, AnswerVerdict::Failed },
    timed_out = { AnswerAttributes { status: 504, ..VALID }, AnswerVerdict::Failed },
    switching_protocols = { AnswerAttributes { status: 101, ..VALID }, AnswerVerdict::Unusable },
    interim_refusal = {
        AnswerAttributes { status: 199, not_run: true, ..VALID }, AnswerVerdict::Unusable
    },
    without_a_class = { AnswerAttributes { status: 600, ..VALID }, AnswerVerdict::Failed },
    highest = { AnswerAttributes { status: 999, ..VALID }, AnswerVerdict::Failed },
    not_found = { AnswerAttributes { status: 404, ..VALID }, AnswerVerdict::PassOn },
)]
fn answers_are_classified(attributes: AnswerAttributes, verdict: AnswerVerdict) {
    assert_eq!(attributes.classify(), verdict);
}

#[test]
fn refusal_requires_a_statement_of_the_endpoint() {
    for status in 100..1_000 {
        let attributes = AnswerAttributes { status, ..VALID };
        assert_ne!(attributes.classify(), AnswerVerdict::NotRun);
        if NOT_RUN_STATUSES.contains(&status) {
            assert_ne!(attributes.classify(), AnswerVerdict::PassOn);
        }
    }
}

#[test]
fn attributes_are_logged_under_their_outer_name() {
    let attributes = AnswerAttributes {
        status: 200,
        owner: AnswerOwner::Own,
        has_proof: false,
        not_run: false,
        is_encoded: true,
    };
    let logged = "AnswerSigns { status: 200, owner: Own, has_proof: false, not_run: false, is_encoded: true }";
    assert_eq!(format!("{attributes:?}"), logged);
}
