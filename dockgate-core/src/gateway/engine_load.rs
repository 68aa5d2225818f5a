//! The estimated load of one model engine, and the time at which it would start a new prompt.
//!
//! An engine prefills prompts in order of arrival, in chunks between decoding steps. The wait for a
//! first event is the prefill of all prompts admitted before, the prefill of the uncached part of
//! the prompt itself, and a fixed time for each first event ([`PrefillModel`]).

use super::engine_registry::{AdmissionRequest, RunKey};
use super::prefill_meter::{FixedTime, MeterSample, PrefillMeter};
use super::prefill_model::{PrefillModel, PrefillSample, PrefillSpeed, PrefillWork};
use super::prefix_cache::PrefixCache;
use super::prompt_shape::PromptPart;
use super::route_table::EngineSpec;
use std::collections::HashMap;

/// One request at an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineRun {
    /// The estimated prefill work when the request was placed.
    pub work: PrefillWork,
    /// The memory that it takes when its output is complete, in tokens.
    pub memory: u32,
    /// The time at which it was placed.
    pub placed_ms: u64,
    /// The time until which its caller waits.
    pub until_ms: u64,
    /// Whether its first event has arrived.
    pub started: bool,
}

/// The estimated load of one engine.
#[derive(Debug, Clone)]
pub struct EngineLoad {
    spec: EngineSpec,
    model: PrefillModel,
    runs: HashMap<RunKey, EngineRun>,
    /// Runs that wait for their first event, in order of placement.
    waiting: Vec<RunKey>,
    cache: PrefixCache,
    /// The time of the latest first event.
    last_first_ms: f64,
    /// The end of the backlog as reported by the owner of the engine.
    reported_until_ms: f64,
    memory: u64,
    meter: PrefillMeter,
    /// Whether a run has ended before its first event since the latest first event: it is not known
    /// how much of its prompt was prefilled.
    is_interval_partial: bool,
}

impl EngineLoad {
    /// A waiting run counts as prefilled once a run that was placed this much later has its first
    /// event, in milliseconds. Engines read
    /// prompts in order of arrival, but runs placed closer together may arrive out of order.
    const OVERTAKEN_MS: u64 = 30;

