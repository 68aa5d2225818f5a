//! What a request is recognised by, and what becomes of one under which endpoints end.

use super::super::gateway_state::GatewayState;
use super::super::refusal::RefusalReason;
use super::super::{quarantine, quarantine_store};
use super::{AdmittedCall, CallRefusal};
use crate::clock::now_ms;
use dockgate_core::gateway::{FingerprintInput, RequestFingerprint};
use http::{Method, Uri};

impl AdmittedCall {
    /// Returns what it has in common with all its sends, also those of other ids.
    ///
    /// It is worked out when it is asked for: most requests never need it.
    pub(in super::super) fn fingerprint(&self) -> RequestFingerprint {
        let (workspace, host) = (self.workspace_name(), &self.head.host);
        fingerprint_of(workspace, &self.method, host, &self.uri, &self.body)
    }
}

/// Returns what a request has in common with all its sends, also those of other ids.
pub(super) fn fingerprint_of(
    workspace: &str,
    method: &Method,
    host: &str,
    uri: &Uri,
    body: &[u8],
) -> RequestFingerprint {
    RequestFingerprint::of(&FingerprintInput {
        workspace,
        method: method.as_str(),
        host,
        target: &uri.to_string(),
        body,
    })
}

/// Refuses a request under which endpoints end, but for a trial: nobody is charged for it, and its caller is
/// told at once that it did not run, and when the next trial may be.
///
/// # Errors
///
/// Returns the refusal.
pub(super) async fn check_quarantine(
    state: &GatewayState,
    fingerprint: impl FnOnce() -> RequestFingerprint,
) -> Result<(), CallRefusal> {
    let Some((fingerprint, quarantine)) = quarantine::find(state, fingerprint) else {
        return Ok(());
    };
    let now = now_ms();
    if quarantine.is_trial_due(now) && quarantine_store::take_trial(state, fingerprint).await {
        return Ok(());
    }
    let after = quarantine.retry_after(now);
    Err(CallRefusal::with_retry(RefusalReason::EndsEndpoints, after))
}
