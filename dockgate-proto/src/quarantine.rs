//! What an operator asks a gateway about requests in quarantine.

use serde::{Deserialize, Serialize};

/// Asks for the requests in quarantine, after one of them was released where that is wanted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRequest {
    /// The print of the request to release.
    pub release: Option<String>,
}

/// One request in quarantine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRow {
    /// Its print, as it stands in log lines.
    #[serde(rename = "print")]
    pub fingerprint: String,
    /// How long ago it went there, or was tried last, in milliseconds.
    pub age_ms: u64,
    /// How many trials it has had.
    pub trials: u8,
    /// After how many milliseconds the next one may be; none where there were all.
    pub next_trial_ms: Option<u64>,
}

/// The requests in quarantine, as one box knows them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineAnswer {
    /// The requests, the latest first.
    pub requests: Vec<QuarantineRow>,
}