    /// Creates the load of an idle engine, with the model of other engines of its kind.
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
            meter: PrefillMeter::default(),
            is_interval_partial: false,
        }
    }

    /// Sets the capacity of the engine.
    pub const fn set_spec(&mut self, spec: EngineSpec) {
        self.spec = spec;
    }

    /// Returns the capacity of the engine.
    pub const fn spec(&self) -> EngineSpec {
        self.spec
    }

    /// Returns the learned prefill times of the engine.
    pub const fn model(&self) -> &PrefillModel {
        &self.model
    }

    /// Returns whether enough first events were observed for the prefill rate.
    pub const fn is_measured(&self) -> bool {
        self.meter.is_known()
    }

    /// Returns the measured prefill rate in tokens per millisecond, given the fixed time of each
    /// first event; `None` while it is uncertain.
    pub fn prefill_rate(&self, fixed_ms: f64) -> Option<f64> {
        self.meter.rate(FixedTime {
            ms: fixed_ms,
            deviation_ms: self.model.fixed_deviation_ms(),
        })
    }

    /// Returns the number of requests at the engine.
    pub fn runs(&self) -> usize {
        self.runs.len()
    }

    /// Returns the memory that its requests take, in tokens.
    pub const fn memory(&self) -> u64 {
        self.memory
    }

    /// Returns the number of prompt tokens that are not prefilled yet.
    pub fn pending_tokens(&self) -> u64 {
        self.waiting_runs()
            .map(|run| u64::from(run.work.tokens()))
            .sum()
    }

    fn waiting_runs(&self) -> impl Iterator<Item = &EngineRun> {
        self.waiting.iter().filter_map(|key| self.runs.get(key))
    }

    /// Returns the prefill work of a prompt, given the cached parts.
    pub fn work_of(&self, request: &AdmissionRequest) -> PrefillWork {
        let cached = self.cache.cached_tokens(&request.parts).min(request.input);
        PrefillWork::new(cached, request.input - cached)
    }

    /// Returns the prefill work of a prompt if all its shared parts were cached.
    ///
    /// This is the lower bound known to a box that sees only its own runs at the engine.
    fn min_work_of(&self, request: &AdmissionRequest) -> PrefillWork {
        let own = request.parts.last().map_or(0, |part| part.tokens);
        let uncached = own.min(self.work_of(request).tokens());
        PrefillWork::new(request.input.saturating_sub(uncached), uncached)
    }

    /// Returns the time until all waiting prompts are prefilled, in milliseconds.
    ///
    /// A prompt whose first event is overdue still counts as unfinished, so that an engine that
    /// stops answering keeps its backlog.
    pub fn backlog_ms(&self, now_ms: u64) -> f64 {
        let now = now_ms as f64;
        let fixed_ms = self.model.fixed_ms();
        let busy_until = self.last_first_ms - fixed_ms;
        let busy_until = self.waiting_runs().fold(busy_until, |busy_until, run| {
            let begins = busy_until.max(run.placed_ms as f64);
            let ends = begins + self.model.prefill_ms(run.work);
            ends.max(now - fixed_ms)
        });
        (busy_until.max(self.reported_until_ms) - now).max(0.0)
    }

    /// Predicts the time to the first event of a prompt, in milliseconds.
    pub fn first_event_ms(&self, request: &AdmissionRequest, now_ms: u64) -> f64 {
        self.backlog_ms(now_ms) + self.model.first_event_ms(self.work_of(request))
    }

    /// Returns the minimum prefill time of a prompt in milliseconds, as known to this box alone.
    pub fn min_prefill_ms(&self, request: &AdmissionRequest) -> f64 {
        self.model.prefill_ms(self.min_work_of(request))
    }

    /// Applies the backlog and speed that the owner of the engine reports.
    pub fn apply_report(&mut self, backlog_ms: u32, speed: PrefillSpeed, now_ms: u64) {
        self.model = speed.into();
        self.reported_until_ms = now_ms as f64 + f64::from(backlog_ms);
    }

    /// Adds a request; one with the same key is replaced.
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

    /// Records that the engine has the parts in its cache.
    pub fn note_cached(&mut self, parts: &[PromptPart]) {
        let capacity = self.spec.memory.saturating_sub(self.memory);
        self.cache.insert(parts, capacity);
    }

    /// Records the first event of a request.
    ///
    /// `updates_model` must be set only if this box receives reports of every run at the engine:
    /// otherwise an engine that is busy with the runs of other boxes appears slow.
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
        if updates_model && self.waiting.contains(&key) {
            self.measure(&run, now_ms);
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

    /// Measures the work of a run with a first event, in whichever order first events arrive, and
    /// of the runs that it has overtaken.
    fn measure(&mut self, run: &EngineRun, now_ms: u64) {
        let now = now_ms as f64;
        let oldest_ms = self.waiting_runs().map(|waiting| waiting.placed_ms).min();
        let oldest = oldest_ms.unwrap_or(run.placed_ms) as f64;
        let was_idle = self.last_first_ms - self.model.fixed_ms() <= oldest;
        let since = if was_idle { oldest } else { self.last_first_ms };
        // The fixed time of a short prompt at an idle engine hides its prefill time.
        let is_hidden =
            was_idle && PrefillMeter::nominal_ms(run.work) * 2.0 < self.model.fixed_ms();
        if std::mem::take(&mut self.is_interval_partial) || is_hidden {
            return;
        }
        let overtaken = self
            .waiting_runs()
            .filter(|waiting| waiting.placed_ms + Self::OVERTAKEN_MS < run.placed_ms);
        let overtaken: Vec<PrefillWork> = overtaken.map(|waiting| waiting.work).collect();
        let sample = MeterSample {
            work: run.work,
            busy_ms: now - since,
            was_idle,
        };
        self.meter.record(sample, now_ms);
        for work in overtaken {
            let sample = MeterSample {
                work,
                busy_ms: 0.0,
                was_idle: false,
            };
            self.meter.record(sample, now_ms);
        }
    }

    /// Counts runs placed well before a run with a first event as prefilled.
    fn drop_overtaken(&mut self, placed_ms: u64) {
        let runs = &self.runs;
        self.waiting.retain(|key| {
            runs.get(key)
                .is_some_and(|run| run.placed_ms + Self::OVERTAKEN_MS >= placed_ms)
        });
    }

    /// Removes a request, if it is known.
    pub fn end(&mut self, key: RunKey) {
        if let Some(run) = self.runs.remove(&key) {
            self.memory -= u64::from(run.memory);
            self.is_interval_partial |= self.waiting.contains(&key);
            self.waiting.retain(|waiting| *waiting != key);
        }
    }

    /// Removes the requests for which `is_gone` holds, and those whose callers no longer wait.
    pub fn retain(&mut self, now_ms: u64, is_gone: impl Fn(RunKey) -> bool) {
        let runs = self.runs.iter();
        let ended: Vec<RunKey> = runs
            .filter(|(key, run)| is_gone(**key) || run.until_ms < now_ms)
            .map(|(key, _)| *key)
            .collect();
        for key in ended {
            self.end(key);
        }
    }
}

#[cfg(test)]
mod tests;
