//! The report of a run.

use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Latency added to a direct call of a stand-in, in microseconds.
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
        /// Measurements of one arm of a run.
        #[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
        pub struct ArmReport {
            /// Name of the arm.
            pub arm: String,
            $($(#[$doc])* pub $name: $type,)+
            /// Measurements of each second.
            pub timeline: Vec<TimelinePoint>,
        }

        impl ArmReport {
            /// Returns the names and values of the fields, without the arm's name and the timeline.
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

/// Measurements of one second of a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TimelinePoint {
    /// Seconds since the end of the warm-up.
    pub at_s: f64,
    /// Fraction of the engines' slot time in use.
    pub utilisation: f64,
    /// Fraction of slot time that was idle while a compatible request was queued.
    pub idle_while_queued: f64,
    /// Bytes sent between boxes in this second.
    pub peer_bytes: u64,
    /// Service units received by each workspace so far, divided by its share.
    pub levels: BTreeMap<String, f64>,
}

arm_report! {
    /// Largest gap between two backlogged workspaces, in service units at the mean share.
    fairness_gap_units: f64,
    /// Largest gap in seconds of a backlogged workspace's fair rate.
    fairness_gap_seconds: f64,
    /// Guaranteed bound of the gap, in service units.
    fairness_bound_units: f64,
    /// Fraction of the engines' slot time in use.
    utilisation: f64,
    /// Fraction of slot time that was idle while a compatible request was queued.
    idle_while_queued: f64,
    /// Service units provided by the engines per second.
    units_per_second: f64,
    /// Bytes sent between boxes per request.
    control_bytes_per_request: f64,
    /// Bytes exchanged with other boxes and the platform, per box and second.
    control_bytes_per_node_second: f64,
    /// `control_bytes_per_node_second` of the idle fleet.
    idle_control_bytes_per_node_second: f64,
    /// Reads of the platform service per second.
    platform_reads_per_second: f64,
    /// Writes of the platform service per second.
    platform_writes_per_second: f64,
    /// Requests that ended.
    requests: u64,
    /// Requests with a complete, correct answer.
    requests_ok: u64,
    /// Requests refused as having run without a complete answer.
    requests_failed: u64,
    /// Requests refused as unknown whether they ran.
    requests_unknown: u64,
    /// Requests refused as not run.
    requests_not_run: u64,
    /// Requests whose connection failed.
    requests_cut: u64,
    /// Requests refused as not run although a stand-in ran them.
    not_run_but_ran: u64,
    /// Non-repeatable requests that ran more than once.
    duplicate_runs: u64,
    /// Answers that are not the one to their request.
    wrong_answers: u64,
    /// Answers that ended normally but are incomplete.
    truncated_answers: u64,
    /// Requests cut off by a graceful shutdown.
    cut_by_planned_stop: u64,
    /// Runs that a retired endpoint started after its grace period.
    late_grants_to_leaving: u64,
    /// Number of times that a box reverted to an older configuration.
    config_reverts: u64,
    /// Invariant violations counted by all boxes.
    invariant_violations: u64,
    /// Requests refused by an engine with no free slot.
    engine_refusals: u64,
    /// Grants received by a box that had no request queued for them.
    overgrants: u64,
    /// Grants that expired unused.
    expired_grants: u64,
    /// Stream pauses per second.
    pauses_per_second: f64,
    /// Tokens that engines computed a second time.
    tokens_computed_twice: u64,
    /// Time to the first token.
    first_token_ms: TimePercentiles,
    /// Time between tokens.
    between_token_ms: TimePercentiles,
    /// Latency added to a service call.
    added_latency_us: AddedLatency,
    /// Fraction of a core used by the control actor, per box.
    control_core_fraction: f64,
    /// Fraction of a core used by the whole process, per box.
    process_core_fraction: f64,
    /// Mean resident memory of the processes, in megabytes.
    memory_mb: f64,
    /// Time from the confirmation of a configuration change until it is in force at every box.
    config_in_force_ms: TimePercentiles,
}

impl ArmReport {
    /// Returns the names and values of the counts that must be zero.
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

/// Measurements of all arms of a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BenchReport {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of arrivals and answer sizes.
    pub seed: u64,
    /// Measurement time after the warm-up, in seconds.
    pub seconds: f64,
    /// Measurements of the first arm.
    #[serde(flatten)]
    pub main: ArmReport,
    /// Measurements of the other arms.
    pub baselines: Vec<ArmReport>,
}

impl BenchReport {
    /// Prints a table with a column for each arm.
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
