//! A randomised soak test of gateways: real processes under constant load and overlapping faults.
//!
//! The seed decides the faults and their times. Answers are checked as they arrive, and the records
//! of callers and endpoints are compared at the end. Each fault is undone separately, so any number
//! of them may overlap.

mod crashing_caller;
mod disconnecting_caller;
mod fault_injector;
mod notice_check;
mod persistent_caller;
mod reconfiguration;
mod rejoining_caller;
mod release_series;
mod resuming_caller;
mod soak_call;
mod stop_check;
mod store_snapshots;

use crate::error::BenchError;
use crate::gateway_fleet::{GatewayFleet, GatewayProcess, KEYS, route_config};
use crate::standin::{ResumedStream, RoutedStandIn};
use clap::ValueEnum;
use crashing_caller::{
    CRASHING_REQUESTS, CrashCause, CrashedEndpoints, CrashingCall, excess_sends, held_wrongly,
    run_crashing_caller,
};
use disconnecting_caller::{DisconnectReport, measure_own_lag, run_disconnecting_caller};
use fault_injector::FaultInjector;
use notice_check::sent_despite_notices;
use persistent_caller::{PERSISTENT_CALLERS, PersistentCall, run_persistent_caller};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rejoining_caller::{
    REJOIN_EVENT_INTERVAL, REJOINING_CALLERS, RejoinFaults, RejoinWindow, RejoinedStream,
    run_rejoining_caller,
};
use resuming_caller::{RESUMING_CALLERS, run_resuming_caller};
use soak_call::{SoakCall, SoakRoute, run_soak_caller};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use stop_check::requests_cut_by_stops;
use tokio::task::JoinHandle;

/// Number of gateways.
const GATEWAYS: usize = 3;
/// The service of each endpoint.
const SERVICES: [&str; 5] = ["plain", "plain", "model", "model", "model"];
/// Number of callers that wait for their answers.
const CALLERS: usize = 9;
/// Number of endpoints of the second version in runs of [`SoakFaults::SoftwareVersions`].
const SECOND_VERSION_ENDPOINTS: usize = 3;
/// Time per stream event in these runs.
const VERSION_EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// Number of callers that disconnect early, in runs of [`SoakFaults::CallerDisconnects`].
const DISCONNECTING_CALLERS: u64 = 60;
/// Time per stream event in runs of [`SoakFaults::CallerDisconnects`], so that streams outlast
/// their callers.
const EVENT_INTERVAL: Duration = Duration::from_millis(90);
/// Time within which a gateway must be ready after all faults are undone.
const READY_TIMEOUT: Duration = Duration::from_secs(12);
/// Number of log lines reported for a gateway that is not ready.
const LOG_TAIL_LINES: usize = 12;
/// Interval at which a fault may begin or end.
const STEP_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which callers continue after all faults are undone.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// The faults of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, ValueEnum)]
pub enum SoakFaults {
    /// Faults of boxes, endpoints and the store, all mixed.
    #[default]
    All,
    /// Delayed updates while endpoints leave: the store does not answer some boxes, watches stall
    /// and configurations are large. Boxes are not disturbed, so each must learn in time which
    /// endpoints leave.
    #[value(name = "late-news")]
    DelayedUpdates,
    /// Requests that crash the endpoint that runs them and are sent repeatedly, while boxes are
    /// killed, stopped and paused, and the store is unavailable. Connected boxes send each of them
    /// only a few times.
    #[value(name = "ending")]
    CrashingRequests,
    /// Parts of prompts that crash the endpoint that is about to answer, in prompts of which no two
    /// are alike, with the faults of [`SoakFaults::CrashingRequests`]. Prompts that share their other
    /// parts are not held in quarantine.
    #[value(name = "ending-parts")]
    CrashingParts,
    /// Callers that disconnect early, many with pipelined requests, while boxes are stopped and
    /// continued in turn, endpoints fail and configurations are large. Nothing reaches an endpoint
    /// for a caller that has disconnected.
    #[value(name = "leaving")]
    CallerDisconnects,
    /// Endpoints that announce only in their answers that they leave, and restart under the same
    /// id, or reject requests and ask for a backoff, while boxes are killed, stopped and paused,
    /// and the store is unavailable.
    Notices,
    /// A store that is restored from older snapshots, while updates are delayed and endpoints
    /// leave. Boxes are not disturbed: each must learn in time which endpoints leave, and callers
    /// are not affected.
    #[value(name = "older-copies")]
    StoreRestores,
    /// Evacuations of the endpoints' failure domain, while updates are delayed. Boxes are not
    /// disturbed: each must learn in time of an order, and that it was taken back.
    Evacuations,
    /// Endpoints of several software versions in one service, replaced by further versions, while
    /// all faults of boxes, endpoints and the store happen. Callers take up their streams at other
    /// boxes; no stream holds events of two versions.
    #[value(name = "versions")]
    SoftwareVersions,
    /// Releases in series that overlap, while all boxes are killed at once and the other faults of
    /// boxes and the store happen. No stream holds events of two versions, and the streams that were
    /// cut go on at half of the rate of new ones or better.
    #[value(name = "rejoins")]
    Rejoins,
    /// Boxes that are asked to stop in series and overlapping, while endpoints become slower and
    /// callers keep their connections until the processes end. What a box has passed on is answered,
    /// and streams that are sent after callers could notice the stop are not broken off.
    #[value(name = "stops")]
    PlannedStops,
    /// Configurations and settings that change in many respects while boxes stop. Each request that
    /// was sent completely is answered or refused.
    Reconfigurations,
}

