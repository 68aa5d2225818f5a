//! Selects the endpoint of a plain service for a request.

use super::super::placement_goal::{EndpointSearch, PlacementGoal};
use super::super::plain_placement::{
    PlainDecline, PlainPlacement, PlainWait, request_plain_placement, wait_for_plain,
};
use super::super::refusal::RefusalReason;
use super::super::upstream::{ConnectionLimits, EndpointTarget};
use super::super::wait_window::WaitWindow;
use super::call_placement::CallPlacement;
use super::{AdmittedCall, CallRefusal};
use crate::clock::now_ms;
use dockgate_core::gateway::{
    EndpointEntry, EndpointId, RetryCause, name_hash, retry_delay, tie_break,
};
use std::cmp::Ordering;
use std::time::Duration;

/// Added to the load of an endpoint in another failure domain, as a fraction of its slots: a local
/// endpoint that is a third full is as good as an idle one elsewhere.
const REMOTE_DOMAIN_PENALTY: f64 = 0.35;
/// Added to the load of an endpoint that fails often, as a fraction of its slots.
const UNRELIABLE_PENALTY: f64 = 3.0;

/// Returns the load of an endpoint as a fraction of its slots, as a box in `own_domain` sees it, with
/// penalties for distance and failures.
fn visible_load(entry: &EndpointEntry, own_domain: &str, now_ms: u64) -> f64 {
    let used = f64::from(entry.in_flight) / f64::from(entry.record.slots.max(1));
    let remote_penalty = match entry.record.domain == own_domain {
        true => 0.0,
        false => REMOTE_DOMAIN_PENALTY,
    };
    let unreliable_penalty = match entry.health.is_unreliable(now_ms) {
        true => UNRELIABLE_PENALTY,
        false => 0.0,
    };
    used + remote_penalty + unreliable_penalty
}

fn call_placement(
    target: EndpointTarget,
    placement: PlainPlacement,
    goal: PlacementGoal,
) -> CallPlacement {
    let PlainPlacement { guard, decided_by } = placement;
    CallPlacement {
        target,
        guard,
        expected_ms: None,
        decided_by,
        goal,
    }
}

impl AdmittedCall {
    /// Selects an endpoint of a plain service that was not tried. Its owner may decline; others are tried then.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if no endpoint accepts the request.
    pub(super) async fn place_plain(
        &self,
        search: EndpointSearch<'_>,
    ) -> Result<CallPlacement, CallRefusal> {
        let mut passed_over = search.tried.to_vec();
        let mut declines = Vec::new();
        let mut first_free: Option<(EndpointTarget, u32)> = None;
        while let Some(target) = self.find_plain(&passed_over, search) {
            passed_over.push(target.id);
            match request_plain_placement(&self.state, target.id, self.time_left()).await {
                Ok(placement) => return Ok(call_placement(target, placement, search.goal)),
                Err(decline) => {
                    declines.push(decline);
                    let first_ms = first_free
                        .as_ref()
                        .map_or(u32::MAX, |(_, wait_ms)| *wait_ms);
                    match decline {
                        PlainDecline::Full(wait_ms) if wait_ms < first_ms => {
                            first_free = Some((target, wait_ms));
                        }
                        _ => {}
                    }
                }
            }
        }
        let (Some(window), Some((target, wait_ms))) = (self.wait_window(search), first_free) else {
            return Err(self.refuse_plain(&declines));
        };
        match self.wait_for_slot(&target, window, wait_ms).await {
            Ok(placement) => Ok(call_placement(target, placement, search.goal)),
            Err(PlainDecline::Full(wait_ms)) => {
                Err(self.refuse_plain(&[PlainDecline::Full(wait_ms)]))
            }
            Err(_) => Err(self.refuse_plain(&declines)),
        }
    }

    /// Lets the request wait at the endpoint that is predicted to have a free slot first.
    async fn wait_for_slot(
        &self,
        target: &EndpointTarget,
        window: WaitWindow,
        wait_ms: u32,
    ) -> Result<PlainPlacement, PlainDecline> {
        let workspace = name_hash(self.workspace_name());
        let wait = PlainWait {
            workspace,
            level: self.share_level(workspace, 0),
            window,
            time_left: self.time_left(),
        };
        wait_for_plain(&self.state, target.id, wait, wait_ms).await
    }

    /// Creates the refusal for a request that all endpoints of a plain service declined.
    fn refuse_plain(&self, declines: &[PlainDecline]) -> CallRefusal {
        let next_grant = declines.iter().filter_map(|decline| match decline {
            PlainDecline::Warming(wait_ms) => Some(Duration::from_millis(u64::from(*wait_ms))),
            PlainDecline::Full(_) | PlainDecline::Leaving | PlainDecline::Unanswered => None,
        });
        let next_slot = declines.iter().filter_map(|decline| match decline {
            PlainDecline::Full(wait_ms) => Some(Duration::from_millis(u64::from(*wait_ms))),
            PlainDecline::Warming(_) | PlainDecline::Leaving | PlainDecline::Unanswered => None,
        });
        let next_slot = next_slot.min();
        let (reason, wait) = match next_slot.or(next_grant.min()) {
            Some(wait) if next_slot.is_some() => (RefusalReason::EndpointsFull, wait),
            Some(wait) => (RefusalReason::WarmingUp, wait),
            None => return self.refuse_unavailable(),
        };
        let cause = RetryCause::Backlog(wait);
        let delay = retry_delay(cause, self.time_left(), rand::random());
        CallRefusal::with_retry(reason, delay)
    }

    /// Finds the endpoint of a plain service with the least visible load, other than those passed
    /// over. Ties are broken by a draw for each request.
    fn find_plain(
        &self,
        passed_over: &[EndpointId],
        search: EndpointSearch<'_>,
    ) -> Option<EndpointTarget> {
        let now = now_ms();
        let settings = self.state.settings();
        let service = self.service();
        let request = name_hash(&self.head.id);
        let load = |entry: &EndpointEntry| visible_load(entry, &settings.domain, now);
        let by_load = |a: &(EndpointId, &EndpointEntry), b: &(EndpointId, &EndpointEntry)| {
            let ties = || tie_break(request, a.0).cmp(&tie_break(request, b.0));
            let order: Ordering = load(a.1).total_cmp(&load(b.1));
            order.then_with(ties)
        };
        self.state.with(|view| {
            let is_allowed = view.version_rule(search.goal, &service.name);
            let is_untried = |id: EndpointId, entry: &EndpointEntry| {
                !passed_over.contains(&id)
                    && is_allowed(entry.service_version().version)
                    && search.accepts(&entry.health)
            };
            let eligible = view.endpoints.eligible(&service.name, now);
            let eligible = eligible.filter(|(id, entry)| is_untried(*id, entry));
            let notices = view.endpoints.notices();
            // If all endpoints back off after failures, one of them is still tried, unless it
            // requested the backoff itself.
            let backing_off = || {
                let ready = view.endpoints.ready_entries(&service.name);
                let ready = ready
                    .filter(|(id, entry)| is_untried(*id, entry) && notices.may_send(*id, now));
                ready.min_by(by_load)
            };
            let (id, entry) = eligible.min_by(by_load).or_else(backing_off)?;
            let boxes = view.fleet.live_count(now);
            let slots = entry.record.slots;
            Some(EndpointTarget {
                id,
                name: entry.record.id.clone(),
                address: entry.record.address,
                version: entry.service_version().version,
                limits: ConnectionLimits::new(service.connections, slots, boxes),
            })
        })
    }
}
