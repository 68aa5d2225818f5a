//! Says that this box lives, and passes on what it knows of the fleet.
//!
//! Each box beats to the few coordinators of its failure domain ([`FleetView`]) and gets a digest
//! back; coordinators of different domains exchange digests. What a box sends and gets does not grow
//! with the boxes of the other domains. With beats from each to all, 295 boxes sent 980 datagrams a
//! second each, and 2.24 GB went between domains in 20 s of a calm day; now a box sends ten beats a
//! second, and 0.07 GB go between domains, requests included (one run each).

use super::datagrams::{EncodedMessage, encode, send_datagram, send_encoded, send_to};
use super::end_check;
use super::engine_seek::placed;
use super::events::{GatewayEvent, log_gateway};
use super::gateway_state::{GatewayState, GatewayView};
use super::quarantine;
use super::workspace_report::{REPORT_INTERVAL_MS, log_shares};
use crate::clock::now_ms;
use dockgate_core::gateway::{
    BoxChange, BoxHeartbeat, DigestScope, DomainKey, DueReads, EndpointId, FleetDigest, FleetView,
    ShareHeader, ShareScope, UsageRow,
};
use dockgate_core::{BoxKey, Incarnation};
use dockgate_proto::GatewayMessage;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

/// How often a box says that it lives, in milliseconds; drawn anew each time, so that boxes that
/// started together do not beat together. Three that are lost in a row make it gone.
const HEARTBEAT_MS: Range<u64> = 270..330;
/// How long a box that has heard of no other one of its domain waits after its first heartbeat, in
/// milliseconds; twice as long after each further one, up to that of a usual heartbeat.
const INITIAL_HEARTBEAT_MS: Range<u64> = 15..25;
/// How many such beats there are. A bound; boxes that start together are there within some tenths of a
/// second of each other.
const INITIAL_HEARTBEATS: u32 = 10;
/// With which part of its beats a coordinator asks the seeds too, so that parts of a fleet that do not
/// know of each other find together within some seconds.
const SEED_PROBABILITY: f64 = 0.125;
/// For how long a digest for the own domain is sent again, in milliseconds: what it says of others'
/// ages is wrong by as much.
const DIGEST_CACHE_MS: u64 = 100;

/// The last digest for the own domain.
#[derive(Debug, Default)]
pub(super) struct DigestCache {
    built_ms: u64,
    message: Option<EncodedMessage>,
}

/// Sends a beat to the coordinators of the own domain, and to the seeds where it may be needed.
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

/// Lists the seeds that this box beats to now: where it hears of nobody in its own domain, or
/// coordinates without knowing of another one, and now and then where it coordinates.
fn seeds_due(state: &GatewayState, now_ms: u64) -> Vec<SocketAddr> {
    let is_due = state.with(|view| {
        let fleet = &view.fleet;
        let lonely = !fleet.has_live_domain_peer(now_ms);
        let alone = || fleet.is_coordinator(now_ms) && fleet.remote_coordinators(now_ms).is_empty();
        let looks = || fleet.is_coordinator(now_ms) && rand::random_bool(SEED_PROBABILITY);
        lonely || alone() || looks()
    });
    if !is_due {
        return Vec::new();
    }
    let settings = state.settings();
    let own = settings.listen.peers;
    // A seed is where a box tells its state; datagrams have the same port on all boxes.
    let seeds = settings.seeds.iter();
    let seeds = seeds.map(|seed| SocketAddr::new(seed.ip(), own.port()));
    seeds.filter(|seed| *seed != own).collect()
}

