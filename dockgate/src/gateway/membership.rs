//! Sends and receives heartbeats and digests of the fleet.
//!
//! Each box sends heartbeats to the few coordinators of its failure domain ([`FleetView`]) and gets
//! digests back; coordinators of different domains exchange digests. The traffic of a box therefore
//! does not grow with the number of boxes in other domains. With heartbeats from each box to all, 295
//! boxes sent 980 datagrams a second each, and 2.24 GB crossed between domains in 20 s of a calm day.

use super::datagrams::{EncodedMessage, encode, send_datagram, send_encoded, send_to};
use super::end_check;
use super::engine_placement::placed_message;
use super::engine_rates;
use super::events::{GatewayEvent, log_gateway};
use super::gateway_state::{GatewayState, GatewayView};
use super::notices::repeat_leaving_reports;
use super::quarantine;
use super::stream_origins;
use super::wait_queues;
use super::workspace_report::{REPORT_INTERVAL_MS, log_shares};
use crate::clock::now_ms;
use dockgate_core::gateway::{
    BoxChange, BoxHeartbeat, DigestScope, DomainKey, EndpointId, FleetDigest, FleetView,
    PrefixReport, ShareHeader, ShareScope, UsageRow,
};
use dockgate_core::{BoxKey, Incarnation};
use dockgate_proto::GatewayMessage;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

/// The interval between heartbeats, in milliseconds; random, so that boxes that started together do
/// not stay in step. A box counts as gone after three lost heartbeats.
const HEARTBEAT_MS: Range<u64> = 270..330;
/// The interval after the first heartbeat of a box that knows no other box of its domain, in
/// milliseconds; doubles with each further heartbeat up to the usual interval.
const INITIAL_HEARTBEAT_MS: Range<u64> = 15..25;
/// The interval between heartbeats of a box that knows others of its domain, but lacks the
/// configuration or the endpoints, in milliseconds.
const UNINFORMED_HEARTBEAT_MS: Range<u64> = 60..100;
/// The maximum number of heartbeats with such short intervals. Boxes that start together do so within
/// some tenths of a second of each other.
const INITIAL_HEARTBEATS: u32 = 10;
/// The probability that a coordinator sends a heartbeat to the seeds too, so that separated parts
/// of the fleet find each other within seconds.
const SEED_PROBABILITY: f64 = 0.125;
/// How long a digest for many boxes is reused, in milliseconds; the ages in it are outdated by
/// up to this time.
const DIGEST_CACHE_MS: u64 = 100;

/// The recipients of a digest that is sent to many boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DigestAudience {
    /// The boxes of the own domain that are no coordinators.
    Members,
    /// Boxes of other domains that look for their own.
    Newcomers,
}

/// A digest that is ready to be sent again.
#[derive(Debug, Clone, Default)]
struct CachedDigest {
    built_ms: u64,
    message: Option<EncodedMessage>,
}

/// The last digests that were sent to many boxes.
#[derive(Debug, Default)]
pub(super) struct DigestCache {
    members: CachedDigest,
    newcomers: CachedDigest,
}

impl DigestCache {
    const fn of(&mut self, audience: DigestAudience) -> &mut CachedDigest {
        match audience {
            DigestAudience::Members => &mut self.members,
            DigestAudience::Newcomers => &mut self.newcomers,
        }
    }
}

/// Sends a heartbeat to the coordinators of the own domain, and to the seeds if they are due.
pub(super) fn send_heartbeat(state: &GatewayState) {
    let now = now_ms();
    let draw = rand::random_range(0..usize::MAX);
    let (targets, message) = state.with(|view| {
        view.fleet.advance_sequence(now);
        let message = GatewayMessage::Heartbeat {
            heartbeat: view.fleet.own().clone(),
            shares: view.shares.rows(now),
        };
        (view.fleet.heartbeat_targets(now, draw), message)
    });
    let Some(message) = encode(state, message) else {
        return;
    };
    let seeds = seeds_due(state, now);
    let seeds = seeds.iter().filter(|seed| !targets.contains(seed));
    for address in targets.iter().chain(seeds) {
        send_encoded(state, *address, &message);
    }
}

