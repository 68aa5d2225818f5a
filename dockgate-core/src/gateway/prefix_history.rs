//! Which shared parts this box had read at each engine lately, for whoever comes to decide for it.
//!
//! The box that decides for an engine knows its cache from the prompts that it admitted. When
//! another box takes over, or the same one begins anew, it knows nothing; every entry then tells it
//! what it sent there lately, so that prompts are neither refused nor sent elsewhere for parts that
//! are cached.

use super::prompt_shape::PromptPart;
use super::route_table::EndpointId;
use crate::ids::BoxKey;
use std::collections::{BTreeMap, VecDeque};

/// Parts to be told to a box.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefixReport {
    /// The box that decides for the engine.
    pub owner: BoxKey,
    /// The engine.
    pub endpoint: EndpointId,
    /// The shared parts of a prompt.
    pub parts: Vec<PromptPart>,
}

#[derive(Debug, Clone)]
struct EngineReads {
    told: BoxKey,
    /// The newest stands last; each chain of parts stands once.
    chains: VecDeque<Vec<PromptPart>>,
}

/// The shared parts that were read lately, by engine.
#[derive(Debug, Default)]
pub struct PrefixHistory {
    engines: BTreeMap<EndpointId, EngineReads>,
}

impl PrefixHistory {
    /// How many chains are remembered for an engine: what one box sends there in a few seconds.
    const MOST_CHAINS: usize = 24;

    /// Notes that the parts of a prompt are read, and that `owner` knows.
    pub fn note(&mut self, endpoint: EndpointId, owner: BoxKey, parts: &[PromptPart]) {
        let Some((_, shared)) = parts.split_last().filter(|(_, shared)| !shared.is_empty()) else {
            return;
        };
        let reads = self.engines.entry(endpoint).or_insert_with(|| EngineReads {
            told: owner,
            chains: VecDeque::new(),
        });
        reads.chains.retain(|chain| chain != shared);
        reads.chains.push_back(shared.to_vec());
        if reads.chains.len() > Self::MOST_CHAINS {
            reads.chains.pop_front();
        }
    }

    /// Returns what is due to the boxes that decide now and may not know; `is_due` is given the box
    /// that decides and the one that was told.
    pub fn take_reports(
        &mut self,
        owner_of: impl Fn(EndpointId) -> Option<BoxKey>,
        is_due: impl Fn(BoxKey, BoxKey) -> bool,
    ) -> Vec<PrefixReport> {
        self.engines
            .retain(|endpoint, _| owner_of(*endpoint).is_some());
        let mut due = Vec::new();
        for (endpoint, reads) in &mut self.engines {
            let Some(owner) = owner_of(*endpoint).filter(|owner| is_due(*owner, reads.told)) else {
                continue;
            };
            reads.told = owner;
            due.extend(reads.chains.iter().map(|parts| PrefixReport {
                owner,
                endpoint: *endpoint,
                parts: parts.clone(),
            }));
        }
        due
    }
}

#[cfg(test)]
mod tests;
