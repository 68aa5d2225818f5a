//! Faults that are caused from outside the gateways, and undone after a while.

use super::SoakFaults;
use super::ending_caller::Disturbance;
use super::older_copies::StoreCopies;
use crate::error::BenchError;
use crate::gateway_fleet::{GatewayFleet, GatewayProcess, KEYS, large_config, route_config};
use crate::standin::{EndpointBehavior, RoutedStandIn};
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::ops::Range;
use std::time::{Duration, Instant};

/// How often a fault begins, on average: one in so many steps.
const ONE_IN: u32 = 7;
/// How long a fault lasts, in milliseconds.
const LASTS_MS: std::ops::Range<u64> = 150..1_800;
/// After how long a gateway that was told to stop is started anew: its grace is 4 s.
const GRACE: Duration = Duration::from_millis(4_500);
/// How many endpoints are replaced at most.
const MOST_LIVES: usize = 6;
/// How long a draining endpoint goes on.
const DRAIN: Duration = Duration::from_millis(2_500);
/// How long it does where it is checked what still reaches it.
const LINGER: Duration = Duration::from_secs(6);
/// Within which time of an endpoint's notice nothing may reach it any more: the settings' default.
const DRAIN_BOUND: Duration = Duration::from_secs(2);
/// How long the store says nothing to a box, in milliseconds.
const SILENT_MS: std::ops::Range<u64> = 1_000..9_000;
/// How long a box is slow.
const SLOW: Duration = Duration::from_millis(2_500);
/// For how long a slow box is stopped each time, in milliseconds: from a share that is spent to what makes it
/// seconds late.
const STOPPED_MS: std::ops::Range<u64> = 20..900;
/// For how long it runs in between, in milliseconds.
const RUNNING_MS: std::ops::Range<u64> = 2..30;
/// How long an endpoint goes on that says in its answers that it leaves, in milliseconds.
const LEAVES_MS: Range<u64> = 500..5_000;
/// How much rest endpoints ask for, in milliseconds.
const REST_MS: Range<u64> = 600..4_000;
/// How many routes more a large configuration has: 0.7 MB.
const MORE_ROUTES: usize = 4_000;

/// How much later than it is due a fault may be undone.
const STEP_LATE: Duration = Duration::from_millis(200);
/// The faults of [`FaultField::begin`], by number.
const ALL_FAULTS: Range<u32> = 0..11;
/// Those of boxes and of the store.
const BOX_AND_STORE_FAULTS: Range<u32> = 0..8;
/// For how long boxes seem to be suspended, in milliseconds: from what is hardly seen to what ends each deadline.
const AWAY_MS: Range<u64> = 50..6_000;

