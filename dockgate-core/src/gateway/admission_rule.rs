//! Admission control for prompts at model engines.
//!
//! Engines serve prompts in order of arrival, so a prompt that is admitted too early delays all
//! later ones. A prompt is admitted if its first event is predicted to arrive in time and the
//! running prompts leave enough memory for the prefix cache.

use super::engine_load::EngineLoad;
use super::engine_registry::AdmissionRequest;
use super::prefill_model::{PrefillModel, PrefillWork};
use super::share_level::ShareLevel;
use serde::{Deserialize, Serialize};

/// Settings of admission control.
///
/// The objective of a prompt is the time within which its first event is due.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionRule {
    /// The largest fraction of its objective that a prompt may spend until its first event.
    pub objective_fraction: f64,
    /// The fraction of that time allowed to a workspace beyond its share; divided by the
    /// workspace's pressure.
    pub beyond_share_fraction: f64,
    /// The fraction of a prompt's own prefill time that counts as waiting if its workspace is
    /// beyond its share.
    ///
    /// At 1, busy engines admit only short prompts of such workspaces; at 0, long prompts delay
    /// all others.
    pub own_prefill_weight: f64,
    /// The largest fraction of its objective that a prompt may wait if it is too long to meet the
    /// objective. It is late in any case, so it must not delay others as well.
    pub long_prompt_fraction: f64,
    /// The largest fraction of an engine's memory that running prompts may take; the cache keeps
    /// the remainder.
    pub memory_fraction: f64,
}

impl Default for AdmissionRule {
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

/// The decision on an admission request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdmissionVerdict {
    /// The prompt is admitted; its first event is predicted after this many milliseconds.
    Granted(u32),
    /// The prompt is declined; its first event was predicted after this many milliseconds.
    Declined(u32),
    /// The prompt is declined because the engine has announced that it leaves.
    Leaving,
    /// The request is declined because the endpoint warms up; it may be granted one after this many
    /// milliseconds.
    Warming(u32),
}

impl AdmissionVerdict {
    /// Returns the predicted time to the first event in milliseconds, if there is a prediction. For
    /// a cold endpoint, it is the time until its next grant.
    pub const fn first_event_ms(self) -> Option<u32> {
        match self {
            Self::Granted(first_ms) | Self::Declined(first_ms) | Self::Warming(first_ms) => {
                Some(first_ms)
            }
            Self::Leaving => None,
        }
    }
}

impl AdmissionRule {
    /// The wait assumed for a prompt that lacks a slot or memory, in milliseconds: about one run.
    const FULL_ENGINE_WAIT_MS: f64 = 1_000.0;
    /// The fraction of an objective that always remains for waiting and prefill, so that an engine
    /// whose fixed time alone exceeds the objective is still used.
    const MIN_OBJECTIVE_FRACTION: f64 = 0.1;

    /// Decides on an admission request.
    ///
    /// `other_boxes` is the number of boxes that send prompts to this engine without reporting
    /// them to this box: 0 if this box owns the engine.
    pub fn decide(
        &self,
        load: &EngineLoad,
        request: &AdmissionRequest,
        other_boxes: u32,
        now_ms: u64,
    ) -> AdmissionVerdict {
        let senders = f64::from(other_boxes + 1);
        let backlog_ms = load.backlog_ms(now_ms);
        let wait_ms = backlog_ms * senders;
        let prefill_ms = load.model().prefill_ms(load.work_of(request));
        let first_ms = backlog_ms + load.model().fixed_ms() + prefill_ms;
        let limit_ms = self.limit_ms(load.model(), request);
        let in_time = self.is_in_time(wait_ms, prefill_ms, limit_ms, request.level);
        let long_wait_ms = request.strictest_objective_ms() * self.long_prompt_fraction;
        let is_long = prefill_ms > limit_ms - long_wait_ms;
        let admits_long = is_long && !request.level.is_beyond() && wait_ms <= long_wait_ms;
        let room = self.has_room(load, request, senders);
        match room {
            true if in_time || admits_long => AdmissionVerdict::Granted(first_ms as u32),
            true => AdmissionVerdict::Declined(first_ms as u32),
            false => AdmissionVerdict::Declined((first_ms + Self::FULL_ENGINE_WAIT_MS) as u32),
        }
    }

    /// Returns the most time for waiting and prefill of a prompt within its share, in milliseconds.
    ///
    /// Uses the shortest objective of the service, as prompts with a long objective would otherwise
    /// fill the engine. The fixed time of a first event does not depend on the load and is
    /// subtracted.
    fn limit_ms(&self, model: &PrefillModel, request: &AdmissionRequest) -> f64 {
        let objective_ms = request.strictest_objective_ms();
        let limit_ms = objective_ms * self.objective_fraction - model.fixed_ms();
        limit_ms.max(objective_ms * Self::MIN_OBJECTIVE_FRACTION)
    }

