//! Injects faults from outside the gateways, and undoes them after a while.

use super::SoakFaults;
use super::crashing_caller::Disturbance;
use super::reconfiguration::{change_settings, draw_config};
use super::release_series::ReleaseSeries;
use super::store_snapshots::StoreSnapshots;
use crate::error::BenchError;
use crate::gateway_fleet::{GatewayFleet, GatewayProcess, KEYS, large_config, route_config};
use crate::standin::{EndpointBehavior, RoutedStandIn};
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::ops::Range;
use std::time::{Duration, Instant};

/// Average number of steps per fault.
const STEPS_PER_FAULT: u32 = 7;
/// Duration of a fault, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 150..1_800;
/// Time after which a stopped gateway is restarted; longer than its `stop_grace_s`.
const STOP_TIME: Duration = Duration::from_millis(4_500);
/// Maximum number of endpoints that are replaced.
const MAX_REPLACEMENTS: usize = 6;
/// Time between an endpoint's drain and its end.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// Time between an endpoint's drain and its end in runs that check for requests after the drain.
const CHECKED_DRAIN_TIME: Duration = Duration::from_secs(6);
/// Time after a drain within which requests must stop arriving: the default `drain_ms`.
const DRAIN_DEADLINE: Duration = Duration::from_secs(2);
/// Time for which the store does not answer a box, in milliseconds.
const UNANSWERED_MS: std::ops::Range<u64> = 1_000..9_000;
/// Time for which a box runs intermittently.
const SLOW_TIME: Duration = Duration::from_millis(2_500);
/// Length of each pause of an intermittent box, in milliseconds.
const STOPPED_MS: std::ops::Range<u64> = 20..900;
/// Time for which an intermittent box runs between two pauses, in milliseconds.
const RUNNING_MS: std::ops::Range<u64> = 2..30;
/// Time for which an endpoint that announces in its answers that it leaves keeps running, in
/// milliseconds.
const NOTICE_MS: Range<u64> = 500..5_000;
/// Backoff that endpoints ask for, in milliseconds.
const BACKOFF_MS: Range<u64> = 600..4_000;
/// Duration of an evacuation, in milliseconds.
const EVACUATION_MS: Range<u64> = 1_000..6_000;
/// The key of the order to evacuate the failure domain of all endpoints.
const EVACUATION_KEY: &str = "op/evacuate/a";
/// Time after an order within which requests must stop arriving.
const EVACUATION_DEADLINE: Duration = Duration::from_secs(2);
/// Time that a request, or each event of a stream, takes in runs of planned stops, in milliseconds.
const PROCESSING_MS: Range<u64> = 5..400;
/// The same for requests whose answers do not begin before their deadlines.
const SLOW_PROCESSING_MS: Range<u64> = 4_000..5_000;
/// Number of unused routes in a large configuration.
const EXTRA_ROUTES: usize = 4_000;

/// Maximum delay with which a fault is undone.
const MAX_UNDO_DELAY: Duration = Duration::from_millis(200);
/// Numbers of the faults in [`FaultInjector::begin`].
const ALL_FAULTS: Range<u32> = 0..11;
/// Numbers of the faults of boxes and of the store.
const BOX_AND_STORE_FAULTS: Range<u32> = 0..8;
/// Length of a simulated suspension, in milliseconds; the longest exceed every deadline.
const SUSPENSION_MS: Range<u64> = 50..6_000;

const BEHAVIORS: [EndpointBehavior; 9] = [
    EndpointBehavior::Loses,
    EndpointBehavior::Silent,
    EndpointBehavior::Full,
    EndpointBehavior::Foreign,
    EndpointBehavior::Fails,
    EndpointBehavior::NoProof,
    EndpointBehavior::Encoded,
    EndpointBehavior::CutsAfter(0),
    EndpointBehavior::CutsAfter(5),
];

/// How a fault is undone.
#[derive(Debug, Clone, Copy)]
pub(super) enum UndoAction {
    Continue(usize),
    Restart(usize),
    EndOutage,
    ResetDelay,
    KeepReplies,
    Recover(usize),
    RemoveEndpoint(usize),
    AnswerAgain(usize),
    /// Ends an endpoint without removing its record.
    EndEndpoint(usize),
    /// Makes endpoints accept requests again.
    ResetBackoff,
    /// Writes the lost records of the operator and the endpoints again.
    RewriteStore,
    /// Takes an evacuation back.
    TakeBack,
    /// Removes the record of an endpoint, which goes on with its runs.
    RemoveRecord(usize),
}

