//! Counts a request at an endpoint from its placement to its end.

use super::datagrams::send_to;
use super::gateway_state::{GatewayState, PlacedRun};
use super::wait_queues::{end_run, process_queue};
use crate::clock::now_ms;
use dockgate_core::BoxKey;
use dockgate_core::gateway::{AdmissionRequest, EndpointId, EndpointOutcome, ShareOutcome};
use dockgate_proto::GatewayMessage;
use std::sync::Arc;

/// Counts a request at an endpoint until it is dropped.
pub(super) struct RunGuard {
    state: Arc<GatewayState>,
    endpoint: EndpointId,
    /// The number of the run.
    number: u32,
    started: bool,
}

impl RunGuard {
    /// Counts a request that `owner` admitted at an endpoint, and counts there as well.
    pub(super) fn new(
        state: &Arc<GatewayState>,
        endpoint: EndpointId,
        number: u32,
        owner: BoxKey,
        request: AdmissionRequest,
    ) -> Self {
        state.with(|view| {
            view.endpoints.note_sent(endpoint, now_ms());
            // Requests of plain services have no parts.
            view.prefix_history.record(endpoint, owner, &request.parts);
            let run = PlacedRun {
                endpoint,
                owner,
                request,
                started: false,
                admitted_units: None,
            };
            view.runs.insert(number, run);
        });
        Self {
            state: state.clone(),
            endpoint,
            number,
            started: false,
        }
    }

    /// Counts the prompt as service admitted for its workspace, in service units.
    pub(super) fn record_admission(&self, units: u64) {
        self.state.with(|view| {
            let Some(run) = view.runs.get_mut(&self.number) else {
                return;
            };
            run.admitted_units = Some(units);
            let AdmissionRequest {
                workspace, level, ..
            } = run.request;
            let shares = &mut view.shares;
            shares.record_admission(workspace, units, level, now_ms());
        });
    }

    /// Takes back the admitted service of a prompt that has not begun, as its attempt has failed.
    fn retract_admission(&self) {
        self.state.with(|view| {
            let run = view.runs.get_mut(&self.number).filter(|run| !run.started);
            let Some(run) = run else {
                return;
            };
            let AdmissionRequest {
                workspace, level, ..
            } = run.request;
            if let Some(units) = run.admitted_units.take() {
                let shares = &mut view.shares;
                shares.retract_admission(workspace, units, level, now_ms());
            }
        });
    }

    /// Records an outcome for the health of the endpoint.
    pub(super) fn record(&self, outcome: EndpointOutcome) {
        let now = now_ms();
        self.state
            .with(|view| view.endpoints.note_outcome(self.endpoint, outcome, now));
    }

    /// Records that an attempt has failed, with its outcome if it counts for the endpoint.
    pub(super) fn record_failure(&self, outcome: Option<EndpointOutcome>) {
        self.retract_admission();
        if let Some(outcome) = outcome {
            self.record(outcome);
        }
    }

    /// Records the first event, and reports it to the owner of an engine.
    pub(super) fn record_first_event(&mut self) {
        if std::mem::replace(&mut self.started, true) {
            return;
        }
        self.record(EndpointOutcome::Answered);
        let number = self.number;
        let key = self.state.run_key(number);
        let own_key = self.state.own_key();
        let owner = self.state.with(|view| {
            let run = view.runs.get_mut(&number);
            let owner = run.map(|run| {
                run.started = true;
                let units = run.admitted_units.unwrap_or(0);
                let tally = &mut view.tally;
                tally.record_outcome(run.request.workspace, ShareOutcome::Begun, units);
                run.owner
            });
            let is_owner = owner == Some(own_key);
            view.engines.start(self.endpoint, key, now_ms(), is_owner);
            owner
        });
        process_queue(&self.state, self.endpoint);
        self.notify_owner(
            owner,
            GatewayMessage::Started {
                run: number,
                endpoint: self.endpoint,
            },
        );
    }

    fn notify_owner(&self, owner: Option<BoxKey>, message: GatewayMessage) {
        if let Some(owner) = owner.filter(|owner| *owner != self.state.own_key()) {
            send_to(&self.state, owner, message);
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let key = self.state.run_key(self.number);
        let owner = self.state.with(|view| {
            view.endpoints.note_request_ended(self.endpoint);
            view.runs.remove(&key.number).map(|run| run.owner)
        });
        end_run(&self.state, self.endpoint, key);
        self.notify_owner(
            owner,
            GatewayMessage::Ended {
                run: self.number,
                endpoint: self.endpoint,
            },
        );
    }
}

#[cfg(test)]
mod tests;
