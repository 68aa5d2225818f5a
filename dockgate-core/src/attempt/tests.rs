use super::*;
use yare::parameterized;

#[parameterized(
    queued = { AttemptState::Queued, false, RetryVerdict::Retry },
    bound = { AttemptState::Bound, false, RetryVerdict::Retry },
    refused = { AttemptState::Refused, false, RetryVerdict::Retry },
    sent_repeatable = { AttemptState::Sent, true, RetryVerdict::Retry },
    sent_once = { AttemptState::Sent, false, RetryVerdict::Report(Outcome::Unknown) },
    streaming = { AttemptState::Streaming, true, RetryVerdict::Report(Outcome::Failed) },
    streaming_once = { AttemptState::Streaming, false, RetryVerdict::Report(Outcome::Unknown) },
)]
fn retry_verdict_depends_on_state_and_repeatability(
    state: AttemptState,
    repeatable: bool,
    verdict: RetryVerdict,
) {
    assert_eq!(state.retry_verdict(repeatable, true), verdict);
}

#[test]
fn sent_request_is_never_reported_as_not_run() {
    let mut trail = AttemptTrail::default();
    trail.record(AttemptState::Refused);
    assert_eq!(trail.outcome(AttemptState::Queued, true), Outcome::NotRun);
    trail.record(AttemptState::Sent);
    trail.record(AttemptState::Bound);
    assert_eq!(trail.outcome(AttemptState::Queued, true), Outcome::Failed);
}

#[test]
fn outcome_after_sending_is_never_not_run() {
    for state in [AttemptState::Sent, AttemptState::Streaming] {
        for repeatable in [true, false] {
            assert_ne!(state.outcome(repeatable), Outcome::NotRun);
        }
    }
}
