//! One request at one endpoint: counted from the decision until it has left.

use super::datagrams::send_to;
use super::gateway_state::{GatewayState, PlacedRun};
use crate::clock::now_ms;
use dockgate_core::BoxKey;
use dockgate_core::gateway::{EndpointId, EndpointOutcome, EngineAsk};
use dockgate_proto::GatewayMessage;
use std::sync::Arc;

/// Counts a request at an endpoint; ends the count when it is dropped.
pub(super) struct RunGuard {
    state: Arc<GatewayState>,
    endpoint: EndpointId,
    /// The counter of the run, where the endpoint is an engine.
    number: Option<u32>,
    started: bool,
}

impl RunGuard {
    /// Counts a request at a plain service's endpoint.
    pub(super) fn plain(state: &Arc<GatewayState>, endpoint: EndpointId) -> Self {
        state.with(|view| view.endpoints.note_sent(endpoint, now_ms()));
        Self {
            state: state.clone(),
            endpoint,
            number: None,
            started: false,
        }
    }

    /// Counts a prompt that was admitted at an engine by `owner`.
    pub(super) fn engine(
        state: &Arc<GatewayState>,
        endpoint: EndpointId,
        number: u32,
        owner: BoxKey,
        request: EngineAsk,
    ) -> Self {
        let run = PlacedRun {
            endpoint,
            owner,
            request,
            started: false,
        };
        state.with(|view| {
            view.endpoints.note_sent(endpoint, now_ms());
            view.reads.note(endpoint, owner, &run.request.parts);
            view.runs.insert(number, run);
        });
        Self {
            state: state.clone(),
            endpoint,
            number: Some(number),
            started: false,
        }
    }

    /// Notes what was seen of the endpoint.
    pub(super) fn note(&self, sign: EndpointOutcome) {
        let now = now_ms();
        self.state
            .with(|view| view.endpoints.note_sign(self.endpoint, sign, now));
    }

    /// Notes what a lost attempt says of the endpoint, if anything.
    pub(super) fn note_loss(&self, sign: Option<EndpointOutcome>) {
        if let Some(sign) = sign {
            self.note(sign);
        }
    }

    /// Notes the first event.
    pub(super) fn start(&mut self) {
        if std::mem::replace(&mut self.started, true) {
            return;
        }
        self.note(EndpointOutcome::Answered);
        let Some(number) = self.number else { return };
        let key = self.state.run_key(number);
        let me = self.state.own_key();
        let owner = self.state.with(|view| {
            let run = view.runs.get_mut(&number);
            let owner = run.map(|run| {
                run.started = true;
                run.owner
            });
            let decides = owner == Some(me);
            view.engines.start(self.endpoint, key, now_ms(), decides);
            owner
        });
        self.tell(
            owner,
            GatewayMessage::Started {
                run: number,
                endpoint: self.endpoint,
            },
        );
    }

    fn tell(&self, owner: Option<BoxKey>, message: GatewayMessage) {
        if let Some(owner) = owner.filter(|owner| *owner != self.state.own_key()) {
            send_to(&self.state, owner, message);
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let key = self.number.map(|number| self.state.run_key(number));
        let owner = self.state.with(|view| {
            view.endpoints.note_request_ended(self.endpoint);
            let key = key?;
            view.engines.end(self.endpoint, key);
            view.runs.remove(&key.number).map(|run| run.owner)
        });
        if let Some(run) = self.number {
            self.tell(
                owner,
                GatewayMessage::Ended {
                    run,
                    endpoint: self.endpoint,
                },
            );
        }
    }
}
