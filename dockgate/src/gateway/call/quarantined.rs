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
    pub(in super::super) fn print(&self) -> RequestFingerprint {
        let (workspace, host) = (self.workspace_name(), &self.head.host);
        print_of(workspace, &self.method, host, &self.uri, &self.body)
    }
}

/// Returns what a request has in common with all its sends, also those of other ids.
pub(super) fn print_of(
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
pub(super) async fn keep_from_endpoints(
    state: &GatewayState,
    print: impl FnOnce() -> RequestFingerprint,
) -> Result<(), CallRefusal> {
    let Some((print, quarantine)) = quarantine::find_quarantine(state, print) else {
        return Ok(());
    };
    let now = now_ms();
    if quarantine.is_trial_due(now) && quarantine_store::acquire_trial(state, print).await {
        return Ok(());
    }
    let after = quarantine.retry_after(now);
    Err(CallRefusal::come_back(RefusalReason::EndsEndpoints, after))
}
