//! The loads of all engines that this box knows of.
//!
//! A box receives reports of every run at the engines that it owns; of other engines it knows only
//! its own runs. One registry holds both, so that a box can decide for any engine whose owner is
//! unreachable.

use super::engine_load::EngineLoad;
use super::prefill_model::{PrefillModel, PrefillSpeed, PrefillWork};
use super::prompt_shape::{PromptPart, PromptShape};
use super::route_table::{EndpointId, EngineSpec};
use super::share_level::ShareLevel;
use crate::ids::BoxKey;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// Identifies a run by the box that sent it and that box's run counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunKey {
    /// The box that the caller is connected to.
    pub entry: BoxKey,
    /// The run counter of that box.
    pub number: u32,
}

/// A request to admit a prompt at an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionRequest {
    /// The hash of the workspace's name.
    pub workspace: u64,
    /// The time within which the first event is due, in milliseconds.
    pub objective_ms: u32,
    /// The shortest objective among the routes of the service, in milliseconds.
    pub shortest_objective_ms: u32,
    /// The longest time that the caller waits, in milliseconds.
    pub budget_ms: u32,
    /// The share level of the workspace, as known to the box that sends the request.
    pub level: ShareLevel,
    /// The number of tokens of the prompt.
    pub input: u32,
    /// The expected number of output tokens.
    pub output: u32,
    /// The parts of the prompt.
    pub parts: Vec<PromptPart>,
}

/// The latency limits of a caller and its service, in milliseconds from now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatencyLimits {
    /// The time within which the first event is due.
    pub objective_ms: u32,
    /// The shortest objective among the routes of the service.
    pub shortest_objective_ms: u32,
    /// The longest time that the caller waits.
    pub budget_ms: u32,
}

impl AdmissionRequest {
    /// Creates the request for a prompt, at the level of a workspace within its share.
    pub fn new(workspace: u64, prompt: &PromptShape, limits: LatencyLimits) -> Self {
        Self {
            workspace,
            objective_ms: limits.objective_ms,
            shortest_objective_ms: limits.shortest_objective_ms,
            budget_ms: limits.budget_ms,
            level: ShareLevel::WITHIN,
            input: prompt.input,
            output: prompt.output,
            parts: prompt.parts.clone(),
        }
    }

    /// Sets the share level of the workspace.
    #[must_use]
    pub const fn level(mut self, level: ShareLevel) -> Self {
        self.level = level;
        self
    }

    /// Returns the shorter of the prompt's own objective and the service's shortest one, in
    /// milliseconds.
    pub fn strictest_objective_ms(&self) -> f64 {
        f64::from(self.objective_ms.min(self.shortest_objective_ms))
    }

    /// Returns the minimum prefill work at any engine.
    ///
    /// Assumes that all shared parts are cached and that attention to them costs nothing.
    pub fn min_work(&self) -> PrefillWork {
        let own = self.parts.last().map_or(0, |part| part.tokens);
        PrefillWork::new(0, own.min(self.input))
    }

    /// Returns the memory of the run when its output is complete, in tokens.
    pub const fn memory(&self) -> u32 {
        self.input + self.output
    }
}

/// The registry of engine loads by endpoint.
#[derive(Debug, Default)]
pub struct EngineRegistry {
    loads: BTreeMap<EndpointId, EngineLoad>,
    /// The latest learned speed for each kind of engine; new engines of the kind start from it.
    speeds: HashMap<EngineSpec, PrefillSpeed>,
}

impl EngineRegistry {
    /// Returns the load of an engine; adds an idle one if the engine is new.
    pub fn load_mut(&mut self, endpoint: EndpointId, spec: EngineSpec) -> &mut EngineLoad {
        let speed = self.speeds.get(&spec).copied();
        let load = self.loads.entry(endpoint).or_insert_with(|| {
            let model = speed.map_or_else(PrefillModel::default, PrefillModel::from);
            EngineLoad::new(spec, model)
        });
        load.set_spec(spec);
        load
    }

    /// Returns the load of an engine, if the engine is known.
    pub fn get(&self, endpoint: EndpointId) -> Option<&EngineLoad> {
        self.loads.get(&endpoint)
    }

    /// Returns a model with the minimum of each learned time over all engines of a kind, if any is
    /// known.
    pub fn fastest(&self, spec: EngineSpec) -> Option<PrefillModel> {
        let loads = self.loads.values().filter(|load| load.spec() == spec);
        let speeds = loads.map(|load| load.model().speed());
        speeds
            .reduce(PrefillSpeed::min_each)
            .map(PrefillModel::from)
    }

    /// Iterates over the loads of all engines.
    pub fn iter(&self) -> impl Iterator<Item = &EngineLoad> {
        self.loads.values()
    }

    /// Returns the measured prefill rates of engines, in tokens per millisecond.
    ///
    /// The fixed time of a first event is the median of the engines of a kind: the one that is
    /// learned for a single engine follows its slow phases.
    pub fn prefill_rates(&self) -> Vec<(EndpointId, f64)> {
        let mut fixed: HashMap<EngineSpec, f64> = HashMap::new();
        let measured = self.loads.iter().filter(|(_, load)| load.is_measured());
        let rates = measured.filter_map(|(id, load)| {
            let spec = load.spec();
            let fixed_ms = *fixed
                .entry(spec)
                .or_insert_with(|| self.median_fixed_ms(spec));
            Some((*id, load.prefill_rate(fixed_ms)?))
        });
        rates.collect()
    }

    /// Returns the median of the fixed times of the engines of a kind, in milliseconds.
    fn median_fixed_ms(&self, spec: EngineSpec) -> f64 {
        let loads = self.loads.values().filter(|load| load.spec() == spec);
        let mut times: Vec<f64> = loads.map(|load| load.model().fixed_ms()).collect();
        let middle = times.len() / 2;
        match times.is_empty() {
            true => PrefillModel::default().fixed_ms(),
            false => *times.select_nth_unstable_by(middle, f64::total_cmp).1,
        }
    }

    /// Records the first event of a run.
    ///
    /// `updates_model` is set if this box receives reports of every run at the engine.
    pub fn start(&mut self, endpoint: EndpointId, key: RunKey, now_ms: u64, updates_model: bool) {
        let Some(load) = self.loads.get_mut(&endpoint) else {
            return;
        };
        load.start(key, now_ms, updates_model);
        if updates_model {
            self.speeds.insert(load.spec(), load.model().speed());
        }
    }

    /// Ends a run.
    pub fn end(&mut self, endpoint: EndpointId, key: RunKey) {
        if let Some(load) = self.loads.get_mut(&endpoint) {
            load.end(key);
        }
    }

    /// Ends all runs of a box that has lost its state.
    pub fn forget_entry(&mut self, entry: BoxKey, now_ms: u64) {
        for load in self.loads.values_mut() {
            load.retain(now_ms, |run| run.entry == entry);
        }
    }

    /// Removes unknown engines, the runs for which `is_gone` holds, and expired runs.
    pub fn retain(
        &mut self,
        now_ms: u64,
        is_known: impl Fn(EndpointId) -> bool,
        is_gone: impl Fn(RunKey) -> bool + Copy,
    ) {
        self.loads.retain(|endpoint, _| is_known(*endpoint));
        for load in self.loads.values_mut() {
            load.retain(now_ms, is_gone);
        }
    }
}
