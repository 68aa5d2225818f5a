//! Keys of what may crash endpoints: a request, or a part of prompts.
//!
//! A repeated request has a new id. It counts as the same request if the same workspace sends the
//! same body with the same method to the same target. A part of prompts is the same for all
//! workspaces, at one service. The key is a cryptographic hash, so that no caller can forge a
//! collision with another caller's request.
//!
//! ```
//! use dockgate_core::gateway::{FingerprintInput, SuspectKey, SuspectKind};
//!
//! let input = FingerprintInput {
//!     workspace: "captions",
//!     method: "POST",
//!     host: "h",
//!     target: "/a?q=1",
//!     body: b"x",
//! };
//! let key = SuspectKey::of_request(&input);
//! assert_eq!(key, SuspectKey::of_request(&input));
//! let other = FingerprintInput { target: "/a?q=2", ..input };
//! assert_ne!(key, SuspectKey::of_request(&other));
//!
//! let part = SuspectKey::of_part("model", 0x5c1e);
//! assert_eq!((key.kind(), part.kind()), (SuspectKind::Request, SuspectKind::Part));
//! ```

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// The length of the truncated hash in bytes, which makes accidental collisions negligible: among
/// 2^32 requests, two that differ have the same one with a chance of one in 2^64.
const KEY_BYTES: usize = 16;

/// The parts of a request that determine its fingerprint.
#[derive(Debug, Clone, Copy)]
pub struct FingerprintInput<'a> {
    /// The workspace of the caller, or an empty string if it has none.
    pub workspace: &'a str,
    /// The HTTP method.
    pub method: &'a str,
    /// The requested host.
    pub host: &'a str,
    /// The path and query.
    pub target: &'a str,
    /// The request body.
    pub body: &'a [u8],
}

/// The first bytes of the keys of parts. A request's key begins so with a chance of one in 2^32.
const PART_PREFIX: [u8; 4] = *b"part";

/// The maximum number of parts of a prompt that count; half of them at each end.
const MAX_PARTS: usize = 32;

/// What a key stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SuspectKind {
    /// A request.
    Request,
    /// A part of prompts at a service.
    Part,
}

impl SuspectKind {
    /// Returns the name used in logs and answers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Part => "part",
        }
    }
}

/// Identifies a request, or a part of prompts, across retries and boxes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SuspectKey([u8; KEY_BYTES]);

impl SuspectKey {
    /// Computes the key of a request.
    pub fn of_request(input: &FingerprintInput) -> Self {
        Self::hash(&[
            input.workspace.as_bytes(),
            input.method.as_bytes(),
            input.host.as_bytes(),
            input.target.as_bytes(),
            input.body,
        ])
    }

    /// Computes the key of a part of prompts at a service.
    pub fn of_part(service: &str, part: u64) -> Self {
        let mut key = Self::hash(&[service.as_bytes(), &part.to_le_bytes()]);
        key.0[..PART_PREFIX.len()].copy_from_slice(&PART_PREFIX);
        key
    }

    /// Computes the keys of the parts of a prompt that other prompts may share: all but the last
    /// one, without duplicates. Of a prompt with many parts, only the first and the last of these
    /// count, which bounds the work per request.
    pub fn of_shared_parts(service: &str, prompt: &[u64]) -> Vec<Self> {
        let shared = prompt.split_last().map_or(prompt, |(_, shared)| shared);
        let is_kept = |at: usize| at < MAX_PARTS / 2 || at + MAX_PARTS / 2 >= shared.len();
        let kept = (0..shared.len()).filter(|at| is_kept(*at));
        kept.fold(Vec::new(), |mut keys, at| {
            let key = Self::of_part(service, shared[at]);
            if !keys.contains(&key) {
                keys.push(key);
            }
            keys
        })
    }

    /// Returns what the key stands for.
    pub fn kind(self) -> SuspectKind {
        match self.0.starts_with(&PART_PREFIX) {
            true => SuspectKind::Part,
            false => SuspectKind::Request,
        }
    }

    fn hash(fields: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for field in fields {
            // The length prefix keeps adjacent fields distinct.
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        let hash = hasher.finalize();
        let mut key = [0; KEY_BYTES];
        key.copy_from_slice(&hash.as_bytes()[..KEY_BYTES]);
        Self(key)
    }

    /// Creates a key from raw bytes.
    pub const fn new(bytes: [u8; KEY_BYTES]) -> Self {
        Self(bytes)
    }
}

impl fmt::Display for SuspectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for SuspectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// The error for a text that is not a valid key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidSuspectKey;

impl FromStr for SuspectKey {
    type Err = InvalidSuspectKey;

    fn from_str(text: &str) -> Result<Self, InvalidSuspectKey> {
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != 2 * KEY_BYTES || !is_hex {
            return Err(InvalidSuspectKey);
        }
        let number = u128::from_str_radix(text, 16).map_err(|_| InvalidSuspectKey)?;
        Ok(Self(number.to_be_bytes()))
    }
}

#[cfg(test)]
mod tests;
