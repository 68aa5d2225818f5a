//! Computes the fingerprint of a request, and refuses requests that are quarantined.

use super::super::gateway_state::GatewayState;
use super::super::refusal::RefusalReason;
use super::super::{quarantine, quarantine_store};
use super::CallRefusal;
use crate::clock::now_ms;
use dockgate_core::gateway::{FingerprintInput, SuspectKey};
use http::{Method, Uri};

/// Returns the fingerprint of a request, which does not depend on its id.
pub(super) fn fingerprint_of(
    workspace: &str,
    method: &Method,
    host: &str,
    uri: &Uri,
    body: &[u8],
) -> SuspectKey {
    SuspectKey::of_request(&FingerprintInput {
        workspace,
        method: method.as_str(),
        host,
        target: &uri.to_string(),
        body,
    })
}

/// Checks whether a request may be sent: one that is quarantined may be sent only as a trial.
///
/// # Errors
///
/// Returns a refusal with the time of the next trial if the request is quarantined.
pub(super) async fn check_quarantine(
    state: &GatewayState,
    fingerprint: impl FnOnce() -> SuspectKey,
) -> Result<(), CallRefusal> {
    let Some((fingerprint, quarantine)) = quarantine::find_quarantine(state, fingerprint) else {
        return Ok(());
    };
    let now = now_ms();
    if quarantine.is_trial_due(now) && quarantine_store::acquire_trial(state, fingerprint).await {
        return Ok(());
    }
    let after = quarantine.retry_after(now);
    Err(CallRefusal::with_retry(RefusalReason::Quarantined, after))
}