/// The options of a soak run.
#[derive(Debug, Clone, Copy)]
pub struct SoakOptions {
    /// Seed of the faults and the requests.
    pub seed: u64,
    /// Time for which faults are injected.
    pub duration: Duration,
    /// The faults to inject.
    pub faults: SoakFaults,
}

/// The result of a soak run.
#[derive(Debug, Clone, Default)]
pub struct SoakReport {
    /// Number of requests of callers that wait for their answers.
    pub calls: usize,
    /// Number of requests whose callers disconnected.
    pub disconnects: usize,
    /// Number of requests that took up a stream, and of those that brought further events.
    pub taken_up: (usize, usize),
    /// The refusals of requests for streams, by the text of the answer.
    pub refusals: BTreeMap<String, usize>,
    /// What became of streams after all boxes were killed at once.
    pub rejoin_windows: Vec<RejoinWindow>,
    /// Number of requests that were answered in full.
    pub answered: usize,
    /// Number of requests that were refused as not run.
    pub refused: usize,
    /// The injected faults, in order.
    pub faults: Vec<String>,
    /// Violations of the gateway's guarantees.
    pub violations: Vec<String>,
}

/// Runs one seed and checks the result.
///
/// # Errors
///
/// Returns an error if a stand-in or a gateway cannot be started.
pub async fn run_soak(options: SoakOptions) -> Result<SoakReport, BenchError> {
    let domains = options.faults.domains();
    let mut fleet = GatewayFleet::start_in(&domains, &SERVICES, &route_config(1, KEYS)).await?;
    let stop = Arc::new(AtomicBool::new(false));
    let addresses: Vec<_> = fleet
        .gateways
        .iter()
        .map(GatewayProcess::caller_address)
        .collect();
    if options.faults == SoakFaults::SoftwareVersions {
        add_second_version(&mut fleet).await?;
    }
    let callers = match options.faults {
        SoakFaults::SoftwareVersions | SoakFaults::Reconfigurations | SoakFaults::Rejoins => 0,
        _ => CALLERS as u64,
    };
    let callers = (0..callers).map(|number| {
        let rng = StdRng::seed_from_u64(options.seed.wrapping_mul(1_000) + number);
        tokio::spawn(run_soak_caller(
            number,
            rng,
            addresses.clone(),
            stop.clone(),
            options.faults == SoakFaults::PlannedStops,
        ))
    });
    let callers: Vec<_> = callers.collect();
    let resuming = spawn_resuming_callers(options, &addresses, &stop);
    let rejoining = spawn_rejoining_callers(options, &fleet, &addresses, &stop);
    let persistent = spawn_persistent_callers(options, &fleet, &addresses, &stop);
    let disconnecting = match options.faults {
        SoakFaults::CallerDisconnects => DISCONNECTING_CALLERS,
        _ => 0,
    };
    let slowed = fleet.endpoints.iter().filter(|_| disconnecting > 0);
    slowed.for_each(|endpoint| endpoint.set_processing_time(EVENT_INTERVAL));
    let disconnecting = (0..disconnecting).map(|number| {
        let rng = StdRng::seed_from_u64(options.seed.wrapping_mul(1_000) + CALLERS as u64 + number);
        tokio::spawn(run_disconnecting_caller(
            number,
            rng,
            addresses.clone(),
            stop.clone(),
        ))
    });
    let disconnecting: Vec<_> = disconnecting.collect();
    let crash_cause = options.faults.crash_cause();
    if crash_cause.is_some() {
        fleet.endpoints.iter().for_each(CrashedEndpoints::prepare);
    }
    let crashing = start_crashing_callers(options, &addresses, &stop);
    let mut crashed = CrashedEndpoints::default();
    let mut rng = StdRng::seed_from_u64(options.seed);
    let own_lag = tokio::spawn(measure_own_lag(stop.clone()));

    let mut injector = FaultInjector::new(options.seed, options.faults);
    let started = Instant::now();
    while started.elapsed() < options.duration {
        injector.step(&mut fleet).await?;
        crashed.step(&mut fleet, &mut rng).await;
        tokio::time::sleep(STEP_INTERVAL).await;
    }
    injector.undo_all(&mut fleet).await?;
    let not_ready = boxes_not_ready(&fleet).await;
    // From here on the fleet is healthy, so the last requests must be answered.
    let settle_end = Instant::now() + SETTLE_TIME;
    while Instant::now() < settle_end {
        crashed.step(&mut fleet, &mut rng).await;
        tokio::time::sleep(STEP_INTERVAL).await;
    }
    stop.store(true, Ordering::Release);
    let mut violations = not_ready;
    let calls = join_callers(callers, &mut violations).await;
    let mut disconnects = DisconnectReport::default();
    disconnects.extend(join_callers(disconnecting, &mut violations).await);
    let crash_calls = join_callers(crashing, &mut violations).await;
    let mut resumed = join_callers(resuming, &mut violations).await;
    let rejoined = join_callers(rejoining, &mut violations).await;
    let rejoin_windows = RejoinFaults::of(&injector).windows(&fleet, &rejoined, started);
    violations.extend(rejoin_windows.iter().filter_map(RejoinWindow::violation));
    resumed.extend(rejoined.into_iter().map(|rejoined| rejoined.stream));
    violations.extend(resumed.iter().flat_map(ResumedStream::violations));
    let persistent = join_callers(persistent, &mut violations).await;
    let all_endpoints = crashed.crashed().iter().chain(&fleet.endpoints);
    let all_endpoints: Vec<&RoutedStandIn> = all_endpoints.collect();
    if let Some(cause) = crash_cause {
        let disturbances = &injector.disturbances;
        let gateways = &fleet.gateways;
        let excess = excess_sends(&crash_calls, &all_endpoints, disturbances, gateways, cause);
        violations.extend(excess);
        violations.extend(held_wrongly(gateways, cause).await);
    }
    violations.extend(sent_despite_notices(&calls, &all_endpoints, &injector));
    disconnects.set_own_lag(own_lag.await.unwrap_or_default());
    let records = SoakRecords {
        calls,
        crash_calls,
        disconnects,
        resumed,
        persistent,
        started,
    };
    let report = report(
        &all_endpoints,
        &records,
        injector,
        violations,
        options.faults,
    );
    Ok(SoakReport {
        rejoin_windows,
        ..report
    })
}