/// Lists the seeds that receive this heartbeat: all, if this box knows no live box of its domain,
/// or is a coordinator that knows no other domain, or by chance if it is a coordinator; otherwise
/// none.
fn seeds_due(state: &GatewayState, now_ms: u64) -> Vec<SocketAddr> {
    let is_due = state.with(|view| {
        let fleet = &view.fleet;
        let is_isolated = !fleet.has_live_domain_peer(now_ms);
        let is_unconnected =
            || fleet.is_coordinator(now_ms) && fleet.remote_coordinators(now_ms).is_empty();
        let is_sampled = || fleet.is_coordinator(now_ms) && rand::random_bool(SEED_PROBABILITY);
        is_isolated || is_unconnected() || is_sampled()
    });
    if !is_due {
        return Vec::new();
    }
    let settings = state.settings();
    let own = settings.listen.peers;
    // Seeds are state addresses; the datagram port is the same on all boxes.
    let seeds = settings.seeds.iter();
    let seeds = seeds.map(|seed| SocketAddr::new(seed.ip(), own.port()));
    seeds.filter(|seed| *seed != own).collect()
}

/// Sends a digest of the own domain to the coordinators of the other domains, if this box is a
/// coordinator.
fn send_remote_digests(state: &GatewayState, scope: DigestScope) {
    let now = now_ms();
    let due = state.with(|view| {
        if !view.fleet.is_coordinator(now) {
            return None;
        }
        let targets = view.fleet.remote_coordinators(now);
        let shares = view.shares.domain_rows(now);
        Some((targets, digest_message(view, scope, shares, now)))
    });
    let Some((targets, message)) = due.filter(|(targets, _)| !targets.is_empty()) else {
        return;
    };
    let Some(message) = encode(state, message) else {
        return;
    };
    for address in targets {
        send_encoded(state, address, &message);
    }
}

fn digest_message(
    view: &mut GatewayView,
    scope: DigestScope,
    shares: Vec<UsageRow>,
    now_ms: u64,
) -> GatewayMessage {
    view.fleet.advance_sequence(now_ms);
    GatewayMessage::Digest {
        digest: view.fleet.digest(scope, now_ms),
        shares,
    }
}

/// Answers a heartbeat with a digest: of the fleet within the domain, an introduction otherwise.
///
/// Only coordinators learn of all boxes of the domain.
fn answer_heartbeat(state: &GatewayState, from: SocketAddr, peer: BoxKey, is_same_domain: bool) {
    let now = now_ms();
    let is_coordinator = state.with(|view| view.fleet.coordinates_own_domain(peer, now));
    let audience = match is_same_domain {
        true if is_coordinator => {
            let message = state.with(|view| {
                let shares = view.shares.fleet_rows(now);
                digest_message(view, DigestScope::SameDomain, shares, now)
            });
            return send_datagram(state, from, message);
        }
        true => DigestAudience::Members,
        false => DigestAudience::Newcomers,
    };
    let cached = state.with(|view| {
        let cached = view.digest.of(audience);
        let is_fresh = cached.built_ms + DIGEST_CACHE_MS > now;
        cached.message.clone().filter(|_| is_fresh)
    });
    let message = cached.or_else(|| build_digest(state, audience, now));
    if let Some(message) = message {
        send_encoded(state, from, &message);
    }
}

fn build_digest(
    state: &GatewayState,
    audience: DigestAudience,
    now_ms: u64,
) -> Option<EncodedMessage> {
    let message = state.with(|view| match audience {
        DigestAudience::Members => {
            view.fleet.advance_sequence(now_ms);
            GatewayMessage::Digest {
                digest: view.fleet.member_digest(now_ms),
                shares: view.shares.fleet_rows(now_ms),
            }
        }
        DigestAudience::Newcomers => {
            digest_message(view, DigestScope::Introduction, Vec::new(), now_ms)
        }
    });
    let message = encode(state, message);
    state.with(|view| {
        *view.digest.of(audience) = CachedDigest {
            built_ms: now_ms,
            message: message.clone(),
        };
    });
    message
}

