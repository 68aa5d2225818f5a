//! Messages between operators and gateways about requests in quarantine.

use serde::{Deserialize, Serialize};

/// Requests the list of requests in quarantine, optionally after releasing one of them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRequest {
    /// The fingerprint of the request to release.
    pub release: Option<String>,
}

/// One request in quarantine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRow {
    /// The fingerprint of the request, as in log lines.
    #[serde(rename = "print")]
    pub fingerprint: String,
    /// The time since it was quarantined or last tried, in milliseconds.
    pub age_ms: u64,
    /// The number of trials so far.
    pub trials: u8,
    /// The time until the next trial, in milliseconds; `None` after the last trial.
    pub next_trial_ms: Option<u64>,
}

/// The requests in quarantine, as known to one box.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineAnswer {
    /// The requests, latest first.
    pub requests: Vec<QuarantineRow>,
}
