//! Cuts a stream of bytes into whole numbered events.
//!
//! Only whole events are passed on, so that a stream can go on at another endpoint after any of
//! them without a gap or a repetition.

use std::ops::Range;

/// One whole event inside the bytes that were pushed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SplitEvent {
    /// Its number, if it has one.
    pub id: Option<u64>,
    /// Where it stands in the bytes.
    pub range: Range<usize>,
}

/// Finds whole events in bytes that arrive in pieces.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
}

/// Returns the number that a line of an event states.
fn id_of_line(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    let value = std::str::from_utf8(value).ok()?;
    value.trim().parse().ok()
}

/// Returns the length of the first whole event: up to and with its empty line.
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
    /// The most bytes that one event may have; more is no event stream.
    pub const MAX_EVENT_BYTES: usize = 64 << 10;

    /// Adds bytes; returns the whole events that are there now, with the bytes that hold them.
    ///
    /// Returns none where an event is longer than [`Self::MAX_EVENT_BYTES`].
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
        let rest = self.buffer.split_off(start);
        let whole = std::mem::replace(&mut self.buffer, rest);
        (self.buffer.len() <= Self::MAX_EVENT_BYTES).then_some((whole, events))
    }

    /// Tells whether the bytes so far end inside an event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

#[cfg(test)]
mod tests;
