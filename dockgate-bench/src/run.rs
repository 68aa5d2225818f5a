//! Runs a scenario: starts a fleet, generates load, injects faults and collects measurements.

mod config_churn;
mod control_totals;
mod run_sampler;

use crate::caller::{BoxView, CallerClient, start_callers};
use crate::error::BenchError;
use crate::fault_injector::FaultInjector;
use crate::fleet::{BenchFleet, EndpointStandIn};
use crate::report::{ArmReport, BenchReport};
use crate::scenario::{ArrivalProcess, BenchArm, BenchScenario, EntryBoxes, WorkspaceLoad};
use config_churn::{ConfigChurn, PropagationTimes};
use control_totals::{ControlTotals, fill_final_counts};
use run_sampler::RunSampler;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Default time that callers run before the measurement starts.
pub const DEFAULT_WARM_UP: Duration = Duration::from_secs(4);
/// Time over which control traffic of the idle fleet is measured.
const IDLE_PERIOD: Duration = Duration::from_secs(2);
/// Interval between samples of the fleet.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between readiness probes by the load balancer.
const READINESS_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between probes of the added latency.
const PROBE_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for requests in flight at the end of a run.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);
/// Workspace that the probes use.
const PROBE_WORKSPACE: &str = "probe";

/// Options of a scenario run.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// Seed of arrivals and answer sizes.
    pub seed: u64,
    /// Measurement time after the warm-up, in seconds.
    pub seconds: f64,
    /// Time that callers run before the measurement starts.
    pub warm_up: Duration,
    /// Folder to which the daemons' logs are copied.
    pub keep_logs: Option<PathBuf>,
}

/// Runs every arm of a scenario in sequence.
///
/// # Errors
///
/// Returns an error if a fleet cannot be started or a fault cannot be injected.
pub async fn run_scenario(
    scenario: &BenchScenario,
    options: &RunOptions,
) -> Result<BenchReport, BenchError> {
    let mut reports = Vec::new();
    for arm in &scenario.arms {
        log::info!("scenario {}: running arm {}", scenario.name, arm.name);
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
    // The fleet must know the probe's workspace, but callers must not send load for it.
    let loads = scenario.workspaces.clone();
    scenario.workspaces.extend(probe.clone());
    let mut fleet = BenchFleet::start(scenario, arm).await?;
    fleet.scenario.workspaces = loads;

    let idle = ControlTotals::read(&fleet).await;
    tokio::time::sleep(IDLE_PERIOD).await;
    let idle = ControlTotals::read(&fleet).await.since(&idle);

    let client = Arc::new(CallerClient::new(box_views(&fleet), engine_pools(&fleet)));
    let stop = CancellationToken::new();
    let callers = start_callers(&fleet.scenario, &client, options.seed, &stop);
    let stop_background = CancellationToken::new();
    tokio::spawn(poll_readiness(client.clone(), stop_background.clone()));
    if let Some(load) = probe {
        tokio::spawn(probe_boxes(
            load,
            client.clone(),
            direct_targets(&fleet),
            stop_background.clone(),
        ));
    }
    let propagation = PropagationTimes::default();
    if fleet.scenario.fleet.changes_per_second > 0.0 {
        let config_churn = ConfigChurn::new(&fleet, propagation.clone());
        tokio::spawn(config_churn.run(stop_background.clone()));
    }
    tokio::time::sleep(options.warm_up).await;
    client.stats.reset();

    let before = ControlTotals::read(&fleet).await;
    let mut sampler = RunSampler::new(&fleet.scenario, &fleet.tallies, fleet.peer_bytes.clone());
    let mut fault_injector = FaultInjector::new(&fleet.scenario.faults);
    let started = tokio::time::Instant::now();
    let mut ticks = tokio::time::interval(SAMPLE_INTERVAL);
    while started.elapsed().as_secs_f64() < options.seconds {
        ticks.tick().await;
        fault_injector.apply_due(&mut fleet, &client).await?;
        sampler.sample(&client.stats);
        sampler.poll_config_versions(&fleet).await;
    }
    let control = ControlTotals::read(&fleet).await.since(&before);
    let mut report = sampler.report(&client.stats, options.seconds);
    stop.cancel();
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, futures::future::join_all(callers)).await;
    stop_background.cancel();
    report.arm = arm.name.clone();
    report.config_in_force_ms = propagation.percentiles();
    control.write_to(&mut report, &fleet, options.seconds);
    report.idle_control_bytes_per_node_second =
        idle.bytes as f64 / fleet.daemons.len() as f64 / IDLE_PERIOD.as_secs_f64();
    fill_final_counts(&mut report, &fleet, &client.stats).await;
    copy_logs(&fleet, arm, options);
    fleet.stop().await;
    Ok(report)
}

fn box_views(fleet: &BenchFleet) -> Vec<BoxView> {
    let daemons = fleet.daemons.iter();
    daemons
        .map(|daemon| BoxView::new(daemon.name().to_owned(), daemon.caller_address()))
        .collect()
}

fn engine_pools(fleet: &BenchFleet) -> std::collections::BTreeMap<String, bool> {
    let pools = fleet.scenario.pools.iter();
    pools.map(|pool| (pool.name.clone(), pool.engine)).collect()
}

/// Returns the load of the probe, or `None` if the scenario has no service pool.
fn probe_load(scenario: &BenchScenario) -> Option<WorkspaceLoad> {
    let pool = scenario.pools.iter().find(|pool| !pool.engine)?;
    Some(WorkspaceLoad {
        workspace: PROBE_WORKSPACE.to_owned(),
        share: 1,
        pool: pool.name.clone(),
        arrival: ArrivalProcess::Closed(1),
        sizes: "0*1".parse().ok()?,
        prompt: 0,
        stream: false,
        kind: None,
        entries: EntryBoxes::All,
        deadline_ms: 0,
        queue_limit: 100,
    })
}

/// Returns for each box the address of a service stand-in in its failure domain.
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

/// Probes the boxes in turn until the token is cancelled.
async fn probe_boxes(
    load: WorkspaceLoad,
    client: Arc<CallerClient>,
    targets: Vec<Option<std::net::SocketAddr>>,
    stop: CancellationToken,
) {
    let mut ticks = tokio::time::interval(PROBE_INTERVAL);
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

/// Updates the readiness of every box, as a load balancer would, until the token is cancelled.
async fn poll_readiness(client: Arc<CallerClient>, stop: CancellationToken) {
    while !stop.is_cancelled() {
        for view in client.boxes() {
            let ready = crate::fleet::is_ready(view.caller_address).await;
            view.set_ready(ready);
        }
        tokio::time::sleep(READINESS_INTERVAL).await;
    }
}

fn copy_logs(fleet: &BenchFleet, arm: &BenchArm, options: &RunOptions) {
    let Some(folder) = &options.keep_logs else {
        return;
    };
    let folder = folder.join(&arm.name);
    let made = std::fs::create_dir_all(&folder);
    for daemon in &fleet.daemons {
        let from = daemon.log_path();
        let to = folder.join(format!("{}.log", daemon.name()));
        if let (true, Err(error)) = (made.is_ok(), std::fs::copy(&from, &to)) {
            log::warn!("cannot copy the log to {}: {error}", to.display());
        }
    }
}
