//! The requests that wait at the owner of an endpoint until the endpoint has capacity.
//!
//! Handles short bursts that exceed the capacity of the endpoints for a fraction of an objective:
//! prompts of different objectives at engines, and requests of several workspaces at plain endpoints
//! with few slots. A refused caller retries once after a delay, while capacity may become available
//! much earlier. A request therefore waits if its predicted wait is within the time that it can
//! spend, and is refused at once otherwise. The queue is bounded in length, and each request in
//! time ([`WaitBudget`]), so that a refusal in the end costs its caller little.
//!
//! ```
//! use dockgate_core::BoxKey;
//! use dockgate_core::gateway::{
//!     AdmissionRequest, LatencyLimits, PromptShape, RunKey, WaitOffer, WaitQueue, WaitTerms,
//!     WaitingRequest,
//! };
//!
//! let limits = LatencyLimits { objective_ms: 800, shortest_objective_ms: 800, budget_ms: 4_000 };
//! let request = AdmissionRequest::new(1, &PromptShape::default(), limits);
//! let waiting = |number, priority| {
//!     let key = RunKey { entry: BoxKey(1), number };
//!     let terms = WaitTerms { priority, wait_ms: 140 };
//!     WaitingRequest::new(key, request.clone(), terms, 50.0, 1_000)
//! };
//! let mut queue = WaitQueue::default();
//! assert_eq!(queue.offer(waiting(1, 1), 6, 20.0), WaitOffer::Queued);
//! assert_eq!(queue.offer(waiting(2, 0), 6, 20.0), WaitOffer::Queued);
//! assert_eq!(queue.offer(waiting(3, 0), 6, 200.0), WaitOffer::Declined, "it would be late");
//! assert_eq!(queue.first().unwrap().key.number, 2);
//! ```

use super::engine_registry::{AdmissionRequest, RunKey};
use crate::ids::BoxKey;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};

/// The part of its objective within which a request is refused if it is refused at all. Later
/// refusals cost the caller the retry.
const REFUSAL_FRACTION: f64 = 0.25;

/// How a request may wait at the owner of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitTerms {
    /// Its priority; 0 is served first.
    pub priority: u8,
    /// The longest time that it may wait, in milliseconds.
    pub wait_ms: u32,
}

/// The times that bound how long a request may wait, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitBudget {
    /// The objective of its route.
    pub objective_ms: f64,
    /// Its age.
    pub age_ms: f64,
    /// Its own predicted time to the first event, without waiting.
    pub own_first_ms: f64,
    /// How much later than the scheduled end of the wait its caller may be refused.
    pub refusal_delay_ms: f64,
}

impl WaitBudget {
    /// Returns the longest useful wait in milliseconds; 0 if the request must not wait.
    pub fn usable_wait_ms(&self) -> u32 {
        let until_late = self.objective_ms - self.age_ms - self.own_first_ms;
        let until_refusal =
            self.objective_ms * REFUSAL_FRACTION - self.age_ms - self.refusal_delay_ms;
        until_late.min(until_refusal).max(0.0) as u32
    }
}

/// The place of a request in the order of a queue; lower ranks are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitRank {
    /// The priority; 0 is served first.
    pub priority: u8,
    /// Whether the workspace is beyond its share.
    pub is_beyond_share: bool,
    /// The latest time at which the endpoint can start the request and still meet its objective.
    pub latest_start_ms: u64,
}

/// A request that waits for capacity at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingRequest {
    /// The run that it becomes once it is granted.
    pub key: RunKey,
    /// The request as it was when the wait began.
    pub request: AdmissionRequest,
    /// Its place in the order.
    pub rank: WaitRank,
    /// The time at which its wait began.
    pub arrived_ms: u64,
    /// The time at which its wait ends, at the latest when it can no longer be in time.
    pub until_ms: u64,
}

