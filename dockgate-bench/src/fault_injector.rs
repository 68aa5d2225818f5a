//! Injects faults into a fleet and removes them.

use crate::caller::CallerClient;
use crate::error::BenchError;
use crate::fleet::{BenchEndpoint, BenchFleet, EndpointStandIn};
use crate::scenario::{FaultKind, FaultPlan};
use dockgate_core::ConfigChange;
use dockgate_platform::BoxState;
use dockgate_proto::operator::PlanIntent;
use std::time::Duration;
use tokio::time::Instant;

/// Delay added to every call to a slow platform.
const PLATFORM_DELAY: Duration = Duration::from_millis(500);
/// Time after its retirement in which an endpoint may still receive new work.
const RETIRE_GRACE: Duration = Duration::from_secs(3);

/// A planned fault and its progress.
struct ScheduledFault {
    plan: FaultPlan,
    begun: bool,
    ended: bool,
    revert: Option<ConfigChange>,
}

/// Injects the faults of a scenario into a fleet on schedule.
pub struct FaultInjector {
    faults: Vec<ScheduledFault>,
    started: Instant,
}

impl FaultInjector {
    /// Creates an injector whose schedule starts now.
    pub fn new(plans: &[FaultPlan]) -> Self {
        let faults = plans.iter().map(|plan| ScheduledFault {
            plan: plan.clone(),
            begun: false,
            ended: false,
            revert: None,
        });
        Self {
            faults: faults.collect(),
            started: Instant::now(),
        }
    }

    /// Begins and ends the faults that are due.
    ///
    /// # Errors
    ///
    /// Returns an error if a daemon cannot be restarted or refuses a configuration change.
    pub async fn apply_due(
        &mut self,
        fleet: &mut BenchFleet,
        client: &CallerClient,
    ) -> Result<(), BenchError> {
        let elapsed = self.started.elapsed();
        for fault in &mut self.faults {
            let FaultPlan { at, duration, .. } = fault.plan;
            if !fault.begun && elapsed >= at {
                fault.begun = true;
                log::info!("fault begins: {:?} {}", fault.plan.kind, fault.plan.target);
                fault.revert = begin_fault(&fault.plan, fleet, client).await?;
            }
            let is_due = fault.begun && !fault.ended && elapsed >= at + duration;
            if is_due && can_end(&fault.plan, fleet) {
                fault.ended = true;
                log::info!("fault ends: {:?} {}", fault.plan.kind, fault.plan.target);
                end_fault(&fault.plan, fault.revert.take(), fleet, client).await?;
            }
        }
        Ok(())
    }
}

/// Returns whether a fault can end: a graceful stop lasts at least until the daemon has exited.
fn can_end(plan: &FaultPlan, fleet: &mut BenchFleet) -> bool {
    let mut daemons = fleet.daemons.iter_mut();
    let daemon = daemons.find(|daemon| daemon.name() == plan.target);
    match (plan.kind, daemon) {
        (FaultKind::Stop, Some(daemon)) => daemon.has_exited(),
        _ => true,
    }
}

async fn begin_fault(
    plan: &FaultPlan,
    fleet: &mut BenchFleet,
    client: &CallerClient,
) -> Result<Option<ConfigChange>, BenchError> {
    let target = plan.target.as_str();
    match plan.kind {
        FaultKind::Kill => {
            for daemon in fleet
                .daemons
                .iter_mut()
                .filter(|daemon| daemon.name() == target)
            {
                daemon.kill();
            }
        }
        FaultKind::Stop => {
            set_box_stopping(client, target, true);
            fleet.platform.set_box_state(target, BoxState::Leaving);
            if let Some(daemon) = fleet.daemon(target) {
                daemon.terminate();
            }
        }
        FaultKind::Pause => {
            if let Some(daemon) = fleet.daemon(target) {
                daemon.pause();
            }
        }
        FaultKind::Cut => fleet.set_domain_cut(target, true),
        FaultKind::CutPlatform => set_platform_cut(fleet, target, true),
        FaultKind::PlatformOutage => fleet.platform.set_unavailable(true),
        FaultKind::LostReplies => fleet.platform.set_drops_replies(true),
        FaultKind::PlatformSlow => fleet.platform.set_delay(PLATFORM_DELAY),
        FaultKind::EngineDeath => {
            if let Some(endpoint) = fleet
                .endpoints
                .iter()
                .find(|endpoint| endpoint.name == target)
            {
                endpoint.standin.kill();
            }
        }
        FaultKind::Retire => {
            let revert = fleet.retire_endpoint(target).await?;
            if let Some(endpoint) = fleet
                .endpoints
                .iter()
                .find(|endpoint| endpoint.name == target)
            {
                endpoint.standin.set_leaving(Some(RETIRE_GRACE));
                adjust_slots(fleet, endpoint, -1);
            }
            return Ok(revert);
        }
    }
    Ok(None)
}

