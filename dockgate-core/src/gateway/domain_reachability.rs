//! Which failure domains cannot be reached from this box.
//!
//! A link that is cut says nothing: each try at an endpoint behind it costs a request the time of a
//! connection that does not open. Two endpoints of a domain that both stay silent, with none of the
//! domain answering since, make the whole domain one that gets nothing until it is seen to answer.
//! An endpoint that refuses a connection has answered: it is down, its domain is not.
//!
//! ```
//! use dockgate_core::gateway::{DomainReachability, EndpointId};
//!
//! let mut reachability = DomainReachability::default();
//! reachability.record_silence("hall-a", EndpointId(1));
//! assert!(!reachability.is_unreachable("hall-a"));
//! reachability.record_silence("hall-a", EndpointId(2));
//! assert!(reachability.is_unreachable("hall-a"));
//! reachability.record_answer("hall-a");
//! assert!(!reachability.is_unreachable("hall-a"));
//! ```

use super::route_table::EndpointId;
use std::collections::{BTreeMap, BTreeSet};

/// The failure domains with endpoints that were silent lately.
#[derive(Debug, Clone, Default)]
pub struct DomainReachability {
    silent: BTreeMap<String, BTreeSet<EndpointId>>,
}

impl DomainReachability {
    /// How many endpoints of a domain must be silent: one alone may be down.
    pub const MIN_SILENT_ENDPOINTS: usize = 2;

    /// Notes that a connection to an endpoint did not open, and was not refused either.
    pub fn record_silence(&mut self, domain: &str, endpoint: EndpointId) {
        let silent = self.silent.entry(domain.to_owned()).or_default();
        silent.insert(endpoint);
    }

    /// Notes that an endpoint of a domain was heard.
    pub fn record_answer(&mut self, domain: &str) {
        self.silent.remove(domain);
    }

    /// Tells whether nothing of a domain can be reached.
    pub fn is_unreachable(&self, domain: &str) -> bool {
        let silent = self.silent.get(domain);
        silent.is_some_and(|silent| silent.len() >= Self::MIN_SILENT_ENDPOINTS)
    }

    /// Lists the domains of which nothing can be reached.
    pub fn unreachable(&self) -> impl Iterator<Item = &str> {
        let domains = self.silent.keys().map(String::as_str);
        domains.filter(|domain| self.is_unreachable(domain))
    }
}

#[cfg(test)]
mod tests;