/// Spawns the callers of runs of [`SoakFaults::Rejoins`].
fn spawn_rejoining_callers(
    options: SoakOptions,
    fleet: &GatewayFleet,
    addresses: &[SocketAddr],
    stop: &Arc<AtomicBool>,
) -> Vec<JoinHandle<Vec<RejoinedStream>>> {
    if options.faults != SoakFaults::Rejoins {
        return Vec::new();
    }
    for endpoint in &fleet.endpoints {
        endpoint.name_version_in_events();
        endpoint.set_processing_time(REJOIN_EVENT_INTERVAL);
    }
    let callers = (0..REJOINING_CALLERS).map(|number| {
        let rng = StdRng::seed_from_u64(options.seed.wrapping_mul(5_000) + number);
        let caller = run_rejoining_caller(number, rng, addresses.to_vec(), stop.clone());
        tokio::spawn(caller)
    });
    callers.collect()
}

/// Spawns the callers of runs of [`SoakFaults::SoftwareVersions`].
fn spawn_resuming_callers(
    options: SoakOptions,
    addresses: &[SocketAddr],
    stop: &Arc<AtomicBool>,
) -> Vec<JoinHandle<Vec<ResumedStream>>> {
    let callers = match options.faults {
        SoakFaults::SoftwareVersions => RESUMING_CALLERS,
        _ => 0,
    };
    let callers = (0..callers).map(|number| {
        let rng = StdRng::seed_from_u64(options.seed.wrapping_mul(3_000) + number);
        tokio::spawn(run_resuming_caller(
            number,
            rng,
            addresses.to_vec(),
            stop.clone(),
        ))
    });
    callers.collect()
}

