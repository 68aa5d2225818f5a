//! The requests at the endpoints of plain services, as the boxes that own the endpoints know them.
//!
//! A box sees only its own requests, so many boxes with one request each would all choose the same
//! endpoint. The owner of an endpoint counts the requests of all boxes and declines further ones
//! once those waiting there would delay them, so that they go to other endpoints.
//!
//! ```
//! use dockgate_core::BoxKey;
//! use dockgate_core::gateway::{EndpointId, PlainLoads, RunKey};
//!
//! let mut loads = PlainLoads::default();
//! let run = |number| RunKey { entry: BoxKey(1), number };
//! let granted = (0..9).filter(|number| loads.try_place(EndpointId(7), run(*number), 4, 500));
//! assert_eq!(granted.count(), 6);
//! loads.end(EndpointId(7), run(0));
//! assert!(loads.try_place(EndpointId(7), run(9), 4, 500));
//! ```

use super::engine_registry::RunKey;
use super::route_table::EndpointId;
use crate::ids::BoxKey;
use std::collections::{BTreeMap, HashMap};

/// The requests at the endpoints of plain services.
#[derive(Debug, Clone, Default)]
pub struct PlainLoads {
    /// When the caller of each request stops waiting, by endpoint.
    runs: BTreeMap<EndpointId, HashMap<RunKey, u64>>,
}

impl PlainLoads {
    /// The number of requests at an endpoint up to which it gets more, over its slots. Half of the
    /// slots again keep it busy while answers and new requests are on their way.
    const MAX_FILL: f64 = 1.5;

    /// Places a request at an endpoint that is not full; returns whether it was placed.
    pub fn try_place(
        &mut self,
        endpoint: EndpointId,
        key: RunKey,
        slots: u32,
        until_ms: u64,
    ) -> bool {
        let max_runs = f64::from(slots) * Self::MAX_FILL;
        let has_room = (self.count(endpoint) as f64) < max_runs;
        if has_room {
            self.place(endpoint, key, until_ms);
        }
        has_room
    }

    /// Records a request that was sent to an endpoint, whichever box decided.
    pub fn place(&mut self, endpoint: EndpointId, key: RunKey, until_ms: u64) {
        self.runs.entry(endpoint).or_default().insert(key, until_ms);
    }

    /// Returns the number of requests at an endpoint.
    pub fn count(&self, endpoint: EndpointId) -> usize {
        self.runs.get(&endpoint).map_or(0, HashMap::len)
    }

    /// Removes a request, if it is known.
    pub fn end(&mut self, endpoint: EndpointId, key: RunKey) {
        if let Some(runs) = self.runs.get_mut(&endpoint) {
            runs.remove(&key);
        }
    }

    /// Removes all requests of a box that has lost its state.
    pub fn forget_entry(&mut self, entry: BoxKey) {
        for runs in self.runs.values_mut() {
            runs.retain(|key, _| key.entry != entry);
        }
    }

    /// Removes unknown endpoints, the requests for which `is_gone` holds, and those whose callers
    /// no longer wait.
    pub fn retain(
        &mut self,
        now_ms: u64,
        is_known: impl Fn(EndpointId) -> bool,
        is_gone: impl Fn(RunKey) -> bool,
    ) {
        self.runs.retain(|endpoint, _| is_known(*endpoint));
        for runs in self.runs.values_mut() {
            runs.retain(|key, until_ms| *until_ms >= now_ms && !is_gone(*key));
        }
    }
}

#[cfg(test)]
mod tests;
