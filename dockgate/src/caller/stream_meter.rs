//! Measures an answer as it passes: events of a stream, usage, the end mark.

use dockgate_core::CostRule;
use serde::Deserialize;

const DATA: &[u8] = b"data:";
const DONE: &[u8] = b"[DONE]";
/// The longest line that is kept to be looked at, in bytes.
const MAX_LINE: usize = 16 << 10;
/// Bytes that a token takes on average in English text.
const BYTES_PER_TOKEN: u64 = 4;

/// What a chat-completions answer says of itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
struct ChatUsage {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
}

#[derive(Debug, Deserialize)]
struct UsageHolder {
    usage: Option<ChatUsage>,
}

/// Follows a stream of endpoint-sent events without keeping it.
#[derive(Debug, Default)]
pub(super) struct StreamMeter {
    line: Vec<u8>,
    events: u64,
    usage: Option<ChatUsage>,
    done: bool,
}

impl StreamMeter {
    /// Takes in the next bytes.
    pub(super) fn feed(&mut self, bytes: &[u8]) {
        let mut start = 0;
        for end in memchr::memchr_iter(b'\n', bytes) {
            self.keep(&bytes[start..end]);
            self.end_line();
            start = end + 1;
        }
        self.keep(&bytes[start..]);
    }

    fn keep(&mut self, bytes: &[u8]) {
        let room = MAX_LINE.saturating_sub(self.line.len());
        self.line.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        match line.strip_prefix(DATA).map(<[u8]>::trim_ascii) {
            Some(DONE) => self.done = true,
            Some(data) => self.read_event(data),
            None => {}
        }
    }

    fn read_event(&mut self, data: &[u8]) {
        self.events += 1;
        // Only the last event of a stream holds usage; looking for the word spares the parsing.
        if memchr::memmem::find(data, b"\"usage\":{").is_some() {
            let holder = serde_json::from_slice::<UsageHolder>(data).ok();
            self.usage = holder.and_then(|holder| holder.usage).or(self.usage);
        }
    }

    /// Returns how many events have passed, the end mark not counted.
    pub(super) const fn events(&self) -> u64 {
        self.events
    }

    /// Tells whether the end mark has passed.
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

/// Returns the cost of a whole answer, in service units; where it does not tell its usage, the
/// tokens are taken from its length.
pub(super) fn whole_cost(body: &[u8], rule: &CostRule) -> f64 {
    let holder = serde_json::from_slice::<UsageHolder>(body).ok();
    let usage = holder.and_then(|holder| holder.usage).unwrap_or(ChatUsage {
        prompt_tokens: 0,
        completion_tokens: body.len() as u64 / BYTES_PER_TOKEN,
    });
    usage_cost(usage, rule)
}

#[cfg(test)]
mod tests;
