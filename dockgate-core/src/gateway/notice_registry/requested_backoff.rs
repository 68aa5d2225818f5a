//! A rest that an endpoint asked for, and how work comes back to it after that.

use std::time::Duration;

/// The time in which an endpoint wants nothing from this box.
///
/// It ends with its time alone: an answer says nothing of it, as it may have been under way before, and a failure does
/// not shorten it. All boxes were told the same time, and callers come back together, so what comes first after it
/// would be turned away in a wave again. So each box waits a little longer, by chance, and sends one request ahead.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RequestedBackoff {
    until_ms: u64,
    /// Whether nothing was answered since it ended.
    is_untried: bool,
    /// Until when other requests wait for the one that was sent ahead.
    trial_until_ms: u64,
}

impl RequestedBackoff {
    /// The longest rest that is given: a bound against an endpoint, or something before it, that asks for what nobody
    /// can have meant. Beyond it one request asks again.
    const MOST: Duration = Duration::from_hours(1);
    /// By which part of the rest boxes end it later, by chance.
    const SPREAD_PART: f64 = 0.1;
    /// By how much they do at most.
    const MOST_SPREAD: Duration = Duration::from_millis(300);
    /// How long, in milliseconds, others wait for the one that was sent ahead: an endpoint that turns away does so at
    /// once. A bound.
    const TRIAL_MS: u64 = 100;

    /// Rests for so long from now on, unless that is over before the rest it has; `draw` is a random number from 0 to 1.
    pub(super) fn request(&mut self, rest: Duration, now_ms: u64, draw: f64) {
        let rest = rest.min(Self::MOST);
        let spread = rest.mul_f64(Self::SPREAD_PART).min(Self::MOST_SPREAD);
        let rest = rest + spread.mul_f64(draw.clamp(0.0, 1.0));
        self.until_ms = self.until_ms.max(now_ms + rest.as_millis() as u64);
        self.is_untried = true;
        self.trial_until_ms = 0;
    }

    /// Returns how much of it is left, where any is.
    pub(super) fn remaining(&self, now_ms: u64) -> Option<Duration> {
        let left_ms = self.until_ms.saturating_sub(now_ms);
        (left_ms > 0).then(|| Duration::from_millis(left_ms))
    }

    /// Tells whether another request may go there now.
    pub(super) fn may_send(&self, now_ms: u64) -> bool {
        now_ms >= self.until_ms.max(self.trial_until_ms)
    }

    /// Notes that a request goes there.
    pub(super) fn note_sent(&mut self, now_ms: u64) {
        if self.is_untried {
            self.trial_until_ms = now_ms + Self::TRIAL_MS;
        }
    }

    /// Notes that the endpoint answered a request.
    pub(super) fn note_answered(&mut self, now_ms: u64) {
        if now_ms >= self.until_ms {
            self.is_untried = false;
            self.trial_until_ms = 0;
        }
    }
}
