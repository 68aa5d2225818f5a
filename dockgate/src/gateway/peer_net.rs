//! Datagrams among boxes: beats, seeks and verdicts, and what became of each run.
//!
//! Datagrams need no connection that a partition leaves hanging, and each message stands by itself;
//! a verdict that does not come in time is replaced by the entry's own.

use super::engine_seek::{decide_here, hear_engine, note_cached_here, place_here};
use super::events::{GatewayEvent, log_gateway};
use super::gateway_state::{GatewayBeliefs, GatewayState};
use crate::clock::now_ms;
use crate::metrics::METRICS;
use dockgate_core::gateway::{
    BoxBeat, BoxNews, DueReads, EndpointId, EngineAsk, EngineVerdict, RunKey,
};
use dockgate_core::{BoxKey, Incarnation};
use dockgate_proto::{GatewayDatagram, GatewayMessage};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How often a box says that it lives. Three that are lost in a row make it gone.
const BEAT: Duration = Duration::from_millis(300);
/// How often a box that has heard of no other says that it lives.
const FIRST_BEAT: Duration = Duration::from_millis(20);
/// How many times it does: boxes that start together are there within some tenths of a second of each
/// other. A bound; after it beats come as usual.
const FIRST_BEATS: usize = 25;
/// How many other boxes' addresses go with a beat, so that all find each other from a few seeds.
const MOST_KNOWN: usize = 4;
/// The largest datagram that is taken in, in bytes; larger ones would be cut into pieces.
const MOST_BYTES: usize = 8_192;

/// Sends a message to a box; one that cannot be sent counts as lost.
pub(super) fn send_to(state: &GatewayState, to: BoxKey, message: GatewayMessage) {
    match state.with(|beliefs| beliefs.fleet.address(to)) {
        Some(address) => send_datagram(state, address, message),
        None => METRICS.ignored.with_label_values(&["send"]).inc(),
    }
}

fn send_datagram(state: &GatewayState, address: SocketAddr, message: GatewayMessage) {
    let datagram = GatewayDatagram {
        from: state.me(),
        incarnation: state.incarnation(),
        message,
    };
    let sent =
        postcard::to_stdvec(&datagram).map(|bytes| state.datagrams.try_send_to(&bytes, address));
    if !matches!(sent, Ok(Ok(_))) {
        METRICS.ignored.with_label_values(&["send"]).inc();
    }
}

/// Sends a beat to every box that is known, and to the seeds that were not heard yet.
pub(super) fn send_beat(state: &GatewayState) {
    let settings = state.settings();
    let own = settings.listen.peers;
    let addresses: Vec<SocketAddr> = state.with(|beliefs| beliefs.fleet.addresses().collect());
    // A seed is where a box tells its state; datagrams have the same port on all boxes.
    let seeds = settings.seeds.iter();
    let seeds = seeds.map(|seed| SocketAddr::new(seed.ip(), own.port()));
    let unheard = seeds.filter(|seed| *seed != own && !addresses.contains(seed));
    let unheard: Vec<SocketAddr> = unheard.collect();
    let start = rand::random_range(0..addresses.len().max(1));
    let known = addresses
        .iter()
        .cycle()
        .skip(start)
        .take(MOST_KNOWN.min(addresses.len()));
    let message = own_beat(state, known.copied().collect());
    for address in addresses.iter().chain(&unheard) {
        send_datagram(state, *address, message.clone());
    }
}

/// Makes this box's beat; `known` is where a few other boxes take datagrams.
fn own_beat(state: &GatewayState, known: Vec<SocketAddr>) -> GatewayMessage {
    state.with(|beliefs| GatewayMessage::Beat {
        beat: beliefs.fleet.own().clone(),
        shares: beliefs.shares.rows(),
        known,
    })
}

