//! A question to the box that decides for an engine, until its verdict is taken.

use super::super::datagrams::send_to;
use super::super::gateway_state::GatewayState;
use dockgate_core::BoxKey;
use dockgate_core::gateway::{EndpointId, EngineAsk, EngineVerdict};
use dockgate_proto::GatewayMessage;
use std::time::Duration;
use tokio::sync::oneshot;

/// How long a verdict may take: a round trip is about two milliseconds, but a box whose share of the
/// processor is spent gets nothing for the rest of a tenth of a second.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(60);

/// A question that waits for its verdict.
///
/// Whoever decides counts a prompt that it grants at the engine until it is told that the prompt has ended. A
/// verdict that nobody takes, as the caller left while it was on its way through this box, is given back:
/// else the engine is believed to work on that prompt for all of its caller's time.
pub(super) struct PendingSeek<'a> {
    state: &'a GatewayState,
    run: u32,
    endpoint: EndpointId,
    owner: BoxKey,
    verdict: oneshot::Receiver<EngineVerdict>,
}

impl<'a> PendingSeek<'a> {
    /// Asks `owner`, who decides for the engine.
    pub(super) fn send(
        state: &'a GatewayState,
        run: u32,
        endpoint: EndpointId,
        owner: BoxKey,
        ask: &EngineAsk,
    ) -> Self {
        let (sender, verdict) = oneshot::channel();
        state.with(|view| view.slot_requests.insert(run, sender));
        let seek = GatewayMessage::SlotRequest {
            run,
            endpoint,
            request: ask.clone(),
        };
        send_to(state, owner, seek);
        Self {
            state,
            run,
            endpoint,
            owner,
            verdict,
        }
    }

    /// Waits for the verdict; returns none where it does not come in time.
    pub(super) async fn verdict(mut self) -> Option<EngineVerdict> {
        let verdict = tokio::time::timeout(VERDICT_TIMEOUT, &mut self.verdict).await;
        verdict.ok()?.ok()
    }
}

impl Drop for PendingSeek<'_> {
    fn drop(&mut self) {
        self.state.with(|view| view.slot_requests.remove(&self.run));
        if let Ok(EngineVerdict::Granted(_)) = self.verdict.try_recv() {
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
