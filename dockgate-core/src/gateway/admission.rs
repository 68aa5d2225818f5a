//! Whether an engine takes one more prompt now.
//!
//! Engines serve in order of arrival, so what is admitted too early makes all that follows late.
//! A prompt is admitted if its first event is predicted to be in time, and if the memory of all
//! running prompts leaves room for the cache.

use super::engine_load::EngineLoad;
use super::engine_registry::AdmissionRequest;
use super::prefill_model::PrefillModel;
use super::share_level::ShareLevel;
use serde::{Deserialize, Serialize};

/// The settings of admission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionRule {
    /// Up to which part of its objective a prompt may wait.
    pub objective_fraction: f64,
    /// The part of that time that a workspace beyond its share has, divided by its pressure.
    pub beyond_share_fraction: f64,
    /// The part of its own reading that counts as waiting, for a prompt of a workspace beyond its share. With all of it
    /// only short prompts are read where engines are busy; with none, long ones keep all others waiting.
    pub own_prefill_weight: f64,
    /// Up to which part of its objective a prompt may wait that is too long to be read within it:
    /// it will be late, so it may not make others late as well.
    pub long_prompt_fraction: f64,
    /// Up to which part of an engine's memory prompts may run; the rest is left to the cache.
    pub memory_fraction: f64,
}

impl Default for AdmissionRule {
    /// Figures of `docs/decisions/0009-admission.md`.
    fn default() -> Self {
        Self {
            objective_fraction: 0.6,
            beyond_share_fraction: 0.22,
            own_prefill_weight: 0.4,
            long_prompt_fraction: 0.2,
            memory_fraction: 0.6,
        }
    }
}

/// The answer to an ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineVerdict {
    /// It is admitted; its first event is predicted after this many milliseconds.
    Granted(u32),
    /// It is not; its first event would have come after this many milliseconds.
    Declined(u32),
    /// It is not: the engine has said that it leaves.
    Leaving,
}

impl EngineVerdict {
    /// Returns the predicted time to the first event, in milliseconds, where one was predicted.
    pub const fn first_event_ms(self) -> Option<u32> {
        match self {
            Self::Granted(first_ms) | Self::Declined(first_ms) => Some(first_ms),
            Self::Leaving => None,
        }
    }
}

impl AdmissionRule {
    /// What a prompt that finds no memory would wait at least, in milliseconds: about one run.
    const NO_ROOM_MS: f64 = 1_000.0;
    /// The part of an objective for reading where what every first event takes leaves less: an engine
    /// that is late with all is still better than none. A bound.
    const MIN_FRACTION: f64 = 0.1;

    /// Decides on one ask.
    ///
    /// `others` says how many boxes send to this engine unseen: 0 where this box decides for it.
    pub fn decide(
        &self,
        load: &EngineLoad,
        request: &AdmissionRequest,
        others: u32,
        now_ms: u64,
    ) -> EngineVerdict {
        let unseen = f64::from(others + 1);
        let backlog_ms = load.backlog_ms(now_ms);
        let wait_ms = backlog_ms * unseen;
        let prefill_ms = load.model().prefill_ms(load.work_of(request));
        let first_ms = backlog_ms + load.model().fixed_ms() + prefill_ms;
        let limit_ms = self.limit_ms(load.model(), request);
        let in_time = self.is_in_time(wait_ms, prefill_ms, limit_ms, request.level);
        let long_ms = request.strictest_objective_ms() * self.long_prompt_fraction;
        let is_long = prefill_ms > limit_ms - long_ms;
        let long = is_long && !request.level.is_beyond() && wait_ms <= long_ms;
        let room = self.has_room(load, request, unseen);
        match room {
            true if in_time || long => EngineVerdict::Granted(first_ms as u32),
            true => EngineVerdict::Declined(first_ms as u32),
            false => EngineVerdict::Declined((first_ms + Self::NO_ROOM_MS) as u32),
        }
    }

    /// Returns for how many milliseconds the engine may read before and for a prompt within its share.
    ///
    /// A prompt with a longer objective may not fill the engine for those with a shorter one, so the
    /// shortest of the service counts. What every first event takes is no fault of the load.
    fn limit_ms(&self, model: &PrefillModel, request: &AdmissionRequest) -> f64 {
        let objective_ms = request.strictest_objective_ms();
        let limit_ms = objective_ms * self.objective_fraction - model.fixed_ms();
        limit_ms.max(objective_ms * Self::MIN_FRACTION)
    }

    /// Tells whether a prompt that waits so long is read within `limit_ms`, and waits no longer than its workspace may.
    fn is_in_time(&self, wait_ms: f64, prefill_ms: f64, limit_ms: f64, level: ShareLevel) -> bool {
        let counted_ms = wait_ms + prefill_ms * self.own_prefill_weight;
        wait_ms + prefill_ms <= limit_ms && counted_ms <= limit_ms * self.ease(level)
    }

    /// Returns the part of the time within a share that a workspace has.
    fn ease(&self, level: ShareLevel) -> f64 {
        match level.is_beyond() {
            true => (self.beyond_share_fraction / level.pressure()).min(1.0),
            false => 1.0,
        }
    }

    /// Returns after how many milliseconds a first event comes at least that is too late for a
    /// workspace beyond its share, whatever else the engine is busy with; none where whoever decides
    /// for the engine has to be asked.
    ///
    /// A flood is refused many times for each prompt that is admitted, and each question costs the
    /// box a datagram and a wake-up: what it knows alone is enough for most.
    pub fn local_decline_ms(
        &self,
        load: &EngineLoad,
        request: &AdmissionRequest,
        now_ms: u64,
    ) -> Option<f64> {
        let wait_ms = load.backlog_ms(now_ms);
        let prefill_ms = load.min_prefill_ms(request);
        let limit_ms = self.limit_ms(load.model(), request);
        let hopeless = request.level.is_beyond()
            && !self.is_in_time(wait_ms, prefill_ms, limit_ms, request.level);
        hopeless.then_some(wait_ms + load.model().fixed_ms() + prefill_ms)
    }

    /// Returns after how many milliseconds a first event comes at least that is too late at every
    /// engine for a workspace beyond its share, by the `fastest` of them; none where one might take it.
    ///
    /// Most of a flood is declined by this alone, before its homes are looked for.
    pub fn fastest_decline_ms(
        &self,
        fastest: &PrefillModel,
        request: &AdmissionRequest,
    ) -> Option<f64> {
        let prefill_ms = fastest.prefill_ms(request.min_work());
        let limit_ms = self.limit_ms(fastest, request);
        let hopeless =
            request.level.is_beyond() && !self.is_in_time(0.0, prefill_ms, limit_ms, request.level);
        hopeless.then_some(fastest.fixed_ms() + prefill_ms)
    }

    /// Tells whether slots and memory allow one more; a prompt of any size may run alone.
    fn has_room(&self, load: &EngineLoad, request: &AdmissionRequest, unseen: f64) -> bool {
        let spec = load.spec();
        let slots = load.runs() as f64 * unseen < f64::from(spec.slots);
        let memory = load.memory() as f64 * unseen + f64::from(request.memory());
        let fits = memory <= spec.memory as f64 * self.memory_fraction;
        slots && (fits || load.runs() == 0)
    }
}

#[cfg(test)]
mod tests;
