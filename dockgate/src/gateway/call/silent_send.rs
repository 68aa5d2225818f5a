//! Waits for an endpoint that is silent for longer than expected, until another one takes over.
//!
//! A sound endpoint may fall silent for a second or so. A send is therefore given up only once its
//! retry is allowed and placed.

use super::super::gateway_metrics::GATEWAY_METRICS;
use super::super::placement_goal::{EndpointSearch, PlacementGoal};
use super::call_placement::CallPlacement;
use super::reserved_retry::ReservedRetry;
use super::{AdmittedCall, CallAttempts};
use crate::clock::{ClockInstant, timeout_at};
use std::future::Future;
use std::time::Duration;

/// The time that a retry must have until the deadline, in multiples of the objective. With less, the
/// endpoint that is at work on the request is as likely to answer.
const MIN_RETRY_TIME_FACTOR: f64 = 0.5;
/// The shortest interval between searches for another endpoint, for routes with a short objective.
const MIN_SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// An endpoint that takes over a request, with the retry that is charged for it.
pub(in super::super) struct Replacement {
    placement: CallPlacement,
    retry: ReservedRetry,
}

impl Replacement {
    /// Returns the placement of the next attempt, for which the retry is reserved.
    pub(in super::super) fn begin(self, attempts: &mut CallAttempts) -> CallPlacement {
        attempts.retry = Some(self.retry);
        self.placement
    }
}

/// How the wait for a silent endpoint ended.
pub(in super::super) enum SilenceEnd<T> {
    /// The endpoint went on.
    Answered(T),
    /// Another endpoint takes over.
    Replaced(Box<Replacement>),
    /// The deadline of the request has passed.
    TimedOut,
}

impl AdmittedCall {
    /// Waits for `answer` of an endpoint that has been silent, until another endpoint is found or the
    /// deadline has passed. `sent` is the number of endpoints that the request was sent to.
    pub(in super::super) async fn outlast_silence<T>(
        &self,
        answer: impl Future<Output = T>,
        attempts: &CallAttempts,
        sent: u32,
        goal: PlacementGoal,
    ) -> SilenceEnd<T> {
        GATEWAY_METRICS.record_silent_send("noticed");
        let mut answer = std::pin::pin!(answer);
        let interval = self.search_interval();
        let wait = async {
            loop {
                let next_search = ClockInstant::now() + interval;
                tokio::select! {
                    biased;
                    answer = &mut answer => return SilenceEnd::Answered(answer),
                    found = self.find_replacement(attempts, sent, goal) => {
                        if let Some(replacement) = found {
                            return SilenceEnd::Replaced(replacement);
                        }
                    }
                }
                if let Ok(answer) = timeout_at(next_search, &mut answer).await {
                    return SilenceEnd::Answered(answer);
                }
            }
        };
        let end = timeout_at(self.deadline(), wait).await;
        let end = end.unwrap_or(SilenceEnd::TimedOut);
        GATEWAY_METRICS.record_silent_send(match end {
            SilenceEnd::Answered(_) => "answered",
            SilenceEnd::Replaced(_) => "replaced",
            SilenceEnd::TimedOut => "timed_out",
        });
        end
    }

    /// Returns the interval between searches for another endpoint.
    pub(super) fn search_interval(&self) -> Duration {
        self.route().objective.max(MIN_SEARCH_INTERVAL)
    }

    /// Reserves a retry and finds another endpoint for it; the retry is given back if there is none.
    async fn find_replacement(
        &self,
        attempts: &CallAttempts,
        sent: u32,
        goal: PlacementGoal,
    ) -> Option<Box<Replacement>> {
        let route = self.route();
        let min_time = route.objective.mul_f64(MIN_RETRY_TIME_FACTOR);
        if !route.may_repeat() || sent >= route.attempts || self.time_left() < min_time {
            return None;
        }
        let retry = ReservedRetry::take(&self.state, &self.service().name)?;
        if self.is_quarantined() {
            return None;
        }
        let search = EndpointSearch {
            tried: &attempts.endpoints,
            goal,
            is_replacement: true,
        };
        let placement = self.find_replacement_placement(search).await?;
        Some(Box::new(Replacement { placement, retry }))
    }
}
