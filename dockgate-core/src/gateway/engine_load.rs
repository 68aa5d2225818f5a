//! What one model engine is believed to be busy with, and when it would begin a new prompt.
//!
//! An engine reads prompts in order of arrival, piece by piece between the tokens that it makes.
//! So the wait for a first event is the reading of all that was admitted before, and of the own
//! prompt less what is cached. How fast an engine really reads is learned from first events.

use super::engine_book::{EngineAsk, RunKey};
use super::prefix_cache::PrefixCache;
use super::prompt_shape::PromptPart;
use super::route_table::EngineSpec;
use std::collections::HashMap;

/// One request at an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineRun {
    /// Tokens of its prompt that were not cached, as believed when it was placed.
    pub unread: u32,
    /// Tokens of memory that it takes when it has made all its output.
    pub memory: u32,
    /// When it was placed.
    pub placed_ms: u64,
    /// When its first event was expected.
    pub expected_ms: u64,
    /// Whether its first event was seen.
    pub started: bool,
}

/// The believed load of one engine.
#[derive(Debug, Clone)]
pub struct EngineLoad {
    spec: EngineSpec,
    runs: HashMap<RunKey, EngineRun>,
    cache: PrefixCache,
    /// Until when the engine is believed to read what it has.
    read_until_ms: f64,
    /// How much longer reading takes than assumed: learned.
    slowness: f64,
    unread: u64,
    memory: u64,
}

impl EngineLoad {
    /// Prompt tokens that an engine of ordinary speed reads in a millisecond, until learned better.
    /// Below the 38 to 43 that the sites state, since made tokens take their part of each step.
    const READ_PER_MS: f64 = 34.0;
    /// What a first event takes beside reading, in milliseconds: two hops, one step begun before
    /// and one of its own.
    const BASE_MS: f64 = 20.0;
    /// The weight of the newest first event in what is learned.
    const NEWEST_WEIGHT: f64 = 0.08;
    /// Bounds of what is learned: an engine six times as slow is a failing one.
    const SLOWNESS: std::ops::RangeInclusive<f64> = 0.6..=6.0;
    /// A run without a first event for this long is no longer counted, in milliseconds.
    const MOST_UNSTARTED_MS: u64 = 6_500;
    /// A run is no longer counted after this long, in milliseconds: the longest time budget.
    const MOST_RUN_MS: u64 = 16_000;

