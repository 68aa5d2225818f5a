//! Hashes of API keys. The keys themselves are never stored.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use subtle::ConstantTimeEq;

/// The BLAKE3 hash of a workspace's API key.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash([u8; 32]);

quick_error! {
    /// An error from parsing a key hash.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum KeyHashError {
        /// The text is not a 64-digit hexadecimal number.
        Malformed {
            display("a key hash is 64 hexadecimal digits, as `dockgatectl hash-key` prints")
        }
    }
}

impl KeyHash {
    /// Hashes an API key. Keys are long random strings, so a fast hash is sufficient.
    pub fn of(api_key: &str) -> Self {
        Self(*blake3::hash(api_key.as_bytes()).as_bytes())
    }

    /// Compares two hashes in constant time.
    pub fn matches(self, other: Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for KeyHash {
    type Err = KeyHashError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        blake3::Hash::from_hex(text)
            .map(|hash| Self(*hash.as_bytes()))
            .map_err(|_| KeyHashError::Malformed)
    }
}

impl TryFrom<String> for KeyHash {
    type Error = KeyHashError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> Self {
        hash.to_string()
    }
}
