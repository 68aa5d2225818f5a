//! Which endpoints broke answers off, and which of them had ended.
//!
//! An answer that breaks off says little by itself: answers are lost and links are cut while the
//! endpoint lives. That it has ended shows a moment later, when nobody listens at its address any
//! more, or when its record names a later start. Until then it is kept which requests were there.
//!
//! ```
//! use dockgate_core::gateway::{BrokenEndpoints, EndpointId, RequestPrint};
//!
//! let (endpoint, print) = (EndpointId::of_lifetime("e", Some(1)), RequestPrint::new([7; 16]));
//! let mut broken = BrokenEndpoints::default();
//! assert!(broken.note_break(print, endpoint, "e", 1_000).is_open());
//! assert_eq!(broken.note_ended(endpoint, 1_030), [print]);
//! ```

use super::request_print::RequestPrint;
use super::route_table::{EndpointId, EndpointName};
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
    name: EndpointName,
    at_ms: u64,
    prints: Vec<RequestPrint>,
    /// Whether somebody looks whether the endpoint has ended; else it was seen to listen.
    is_watched: bool,
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
        name: &str,
        now_ms: u64,
    ) -> BreakNews {
        if self.ended.contains_key(&endpoint) {
            return BreakNews::Ended;
        }
        let known = self.open.remove(&endpoint).filter(|runs| runs.is_watched);
        let news = match known {
            Some(_) => BreakNews::Watched,
            None => BreakNews::Open,
        };
        let known = known.unwrap_or(BrokenRuns {
            name: EndpointName::new(name),
            at_ms: now_ms,
            prints: Vec::new(),
            is_watched: true,
        });
        let runs = self.open.entry(endpoint).or_insert(known);
        if runs.prints.len() < Self::MOST_PRINTS && !runs.prints.contains(&print) {
            runs.prints.push(print);
        }
        news
    }

    /// Notes that somebody listens where an endpoint is: it lives, or has started again already.
    pub fn note_listens(&mut self, endpoint: EndpointId) {
        if let Some(runs) = self.open.get_mut(&endpoint) {
            runs.is_watched = false;
        }
    }

    /// Notes that nobody listens where an endpoint was; returns the requests under which it ended.
    ///
    /// One of which no answer broke off here, or which was seen to listen since, is not remembered: it may have
    /// left in order.
    pub fn note_ended(&mut self, endpoint: EndpointId, now_ms: u64) -> Vec<RequestPrint> {
        match self.open.get(&endpoint) {
            Some(runs) if runs.is_watched => self.end(endpoint, now_ms),
            _ => Vec::new(),
        }
    }

    fn end(&mut self, endpoint: EndpointId, now_ms: u64) -> Vec<RequestPrint> {
        self.ended.insert(endpoint, now_ms);
        let runs = self.open.remove(&endpoint);
        runs.map(|runs| runs.prints).unwrap_or_default()
    }

    /// Lists the endpoints that have started again under their id, by `life_of`, which tells the lifetime of
    /// a name, and the requests under which the lifetime before ended.
    pub fn take_restarted(
        &mut self,
        life_of: impl Fn(EndpointName) -> Option<EndpointId>,
        now_ms: u64,
    ) -> Vec<(EndpointId, Vec<RequestPrint>)> {
        let open = self.open.iter();
        let ended = open.filter(|(id, runs)| life_of(runs.name).is_some_and(|life| life != **id));
        let mut ended: Vec<EndpointId> = ended.map(|(id, _)| *id).collect();
        ended.sort_unstable();
        let ended = ended.into_iter();
        ended.map(|id| (id, self.end(id, now_ms))).collect()
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
