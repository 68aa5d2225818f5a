//! Which endpoints broke answers off, and which of them had ended.
//!
//! An answer that breaks off says little by itself: answers are lost and links are cut while the
//! endpoint lives. That it has ended shows a moment later, when nobody listens at its address any
//! more. Until then it is kept which requests were there.
//!
//! ```
//! use dockgate_core::gateway::{BrokenEndpoints, EndpointId, RequestPrint};
//!
//! let (endpoint, print) = (EndpointId(1), RequestPrint::new([7; 16]));
//! let mut broken = BrokenEndpoints::default();
//! assert!(broken.note_break(print, endpoint, 1_000).is_open());
//! assert_eq!(broken.note_ended(endpoint, 1_030), [print]);
//! ```

use super::request_print::RequestPrint;
use super::route_table::EndpointId;
use std::collections::HashMap;

/// What follows from an answer that broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakNews {
    /// Nobody has looked yet whether the endpoint has ended.
    Open,
    /// Somebody looks already.
    Watched,
    /// It is known to have ended.
    Ended,
}

impl BreakNews {
    /// Tells whether somebody has to look whether the endpoint has ended.
    pub const fn is_open(self) -> bool {
        matches!(self, Self::Open)
    }
}

/// The requests that were at an endpoint when their answers broke off.
#[derive(Debug, Clone)]
struct BrokenRuns {
    at_ms: u64,
    prints: Vec<RequestPrint>,
}

/// The endpoints that broke answers off lately.
#[derive(Debug, Clone, Default)]
pub struct BrokenEndpoints {
    open: HashMap<EndpointId, BrokenRuns>,
    ended: HashMap<EndpointId, u64>,
}

impl BrokenEndpoints {
    /// For how long, in milliseconds, it is remembered that an endpoint broke an answer off or has ended:
    /// one that fell silent is found out by the timeouts of three connections, and answers that break
    /// off with it are noticed within a deadline. A bound.
    const KEPT_MS: u64 = 10_000;
    /// How many requests are kept of one endpoint: what an engine runs at once. A bound.
    const MOST_PRINTS: usize = 64;

    /// Notes that an answer of an endpoint broke off.
    pub fn note_break(
        &mut self,
        print: RequestPrint,
        endpoint: EndpointId,
        now_ms: u64,
    ) -> BreakNews {
        if self.ended.contains_key(&endpoint) {
            return BreakNews::Ended;
        }
        let news = match self.open.contains_key(&endpoint) {
            true => BreakNews::Watched,
            false => BreakNews::Open,
        };
        let runs = self.open.entry(endpoint).or_insert(BrokenRuns {
            at_ms: now_ms,
            prints: Vec::new(),
        });
        if runs.prints.len() < Self::MOST_PRINTS && !runs.prints.contains(&print) {
            runs.prints.push(print);
        }
        news
    }

    /// Notes that an endpoint lives: what broke off there was no end of it.
    pub fn note_alive(&mut self, endpoint: EndpointId) {
        self.open.remove(&endpoint);
    }

    /// Notes that an endpoint has ended; returns the requests under which it did.
    ///
    /// One of which no answer broke off here is not remembered: it may have left in order.
    pub fn note_ended(&mut self, endpoint: EndpointId, now_ms: u64) -> Vec<RequestPrint> {
        let Some(runs) = self.open.remove(&endpoint) else {
            return Vec::new();
        };
        self.ended.insert(endpoint, now_ms);
        runs.prints
    }

    /// Forgets what is too old to matter.
    pub fn expire(&mut self, now_ms: u64) {
        let is_fresh = |at_ms: u64| at_ms + Self::KEPT_MS > now_ms;
        self.open.retain(|_, runs| is_fresh(runs.at_ms));
        self.ended.retain(|_, at_ms| is_fresh(*at_ms));
    }
}

#[cfg(test)]
mod tests;