/// Spawns the callers of runs of [`SoakFaults::Reconfigurations`].
fn spawn_persistent_callers(
    options: SoakOptions,
    fleet: &GatewayFleet,
    addresses: &[SocketAddr],
    stop: &Arc<AtomicBool>,
) -> Vec<JoinHandle<Vec<PersistentCall>>> {
    if options.faults != SoakFaults::Reconfigurations {
        return Vec::new();
    }
    for endpoint in &fleet.endpoints {
        endpoint.set_processing_time(VERSION_EVENT_INTERVAL);
    }
    let callers = (0..PERSISTENT_CALLERS).map(|number| {
        let rng = StdRng::seed_from_u64(options.seed.wrapping_mul(4_000) + number);
        tokio::spawn(run_persistent_caller(
            number,
            rng,
            addresses.to_vec(),
            stop.clone(),
        ))
    });
    callers.collect()
}

impl SoakFaults {
    /// Returns the failure domain of each box.
    const fn domains(self) -> [&'static str; GATEWAYS] {
        match self {
            Self::Rejoins => ["a", "a", "b"],
            _ => ["a"; GATEWAYS],
        }
    }

    /// Returns what crashes the endpoints, if anything does.
    const fn crash_cause(self) -> Option<CrashCause> {
        match self {
            Self::CrashingRequests => Some(CrashCause::Requests),
            Self::CrashingParts => Some(CrashCause::Parts),
            _ => None,
        }
    }
}

/// Starts the callers whose requests crash endpoints, if the run has any.
fn start_crashing_callers(
    options: SoakOptions,
    addresses: &[SocketAddr],
    stop: &Arc<AtomicBool>,
) -> Vec<JoinHandle<Vec<CrashingCall>>> {
    let Some(cause) = options.faults.crash_cause() else {
        return Vec::new();
    };
    let callers = (0..CRASHING_REQUESTS).map(|number| {
        let rng = StdRng::seed_from_u64(options.seed.wrapping_mul(2_000) + number as u64);
        let (addresses, stop) = (addresses.to_vec(), stop.clone());
        tokio::spawn(run_crashing_caller(number, rng, addresses, stop, cause))
    });
    callers.collect()
}

/// Adds endpoints of a second software version, and makes all events name their version.
async fn add_second_version(fleet: &mut GatewayFleet) -> Result<(), BenchError> {
    for number in 0..SECOND_VERSION_ENDPOINTS {
        let id = format!("second-{number}");
        fleet.add_endpoint_of_version("v2", &id, "model").await?;
    }
    for endpoint in &fleet.endpoints {
        endpoint.name_version_in_events();
        endpoint.set_processing_time(VERSION_EVENT_INTERVAL);
    }
    Ok(())
}

/// The records of all callers of a run.
struct SoakRecords {
    calls: Vec<SoakCall>,
    crash_calls: Vec<CrashingCall>,
    disconnects: DisconnectReport,
    resumed: Vec<ResumedStream>,
    persistent: Vec<PersistentCall>,
    /// When the first fault could begin.
    started: Instant,
}

/// Waits for callers and returns their calls; a caller that panicked is reported as a violation.
async fn join_callers<T>(callers: Vec<JoinHandle<Vec<T>>>, violations: &mut Vec<String>) -> Vec<T> {
    let mut calls = Vec::new();
    for caller in callers {
        match caller.await {
            Ok(made) => calls.extend(made),
            Err(error) => violations.push(format!("a caller ended: {error}")),
        }
    }
    calls
}

