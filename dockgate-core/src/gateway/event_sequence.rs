//! Decides which events of a stream are forwarded, so that its caller gets each exactly once.
//!
//! The id of an event is its number in the stream. The sequence is the only account of what the
//! caller has received: an endpoint that continues the stream is asked for what follows the last
//! forwarded event, and an event that does not follow it is not forwarded.
//!
//! ```
//! use dockgate_core::gateway::{EventFault, EventKind, EventSequence, EventVerdict};
//!
//! let mut sequence = EventSequence::after(0);
//! assert_eq!(sequence.judge(EventKind::Numbered(1)), EventVerdict::Forward);
//! let gap = EventVerdict::Reject(EventFault::Gap);
//! assert_eq!(sequence.judge(EventKind::Numbered(3)), gap);
//! assert_eq!(sequence.resume_point(), Some(1));
//! ```

use super::event_splitter::EventKind;

/// Why an event is not forwarded, and the stream is not read on from its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventFault {
    /// Events before it are missing.
    Gap,
    /// Its id does not rise.
    OutOfOrder,
    /// It has no numeric id.
    Unnumbered,
    /// Its lines are damaged.
    Malformed,
}

impl EventFault {
    /// Returns the name of the fault in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Gap => "gap",
            Self::OutOfOrder => "out_of_order",
            Self::Unnumbered => "unnumbered",
            Self::Malformed => "malformed",
        }
    }
}

/// What is done with an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventVerdict {
    /// It is forwarded.
    Forward,
    /// The caller has received it from another endpoint; it is skipped.
    Repeated,
    /// Neither it nor anything behind it is forwarded.
    Reject(EventFault),
}

/// What is known of the numbers of a stream's events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EventNumbering {
    /// The event with this number is the last one that the caller has received.
    Known(u64),
    /// The ids need not be numbers, and the first may be any.
    Unknown,
}

/// Tracks the events of a stream over all endpoints that send parts of it.
#[derive(Debug, Clone, Copy)]
pub struct EventSequence {
    numbering: EventNumbering,
    /// The number of the last event that the current endpoint has sent.
    source_last: Option<u64>,
    /// Whether the current endpoint has sent an event that was forwarded.
    has_forwarded: bool,
}

impl EventSequence {
    const fn new(numbering: EventNumbering) -> Self {
        Self {
            numbering,
            source_last: None,
            has_forwarded: false,
        }
    }

    /// Creates the sequence of a stream that may be continued, of which the caller has received the
    /// events up to `last`; 0 if it has none.
    pub const fn after(last: u64) -> Self {
        Self::new(EventNumbering::Known(last))
    }

    /// Creates the sequence of a stream that can't be continued, since it is not known after which
    /// event.
    pub const fn unknown() -> Self {
        Self::new(EventNumbering::Unknown)
    }

    /// Returns the number of the last event that the caller has received, after which another
    /// endpoint may continue; `None` if it is not known.
    pub const fn resume_point(&self) -> Option<u64> {
        match self.numbering {
            EventNumbering::Known(last) => Some(last),
            EventNumbering::Unknown => None,
        }
    }

    /// Records that another endpoint continues the stream.
    pub const fn change_source(&mut self) {
        self.source_last = None;
        self.has_forwarded = false;
    }

    /// Returns whether the endpoint has sent nothing but events that the caller has received. An
    /// endpoint that continues a stream does not send them, so a last event may hide behind a wrong
    /// id.
    pub const fn has_only_repeated(&self) -> bool {
        self.source_last.is_some() && !self.has_forwarded
    }

    /// Decides what is done with the next event of the current endpoint.
    pub fn judge(&mut self, kind: EventKind) -> EventVerdict {
        let verdict = match (self.numbering, kind) {
            (_, EventKind::Comment) => return EventVerdict::Forward,
            (EventNumbering::Unknown, EventKind::Unnumbered | EventKind::Malformed) => {
                self.source_last = None;
                EventVerdict::Forward
            }
            (EventNumbering::Known(_), EventKind::Unnumbered) => {
                EventVerdict::Reject(EventFault::Unnumbered)
            }
            (EventNumbering::Known(_), EventKind::Malformed) => {
                EventVerdict::Reject(EventFault::Malformed)
            }
            (_, EventKind::Numbered(number)) => self.judge_number(number),
        };
        self.has_forwarded |= verdict == EventVerdict::Forward;
        verdict
    }

    fn judge_number(&mut self, number: u64) -> EventVerdict {
        let verdict = match (self.source_last, self.numbering) {
            (Some(last), _) if number <= last => EventVerdict::Reject(EventFault::OutOfOrder),
            (Some(last), _) if number > last + 1 => EventVerdict::Reject(EventFault::Gap),
            (_, EventNumbering::Known(_)) if number == 0 => {
                EventVerdict::Reject(EventFault::OutOfOrder)
            }
            (_, EventNumbering::Known(last)) if number <= last => EventVerdict::Repeated,
            (_, EventNumbering::Known(last)) if number > last.saturating_add(1) => {
                EventVerdict::Reject(EventFault::Gap)
            }
            (_, EventNumbering::Known(_)) => {
                self.numbering = EventNumbering::Known(number);
                EventVerdict::Forward
            }
            (_, EventNumbering::Unknown) => EventVerdict::Forward,
        };
        if !matches!(verdict, EventVerdict::Reject(_)) {
            self.source_last = Some(number);
        }
        verdict
    }
}

#[cfg(test)]
mod tests;