/// An endpoint lifetime that was drained; a later one may have the same id.
struct DrainedEndpoint {
    id: String,
    started_ms: u64,
    at: Instant,
}

impl DrainedEndpoint {
    fn new(endpoint: &RoutedStandIn) -> Self {
        Self {
            id: endpoint.id.clone(),
            started_ms: endpoint.started_ms,
            at: Instant::now(),
        }
    }

    fn matches(&self, endpoint: &RoutedStandIn) -> bool {
        (self.id.as_str(), self.started_ms) == (endpoint.id.as_str(), endpoint.started_ms)
    }
}

/// A simulated suspension: the clock of one box was advanced.
#[derive(Debug, Clone, Copy)]
pub(super) struct Suspension {
    pub(super) box_index: usize,
    pub(super) at: Instant,
    pub(super) duration: Duration,
}

/// Injects faults and keeps track of those that are active.
pub(super) struct FaultInjector {
    pub(super) rng: StdRng,
    faults: SoakFaults,
    /// The endpoints that were drained.
    drained: Vec<DrainedEndpoint>,
    pub(super) undo_actions: Vec<(Instant, UndoAction)>,
    /// Periods in which the endpoints were evacuated; the last one may not be over.
    evacuations: Vec<(Instant, Option<Instant>)>,
    /// Older snapshots of the store.
    pub(super) snapshots: StoreSnapshots,
    /// The releases in which all boxes are killed.
    pub(super) rejoins: ReleaseSeries,
    /// Periods in which a box ran intermittently.
    pub(super) slow: Vec<(Instant, Instant)>,
    /// Total simulated suspension of each box.
    total_suspensions: [Duration; super::GATEWAYS],
    /// The simulated suspensions.
    pub(super) suspensions: Vec<Suspension>,
    /// Periods in which boxes or the store were disturbed.
    pub(super) disturbances: Vec<Disturbance>,
    pub(super) started: Instant,
    /// The newest configuration that was written.
    pub(super) config: String,
    version: u64,
    replacements: usize,
    /// The injected faults with their times.
    pub(super) fault_log: Vec<String>,
}

