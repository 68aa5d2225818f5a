//! Reports the versions at which streams begin to other boxes, and asks them for those of streams
//! that callers take up here.

use super::datagrams::{send_datagram, send_to};
use super::gateway_metrics::GATEWAY_METRICS;
use super::gateway_state::{GatewayState, GatewayView};
use super::stream_store::append_streams;
use crate::clock::{ClockInstant, now_ms, timeout_at};
use dockgate_core::BoxKey;
use dockgate_core::gateway::{SoftwareVersion, StreamKey, StreamRecord};
use dockgate_proto::{GatewayMessage, StreamOrigin};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::sync::mpsc;

/// The number of streams in a datagram, so that it fits into one packet.
const MAX_STREAMS_PER_DATAGRAM: usize = 24;
/// How long to wait for answers to a query before those that are missing are asked again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(70);
/// The number of times that a box is asked, since datagrams get lost.
const QUERY_ROUNDS: usize = 2;

impl GatewayView {
    /// Records which software versions the known endpoints have.
    pub(super) fn observe_versions(&mut self, now_ms: u64) {
        let is_in_contact = self.fleet.is_in_contact(now_ms);
        self.versions
            .observe(self.endpoints.versions(), is_in_contact, now_ms);
        self.ledger.update(&self.versions);
    }

    /// Returns the version at which a stream of a service began, if the service had no other one
    /// within that time.
    ///
    /// A caller that names its stream may come from a box that knows of a version of which this one
    /// has not heard, so this box must not have been out of contact. That alone proves nothing, since
    /// the version may have appeared a moment ago; other boxes are asked too, see [`ask_origin`].
    /// Callers of services with several versions always name it.
    pub(super) fn only_version(
        &self,
        stream: Option<StreamKey>,
        service: u64,
        within_ms: u32,
        now_ms: u64,
    ) -> Option<SoftwareVersion> {
        let within_ms = u64::from(within_ms);
        let is_current =
            || self.versions.is_gapless(within_ms, now_ms) && self.fleet.is_in_contact(now_ms);
        let only = self.versions.only_version(service, within_ms, now_ms);
        only.filter(|_| stream.is_none() || is_current())
    }
}

/// Records the version of a stream whose first event is forwarded, and reports it to other boxes
/// if its service has several versions. `service` is the hash of the service's name.
pub(super) fn record_begun(state: &GatewayState, record: StreamRecord, service: u64) {
    let now = now_ms();
    let is_mixed = state.with(|view| {
        view.streams.record_begun(record, service, now);
        view.versions.is_mixed(service, now)
    });
    if is_mixed {
        report_streams(state);
    }
}

/// Reports the streams of services with several versions that were not reported yet: to a few boxes
/// that keep them, and to the one that writes them to the store.
pub(super) fn report_streams(state: &GatewayState) {
    let now = now_ms();
    let (reports, due, writer) = state.with(|view| {
        let GatewayView {
            streams,
            versions,
            fleet,
            ..
        } = view;
        let due = streams.take_unreported(|service| versions.is_mixed(service, now), now);
        let writer = fleet.stream_writer(now);
        let mut reports = BTreeMap::<BoxKey, Vec<StreamRecord>>::new();
        for record in &due {
            let keepers = fleet.stream_keepers(record.key, now).into_iter();
            // The writer keeps them too.
            for keeper in keepers.filter(|keeper| *keeper != writer) {
                reports.entry(keeper).or_default().push(*record);
            }
        }
        (reports, due, writer)
    });
    match writer == state.own_key() {
        true => append_streams(state, &due),
        false => {
            for streams in due.chunks(MAX_STREAMS_PER_DATAGRAM) {
                let streams = streams.to_vec();
                send_to(state, writer, GatewayMessage::StoreStreams { streams });
            }
        }
    }
    for (keeper, streams) in reports {
        for streams in streams.chunks(MAX_STREAMS_PER_DATAGRAM) {
            let streams = streams.to_vec();
            send_to(state, keeper, GatewayMessage::StreamsBegan { streams });
        }
    }
}

/// Records the streams that another box reports.
pub(super) fn receive_streams(state: &GatewayState, streams: Vec<StreamRecord>) {
    let now = now_ms();
    state.with(|view| {
        for record in streams {
            view.streams.receive(record, now);
        }
    });
}

/// Records the streams that another box reports and that this one writes to the store.
pub(super) fn receive_streams_to_store(state: &GatewayState, streams: Vec<StreamRecord>) {
    append_streams(state, &streams);
    receive_streams(state, streams);
}

/// Returns what this box knows of the version at which a stream began.
pub(super) fn known_origin(
    state: &GatewayState,
    stream: Option<StreamKey>,
    service: u64,
    within_ms: u32,
) -> StreamOrigin {
    let now = now_ms();
    state.with(|view| {
        let known = stream.and_then(|key| view.streams.look_up(key, within_ms, now));
        match known {
            Some(version) => StreamOrigin::Known(version),
            None => {
                let only = view.only_version(stream, service, within_ms, now);
                let mut versions = view.versions.versions(service, within_ms.into(), now);
                match (only, versions.nth(1)) {
                    (Some(version), _) => StreamOrigin::OnlyVersion(version),
                    (None, Some(_)) => StreamOrigin::SeveralVersions,
                    (None, None) => StreamOrigin::Unknown,
                }
            }
        }
    })
}

