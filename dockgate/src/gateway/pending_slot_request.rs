//! A slot request to the owner of an endpoint that awaits its verdict.

use super::datagrams::send_to;
use super::gateway_state::GatewayState;
use dockgate_core::BoxKey;
use dockgate_core::gateway::{AdmissionRequest, AdmissionVerdict, EndpointId};
use dockgate_proto::GatewayMessage;
use std::time::Duration;
use tokio::sync::oneshot;

/// How long to wait for a verdict. Much longer than a round trip of about two milliseconds, since an
/// owner that has spent its processor quota gets nothing for the rest of a tenth of a second.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(60);

/// A slot request that awaits its verdict.
///
/// The owner counts a granted request at the endpoint until it is reported as ended. If the caller
/// leaves before the verdict is used, a grant is released on drop; otherwise the owner would count
/// the request until its deadline.
pub(super) struct PendingSlotRequest<'a> {
    state: &'a GatewayState,
    run: u32,
    endpoint: EndpointId,
    owner: BoxKey,
    verdict: oneshot::Receiver<AdmissionVerdict>,
}

impl<'a> PendingSlotRequest<'a> {
    /// Sends a slot request for `endpoint` to its owner.
    pub(super) fn send(
        state: &'a GatewayState,
        run: u32,
        endpoint: EndpointId,
        owner: BoxKey,
        request: &AdmissionRequest,
    ) -> Self {
        let (sender, verdict) = oneshot::channel();
        state.with(|view| view.slot_requests.insert(run, sender));
        let message = GatewayMessage::SlotRequest {
            run,
            endpoint,
            request: request.clone(),
        };
        send_to(state, owner, message);
        Self {
            state,
            run,
            endpoint,
            owner,
            verdict,
        }
    }

    /// Waits for the verdict; returns `None` if it does not arrive in time.
    pub(super) async fn verdict(mut self) -> Option<AdmissionVerdict> {
        let verdict = tokio::time::timeout(VERDICT_TIMEOUT, &mut self.verdict).await;
        verdict.ok()?.ok()
    }
}

impl Drop for PendingSlotRequest<'_> {
    fn drop(&mut self) {
        self.state.with(|view| view.slot_requests.remove(&self.run));
        if let Ok(AdmissionVerdict::Granted(_)) = self.verdict.try_recv() {
            let ended = GatewayMessage::Ended {
                run: self.run,
                endpoint: self.endpoint,
            };
            send_to(self.state, self.owner, ended);
        }
    }
}

#[cfg(test)]
mod tests;
