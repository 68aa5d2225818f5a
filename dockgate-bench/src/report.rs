//! What a run measured.

use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Added latency against calling a stand-in directly, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct AddedLatency {
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
}

/// Percentiles of a time, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct TimePercentiles {
    /// The median.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile.
    pub p99: f64,
}

macro_rules! arm_report {
    ($($(#[$doc:meta])* $name:ident: $type:ty,)+) => {
        /// What one arm of a run measured.
        #[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
        pub struct ArmReport {
            /// The arm.
            pub arm: String,
            $($(#[$doc])* pub $name: $type,)+
            /// Second by second.
            pub timeline: Vec<TimelinePoint>,
        }

        impl ArmReport {
            /// Returns every field but the name, as text.
            fn fields(&self) -> Vec<(&'static str, String)> {
                vec![$((stringify!($name), field_text(&self.$name)),)+]
            }
        }
    };
}

fn field_text<T: Serialize>(value: &T) -> String {
    match serde_json::to_value(value).unwrap_or_default() {
        serde_json::Value::Number(number) if number.is_f64() => {
            format!("{:.4}", number.as_f64().unwrap_or_default())
        }
        serde_json::Value::Object(fields) => {
            let parts = fields
                .iter()
                .map(|(name, value)| format!("{name} {:.1}", value.as_f64().unwrap_or_default()));
            parts.collect::<Vec<_>>().join(", ")
        }
        value => value.to_string(),
    }
}

/// What was seen in one second of a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TimelinePoint {
    /// Seconds since the warm-up.
    pub at_s: f64,
    /// Part of the engines' slot time in use.
    pub utilisation: f64,
    /// Part of slot time idle while a compatible request waited.
    pub idle_while_queued: f64,
    /// Bytes between boxes in this second.
    pub peer_bytes: u64,
    /// Service units of each workspace so far, for a share of one.
    pub levels: BTreeMap<String, f64>,
}

arm_report! {
    /// Worst gap between two backlogged workspaces, in service units at the mean share.
    fairness_gap_units: f64,
    /// The gap in seconds of a backlogged workspace's fair rate.
    fairness_gap_seconds: f64,
    /// The stated bound of the gap, in service units.
    fairness_bound_units: f64,
    /// Part of the engines' slot time in use.
    utilisation: f64,
    /// Part of slot time idle while a compatible request waited.
    idle_while_queued: f64,
    /// Service units the engines gave a second.
    units_per_second: f64,
    /// Bytes between boxes for each request.
    control_bytes_per_request: f64,
    /// Bytes that a box sends to boxes and the platform a second.
    control_bytes_per_node_second: f64,
    /// The same before any caller came.
    idle_control_bytes_per_node_second: f64,
    /// Reads of the platform's service a second.
    platform_reads_per_second: f64,
    /// Writes of the platform's service a second.
    platform_writes_per_second: f64,
    /// Requests that ended.
    requests: u64,
    /// Requests with a whole, right answer.
    requests_ok: u64,
    /// Requests refused as having run without a whole answer.
    requests_failed: u64,
    /// Requests of which nobody knows.
    requests_unknown: u64,
    /// Requests refused as not run.
    requests_not_run: u64,
    /// Requests whose connection broke.
    requests_cut: u64,
    /// Requests refused as not run that a stand-in has run.
    not_run_but_ran: u64,
    /// Requests that may not be repeated and ran more than once.
    duplicate_runs: u64,
    /// Answers to something else.
    wrong_answers: u64,
    /// Answers that ended as if they were whole, and were not.
    truncated_answers: u64,
    /// Requests cut off by a planned stop.
    cut_by_planned_stop: u64,
    /// Runs that a leaving endpoint started more than three seconds later.
    late_grants_to_leaving: u64,
    /// Boxes seen with an older configuration than before.
    config_reverts: u64,
    /// Violations of invariants over all boxes.
    invariant_violations: u64,
    /// Requests that a full engine refused.
    engine_refusals: u64,
    /// Grants that came when nothing waited any more.
    overgrants: u64,
    /// Grants that lapsed.
    expired_grants: u64,
    /// Streams paused a second.
    pauses_per_second: f64,
    /// Tokens that engines computed a second time.
    tokens_computed_twice: u64,
    /// Time to the first token.
    first_token_ms: TimePercentiles,
    /// Time between tokens.
    between_token_ms: TimePercentiles,
    /// Added latency of a plain call.
    added_latency_us: AddedLatency,
    /// Part of one core that a box's control actor used.
    control_core_fraction: f64,
    /// Part of one core that a box's whole process used.
    process_core_fraction: f64,
    /// Resident memory of a box's process, in megabytes.
    memory_mb: f64,
    /// Time from the confirmation of a change until it was in force at every box.
    config_in_force_ms: TimePercentiles,
}

impl ArmReport {
    /// Returns the counts that must be zero, with their names.
    pub const fn violations(&self) -> [(&'static str, u64); 8] {
        [
            ("wrong_answers", self.wrong_answers),
            ("truncated_answers", self.truncated_answers),
            ("duplicate_runs", self.duplicate_runs),
            ("not_run_but_ran", self.not_run_but_ran),
            ("cut_by_planned_stop", self.cut_by_planned_stop),
            ("late_grants_to_leaving", self.late_grants_to_leaving),
            ("config_reverts", self.config_reverts),
            ("invariant_violations", self.invariant_violations),
        ]
    }
}

/// What a run measured, all arms.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BenchReport {
    /// The scenario.
    pub scenario: String,
    /// The seed of arrivals and sizes.
    pub seed: u64,
    /// Seconds measured, after the warm-up.
    pub seconds: f64,
    /// The first arm.
    #[serde(flatten)]
    pub main: ArmReport,
    /// The other arms.
    pub baselines: Vec<ArmReport>,
}

impl BenchReport {
    /// Prints the arms side by side.
    pub fn print(&self) {
        println!("{} seed {} {:.0} s", self.scenario, self.seed, self.seconds);
        let arms: Vec<&ArmReport> = std::iter::once(&self.main).chain(&self.baselines).collect();
        let mut table = Table::new();
        let header = std::iter::once("").chain(arms.iter().map(|arm| arm.arm.as_str()));
        table.load_style(ASCII_MARKDOWN).set_header(header);
        let columns: Vec<_> = arms.iter().map(|arm| arm.fields()).collect();
        for (row, (name, _)) in columns[0].iter().enumerate() {
            let values = columns.iter().map(|column| column[row].1.as_str());
            table.add_row(std::iter::once(*name).chain(values));
        }
        println!("{table}");
    }
}
