//! What one model engine is believed to be busy with, and when it would begin a new prompt.
//!
//! An engine reads prompts in order of arrival, piece by piece between the tokens that it makes.
//! So the wait for a first event is the reading of all that was admitted before, and of the own
//! prompt less what is cached, and a time that every first event takes ([`PrefillModel`]).

use super::engine_registry::{AdmissionRequest, RunKey};
use super::prefill_model::{PrefillModel, PrefillSample, PrefillSpeed, PrefillWork};
use super::prefix_cache::PrefixCache;
use super::prompt_shape::PromptPart;
use super::route_table::EngineSpec;
use std::collections::HashMap;

/// One request at an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineRun {
    /// What the engine has to read of its prompt, as believed when it was placed.
    pub work: PrefillWork,
    /// Tokens of memory that it takes when it has made all its output.
    pub memory: u32,
    /// When it was placed.
    pub placed_ms: u64,
    /// Until when its caller waits.
    pub until_ms: u64,
    /// Whether its first event was seen.
    pub started: bool,
}

/// The believed load of one engine.
#[derive(Debug, Clone)]
pub struct EngineLoad {
    spec: EngineSpec,
    model: PrefillModel,
    runs: HashMap<RunKey, EngineRun>,
    /// Runs without a first event, in the order in which they were placed: what is to be read.
    waiting: Vec<RunKey>,
    cache: PrefixCache,
    /// When the last first event was seen.
    last_first_ms: f64,
    /// Until when the box that decides for the engine said that it reads what it has.
    reported_until_ms: f64,
    memory: u64,
}

impl EngineLoad {
    /// A run without a first event no longer counts as waiting when one that was placed so much later
    /// has its first event, in milliseconds: engines read in order of arrival, and two that are placed
    /// at nearly the same time may arrive in the other order. A bound.
    const OVERTAKEN_MS: u64 = 30;

