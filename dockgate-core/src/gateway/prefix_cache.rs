//! A least-recently-used model of the prefix cache of an engine.
//!
//! A part is usable only if every part before it is cached as well, so a part is identified by the
//! hash of the whole chain up to it.

use super::prompt_shape::PromptPart;
use std::collections::{BTreeMap, HashMap};
use xxhash_rust::xxh3::xxh3_64_with_seed;

#[derive(Debug, Clone, Copy)]
struct CachedPart {
    tokens: u32,
    last_use: u64,
}

/// The estimated content of one engine's prefix cache.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    parts: HashMap<u64, CachedPart>,
    by_use: BTreeMap<u64, u64>,
    uses: u64,
    tokens: u64,
}

/// Returns the chain hash and the number of tokens of each part.
fn chain_keys(parts: &[PromptPart]) -> impl Iterator<Item = (u64, u32)> {
    parts.iter().scan(0, |chain, part| {
        *chain = xxh3_64_with_seed(&part.id.to_le_bytes(), *chain);
        Some((*chain, part.tokens))
    })
}

impl PrefixCache {
    /// Returns the number of leading tokens of a prompt that are cached.
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> u32 {
        chain_keys(parts)
            .take_while(|(key, _)| self.parts.contains_key(key))
            .map(|(_, tokens)| tokens)
            .sum()
    }

    /// Adds the parts of a prompt, and evicts the least recently used ones above `capacity` tokens.
    pub fn insert(&mut self, parts: &[PromptPart], capacity: u64) {
        let keys: Vec<(u64, u32)> = chain_keys(parts).collect();
        // Marks the first parts as used last, so that a chain is evicted from its end.
        for (key, tokens) in keys.into_iter().rev() {
            self.touch(key, tokens);
        }
        while self.tokens > capacity {
            let Some((_, key)) = self.by_use.pop_first() else {
                return;
            };
            self.remove_part(key);
        }
    }

    fn touch(&mut self, key: u64, tokens: u32) {
        if let Some(old) = self.parts.get(&key).copied() {
            self.by_use.remove(&old.last_use);
            self.remove_part(key);
        }
        self.uses += 1;
        self.tokens += u64::from(tokens);
        self.by_use.insert(self.uses, key);
        self.parts.insert(
            key,
            CachedPart {
                tokens,
                last_use: self.uses,
            },
        );
    }

    fn remove_part(&mut self, key: u64) {
        if let Some(part) = self.parts.remove(&key) {
            self.tokens -= u64::from(part.tokens);
        }
    }

    /// Returns the estimated number of cached tokens.
    pub const fn tokens(&self) -> u64 {
        self.tokens
    }
}

#[cfg(test)]
mod tests;
