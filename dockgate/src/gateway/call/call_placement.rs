//! Selects the next target of a request: an endpoint of a plain service, or an engine for a prompt.

use super::super::engine_placement::{EngineQuery, EngineRefusal, find_engine};
use super::super::plain_placement::{PlainDecline, PlainPlacement, place_plain};
use super::super::refusal::RefusalReason;
use super::super::run_guard::RunGuard;
use super::super::suspension::wait_until_fresh;
use super::super::upstream::{ConnectionLimits, EndpointTarget};
use super::{AdmittedCall, CallAttempts, CallRefusal};
use crate::clock::now_ms;
use dockgate_core::gateway::{
    AdmissionRequest, EndpointEntry, EndpointId, PromptShape, RetryCause, ServiceAvailability,
    ShareLevel, ShareOutcome, name_hash, retry_delay, tie_break,
};
use std::time::Duration;

/// Added to the load of an endpoint in another failure domain, as a fraction of its slots: a local
/// endpoint that is a third full is as good as an idle one elsewhere.
const REMOTE_DOMAIN_PENALTY: f64 = 0.35;
/// Added to the load of an endpoint that fails often, as a fraction of its slots.
const UNRELIABLE_PENALTY: f64 = 3.0;
/// Retry delay if no endpoint of the service is known.
const RETRY_UNKNOWN_SERVICE: Duration = Duration::from_millis(300);

/// A prompt of unknown shape.
static EMPTY_PROMPT: PromptShape = PromptShape {
    model: String::new(),
    input: 0,
    output: 0,
    max_output: 0,
    parts: Vec::new(),
};

/// The target of the next attempt of a request.
pub(super) struct CallPlacement {
    pub(super) target: EndpointTarget,
    pub(super) guard: RunGuard,
    pub(super) expected_ms: Option<u32>,
    pub(super) decided_by: String,
}

impl AdmittedCall {
    /// Selects the endpoint for the next attempt.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if no endpoint accepts the request.
    pub(super) async fn find_placement(
        &self,
        attempts: &CallAttempts,
        resumed: bool,
    ) -> Result<CallPlacement, CallRefusal> {
        wait_until_fresh(&self.state, self.deadline()).await;
        match (self.service().engine, self.admission_request()) {
            (Some(_), Some(request)) => {
                let prompt = self.head.prompt.as_ref().unwrap_or(&EMPTY_PROMPT);
                let units = prompt.units();
                let query = EngineQuery {
                    service: self.service(),
                    prompt,
                    own_subject: name_hash(&self.head.id),
                    tried: &attempts.endpoints,
                    resumed,
                    level: self.share_level(request.workspace, units),
                };
                let request = request.level(query.level);
                let found = find_engine(&self.state, query, &request).await;
                let found =
                    found.map_err(|refusal| self.refuse_prompt(refusal, &request, units))?;
                self.state.with(|view| {
                    let shares = &mut view.shares;
                    shares.record_admission(request.workspace, units, request.level, now_ms());
                    let outcome = ShareOutcome::Admitted;
                    view.tally.record_outcome(request.workspace, outcome, units);
                });
                Ok(CallPlacement {
                    target: found.target,
                    guard: found.guard,
                    expected_ms: Some(found.expected_ms),
                    decided_by: found.decided_by,
                })
            }
            _ => self.place_plain(attempts).await,
        }
    }

    fn share_level(&self, workspace: u64, units: u64) -> ShareLevel {
        self.state
            .with(|view| view.shares.level(workspace, units, now_ms()))
    }