    /// Makes an engine of which nothing is known but what it can hold, and how fast others of its
    /// kind are.
    pub fn new(spec: EngineSpec, model: PrefillModel) -> Self {
        Self {
            spec,
            model,
            runs: HashMap::new(),
            waiting: Vec::new(),
            cache: PrefixCache::default(),
            last_first_ms: f64::NEG_INFINITY,
            reported_until_ms: f64::NEG_INFINITY,
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

    /// Returns how fast the engine reads, as learned.
    pub const fn model(&self) -> &PrefillModel {
        &self.model
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
    pub fn pending_tokens(&self) -> u64 {
        self.waiting_runs()
            .map(|run| u64::from(run.work.tokens()))
            .sum()
    }

    fn waiting_runs(&self) -> impl Iterator<Item = &EngineRun> {
        self.waiting.iter().filter_map(|key| self.runs.get(key))
    }

    /// Returns what it would have to read of a prompt.
    pub fn work_of(&self, request: &AdmissionRequest) -> PrefillWork {
        let kept = self.cache.cached_tokens(&request.parts).min(request.input);
        PrefillWork::new(kept, request.input - kept)
    }

    /// Returns what it would have to read of a prompt if it kept all that other prompts share: the
    /// least that a box can say which sees only its own part of the engine.
    fn min_work_of(&self, request: &AdmissionRequest) -> PrefillWork {
        let own = request.parts.last().map_or(0, |part| part.tokens);
        let unread = own.min(self.work_of(request).tokens());
        PrefillWork::new(request.input.saturating_sub(unread), unread)
    }

    /// Returns for how many milliseconds the engine reads what it has.
    ///
    /// Each waiting prompt is read after those before it. One whose first event is overdue has not
    /// been read yet, whatever was expected: an engine that is silent keeps its backlog.
    pub fn backlog_ms(&self, now_ms: u64) -> f64 {
        let now = now_ms as f64;
        let fixed_ms = self.model.fixed_ms();
        let read_until = self.last_first_ms - fixed_ms;
        let read_until = self.waiting_runs().fold(read_until, |read_until, run| {
            let begun = read_until.max(run.placed_ms as f64);
            let read = begun + self.model.prefill_ms(run.work);
            read.max(now - fixed_ms)
        });
        (read_until.max(self.reported_until_ms) - now).max(0.0)
    }

    /// Predicts after how many milliseconds the first event of a prompt would come.
    pub fn first_event_ms(&self, request: &AdmissionRequest, now_ms: u64) -> f64 {
        self.backlog_ms(now_ms) + self.model.first_event_ms(self.work_of(request))
    }

    /// Returns for how many milliseconds the engine reads a prompt at least, by what this box alone has sent there.
    pub fn min_prefill_ms(&self, request: &AdmissionRequest) -> f64 {
        self.model.prefill_ms(self.min_work_of(request))
    }

    /// Takes in what the box that decides for the engine says of it.
    pub fn apply_report(&mut self, backlog_ms: u32, speed: PrefillSpeed, now_ms: u64) {
        self.model = speed.into();
        self.reported_until_ms = now_ms as f64 + f64::from(backlog_ms);
    }

    /// Places a request.
    pub fn place(&mut self, key: RunKey, request: &AdmissionRequest, now_ms: u64) {
        self.end(key);
        let run = EngineRun {
            work: self.work_of(request),
            memory: request.memory(),
            placed_ms: now_ms,
            until_ms: now_ms + u64::from(request.budget_ms),
            started: false,
        };
        self.runs.insert(key, run);
        self.waiting.push(key);
        self.memory += u64::from(run.memory);
        self.note_cached(&request.parts);
    }

    /// Notes that parts are in the cache, as another box saw.
    pub fn note_cached(&mut self, parts: &[PromptPart]) {
        let capacity = self.spec.memory.saturating_sub(self.memory);
        self.cache.insert(parts, capacity);
    }

    /// Notes the first event of a request.
    ///
    /// Only a box that hears of every run at the engine `learns` from it: to others, an engine that is
    /// busy with the runs of other boxes looks slow.
    pub fn start(&mut self, key: RunKey, now_ms: u64, updates_model: bool) {
        let Some(run) = self.runs.get_mut(&key).filter(|run| !run.started) else {
            return;
        };
        run.started = true;
        let run = *run;
        let is_first = self.waiting.first() == Some(&key);
        if updates_model && is_first {
            self.learn(&run, now_ms as f64);
        }
        self.waiting.retain(|waiting| *waiting != key);
        self.drop_overtaken(run.placed_ms);
        self.last_first_ms = self.last_first_ms.max(now_ms as f64);
    }

    fn learn(&mut self, run: &EngineRun, now: f64) {
        let placed = run.placed_ms as f64;
        let was_idle = self.last_first_ms - self.model.fixed_ms() <= placed;
        let since = if was_idle { placed } else { self.last_first_ms };
        self.model.learn(PrefillSample {
            work: run.work,
            took_ms: now - since,
            was_idle,
        });
    }

    /// Counts what was placed well before a run that has its first event as read.
    fn drop_overtaken(&mut self, placed_ms: u64) {
        let runs = &self.runs;
        self.waiting.retain(|key| {
            runs.get(key)
                .is_some_and(|run| run.placed_ms + Self::OVERTAKEN_MS >= placed_ms)
        });
    }

    /// Ends a request; one that is not known changes nothing.
    pub fn end(&mut self, key: RunKey) {
        if let Some(run) = self.runs.remove(&key) {
            self.memory -= u64::from(run.memory);
            self.waiting.retain(|waiting| *waiting != key);
        }
    }

    /// Ends every request that `gone` tells of, and those whose callers do not wait any more.
    pub fn retain(&mut self, now_ms: u64, gone: impl Fn(RunKey) -> bool) {
        let runs = self.runs.iter();
        let ended: Vec<RunKey> = runs
            .filter(|(key, run)| gone(**key) || run.until_ms < now_ms)
            .map(|(key, _)| *key)
            .collect();
        for key in ended {
            self.end(key);
        }
    }
}

#[cfg(test)]
mod tests;
