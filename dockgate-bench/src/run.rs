//! Runs a scenario: starts the fleet, drives callers and faults, measures.

mod churn;
mod measure;
mod sampler;

use crate::caller::{BoxView, CallerClient, start_callers};
use crate::error::BenchError;
use crate::fault::FaultDriver;
use crate::fleet::{BenchFleet, EndpointStandIn};
use crate::report::{ArmReport, BenchReport};
use crate::scenario::{Arrival, BenchArm, BenchScenario, EntryChoice, WorkspaceLoad};
use churn::{ChurnStats, OperatorChurn};
use measure::{ControlTotals, close_books};
use sampler::RunSampler;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// How long callers run before anything is measured, where nothing else is said.
pub const WARM_UP: Duration = Duration::from_secs(4);
/// How long the idle fleet's control traffic is measured.
const IDLE: Duration = Duration::from_secs(2);
/// How often the fleet is sampled.
const SAMPLE: Duration = Duration::from_millis(50);
/// How often the balancer asks whether a box is ready.
const BALANCER: Duration = Duration::from_millis(100);
/// How often added latency is probed.
const PROBE: Duration = Duration::from_millis(20);
/// How long requests in flight may take at the end.
const DRAIN: Duration = Duration::from_secs(10);
/// The workspace on whose behalf probes run.
const PROBE_WORKSPACE: &str = "probe";

/// How a scenario is run.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// Seed of arrivals and sizes.
    pub seed: u64,
    /// How long is measured, after the warm-up.
    pub seconds: f64,
    /// How long callers run before anything is measured.
    pub warm_up: Duration,
    /// Where the daemons' logs go, if they are to be kept.
    pub keep_logs: Option<PathBuf>,
}

/// Runs every arm of a scenario, one after the other.
///
/// # Errors
///
/// Returns what could not be started or changed.
pub async fn run_scenario(
    scenario: &BenchScenario,
    options: &RunOptions,
) -> Result<BenchReport, BenchError> {
    let mut reports = Vec::new();
    for arm in &scenario.arms {
        log::info!("{}: arm {}", scenario.name, arm.name);
        reports.push(run_arm(scenario, arm, options).await?);
    }
    let main = reports.remove(0);
    Ok(BenchReport {
        scenario: scenario.name.clone(),
        seed: options.seed,
        seconds: options.seconds,
        main,
        baselines: reports,
    })
}

async fn run_arm(
    scenario: &BenchScenario,
    arm: &BenchArm,
    options: &RunOptions,
) -> Result<ArmReport, BenchError> {
    let mut scenario = scenario.clone();
    let probe = scenario
        .fleet
        .probe
        .then(|| probe_load(&scenario))
        .flatten();
    // The probe's workspace is declared, but its calls are not drawn with the others.
    let loads = scenario.workspaces.clone();
    scenario.workspaces.extend(probe.clone());
    let mut fleet = BenchFleet::start(scenario, arm).await?;
    fleet.scenario.workspaces = loads;

    let idle = ControlTotals::read(&fleet).await;
    tokio::time::sleep(IDLE).await;
    let idle = ControlTotals::read(&fleet).await.since(&idle);

    let client = Arc::new(CallerClient::new(views(&fleet), engines(&fleet)));
    let stop = CancellationToken::new();
    let callers = start_callers(&fleet.scenario, &client, options.seed, &stop);
    let helpers = CancellationToken::new();
    tokio::spawn(watch_boxes(client.clone(), helpers.clone()));
    if let Some(load) = probe {
        tokio::spawn(probe_calls(
            load,
            client.clone(),
            direct_targets(&fleet),
            helpers.clone(),
        ));
    }
    let churn = ChurnStats::default();
    if fleet.scenario.fleet.changes_per_second > 0.0 {
        let churner = OperatorChurn::new(&fleet, churn.clone());
        tokio::spawn(churner.run(helpers.clone()));
    }
    tokio::time::sleep(options.warm_up).await;
    client.stats.reset();

    let before = ControlTotals::read(&fleet).await;
    let mut sampler = RunSampler::new(&fleet.scenario, &fleet.tallies, fleet.peer_bytes.clone());
    let mut faults = FaultDriver::new(&fleet.scenario.faults);
    let started = tokio::time::Instant::now();
    let mut ticks = tokio::time::interval(SAMPLE);
    while started.elapsed().as_secs_f64() < options.seconds {
        ticks.tick().await;
        faults.drive(&mut fleet, &client).await?;
        sampler.sample(&client.stats);
        sampler.watch_versions(&fleet).await;
    }
    let control = ControlTotals::read(&fleet).await.since(&before);
    let mut report = sampler.report(&client.stats, options.seconds);
    stop.cancel();
    let _ = tokio::time::timeout(DRAIN, futures::future::join_all(callers)).await;
    helpers.cancel();
    report.arm = arm.name.clone();
    report.config_in_force_ms = churn.percentiles();
    control.fill(&mut report, &fleet, options.seconds);
    report.idle_control_bytes_per_node_second =
        idle.bytes as f64 / fleet.daemons.len() as f64 / IDLE.as_secs_f64();
    close_books(&mut report, &fleet, &client.stats).await;
    keep_logs(&fleet, arm, options);
    fleet.stop().await;
    Ok(report)
}

