//! Messages between operators and gateways about requests and parts of prompts in quarantine.

use serde::{Deserialize, Serialize};

/// Requests the list of what is in quarantine, optionally after releasing one entry.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRequest {
    /// The fingerprint of the request, or the key of the part, to release.
    pub release: Option<String>,
}

/// A request, or a part of prompts, in quarantine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRow {
    /// The fingerprint of the request, or the key of the part, as in log lines.
    #[serde(rename = "print")]
    pub fingerprint: String,
    /// What it is: `request` or `part`.
    #[serde(default = "request_kind")]
    pub kind: String,
    /// The endpoints that ended while they ran it, as known to the box.
    #[serde(default)]
    pub endpoints: Vec<String>,
    /// The time since it was quarantined or last tried, in milliseconds.
    pub age_ms: u64,
    /// The number of trials so far.
    pub trials: u8,
    /// The time until the next trial, in milliseconds; `None` after the last trial.
    pub next_trial_ms: Option<u64>,
}

/// What boxes answer that know of requests only.
fn request_kind() -> String {
    "request".to_owned()
}

/// The requests and parts in quarantine, as known to one box.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineAnswer {
    /// The requests and parts.
    pub requests: Vec<QuarantineRow>,
}
