//! What a caller says of a prompt: its parts, and how many tokens go in and out.

use serde::{Deserialize, Serialize};

/// A part of a prompt that other prompts may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Names its content.
    pub id: u64,
    /// How long it is, in tokens.
    pub tokens: u32,
}

/// The shape of a prompt, without its text.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptShape {
    /// The model that is asked for.
    pub model: String,
    /// Tokens of the whole prompt.
    pub input: u32,
    /// Tokens expected to be made.
    pub output: u32,
    /// The most tokens that may be made.
    pub max_output: u32,
    /// The parts in order; the last belongs to this request or its session alone.
    pub parts: Vec<PromptPart>,
}

impl PromptShape {
    /// How many units a token that is made costs, against one that is read.
    const MADE_UNITS: u32 = 2;
    /// How long making one token takes beside prompts that are read, in milliseconds: a step takes
    /// 6 ms alone and 32 ms with a piece of a prompt.
    const TOKEN_MS: u64 = 25;

    /// Returns the parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns how many tokens the shared parts hold.
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// Returns what names the subject: the last shared part, else the last of all.
    pub fn affinity_key(&self) -> Option<u64> {
        let part = self.shared_parts().last().or_else(|| self.parts.last());
        part.map(|part| part.id)
    }

    /// Returns how long the answer may take from its first event to its last, in milliseconds.
    pub const fn max_output_ms(&self) -> u64 {
        self.max_output as u64 * Self::TOKEN_MS
    }

    /// Returns the service units that fair shares are counted in.
    pub const fn units(&self) -> u64 {
        self.input as u64 + (self.output * Self::MADE_UNITS) as u64
    }
}
