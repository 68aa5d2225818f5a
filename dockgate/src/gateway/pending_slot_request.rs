//! A slot request to the owner of an endpoint that awaits its verdict.

use super::datagrams::send_to;
use super::gateway_state::GatewayState;
use super::wait_queues::{end_run, receive_wait_request};
use dockgate_core::BoxKey;
use dockgate_core::gateway::{AdmissionRequest, AdmissionVerdict, EndpointId, WaitTerms};
use dockgate_proto::GatewayMessage;
use std::time::Duration;
use tokio::sync::oneshot;

/// How long to wait for a verdict. Much longer than a round trip of about two milliseconds, since an
/// owner that has spent its processor quota gets nothing for the rest of a tenth of a second.
pub(super) const VERDICT_TIMEOUT: Duration = Duration::from_millis(60);

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
    timeout: Duration,
    /// Whether the owner is to forget the request if no verdict was received.
    is_withdrawn_on_drop: bool,
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
        let pending = Self::register(state, run, endpoint, owner);
        let message = GatewayMessage::SlotRequest {
            run,
            endpoint,
            request: request.clone(),
        };
        send_to(state, owner, message);
        pending
    }

    /// Asks the owner of `endpoint`, which may be this box, to let a request wait for a slot.
    pub(super) fn send_wait(
        state: &'a GatewayState,
        run: u32,
        endpoint: EndpointId,
        owner: BoxKey,
        request: AdmissionRequest,
        terms: WaitTerms,
    ) -> Self {
        let mut pending = Self::register(state, run, endpoint, owner);
        pending.timeout += Duration::from_millis(u64::from(terms.wait_ms));
        pending.is_withdrawn_on_drop = true;
        match owner == state.own_key() {
            true => receive_wait_request(state, state.run_key(run), endpoint, request, terms),
            false => {
                let message = GatewayMessage::WaitRequest {
                    run,
                    endpoint,
                    request,
                    terms,
                };
                send_to(state, owner, message);
            }
        }
        pending
    }

    fn register(state: &'a GatewayState, run: u32, endpoint: EndpointId, owner: BoxKey) -> Self {
        let (sender, verdict) = oneshot::channel();
        state.with(|view| view.slot_requests.insert(run, sender));
        Self {
            state,
            run,
            endpoint,
            owner,
            verdict,
            timeout: VERDICT_TIMEOUT,
            is_withdrawn_on_drop: false,
        }
    }

    /// Waits for the verdict; returns `None` if it does not arrive in time.
    pub(super) async fn verdict(mut self) -> Option<AdmissionVerdict> {
        let verdict = tokio::time::timeout(self.timeout, &mut self.verdict).await;
        let verdict = verdict.ok()?.ok();
        self.is_withdrawn_on_drop &= verdict.is_none();
        verdict
    }
}

impl Drop for PendingSlotRequest<'_> {
    fn drop(&mut self) {
        self.state.with(|view| view.slot_requests.remove(&self.run));
        let is_ended = match self.verdict.try_recv() {
            Ok(verdict) => matches!(verdict, AdmissionVerdict::Granted(_)),
            Err(_) => self.is_withdrawn_on_drop,
        };
        match self.owner == self.state.own_key() {
            _ if !is_ended => {}
            true => end_run(self.state, self.endpoint, self.state.run_key(self.run)),
            false => {
                let ended = GatewayMessage::Ended {
                    run: self.run,
                    endpoint: self.endpoint,
                };
                send_to(self.state, self.owner, ended);
            }
        }
    }
}

#[cfg(test)]
mod tests;