/// Sends frequent heartbeats until another box of the domain is known, and after that until this box
/// has learned the configuration and the endpoints, whose newest revisions the answers report.
///
/// Boxes that start together all act as owners of the same engines until they know each other, and
/// may overload the engines meanwhile: first events came up to 1.7 s late in the first half second
/// after six boxes were killed at once.
async fn announce(state: &GatewayState) {
    // A new socket is not marked as writable yet.
    if let Err(error) = state.datagrams.writable().await {
        log::warn!("send datagrams: {error}");
    }
    for count in 0..INITIAL_HEARTBEATS {
        send_heartbeat(state);
        let initial_ms = rand::random_range(INITIAL_HEARTBEAT_MS);
        let wait_ms = match state.with(|view| view.fleet.has_live_domain_peer(now_ms())) {
            true => rand::random_range(UNINFORMED_HEARTBEAT_MS),
            false => (initial_ms << count).min(rand::random_range(HEARTBEAT_MS)),
        };
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        let has_peer = state.with(|view| view.fleet.has_live_domain_peer(now_ms()));
        if has_peer && state.is_informed() {
            return;
        }
    }
}

/// Sends heartbeats and digests, and expires outdated state, until the process ends.
pub(super) async fn send_heartbeats(state: Arc<GatewayState>) {
    announce(&state).await;
    let mut since_ms = now_ms();
    let mut reported_ms = since_ms;
    let scopes = (0..).map(|round: u32| match round % FleetView::FULL_DIGEST_INTERVAL {
        0 => DigestScope::OtherDomainFull,
        _ => DigestScope::OtherDomain,
    });
    for scope in scopes {
        let wait_ms = rand::random_range(HEARTBEAT_MS);
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        engine_rates::update_weights(&state);
        send_heartbeat(&state);
        send_remote_digests(&state, scope);
        quarantine::broadcast_reports(&state);
        let now = now_ms();
        let units_per_s = match state.table().config().limits.units_per_s {
            // Without a configured rate, no workspace exceeds its share.
            rate if rate > 0.0 => rate,
            _ => f64::INFINITY,
        };
        state.with(|view| {
            view.shares.tick(now, units_per_s);
            let is_overloaded = view.lag.is_overloaded();
            view.fleet.set_behind(is_overloaded);
        });
        if now >= reported_ms + REPORT_INTERVAL_MS {
            log_shares(&state);
            repeat_leaving_reports(&state);
            reported_ms = now;
        }
        let quarantined = state.expire(since_ms);
        quarantine::record_verdicts(&state, &quarantined);
        stream_origins::report_streams(&state);
        wait_queues::expire_queues(&state);
        end_check::record_restarts(&state);
        report_runs(&state, |owner, reported_to| owner != reported_to);
        since_ms = now;
    }
}

/// Reports this box's runs and read prompt parts to the owners of the engines, where `is_due`
/// returns `true` for the current owner and the box to which the run or read was reported last.
fn report_runs(state: &GatewayState, is_due: impl Fn(BoxKey, BoxKey) -> bool + Copy) {
    let now = now_ms();
    let (runs, reports) = state.with(|view| {
        let GatewayView {
            endpoints,
            fleet,
            runs,
            prefix_history,
            ..
        } = view;
        let owner_of = |endpoint: EndpointId| {
            let entry = endpoints.get(endpoint)?;
            Some(fleet.owner(endpoint, &entry.record.domain, now))
        };
        let mut due = Vec::new();
        for (number, run) in runs.iter_mut() {
            let owner = owner_of(run.endpoint).filter(|owner| is_due(*owner, run.owner));
            if let Some(owner) = owner {
                run.owner = owner;
                due.push((
                    owner,
                    placed_message(*number, run.endpoint, &run.request, run.started),
                ));
            }
        }
        (due, prefix_history.take_reports(owner_of, is_due))
    });
    let reports = reports.into_iter().map(|report| {
        let PrefixReport {
            owner,
            endpoint,
            parts,
        } = report;
        (owner, GatewayMessage::PartsRead { endpoint, parts })
    });
    // The reports of read parts are sent first, since the reads precede the runs.
    let remote = reports
        .chain(runs)
        .filter(|(owner, _)| *owner != state.own_key());
    for (owner, message) in remote {
        send_to(state, owner, message);
    }
}