/// Waits until every gateway is ready; reports the last log lines of each that is not in time.
async fn boxes_not_ready(fleet: &GatewayFleet) -> Vec<String> {
    let started = Instant::now();
    let mut not_ready = Vec::new();
    for (box_index, gateway) in fleet.gateways.iter().enumerate() {
        while !gateway.is_ready().await && started.elapsed() < READY_TIMEOUT {
            tokio::time::sleep(STEP_INTERVAL).await;
        }
        if !gateway.is_ready().await {
            let logged = gateway.logged();
            let lines = logged.lines();
            // Lines about requests would push out those about the state of the box.
            let lines = lines.filter(|line| !line.contains(r#","request":""#));
            let lines: Vec<&str> = lines.collect();
            let last = lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n    ");
            not_ready.push(format!(
                "box {box_index} is not ready after the faults; last log lines:\n    {last}"
            ));
        }
    }
    not_ready
}

/// Compares the requests that endpoints ran with the answers that callers received.
fn report(
    all_endpoints: &[&RoutedStandIn],
    records: &SoakRecords,
    injector: FaultInjector,
    mut violations: Vec<String>,
    faults: SoakFaults,
) -> SoakReport {
    let SoakRecords {
        calls,
        crash_calls,
        disconnects,
        resumed,
        persistent,
        started,
    } = records;
    let mut runs: HashMap<String, usize> = HashMap::new();
    for run in all_endpoints.iter().flat_map(|endpoint| endpoint.ran()) {
        *runs.entry(run.id).or_default() += 1;
    }
    if faults == SoakFaults::PlannedStops {
        let (stops, own_lag) = (&injector.disturbances, disconnects.own_lag());
        violations.extend(requests_cut_by_stops(calls, &runs, stops, own_lag));
    }
    for call in calls {
        let ran = runs.get(&call.id).copied().unwrap_or(0);
        let max_runs = call.route.max_runs();
        violations.extend(
            call.violations
                .iter()
                .map(|violation| format!("{}: {violation}", call.id)),
        );
        if call.refused && ran > 0 {
            violations.push(format!(
                "{}: refused as not run, but ran {ran} times",
                call.id
            ));
        }
        if ran > max_runs {
            violations.push(format!(
                "{}: ran {ran} times, at most {max_runs} allowed",
                call.id
            ));
        }
        runs.remove(&call.id);
    }
    for call in persistent {
        let ran = runs.remove(&call.id).unwrap_or(0);
        violations.extend(call.violation(ran, *started));
        if call.is_refused() && ran > 0 {
            violations.push(format!(
                "{}: refused as not run, but ran {ran} times",
                call.id
            ));
        }
        if ran > call.route.max_runs() {
            violations.push(format!("{}: ran {ran} times", call.id));
        }
    }
    for call in disconnects.calls() {
        let ran = runs.remove(&call.id).unwrap_or(0);
        let max_runs = call.route.max_runs();
        if ran > max_runs {
            violations.push(format!(
                "{}: ran {ran} times, at most {max_runs} allowed",
                call.id
            ));
        }
    }
    for call in crash_calls {
        runs.remove(call.id());
    }
    for id in resumed.iter().flat_map(|stream| &stream.ids) {
        runs.remove(id);
    }
    violations.extend(disconnects.late_work(all_endpoints, &injector.slow));
    violations.extend(
        runs.keys()
            .map(|id| format!("{id}: ran, but no caller sent it")),
    );
    violations.extend(injector.sent_after_drain(all_endpoints));
    violations.extend(injector.sent_despite_evacuation(all_endpoints));
    let final_calls = calls
        .iter()
        .filter(|call| call.is_final)
        .collect::<Vec<_>>();
    let whole_streams = resumed.iter().filter(|stream| stream.is_whole()).count();
    let mut persistent_final = persistent.iter().filter(|call| call.is_final);
    let is_served = final_calls.iter().any(|call| call.answered)
        || whole_streams > 0
        || persistent_final.any(PersistentCall::is_answered);
    if !is_served {
        violations.push("no request was answered after all faults were undone".to_owned());
    }
    SoakReport {
        calls: calls.len()
            + persistent.len()
            + resumed.iter().map(|stream| stream.ids.len()).sum::<usize>(),
        disconnects: disconnects.calls().len(),
        taken_up: (
            resumed.iter().map(|stream| stream.tries).sum(),
            resumed.iter().map(|stream| stream.continued).sum(),
        ),
        answered: calls.iter().filter(|call| call.answered).count()
            + persistent.iter().filter(|call| call.is_answered()).count()
            + whole_streams,
        refused: calls.iter().filter(|call| call.refused).count()
            + persistent.iter().filter(|call| call.is_refused()).count(),
        refusals: count_refusals(resumed),
        rejoin_windows: Vec::new(),
        faults: injector.fault_log,
        violations,
    }
}

fn count_refusals(streams: &[ResumedStream]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for (reason, count) in streams.iter().flat_map(|stream| &stream.refusals) {
        *counts.entry(reason.clone()).or_default() += count;
    }
    counts
}

impl SoakRoute {
    /// Returns the maximum number of endpoints that may run one request of this route.
    const fn max_runs(self) -> usize {
        match self {
            Self::Once | Self::Draft => 1,
            Self::Again | Self::Live => 2,
        }
    }
}