/// Tells the coordinators of the other domains what this one knows of its own.
fn send_remote_digests(state: &GatewayState, scope: DigestScope) {
    let now = now_ms();
    let due = state.with(|view| {
        if !view.fleet.is_coordinator(now) {
            return None;
        }
        let targets = view.fleet.remote_coordinators(now);
        let shares = view.shares.domain_rows(now);
        Some((targets, own_digest(view, scope, shares, now)))
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

fn own_digest(
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

/// Answers another box's beat with what this one knows.
fn answer_heartbeat(state: &GatewayState, from: SocketAddr, is_same_domain: bool) {
    let now = now_ms();
    if !is_same_domain {
        let welcome = DigestScope::Introduction;
        let message = state.with(|view| own_digest(view, welcome, Vec::new(), now));
        return send_datagram(state, from, message);
    }
    let kept = state.with(|view| {
        let cache = &view.digest;
        let is_fresh = cache.built_ms + DIGEST_CACHE_MS > now;
        cache.message.clone().filter(|_| is_fresh)
    });
    let message = kept.or_else(|| build_domain_digest(state, now));
    if let Some(message) = message {
        send_encoded(state, from, &message);
    }
}

fn build_domain_digest(state: &GatewayState, now_ms: u64) -> Option<EncodedMessage> {
    let message = state.with(|view| {
        let shares = view.shares.fleet_rows(now_ms);
        own_digest(view, DigestScope::SameDomain, shares, now_ms)
    });
    let message = encode(state, message);
    state.with(|view| {
        view.digest = DigestCache {
            built_ms: now_ms,
            message: message.clone(),
        };
    });
    message
}

/// Says that this box has begun until another one of its domain is heard.
///
/// Boxes that start together all decide for the same engines until they have heard of each other, and
/// each admits as much as an engine takes: first events came up to 1.7 s late in the first half second
/// after six boxes were killed at once.
async fn announce(state: &GatewayState) {
    // A socket that has just been opened does not know yet that it can be written to.
    if let Err(error) = state.datagrams.writable().await {
        log::warn!("send datagrams: {error}");
    }
    for count in 0..INITIAL_HEARTBEATS {
        send_heartbeat(state);
        let first_ms = rand::random_range(INITIAL_HEARTBEAT_MS);
        let wait_ms = (first_ms << count).min(rand::random_range(HEARTBEAT_MS));
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        if state.with(|view| view.fleet.has_live_domain_peer(now_ms())) {
            return;
        }
    }
}

/// Says again and again that this box lives, and lets lapse what has to.
pub(super) async fn send_heartbeats(state: Arc<GatewayState>) {
    announce(&state).await;
    let mut since_ms = now_ms();
    let mut logged_ms = since_ms;
    let scopes = (0..).map(|round: u32| match round % FleetView::FULL_DIGEST_INTERVAL {
        0 => DigestScope::OtherDomainFull,
        _ => DigestScope::OtherDomain,
    });
    for scope in scopes {
        let wait_ms = rand::random_range(HEARTBEAT_MS);
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        send_heartbeat(&state);
        send_remote_digests(&state, scope);
        quarantine::broadcast_reports(&state);
        let now = now_ms();
        let units_per_s = match state.table().config().limits.units_per_s {
            // Without a stated rate nobody is ever beyond a share.
            rate if rate > 0.0 => rate,
            _ => f64::INFINITY,
        };
        state.with(|view| {
            view.shares.tick(now, units_per_s);
            let behind = view.lag.is_overloaded();
            view.fleet.set_behind(behind);
        });
        if now >= logged_ms + REPORT_INTERVAL_MS {
            log_shares(&state);
            logged_ms = now;
        }
        state.expire(since_ms);
        end_check::note_restarts(&state);
        report_engines(&state, |owner, told| owner != told);
        since_ms = now;
    }
}

/// Tells the boxes that decide for an engine what this box has there and had read there, where they
/// may not know: `is_due` is given the box that decides now and the one that was told.
fn report_engines(state: &GatewayState, is_due: impl Fn(BoxKey, BoxKey) -> bool + Copy) {
    let now = now_ms();
    let (runs, reads) = state.with(|view| {
        let GatewayView {
            endpoints,
            fleet,
            runs,
            reads,
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
                    placed(*number, run.endpoint, &run.request, run.started),
                ));
            }
        }
        (due, reads.take_due(owner_of, is_due))
    });
    let reads = reads.into_iter().map(|due| {
        let DueReads {
            owner,
            endpoint,
            parts,
        } = due;
        (owner, GatewayMessage::PartsRead { endpoint, parts })
    });
    // What was read goes first: it is older than what runs.
    let others = reads
        .chain(runs)
        .filter(|(owner, _)| *owner != state.own_key());
    for (owner, message) in others {
        send_to(state, owner, message);
    }
}

/// Takes in that a box lives, and answers with what this one knows.
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
        // The coordinators of another domain count what its boxes ask for.
        if is_same_domain {
            view.shares.merge(header, shares, now);
        }
        view.fleet.receive_heartbeat(heartbeat, incarnation, now)
    });
    apply_box_changes(state, &[(peer, change)]);
    answer_heartbeat(state, from, is_same_domain);
    if is_same_domain {
        quarantine::send_reports(state, from, change != BoxChange::None);
    }
}

/// Takes in what another box passes on.
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

/// Acts on news of boxes: ends the runs of those that remember none, and tells those that decide for
/// engines what they may not know.
fn apply_box_changes(state: &GatewayState, changes: &[(BoxKey, BoxChange)]) {
    let now = now_ms();
    let changed = changes
        .iter()
        .filter(|(_, change)| *change != BoxChange::None);
    let mut seen = Vec::new();
    for (peer, change) in changed {
        let told = state.with(|view| {
            if *change == BoxChange::Restarted {
                view.engines.forget_entry(*peer, now);
            }
            let fleet = &view.fleet;
            let told = fleet.has_heartbeat(*peer);
            told.then(|| (fleet.name(*peer).to_owned(), fleet.domain(*peer).to_owned()))
        });
        if let Some((name, domain)) = told {
            log_gateway(&GatewayEvent::BoxSeen {
                peer: &name,
                domain: &domain,
            });
        }
        seen.push(*peer);
    }
    if !seen.is_empty() {
        report_engines(state, |_, told| seen.contains(&told));
    }
}

#[cfg(test)]
mod tests;