    /// Makes an engine that nothing is known of.
    pub fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            runs: HashMap::new(),
            cache: PrefixCache::default(),
            read_until_ms: 0.0,
            slowness: 1.0,
            unread: 0,
            memory: 0,
        }
    }

    /// Sets what the engine can hold.
    pub const fn set_spec(&mut self, spec: EngineSpec) {
        self.spec = spec;
    }

    /// Returns what the engine can hold.
    pub const fn spec(&self) -> EngineSpec {
        self.spec
    }

    /// Returns how many requests it has.
    pub fn runs(&self) -> usize {
        self.runs.len()
    }

    /// Returns the tokens of memory that its requests take.
    pub const fn memory(&self) -> u64 {
        self.memory
    }

    /// Returns the prompt tokens that it has not read yet.
    pub const fn unread(&self) -> u64 {
        self.unread
    }

    /// Returns how many tokens of a prompt it would have to read.
    pub fn unread_of(&self, ask: &EngineAsk) -> u32 {
        ask.input.saturating_sub(self.cache.kept_tokens(&ask.parts))
    }

    /// Returns how many tokens of a prompt it would have to read if it kept all that other prompts
    /// share: the least that a box can say which sees only its own part of the engine.
    pub fn least_unread_of(&self, ask: &EngineAsk) -> u32 {
        let own = ask.parts.last().map_or(0, |part| part.tokens);
        own.min(self.unread_of(ask))
    }

    /// Returns for how many milliseconds the engine reads what it has.
    pub fn backlog_ms(&self, now_ms: u64) -> f64 {
        (self.read_until_ms - now_ms as f64).max(0.0)
    }

    /// Predicts after how many milliseconds the first event of a prompt would come.
    pub fn first_event_ms(&self, ask: &EngineAsk, now_ms: u64) -> f64 {
        self.backlog_ms(now_ms) + self.read_ms(u64::from(self.unread_of(ask))) + Self::BASE_MS
    }

    /// Returns the least time to the first event of a prompt, in milliseconds, by what this box alone
    /// has sent there.
    pub fn least_first_event_ms(&self, ask: &EngineAsk, now_ms: u64) -> f64 {
        let read_ms = self.read_ms(u64::from(self.least_unread_of(ask)));
        self.backlog_ms(now_ms) + read_ms + Self::BASE_MS
    }

    fn read_ms(&self, tokens: u64) -> f64 {
        tokens as f64 / Self::READ_PER_MS * self.slowness
    }

    /// Places a request.
    pub fn place(&mut self, key: RunKey, ask: &EngineAsk, now_ms: u64) {
        self.end(key);
        let unread = self.unread_of(ask);
        let first_ms = self.first_event_ms(ask, now_ms);
        let run = EngineRun {
            unread,
            memory: ask.memory(),
            placed_ms: now_ms,
            expected_ms: now_ms + first_ms as u64,
            started: false,
        };
        self.runs.insert(key, run);
        self.unread += u64::from(unread);
        self.memory += u64::from(run.memory);
        let begin = self.read_until_ms.max(now_ms as f64);
        self.read_until_ms = begin + self.read_ms(u64::from(unread));
        self.note_cached(&ask.parts);
    }

    /// Notes that parts are in the cache, as another box saw.
    pub fn note_cached(&mut self, parts: &[PromptPart]) {
        let capacity = self.spec.memory.saturating_sub(self.memory);
        self.cache.note_read(parts, capacity);
    }

    /// Notes the first event of a request.
    pub fn start(&mut self, key: RunKey, now_ms: u64) {
        let Some(run) = self.runs.get_mut(&key).filter(|run| !run.started) else {
            return;
        };
        run.started = true;
        let run = *run;
        self.unread -= u64::from(run.unread);
        self.learn(&run, now_ms);
        // All that was admitted before has been read by now.
        self.read_until_ms = now_ms as f64 + self.read_ms(self.unread);
    }

    fn learn(&mut self, run: &EngineRun, now_ms: u64) {
        let expected = (run.expected_ms.saturating_sub(run.placed_ms)) as f64 - Self::BASE_MS;
        let seen = now_ms.saturating_sub(run.placed_ms) as f64 - Self::BASE_MS;
        // Short waits say nothing of the speed of reading.
        if expected < 1.5 * Self::BASE_MS {
            return;
        }
        let factor = (seen.max(1.0) / expected).clamp(0.5, 2.0);
        let slowness = self.slowness * (1.0 + (factor - 1.0) * Self::NEWEST_WEIGHT);
        self.slowness = slowness.clamp(*Self::SLOWNESS.start(), *Self::SLOWNESS.end());
    }

    /// Ends a request; one that is not known changes nothing.
    pub fn end(&mut self, key: RunKey) {
        let Some(run) = self.runs.remove(&key) else {
            return;
        };
        self.memory -= u64::from(run.memory);
        if !run.started {
            self.unread -= u64::from(run.unread);
            self.read_until_ms -= self.read_ms(u64::from(run.unread));
        }
    }

    /// Ends every request that `gone` tells of, and what has been there too long.
    pub fn retain(&mut self, now_ms: u64, gone: impl Fn(RunKey) -> bool) {
        let lapsed = |run: &EngineRun| match run.started {
            true => run.placed_ms + Self::MOST_RUN_MS < now_ms,
            false => run.placed_ms + Self::MOST_UNSTARTED_MS < now_ms,
        };
        let runs = self.runs.iter();
        let ended: Vec<RunKey> = runs
            .filter(|(key, run)| gone(**key) || lapsed(run))
            .map(|(key, _)| *key)
            .collect();
        for key in ended {
            self.end(key);
        }
    }
}

#[cfg(test)]
mod tests;
