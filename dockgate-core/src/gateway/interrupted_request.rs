//! A request whose answer broke off, with the parts of its prompt that other prompts may share.

use super::suspect_key::SuspectKey;

/// A request whose answer broke off.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InterruptedRequest {
    /// The request.
    pub request: SuspectKey,
    /// The shared parts of its prompt, without duplicates.
    pub parts: Vec<SuspectKey>,
}

impl InterruptedRequest {
    /// Returns the distinct keys of several requests: all parts, then all requests.
    pub fn keys(interrupted: &[Self]) -> Vec<SuspectKey> {
        let parts = interrupted
            .iter()
            .flat_map(|request| request.parts.iter().copied());
        let mut parts: Vec<SuspectKey> = parts.collect();
        parts.sort_unstable();
        parts.dedup();
        let requests = interrupted.iter().map(|request| request.request);
        let mut requests: Vec<SuspectKey> = requests.collect();
        requests.sort_unstable();
        requests.dedup();
        parts.extend(requests);
        parts
    }
}

impl From<SuspectKey> for InterruptedRequest {
    fn from(request: SuspectKey) -> Self {
        Self {
            request,
            parts: Vec::new(),
        }
    }
}

#[cfg(test)]
mod tests;
