//! A fleet in which half of the boxes run another build, under steady callers.
//!
//! The boxes are disturbed as in everyday work: configurations and endpoints change, boxes are killed, stopped as
//! planned, and started by the other build on what the first one left. What only one build would do is told from what
//! the two cannot do together by a first run of the same seed with one build alone.

mod fleet_log;
mod fleet_run;
mod steady_caller;

use crate::error::BenchError;
use crate::fleet::daemon_program;
use fleet_run::FleetRun;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// What to run.
#[derive(Debug, Clone)]
pub struct MixedOptions {
    /// The daemon of the other build.
    pub other: PathBuf,
    /// Decides what is disturbed, and the requests.
    pub seed: u64,
}

/// What came of a fleet.
#[derive(Debug, Clone, Default)]
pub struct MixedReport {
    /// Which builds ran.
    pub name: &'static str,
    /// Requests made.
    pub calls: usize,
    /// Those that got their whole answer.
    pub answered: usize,
    /// Those with an unknown key that were refused as such.
    pub unknown_keys: usize,
    /// Those whose box was killed while they were there.
    pub killed: usize,
    /// The steps, in order.
    pub steps: Vec<String>,
    /// What should not have been.
    pub violations: Vec<String>,
    /// Lines of level WARN or ERROR, with numbers left out.
    pub problems: BTreeSet<String>,
}

/// Runs a fleet of this build alone, then a mixed one.
///
/// # Errors
///
/// Returns an error where a stand-in or a gateway cannot be started.
pub async fn run_mixed(options: &MixedOptions) -> Result<[MixedReport; 2], BenchError> {
    let own = daemon_program()?;
    let alone = run_fleet("one build", [&own, &own], options.seed).await?;
    let mut mixed = run_fleet("mixed", [&own, &options.other], options.seed).await?;
    let new = mixed.problems.difference(&alone.problems);
    let new = new.map(|line| format!("logged by a mixed fleet alone: {line}"));
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
    run.exchange_programs().await?;
    run.change_configs(1).await;
    run.restart_all_exchanged().await?;
    Ok(run.finish(name).await)
}