fn views(fleet: &BenchFleet) -> Vec<BoxView> {
    let daemons = fleet.daemons.iter();
    daemons
        .map(|daemon| BoxView::new(daemon.name().to_owned(), daemon.callers()))
        .collect()
}

fn engines(fleet: &BenchFleet) -> std::collections::BTreeMap<String, bool> {
    let pools = fleet.scenario.pools.iter();
    pools.map(|pool| (pool.name.clone(), pool.engine)).collect()
}

/// Makes the load of the probe, where there is a pool of plain services.
fn probe_load(scenario: &BenchScenario) -> Option<WorkspaceLoad> {
    let pool = scenario.pools.iter().find(|pool| !pool.engine)?;
    Some(WorkspaceLoad {
        workspace: PROBE_WORKSPACE.to_owned(),
        share: 1,
        pool: pool.name.clone(),
        arrival: Arrival::Closed(1),
        sizes: "0*1".parse().ok()?,
        prompt: 0,
        stream: false,
        kind: None,
        entries: EntryChoice::All,
        deadline_ms: 0,
        queue_limit: 100,
    })
}

/// Returns for each box a service stand-in of its own domain.
fn direct_targets(fleet: &BenchFleet) -> Vec<Option<std::net::SocketAddr>> {
    let daemons = fleet.daemons.iter();
    daemons
        .map(|daemon| {
            fleet
                .endpoints
                .iter()
                .find_map(|endpoint| match &endpoint.standin {
                    EndpointStandIn::Service(service) if endpoint.domain == daemon.domain() => {
                        Some(service.address)
                    }
                    _ => None,
                })
        })
        .collect()
}

/// Probes every box in turn, against a stand-in of its own domain.
async fn probe_calls(
    load: WorkspaceLoad,
    client: Arc<CallerClient>,
    targets: Vec<Option<std::net::SocketAddr>>,
    stop: CancellationToken,
) {
    let mut ticks = tokio::time::interval(PROBE);
    for entry in (0..targets.len()).cycle() {
        ticks.tick().await;
        if stop.is_cancelled() {
            return;
        }
        if let Some(direct) = targets[entry] {
            client.probe(&load, entry, direct).await;
        }
    }
}

/// Asks every box whether it is ready, as the balancer does.
async fn watch_boxes(client: Arc<CallerClient>, stop: CancellationToken) {
    while !stop.is_cancelled() {
        for view in client.boxes() {
            let ready = crate::fleet::is_ready(view.callers).await;
            view.set_ready(ready);
        }
        tokio::time::sleep(BALANCER).await;
    }
}

fn keep_logs(fleet: &BenchFleet, arm: &BenchArm, options: &RunOptions) {
    let Some(folder) = &options.keep_logs else {
        return;
    };
    let folder = folder.join(&arm.name);
    let made = std::fs::create_dir_all(&folder);
    for daemon in &fleet.daemons {
        let from = daemon.log_path();
        let to = folder.join(format!("{}.log", daemon.name()));
        if let (true, Err(error)) = (made.is_ok(), std::fs::copy(&from, &to)) {
            log::warn!("keep {}: {error}", to.display());
        }
    }
}
