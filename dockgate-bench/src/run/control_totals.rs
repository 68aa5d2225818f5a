//! Counters read before and after a run, and the checks at its end.

use crate::caller::CallerStats;
use crate::fleet::{BenchFleet, DaemonProcess};
use crate::report::ArmReport;
use crate::standin::PlatformCalls;

/// Control traffic and CPU use, summed over all boxes.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ControlTotals {
    pub(super) peer_bytes: u64,
    pub(super) bytes: u64,
    calls: PlatformCalls,
    control_busy_us: f64,
    cpu_s: f64,
    pauses: f64,
}

impl ControlTotals {
    /// Reads the current totals.
    pub(super) async fn read(fleet: &BenchFleet) -> Self {
        let peer_bytes = fleet.peer_bytes.total();
        Self {
            peer_bytes,
            bytes: peer_bytes + fleet.platform_bytes.total(),
            calls: fleet.platform.calls(),
            control_busy_us: sum_metric(fleet, "dockgate_control_busy_microseconds_total").await,
            pauses: sum_metric(fleet, "dockgate_pauses_total").await,
            cpu_s: fleet.daemons.iter().map(DaemonProcess::cpu_seconds).sum(),
        }
    }

    /// Returns the difference to an earlier reading.
    pub(super) const fn since(&self, earlier: &Self) -> Self {
        Self {
            peer_bytes: self.peer_bytes - earlier.peer_bytes,
            bytes: self.bytes - earlier.bytes,
            calls: PlatformCalls {
                reads: self.calls.reads - earlier.calls.reads,
                writes: self.calls.writes - earlier.calls.writes,
            },
            control_busy_us: self.control_busy_us - earlier.control_busy_us,
            pauses: self.pauses - earlier.pauses,
            cpu_s: self.cpu_s - earlier.cpu_s,
        }
    }

    /// Writes the rates over `seconds` into a report.
    pub(super) fn write_to(&self, report: &mut ArmReport, fleet: &BenchFleet, seconds: f64) {
        let boxes = fleet.daemons.len() as f64;
        let requests = report.requests.max(1) as f64;
        report.control_bytes_per_request = self.peer_bytes as f64 / requests;
        report.control_bytes_per_node_second = self.bytes as f64 / boxes / seconds;
        report.platform_reads_per_second = self.calls.reads as f64 / seconds;
        report.platform_writes_per_second = self.calls.writes as f64 / seconds;
        // A restarted box counts from zero, which could make the difference negative.
        let busy_s = self.control_busy_us.max(0.0) / 1e6;
        report.control_core_fraction = busy_s / boxes / seconds;
        report.pauses_per_second = self.pauses.max(0.0) / seconds;
        report.process_core_fraction = self.cpu_s.max(0.0) / boxes / seconds;
        let memory: f64 = fleet.daemons.iter().map(DaemonProcess::memory_mb).sum();
        report.memory_mb = memory / boxes;
        report.fairness_bound_units = fairness_bound(fleet);
    }
}

async fn sum_metric(fleet: &BenchFleet, name: &str) -> f64 {
    let values = fleet.daemons.iter().map(|daemon| daemon.metric(name));
    let values = futures::future::join_all(values).await;
    values.into_iter().flatten().sum()
}

/// Returns the bound on the fairness gap, in service units: one workspace may be ahead by an answer
/// of the largest size in every slot, and by the service of one report interval.
fn fairness_bound(fleet: &BenchFleet) -> f64 {
    const REPORT_INTERVAL_S: f64 = 1.0;
    let pools = fleet.scenario.pools.iter().filter(|pool| pool.engine);
    pools
        .map(|pool| {
            let slots = (pool.endpoints * pool.slots) as f64;
            let loads = fleet.scenario.workspaces.iter();
            let sizes = loads.filter(|load| load.pool == pool.name);
            let largest = sizes.map(|load| load.sizes.largest()).max().unwrap_or(0);
            slots * (largest as f64 + pool.tokens_per_second * REPORT_INTERVAL_S)
        })
        .fold(0.0, f64::max)
}

/// Writes the counts that are known only at the end of a run into a report.
pub(super) async fn fill_final_counts(
    report: &mut ArmReport,
    fleet: &BenchFleet,
    stats: &CallerStats,
) {
    let runs_of = |pool: &str, nonce: &str| {
        let tally = fleet.tallies.get(pool);
        tally.map_or(0, |tally| tally.runs_of(nonce))
    };
    let not_run = stats.not_run();
    let not_run_but_ran = not_run
        .iter()
        .filter(|(pool, nonce)| runs_of(pool, nonce) > 0);
    report.not_run_but_ran = not_run_but_ran.count() as u64;
    let non_repeatable = stats.non_repeatable();
    let duplicated = non_repeatable
        .iter()
        .filter(|(pool, nonce)| runs_of(pool, nonce) > 1);
    report.duplicate_runs = duplicated.count() as u64;
    let late_starts = fleet
        .endpoints
        .iter()
        .map(|endpoint| endpoint.standin.late_starts());
    report.late_grants_to_leaving = late_starts.sum();
    let tallies = fleet.tallies.values();
    report.engine_refusals = tallies.clone().map(|tally| tally.refused()).sum();
    report.tokens_computed_twice = tallies.map(|tally| tally.recomputed()).sum();
    report.invariant_violations = sum_metric(fleet, "dockgate_invariant_violations").await as u64;
    report.overgrants = sum_metric(fleet, "dockgate_overgrants").await as u64;
    report.expired_grants = sum_metric(fleet, "dockgate_expired_grants").await as u64;
}
