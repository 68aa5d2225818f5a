//! Decides which requests a stopping box still accepts.
//!
//! A request is always accepted if its deadline precedes the end of the process. Shortly after the
//! stop began, callers and the load balancer cannot know of it yet: in that time, a predicted
//! duration is sufficient. Later, a wrong prediction would break off a request whose caller could
//! have used another box.
//!
//! ```
//! use dockgate_core::gateway::StopWindow;
//!
//! let window = StopWindow::new(1_000, 7_600);
//! assert!(window.admits(5_000, 3_000, None));
//! assert!(window.admits(1_500, 9_000, Some(4_000)));
//! assert!(!window.admits(5_000, 9_000, Some(1_000)), "a prediction is no bound");
//! ```

/// The time from the signal to stop until the process ends, in milliseconds of the daemon's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopWindow {
    began_ms: u64,
    end_ms: u64,
}

impl StopWindow {
    /// The time before the end at which requests without an answer are answered by the box, in
    /// milliseconds: sufficient to write the answers.
    pub const FINAL_ANSWER_MS: u64 = 200;
    /// The longest time in which callers and the load balancer cannot have noticed the stop, in
    /// milliseconds: readiness is checked once a second, and two failures take a box out.
    const MAX_NOTICE_MS: u64 = 2_000;
    /// The largest part of the window that this time takes, as a divisor.
    const NOTICE_DIVISOR: u64 = 4;
    /// The margin of a predicted duration, as a divisor of it.
    const PREDICTION_MARGIN_DIVISOR: u64 = 4;

    /// Creates the window of a stop that begins now; the process ends after `grace_ms`.
    pub const fn new(now_ms: u64, grace_ms: u64) -> Self {
        Self {
            began_ms: now_ms,
            end_ms: now_ms + grace_ms,
        }
    }

    /// Returns the time since the stop began, in milliseconds.
    pub const fn elapsed_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.began_ms)
    }

    /// Returns whether the process ends, and aborts the requests in progress.
    pub const fn is_past_end(&self, now_ms: u64) -> bool {
        now_ms >= self.end_ms
    }

    /// Returns the time at which requests without an answer are answered by the box.
    const fn final_answer_ms(&self) -> u64 {
        let latest_ms = self.end_ms.saturating_sub(Self::FINAL_ANSWER_MS);
        match latest_ms > self.began_ms {
            true => latest_ms,
            false => self.began_ms,
        }
    }

    /// Returns the time until which callers cannot have noticed the stop.
    const fn noticed_ms(&self) -> u64 {
        let part_ms = (self.end_ms - self.began_ms) / Self::NOTICE_DIVISOR;
        let notice_ms = match part_ms < Self::MAX_NOTICE_MS {
            true => part_ms,
            false => Self::MAX_NOTICE_MS,
        };
        self.began_ms + notice_ms
    }

    /// Returns whether a request is accepted.
    ///
    /// `time_left_ms` is the time until its deadline, `predicted_ms` its predicted duration if there
    /// is one.
    pub fn admits(&self, now_ms: u64, time_left_ms: u64, predicted_ms: Option<u64>) -> bool {
        let ends_in_time =
            |duration_ms: u64| now_ms.saturating_add(duration_ms) <= self.final_answer_ms();
        let with_margin = |predicted_ms: u64| {
            predicted_ms.saturating_add(predicted_ms / Self::PREDICTION_MARGIN_DIVISOR)
        };
        match predicted_ms.map(with_margin) {
            _ if ends_in_time(time_left_ms) => true,
            Some(predicted_ms) if now_ms < self.noticed_ms() => ends_in_time(predicted_ms),
            _ => false,
        }
    }
}

#[cfg(test)]
mod tests;
