//! What makes two requests the same one, whoever takes them and whatever id they carry.
//!
//! A request that comes again has a new id. It is the same if its caller asks the same target for the
//! same with the same body. The print is a cryptographic hash, so that no caller can make a request
//! that is taken for another one's.
//!
//! ```
//! use dockgate_core::gateway::{PrintSource, RequestPrint};
//!
//! let source = PrintSource { workspace: "captions", method: "POST", host: "h", target: "/a?q=1", body: b"x" };
//! let print = RequestPrint::of(&source);
//! assert_eq!(print, RequestPrint::of(&source));
//! assert_ne!(print, RequestPrint::of(&PrintSource { target: "/a?q=2", ..source }));
//! ```

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// How many bytes of the hash are kept: two requests that differ have the same with a chance of one in
/// 2^64 among 2^32 of them.
const PRINT_BYTES: usize = 16;

/// What the print of a request is made of.
#[derive(Debug, Clone, Copy)]
pub struct PrintSource<'a> {
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
pub struct RequestPrint([u8; PRINT_BYTES]);

impl RequestPrint {
    /// Derives the print of a request.
    pub fn of(source: &PrintSource) -> Self {
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
        let mut print = [0; PRINT_BYTES];
        print.copy_from_slice(&hash.as_bytes()[..PRINT_BYTES]);
        Self(print)
    }

    /// Makes a print of given bytes.
    pub const fn new(bytes: [u8; PRINT_BYTES]) -> Self {
        Self(bytes)
    }
}

impl fmt::Display for RequestPrint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestPrint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// A text that is no print.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadPrint;

impl FromStr for RequestPrint {
    type Err = BadPrint;

    fn from_str(text: &str) -> Result<Self, BadPrint> {
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != 2 * PRINT_BYTES || !is_hex {
            return Err(BadPrint);
        }
        let number = u128::from_str_radix(text, 16).map_err(|_| BadPrint)?;
        Ok(Self(number.to_be_bytes()))
    }
}

#[cfg(test)]
mod tests;
