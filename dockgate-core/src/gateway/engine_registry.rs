//! The loads of all engines that this box knows something of.
//!
//! For the engines that it decides for, a box hears of every run; for the others it knows just its
//! own. The same book serves both, so that a box can decide for any engine when its owner is away.

use super::engine_load::EngineLoad;
use super::prefill_model::{PrefillModel, PrefillSpeed, PrefillWork};
use super::prompt_shape::{PromptPart, PromptShape};
use super::route_table::{EndpointId, EngineSpec};
use super::share_level::ShareLevel;
use crate::ids::BoxKey;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// Names one run: the box that sent it, and that box's own counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunKey {
    /// The box that holds the caller.
    pub entry: BoxKey,
    /// Its counter.
    pub number: u32,
}

/// What an engine is asked to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionRequest {
    /// The workspace, as a hash of its name.
    pub workspace: u64,
    /// Within how many milliseconds from now the first event is in time.
    pub objective_ms: u32,
    /// The shortest such time among the routes of the service.
    pub shortest_objective_ms: u32,
    /// How long the caller waits at most.
    pub budget_ms: u32,
    /// How its workspace stands where it was asked.
    pub level: ShareLevel,
    /// Tokens of the prompt.
    pub input: u32,
    /// Tokens expected to be made.
    pub output: u32,
    /// The parts of the prompt.
    pub parts: Vec<PromptPart>,
}

/// How long a caller and others of its service wait, in milliseconds from now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatencyLimits {
    /// Within which the first event is in time.
    pub objective_ms: u32,
    /// The shortest such time among the routes of the service.
    pub shortest_objective_ms: u32,
    /// Until the caller leaves.
    pub budget_ms: u32,
}

impl AdmissionRequest {
    /// Makes the ask for a prompt of a caller that has this long.
    pub fn new(workspace: u64, prompt: &PromptShape, times: LatencyLimits) -> Self {
        Self {
            workspace,
            objective_ms: times.objective_ms,
            shortest_objective_ms: times.shortest_objective_ms,
            budget_ms: times.budget_ms,
            level: ShareLevel::WITHIN,
            input: prompt.input,
            output: prompt.output,
            parts: prompt.parts.clone(),
        }
    }

    /// Sets how its workspace stands.
    #[must_use]
    pub const fn level(mut self, level: ShareLevel) -> Self {
        self.level = level;
        self
    }

    /// Returns the shorter of its own objective and the shortest of the service, in milliseconds.
    pub fn strictest_objective_ms(&self) -> f64 {
        f64::from(self.objective_ms.min(self.shortest_objective_ms))
    }

    /// Returns what has to be read of the prompt if all that other prompts share is kept, and the pairs
    /// with what is kept count for nothing: the least that any engine reads.
    pub fn min_work(&self) -> PrefillWork {
        let own = self.parts.last().map_or(0, |part| part.tokens);
        PrefillWork::new(0, own.min(self.input))
    }

    /// Returns the tokens of memory that the run takes when it has made all its output.
    pub const fn memory(&self) -> u32 {
        self.input + self.output
    }
}

/// The loads of engines by endpoint.
#[derive(Debug, Default)]
pub struct EngineRegistry {
    loads: BTreeMap<EndpointId, EngineLoad>,
    /// How fast an engine of each kind was when its last first event was learned from: where an
    /// engine of the same kind begins.
    kinds: HashMap<EngineSpec, PrefillSpeed>,
}

impl EngineRegistry {
    /// Returns the load of an engine; one that is new has none.
    pub fn load_mut(&mut self, endpoint: EndpointId, spec: EngineSpec) -> &mut EngineLoad {
        let kind = self.kinds.get(&spec).copied();
        let load = self.loads.entry(endpoint).or_insert_with(|| {
            let model = kind.map_or_else(PrefillModel::default, PrefillModel::from);
            EngineLoad::new(spec, model)
        });
        load.set_spec(spec);
        load
    }

    /// Returns the load of an engine, if anything is known of it.
    pub fn get(&self, endpoint: EndpointId) -> Option<&EngineLoad> {
        self.loads.get(&endpoint)
    }

    /// Returns the fastest engine of a kind, each time by itself, where any was learned of: no engine of
    /// the kind is believed to be faster in any way.
    pub fn fastest(&self, spec: EngineSpec) -> Option<PrefillModel> {
        let loads = self.loads.values().filter(|load| load.spec() == spec);
        let speeds = loads.map(|load| load.model().speed());
        speeds
            .reduce(PrefillSpeed::min_each)
            .map(PrefillModel::from)
    }

    /// Lists the loads of all engines.
    pub fn iter(&self) -> impl Iterator<Item = &EngineLoad> {
        self.loads.values()
    }

    /// Notes the first event of a run; `learns` where this box hears of every run at the engine.
    pub fn start(&mut self, endpoint: EndpointId, key: RunKey, now_ms: u64, updates_model: bool) {
        let Some(load) = self.loads.get_mut(&endpoint) else {
            return;
        };
        load.start(key, now_ms, updates_model);
        if updates_model {
            self.kinds.insert(load.spec(), load.model().speed());
        }
    }

    /// Ends a run.
    pub fn end(&mut self, endpoint: EndpointId, key: RunKey) {
        if let Some(load) = self.loads.get_mut(&endpoint) {
            load.end(key);
        }
    }

    /// Ends all runs of a box that remembers none of them.
    pub fn forget_entry(&mut self, entry: BoxKey, now_ms: u64) {
        for load in self.loads.values_mut() {
            load.retain(now_ms, |run| run.entry == entry);
        }
    }

    /// Forgets the engines that are gone, the runs that `gone` tells of, and those that lapsed.
    pub fn retain(
        &mut self,
        now_ms: u64,
        known: impl Fn(EndpointId) -> bool,
        gone: impl Fn(RunKey) -> bool + Copy,
    ) {
        self.loads.retain(|endpoint, _| known(*endpoint));
        for load in self.loads.values_mut() {
            load.retain(now_ms, gone);
        }
    }
}