impl WaitingRequest {
    /// Creates a request whose wait begins now; `own_first_ms` is its predicted time to the first
    /// event without waiting. A wait that exceeds what the objective allows is shortened, as the
    /// owner may predict a longer time to the first event than the entry did.
    pub fn new(
        key: RunKey,
        request: AdmissionRequest,
        terms: WaitTerms,
        own_first_ms: f64,
        now_ms: u64,
    ) -> Self {
        let objective_ms = f64::from(request.objective_ms);
        let start_within = (objective_ms - own_first_ms).max(0.0);
        let until_refusal = objective_ms * REFUSAL_FRACTION;
        let wait_ms = f64::from(terms.wait_ms)
            .min(until_refusal)
            .min(start_within);
        Self {
            rank: WaitRank {
                priority: terms.priority,
                is_beyond_share: request.level.is_beyond(),
                latest_start_ms: now_ms + start_within as u64,
            },
            key,
            request,
            arrived_ms: now_ms,
            until_ms: now_ms + wait_ms as u64,
        }
    }
}

/// How a wait ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitOutcome {
    /// The endpoint had capacity in time.
    Granted,
    /// The request could no longer be in time.
    Late,
    /// The caller disconnected, or its box stopped waiting.
    Left,
    /// The queue was full, and the workspace had more requests in it than others.
    Displaced,
    /// It was not queued, or the endpoint left.
    Declined,
}

impl WaitOutcome {
    /// Returns the name of the outcome, used in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::Late => "late",
            Self::Left => "left",
            Self::Displaced => "displaced",
            Self::Declined => "declined",
        }
    }
}

/// What becomes of a request that is offered to a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WaitOffer {
    /// It waits.
    Queued,
    /// It waits in place of another request, which is to be declined.
    Displaces(Box<WaitingRequest>),
    /// It does not wait: it would be late, or the queue is full.
    Declined,
    /// It waits already, or it was closed before it arrived.
    Ignored,
}

/// The requests that wait for one endpoint, in the order in which they are served.
#[derive(Debug, Clone, Default)]
pub struct WaitQueue {
    waiting: Vec<WaitingRequest>,
    /// The requests that were decided on, withdrawn or ended recently: a copy that arrives later does
    /// not wait, as nobody would end its run.
    closed: VecDeque<(RunKey, u64)>,
    /// The time of the last end of a run while the endpoint was full.
    last_release_ms: Option<u64>,
    /// The average time between two ends of runs while the endpoint is full.
    release_interval_ms: Option<f64>,
}

impl WaitQueue {
    /// How long a closed request is remembered, in milliseconds. Datagrams between boxes overtake
    /// each other by less.
    const CLOSED_MS: u64 = 1_000;
    /// The maximum number of remembered requests, which bounds the memory of a queue: an endpoint
    /// ends at most some hundred runs a second.
    const MAX_CLOSED: usize = 512;
    /// The weight of a new interval between two ends of runs: the average follows a change within
    /// about ten of them, which is within one burst at an endpoint with six slots.
    const INTERVAL_WEIGHT: f64 = 0.2;

