//! What makes two requests the same one, whoever takes them and whatever id they carry.
//!
//! A request that comes again has a new id. It is the same if its caller asks the same target for the
//! same with the same body. The fingerprint is a cryptographic hash, so that no caller can make a request
//! that is taken for another one's.
//!
//! ```
//! use dockgate_core::gateway::{FingerprintInput, RequestFingerprint};
//!
//! let source = FingerprintInput { workspace: "captions", method: "POST", host: "h", target: "/a?q=1", body: b"x" };
//! let fingerprint = RequestFingerprint::of(&source);
//! assert_eq!(fingerprint, RequestFingerprint::of(&source));
//! assert_ne!(fingerprint, RequestFingerprint::of(&FingerprintInput { target: "/a?q=2", ..source }));
//! ```

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// How many bytes of the hash are kept: two requests that differ have the same with a chance of one in
/// 2^64 among 2^32 of them.
const FINGERPRINT_BYTES: usize = 16;

/// What the fingerprint of a request is made of.
#[derive(Debug, Clone, Copy)]
pub struct FingerprintInput<'a> {
    /// The workspace of its caller, or nothing where it has none.
    pub workspace: &'a str,
    /// The method.
    pub method: &'a str,
    /// The host that it was sent to.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// Names all sends of one request, however often it comes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestFingerprint([u8; FINGERPRINT_BYTES]);

impl RequestFingerprint {
    /// Derives the fingerprint of a request.
    pub fn of(source: &FingerprintInput) -> Self {
        let parts = [
            source.workspace.as_bytes(),
            source.method.as_bytes(),
            source.host.as_bytes(),
            source.target.as_bytes(),
            source.body,
        ];
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            // The length in front keeps a part from running into the next one.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let hash = hasher.finalize();
        let mut fingerprint = [0; FINGERPRINT_BYTES];
        fingerprint.copy_from_slice(&hash.as_bytes()[..FINGERPRINT_BYTES]);
        Self(fingerprint)
    }

    /// Makes a fingerprint of given bytes.
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

/// A text that is no fingerprint.
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
