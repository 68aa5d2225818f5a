//! Fingerprints that identify a request across retries and boxes.
//!
//! A repeated request has a new id. It counts as the same request if the same workspace sends the
//! same body with the same method to the same target. The fingerprint is a cryptographic hash, so
//! that no caller can forge a collision with another caller's request.
//!
//! ```
//! use dockgate_core::gateway::{FingerprintInput, RequestFingerprint};
//!
//! let input = FingerprintInput {
//!     workspace: "captions",
//!     method: "POST",
//!     host: "h",
//!     target: "/a?q=1",
//!     body: b"x",
//! };
//! let fingerprint = RequestFingerprint::of(&input);
//! assert_eq!(fingerprint, RequestFingerprint::of(&input));
//! let other = FingerprintInput { target: "/a?q=2", ..input };
//! assert_ne!(fingerprint, RequestFingerprint::of(&other));
//! ```

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// The length of the truncated hash in bytes, which makes accidental collisions negligible: among
/// 2^32 requests, two that differ have the same one with a chance of one in 2^64.
const FINGERPRINT_BYTES: usize = 16;

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

/// Identifies a request across retries and boxes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestFingerprint([u8; FINGERPRINT_BYTES]);

impl RequestFingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(input: &FingerprintInput) -> Self {
        let parts = [
            input.workspace.as_bytes(),
            input.method.as_bytes(),
            input.host.as_bytes(),
            input.target.as_bytes(),
            input.body,
        ];
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            // The length prefix keeps adjacent parts distinct.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let hash = hasher.finalize();
        let mut fingerprint = [0; FINGERPRINT_BYTES];
        fingerprint.copy_from_slice(&hash.as_bytes()[..FINGERPRINT_BYTES]);
        Self(fingerprint)
    }

    /// Creates a fingerprint from raw bytes.
    pub const fn new(bytes: [u8; FINGERPRINT_BYTES]) -> Self {
        Self(bytes)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// The error for a text that is not a valid fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidFingerprint;

impl FromStr for RequestFingerprint {
    type Err = InvalidFingerprint;

    fn from_str(text: &str) -> Result<Self, InvalidFingerprint> {
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != 2 * FINGERPRINT_BYTES || !is_hex {
            return Err(InvalidFingerprint);
        }
        let number = u128::from_str_radix(text, 16).map_err(|_| InvalidFingerprint)?;
        Ok(Self(number.to_be_bytes()))
    }
}

#[cfg(test)]
mod tests;