const MANNERS: [EndpointBehavior; 9] = [
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

/// What ends a fault.
#[derive(Debug, Clone, Copy)]
pub(super) enum FaultEnd {
    Continue(usize),
    Restart(usize),
    StoreBack,
    StoreFast,
    StoreKeepsReplies,
    Sound(usize),
    Leave(usize),
    StoreHears(usize),
    /// An endpoint ends, and leaves its record behind.
    End(usize),
    /// Endpoints take requests again.
    Rested,
    /// The operator and the endpoints write again what they wrote.
    WrittenAgain,
}

/// A lifetime of an endpoint that said that it leaves: another one may have its id by now.
struct LeavingLife {
    id: String,
    started_ms: u64,
    at: Instant,
}

impl LeavingLife {
    fn new(endpoint: &RoutedStandIn) -> Self {
        Self {
            id: endpoint.id.clone(),
            started_ms: endpoint.started_ms,
            at: Instant::now(),
        }
    }

    fn is_of(&self, endpoint: &RoutedStandIn) -> bool {
        (self.id.as_str(), self.started_ms) == (endpoint.id.as_str(), endpoint.started_ms)
    }
}

/// A box seemed to be suspended: its clock was put forward by a time that has not passed for anybody else.
#[derive(Debug, Clone, Copy)]
pub(super) struct Suspension {
    pub(super) box_at: usize,
    pub(super) at: Instant,
    pub(super) away: Duration,
}

/// The faults that stand.
pub(super) struct FaultField {
    pub(super) draw: StdRng,
    faults: SoakFaults,
    /// The endpoints that said that they leave.
    left: Vec<LeavingLife>,
    pub(super) ends: Vec<(Instant, FaultEnd)>,
    /// Older copies of the store.
    pub(super) copies: StoreCopies,
    /// From when until when a box was slow.
    pub(super) slow: Vec<(Instant, Instant)>,
    /// For how long each box seems to have been suspended, all in all.
    away: [Duration; super::GATEWAYS],
    /// When boxes seemed to be suspended.
    pub(super) suspended: Vec<Suspension>,
    /// When boxes or the store were disturbed.
    pub(super) disturbed: Vec<Disturbance>,
    pub(super) started: Instant,
    /// The newest configuration, as it was written.
    pub(super) config: String,
    version: u64,
    lives: usize,
    /// What was done, and when.
    pub(super) told: Vec<String>,
}

impl FaultField {
    pub(super) fn new(seed: u64, faults: SoakFaults) -> Self {
        Self {
            draw: StdRng::seed_from_u64(seed),
            faults,
            left: Vec::new(),
            ends: Vec::new(),
            copies: StoreCopies::default(),
            slow: Vec::new(),
            away: [Duration::ZERO; super::GATEWAYS],
            suspended: Vec::new(),
            disturbed: Vec::new(),
            started: Instant::now(),
            config: route_config(1, KEYS),
            version: 1,
            lives: 0,
            told: Vec::new(),
        }
    }

    /// Undoes what is due, and may begin another fault.
    pub(super) async fn step(&mut self, fleet: &mut GatewayFleet) -> Result<(), BenchError> {
        let now = Instant::now();
        let due: Vec<FaultEnd> = self
            .ends
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, end)| end)
            .collect();
        for end in due {
            self.undo(fleet, end).await?;
        }
        if self.faults == SoakFaults::StoreRestores {
            self.copies.keep(&fleet.store);
        }
        if self.draw.random_ratio(1, ONE_IN) {
            match self.faults {
                SoakFaults::All => self.begin(fleet, ALL_FAULTS).await?,
                // Endpoints end by themselves there.
                SoakFaults::CrashingRequests => self.begin(fleet, BOX_AND_STORE_FAULTS).await?,
                SoakFaults::DelayedUpdates => self.delay_news(fleet).await?,
                SoakFaults::StoreRestores if self.draw.random_bool(0.3) => self.lose_history(fleet),
                SoakFaults::StoreRestores => self.delay_news(fleet).await?,
                SoakFaults::CallerDisconnects => self.slow_down(fleet).await,
                SoakFaults::EndpointNotices if self.draw.random_bool(0.5) => {
                    self.give_notice(fleet)
                }
                SoakFaults::EndpointNotices => self.begin(fleet, BOX_AND_STORE_FAULTS).await?,
            }
        }
        Ok(())
    }

    /// Undoes all that stands.
    pub(super) async fn undo_all(&mut self, fleet: &mut GatewayFleet) -> Result<(), BenchError> {
        for (_, end) in std::mem::take(&mut self.ends) {
            self.undo(fleet, end).await?;
        }
        Ok(())
    }

    async fn undo(&mut self, fleet: &mut GatewayFleet, end: FaultEnd) -> Result<(), BenchError> {
        match end {
            FaultEnd::Continue(box_at) => fleet.gateways[box_at].signal(Signal::SIGCONT),
            FaultEnd::Restart(box_at) => {
                let gateway = &mut fleet.gateways[box_at];
                gateway.kill();
                gateway.restart()?;
            }
            FaultEnd::StoreBack => fleet.store.set_unavailable(false),
            FaultEnd::StoreFast => fleet.store.set_delay(Duration::ZERO),
            FaultEnd::StoreKeepsReplies => fleet.store.set_drops_replies(false),
            FaultEnd::Sound(at) => fleet.endpoints[at].set_behavior(EndpointBehavior::Sound),
            FaultEnd::StoreHears(at) => fleet.store_listeners[at].set_silent(false),
            FaultEnd::End(at) => fleet.endpoints[at].kill(),
            FaultEnd::Rested => fleet
                .endpoints
                .iter()
                .for_each(|each| each.set_backoff(None)),
            FaultEnd::WrittenAgain => self.write_again(fleet),
            FaultEnd::Leave(at) => {
                let (key, _) = fleet.endpoints[at].record("a", "draining");
                fleet.store.remove(&key);
                fleet.endpoints[at].kill();
            }
        }
        Ok(())
    }

    async fn begin(
        &mut self,
        fleet: &mut GatewayFleet,
        kinds: Range<u32>,
    ) -> Result<(), BenchError> {
        let lasts = Duration::from_millis(self.draw.random_range(LASTS_MS));
        let box_at = self.draw.random_range(0..fleet.gateways.len());
        let endpoint = self.draw.random_range(0..super::SERVICES.len());
        let is_up = !self.ends.iter().any(
            |(_, end)| matches!(end, FaultEnd::Restart(at) | FaultEnd::Continue(at) if *at == box_at),
        );
        let (what, lasts, end) = match self.draw.random_range(kinds) {
            0 if is_up => {
                fleet.gateways[box_at].signal(Signal::SIGSTOP);
                (
                    format!("pause box {box_at}"),
                    lasts,
                    Some(FaultEnd::Continue(box_at)),
                )
            }
            1 if is_up => {
                fleet.gateways[box_at].kill();
                (
                    format!("kill box {box_at}"),
                    lasts,
                    Some(FaultEnd::Restart(box_at)),
                )
            }
            2 if is_up => {
                fleet.gateways[box_at].signal(Signal::SIGTERM);
                (
                    format!("stop box {box_at}"),
                    GRACE,
                    Some(FaultEnd::Restart(box_at)),
                )
            }
            3 if fleet.gateways[box_at].handles_signal(Signal::SIGHUP) => {
                fleet.gateways[box_at].signal(Signal::SIGHUP);
                (format!("reload box {box_at}"), lasts, None)
            }
            4 => {
                fleet.store.set_unavailable(true);
                ("store away".to_owned(), lasts, Some(FaultEnd::StoreBack))
            }
            5 => {
                fleet.store.set_delay(Duration::from_millis(300));
                ("store slow".to_owned(), lasts, Some(FaultEnd::StoreFast))
            }
            6 => {
                fleet.store.set_drops_replies(true);
                (
                    "store loses replies".to_owned(),
                    lasts,
                    Some(FaultEnd::StoreKeepsReplies),
                )
            }
            // One box, or all of them.
            7 => {
                let away = Duration::from_millis(self.draw.random_range(AWAY_MS));
                let boxes = match self.draw.random_bool(0.3) {
                    true => 0..fleet.gateways.len(),
                    false => box_at..box_at + 1,
                };
                let what = format!("boxes {boxes:?} are suspended for {away:?}");
                for at in boxes {
                    self.away[at] += away;
                    fleet.gateways[at].simulate_suspension(self.away[at])?;
                    self.suspended.push(Suspension {
                        box_at: at,
                        at: Instant::now(),
                        away,
                    });
                }
                (what, Duration::ZERO, None)
            }
            8 => {
                fleet.store.forget_history();
                self.version += self.draw.random_range(1..4);
                let config = route_config(self.version, KEYS);
                fleet.store.set(dockgate_platform::ROUTES, config);
                (
                    format!("history lost, configuration {}", self.version),
                    lasts,
                    None,
                )
            }
            9 => {
                let manner = MANNERS[self.draw.random_range(0..MANNERS.len())];
                fleet.endpoints[endpoint].set_behavior(manner);
                let end = FaultEnd::Sound(endpoint);
                (format!("endpoint {endpoint}: {manner:?}"), lasts, Some(end))
            }
            _ if self.lives < MOST_LIVES => {
                self.replace(fleet, endpoint).await?;
                (
                    format!("endpoint {endpoint} leaves"),
                    DRAIN,
                    Some(FaultEnd::Leave(endpoint)),
                )
            }
            _ => return Ok(()),
        };
        let at = self.started.elapsed().as_millis();
        self.told.push(format!("{at} ms: {what}"));
        if let Some(end) = end {
            self.note_disturbance(end, lasts);
            self.ends.push((Instant::now() + lasts, end));
        }
        Ok(())
    }

    fn note_disturbance(&mut self, end: FaultEnd, lasts: Duration) {
        let box_at = match end {
            FaultEnd::Continue(at) | FaultEnd::Restart(at) => Some(at),
            FaultEnd::StoreBack | FaultEnd::StoreFast | FaultEnd::StoreKeepsReplies => None,
            _ => return,
        };
        let from = Instant::now();
        self.disturbed.push(Disturbance {
            from,
            until: from + lasts + STEP_LATE,
            box_at,
            restarts: matches!(end, FaultEnd::Restart(_)),
        });
    }

    /// Starts another endpoint of the same service, and lets this one say that it leaves.
    async fn replace(
        &mut self,
        fleet: &mut GatewayFleet,
        endpoint: usize,
    ) -> Result<(), BenchError> {
        self.lives += 1;
        let service = fleet.endpoints[endpoint].service.clone();
        let name = format!("again-{}", self.lives);
        fleet.add_endpoint(&name, &service).await?;
        let (key, value) = fleet.endpoints[endpoint].record("a", "draining");
        fleet.store.set(&key, value);
        self.left.push(LeavingLife::new(&fleet.endpoints[endpoint]));
        Ok(())
    }

    /// Begins a fault by which news comes late. The store goes on hearing one box at least.
    async fn delay_news(&mut self, fleet: &mut GatewayFleet) -> Result<(), BenchError> {
        let box_at = self.draw.random_range(0..fleet.gateways.len());
        let silent = self.ends.iter().filter_map(|(_, end)| match end {
            FaultEnd::StoreHears(at) => Some(*at),
            _ => None,
        });
        let silent: Vec<usize> = silent.collect();
        let may_fall_silent = !silent.contains(&box_at) && silent.len() + 1 < fleet.gateways.len();
        let leaving = self.lives % super::SERVICES.len();
        let (what, end) = match self.draw.random_range(0..4) {
            0 if may_fall_silent => {
                fleet.store_listeners[box_at].set_silent(true);
                let lasts = Duration::from_millis(self.draw.random_range(SILENT_MS));
                let end = (Instant::now() + lasts, FaultEnd::StoreHears(box_at));
                (format!("the store is silent for box {box_at}"), Some(end))
            }
            1 => {
                fleet.store_listeners[box_at].stall_watches();
                (format!("watches of box {box_at} stall"), None)
            }
            2 => {
                self.version += 1;
                self.config = large_config(self.version, KEYS, MORE_ROUTES);
                fleet
                    .store
                    .set(dockgate_platform::ROUTES, self.config.clone());
                (format!("large configuration {}", self.version), None)
            }
            _ if self.lives < super::SERVICES.len() => {
                self.replace(fleet, leaving).await?;
                let end = (Instant::now() + LINGER, FaultEnd::Leave(leaving));
                (format!("endpoint {leaving} leaves"), Some(end))
            }
            _ => return Ok(()),
        };
        let at = self.started.elapsed().as_millis();
        self.told.push(format!("{at} ms: {what}"));
        self.ends.extend(end);
        Ok(())
    }

    /// Begins a fault beside which callers leave: a box that runs for a small part of the time, an endpoint that
    /// fails, a large configuration.
    async fn slow_down(&mut self, fleet: &GatewayFleet) {
        let box_at = self.draw.random_range(0..fleet.gateways.len());
        let endpoint = self.draw.random_range(0..super::SERVICES.len());
        let at = self.started.elapsed().as_millis();
        let what = match self.draw.random_range(0..4) {
            0 | 1 => {
                let stopped = self.draw.random_range(STOPPED_MS);
                let running = self.draw.random_range(RUNNING_MS);
                self.take_turns(&fleet.gateways[box_at], stopped, running)
                    .await;
                format!("box {box_at} is stopped for {stopped} and runs for {running} ms in turn")
            }
            2 => {
                let manner = MANNERS[self.draw.random_range(0..MANNERS.len())];
                fleet.endpoints[endpoint].set_behavior(manner);
                let lasts = Duration::from_millis(self.draw.random_range(LASTS_MS));
                self.ends
                    .push((Instant::now() + lasts, FaultEnd::Sound(endpoint)));
                format!("endpoint {endpoint}: {manner:?}")
            }
            _ => {
                self.version += 1;
                let config = large_config(self.version, KEYS, MORE_ROUTES);
                fleet.store.set(dockgate_platform::ROUTES, config);
                format!("large configuration {}", self.version)
            }
        };
        self.told.push(format!("{at} ms: {what}"));
    }

    /// Lets an endpoint say in its answers alone that it leaves, and end, or some of them ask for rest.
    fn give_notice(&mut self, fleet: &GatewayFleet) {
        let endpoint = self.draw.random_range(0..super::SERVICES.len());
        let at = self.started.elapsed().as_millis();
        let (what, lasts, end) = match self.draw.random_bool(0.4) {
            true if !self.is_ending(endpoint) => {
                fleet.endpoints[endpoint].set_leaving(true);
                let lasts = Duration::from_millis(self.draw.random_range(LEAVES_MS));
                let what = format!("endpoint {endpoint} leaves by its answers");
                (what, lasts, FaultEnd::End(endpoint))
            }
            _ => {
                let rest = Duration::from_millis(self.draw.random_range(REST_MS));
                let part = self.draw.random_range(0.2..1.3);
                let resting = fleet.endpoints.iter();
                let resting = resting.filter(|_| self.draw.random_bool(f64::min(part, 1.0)));
                resting.for_each(|each| each.set_backoff(Some(rest)));
                let lasts = Duration::from_millis(self.draw.random_range(LASTS_MS));
                let what = format!("endpoints turn away and ask for {rest:?}");
                (what, lasts, FaultEnd::Rested)
            }
        };
        self.told.push(format!("{at} ms: {what}"));
        self.ends.push((Instant::now() + lasts, end));
    }

    fn is_ending(&self, endpoint: usize) -> bool {
        let mut ends = self.ends.iter();
        ends.any(|(_, end)| matches!(end, FaultEnd::End(at) if *at == endpoint))
    }

    /// Stops and continues a box in turn, for a while.
    async fn take_turns(&mut self, gateway: &GatewayProcess, stopped_ms: u64, running_ms: u64) {
        let from = Instant::now();
        while from.elapsed() < SLOW {
            gateway.signal(Signal::SIGSTOP);
            tokio::time::sleep(Duration::from_millis(stopped_ms)).await;
            gateway.signal(Signal::SIGCONT);
            tokio::time::sleep(Duration::from_millis(running_ms)).await;
        }
        self.slow.push((from, Instant::now()));
    }

    /// Tells whether an endpoint has said that it leaves.
    pub(super) fn has_left(&self, endpoint: &RoutedStandIn) -> bool {
        self.left.iter().any(|left| left.is_of(endpoint))
    }

    /// Lists the requests that endpoints got long after they had said that they leave, where no box was
    /// disturbed meanwhile.
    pub(super) fn sent_after_leaving(&self, endpoints: &[&RoutedStandIn]) -> Vec<String> {
        let undisturbed =
            [SoakFaults::DelayedUpdates, SoakFaults::StoreRestores].contains(&self.faults);
        let left = self.left.iter().filter(|_| undisturbed);
        let late = left.flat_map(|left| {
            let life = endpoints.iter().find(|life| left.is_of(life));
            let ran = life.into_iter().flat_map(|life| life.ran());
            let late = ran.filter(|run| {
                // Before it has written so again, a store that has just come back may not know it.
                let known = self.copies.last_written(run.at).max(Some(left.at));
                known.is_some_and(|known| run.at > known + DRAIN_BOUND)
            });
            late.map(move |run| {
                let after = run.at - left.at;
                format!("{}: reached {} {after:?} after it left", run.id, left.id)
            })
        });
        late.collect()
    }
}
