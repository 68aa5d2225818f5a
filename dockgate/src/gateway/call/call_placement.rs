//! Selects the next target of a request: an endpoint of a plain service, or an engine for a prompt.

use super::super::engine_placement::{EngineQuery, EngineRefusal, find_engine};
use super::super::placement_goal::{EndpointSearch, PlacementGoal};
use super::super::refusal::RefusalReason;
use super::super::run_guard::RunGuard;
use super::super::suspension::wait_until_fresh;
use super::super::upstream::EndpointTarget;
use super::{AdmittedCall, CallRefusal};
use crate::clock::now_ms;
use dockgate_core::gateway::{
    AdmissionRequest, EndpointId, PromptShape, RetryCause, ServiceAvailability, ShareLevel,
    ShareOutcome, name_hash, retry_delay,
};
use std::time::Duration;

/// Retry delay if no endpoint of the service is known.
const RETRY_UNKNOWN_SERVICE: Duration = Duration::from_millis(300);

/// The shortest pause between events that the caller of a stream is assumed to bear. Callers are
/// known to wait at least twice as long.
const MIN_PATIENCE: Duration = Duration::from_millis(1_000);

/// A prompt of unknown shape.
static EMPTY_PROMPT: PromptShape = PromptShape {
    model: String::new(),
    input: 0,
    output: 0,
    max_output: 0,
    parts: Vec::new(),
};

/// The target of the next attempt of a request.
pub(in super::super) struct CallPlacement {
    pub(super) target: EndpointTarget,
    pub(super) guard: RunGuard,
    pub(super) expected_ms: Option<u32>,
    pub(super) decided_by: String,
    /// What the endpoint was sought for.
    pub(super) goal: PlacementGoal,
}

/// A prompt that no engine can serve in time.
struct DeclinedPrompt {
    refusal: EngineRefusal,
    request: AdmissionRequest,
    units: u64,
}

impl AdmittedCall {
    /// Selects the endpoint for the next attempt, other than those that were tried.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if no endpoint accepts the request.
    pub(in super::super) async fn find_placement(
        &self,
        tried: &[EndpointId],
        goal: PlacementGoal,
    ) -> Result<CallPlacement, CallRefusal> {
        wait_until_fresh(&self.state, self.deadline()).await;
        let search = EndpointSearch {
            tried,
            goal,
            is_replacement: false,
        };
        match (self.service().engine, self.admission_request()) {
            (Some(_), Some(request)) => {
                let placed = self.place_prompt(request, search).await;
                placed.map_err(|declined| self.refuse_prompt(declined))
            }
            _ => self.place_plain(search).await,
        }
    }

    /// Selects an endpoint that takes over from a silent one, if there is any. No refusal is
    /// counted, since the request is still at work.
    pub(super) async fn find_replacement_placement(
        &self,
        search: EndpointSearch<'_>,
    ) -> Option<CallPlacement> {
        wait_until_fresh(&self.state, self.deadline()).await;
        match (self.service().engine, self.admission_request()) {
            (Some(_), Some(request)) => self.place_prompt(request, search).await.ok(),
            _ => self.place_plain(search).await.ok(),
        }
    }

    async fn place_prompt(
        &self,
        request: AdmissionRequest,
        search: EndpointSearch<'_>,
    ) -> Result<CallPlacement, DeclinedPrompt> {
        let prompt = self.head.prompt.as_ref().unwrap_or(&EMPTY_PROMPT);
        let units = prompt.units();
        let query = EngineQuery {
            service: self.service(),
            prompt,
            own_subject: name_hash(&self.head.id),
            search,
            level: self.share_level(request.workspace, units),
            patience_ms: self.patience().as_millis() as u32,
            wait: self.wait_window(search),
        };
        let request = request.level(query.level);
        let found = match find_engine(&self.state, query, &request).await {
            Ok(found) => found,
            Err(refusal) => {
                return Err(DeclinedPrompt {
                    refusal,
                    request,
                    units,
                });
            }
        };
        found.guard.record_admission(units);
        Ok(CallPlacement {
            target: found.target,
            guard: found.guard,
            expected_ms: Some(found.expected_ms),
            decided_by: found.decided_by,
            goal: search.goal,
        })
    }

    /// Returns how long the caller of a stream is assumed to wait for the next event.
    fn patience(&self) -> Duration {
        let route = self.route();
        let patience = MIN_PATIENCE.max(route.objective).max(route.pause * 2);
        patience.min(self.time_left())
    }

    pub(super) fn share_level(&self, workspace: u64, units: u64) -> ShareLevel {
        self.state
            .with(|view| view.shares.level(workspace, units, now_ms()))
    }

    fn refuse_prompt(&self, declined: DeclinedPrompt) -> CallRefusal {
        let DeclinedPrompt {
            refusal,
            request,
            units,
        } = declined;
        let Some(first_ms) = refusal.first_event_ms() else {
            return self.refuse_unavailable();
        };
        let AdmissionRequest {
            workspace, level, ..
        } = request;
        let cause = match refusal.declined.is_empty() {
            true => RetryCause::Share,
            false => RetryCause::Backlog(Duration::from_millis(u64::from(first_ms))),
        };
        let (reason, outcome) = match level.is_beyond() {
            _ if refusal.is_warming() => (RefusalReason::WarmingUp, ShareOutcome::WouldBeLate),
            true => (RefusalReason::BeyondShare, ShareOutcome::BeyondShare),
            false => (RefusalReason::WouldBeLate, ShareOutcome::WouldBeLate),
        };
        self.state
            .with(|view| view.tally.record_outcome(workspace, outcome, units));
        CallRefusal {
            reason,
            retry_after: Some(retry_delay(cause, self.time_left(), rand::random())),
            declined: refusal.declined,
            share: Some(level.share_ratio()),
            quarantined: None,
        }
    }

    /// Creates the refusal for a request if no endpoint of the service accepts work.
    pub(super) fn refuse_unavailable(&self) -> CallRefusal {
        let availability = self.availability();
        let reason = match availability {
            ServiceAvailability::BackingOff(_) => RefusalReason::EndpointsBackingOff,
            ServiceAvailability::Unknown | ServiceAvailability::Leaving => {
                RefusalReason::NoEndpoint
            }
        };
        CallRefusal::with_retry(reason, self.retry_time(availability))
    }

    /// Returns the availability of the service, i.e. when an endpoint may accept work again.
    pub(super) fn availability(&self) -> ServiceAvailability {
        let service = &self.service().name;
        self.state
            .with(|view| view.endpoints.availability(service, now_ms()))
    }

    /// Returns the retry delay of a request for which no endpoint was found.
    pub(super) fn retry_time(&self, availability: ServiceAvailability) -> Duration {
        let cause = match availability {
            ServiceAvailability::Unknown => return RETRY_UNKNOWN_SERVICE,
            ServiceAvailability::Leaving => RetryCause::Replacement,
            ServiceAvailability::BackingOff(first) => RetryCause::Backoff(first),
        };
        retry_delay(cause, self.time_left(), rand::random())
    }
}
