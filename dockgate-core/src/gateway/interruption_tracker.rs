//! Tracks endpoints that broke off answers, until it is known whether they ended.
//!
//! A broken-off answer alone proves little: answers are lost and links fail while the endpoint
//! keeps running. That an endpoint ended shows shortly afterwards, when connections to its address
//! are refused or its record names a later start. The tracker remembers the affected requests until
//! then.
//!
//! ```
//! use dockgate_core::gateway::{EndpointId, InterruptionTracker, SuspectKey};
//!
//! let (endpoint, fingerprint) =
//!     (EndpointId::of_lifetime("e", Some(1)), SuspectKey::new([7; 16]));
//! let mut tracker = InterruptionTracker::default();
//! assert!(tracker.note_interruption(fingerprint.into(), endpoint, "e", 1_000).needs_check());
//! assert_eq!(tracker.note_ended(endpoint, 1_030), [fingerprint.into()]);
//! ```

use super::interrupted_request::InterruptedRequest;
use super::route_table::{EndpointId, EndpointName};
use std::collections::HashMap;

/// Whether an endpoint that broke off an answer is known to have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InterruptionStatus {
    /// No check whether the endpoint ended is running; the caller has to start one.
    Unchecked,
    /// A check is already running.
    CheckRunning,
    /// The endpoint is known to have ended.
    Ended,
}

impl InterruptionStatus {
    /// Returns whether the caller has to check if the endpoint ended.
    pub const fn needs_check(self) -> bool {
        matches!(self, Self::Unchecked)
    }
}

/// The requests of one endpoint whose answers broke off.
#[derive(Debug, Clone)]
struct InterruptedRequests {
    name: EndpointName,
    at_ms: u64,
    requests: Vec<InterruptedRequest>,
    /// Whether a check is running; otherwise the endpoint was found to be listening.
    is_check_running: bool,
}

/// The endpoints that recently broke off answers.
#[derive(Debug, Clone, Default)]
pub struct InterruptionTracker {
    interrupted: HashMap<EndpointId, InterruptedRequests>,
    ended: HashMap<EndpointId, u64>,
}

impl InterruptionTracker {
    /// How long interruptions and ends are remembered, in milliseconds. This exceeds the connection
    /// timeouts after which an unreachable endpoint is noticed.
    const RETENTION_MS: u64 = 10_000;
    /// The maximum number of requests remembered per endpoint.
    const MAX_REQUESTS: usize = 64;

    /// Records that an answer of an endpoint broke off.
    pub fn note_interruption(
        &mut self,
        interrupted: InterruptedRequest,
        endpoint: EndpointId,
        name: &str,
        now_ms: u64,
    ) -> InterruptionStatus {
        if self.ended.contains_key(&endpoint) {
            return InterruptionStatus::Ended;
        }
        let known = self
            .interrupted
            .remove(&endpoint)
            .filter(|requests| requests.is_check_running);
        let status = match known {
            Some(_) => InterruptionStatus::CheckRunning,
            None => InterruptionStatus::Unchecked,
        };
        let known = known.unwrap_or(InterruptedRequests {
            name: EndpointName::new(name),
            at_ms: now_ms,
            requests: Vec::new(),
            is_check_running: true,
        });
        let requests = &mut self.interrupted.entry(endpoint).or_insert(known).requests;
        let is_known = requests
            .iter()
            .any(|known| known.request == interrupted.request);
        if requests.len() < Self::MAX_REQUESTS && !is_known {
            requests.push(interrupted);
        }
        status
    }

    /// Records that the address of an endpoint accepts connections: it is running or has restarted.
    pub fn note_listening(&mut self, endpoint: EndpointId) {
        if let Some(requests) = self.interrupted.get_mut(&endpoint) {
            requests.is_check_running = false;
        }
    }

    /// Records that the address of an endpoint refuses connections, and returns the requests that
    /// were interrupted by its end.
    ///
    /// Returns nothing for an endpoint without interruptions, or one found to be listening since
    /// then, as it may have shut down in order.
    pub fn note_ended(&mut self, endpoint: EndpointId, now_ms: u64) -> Vec<InterruptedRequest> {
        match self.interrupted.get(&endpoint) {
            Some(requests) if requests.is_check_running => self.end(endpoint, now_ms),
            _ => Vec::new(),
        }
    }

    fn end(&mut self, endpoint: EndpointId, now_ms: u64) -> Vec<InterruptedRequest> {
        self.ended.insert(endpoint, now_ms);
        let requests = self.interrupted.remove(&endpoint);
        requests
            .map(|requests| requests.requests)
            .unwrap_or_default()
    }

    /// Removes and returns the endpoints that have restarted, with the requests that were
    /// interrupted there before. `lifetime_of` returns the current lifetime of a name.
    pub fn take_restarted(
        &mut self,
        lifetime_of: impl Fn(EndpointName) -> Option<EndpointId>,
        now_ms: u64,
    ) -> Vec<(EndpointId, Vec<InterruptedRequest>)> {
        let all = self.interrupted.iter();
        let ended = all.filter(|(id, old)| lifetime_of(old.name).is_some_and(|new| new != **id));
        let mut ended: Vec<EndpointId> = ended.map(|(id, _)| *id).collect();
        ended.sort_unstable();
        let ended = ended.into_iter();
        ended.map(|id| (id, self.end(id, now_ms))).collect()
    }

    /// Removes expired entries.
    pub fn expire(&mut self, now_ms: u64) {
        let is_fresh = |at_ms: u64| at_ms + Self::RETENTION_MS > now_ms;
        self.interrupted
            .retain(|_, requests| is_fresh(requests.at_ms));
        self.ended.retain(|_, at_ms| is_fresh(*at_ms));
    }
}

#[cfg(test)]
mod tests;