    /// Returns whether waiting and prefill fit into `limit_ms` and into the part of it that the
    /// workspace is allowed.
    fn is_in_time(&self, wait_ms: f64, prefill_ms: f64, limit_ms: f64, level: ShareLevel) -> bool {
        let counted_ms = wait_ms + prefill_ms * self.own_prefill_weight;
        wait_ms + prefill_ms <= limit_ms && counted_ms <= limit_ms * self.share_fraction(level)
    }

    /// Returns the fraction of the time limit that a workspace is allowed.
    fn share_fraction(&self, level: ShareLevel) -> f64 {
        match level.is_beyond() {
            true => (self.beyond_share_fraction / level.pressure()).min(1.0),
            false => 1.0,
        }
    }

    /// Returns how long an engine with this backlog declines a prompt, in milliseconds.
    ///
    /// Returns `None` if it would decline the prompt even without a backlog. The backlog of an
    /// engine shrinks by one millisecond in each, and the limit is that of a prompt that has just
    /// arrived.
    pub fn wait_ms(
        &self,
        model: &PrefillModel,
        work: PrefillWork,
        request: &AdmissionRequest,
        backlog_ms: f64,
    ) -> Option<f64> {
        let prefill_ms = model.prefill_ms(work);
        let limit_ms = self.limit_ms(model, request);
        let long_wait_ms = request.strictest_objective_ms() * self.long_prompt_fraction;
        let is_long = prefill_ms > limit_ms - long_wait_ms;
        let share_limit_ms = limit_ms * self.share_fraction(request.level);
        let regular_ms =
            (limit_ms - prefill_ms).min(share_limit_ms - prefill_ms * self.own_prefill_weight);
        let allowed_ms = match is_long && !request.level.is_beyond() {
            true => regular_ms.max(long_wait_ms),
            false => regular_ms,
        };
        (allowed_ms >= 0.0).then(|| (backlog_ms - allowed_ms).max(0.0))
    }

    /// Declines a prompt of a workspace beyond its share without a request to the engine's owner.
    ///
    /// Returns the minimum time to the first event in milliseconds, or `None` if the engine's
    /// owner has to decide. This saves a datagram for each refused prompt of a flood.
    pub fn local_decline_ms(
        &self,
        load: &EngineLoad,
        request: &AdmissionRequest,
        now_ms: u64,
    ) -> Option<f64> {
        let wait_ms = load.backlog_ms(now_ms);
        let prefill_ms = load.min_prefill_ms(request);
        let limit_ms = self.limit_ms(load.model(), request);
        let is_declined = request.level.is_beyond()
            && !self.is_in_time(wait_ms, prefill_ms, limit_ms, request.level);
        is_declined.then_some(wait_ms + load.model().fixed_ms() + prefill_ms)
    }

    /// Declines a prompt of a workspace beyond its share if even the `fastest` engine is too slow.
    ///
    /// Returns the minimum time to the first event in milliseconds, or `None` if some engine might
    /// admit the prompt. Rejects most of a flood before the prompt's home engines are looked up.
    pub fn fastest_decline_ms(
        &self,
        fastest: &PrefillModel,
        request: &AdmissionRequest,
    ) -> Option<f64> {
        let prefill_ms = fastest.prefill_ms(request.min_work());
        let limit_ms = self.limit_ms(fastest, request);
        let is_declined =
            request.level.is_beyond() && !self.is_in_time(0.0, prefill_ms, limit_ms, request.level);
        is_declined.then_some(fastest.fixed_ms() + prefill_ms)
    }

    /// Returns whether slots and memory of an engine of this box allow one more prompt.
    pub fn has_room_for(&self, load: &EngineLoad, request: &AdmissionRequest) -> bool {
        self.has_room(load, request, 1.0)
    }

    /// Returns whether slots and memory allow one more prompt; a prompt of any size may run alone.
    fn has_room(&self, load: &EngineLoad, request: &AdmissionRequest, senders: f64) -> bool {
        let spec = load.spec();
        let slots = load.runs() as f64 * senders < f64::from(spec.slots);
        let memory = load.memory() as f64 * senders + f64::from(request.memory());
        let fits = memory <= spec.memory as f64 * self.memory_fraction;
        slots && (fits || load.runs() == 0)
    }
}

#[cfg(test)]
mod tests;