    fn refuse_prompt(
        &self,
        refusal: EngineRefusal,
        request: &AdmissionRequest,
        units: u64,
    ) -> CallRefusal {
        let Some(first_ms) = refusal.first_event_ms() else {
            return self.refuse_unavailable();
        };
        let AdmissionRequest {
            workspace, level, ..
        } = *request;
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
        }
    }

    /// Creates the refusal for a request if no endpoint of the service accepts work.
    fn refuse_unavailable(&self) -> CallRefusal {
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

    /// Selects an endpoint of a plain service. Its owner may decline; others are tried then.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if no endpoint accepts the request.
    async fn place_plain(&self, attempts: &CallAttempts) -> Result<CallPlacement, CallRefusal> {
        let mut passed_over = attempts.endpoints.clone();
        let mut declines = Vec::new();
        while let Some(target) = self.find_plain(&passed_over) {
            match place_plain(&self.state, target.id, self.time_left()).await {
                Ok(PlainPlacement { guard, decided_by }) => {
                    return Ok(CallPlacement {
                        target,
                        guard,
                        expected_ms: None,
                        decided_by,
                    });
                }
                Err(decline) => declines.push(decline),
            }
            passed_over.push(target.id);
        }
        Err(self.refuse_plain(&declines))
    }

    /// Creates the refusal for a request that all endpoints of a plain service declined.
    fn refuse_plain(&self, declines: &[PlainDecline]) -> CallRefusal {
        let next_grant = declines.iter().filter_map(|decline| match decline {
            PlainDecline::Warming(wait_ms) => Some(Duration::from_millis(u64::from(*wait_ms))),
            PlainDecline::Full | PlainDecline::Unknown => None,
        });
        let (reason, wait) = match next_grant.min() {
            _ if declines.contains(&PlainDecline::Full) => {
                (RefusalReason::EndpointsFull, Duration::ZERO)
            }
            Some(wait) => (RefusalReason::WarmingUp, wait),
            None => return self.refuse_unavailable(),
        };
        let cause = RetryCause::Backlog(wait);
        let delay = retry_delay(cause, self.time_left(), rand::random());
        CallRefusal::with_retry(reason, delay)
    }

    /// Finds the endpoint of a plain service that has the smallest fraction of its slots in use,
    /// other than those passed over. Ties are broken by a draw for each request.
    fn find_plain(&self, passed_over: &[EndpointId]) -> Option<EndpointTarget> {
        let now = now_ms();
        let own_domain = &self.state.settings().domain;
        let load = |entry: &EndpointEntry| {
            let used = f64::from(entry.in_flight) / f64::from(entry.record.slots.max(1));
            let remote_penalty = if entry.record.domain == *own_domain {
                0.0
            } else {
                REMOTE_DOMAIN_PENALTY
            };
            let unreliable_penalty = if entry.health.is_unreliable(now) {
                UNRELIABLE_PENALTY
            } else {
                0.0
            };
            used + remote_penalty + unreliable_penalty
        };
        let request = name_hash(&self.head.id);
        let by_load = |a: &(EndpointId, &EndpointEntry), b: &(EndpointId, &EndpointEntry)| {
            let ties = tie_break(request, a.0).cmp(&tie_break(request, b.0));
            load(a.1).total_cmp(&load(b.1)).then(ties)
        };
        let name = &self.service().name;
        self.state.with(|view| {
            let untried = |id| !passed_over.contains(&id);
            let eligible = view
                .endpoints
                .eligible(name, now)
                .filter(|(id, _)| untried(*id));
            let best = eligible.min_by(by_load);
            let notices = view.endpoints.notices();
            // If all endpoints back off after failures, one of them is still tried, unless it
            // requested the backoff itself.
            let backing_off = || {
                let ready = view
                    .endpoints
                    .ready_entries(name)
                    .filter(|(id, _)| untried(*id) && notices.may_send(*id, now));
                ready.min_by(by_load)
            };
            let (id, entry) = best.or_else(backing_off)?;
            let boxes = view.fleet.live_count(now);
            Some(EndpointTarget {
                id,
                name: entry.record.id.clone(),
                address: entry.record.address,
                limits: ConnectionLimits::new(
                    self.service().connections,
                    entry.record.slots,
                    boxes,
                ),
            })
        })
    }
}
