//! Identifies a stream that callers may take up at another box.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The length of the truncated hash in bytes, which makes accidental collisions negligible.
const KEY_BYTES: usize = 16;

/// Identifies a stream by a hash of its workspace, its service and the id of the request that
/// brought its first event.
///
/// A request of another workspace or service has another key, so naming it reveals nothing. The
/// hash is cryptographic, so that no caller can forge the key of another caller's stream.
///
/// ```
/// use dockgate_core::gateway::StreamKey;
///
/// let key = StreamKey::new("captions", "model", "r1");
/// assert_eq!(key, StreamKey::new("captions", "model", "r1"));
/// assert_ne!(key, StreamKey::new("council", "model", "r1"));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey([u8; KEY_BYTES]);

impl StreamKey {
    /// Computes the key of a stream; `request` is the id of the request that brought its first
    /// event.
    pub fn new(workspace: &str, service: &str, request: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [workspace, service, request] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        let mut key = [0; KEY_BYTES];
        key.copy_from_slice(&hasher.finalize().as_bytes()[..KEY_BYTES]);
        Self(key)
    }

    /// Returns a number by which the boxes that record the stream are chosen.
    pub fn placement_key(self) -> u64 {
        let mut bytes = [0; size_of::<u64>()];
        bytes.copy_from_slice(&self.0[..size_of::<u64>()]);
        u64::from_le_bytes(bytes)
    }
}

impl fmt::Debug for StreamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "StreamKey({:016x})", self.placement_key())
    }
}