/// Processes a heartbeat of another box, and answers it with a digest.
pub(super) fn receive_heartbeat(
    state: &GatewayState,
    from: SocketAddr,
    heartbeat: BoxHeartbeat,
    incarnation: Incarnation,
    shares: &[UsageRow],
) {
    let now = now_ms();
    let peer = heartbeat.key();
    let is_same_domain = heartbeat.domain == state.settings().domain;
    let header = ShareHeader {
        peer,
        incarnation,
        sequence: heartbeat.sequence,
        scope: ShareScope::Own,
    };
    let change = state.with(|view| {
        // The usage of another domain is reported by its coordinators.
        if is_same_domain {
            view.shares.merge(header, shares, now);
        }
        view.fleet.receive_heartbeat(heartbeat, incarnation, now)
    });
    apply_box_changes(state, &[(peer, change)]);
    answer_heartbeat(state, from, peer, is_same_domain);
    if is_same_domain {
        quarantine::send_reports(state, from, change != BoxChange::None);
    }
}

/// Processes a digest of another box.
pub(super) fn receive_digest(
    state: &GatewayState,
    digest: FleetDigest,
    incarnation: Incarnation,
    shares: &[UsageRow],
) {
    let now = now_ms();
    let scope = match digest.scope {
        DigestScope::SameDomain => Some(ShareScope::Fleet),
        DigestScope::OtherDomain | DigestScope::OtherDomainFull => {
            let domain = DomainKey::from_name(&digest.sender.domain);
            Some(ShareScope::Domain(domain))
        }
        DigestScope::Introduction => None,
    };
    let header = scope.map(|scope| ShareHeader {
        peer: digest.sender.key(),
        incarnation,
        sequence: digest.sender.sequence,
        scope,
    });
    let changes = state.with(|view| {
        if let Some(header) = header {
            view.shares.merge(header, shares, now);
        }
        view.fleet.receive_digest(digest, incarnation, now)
    });
    apply_box_changes(state, &changes);
}

/// Handles changes of boxes: ends the runs of restarted boxes, and reports this box's runs to
/// owners that may have lost or missed them.
fn apply_box_changes(state: &GatewayState, changes: &[(BoxKey, BoxChange)]) {
    let now = now_ms();
    let changed = changes
        .iter()
        .filter(|(_, change)| *change != BoxChange::None);
    let mut peers = Vec::new();
    for (peer, change) in changed {
        let identity = state.with(|view| {
            if *change == BoxChange::Restarted {
                view.engines.forget_entry(*peer, now);
                view.plain_loads.forget_entry(*peer);
            }
            let fleet = &view.fleet;
            let is_known = fleet.has_heartbeat(*peer);
            is_known.then(|| (fleet.name(*peer).to_owned(), fleet.domain(*peer).to_owned()))
        });
        if let Some((name, domain)) = identity {
            log_gateway(&GatewayEvent::BoxSeen {
                peer: &name,
                domain: &domain,
            });
        }
        if *change == BoxChange::Restarted {
            wait_queues::forget_entry(state, *peer);
        }
        peers.push(*peer);
    }
    if !peers.is_empty() {
        report_runs(state, |_, reported_to| peers.contains(&reported_to));
    }
}

#[cfg(test)]
mod tests;
