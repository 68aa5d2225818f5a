//! Which prompt parts an engine is believed to keep: a least-recently-used model of its cache.
//!
//! A part counts only if every part before it is kept as well, so a part is named by the hash of
//! the whole chain that leads to it.

use super::prompt_shape::PromptPart;
use std::collections::{BTreeMap, HashMap};
use xxhash_rust::xxh3::xxh3_64_with_seed;

#[derive(Debug, Clone, Copy)]
struct CachedPart {
    tokens: u32,
    used: u64,
}

/// The believed content of one engine's cache.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    parts: HashMap<u64, CachedPart>,
    by_use: BTreeMap<u64, u64>,
    uses: u64,
    tokens: u64,
}

/// Names each part by the chain that leads to it.
fn chain(parts: &[PromptPart]) -> impl Iterator<Item = (u64, u32)> {
    parts.iter().scan(0, |chain, part| {
        *chain = xxh3_64_with_seed(&part.id.to_le_bytes(), *chain);
        Some((*chain, part.tokens))
    })
}

impl PrefixCache {
    /// Returns how many tokens of a prompt need not be read.
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> u32 {
        chain(parts)
            .take_while(|(key, _)| self.parts.contains_key(key))
            .map(|(_, tokens)| tokens)
            .sum()
    }

    /// Notes that a prompt is read; what was unused longest gives way above `capacity` tokens.
    pub fn insert(&mut self, parts: &[PromptPart], capacity: u64) {
        let chain: Vec<(u64, u32)> = chain(parts).collect();
        // The first parts are used last, so that a chain gives way from its end.
        for (key, tokens) in chain.into_iter().rev() {
            self.touch(key, tokens);
        }
        while self.tokens > capacity {
            let Some((_, key)) = self.by_use.pop_first() else {
                return;
            };
            self.drop_part(key);
        }
    }

    fn touch(&mut self, key: u64, tokens: u32) {
        if let Some(old) = self.parts.get(&key).copied() {
            self.by_use.remove(&old.used);
            self.drop_part(key);
        }
        self.uses += 1;
        self.tokens += u64::from(tokens);
        self.by_use.insert(self.uses, key);
        self.parts.insert(
            key,
            CachedPart {
                tokens,
                used: self.uses,
            },
        );
    }

    fn drop_part(&mut self, key: u64) {
        if let Some(part) = self.parts.remove(&key) {
            self.tokens -= u64::from(part.tokens);
        }
    }

    /// Returns how many tokens are believed to be kept.
    pub const fn tokens(&self) -> u64 {
        self.tokens
    }
}

#[cfg(test)]
mod tests;