/// Says that this box has begun until another one is heard.
///
/// Boxes that start together all decide for the same engines until they have heard of each other, and
/// each admits as much as an engine takes: first events came up to 1.7 s late in the first half second
/// after six boxes were killed at once.
async fn announce(state: &GatewayState) {
    // A socket that has just been opened does not know yet that it can be written to.
    if let Err(error) = state.datagrams.writable().await {
        log::warn!("send datagrams: {error}");
    }
    for _ in 0..FIRST_BEATS {
        send_beat(state);
        tokio::time::sleep(FIRST_BEAT).await;
        if state.with(|beliefs| beliefs.fleet.known_count() > 1) {
            return;
        }
    }
}

/// Says again and again that this box lives, and lets lapse what has to.
pub(super) async fn beat(state: Arc<GatewayState>) {
    announce(&state).await;
    let mut since_ms = now_ms();
    loop {
        tokio::time::sleep(BEAT).await;
        send_beat(&state);
        let now = now_ms();
        let units_per_s = match state.table().config().limits.units_per_s {
            // Without a stated rate nobody is ever beyond a share.
            rate if rate > 0.0 => rate,
            _ => f64::INFINITY,
        };
        state.with(|beliefs| beliefs.shares.tick(now, units_per_s));
        state.expire(since_ms);
        report_engines(&state, |owner, told| owner != told);
        since_ms = now;
    }
}

