//! Pacing of requests to endpoints that warm up.
//!
//! A cold endpoint falls over if all boxes together send it more than its service's rate. One box
//! owns each endpoint, and only the owner grants requests to it while it is cold. A box that takes
//! over an endpoint waits until no other box still considers the previous owner the current one, so
//! that two boxes never grant at the same time.
//!
//! ```
//! use dockgate_core::gateway::{EndpointId, StoreRevision, WarmupLimit, WarmupTracker};
//!
//! let limit = WarmupLimit { duration_ms: 3_000, rate_per_s: 10.0 };
//! let pace = Some(limit.pace(1.5, 5.0));
//! let endpoint = EndpointId(7);
//! let mut tracker = WarmupTracker::default();
//! tracker.observe(endpoint, StoreRevision::from(5), 3_000, || true, 0);
//! assert_eq!(tracker.try_grant(endpoint, pace, 0), Ok(()));
//! assert_eq!(tracker.try_grant(endpoint, pace, 20), Err(80));
//! assert!(!tracker.is_cold(endpoint, 3_000));
//! ```

use super::route_table::EndpointId;
use super::store_revision::StoreRevision;
use super::warmup_limit::WarmupLimit;
use std::collections::HashMap;

/// A token bucket that holds a single grant.
#[derive(Debug, Clone, Copy)]
struct GrantBucket {
    credit: f64,
    at_ms: u64,
}

impl GrantBucket {
    const CAPACITY: f64 = WarmupLimit::BURST;
    /// Absorbs rounding of the credit.
    const EPSILON: f64 = 1e-9;

    const fn full(now_ms: u64) -> Self {
        Self {
            credit: Self::CAPACITY,
            at_ms: now_ms,
        }
    }

    /// Takes one grant.
    ///
    /// # Errors
    ///
    /// Returns the time until the next grant in milliseconds, if there is none now.
    fn take(&mut self, pace_per_s: f64, now_ms: u64) -> Result<(), u32> {
        let elapsed_s = now_ms.saturating_sub(self.at_ms) as f64 / 1_000.0;
        self.credit = (self.credit + elapsed_s * pace_per_s).min(Self::CAPACITY);
        self.at_ms = self.at_ms.max(now_ms);
        let missing = 1.0 - Self::EPSILON - self.credit;
        match missing <= 0.0 {
            true => {
                self.credit -= 1.0;
                Ok(())
            }
            false => Err((missing / pace_per_s * 1_000.0).ceil() as u32),
        }
    }
}

/// The warm-up of one lifetime of an endpoint.
#[derive(Debug, Clone, Copy)]
struct WarmupState {
    /// The newest revision at which a record told how long it stays cold.
    revision: StoreRevision,
    cold_until_ms: u64,
    /// When this box may grant requests as the owner; `None` if it is not the owner.
    grants_from_ms: Option<u64>,
    bucket: GrantBucket,
}

/// The endpoints that warm up, as far as this box knows.
#[derive(Debug, Clone, Default)]
pub struct WarmupTracker {
    states: HashMap<EndpointId, WarmupState>,
}

impl WarmupTracker {
    /// How long a box that takes over a cold endpoint grants nothing, in milliseconds: all boxes
    /// agree on the owner by then, and the requests that the previous owner granted have arrived.
    pub const TAKEOVER_MS: u64 = 1_100;

    /// Records that a record of this revision tells that the endpoint stays cold for `cold_ms`.
    /// `is_owner` returns whether this box owns the endpoint.
    pub fn observe(
        &mut self,
        id: EndpointId,
        revision: StoreRevision,
        cold_ms: u64,
        is_owner: impl FnOnce() -> bool,
        now_ms: u64,
    ) {
        let was_cold = self.is_cold(id, now_ms);
        let state = self.states.entry(id).or_insert_with(|| WarmupState {
            revision: StoreRevision::NONE,
            cold_until_ms: 0,
            grants_from_ms: None,
            bucket: GrantBucket::full(now_ms),
        });
        if state.revision >= revision {
            return;
        }
        state.revision = revision;
        state.cold_until_ms = now_ms + cold_ms;
        if !was_cold && cold_ms > 0 {
            state.grants_from_ms = is_owner().then_some(now_ms);
        }
    }

    /// Assumes that an endpoint has become cold, until its next record tells.
    pub fn presume_cold(
        &mut self,
        id: EndpointId,
        revision: StoreRevision,
        cold_ms: u64,
        is_owner: impl FnOnce() -> bool,
        now_ms: u64,
    ) {
        let known_until_ms = self.states.get(&id).map(|state| state.cold_until_ms);
        self.observe(id, revision, cold_ms, is_owner, now_ms);
        if let Some(state) = self.states.get_mut(&id) {
            let known_until_ms = known_until_ms.unwrap_or_default();
            state.cold_until_ms = state.cold_until_ms.max(known_until_ms);
        }
    }

    /// Returns whether an endpoint is cold.
    pub fn is_cold(&self, id: EndpointId, now_ms: u64) -> bool {
        let state = self.states.get(&id);
        state.is_some_and(|state| now_ms < state.cold_until_ms)
    }

    /// Returns the number of cold endpoints.
    pub fn cold_count(&self, now_ms: u64) -> usize {
        let states = self.states.values();
        states.filter(|state| now_ms < state.cold_until_ms).count()
    }

    /// Grants one request to an endpoint. While it is cold, only its owner grants requests, at
    /// `pace_per_s`; `None` if the service of the endpoint states no rate.
    ///
    /// # Errors
    ///
    /// Returns the time until the next grant in milliseconds, if there is none now.
    pub fn try_grant(
        &mut self,
        id: EndpointId,
        pace_per_s: Option<f64>,
        now_ms: u64,
    ) -> Result<(), u32> {
        let state = self.states.get_mut(&id);
        let state = state.filter(|state| now_ms < state.cold_until_ms);
        let (Some(state), Some(pace_per_s)) = (state, pace_per_s) else {
            return Ok(());
        };
        let cold_ms = (state.cold_until_ms - now_ms) as u32;
        match state.grants_from_ms {
            Some(from_ms) if now_ms < from_ms => Err(cold_ms.min((from_ms - now_ms) as u32)),
            Some(_) if pace_per_s > 0.0 => state
                .bucket
                .take(pace_per_s, now_ms)
                .map_err(|wait_ms| wait_ms.min(cold_ms)),
            _ => Err(cold_ms),
        }
    }

    /// Updates which cold endpoints this box owns.
    pub fn update_owners(&mut self, is_owner: impl Fn(EndpointId) -> bool, now_ms: u64) {
        let states = self.states.iter_mut();
        for (id, state) in states.filter(|(_, state)| now_ms < state.cold_until_ms) {
            state.grants_from_ms = match state.grants_from_ms {
                _ if !is_owner(*id) => None,
                known => known.or(Some(now_ms + Self::TAKEOVER_MS)),
            };
        }
    }

    /// Forgets the endpoints that are gone.
    pub fn retain(&mut self, is_known: impl Fn(EndpointId) -> bool) {
        self.states.retain(|id, _| is_known(*id));
    }
}

#[cfg(test)]
mod tests;
