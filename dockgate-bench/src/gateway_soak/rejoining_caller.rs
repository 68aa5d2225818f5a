//! Callers that keep their connections until a box is gone, and take up streams with several
//! requests; and the share of the streams that go on after all boxes were killed.

use super::crashing_caller::Disturbance;
use super::fault_injector::FaultInjector;
use crate::gateway_fleet::GatewayFleet;
use crate::standin::{ResumedStream, StreamShape};
use rand::RngExt;
use rand::rngs::StdRng;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Number of such callers, as many as the slots of the endpoints of a version.
pub(super) const REJOINING_CALLERS: u64 = 24;
/// Time per event of their streams.
pub(super) const REJOIN_EVENT_INTERVAL: Duration = Duration::from_millis(60);
const SHAPE: StreamShape = StreamShape {
    events: 50,
    budget_ms: 4_000,
};
/// More events than a stream has, so that a caller reads the end of each answer.
const TO_THE_END: u64 = u64::MAX >> 1;
/// Time after which a caller considers an answer lost.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(SHAPE.budget_ms + 500);
/// Time for which a caller takes up a stream: twice the timeout of its route.
const TAKE_UP_TIME: Duration = Duration::from_secs(8);
/// Pause of a caller between two requests, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 100..400;
/// Largest delay of the first request of a caller, in milliseconds.
const MAX_START_MS: u64 = 1_500;
/// Time for which a box and the store must be undisturbed before a request counts.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// The age from which streams count as taken up, and the time within which they are recorded.
const COUNTED_AGE: Duration = Duration::from_secs(1);
/// The least number of streams taken up from which their share counts.
const COUNTED_STREAMS: usize = 12;
/// The least number of endpoints of a version that serves.
const SERVING_ENDPOINTS: usize = 2;

/// One request for a stream.
#[derive(Debug)]
struct StreamTry {
    box_index: usize,
    sent_at: Instant,
    ended_at: Instant,
    has_events: bool,
}

/// A stream and the requests for it.
#[derive(Debug)]
pub(super) struct RejoinedStream {
    pub(super) stream: ResumedStream,
    tries: Vec<StreamTry>,
}

/// Requests streams and takes them up until `stop` is set, and one more.
pub(super) async fn run_rejoining_caller(
    number: u64,
    mut rng: StdRng,
    gateways: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
) -> Vec<RejoinedStream> {
    let start_ms = rng.random_range(0..MAX_START_MS);
    tokio::time::sleep(Duration::from_millis(start_ms)).await;
    let mut streams = Vec::new();
    let mut kept = None;
    let mut box_index = 0;
    loop {
        let is_final = stop.load(Ordering::Acquire);
        let mut stream = ResumedStream::new(SHAPE, rng.random());
        let mut tries = Vec::new();
        let started = Instant::now();
        while !stream.is_whole() && started.elapsed() < TAKE_UP_TIME {
            if kept.is_none() {
                box_index = rng.random_range(0..gateways.len());
            }
            let id = format!("j{number}n{}t{}", streams.len(), tries.len());
            let (sent_at, before) = (Instant::now(), stream.received());
            let attempt = stream.attempt_on(&mut kept, id, gateways[box_index], TO_THE_END);
            let is_late = tokio::time::timeout(ANSWER_TIMEOUT, attempt).await.is_err();
            tries.push(StreamTry {
                box_index,
                sent_at,
                ended_at: Instant::now(),
                has_events: stream.received() > before,
            });
            // After an answer that is not whole, another box is asked.
            if is_late || !stream.is_whole() {
                kept = None;
                let pause_ms = rng.random_range(PAUSE_MS);
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
        }
        streams.push(RejoinedStream { stream, tries });
        if is_final {
            return streams;
        }
    }
}

/// What was disturbed in a run.
pub(super) struct RejoinFaults<'a> {
    disturbances: &'a [Disturbance],
    /// When all boxes were killed at once.
    herd_kills: &'a [Instant],
    /// When the records of endpoints were removed, by the index of the endpoint.
    removals: &'a [(usize, Instant)],
}

impl<'a> RejoinFaults<'a> {
    pub(super) fn of(injector: &'a FaultInjector) -> Self {
        Self {
            disturbances: &injector.disturbances,
            herd_kills: &injector.rejoins.herd_kills,
            removals: &injector.rejoins.removals,
        }
    }

    /// Returns whether a box, and the store, were undisturbed.
    fn is_undisturbed(&self, box_index: usize, from: Instant, until: Instant) -> bool {
        let mut disturbances = self.disturbances.iter();
        !disturbances.any(|fault| {
            let concerns = fault.box_index.is_none_or(|at| at == box_index);
            concerns && fault.from <= until && from <= fault.until
        })
    }

