//! The shared prompt parts that this box recently sent to each engine.
//!
//! The owner of an engine knows the engine's cache from the prompts that it admitted. A new or
//! restarted owner does not, so every box reports to it the shared parts that it sent recently.
//! Otherwise prompts would be declined or sent elsewhere although their parts are cached.

use super::prompt_shape::PromptPart;
use super::route_table::EndpointId;
use crate::ids::BoxKey;
use std::collections::{BTreeMap, VecDeque};

/// Shared parts to report to the owner of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefixReport {
    /// The box that owns the engine.
    pub owner: BoxKey,
    /// The engine.
    pub endpoint: EndpointId,
    /// The shared parts of a prompt.
    pub parts: Vec<PromptPart>,
}

#[derive(Debug, Clone)]
struct EngineHistory {
    informed_owner: BoxKey,
    /// Distinct chains of shared parts, the most recent one last.
    chains: VecDeque<Vec<PromptPart>>,
}

/// The history of shared parts by engine.
#[derive(Debug, Default)]
pub struct PrefixHistory {
    engines: BTreeMap<EndpointId, EngineHistory>,
}

impl PrefixHistory {
    /// The number of chains kept for an engine: about what one box sends there in a few seconds.
    const MAX_CHAINS: usize = 24;

    /// Records the shared parts of a prompt sent to an engine whose `owner` knows of it.
    pub fn record(&mut self, endpoint: EndpointId, owner: BoxKey, parts: &[PromptPart]) {
        let Some((_, shared)) = parts.split_last().filter(|(_, shared)| !shared.is_empty()) else {
            return;
        };
        let history = self
            .engines
            .entry(endpoint)
            .or_insert_with(|| EngineHistory {
                informed_owner: owner,
                chains: VecDeque::new(),
            });
        history.chains.retain(|chain| chain != shared);
        history.chains.push_back(shared.to_vec());
        if history.chains.len() > Self::MAX_CHAINS {
            history.chains.pop_front();
        }
    }

    /// Returns the reports that are due to the current owners, and removes engines without one.
    ///
    /// `is_due` is called with the current owner and the last box that was informed.
    pub fn take_reports(
        &mut self,
        owner_of: impl Fn(EndpointId) -> Option<BoxKey>,
        is_due: impl Fn(BoxKey, BoxKey) -> bool,
    ) -> Vec<PrefixReport> {
        self.engines
            .retain(|endpoint, _| owner_of(*endpoint).is_some());
        let mut reports = Vec::new();
        for (endpoint, history) in &mut self.engines {
            let Some(owner) =
                owner_of(*endpoint).filter(|owner| is_due(*owner, history.informed_owner))
            else {
                continue;
            };
            history.informed_owner = owner;
            reports.extend(history.chains.iter().map(|parts| PrefixReport {
                owner,
                endpoint: *endpoint,
                parts: parts.clone(),
            }));
        }
        reports
    }
}

#[cfg(test)]
mod tests;
