//! The shape of a prompt as declared by its caller: its parts and its token counts.

use serde::{Deserialize, Serialize};

/// A part of a prompt that other prompts may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Identifies the content.
    pub id: u64,
    /// The length in tokens.
    pub tokens: u32,
}

/// The shape of a prompt, without its text.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptShape {
    /// The requested model.
    pub model: String,
    /// The number of tokens of the whole prompt.
    pub input: u32,
    /// The expected number of output tokens.
    pub output: u32,
    /// The maximum number of output tokens.
    pub max_output: u32,
    /// The parts in order; the last one is private to this request or its session.
    pub parts: Vec<PromptPart>,
}

impl PromptShape {
    /// The cost of an output token in service units; a prompt token costs one.
    const OUTPUT_TOKEN_UNITS: u32 = 2;
    /// The time per output token at an engine that also prefills prompts, in milliseconds: a
    /// step takes 6 ms alone and 32 ms with a piece of a prompt.
    const OUTPUT_TOKEN_MS: u64 = 25;

    /// Returns the parts that other requests may share: all but the last one.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the number of tokens in the shared parts.
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// Returns the key that requests with a common prefix share: the id of the last shared part, or
    /// of the last part if none is shared.
    pub fn affinity_key(&self) -> Option<u64> {
        let part = self.shared_parts().last().or_else(|| self.parts.last());
        part.map(|part| part.id)
    }

    /// Returns the longest time from the first to the last event of an answer, in milliseconds.
    pub const fn max_output_ms(&self) -> u64 {
        self.max_output as u64 * Self::OUTPUT_TOKEN_MS
    }

    /// Returns the cost in the service units that fair shares are measured in.
    pub const fn units(&self) -> u64 {
        self.input as u64 + (self.output * Self::OUTPUT_TOKEN_UNITS) as u64
    }
}