async fn end_fault(
    plan: &FaultPlan,
    revert: Option<ConfigChange>,
    fleet: &mut BenchFleet,
    client: &CallerClient,
) -> Result<(), BenchError> {
    let target = plan.target.as_str();
    match plan.kind {
        FaultKind::Kill => restart_daemon(fleet, target)?,
        FaultKind::Stop => {
            set_box_stopping(client, target, false);
            fleet.platform.set_box_state(target, BoxState::Live);
            restart_daemon(fleet, target)?;
        }
        FaultKind::Pause => {
            if let Some(daemon) = fleet.daemon(target) {
                daemon.resume();
            }
        }
        FaultKind::Cut => fleet.set_domain_cut(target, false),
        FaultKind::CutPlatform => set_platform_cut(fleet, target, false),
        FaultKind::PlatformOutage => fleet.platform.set_unavailable(false),
        FaultKind::LostReplies => fleet.platform.set_drops_replies(false),
        FaultKind::PlatformSlow => fleet.platform.set_delay(Duration::ZERO),
        FaultKind::EngineDeath => {}
        FaultKind::Retire => {
            if let Some(endpoint) = fleet
                .endpoints
                .iter()
                .find(|endpoint| endpoint.name == target)
            {
                endpoint.standin.set_leaving(None);
                adjust_slots(fleet, endpoint, 1);
            }
            if let Some(change) = revert {
                fleet
                    .apply_intent(0, PlanIntent::Changes(vec![change]))
                    .await?;
            }
        }
    }
    Ok(())
}

/// Adds (`sign` 1) or removes (`sign` -1) an endpoint's slots in the capacity of its pool.
fn adjust_slots(fleet: &BenchFleet, endpoint: &BenchEndpoint, sign: isize) {
    if let Some(tally) = fleet.tallies.get(&endpoint.pool) {
        tally.add_slots(sign * endpoint.slots as isize);
    }
}

fn restart_daemon(fleet: &mut BenchFleet, name: &str) -> Result<(), BenchError> {
    let mut daemons = fleet.daemons.iter_mut();
    daemons
        .find(|daemon| daemon.name() == name)
        .map_or(Ok(()), crate::fleet::DaemonProcess::restart)
}

fn set_box_stopping(client: &CallerClient, name: &str, stopping: bool) {
    for view in client.boxes().iter().filter(|view| view.name == name) {
        view.set_stopping(stopping);
    }
}

fn set_platform_cut(fleet: &BenchFleet, domain: &str, cut: bool) {
    if let Some(relay) = fleet.platform_relays.get(domain) {
        relay.set_cut(cut);
    }
}

impl EndpointStandIn {
    /// Marks the endpoint as leaving, after which runs that start later than `grace` are counted;
    /// `None` clears the mark.
    pub fn set_leaving(&self, grace: Option<Duration>) {
        match self {
            Self::Engine(engine) => engine.late_runs.set_leaving(grace),
            Self::Service(service) => service.late_runs.set_leaving(grace),
        }
    }

    /// Returns the number of runs that started after the grace period.
    pub fn late_starts(&self) -> u64 {
        match self {
            Self::Engine(engine) => engine.late_runs.count(),
            Self::Service(service) => service.late_runs.count(),
        }
    }
}
