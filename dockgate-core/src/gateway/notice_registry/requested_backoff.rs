//! A backoff that an endpoint requested, and the probe that follows it.

use std::time::Duration;

/// The time during which an endpoint wants no requests from this box.
///
/// Only the passing of that time ends it: an answer may belong to an earlier request, and a failure
/// does not shorten it. All boxes receive the same time and callers retry together, so the first
/// requests afterwards could be refused all at once again. Each box therefore adds a random delay
/// and first sends a single request as a probe.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RequestedBackoff {
    until_ms: u64,
    /// Whether no request was answered since the backoff ended.
    needs_probe: bool,
    /// Until when other requests wait for the probe.
    probe_until_ms: u64,
}

impl RequestedBackoff {
    /// The longest backoff that is honored, against implausible requests.
    const MAX_BACKOFF: Duration = Duration::from_hours(1);
    /// The maximum random delay as a part of the backoff.
    const JITTER_PART: f64 = 0.1;
    /// The upper bound of the random delay.
    const MAX_JITTER: Duration = Duration::from_millis(300);
    /// How long other requests wait for the probe, in milliseconds; an endpoint that refuses it
    /// does so at once.
    const PROBE_MS: u64 = 100;

    /// Starts a backoff, or extends the current one if the new one ends later. `draw` is a random
    /// number from 0 to 1.
    pub(super) fn request(&mut self, backoff: Duration, now_ms: u64, draw: f64) {
        let backoff = backoff.min(Self::MAX_BACKOFF);
        let jitter = backoff.mul_f64(Self::JITTER_PART).min(Self::MAX_JITTER);
        let backoff = backoff + jitter.mul_f64(draw.clamp(0.0, 1.0));
        self.until_ms = self.until_ms.max(now_ms + backoff.as_millis() as u64);
        self.needs_probe = true;
        self.probe_until_ms = 0;
    }

    /// Returns the remaining time, or `None` if the backoff is over.
    pub(super) fn remaining(&self, now_ms: u64) -> Option<Duration> {
        let remaining_ms = self.until_ms.saturating_sub(now_ms);
        (remaining_ms > 0).then(|| Duration::from_millis(remaining_ms))
    }

    /// Returns whether another request may be sent now.
    pub(super) fn may_send(&self, now_ms: u64) -> bool {
        now_ms >= self.until_ms.max(self.probe_until_ms)
    }

    /// Records that a request is sent.
    pub(super) fn note_sent(&mut self, now_ms: u64) {
        if self.needs_probe {
            self.probe_until_ms = now_ms + Self::PROBE_MS;
        }
    }

    /// Records that the endpoint answered a request.
    pub(super) fn note_answered(&mut self, now_ms: u64) {
        if now_ms >= self.until_ms {
            self.needs_probe = false;
            self.probe_until_ms = 0;
        }
    }
}
