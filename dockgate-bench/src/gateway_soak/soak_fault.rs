//! Faults that are caused from outside the gateways, and undone after a while.

use super::KEYS;
use crate::error::BenchError;
use crate::gateway_fleet::{GatewayFleet, route_config};
use crate::standin::EndpointManner;
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
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

const MANNERS: [EndpointManner; 9] = [
    EndpointManner::Loses,
    EndpointManner::Silent,
    EndpointManner::Full,
    EndpointManner::Foreign,
    EndpointManner::Fails,
    EndpointManner::NoProof,
    EndpointManner::Encoded,
    EndpointManner::CutsAfter(0),
    EndpointManner::CutsAfter(5),
];

/// What ends a fault.
#[derive(Debug, Clone, Copy)]
enum FaultEnd {
    Continue(usize),
    Restart(usize),
    StoreBack,
    StoreFast,
    StoreKeepsReplies,
    Sound(usize),
    Leave(usize),
}

/// The faults that stand.
pub(super) struct FaultField {
    draw: StdRng,
    ends: Vec<(Instant, FaultEnd)>,
    started: Instant,
    version: u64,
    lives: usize,
    /// What was done, and when.
    pub(super) told: Vec<String>,
}

impl FaultField {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            draw: StdRng::seed_from_u64(seed),
            ends: Vec::new(),
            started: Instant::now(),
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
        if self.draw.random_ratio(1, ONE_IN) {
            self.begin(fleet).await?;
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
            FaultEnd::StoreBack => fleet.store.set_out(false),
            FaultEnd::StoreFast => fleet.store.set_slow(Duration::ZERO),
            FaultEnd::StoreKeepsReplies => fleet.store.set_loses_replies(false),
            FaultEnd::Sound(at) => fleet.endpoints[at].set_manner(EndpointManner::Sound),
            FaultEnd::Leave(at) => {
                let (key, _) = fleet.endpoints[at].record("a", "draining");
                fleet.store.remove(&key);
                fleet.endpoints[at].kill();
            }
        }
        Ok(())
    }

    async fn begin(&mut self, fleet: &mut GatewayFleet) -> Result<(), BenchError> {
        let lasts = Duration::from_millis(self.draw.random_range(LASTS_MS));
        let box_at = self.draw.random_range(0..fleet.gateways.len());
        let endpoint = self.draw.random_range(0..super::SERVICES.len());
        let is_up = !self.ends.iter().any(
            |(_, end)| matches!(end, FaultEnd::Restart(at) | FaultEnd::Continue(at) if *at == box_at),
        );
        let (what, lasts, end) = match self.draw.random_range(0..10) {
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
            3 if fleet.gateways[box_at].listens_for(Signal::SIGHUP) => {
                fleet.gateways[box_at].signal(Signal::SIGHUP);
                (format!("reload box {box_at}"), lasts, None)
            }
            4 => {
                fleet.store.set_out(true);
                ("store away".to_owned(), lasts, Some(FaultEnd::StoreBack))
            }
            5 => {
                fleet.store.set_slow(Duration::from_millis(300));
                ("store slow".to_owned(), lasts, Some(FaultEnd::StoreFast))
            }
            6 => {
                fleet.store.set_loses_replies(true);
                (
                    "store loses replies".to_owned(),
                    lasts,
                    Some(FaultEnd::StoreKeepsReplies),
                )
            }
            7 => {
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
            8 => {
                let manner = MANNERS[self.draw.random_range(0..MANNERS.len())];
                fleet.endpoints[endpoint].set_manner(manner);
                let end = FaultEnd::Sound(endpoint);
                (format!("endpoint {endpoint}: {manner:?}"), lasts, Some(end))
            }
            _ if self.lives < MOST_LIVES => {
                self.lives += 1;
                let service = fleet.endpoints[endpoint].service.clone();
                fleet
                    .add_endpoint(&format!("again-{}", self.lives), &service)
                    .await?;
                let (key, value) = fleet.endpoints[endpoint].record("a", "draining");
                fleet.store.set(&key, value);
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
        self.ends
            .extend(end.map(|end| (Instant::now() + lasts, end)));
        Ok(())
    }
}