    /// Returns the number of waiting requests.
    pub const fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub const fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Iterates over the waiting requests in order.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.waiting.iter()
    }

    /// Returns whether a request is new: it does not wait yet, and was not closed before it
    /// arrived.
    pub fn accepts(&self, key: RunKey) -> bool {
        let is_waiting = self.waiting.iter().any(|other| other.key == key);
        !is_waiting && !self.closed.iter().any(|(ended, _)| *ended == key)
    }

    /// Returns the request that is served next.
    pub fn first(&self) -> Option<&WaitingRequest> {
        self.waiting.first()
    }

    /// Iterates over the requests that are served before a new one of this rank.
    pub fn ahead_of(&self, rank: WaitRank) -> impl Iterator<Item = &WaitingRequest> {
        self.waiting
            .iter()
            .take_while(move |other| other.rank <= rank)
    }

    /// Returns whether a new request of this rank is served before all that wait.
    pub fn precedes_all(&self, rank: WaitRank) -> bool {
        self.ahead_of(rank).next().is_none()
    }

    /// Predicts when a slot becomes free for the request behind `ahead` others, in milliseconds.
    ///
    /// Returns 0 if no run has ended yet while the endpoint was full: the wait is bounded anyway.
    pub fn slot_wait_ms(&self, ahead: usize) -> f64 {
        self.release_interval_ms.unwrap_or(0.0) * (ahead + 1) as f64
    }

    /// Records that a run at the endpoint ended; `was_full` tells whether it had no free slot before.
    pub fn record_end(&mut self, was_full: bool, now_ms: u64) {
        let last_ms = std::mem::replace(&mut self.last_release_ms, was_full.then_some(now_ms));
        let Some(last_ms) = last_ms.filter(|_| was_full) else {
            return;
        };
        let interval = now_ms.saturating_sub(last_ms) as f64;
        let average = self.release_interval_ms.unwrap_or(interval);
        self.release_interval_ms = Some(average + (interval - average) * Self::INTERVAL_WEIGHT);
    }

    /// Records that no run is left at the endpoint. Unless requests wait, the time until the next end
    /// does not show how fast slots become free.
    pub const fn record_idle(&mut self) {
        if self.is_empty() {
            self.last_release_ms = None;
        }
    }

    /// Offers a request to the queue, which holds at most `capacity` requests.
    ///
    /// The request is declined if `predicted_wait_ms` exceeds its wait. If the queue is full, the
    /// workspace with the most requests, the new one included, loses its last one.
    pub fn offer(
        &mut self,
        new: WaitingRequest,
        capacity: usize,
        predicted_wait_ms: f64,
    ) -> WaitOffer {
        if !self.accepts(new.key) {
            return WaitOffer::Ignored;
        }
        let wait_ms = new.until_ms.saturating_sub(new.arrived_ms);
        if wait_ms == 0 || predicted_wait_ms > wait_ms as f64 || capacity == 0 {
            return WaitOffer::Declined;
        }
        let key = new.key;
        let place = self.ahead_of(new.rank).count();
        self.waiting.insert(place, new);
        if self.waiting.len() <= capacity {
            return WaitOffer::Queued;
        }
        let displaced = self.remove_excess();
        match displaced.key == key {
            true => WaitOffer::Declined,
            false => WaitOffer::Displaces(Box::new(displaced)),
        }
    }

    /// Removes the last request of the workspace with the most; of several such workspaces, that of
    /// the last request in the order.
    fn remove_excess(&mut self) -> WaitingRequest {
        let mut counts: HashMap<u64, usize> = HashMap::new();
        for waiting in &self.waiting {
            *counts.entry(waiting.request.workspace).or_default() += 1;
        }
        let most = counts.values().copied().max();
        let has_most =
            |waiting: &WaitingRequest| counts.get(&waiting.request.workspace).copied() == most;
        let last = self.waiting.iter().rposition(has_most);
        self.waiting.remove(last.unwrap_or_default())
    }

    /// Removes the request that is served next, once it is decided on.
    ///
    /// The requests behind it are not considered before, since none may overtake it.
    pub fn take_first(&mut self) -> Option<WaitingRequest> {
        (!self.waiting.is_empty()).then(|| self.waiting.remove(0))
    }

    /// Removes and returns the requests whose wait has ended.
    pub fn expire(&mut self, now_ms: u64) -> Vec<WaitingRequest> {
        let is_late = |waiting: &mut WaitingRequest| waiting.until_ms <= now_ms;
        self.waiting.extract_if(.., is_late).collect()
    }

    /// Removes a request that was decided on, whose run has ended or whose caller has left, and
    /// ignores it if it arrives later.
    pub fn close(&mut self, key: RunKey, now_ms: u64) -> Option<WaitingRequest> {
        let is_old = |(_, at_ms): &(RunKey, u64)| at_ms + Self::CLOSED_MS < now_ms;
        while self.closed.front().is_some_and(is_old) || self.closed.len() >= Self::MAX_CLOSED {
            self.closed.pop_front();
        }
        self.closed.push_back((key, now_ms));
        let place = self.waiting.iter().position(|other| other.key == key)?;
        Some(self.waiting.remove(place))
    }

    /// Removes and returns the requests of a box that has lost its state or is gone.
    pub fn forget_entry(&mut self, entry: BoxKey) -> Vec<WaitingRequest> {
        let is_lost = |waiting: &mut WaitingRequest| waiting.key.entry == entry;
        self.waiting.extract_if(.., is_lost).collect()
    }
}

#[cfg(test)]
mod burst_tests;
#[cfg(test)]
mod tests;