impl FaultInjector {
    pub(super) fn new(seed: u64, faults: SoakFaults) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            faults,
            drained: Vec::new(),
            undo_actions: Vec::new(),
            evacuations: Vec::new(),
            snapshots: StoreSnapshots::default(),
            rejoins: ReleaseSeries::default(),
            slow: Vec::new(),
            total_suspensions: [Duration::ZERO; super::GATEWAYS],
            suspensions: Vec::new(),
            disturbances: Vec::new(),
            started: Instant::now(),
            config: route_config(1, KEYS),
            version: 1,
            replacements: 0,
            fault_log: Vec::new(),
        }
    }

    /// Undoes the faults that are due, and may begin another one.
    pub(super) async fn step(&mut self, fleet: &mut GatewayFleet) -> Result<(), BenchError> {
        let now = Instant::now();
        let due: Vec<UndoAction> = self
            .undo_actions
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, action)| action)
            .collect();
        for action in due {
            self.undo(fleet, action).await?;
        }
        if self.faults == SoakFaults::StoreRestores {
            self.snapshots.take(&fleet.store);
        }
        if self.faults == SoakFaults::Rejoins {
            return self.step_release(fleet).await;
        }
        if self.rng.random_ratio(1, STEPS_PER_FAULT) {
            match self.faults {
                SoakFaults::All => self.begin(fleet, ALL_FAULTS).await?,
                SoakFaults::SoftwareVersions if self.rng.random_bool(0.2) => {
                    self.begin_release(fleet).await?;
                }
                SoakFaults::SoftwareVersions => self.begin(fleet, ALL_FAULTS).await?,
                // The requests crash the endpoints in these runs.
                SoakFaults::CrashingRequests | SoakFaults::CrashingParts => {
                    self.begin(fleet, BOX_AND_STORE_FAULTS).await?;
                }
                SoakFaults::DelayedUpdates => self.delay_updates(fleet).await?,
                SoakFaults::StoreRestores if self.rng.random_bool(0.3) => self.restore_store(fleet),
                SoakFaults::StoreRestores => self.delay_updates(fleet).await?,
                SoakFaults::Evacuations if self.rng.random_bool(0.3) => self.evacuate(fleet),
                SoakFaults::Evacuations => self.delay_updates(fleet).await?,
                SoakFaults::Reconfigurations => self.reconfigure(fleet),
                SoakFaults::CallerDisconnects => self.begin_slow_fault(fleet).await,
                SoakFaults::PlannedStops => self.stop_box(fleet),
                SoakFaults::Notices if self.rng.random_bool(0.5) => self.begin_notice(fleet),
                SoakFaults::Notices => self.begin(fleet, BOX_AND_STORE_FAULTS).await?,
                SoakFaults::Rejoins => {}
            }
        }
        Ok(())
    }

    /// Asks a box to stop, unless it was asked already, and changes the speed of the endpoints.
    fn stop_box(&mut self, fleet: &GatewayFleet) {
        for endpoint in &fleet.endpoints {
            let time_ms = match self.rng.random_bool(0.2) {
                true => self.rng.random_range(SLOW_PROCESSING_MS),
                false => self.rng.random_range(PROCESSING_MS),
            };
            endpoint.set_processing_time(Duration::from_millis(time_ms));
        }
        let box_index = self.rng.random_range(0..fleet.gateways.len());
        let action = UndoAction::Restart(box_index);
        let is_stopping = |(_, action): &(Instant, UndoAction)| matches!(action, UndoAction::Restart(at) if *at == box_index);
        if self.undo_actions.iter().any(is_stopping) {
            return;
        }
        fleet.gateways[box_index].signal(Signal::SIGTERM);
        let at = self.started.elapsed().as_millis();
        self.fault_log
            .push(format!("{at} ms: stop box {box_index}"));
        self.record_disturbance(action, STOP_TIME);
        self.undo_actions.push((Instant::now() + STOP_TIME, action));
    }

    /// Undoes all active faults.
    pub(super) async fn undo_all(&mut self, fleet: &mut GatewayFleet) -> Result<(), BenchError> {
        if self.faults == SoakFaults::PlannedStops {
            // The boxes that stop have their time.
            tokio::time::sleep(STOP_TIME).await;
            let endpoints = fleet.endpoints.iter();
            endpoints.for_each(|endpoint| endpoint.set_processing_time(Duration::ZERO));
        }
        if self.faults == SoakFaults::Reconfigurations {
            self.restore_config(fleet);
        }
        for (_, action) in std::mem::take(&mut self.undo_actions) {
            self.undo(fleet, action).await?;
        }
        Ok(())
    }

    async fn undo(
        &mut self,
        fleet: &mut GatewayFleet,
        action: UndoAction,
    ) -> Result<(), BenchError> {
        match action {
            UndoAction::Continue(box_index) => fleet.gateways[box_index].signal(Signal::SIGCONT),
            UndoAction::Restart(box_index) => {
                let gateway = &mut fleet.gateways[box_index];
                // The faults may be undone before a box has stopped.
                let must_exit = self.faults == SoakFaults::Reconfigurations;
                let until = Instant::now() + STOP_TIME;
                while must_exit && !gateway.has_exited() && Instant::now() < until {
                    tokio::time::sleep(MAX_UNDO_DELAY / 10).await;
                }
                gateway.kill();
                gateway.restart()?;
            }
            UndoAction::EndOutage => fleet.store.set_unavailable(false),
            UndoAction::ResetDelay => fleet.store.set_delay(Duration::ZERO),
            UndoAction::KeepReplies => fleet.store.set_drops_replies(false),
            UndoAction::Recover(at) => fleet.endpoints[at].set_behavior(EndpointBehavior::Sound),
            UndoAction::AnswerAgain(at) => fleet.store_listeners[at].set_silent(false),
            UndoAction::EndEndpoint(at) => fleet.endpoints[at].kill(),
            UndoAction::ResetBackoff => fleet
                .endpoints
                .iter()
                .for_each(|each| each.set_backoff(None)),
            UndoAction::RewriteStore => self.rewrite_store(fleet),
            UndoAction::TakeBack => {
                fleet.store.remove(EVACUATION_KEY);
                if let Some((_, until)) = self.evacuations.last_mut() {
                    *until = Some(Instant::now());
                }
            }
            UndoAction::RemoveRecord(at) => self.rejoins.remove_record(fleet, at),
            UndoAction::RemoveEndpoint(at) => {
                let (key, _) = fleet.endpoints[at].record("a", "draining");
                fleet.store.remove(&key);
                fleet.endpoints[at].kill();
            }
        }
        Ok(())
    }

    pub(super) async fn begin(
        &mut self,
        fleet: &mut GatewayFleet,
        kinds: Range<u32>,
    ) -> Result<(), BenchError> {
        let duration = Duration::from_millis(self.rng.random_range(FAULT_MS));
        let box_index = self.rng.random_range(0..fleet.gateways.len());
        let endpoint = self.rng.random_range(0..super::SERVICES.len());
        let is_up = !self.undo_actions.iter().any(|(_, action)| {
            matches!(action,
                UndoAction::Restart(at) | UndoAction::Continue(at) if *at == box_index)
        });
        let (what, duration, action) = match self.rng.random_range(kinds) {
            0 if is_up => {
                fleet.gateways[box_index].signal(Signal::SIGSTOP);
                (
                    format!("pause box {box_index}"),
                    duration,
                    Some(UndoAction::Continue(box_index)),
                )
            }
            1 if is_up => {
                fleet.gateways[box_index].kill();
                (
                    format!("kill box {box_index}"),
                    duration,
                    Some(UndoAction::Restart(box_index)),
                )
            }
            2 if is_up => {
                fleet.gateways[box_index].signal(Signal::SIGTERM);
                (
                    format!("stop box {box_index}"),
                    STOP_TIME,
                    Some(UndoAction::Restart(box_index)),
                )
            }
            3 if fleet.gateways[box_index].handles_signal(Signal::SIGHUP) => {
                fleet.gateways[box_index].signal(Signal::SIGHUP);
                (format!("reload box {box_index}"), duration, None)
            }
            4 => {
                fleet.store.set_unavailable(true);
                (
                    "store unavailable".to_owned(),
                    duration,
                    Some(UndoAction::EndOutage),
                )
            }
            5 => {
                fleet.store.set_delay(Duration::from_millis(300));
                (
                    "store slow".to_owned(),
                    duration,
                    Some(UndoAction::ResetDelay),
                )
            }
            6 => {
                fleet.store.set_drops_replies(true);
                (
                    "store drops replies".to_owned(),
                    duration,
                    Some(UndoAction::KeepReplies),
                )
            }
            // Suspends one box, or all of them.
            7 => {
                let duration = Duration::from_millis(self.rng.random_range(SUSPENSION_MS));
                let boxes = match self.rng.random_bool(0.3) {
                    true => 0..fleet.gateways.len(),
                    false => box_index..box_index + 1,
                };
                let what = format!("suspend boxes {boxes:?} for {duration:?}");
                for at in boxes {
                    self.total_suspensions[at] += duration;
                    fleet.gateways[at].simulate_suspension(self.total_suspensions[at])?;
                    self.suspensions.push(Suspension {
                        box_index: at,
                        at: Instant::now(),
                        duration,
                    });
                }
                (what, Duration::ZERO, None)
            }
            8 => {
                fleet.store.forget_history();
                self.version += self.rng.random_range(1..4);
                let config = route_config(self.version, KEYS);
                fleet.store.set(dockgate_platform::ROUTES_KEY, config);
                (
                    format!("store history lost, configuration {}", self.version),
                    duration,
                    None,
                )
            }
            9 => {
                let behavior = BEHAVIORS[self.rng.random_range(0..BEHAVIORS.len())];
                fleet.endpoints[endpoint].set_behavior(behavior);
                let action = UndoAction::Recover(endpoint);
                (
                    format!("endpoint {endpoint}: {behavior:?}"),
                    duration,
                    Some(action),
                )
            }
            _ if self.replacements < MAX_REPLACEMENTS => {
                self.replace(fleet, endpoint).await?;
                (
                    format!("drain endpoint {endpoint}"),
                    DRAIN_TIME,
                    Some(UndoAction::RemoveEndpoint(endpoint)),
                )
            }
            _ => return Ok(()),
        };
        let at = self.started.elapsed().as_millis();
        self.fault_log.push(format!("{at} ms: {what}"));
        if let Some(action) = action {
            self.record_disturbance(action, duration);
            self.undo_actions.push((Instant::now() + duration, action));
        }
        Ok(())
    }

    pub(super) fn record_disturbance(&mut self, action: UndoAction, duration: Duration) {
        let box_index = match action {
            UndoAction::Continue(at) | UndoAction::Restart(at) => Some(at),
            UndoAction::EndOutage | UndoAction::ResetDelay | UndoAction::KeepReplies => None,
            _ => return,
        };
        let from = Instant::now();
        self.disturbances.push(Disturbance {
            from,
            until: from + duration + MAX_UNDO_DELAY,
            box_index,
            restarts: matches!(action, UndoAction::Restart(_)),
        });
    }

    /// Starts another endpoint of the same service, and drains this one.
    async fn replace(
        &mut self,
        fleet: &mut GatewayFleet,
        endpoint: usize,
    ) -> Result<(), BenchError> {
        self.replacements += 1;
        let service = fleet.endpoints[endpoint].service.clone();
        let name = format!("again-{}", self.replacements);
        fleet.add_endpoint(&name, &service).await?;
        self.prepare_added(fleet);
        self.drain(fleet, endpoint);
        Ok(())
    }

    /// Prepares the endpoint that was added last for the kind of run.
    fn prepare_added(&self, fleet: &GatewayFleet) {
        let added = fleet.endpoints.last();
        let added = added.filter(|_| self.faults == SoakFaults::SoftwareVersions);
        if let Some(added) = added {
            added.name_version_in_events();
            added.set_processing_time(super::VERSION_EVENT_INTERVAL);
        }
    }

    fn drain(&mut self, fleet: &GatewayFleet, endpoint: usize) {
        let (key, value) = fleet.endpoints[endpoint].record("a", "draining");
        fleet.store.set(&key, value);
        self.drained
            .push(DrainedEndpoint::new(&fleet.endpoints[endpoint]));
    }

    /// Starts an endpoint of another software version, and drains one of the first endpoints.
    async fn begin_release(&mut self, fleet: &mut GatewayFleet) -> Result<(), BenchError> {
        if self.replacements >= MAX_REPLACEMENTS {
            return Ok(());
        }
        let endpoint = self.rng.random_range(0..fleet.endpoints.len());
        if fleet.endpoints[endpoint].service != "model" {
            return Ok(());
        }
        self.replacements += 1;
        let version = format!("v{}", self.rng.random_range(1..4));
        let id = format!("release-{}", self.replacements);
        fleet
            .add_endpoint_of_version(&version, &id, "model")
            .await?;
        self.prepare_added(fleet);
        self.drain(fleet, endpoint);
        let at = self.started.elapsed().as_millis();
        self.fault_log.push(format!(
            "{at} ms: release {version} for endpoint {endpoint}"
        ));
        let action = UndoAction::RemoveEndpoint(endpoint);
        self.undo_actions
            .push((Instant::now() + DRAIN_TIME, action));
        Ok(())
    }

    /// Orders an evacuation, unless one is in force.
    fn evacuate(&mut self, fleet: &GatewayFleet) {
        if self.evacuations.iter().any(|(_, until)| until.is_none()) {
            return;
        }
        fleet.store.set(EVACUATION_KEY, "{}");
        let duration = Duration::from_millis(self.rng.random_range(EVACUATION_MS));
        let now = Instant::now();
        self.evacuations.push((now, None));
        self.undo_actions
            .push((now + duration, UndoAction::TakeBack));
        let at = self.started.elapsed().as_millis();
        self.fault_log
            .push(format!("{at} ms: evacuate for {duration:?}"));
    }

    /// Lists the requests that reached an endpoint while its failure domain was evacuated.
    pub(super) fn sent_despite_evacuation(&self, endpoints: &[&RoutedStandIn]) -> Vec<String> {
        let ran = endpoints.iter().flat_map(|endpoint| endpoint.ran());
        let sent = ran.filter_map(|run| {
            let (from, _) = self.evacuations.iter().find(|(from, until)| {
                let is_over = until.is_some_and(|until| run.at >= until);
                run.at > *from + EVACUATION_DEADLINE && !is_over
            })?;
            let after = run.at - *from;
            Some(format!("{}: ran {after:?} after an evacuation", run.id))
        });
        sent.collect()
    }

    /// Begins a fault that delays updates. The store keeps answering at least one box.
    async fn delay_updates(&mut self, fleet: &mut GatewayFleet) -> Result<(), BenchError> {
        let box_index = self.rng.random_range(0..fleet.gateways.len());
        let silent = self
            .undo_actions
            .iter()
            .filter_map(|(_, action)| match action {
                UndoAction::AnswerAgain(at) => Some(*at),
                _ => None,
            });
        let silent: Vec<usize> = silent.collect();
        let may_be_silenced =
            !silent.contains(&box_index) && silent.len() + 1 < fleet.gateways.len();
        let drained = self.replacements % super::SERVICES.len();
        let (what, action) = match self.rng.random_range(0..4) {
            0 if may_be_silenced => {
                fleet.store_listeners[box_index].set_silent(true);
                let duration = Duration::from_millis(self.rng.random_range(UNANSWERED_MS));
                let action = (
                    Instant::now() + duration,
                    UndoAction::AnswerAgain(box_index),
                );
                (
                    format!("store does not answer box {box_index}"),
                    Some(action),
                )
            }
            1 => {
                fleet.store_listeners[box_index].stall_watches();
                (format!("stall the watches of box {box_index}"), None)
            }
            2 => {
                self.version += 1;
                self.config = large_config(self.version, KEYS, EXTRA_ROUTES);
                fleet
                    .store
                    .set(dockgate_platform::ROUTES_KEY, self.config.clone());
                (format!("large configuration {}", self.version), None)
            }
            _ if self.replacements < super::SERVICES.len() => {
                self.replace(fleet, drained).await?;
                let action = (
                    Instant::now() + CHECKED_DRAIN_TIME,
                    UndoAction::RemoveEndpoint(drained),
                );
                (format!("drain endpoint {drained}"), Some(action))
            }
            _ => return Ok(()),
        };
        let at = self.started.elapsed().as_millis();
        self.fault_log.push(format!("{at} ms: {what}"));
        self.undo_actions.extend(action);
        Ok(())
    }

    /// Begins a fault that slows down the handling of requests: an intermittent box, a failing
    /// endpoint, or a large configuration.
    async fn begin_slow_fault(&mut self, fleet: &GatewayFleet) {
        let box_index = self.rng.random_range(0..fleet.gateways.len());
        let endpoint = self.rng.random_range(0..super::SERVICES.len());
        let at = self.started.elapsed().as_millis();
        let what = match self.rng.random_range(0..4) {
            0 | 1 => {
                let stopped = self.rng.random_range(STOPPED_MS);
                let running = self.rng.random_range(RUNNING_MS);
                self.run_intermittently(&fleet.gateways[box_index], stopped, running)
                    .await;
                format!(
                    "alternately pause box {box_index} for {stopped} ms and run it for {running} ms"
                )
            }
            2 => {
                let behavior = BEHAVIORS[self.rng.random_range(0..BEHAVIORS.len())];
                fleet.endpoints[endpoint].set_behavior(behavior);
                let duration = Duration::from_millis(self.rng.random_range(FAULT_MS));
                self.undo_actions
                    .push((Instant::now() + duration, UndoAction::Recover(endpoint)));
                format!("endpoint {endpoint}: {behavior:?}")
            }
            _ => {
                self.version += 1;
                let config = large_config(self.version, KEYS, EXTRA_ROUTES);
                fleet.store.set(dockgate_platform::ROUTES_KEY, config);
                format!("large configuration {}", self.version)
            }
        };
        self.fault_log.push(format!("{at} ms: {what}"));
    }

    /// Changes the configuration or the settings of a box, or stops a box.
    fn reconfigure(&mut self, fleet: &GatewayFleet) {
        let box_index = self.rng.random_range(0..fleet.gateways.len());
        let gateway = &fleet.gateways[box_index];
        let stopping = self.undo_actions.iter();
        let stopping = stopping.filter(|(_, action)| matches!(action, UndoAction::Restart(_)));
        let what = match self.rng.random_range(0..10) {
            0 if stopping.count() == 0 => {
                gateway.signal(Signal::SIGTERM);
                let action = UndoAction::Restart(box_index);
                self.undo_actions.push((Instant::now() + STOP_TIME, action));
                format!("stop box {box_index}")
            }
            0..4 => {
                let changed = change_settings(gateway, &mut self.rng);
                format!("settings of box {box_index}: {changed}")
            }
            _ => {
                self.version += self.rng.random_range(1..4);
                let (config, changed) = draw_config(self.version, &mut self.rng);
                fleet.store.set(dockgate_platform::ROUTES_KEY, config);
                format!("configuration {}: {changed}", self.version)
            }
        };
        let at = self.started.elapsed().as_millis();
        self.fault_log.push(format!("{at} ms: {what}"));
    }

    /// Writes a configuration in which all callers are served.
    fn restore_config(&mut self, fleet: &GatewayFleet) {
        self.version += 1;
        let config = route_config(self.version, KEYS).replace("10000", "1000000");
        fleet.store.set(dockgate_platform::ROUTES_KEY, config);
    }

    /// Makes an endpoint announce in its answers that it leaves, or makes some endpoints ask for a
    /// backoff.
    fn begin_notice(&mut self, fleet: &GatewayFleet) {
        let endpoint = self.rng.random_range(0..super::SERVICES.len());
        let at = self.started.elapsed().as_millis();
        let (what, duration, action) = match self.rng.random_bool(0.4) {
            true if !self.is_ending(endpoint) => {
                fleet.endpoints[endpoint].set_leaving(true);
                let duration = Duration::from_millis(self.rng.random_range(NOTICE_MS));
                let what = format!("endpoint {endpoint} announces in its answers that it leaves");
                (what, duration, UndoAction::EndEndpoint(endpoint))
            }
            _ => {
                let backoff = Duration::from_millis(self.rng.random_range(BACKOFF_MS));
                let ratio = self.rng.random_range(0.2..1.3);
                let rejecting = fleet.endpoints.iter();
                let rejecting = rejecting.filter(|_| self.rng.random_bool(f64::min(ratio, 1.0)));
                rejecting.for_each(|each| each.set_backoff(Some(backoff)));
                let duration = Duration::from_millis(self.rng.random_range(FAULT_MS));
                let what =
                    format!("endpoints reject requests and ask for a backoff of {backoff:?}");
                (what, duration, UndoAction::ResetBackoff)
            }
        };
        self.fault_log.push(format!("{at} ms: {what}"));
        self.undo_actions.push((Instant::now() + duration, action));
    }

    fn is_ending(&self, endpoint: usize) -> bool {
        let mut undo_actions = self.undo_actions.iter();
        undo_actions
            .any(|(_, action)| matches!(action, UndoAction::EndEndpoint(at) if *at == endpoint))
    }

    /// Pauses and continues a box alternately for a while.
    async fn run_intermittently(
        &mut self,
        gateway: &GatewayProcess,
        stopped_ms: u64,
        running_ms: u64,
    ) {
        let from = Instant::now();
        while from.elapsed() < SLOW_TIME {
            gateway.signal(Signal::SIGSTOP);
            tokio::time::sleep(Duration::from_millis(stopped_ms)).await;
            gateway.signal(Signal::SIGCONT);
            tokio::time::sleep(Duration::from_millis(running_ms)).await;
        }
        self.slow.push((from, Instant::now()));
    }

    /// Returns whether an endpoint was drained.
    pub(super) fn is_drained(&self, endpoint: &RoutedStandIn) -> bool {
        self.drained.iter().any(|drained| drained.matches(endpoint))
    }

    /// Lists the requests that reached endpoints too long after they were drained, for runs in
    /// which no box is disturbed.
    pub(super) fn sent_after_drain(&self, endpoints: &[&RoutedStandIn]) -> Vec<String> {
        let undisturbed =
            [SoakFaults::DelayedUpdates, SoakFaults::StoreRestores].contains(&self.faults);
        let drained = self.drained.iter().filter(|_| undisturbed);
        let late = drained.flat_map(|drained| {
            let endpoint = endpoints.iter().find(|endpoint| drained.matches(endpoint));
            let ran = endpoint.into_iter().flat_map(|endpoint| endpoint.ran());
            let late = ran.filter(|run| {
                // A store that was restored does not know the drain until it is written again.
                let drained_at = self.snapshots.last_rewrite(run.at).max(Some(drained.at));
                drained_at.is_some_and(|drained_at| run.at > drained_at + DRAIN_DEADLINE)
            });
            late.map(move |run| {
                let after = run.at - drained.at;
                format!(
                    "{}: reached {} {after:?} after its drain",
                    run.id, drained.id
                )
            })
        });
        late.collect()
    }
}
