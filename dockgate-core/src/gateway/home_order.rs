//! Where a subject is at home, and which box decides for an endpoint: rendezvous hashing.
//!
//! Boxes with the same view agree without talking; an endpoint or box that comes or goes moves only
//! what belongs to it.

use super::route_table::EndpointId;
use crate::ids::BoxKey;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hashes a name to a key that every box derives alike.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

fn score(item: u64, holder: u64) -> u64 {
    xxh3_64_with_seed(&item.to_le_bytes(), holder)
}

/// Orders endpoints by how much they are the home of a subject, best first.
pub fn home_order(subject: u64, endpoints: impl Iterator<Item = EndpointId>) -> Vec<EndpointId> {
    let mut homes: Vec<EndpointId> = endpoints.collect();
    homes.sort_by_cached_key(|endpoint| std::cmp::Reverse((score(subject, endpoint.0), *endpoint)));
    homes
}

/// Scores a pair of boxes, so that each box has an order of the others that is its own.
pub fn pair_score(one: BoxKey, other: BoxKey) -> u64 {
    score(u64::from(one.0), u64::from(other.0))
}

/// Picks the box that decides for an endpoint among `boxes`, or none where there are no boxes.
pub fn owner_of_endpoint(
    endpoint: EndpointId,
    boxes: impl Iterator<Item = BoxKey>,
) -> Option<BoxKey> {
    boxes.max_by_key(|candidate| (score(endpoint.0, u64::from(candidate.0)), *candidate))
}

#[cfg(test)]
mod tests;
