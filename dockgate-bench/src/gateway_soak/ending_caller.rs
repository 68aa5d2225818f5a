//! A stand-in of a caller whose request ends each endpoint that begins to run it, and comes again and again.

use super::caller_standin::SoakRoute;
use crate::gateway_fleet::{GatewayFleet, GatewayProcess};
use crate::standin::RoutedStandIn;
use crate::standin::caller::{connect_within, request_with_body};
use bytes::Bytes;
use rand::RngExt;
use rand::rngs::StdRng;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// How many such requests there are, one after the other: while boxes are disturbed anew, each is new to them.
pub(super) const ENDING_REQUESTS: usize = 3;
/// How long after one the next of them begins to come, in milliseconds.
const STAGGER_MS: u64 = 2_500;
/// How long a caller rests before it comes again, in milliseconds.
const REST_MS: std::ops::Range<u64> = 100..500;
/// How long a caller waits for its answer.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// How long an endpoint is away that has ended, in milliseconds.
const AWAY_MS: std::ops::Range<u64> = 100..1_500;
/// Under how many ends a request has to come to be known.
const VERDICT: usize = 3;
/// How long after the last of them boxes that are in touch send it no more, and for how long a box must have
/// been undisturbed to be that.
const CONTACT: Duration = Duration::from_secs(3);
/// How many sends of each there may be after that.
const MOST_LATER: usize = 3;
const ROUTES: [SoakRoute; ENDING_REQUESTS] = [SoakRoute::Once, SoakRoute::Live, SoakRoute::Again];

/// Returns the body of such a request.
pub(super) fn ending_body(number: usize) -> Bytes {
    Bytes::from(format!("ends {number}"))
}

/// A time in which a box, or all of them, could not know or send what others do.
#[derive(Debug, Clone, Copy)]
pub(super) struct Disturbance {
    pub(super) from: Instant,
    pub(super) until: Instant,
    /// The box, or none for the store.
    pub(super) box_at: Option<usize>,
    /// Whether the box began anew by it.
    pub(super) restarts: bool,
}

/// One return of such a request.
#[derive(Debug, Clone)]
pub(super) struct EndingCall {
    id: String,
    box_at: usize,
}

impl EndingCall {
    /// Returns its id.
    pub(super) fn id(&self) -> &str {
        &self.id
    }
}

/// Brings one such request to boxes again and again, until all is over.
pub(super) async fn keep_returning(
    number: usize,
    mut draw: StdRng,
    gateways: Vec<SocketAddr>,
    over: Arc<AtomicBool>,
) -> Vec<EndingCall> {
    tokio::time::sleep(Duration::from_millis(number as u64 * STAGGER_MS)).await;
    let mut calls = Vec::new();
    while !over.load(Ordering::Acquire) {
        let box_at = draw.random_range(0..gateways.len());
        let id = format!("e{number}a{}", calls.len());
        let route = ROUTES[number % ROUTES.len()];
        let events = route.streams().then_some(4);
        let request = request_with_body(route.path(), &id, events, ending_body(number));
        calls.push(EndingCall { id, box_at });
        let asked = async {
            let mut sender = connect_within(gateways[box_at], PATIENCE).await?;
            sender.send_request(request).await.ok()
        };
        // Whatever comes of it, it comes again.
        let _ = tokio::time::timeout(PATIENCE, asked).await;
        let rest = Duration::from_millis(draw.random_range(REST_MS));
        tokio::time::sleep(rest).await;
    }
    calls
}

/// Endpoints that have ended, and are started anew after a while.
#[derive(Default)]
pub(super) struct EndedEndpoints {
    ended: Vec<RoutedStandIn>,
    due: HashMap<String, Instant>,
}

impl EndedEndpoints {
    /// Sets under which requests an endpoint ends.
    pub(super) fn prepare(endpoint: &RoutedStandIn) {
        (0..ENDING_REQUESTS).for_each(|number| endpoint.add_crash_body(&ending_body(number)));
    }

    /// Starts those anew that have been away for long enough.
    pub(super) async fn step(&mut self, fleet: &mut GatewayFleet, draw: &mut StdRng) {
        let now = Instant::now();
        for endpoint in &mut fleet.endpoints {
            if !endpoint.has_ended() {
                // It may have been added a moment ago.
                Self::prepare(endpoint);
                continue;
            }
            let away = Duration::from_millis(draw.random_range(AWAY_MS));
            let due = *self.due.entry(endpoint.id.clone()).or_insert(now + away);
            if due > now {
                continue;
            }
            // No port is free for a moment: the next step tries again.
            let Ok(again) = RoutedStandIn::start(&endpoint.id, &endpoint.service).await else {
                continue;
            };
            self.due.remove(&endpoint.id);
            Self::prepare(&again);
            let (key, value) = again.record("a", "ready");
            fleet.store.set(&key, value);
            self.ended.push(std::mem::replace(endpoint, again));
        }
    }

    /// Returns those that have ended.
    pub(super) fn ended(&self) -> &[RoutedStandIn] {
        &self.ended
    }
}

/// Lists what was sent too often: requests under which endpoints end, by boxes in touch, and long after the end
/// that makes it sure; and other requests that were taken for such.
pub(super) fn sent_in_vain(
    calls: &[EndingCall],
    endpoints: &[&RoutedStandIn],
    disturbed: &[Disturbance],
    gateways: &[GatewayProcess],
) -> Vec<String> {
    let boxes = calls.iter().map(|call| (call.id.as_str(), call.box_at));
    let boxes: HashMap<&str, usize> = boxes.collect();
    let in_touch = |box_at: usize, at: Instant| {
        let mut near = disturbed.iter();
        !near.any(|fault| {
            let is_here = fault.box_at.is_none_or(|other| other == box_at);
            is_here && fault.from < at && fault.until + CONTACT > at
        })
    };
    let mut found = Vec::new();
    for number in 0..ENDING_REQUESTS {
        let body = ending_body(number);
        let runs = endpoints.iter().flat_map(|endpoint| endpoint.ran());
        let mut runs: Vec<_> = runs.filter(|run| run.body == body).collect();
        runs.sort_unstable_by_key(|run| run.at);
        let Some(known) = runs.get(VERDICT - 1).map(|run| run.at + CONTACT) else {
            continue;
        };
        let late = runs.iter().filter(|run| {
            let box_at = boxes.get(run.id.as_str());
            run.at > known && box_at.is_some_and(|box_at| in_touch(*box_at, run.at))
        });
        let late: Vec<String> = late
            .map(|run| format!("{} {:?} later", run.id, run.at - known))
            .collect();
        if late.len() > MOST_LATER {
            found.push(format!(
                "request {number}: sent {} times more after {} ends: {late:?}",
                late.len(),
                runs.len()
            ));
        }
    }
    let logs = gateways.iter().map(GatewayProcess::logged);
    let prints: BTreeSet<String> = logs.flat_map(|log| quarantined(&log)).collect();
    if prints.len() > ENDING_REQUESTS {
        found.push(format!("others are in quarantine: {prints:?}"));
    }
    found
}

/// Lists the requests that a box logged as going into quarantine.
fn quarantined(log: &str) -> Vec<String> {
    const EVENT: &str = r#""event":"request_quarantined","print":""#;
    let found = log.split(EVENT).skip(1);
    found
        .filter_map(|rest| rest.split_once('"').map(|(print, _)| print.to_owned()))
        .collect()
}