    /// Returns whether the box that received a request had been in contact for a while.
    fn is_in_contact(&self, sent: &StreamTry) -> bool {
        let from = sent.sent_at - CONTACT_TIME;
        self.is_undisturbed(sent.box_index, from, sent.sent_at)
    }

    /// Returns whether enough endpoints of the stream's version had records until a time.
    fn is_served(&self, fleet: &GatewayFleet, stream: &ResumedStream, until: Instant) -> bool {
        let endpoints = fleet.endpoints.iter().enumerate();
        let serving = endpoints.filter(|(index, endpoint)| {
            let mut removals = self.removals.iter();
            let is_removed = removals.any(|(at, removed)| at == index && *removed <= until);
            // Endpoints of the other service have a version too.
            let is_alike = stream.versions.contains(&endpoint.version);
            endpoint.service == "model" && is_alike && !is_removed
        });
        serving.count() >= SERVING_ENDPOINTS
    }

    /// Returns whether a stream could be recorded before all boxes were killed, and was cut then.
    fn is_counted(&self, stream: &RejoinedStream, cut_at: Instant) -> bool {
        let mut tries = stream.tries.iter();
        let is_cut = tries.any(|sent| sent.sent_at < cut_at && cut_at <= sent.ended_at);
        let began_at = stream.stream.began_at;
        let began = stream.tries.iter().find(|sent| sent.has_events);
        let is_recorded = began.zip(began_at).is_some_and(|(began, began_at)| {
            let until = began_at + COUNTED_AGE;
            let from = began.sent_at - CONTACT_TIME;
            until <= cut_at && self.is_undisturbed(began.box_index, from, until)
        });
        is_cut && is_recorded
    }

    /// Counts the streams of each time between two kills of all boxes.
    pub(super) fn windows(
        &self,
        fleet: &GatewayFleet,
        streams: &[RejoinedStream],
        started: Instant,
    ) -> Vec<RejoinWindow> {
        let ends = self.herd_kills.iter().skip(1).copied().map(Some);
        let windows = self.herd_kills.iter().zip(ends.chain([None]));
        let windows = windows.map(|(cut_at, end)| {
            let mut window = RejoinWindow::new(*cut_at - started);
            for stream in streams {
                self.count(&mut window, fleet, stream, (*cut_at, end));
            }
            window
        });
        windows.collect()
    }

    fn count(
        &self,
        window: &mut RejoinWindow,
        fleet: &GatewayFleet,
        stream: &RejoinedStream,
        (cut_at, end): (Instant, Option<Instant>),
    ) {
        let is_within =
            |sent: &&StreamTry| cut_at <= sent.sent_at && end.is_none_or(|end| sent.ended_at < end);
        if let Some(first) = stream.tries.first().filter(is_within)
            && self.is_in_contact(first)
        {
            window.new += 1;
            window.begun += usize::from(first.has_events);
        }
        let sent = stream.tries.iter().filter(is_within);
        let sent: Vec<&StreamTry> = sent.collect();
        let Some(last) = sent.last().filter(|_| self.is_counted(stream, cut_at)) else {
            return;
        };
        let went_on = sent.iter().any(|sent| sent.has_events);
        let is_asked = sent.iter().any(|sent| self.is_in_contact(sent));
        let is_served = self.is_served(fleet, &stream.stream, last.ended_at);
        if went_on || is_asked && is_served {
            window.taken_up += 1;
            window.went_on += usize::from(went_on);
        }
    }
}

/// What became of the streams that were cut when all boxes were killed.
#[derive(Debug, Clone)]
pub struct RejoinWindow {
    /// The time since the start of the run.
    cut_after: Duration,
    taken_up: usize,
    went_on: usize,
    new: usize,
    begun: usize,
}

impl RejoinWindow {
    const fn new(cut_after: Duration) -> Self {
        Self {
            cut_after,
            taken_up: 0,
            went_on: 0,
            new: 0,
            begun: 0,
        }
    }

    /// Returns a violation if the share of the streams that went on is below half of the share of
    /// new ones that began.
    pub(super) fn violation(&self) -> Option<String> {
        let is_enough = 2 * self.went_on * self.new >= self.begun * self.taken_up;
        let is_broken = self.taken_up >= COUNTED_STREAMS && !is_enough;
        is_broken.then(|| format!("too few streams went on: {self}"))
    }
}

impl fmt::Display for RejoinWindow {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "all boxes killed at {} ms: {} of {} streams went on, {} of {} new ones began",
            self.cut_after.as_millis(),
            self.went_on,
            self.taken_up,
            self.begun,
            self.new
        )
    }
}
