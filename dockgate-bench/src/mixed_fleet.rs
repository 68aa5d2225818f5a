//! A compatibility test of two builds: half of the boxes run another build, under constant load.
//!
//! Configurations and endpoints change, boxes are killed and stopped gracefully, and each build is
//! started on the settings and stored records of the other. A run of the same seed with one build
//! alone serves as the baseline.

mod fleet_log;
mod fleet_run;
mod steady_caller;

use crate::error::BenchError;
use crate::fleet::daemon_program;
use fleet_run::FleetRun;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// The options of a run.
#[derive(Debug, Clone)]
pub struct MixedOptions {
    /// The daemon program of the other build.
    pub other: PathBuf,
    /// Seed of the disturbances and the requests.
    pub seed: u64,
}

/// The result of one fleet.
#[derive(Debug, Clone, Default)]
pub struct MixedReport {
    /// A label for the builds that ran.
    pub name: &'static str,
    /// Number of requests.
    pub calls: usize,
    /// Number of requests that were answered in full.
    pub answered: usize,
    /// Number of requests with an unknown key that were rejected as expected.
    pub unknown_keys: usize,
    /// Number of requests that were cut because their box was killed.
    pub killed: usize,
    /// The steps, in order.
    pub steps: Vec<String>,
    /// Violations of the expected behavior.
    pub violations: Vec<String>,
    /// Log lines of level WARN or ERROR, with digits masked.
    pub problems: BTreeSet<String>,
}

/// Runs a fleet of this build alone, then a mixed fleet.
///
/// # Errors
///
/// Returns an error if a stand-in or a gateway cannot be started.
pub async fn run_mixed(options: &MixedOptions) -> Result<[MixedReport; 2], BenchError> {
    let own = daemon_program()?;
    let alone = run_fleet("one build", [&own, &own], options.seed).await?;
    let mut mixed = run_fleet("mixed", [&own, &options.other], options.seed).await?;
    let new = mixed.problems.difference(&alone.problems);
    let new = new.map(|line| format!("logged by the mixed fleet only: {line}"));
    mixed.violations.extend(new);
    Ok([alone, mixed])
}

async fn run_fleet(
    name: &'static str,
    programs: [&Path; 2],
    seed: u64,
) -> Result<MixedReport, BenchError> {
    let mut run = FleetRun::start(programs, seed).await?;
    run.change_configs(2).await;
    run.add_endpoint("plain").await?;
    run.add_endpoint("model").await?;
    run.drain_endpoint("plain").await;
    run.drain_endpoint("model").await;
    run.quarantine_request().await?;
    run.kill_boxes().await?;
    run.stop_boxes().await?;
    run.swap_programs().await?;
    run.change_configs(1).await;
    run.restart_all_swapped().await?;
    Ok(run.finish(name).await)
}
