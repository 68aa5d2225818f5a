//! Splits a byte stream into complete server-sent events.
//!
//! Only complete events are passed on, so that a stream can resume at another endpoint after any
//! event without a gap or a repetition.

use std::ops::Range;

/// A complete event within the bytes returned by [`EventSplitter::push`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SplitEvent {
    /// The numeric id, if the event has one.
    pub id: Option<u64>,
    /// The range of the event in the bytes.
    pub range: Range<usize>,
}

/// Finds complete events in bytes that arrive in chunks.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
}

/// Returns the numeric id in a line of an event, if it has one.
fn id_of_line(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    let value = std::str::from_utf8(value).ok()?;
    value.trim().parse().ok()
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
    ///
    /// Returns `None` if an incomplete event is longer than [`Self::MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Option<(Vec<u8>, Vec<SplitEvent>)> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = event_length(&self.buffer[start..]) {
            let range = start..start + length;
            let lines = self.buffer[range.clone()].split(|byte| *byte == b'\n');
            let id = lines.filter_map(id_of_line).next();
            events.push(SplitEvent { id, range });
            start += length;
        }
        let partial = self.buffer.split_off(start);
        let complete = std::mem::replace(&mut self.buffer, partial);
        (self.buffer.len() <= Self::MAX_EVENT_BYTES).then_some((complete, events))
    }

    /// Returns whether the bytes so far end within an event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

#[cfg(test)]
mod tests;
