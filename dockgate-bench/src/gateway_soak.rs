//! A randomised soak of gateways: real processes, callers that never stop, faults that overlap.
//!
//! The seed decides the faults and their times; what callers and endpoints saw is checked as it is
//! seen, and once more when all is over. A fault is undone by itself, so that any number may stand
//! at once.

mod caller_standin;
mod ending_caller;
mod leaving_caller;
mod notice_check;
mod older_copies;
mod soak_fault;

use crate::error::BenchError;
use crate::gateway_fleet::{GatewayFleet, GatewayProcess, KEYS, route_config};
use crate::standin::RoutedStandIn;
use caller_standin::{SoakCall, SoakRoute, keep_calling};
use clap::ValueEnum;
use ending_caller::{ENDING_REQUESTS, EndedEndpoints, EndingCall, keep_returning, sent_in_vain};
use leaving_caller::{LeavingSeen, keep_leaving, measure_own_lag};
use notice_check::sent_despite_notices;
use rand::SeedableRng;
use rand::rngs::StdRng;
use soak_fault::FaultField;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// How many gateways run.
const GATEWAYS: usize = 3;
/// The service of each endpoint.
const SERVICES: [&str; 5] = ["plain", "plain", "model", "model", "model"];
/// How many callers there are.
const CALLERS: usize = 9;
/// How many callers there are besides that leave, where they are looked at.
const LEAVERS: u64 = 60;
/// How long an event takes there: a stream goes on for well beyond what its caller stays.
const EVENT_TAKES: Duration = Duration::from_millis(90);
/// How soon a gateway must be ready when all faults are undone.
const READY_AGAIN: Duration = Duration::from_secs(12);
/// How many lines of its log are told of one that is not.
const LAST_LINES: usize = 12;
/// How often the next fault may begin.
const STEP: Duration = Duration::from_millis(50);

/// For how long callers go on when all faults are undone.
const SETTLED: Duration = Duration::from_secs(2);

/// Which faults are caused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, ValueEnum)]
pub enum SoakFaults {
    /// Faults of boxes, endpoints and the store, all mixed.
    #[default]
    All,
    /// Delayed updates while endpoints leave: the store does not answer some boxes, watches stall and
    /// configurations are large. Boxes are left alone, so each must learn in time which endpoints leave.
    #[value(name = "late-news")]
    DelayedUpdates,
    /// Requests that crash the endpoint that runs them and are sent repeatedly, while boxes are killed, stopped
    /// and paused, and the store is unavailable. Connected boxes send each of them only a few times.
    #[value(name = "ending")]
    CrashingRequests,
    /// Callers that disconnect early, many with pipelined requests, while boxes are stopped and continued in
    /// turn, endpoints fail and configurations are large. Nothing reaches an endpoint for a caller that is gone.
    #[value(name = "leaving")]
    CallerDisconnects,
    /// Endpoints that announce only in their answers that they leave, and restart under the same id, or reject
    /// requests and ask for a backoff, while boxes are killed, stopped and paused, and the store is unavailable.
    #[value(name = "notices")]
    EndpointNotices,
    /// A store that is restored from older snapshots, while updates are delayed and endpoints leave. Boxes are
    /// left alone: each must learn in time which endpoints leave, and callers are not affected.
    #[value(name = "older-copies")]
    StoreRestores,
}

/// What to run.
#[derive(Debug, Clone, Copy)]
pub struct SoakOptions {
    /// Decides the faults and the requests.
    pub seed: u64,
    /// For how long faults are caused.
    pub lasts: Duration,
    /// Which ones.
    pub faults: SoakFaults,
}

/// What came of a run.
#[derive(Debug, Clone, Default)]
pub struct SoakReport {
    /// Requests made.
    pub calls: usize,
    /// Requests whose callers left.
    pub left: usize,
    /// Those that got their whole answer.
    pub answered: usize,
    /// Those that were refused as not run.
    pub refused: usize,
    /// The faults, in order.
    pub faults: Vec<String>,
    /// What was promised and not kept.
    pub violations: Vec<String>,
}

