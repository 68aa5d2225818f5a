//! Messages between `dockgatectl` and the operator listener of a daemon.

use dockgate_core::{ConfigChange, ConfigEntry, ConfigPlan, FleetConfig};
use serde::{Deserialize, Serialize};

/// Creates a plan: [`PlanRequest`] to [`PlanReply`].
pub const PLAN: &str = "plan";
/// Commits a plan: [`ConfirmRequest`] to [`ConfirmReply`].
pub const CONFIRM: &str = "confirm";
/// Returns the current configuration: no parameters to [`FleetConfig`].
pub const SHOW: &str = "show";
/// Returns the last changes: [`HistoryRequest`] to a list of [`ConfigEntry`].
pub const HISTORY: &str = "history";
/// Returns the state of the box: no parameters to [`StatusReply`].
pub const STATUS: &str = "status";

/// JSON-RPC error codes of the operator listener.
pub mod codes {
    /// The intent violates a rule of the configuration.
    pub const INVALID: i32 = 1001;
    /// The base version of the plan is no longer the current one.
    pub const STALE: i32 = 1002;
    /// The plan does not exist.
    pub const UNKNOWN_PLAN: i32 = 1003;
    /// The platform's store is unreachable.
    pub const PLATFORM: i32 = 1004;
}

/// The changes that an operator requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanIntent {
    /// Individual changes.
    Changes(Vec<ConfigChange>),
    /// A whole declaration: the file name, used in errors, and the text.
    Declaration(String, String),
}

/// Requests a plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanRequest {
    /// The requested changes.
    pub intent: PlanIntent,
}

/// A plan that is stored until it is confirmed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanReply {
    /// The plan.
    pub plan: ConfigPlan,
    /// The time within which it can be confirmed, in seconds.
    pub valid_for_s: u64,
}

/// Requests that a plan is committed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfirmRequest {
    /// The id of the plan.
    pub plan: String,
    /// The author of the change.
    pub author: String,
}

/// The result of committing a plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfirmReply {
    /// The version that the plan created.
    pub version: u64,
    /// Whether the plan had been committed before.
    pub already: bool,
}

/// The details of the error for a stale plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StaleDetail {
    /// The version that the plan is based on.
    pub base: u64,
    /// The current version.
    pub version: u64,
    /// The entries after the base version, if the log still holds all of them.
    pub since: Vec<ConfigEntry>,
}

/// Requests the last changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HistoryRequest {
    /// The maximum number of entries.
    pub limit: usize,
}

/// The state of a peer, as seen by another box.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The name of the peer.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Whether the link to it is open.
    pub linked: bool,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// The state of a box.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusReply {
    /// The name of the box.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// The version of its configuration.
    pub config_version: u64,
    /// Whether the platform's store is reachable.
    pub platform_reachable: bool,
    /// The number of requests that wait at this box.
    pub waiting: usize,
    /// The number of running requests that entered at this box.
    pub running: usize,
    /// The number of endpoints that this box schedules.
    pub endpoints: usize,
    /// The number of slots in use on these endpoints.
    pub held: usize,
    /// The number of invariant violations since the start.
    pub invariant_violations: u64,
    /// The other boxes.
    pub peers: Vec<PeerStatus>,
}

/// The reply to [`SHOW`].
pub type ShowReply = FleetConfig;
