//! Where a request goes next: an endpoint of a plain service, or an engine for a prompt.

use super::super::engine_seek::{EngineWish, NoPlace, find_engine};
use super::super::refusal::RefusalReason;
use super::super::run_guard::RunGuard;
use super::super::upstream::{ConnectionLimits, EndpointTarget};
use super::super::waking::until_fresh;
use super::{AdmittedCall, CallRefusal, CallTries};
use crate::clock::now_ms;
use dockgate_core::gateway::{
    EndpointEntry, EngineAsk, PromptShape, RetryCause, ServiceAvailability, ShareLevel,
    ShareOutcome, name_hash, retry_delay,
};
use std::time::Duration;

/// What an endpoint of another failure domain counts more than one of the own, in parts of its
/// slots: a local one that is a third full is as good as an idle one elsewhere.
const FAR_HANDICAP: f64 = 0.35;
/// What an endpoint that fails often counts more, in parts of its slots.
const DOUBT_HANDICAP: f64 = 3.0;
/// When a request that found no endpoint is worth another try.
const COME_BACK: Duration = Duration::from_millis(300);

/// A prompt that says nothing of itself.
static EMPTY_PROMPT: PromptShape = PromptShape {
    model: String::new(),
    input: 0,
    output: 0,
    most_output: 0,
    parts: Vec::new(),
};

/// Where a request goes next.
pub(super) struct CallPlace {
    pub(super) target: EndpointTarget,
    pub(super) guard: RunGuard,
    pub(super) expected_ms: Option<u32>,
    pub(super) decided_by: String,
}

impl AdmittedCall {
    /// Finds the endpoint that the request goes to next.
    ///
    /// # Errors
    ///
    /// Returns what to tell the caller where there is none.
    pub(super) async fn find_place(
        &self,
        tries: &CallTries,
        resumed: bool,
    ) -> Result<CallPlace, CallRefusal> {
        until_fresh(&self.state, self.deadline()).await;
        match (self.service().engine, self.engine_ask()) {
            (Some(_), Some(ask)) => {
                let prompt = self.head.prompt.as_ref().unwrap_or(&EMPTY_PROMPT);
                let units = prompt.units();
                let wish = EngineWish {
                    service: self.service(),
                    prompt,
                    own_subject: name_hash(&self.head.id),
                    tried: &tries.endpoints,
                    resumed,
                    level: self.share_level(ask.workspace, units),
                };
                let ask = ask.level(wish.level);
                let found = find_engine(&self.state, wish, &ask).await;
                let found = found.map_err(|none| self.refuse_prompt(none, &ask, units))?;
                self.state.with(|view| {
                    let shares = &mut view.shares;
                    shares.record_admission(ask.workspace, units, ask.level, now_ms());
                    let outcome = ShareOutcome::Admitted;
                    view.tally.record_outcome(ask.workspace, outcome, units);
                });
                Ok(CallPlace {
                    target: found.target,
                    guard: found.guard,
                    expected_ms: Some(found.expected_ms),
                    decided_by: found.decided_by,
                })
            }
            _ => self.find_plain(tries),
        }
    }

    fn share_level(&self, workspace: u64, units: u64) -> ShareLevel {
        self.state
            .with(|view| view.shares.level(workspace, units, now_ms()))
    }

    fn refuse_prompt(&self, none: NoPlace, ask: &EngineAsk, units: u64) -> CallRefusal {
        let Some(first_ms) = none.first_event_ms() else {
            return self.refuse_unserved();
        };
        let EngineAsk {
            workspace, level, ..
        } = *ask;
        let cause = match none.asked.is_empty() {
            true => RetryCause::Share,
            false => RetryCause::Backlog(Duration::from_millis(u64::from(first_ms))),
        };
        let (reason, outcome) = match level.is_beyond() {
            true => (RefusalReason::BeyondShare, ShareOutcome::BeyondShare),
            false => (RefusalReason::WouldBeLate, ShareOutcome::WouldBeLate),
        };
        self.state
            .with(|view| view.tally.record_outcome(workspace, outcome, units));
        CallRefusal {
            reason,
            retry_after: Some(retry_delay(cause, self.left(), rand::random())),
            asked: none.asked,
            share: Some(level.share_ratio()),
        }
    }

    /// Refuses a request for which no endpoint takes work.
    fn refuse_unserved(&self) -> CallRefusal {
        let outlook = self.outlook();
        let reason = match outlook {
            ServiceAvailability::BackingOff(_) => RefusalReason::EndpointsRest,
            ServiceAvailability::Unknown | ServiceAvailability::Leaving => {
                RefusalReason::NoEndpoint
            }
        };
        CallRefusal::come_back(reason, self.return_time(outlook))
    }

    /// Tells when an endpoint of the service may take work, where none does now.
    pub(super) fn outlook(&self) -> ServiceAvailability {
        let service = &self.service().name;
        self.state
            .with(|view| view.endpoints.availability(service, now_ms()))
    }

    /// Returns when a request that found no endpoint should come back.
    pub(super) fn return_time(&self, outlook: ServiceAvailability) -> Duration {
        let cause = match outlook {
            ServiceAvailability::Unknown => return COME_BACK,
            ServiceAvailability::Leaving => RetryCause::Replacement,
            ServiceAvailability::BackingOff(first) => RetryCause::Backoff(first),
        };
        retry_delay(cause, self.left(), rand::random())
    }

    /// Picks the endpoint of a plain service with the smallest part of its slots taken.
    fn find_plain(&self, tries: &CallTries) -> Result<CallPlace, CallRefusal> {
        let now = now_ms();
        let own_domain = &self.state.settings().domain;
        let load = |entry: &EndpointEntry| {
            let held = f64::from(entry.in_flight) / f64::from(entry.record.slots.max(1));
            let far = if entry.record.domain == *own_domain {
                0.0
            } else {
                FAR_HANDICAP
            };
            let doubt = if entry.health.is_unreliable(now) {
                DOUBT_HANDICAP
            } else {
                0.0
            };
            held + far + doubt
        };
        let name = &self.service().name;
        let target = self.state.with(|view| {
            let fresh = |id| !tries.endpoints.contains(&id);
            let open = view
                .endpoints
                .eligible(name, now)
                .filter(|(id, _)| fresh(*id));
            let best = open.min_by(|(_, a), (_, b)| load(a).total_cmp(&load(b)));
            let notices = view.endpoints.notices();
            // Where all rest after failures, one of them is still better than none; not so where they ask for it.
            let resting = || {
                let ready = view
                    .endpoints
                    .ready_entries(name)
                    .filter(|(id, _)| fresh(*id) && notices.may_send(*id, now));
                ready.min_by(|(_, a), (_, b)| load(a).total_cmp(&load(b)))
            };
            let (id, entry) = best.or_else(resting)?;
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
        });
        let target = target.ok_or_else(|| self.refuse_unserved())?;
        let guard = RunGuard::plain(&self.state, target.id);
        Ok(CallPlace {
            target,
            guard,
            expected_ms: None,
            decided_by: "entry".to_owned(),
        })
    }
}
