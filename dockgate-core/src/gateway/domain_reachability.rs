//! Tracks which failure domains are unreachable from this box.
//!
//! On a broken link, each attempt to reach an endpoint costs a request a full connection timeout. A
//! domain counts as unreachable once connections to two of its endpoints have timed out with no
//! answer from the domain since; it then gets no requests until one of its endpoints answers. A
//! refused connection counts as an answer: the endpoint is down, but its domain is reachable.
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

/// The endpoints that have not answered lately, by failure domain.
#[derive(Debug, Clone, Default)]
pub struct DomainReachability {
    silent: BTreeMap<String, BTreeSet<EndpointId>>,
}

impl DomainReachability {
    /// The number of silent endpoints that make a domain unreachable: a single one may be down.
    pub const MIN_SILENT_ENDPOINTS: usize = 2;

    /// Records that a connection to an endpoint was neither opened nor refused.
    pub fn record_silence(&mut self, domain: &str, endpoint: EndpointId) {
        let silent = self.silent.entry(domain.to_owned()).or_default();
        silent.insert(endpoint);
    }

    /// Records that an endpoint of a domain answered.
    pub fn record_answer(&mut self, domain: &str) {
        self.silent.remove(domain);
    }

    /// Returns whether a domain is unreachable.
    pub fn is_unreachable(&self, domain: &str) -> bool {
        let silent = self.silent.get(domain);
        silent.is_some_and(|silent| silent.len() >= Self::MIN_SILENT_ENDPOINTS)
    }

    /// Lists the unreachable domains.
    pub fn unreachable(&self) -> impl Iterator<Item = &str> {
        let domains = self.silent.keys().map(String::as_str);
        domains.filter(|domain| self.is_unreachable(domain))
    }
}

#[cfg(test)]
mod tests;
