//! What `dockgatectl` and a daemon's operator door say to each other.

use dockgate_core::{ConfigChange, ConfigEntry, ConfigPlan, FleetConfig};
use serde::{Deserialize, Serialize};

/// Works out a plan: [`PlanRequest`] to [`PlanReply`].
pub const PLAN: &str = "plan";
/// Commits a plan: [`ConfirmRequest`] to [`ConfirmReply`].
pub const CONFIRM: &str = "confirm";
/// Returns the configuration in force: no parameters to [`FleetConfig`].
pub const SHOW: &str = "show";
/// Returns the last changes: [`HistoryRequest`] to a list of [`ConfigEntry`].
pub const HISTORY: &str = "history";
/// Returns the state of the box: no parameters to [`StatusReply`].
pub const STATUS: &str = "status";

/// Codes of the errors that the operator door answers with.
pub mod codes {
    /// The intent breaks a rule of the configuration.
    pub const INVALID: i32 = 1001;
    /// The plan's base version no longer stands.
    pub const STALE: i32 = 1002;
    /// No such plan.
    pub const UNKNOWN_PLAN: i32 = 1003;
    /// The platform's service cannot be reached.
    pub const PLATFORM: i32 = 1004;
}

/// An intent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanIntent {
    /// Single changes.
    Changes(Vec<ConfigChange>),
    /// A whole declaration: the name of the file, for problems, and its text.
    Declaration(String, String),
}

/// Asks for a plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanRequest {
    /// What the operator wants.
    pub intent: PlanIntent,
}

/// A plan, kept for confirmation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanReply {
    /// The plan.
    pub plan: ConfigPlan,
    /// For how many seconds it can be confirmed.
    pub valid_for_s: u64,
}

/// Asks for a plan to be committed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfirmRequest {
    /// The plan's id.
    pub plan: String,
    /// Who confirms.
    pub author: String,
}

/// A committed plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfirmReply {
    /// The version that it made.
    pub version: u64,
    /// Whether it had been committed before.
    pub already: bool,
}

/// What stands against a stale plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StaleDetail {
    /// The version that the plan is based on.
    pub base: u64,
    /// The version in force.
    pub version: u64,
    /// What changed since, as far as it is still logged.
    pub since: Vec<ConfigEntry>,
}

/// Asks for the last changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HistoryRequest {
    /// How many at most.
    pub limit: usize,
}

/// One box as another sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The box.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Whether the link to it is open.
    pub linked: bool,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The state of a box.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusReply {
    /// The box.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// The version in force here.
    pub config_version: u64,
    /// Whether the platform's service answers.
    pub platform_reachable: bool,
    /// Requests waiting here.
    pub waiting: usize,
    /// Requests running from here.
    pub running: usize,
    /// Endpoints that this box schedules.
    pub endpoints: usize,
    /// Slots held on them.
    pub held: usize,
    /// Violations of invariants since the start.
    pub invariant_violations: u64,
    /// The other boxes.
    pub peers: Vec<PeerStatus>,
}

/// Names the type for [`SHOW`], which has no reply type of its own.
pub type ShowReply = FleetConfig;
