//! A gateway that is stopped and started as a server is taken away, and keeps sending it requests.

use crate::config_watch::{self, CONTACT_MS, KEYS};
use crate::fleet::{Fleet, ServiceSpec, Zone, next_id, plain_config, request};
use crate::http::call;
use crate::record::Record;
use crate::server::Server;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The zones of the site. The last one has a single machine.
const ZONES: [Zone; 3] = [
    Zone {
        name: "half-way-tree",
        machines: 2,
        servers: 2,
    },
    Zone {
        name: "new-kingston",
        machines: 3,
        servers: 2,
    },
    Zone {
        name: "portmore",
        machines: 1,
        servers: 4,
    },
];
/// `drain_ms` of the site.
const DRAIN_MS: u64 = 2_000;
const REQUESTERS: usize = 12;
/// The times from the start of the process to the removal of the entries of servers.
const REMOVE_AFTER: [Duration; 2] = [Duration::from_millis(1_300), Duration::from_millis(1_700)];
const ROUNDS: usize = 10;

/// Plays the case; returns whether the rule held.
pub fn play(record: &Record, is_disrupted: bool) -> io::Result<bool> {
    let service = ServiceSpec {
        capacity: 16,
        ..config_watch::service()
    };
    let mut fleet = Fleet::start(&ZONES, service, &plain_config(3, &KEYS, 0), record)?;
    thread::sleep(Duration::from_secs(5));
    let (mut broken, mut latest_ms, mut told) = (0, 0, 0);
    for round in 1..=ROUNDS {
        let late = play_round(&mut fleet, service, round, record, is_disrupted, &mut told)?;
        broken += late.len();
        latest_ms = late.into_iter().fold(latest_ms, u64::max);
    }
    record.line(format!(
        "judged: {ROUNDS} rounds; requests that reached a server later than {DRAIN_MS} ms after its \
         removal: {broken}, the last one after {latest_ms} ms"
    ));
    Ok(broken == 0)
}

/// Plays a stop and start of the gateway and the removal of servers; returns how late each request
/// came that reached one of these too late, in milliseconds.
fn play_round(
    fleet: &mut Fleet,
    service: ServiceSpec,
    round: usize,
    record: &Record,
    is_disrupted: bool,
    told: &mut usize,
) -> io::Result<Vec<u64>> {
    let zone = ZONES[ZONES.len() - 1].name;
    let mut leaving = Vec::new();
    for number in 0..REMOVE_AFTER.len() {
        let host = 150 + (round - 1) * REMOVE_AFTER.len() + number;
        let server = Server::start(
            &format!("i-{host}"),
            "v1",
            service.name,
            zone,
            &format!("127.{}.0.{host}", fleet.network),
            service.capacity,
            service.behaviour,
            record,
        )?;
        let (key, value) = server.entry("ready", 1);
        fleet.store.put(&key, &value);
        leaving.push(server);
    }
    thread::sleep(Duration::from_secs(1));
    let gateway = fleet.gateways.last_mut().expect("a zone has machines");
    if is_disrupted {
        gateway.signal("TERM")?;
        record.line(format!("SIGTERM to {}", gateway.name));
        let until = Instant::now() + Duration::from_secs(10);
        while !gateway.has_ended() && Instant::now() < until {
            thread::sleep(Duration::from_millis(10));
        }
        gateway.spawn()?;
        record.line(format!("{} is started again", gateway.name));
    }
    let started = Instant::now();
    let started_ms = record.now_ms();
    gateway.wait_until_ready()?;
    let sent: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let requesters: Vec<_> = (0..REQUESTERS)
        .map(|_| start_requester(gateway.frontend, record, &sent, &stop))
        .collect();
    let mut removed_ms = Vec::new();
    for (server, after) in leaving.iter().zip(REMOVE_AFTER) {
        thread::sleep(after.saturating_sub(started.elapsed()));
        fleet.store.remove(&server.entry("ready", 1).0);
        removed_ms.push(record.line(format!("{}: its entry is removed", server.id)));
    }
    thread::sleep(Duration::from_millis(DRAIN_MS + 1_000));
    stop.store(true, Ordering::Relaxed);
    for requester in requesters {
        let _ = requester.join();
    }
    let logged = gateway.logged();
    let words = ["endpoint_", "endpoints_", "\"started\"", "\"store"];
    let is_told = |line: &&str| {
        words.iter().any(|word| line.contains(word))
            && !line.contains("\"sent\"")
            && !line.contains("\"answered\"")
    };
    for line in logged.lines().filter(is_told).skip(*told) {
        record.line(format!("log of {}: {line}", gateway.name));
        *told += 1;
    }
    let in_touch_ms = match is_disrupted {
        true => started_ms + CONTACT_MS,
        false => 0,
    };
    let sent = sent.lock().unwrap();
    let mut late = Vec::new();
    for (server, removed_ms) in leaving.iter().zip(removed_ms) {
        for run in server.runs() {
            let sent_ms = sent.get(&run.id).copied();
            let Some(sent_ms) = sent_ms.filter(|at_ms| *at_ms >= in_touch_ms) else {
                continue;
            };
            let after_ms = run.at_ms.saturating_sub(removed_ms);
            if after_ms > DRAIN_MS {
                late.push(after_ms);
                record.line(format!(
                    "DRAIN: {}, sent at {sent_ms} ms, reached {} at {} ms, {after_ms} ms after its \
                     removal",
                    run.id, run.server, run.at_ms
                ));
            }
        }
    }
    Ok(late)
}

fn start_requester(
    gateway: SocketAddr,
    record: &Record,
    sent: &Arc<Mutex<BTreeMap<String, u64>>>,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (record, sent, stop) = (record.clone(), Arc::clone(sent), Arc::clone(stop));
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            let id = next_id();
            let text = request("POST", "build-status", &id, KEYS[0], 1_500, "{}");
            let at_ms = record.line(format!("sends {id}"));
            sent.lock().unwrap().insert(id.clone(), at_ms);
            let answer = call(gateway, text.as_bytes(), Duration::from_millis(1_500));
            let status = answer.as_ref().map_or(0, |answer| answer.status());
            record.line(format!("gets {status} for {id}"));
            thread::sleep(Duration::from_millis(25));
        }
    })
}
