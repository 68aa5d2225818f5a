//! Which box schedules an endpoint: rendezvous hashing over the boxes seen alive.
//!
//! Nothing is elected. Boxes with the same view agree; boxes with different views may both think
//! they own an endpoint, which costs quality for a moment and never a promise.

use crate::ids::{BoxKey, EndpointKey};
use xxhash_rust::xxh3::xxh3_64;

/// Scores a box for an item; the highest score owns it.
pub fn rendezvous_score(item: u32, box_key: BoxKey) -> u64 {
    let mut bytes = [0; 8];
    bytes[..4].copy_from_slice(&item.to_le_bytes());
    bytes[4..].copy_from_slice(&box_key.0.to_le_bytes());
    xxh3_64(&bytes)
}

/// Picks the box that schedules `endpoint` among `boxes`, or none where there are no boxes.
pub fn owner_of(endpoint: EndpointKey, boxes: &[BoxKey]) -> Option<BoxKey> {
    boxes
        .iter()
        .copied()
        .max_by_key(|box_key| (rendezvous_score(endpoint.0, *box_key), *box_key))
}

#[cfg(test)]
mod tests;
