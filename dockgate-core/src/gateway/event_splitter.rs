//! Splits a byte stream into complete server-sent events.
//!
//! Only complete events are passed on, so that a stream can resume at another endpoint after any
//! event without a gap or a repetition.

use std::ops::Range;

/// What the lines of an event say of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventKind {
    /// It has data and a numeric id.
    Numbered(u64),
    /// It has no numeric id.
    Unnumbered,
    /// It has several ids, data in several places, or an id without data: a line of it, or the empty
    /// line between two events, is damaged.
    Malformed,
    /// It has nothing but comments and reconnection times.
    Comment,
}

/// A complete event within the bytes returned by [`EventSplitter::push`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SplitEvent {
    /// What the event is.
    pub kind: EventKind,
    /// The range of the event in the bytes.
    pub range: Range<usize>,
}

/// Finds complete events in bytes that arrive in chunks.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
}

/// The fields found in the lines of an event.
#[derive(Debug, Clone, Copy, Default)]
struct EventFields {
    /// The number of ids.
    ids: usize,
    /// The last id, if it is a number.
    id: Option<u64>,
    /// The number of groups of adjacent lines with data.
    data_groups: usize,
    /// Whether the last field was data.
    is_in_data: bool,
    /// Whether there are fields other than ids, data and reconnection times.
    has_others: bool,
}

impl EventFields {
    fn of(event: &[u8]) -> Self {
        let mut fields = Self::default();
        for line in event.split(|byte| *byte == b'\n') {
            fields.add(line.strip_suffix(b"\r").unwrap_or(line));
        }
        fields
    }

    fn add(&mut self, line: &[u8]) {
        let colon = line.iter().position(|byte| *byte == b':');
        let name = &line[..colon.unwrap_or(line.len())];
        let value = colon.map_or(&[][..], |colon| &line[colon + 1..]);
        let is_data = name == b"data";
        match name {
            // Comments have an empty name.
            b"" => return,
            b"data" => self.data_groups += usize::from(!self.is_in_data),
            b"id" => {
                self.ids += 1;
                self.id = number_in(value);
            }
            b"retry" => {}
            _ => self.has_others = true,
        }
        self.is_in_data = is_data;
    }

    const fn kind(self) -> EventKind {
        match self {
            Self {
                ids: 0,
                data_groups: 0,
                has_others: false,
                ..
            } => EventKind::Comment,
            Self { ids: 2.., .. }
            | Self {
                data_groups: 2.., ..
            }
            | Self {
                ids: 1,
                data_groups: 0,
                ..
            } => EventKind::Malformed,
            Self { id: Some(id), .. } => EventKind::Numbered(id),
            Self { id: None, .. } => EventKind::Unnumbered,
        }
    }
}

fn number_in(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Returns the length of the first complete event, including its empty line.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut start = 0;
    loop {
        let length = bytes[start..].iter().position(|byte| *byte == b'\n')?;
        let line = &bytes[start..start + length];
        let end = start + length + 1;
        match line {
            b"" | b"\r" => return Some(end),
            _ => start = end,
        }
    }
}

impl EventSplitter {
    /// The maximum number of bytes buffered for an incomplete event.
    pub const MAX_EVENT_BYTES: usize = 64 << 10;

    /// Adds bytes, and returns the bytes of all complete events and the events in them.
    pub fn push(&mut self, bytes: &[u8]) -> (Vec<u8>, Vec<SplitEvent>) {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = event_length(&self.buffer[start..]) {
            let range = start..start + length;
            let kind = EventFields::of(&self.buffer[range.clone()]).kind();
            events.push(SplitEvent { kind, range });
            start += length;
        }
        let partial = self.buffer.split_off(start);
        let complete = std::mem::replace(&mut self.buffer, partial);
        (complete, events)
    }

    /// Returns whether the bytes so far end within an event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns whether the incomplete event is longer than [`Self::MAX_EVENT_BYTES`].
    pub fn is_event_too_long(&self) -> bool {
        self.buffer.len() > Self::MAX_EVENT_BYTES
    }
}

#[cfg(test)]
mod tests;
