//! The shared parts of prompts whose answers endpoints broke off, for log lines.

use dockgate_core::gateway::{EndpointId, PromptPart};
use std::collections::HashMap;

/// The maximum number of parts in a log line.
const MAX_LOGGED_PARTS: usize = 16;

/// The parts of the prompts that were interrupted at one endpoint.
#[derive(Debug, Clone, Default)]
struct PartCounts {
    at_ms: u64,
    /// The number of interrupted prompts with each part.
    prompts: HashMap<u64, u32>,
}

/// The shared parts of interrupted prompts, by endpoint.
#[derive(Debug, Clone, Default)]
pub(super) struct InterruptedParts {
    endpoints: HashMap<EndpointId, PartCounts>,
}

impl InterruptedParts {
    /// How long the parts are kept, in milliseconds; as long as the interruptions are.
    const RETENTION_MS: u64 = 10_000;
    /// The maximum number of parts kept per endpoint.
    const MAX_PARTS: usize = 256;

    /// Records the shared parts of a prompt whose answer an endpoint broke off.
    pub(super) fn note(&mut self, endpoint: EndpointId, parts: &[PromptPart], now_ms: u64) {
        if parts.is_empty() {
            return;
        }
        let counts = self.endpoints.entry(endpoint).or_default();
        counts.at_ms = now_ms;
        for part in distinct_ids(parts, MAX_LOGGED_PARTS) {
            let is_full = counts.prompts.len() >= Self::MAX_PARTS;
            if !is_full || counts.prompts.contains_key(&part) {
                *counts.prompts.entry(part).or_default() += 1;
            }
        }
    }

    /// Returns the parts of most of the interrupted prompts at an endpoint, as callers send them.
    pub(super) fn most_frequent(&self, endpoint: EndpointId) -> Vec<String> {
        let counts = self.endpoints.get(&endpoint);
        let counts = counts.into_iter().flat_map(|counts| &counts.prompts);
        let mut counts: Vec<(u64, u32)> = counts.map(|(part, count)| (*part, *count)).collect();
        counts.sort_unstable_by_key(|(part, count)| (std::cmp::Reverse(*count), *part));
        counts.truncate(MAX_LOGGED_PARTS);
        counts
            .into_iter()
            .map(|(part, _)| part_name(part))
            .collect()
    }

    /// Removes expired entries.
    pub(super) fn expire(&mut self, now_ms: u64) {
        self.endpoints
            .retain(|_, counts| counts.at_ms + Self::RETENTION_MS > now_ms);
    }
}

/// Returns the names of the first parts for a log line.
pub(super) fn part_names(parts: &[PromptPart]) -> Vec<String> {
    let ids = distinct_ids(parts, MAX_LOGGED_PARTS);
    ids.into_iter().map(part_name).collect()
}

/// Returns the id of a part in hexadecimal, as callers send it.
pub(super) fn part_name(part: u64) -> String {
    format!("{part:x}")
}

fn distinct_ids(parts: &[PromptPart], limit: usize) -> Vec<u64> {
    let mut ids = Vec::new();
    for part in parts {
        if ids.len() < limit && !ids.contains(&part.id) {
            ids.push(part.id);
        }
    }
    ids
}

#[cfg(test)]
mod tests;