/// Tells the boxes that decide for an engine what this box has there and had read there, where they
/// may not know: `is_due` is given the box that decides now and the one that was told.
fn report_engines(state: &GatewayState, is_due: impl Fn(BoxKey, BoxKey) -> bool + Copy) {
    let now = now_ms();
    let (runs, reads) = state.with(|beliefs| {
        let GatewayBeliefs {
            endpoints,
            fleet,
            runs,
            reads,
            ..
        } = beliefs;
        let owner_of = |endpoint: EndpointId| {
            let entry = endpoints.get(endpoint)?;
            Some(fleet.owner(endpoint, &entry.record.domain, now))
        };
        let mut due = Vec::new();
        for (number, run) in runs.iter_mut() {
            let owner = owner_of(run.endpoint).filter(|owner| is_due(*owner, run.owner));
            if let Some(owner) = owner {
                run.owner = owner;
                due.push((owner, placed(*number, run.endpoint, &run.ask, run.started)));
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
        (owner, GatewayMessage::Read { endpoint, parts })
    });
    // What was read goes first: it is older than what runs.
    let others = reads.chain(runs).filter(|(owner, _)| *owner != state.me());
    for (owner, message) in others {
        send_to(state, owner, message);
    }
}

/// Makes the message that a prompt is at an engine.
pub(super) fn placed(
    run: u32,
    endpoint: EndpointId,
    ask: &EngineAsk,
    started: bool,
) -> GatewayMessage {
    GatewayMessage::Placed {
        run,
        endpoint,
        ask: ask.clone(),
        started,
    }
}

/// Takes datagrams in until the process ends.
pub(super) async fn receive(state: Arc<GatewayState>) {
    let mut buffer = vec![0; MOST_BYTES];
    loop {
        match state.datagrams.recv_from(&mut buffer).await {
            Ok((length, from)) => match postcard::from_bytes(&buffer[..length]) {
                Ok(datagram) => handle(&state, from, datagram),
                Err(error) => {
                    METRICS.ignored.with_label_values(&["datagram"]).inc();
                    log::debug!("datagram of {from}: {error}");
                }
            },
            // A box that is gone refuses what was sent to it; that is seen from its silence.
            Err(error) => log::debug!("receive datagrams: {error}"),
        }
    }
}

fn handle(state: &GatewayState, from: SocketAddr, datagram: GatewayDatagram) {
    let GatewayDatagram {
        from: peer,
        incarnation,
        message,
    } = datagram;
    let now = now_ms();
    let run_of = |number| RunKey {
        entry: peer,
        number,
    };
    match message {
        GatewayMessage::Beat {
            beat,
            shares,
            known,
        } => {
            state.with(|beliefs| beliefs.shares.merge(peer, &shares, now));
            hear(state, beat, incarnation);
            meet(state, &known);
        }
        GatewayMessage::Seek { run, endpoint, ask } => {
            let key = run_of(run);
            if let Some(verdict) = answer_seek(state, run, endpoint, key, &ask) {
                send_datagram(state, from, verdict);
            }
        }
        GatewayMessage::Verdict {
            run,
            endpoint,
            verdict,
            backlog_ms,
            speed,
        } => {
            hear_engine(state, endpoint, backlog_ms, speed);
            let waiting = state.with(|beliefs| beliefs.seeks.remove(&run));
            let taken = waiting.is_some_and(|waiting| waiting.send(verdict).is_ok());
            // Too late: the prompt has gone elsewhere by now.
            if !taken && matches!(verdict, EngineVerdict::Granted(_)) {
                send_datagram(state, from, GatewayMessage::Ended { run, endpoint });
            }
        }
        GatewayMessage::Placed {
            run,
            endpoint,
            ask,
            started,
        } => {
            let key = run_of(run);
            place_here(state, endpoint, key, &ask);
            if started {
                state.with(|beliefs| beliefs.engines.start(endpoint, key, now, true));
            }
        }
        GatewayMessage::Read { endpoint, parts } => {
            note_cached_here(state, endpoint, &parts);
        }
        GatewayMessage::Started { run, endpoint } => {
            let key = run_of(run);
            state.with(|beliefs| beliefs.engines.start(endpoint, key, now, true));
        }
        GatewayMessage::Ended { run, endpoint } => {
            let key = run_of(run);
            state.with(|beliefs| beliefs.engines.end(endpoint, key));
        }
    }
}

/// Decides on another box's seek, and makes the answer with what that box may want to know.
fn answer_seek(
    state: &GatewayState,
    run: u32,
    endpoint: EndpointId,
    key: RunKey,
    ask: &EngineAsk,
) -> Option<GatewayMessage> {
    let verdict = decide_here(state, endpoint, key, ask, 0)?;
    state.with(|beliefs| {
        let load = beliefs.engines.get(endpoint)?;
        Some(GatewayMessage::Verdict {
            run,
            endpoint,
            verdict,
            backlog_ms: load.backlog_ms(now_ms()) as u32,
            speed: load.model().speed(),
        })
    })
}

/// Takes in that a box lives; one that was not heard a moment ago is told what it may not know.
fn hear(state: &GatewayState, beat: BoxBeat, incarnation: Incarnation) {
    let now = now_ms();
    let peer = beat.key();
    let (name, domain) = (beat.name.clone(), beat.domain.clone());
    let news = state.with(|beliefs| beliefs.fleet.hear(beat, incarnation, now));
    match news {
        BoxNews::None => return,
        BoxNews::Back => {}
        BoxNews::NewLife => state.with(|beliefs| beliefs.engines.forget_entry(peer, now)),
    }
    log_gateway(&GatewayEvent::BoxSeen {
        peer: &name,
        domain: &domain,
    });
    // Answered at once, so that it need not wait for the next beat; a new life of a box has no
    // memory of what runs where.
    send_beat(state);
    report_engines(state, |_, told| told == peer);
}

/// Says hello to boxes that others know and this one does not.
fn meet(state: &GatewayState, known: &[SocketAddr]) {
    let own = state.settings().listen.peers;
    let strangers = state.with(|beliefs| {
        let met: Vec<SocketAddr> = beliefs.fleet.addresses().collect();
        let strangers = known
            .iter()
            .filter(|address| **address != own && !met.contains(address));
        strangers.copied().collect::<Vec<SocketAddr>>()
    });
    if strangers.is_empty() {
        return;
    }
    let message = own_beat(state, Vec::new());
    for address in strangers {
        send_datagram(state, address, message.clone());
    }
}

#[cfg(test)]
mod tests;