/// Delivers another box's answer to the query that waits for it.
pub(super) fn receive_origin(state: &GatewayState, query: u32, peer: BoxKey, origin: StreamOrigin) {
    state.with(|view| {
        if let Some(answers) = view.stream_queries.get(&query) {
            // The query may have ended.
            let _ = answers.send((peer, origin));
        }
    });
}

/// A query that waits for answers; it is withdrawn on drop.
struct PendingQuery<'a> {
    state: &'a GatewayState,
    query: u32,
    answers: mpsc::UnboundedReceiver<(BoxKey, StreamOrigin)>,
    /// The boxes that know of one version only.
    confirming: BTreeSet<BoxKey>,
}

impl<'a> PendingQuery<'a> {
    fn new(state: &'a GatewayState) -> Self {
        let query = state.next_run_number();
        let (sender, answers) = mpsc::unbounded_channel();
        state.with(|view| view.stream_queries.insert(query, sender));
        Self {
            state,
            query,
            answers,
            confirming: BTreeSet::new(),
        }
    }

    /// Collects answers until one tells the version, all live boxes have answered, or the time is
    /// over; `origin` combines them.
    async fn collect(&mut self, origin: &mut StreamOrigin, unanswered: &mut BTreeSet<BoxKey>) {
        let until = ClockInstant::now() + ANSWER_TIMEOUT;
        while has_live(self.state, unanswered) {
            let Ok(Some((peer, told))) = timeout_at(until, self.answers.recv()).await else {
                return;
            };
            unanswered.remove(&peer);
            if matches!(told, StreamOrigin::OnlyVersion(_)) {
                self.confirming.insert(peer);
            }
            *origin = combine_origins(*origin, told);
            if matches!(origin, StreamOrigin::Known(_)) {
                return;
            }
        }
    }
}

/// Combines what two boxes know of a stream. That a service had one version is believed only if no
/// box knows of another one: a list of endpoints may be older than the stream.
fn combine_origins(one: StreamOrigin, other: StreamOrigin) -> StreamOrigin {
    use StreamOrigin::{Known, OnlyVersion, SeveralVersions, Unknown};
    match (one, other) {
        (Known(version), _) | (_, Known(version)) => Known(version),
        (OnlyVersion(first), OnlyVersion(second)) if first != second => SeveralVersions,
        (SeveralVersions, _) | (_, SeveralVersions) => SeveralVersions,
        (OnlyVersion(version), _) | (_, OnlyVersion(version)) => OnlyVersion(version),
        (Unknown, Unknown) => Unknown,
    }
}

fn has_live(state: &GatewayState, boxes: &BTreeSet<BoxKey>) -> bool {
    let now = now_ms();
    state.with(|view| boxes.iter().any(|key| view.fleet.is_live(*key, now)))
}

impl Drop for PendingQuery<'_> {
    fn drop(&mut self) {
        self.state
            .with(|view| view.stream_queries.remove(&self.query));
    }
}

/// What the boxes of the fleet know of the version at which a stream began.
#[derive(Debug, Clone, Copy)]
pub(super) struct OriginAnswer {
    /// What they know together with this box.
    pub(super) origin: StreamOrigin,
    /// The number of boxes that were asked.
    pub(super) asked: usize,
    /// The number of those that answered.
    pub(super) answered: usize,
    /// Whether all live boxes answered, and some of each failure domain know that the service had
    /// one version.
    pub(super) is_confirmed: bool,
}

/// Asks other boxes for the version at which a stream began, or for the only one that the service
/// had since, which they and this box have to agree on.
pub(super) async fn ask_origin(
    state: &GatewayState,
    stream: Option<StreamKey>,
    service: u64,
    within_ms: u32,
) -> OriginAnswer {
    let mut pending = PendingQuery::new(state);
    let witnesses = state.with(|view| view.fleet.stream_witnesses());
    let mut unanswered: BTreeSet<BoxKey> = witnesses.into_iter().collect();
    let asked = unanswered.len();
    let mut origin = known_origin(state, stream, service, within_ms);
    for _ in 0..QUERY_ROUNDS {
        for witness in &unanswered {
            let Some(address) = state.with(|view| view.fleet.address(*witness)) else {
                continue;
            };
            let message = GatewayMessage::StreamQuery {
                query: pending.query,
                stream,
                service,
                within_ms,
            };
            send_datagram(state, address, message);
        }
        GATEWAY_METRICS.stream_queries.inc();
        pending.collect(&mut origin, &mut unanswered).await;
        if matches!(origin, StreamOrigin::Known(_)) || !has_live(state, &unanswered) {
            break;
        }
    }
    let covers_domains = state.with(|view| view.fleet.covers_domains(&pending.confirming));
    OriginAnswer {
        origin,
        asked,
        answered: asked - unanswered.len(),
        is_confirmed: covers_domains && !has_live(state, &unanswered),
    }
}

#[cfg(test)]
mod tests;
