//! Measures the cost of chat-completions responses: events, token usage and the end marker.

use dockgate_core::CostRule;
use serde::Deserialize;

const DATA_FIELD: &[u8] = b"data:";
const END_MARKER: &[u8] = b"[DONE]";
/// Upper bound of a line that is parsed, in bytes; the remainder of a longer line is ignored.
const MAX_LINE_BYTES: usize = 16 << 10;
/// The average length of a token in English text.
const BYTES_PER_TOKEN: u64 = 4;

/// The token usage that an engine reports in a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
struct ChatUsage {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
}

#[derive(Debug, Deserialize)]
struct UsageEnvelope {
    usage: Option<ChatUsage>,
}

/// Measures a stream of server-sent events without buffering it.
#[derive(Debug, Default)]
pub(super) struct StreamMeter {
    line: Vec<u8>,
    events: u64,
    usage: Option<ChatUsage>,
    done: bool,
}

impl StreamMeter {
    /// Processes the next bytes of the stream.
    pub(super) fn feed(&mut self, bytes: &[u8]) {
        let mut start = 0;
        for end in memchr::memchr_iter(b'\n', bytes) {
            self.append_to_line(&bytes[start..end]);
            self.finish_line();
            start = end + 1;
        }
        self.append_to_line(&bytes[start..]);
    }

    fn append_to_line(&mut self, bytes: &[u8]) {
        let free_bytes = MAX_LINE_BYTES.saturating_sub(self.line.len());
        self.line
            .extend_from_slice(&bytes[..bytes.len().min(free_bytes)]);
    }

    fn finish_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        match line.strip_prefix(DATA_FIELD).map(<[u8]>::trim_ascii) {
            Some(END_MARKER) => self.done = true,
            Some(data) => self.read_event(data),
            None => {}
        }
    }

    fn read_event(&mut self, data: &[u8]) {
        self.events += 1;
        // Only the last event of a stream holds usage; the others are not parsed.
        if memchr::memmem::find(data, b"\"usage\":{").is_some() {
            let envelope = serde_json::from_slice::<UsageEnvelope>(data).ok();
            self.usage = envelope.and_then(|envelope| envelope.usage).or(self.usage);
        }
    }

    /// Returns the number of events so far, without the end marker.
    pub(super) const fn events(&self) -> u64 {
        self.events
    }

    /// Returns whether the end marker was seen.
    pub(super) const fn is_done(&self) -> bool {
        self.done
    }

    /// Returns the cost so far, in service units.
    pub(super) fn cost(&self, rule: &CostRule) -> f64 {
        let usage = self.usage.unwrap_or(ChatUsage {
            prompt_tokens: 0,
            completion_tokens: self.events,
        });
        usage_cost(usage, rule)
    }
}

fn usage_cost(usage: ChatUsage, rule: &CostRule) -> f64 {
    usage.prompt_tokens as f64 * rule.input_weight
        + usage.completion_tokens as f64 * rule.output_weight
}

/// Returns the cost of a response that is not streamed, in service units.
///
/// Estimates the tokens from the length of the body if it does not report its usage.
pub(super) fn buffered_cost(body: &[u8], rule: &CostRule) -> f64 {
    let envelope = serde_json::from_slice::<UsageEnvelope>(body).ok();
    let usage = envelope
        .and_then(|envelope| envelope.usage)
        .unwrap_or(ChatUsage {
            prompt_tokens: 0,
            completion_tokens: body.len() as u64 / BYTES_PER_TOKEN,
        });
    usage_cost(usage, rule)
}

#[cfg(test)]
mod tests;
