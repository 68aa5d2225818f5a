use super::*;

/// Guards against reporting a request as not run while an endpoint may run it.
#[test]
fn request_may_have_run_once_a_send_has_begun() {
    let progress = CallProgress::default();
    assert_eq!(progress.stage(), CallStage::Placing);
    progress.record_send();
    assert_eq!(progress.stage(), CallStage::Sent);
    progress.record_failure(AttemptState::Bound);
    assert_eq!(progress.stage(), CallStage::Placing);
    progress.record_send();
    progress.record_failure(AttemptState::Refused);
    assert_eq!(progress.stage(), CallStage::Placing);
    progress.record_send();
    progress.record_failure(AttemptState::Sent);
    assert_eq!(progress.stage(), CallStage::Sent);
    progress.record_send();
    progress.record_failure(AttemptState::Bound);
    assert_eq!(progress.stage(), CallStage::Sent);
}
