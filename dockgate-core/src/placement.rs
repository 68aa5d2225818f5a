//! Which box schedules a server: rendezvous hashing over the boxes seen alive.
//!
//! Nothing is elected. Boxes with the same view agree; boxes with different views may both think
//! they own a server, which costs quality for a moment and never a promise.

use crate::ids::{BoxKey, ServerKey};
use xxhash_rust::xxh3::xxh3_64;

/// Scores a box for an item; the highest score owns it.
pub fn score_of(item: u32, box_key: BoxKey) -> u64 {
    let mut bytes = [0; 8];
    bytes[..4].copy_from_slice(&item.to_le_bytes());
    bytes[4..].copy_from_slice(&box_key.0.to_le_bytes());
    xxh3_64(&bytes)
}

/// Picks the box that schedules `server` among `boxes`, or none where there are no boxes.
pub fn owner_of(server: ServerKey, boxes: &[BoxKey]) -> Option<BoxKey> {
    boxes
        .iter()
        .copied()
        .max_by_key(|box_key| (score_of(server.0, *box_key), *box_key))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn losing_a_box_moves_only_its_own_servers() {
        let boxes: Vec<BoxKey> = (0..8).map(BoxKey).collect();
        let fewer = &boxes[..7];
        for server in (0..200).map(ServerKey) {
            let before = owner_of(server, &boxes);
            let after = owner_of(server, fewer);
            assert!(before == after || before == Some(BoxKey(7)));
        }
    }
}
