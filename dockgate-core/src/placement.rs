//! Assignment of endpoints to scheduling boxes by rendezvous hashing over the live boxes.
//!
//! There is no leader election. Boxes with the same view of the fleet agree on the owners. With
//! different views, two boxes may both own an endpoint for a while; scheduling is then less
//! precise, but remains safe.

use crate::ids::{BoxKey, EndpointKey};
use xxhash_rust::xxh3::xxh3_64;

/// Returns the score of a box for an item; the box with the highest score owns it.
pub fn rendezvous_score(item: u32, box_key: BoxKey) -> u64 {
    let mut bytes = [0; 8];
    bytes[..4].copy_from_slice(&item.to_le_bytes());
    bytes[4..].copy_from_slice(&box_key.0.to_le_bytes());
    xxh3_64(&bytes)
}

/// Returns the box that schedules `endpoint`, or `None` if `boxes` is empty.
pub fn owner_of(endpoint: EndpointKey, boxes: &[BoxKey]) -> Option<BoxKey> {
    boxes
        .iter()
        .copied()
        .max_by_key(|box_key| (rendezvous_score(endpoint.0, *box_key), *box_key))
}

#[cfg(test)]
mod tests;
