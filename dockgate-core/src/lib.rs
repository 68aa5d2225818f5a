//! The decision logic of dockgate: fair shares, slots, attempts, configuration and plans.
//!
//! This crate does no I/O, reads no clock and draws no random numbers: callers pass events and the
//! current time. Randomized tests with fault injection are therefore fast and reproducible.
//!
//! ```
//! use dockgate_core::{FleetConfig, parse_declaration};
//!
//! let text = "[pool chat]\nkind = engine\nmodels = small\n";
//! let changes = parse_declaration("fleet.ini", text)?.changes_from(&FleetConfig::default());
//! let config = FleetConfig::default().apply(&changes)?;
//! assert_eq!(config.pools.len(), 1);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod attempt;
mod config;
mod entry;
mod fair;
pub mod gateway;
mod grant_table;
mod ids;
mod ini;
mod invariant;
mod placement;
mod plan;
mod queue;
mod scheduler;
mod slot_request_table;
mod topology;

pub use attempt::{AttemptState, AttemptTrail, Outcome, RetryVerdict};
pub use config::{
    ChangeError, ConfigChange, ConfigEntry, CostRule, Declaration, EndpointSpec, FleetConfig,
    KeyHash, KindSpec, PoolKind, PoolSpec, SpecArena, WorkspaceSpec, parse_declaration,
};
pub use entry::{EntryAction, EntryState, RunningRequest, SlotRequestPolicy};
pub use fair::{FairLedger, FairQueue, LedgerReport, LedgerRow, OrderPolicy};
pub use grant_table::{GrantTable, HeldGrant};
pub use ids::{BoxKey, EndpointKey, GrantId, Incarnation, KindKey, PoolKey, SpecKey, WorkspaceKey};
pub use ini::{IniDocument, IniProblem, IniProblems, SectionReader};
pub use invariant::{check_invariant, invariant_violations, set_fatal_invariants};
pub use placement::{owner_of, rendezvous_score};
pub use plan::{ConfigPlan, PlanEffect, PlanId, ShareEffect};
pub use queue::{QueueError, RequestQueue, RequestRank, WaitingRequest};
pub use scheduler::{
    AdoptedGrant, GrantOffer, OrderMode, PausePolicy, SchedulePolicy, SettleReport, SlotDemand,
    SlotEndpoint, SlotOutcome, SlotScheduler,
};
pub use slot_request_table::{SlotRequest, SlotRequestTable};
pub use topology::{FleetTopology, LiveBox};