/// Runs one seed.
///
/// # Errors
///
/// Returns an error where a stand-in or a gateway cannot be started.
pub async fn run_soak(options: SoakOptions) -> Result<SoakReport, BenchError> {
    let mut fleet = GatewayFleet::start(GATEWAYS, &SERVICES, &route_config(1, KEYS)).await?;
    let over = Arc::new(AtomicBool::new(false));
    let addresses: Vec<_> = fleet.gateways.iter().map(GatewayProcess::callers).collect();
    let callers = (0..CALLERS as u64).map(|number| {
        let draw = StdRng::seed_from_u64(options.seed.wrapping_mul(1_000) + number);
        tokio::spawn(keep_calling(number, draw, addresses.clone(), over.clone()))
    });
    let callers: Vec<_> = callers.collect();
    let leavers = match options.faults {
        SoakFaults::CallerDisconnects => LEAVERS,
        _ => 0,
    };
    if leavers > 0 {
        let endpoints = fleet.endpoints.iter();
        endpoints.for_each(|endpoint| endpoint.set_processing_time(EVENT_TAKES));
    }
    let leavers = (0..leavers).map(|number| {
        let draw =
            StdRng::seed_from_u64(options.seed.wrapping_mul(1_000) + CALLERS as u64 + number);
        tokio::spawn(keep_leaving(number, draw, addresses.clone(), over.clone()))
    });
    let leavers: Vec<_> = leavers.collect();
    let ending = match options.faults {
        SoakFaults::CrashingRequests => ENDING_REQUESTS,
        _ => 0,
    };
    if ending > 0 {
        fleet.endpoints.iter().for_each(EndedEndpoints::prepare);
    }
    let ending = (0..ending).map(|number| {
        let draw = StdRng::seed_from_u64(options.seed.wrapping_mul(2_000) + number as u64);
        tokio::spawn(keep_returning(
            number,
            draw,
            addresses.clone(),
            over.clone(),
        ))
    });
    let ending: Vec<_> = ending.collect();
    let mut ended = EndedEndpoints::default();
    let mut draw = StdRng::seed_from_u64(options.seed);
    let own_lag = tokio::spawn(measure_own_lag(over.clone()));

    let mut field = FaultField::new(options.seed, options.faults);
    let started = Instant::now();
    while started.elapsed() < options.lasts {
        field.step(&mut fleet).await?;
        ended.step(&mut fleet, &mut draw).await;
        tokio::time::sleep(STEP).await;
    }
    field.undo_all(&mut fleet).await?;
    let idle = unready(&fleet).await;
    // What callers ask from here on is asked of a fleet that is whole.
    let settled = Instant::now() + SETTLED;
    while Instant::now() < settled {
        ended.step(&mut fleet, &mut draw).await;
        tokio::time::sleep(STEP).await;
    }
    over.store(true, Ordering::Release);
    let mut broken = idle;
    let calls = joined(callers, &mut broken).await;
    let mut leaving = LeavingSeen::default();
    leaving.extend(joined(leavers, &mut broken).await);
    let returns = joined(ending, &mut broken).await;
    let lives = ended.ended().iter().chain(&fleet.endpoints);
    let lives: Vec<&RoutedStandIn> = lives.collect();
    if options.faults == SoakFaults::CrashingRequests {
        let disturbed = &field.disturbed;
        broken.extend(sent_in_vain(&returns, &lives, disturbed, &fleet.gateways));
    }
    broken.extend(sent_despite_notices(&calls, &lives, &field));
    leaving.note_own_lag(own_lag.await.unwrap_or_default());
    Ok(report(&lives, &calls, &returns, &leaving, field, broken))
}

/// Waits for callers, and returns all that they made; one that ended by itself is a fault of the soak.
async fn joined<T>(callers: Vec<JoinHandle<Vec<T>>>, broken: &mut Vec<String>) -> Vec<T> {
    let mut made = Vec::new();
    for caller in callers {
        match caller.await {
            Ok(calls) => made.extend(calls),
            Err(error) => broken.push(format!("a caller ended: {error}")),
        }
    }
    made
}

/// Waits until every gateway is ready; says of each that is not in time what it logged last.
async fn unready(fleet: &GatewayFleet) -> Vec<String> {
    let started = Instant::now();
    let mut idle = Vec::new();
    for (box_at, gateway) in fleet.gateways.iter().enumerate() {
        while !gateway.is_ready().await && started.elapsed() < READY_AGAIN {
            tokio::time::sleep(STEP).await;
        }
        if !gateway.is_ready().await {
            let logged = gateway.logged();
            let lines: Vec<&str> = logged.lines().collect();
            let last = lines[lines.len().saturating_sub(LAST_LINES)..].join("\n    ");
            idle.push(format!(
                "box {box_at} is not ready again; it logged last\n    {last}"
            ));
        }
    }
    idle
}

/// Checks what endpoints ran against what callers were told.
fn report(
    lives: &[&RoutedStandIn],
    calls: &[SoakCall],
    returns: &[EndingCall],
    leaving: &LeavingSeen,
    field: FaultField,
    mut broken: Vec<String>,
) -> SoakReport {
    let mut runs: HashMap<String, usize> = HashMap::new();
    for run in lives.iter().flat_map(|endpoint| endpoint.ran()) {
        *runs.entry(run.id).or_default() += 1;
    }
    for call in calls {
        let ran = runs.get(&call.id).copied().unwrap_or(0);
        let most = call.route.most_runs();
        broken.extend(
            call.broken
                .iter()
                .map(|what| format!("{}: {what}", call.id)),
        );
        if call.refused && ran > 0 {
            broken.push(format!(
                "{}: refused as not run, and ran {ran} times",
                call.id
            ));
        }
        if ran > most {
            broken.push(format!("{}: ran {ran} times of {most}", call.id));
        }
        runs.remove(&call.id);
    }
    for call in leaving.calls() {
        let ran = runs.remove(&call.id).unwrap_or(0);
        let most = call.route.most_runs();
        if ran > most {
            broken.push(format!("{}: ran {ran} times of {most}", call.id));
        }
    }
    for call in returns {
        runs.remove(call.id());
    }
    broken.extend(leaving.outlived(lives, &field.slow));
    broken.extend(
        runs.keys()
            .map(|id| format!("{id}: ran, and nobody asked for it")),
    );
    broken.extend(field.sent_after_leaving(lives));
    let late = calls.iter().filter(|call| call.is_last).collect::<Vec<_>>();
    if !late.iter().any(|call| call.answered) {
        broken.push("nothing is answered after all faults were undone".to_owned());
    }
    SoakReport {
        calls: calls.len(),
        left: leaving.calls().len(),
        answered: calls.iter().filter(|call| call.answered).count(),
        refused: calls.iter().filter(|call| call.refused).count(),
        faults: field.told,
        violations: broken,
    }
}

impl SoakRoute {
    /// Returns how many endpoints may run one request of it.
    const fn most_runs(self) -> usize {
        match self {
            Self::Once | Self::Draft => 1,
            Self::Again | Self::Live => 2,
        }
    }
}
