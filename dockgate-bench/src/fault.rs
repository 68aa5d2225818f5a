//! Brings faults on a fleet, and takes them away.

use crate::caller::CallerClient;
use crate::error::BenchError;
use crate::fleet::{BenchEndpoint, BenchFleet, EndpointStandIn};
use crate::scenario::{FaultKind, FaultPlan};
use dockgate_core::ConfigChange;
use dockgate_platform::BoxState;
use dockgate_proto::operator::PlanIntent;
use std::time::Duration;
use tokio::time::Instant;

/// How much longer every call to a slow platform takes.
const SLOW: Duration = Duration::from_millis(500);
/// How long a retired endpoint may still get new work.
const LEAVE_GRACE: Duration = Duration::from_secs(3);

/// A fault that is to come, or is there.
struct ActiveFault {
    plan: FaultPlan,
    begun: bool,
    ended: bool,
    undo: Option<ConfigChange>,
}

/// Brings the faults of a scenario on a fleet at their times.
pub struct FaultDriver {
    faults: Vec<ActiveFault>,
    started: Instant,
}

impl FaultDriver {
    /// Makes a driver whose times count from now.
    pub fn new(plans: &[FaultPlan]) -> Self {
        let faults = plans.iter().map(|plan| ActiveFault {
            plan: plan.clone(),
            begun: false,
            ended: false,
            undo: None,
        });
        Self {
            faults: faults.collect(),
            started: Instant::now(),
        }
    }

    /// Begins and ends what is due.
    ///
    /// # Errors
    ///
    /// Returns an error where a daemon cannot be started anew or refuses a change.
    pub async fn drive(
        &mut self,
        fleet: &mut BenchFleet,
        client: &CallerClient,
    ) -> Result<(), BenchError> {
        let elapsed = self.started.elapsed();
        for fault in &mut self.faults {
            let FaultPlan { at, lasts, .. } = fault.plan;
            if !fault.begun && elapsed >= at {
                fault.begun = true;
                log::info!("fault begins: {:?} {}", fault.plan.kind, fault.plan.target);
                fault.undo = begin(&fault.plan, fleet, client).await?;
            }
            let due = fault.begun && !fault.ended && elapsed >= at + lasts;
            if due && may_end(&fault.plan, fleet) {
                fault.ended = true;
                log::info!("fault ends: {:?} {}", fault.plan.kind, fault.plan.target);
                end(&fault.plan, fault.undo.take(), fleet, client).await?;
            }
        }
        Ok(())
    }
}

/// Tells whether a fault can be taken away: a box that stops in order is waited for.
fn may_end(plan: &FaultPlan, fleet: &mut BenchFleet) -> bool {
    let mut daemons = fleet.daemons.iter_mut();
    let daemon = daemons.find(|daemon| daemon.name() == plan.target);
    match (plan.kind, daemon) {
        (FaultKind::Stop, Some(daemon)) => daemon.has_ended(),
        _ => true,
    }
}

async fn begin(
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
            set_stopping(client, target, true);
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
        FaultKind::PlatformSlow => fleet.platform.set_delay(SLOW),
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
            let undo = fleet.retire(target).await?;
            if let Some(endpoint) = fleet
                .endpoints
                .iter()
                .find(|endpoint| endpoint.name == target)
            {
                endpoint.standin.set_leaving(Some(LEAVE_GRACE));
                count_slots(fleet, endpoint, -1);
            }
            return Ok(undo);
        }
    }
    Ok(None)
}

async fn end(
    plan: &FaultPlan,
    undo: Option<ConfigChange>,
    fleet: &mut BenchFleet,
    client: &CallerClient,
) -> Result<(), BenchError> {
    let target = plan.target.as_str();
    match plan.kind {
        FaultKind::Kill => restart(fleet, target)?,
        FaultKind::Stop => {
            set_stopping(client, target, false);
            fleet.platform.set_box_state(target, BoxState::Live);
            restart(fleet, target)?;
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
                count_slots(fleet, endpoint, 1);
            }
            if let Some(change) = undo {
                fleet.change(0, PlanIntent::Changes(vec![change])).await?;
            }
        }
    }
    Ok(())
}

/// Takes an endpoint's slots out of what could be used, or puts them back.
fn count_slots(fleet: &BenchFleet, endpoint: &BenchEndpoint, sign: isize) {
    if let Some(tally) = fleet.tallies.get(&endpoint.pool) {
        tally.add_slots(sign * endpoint.slots as isize);
    }
}

fn restart(fleet: &mut BenchFleet, name: &str) -> Result<(), BenchError> {
    let mut daemons = fleet.daemons.iter_mut();
    daemons
        .find(|daemon| daemon.name() == name)
        .map_or(Ok(()), crate::fleet::DaemonProcess::restart)
}

fn set_stopping(client: &CallerClient, name: &str, stopping: bool) {
    for view in client.boxes().iter().filter(|view| view.name == name) {
        view.set_stopping(stopping);
    }
}

fn set_platform_cut(fleet: &BenchFleet, domain: &str, cut: bool) {
    if let Some(relay) = fleet.platform_links.get(domain) {
        relay.set_cut(cut);
    }
}

impl EndpointStandIn {
    /// Notes that the endpoint leaves; runs that start after the grace are counted.
    pub fn set_leaving(&self, grace: Option<Duration>) {
        match self {
            Self::Engine(engine) => engine.late_runs.set_leaving(grace),
            Self::Service(service) => service.late_runs.set_leaving(grace),
        }
    }

    /// Returns how many runs started after the grace.
    pub fn late_starts(&self) -> u64 {
        match self {
            Self::Engine(engine) => engine.late_runs.count(),
            Self::Service(service) => service.late_runs.count(),
        }
    }
}
