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

/// Returns what names the homes of a request that has tried so many endpoints: what it shares with others,
/// `shared`, and from the third one on just what is its `own`.
///
/// Requests with the same homes move together from an endpoint that ends to the next one, and so does the one
/// under which they end: after three of them all look alike to blame. With homes of its own for the third send, 2 of
/// 1,516 requests that lost an endpoint are blamed in place of 21 (played load, ten runs of 30 s).
pub const fn home_key(shared: u64, own: u64, tried: usize) -> u64 {
    /// A request that was unlucky once is best off where others have read its parts before.
    const SHARED_TRIES: usize = 2;
    match tried < SHARED_TRIES {
        true => shared,
        false => own,
    }
}

fn score(item: u64, holder: u64) -> u64 {
    xxh3_64_with_seed(&item.to_le_bytes(), holder)
}

/// Picks the best homes of a subject among those that `accepts` tells, `count` at most, best first.
///
/// One pass without a sort; `accepts` is asked of just those that would be picked.
pub fn best_homes(
    subject: u64,
    endpoints: impl Iterator<Item = EndpointId>,
    count: usize,
    accepts: impl Fn(EndpointId) -> bool,
) -> Vec<EndpointId> {
    let mut best: Vec<(u64, EndpointId)> = Vec::new();
    for endpoint in endpoints {
        let scored = (score(subject, endpoint.0), endpoint);
        let is_better = best.len() < count || best.last().is_some_and(|last| scored > *last);
        if count == 0 || !is_better || !accepts(endpoint) {
            continue;
        }
        let place = best.partition_point(|kept| *kept > scored);
        best.insert(place, scored);
        best.truncate(count);
    }
    best.into_iter().map(|(_, endpoint)| endpoint).collect()
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
