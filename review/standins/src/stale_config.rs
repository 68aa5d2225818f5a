//! Answers to watches that are lost, and gateways that keep a configuration that is no longer in force.

use crate::fleet::{Fleet, ServiceSpec, Zone, next_id, plain_config, request};
use crate::http::call;
use crate::record::Record;
use crate::server::Behaviour;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// `config_apply_ms` and `contact_ms` of the site.
const CONFIG_APPLY_MS: u64 = 2_000;
const CONTACT_MS: u64 = 3_000;
/// The pause between two requests of a requester.
const PAUSE: Duration = Duration::from_millis(100);

/// The zones of the site.
const ZONES: [Zone; 3] = [
    Zone {
        name: "half-way-tree",
        machines: 2,
        servers: 1,
    },
    Zone {
        name: "new-kingston",
        machines: 3,
        servers: 1,
    },
    Zone {
        name: "portmore",
        machines: 1,
        servers: 1,
    },
];

const KEPT_KEY: &str = "k7b2ex5wa5xwyhks8nbk";
const REVOKED_KEY: &str = "asnmgkcuyj8pjbvk9m68";

/// A request and its answer.
struct Sent {
    at_ms: u64,
    gateway: String,
    key: &'static str,
    status: u16,
}

struct Requester {
    gateway: String,
    address: SocketAddr,
    key: &'static str,
    record: Record,
    sent: Arc<Mutex<BTreeMap<String, Sent>>>,
    stop: Arc<AtomicBool>,
}

impl Requester {
    fn run(&self) {
        while !self.stop.load(Ordering::Relaxed) {
            let id = next_id();
            let text = request("POST", "build-status", &id, self.key, 1_500, "{}");
            let at_ms = self
                .record
                .line(format!("sends {id} with {} to {}", self.key, self.gateway));
            let answer = call(self.address, text.as_bytes(), Duration::from_millis(1_500));
            let status = answer.as_ref().map_or(0, |answer| answer.status());
            self.record.line(format!("gets {status} for {id}"));
            let sent = Sent {
                at_ms,
                gateway: self.gateway.clone(),
                key: self.key,
                status,
            };
            self.sent.lock().unwrap().insert(id, sent);
            thread::sleep(PAUSE);
        }
    }
}

/// Plays the case; returns whether the rule held.
pub fn play(record: &Record, is_disrupted: bool) -> io::Result<bool> {
    let service = ServiceSpec {
        name: "pipeline-api",
        capacity: 6,
        behaviour: Behaviour::Whole {
            work: Duration::from_millis(15),
            bytes: 800,
        },
    };
    let keys = [KEPT_KEY, REVOKED_KEY];
    let mut fleet = Fleet::start(&ZONES, service, &plain_config(3, &keys, 0), record)?;
    // The gateways exchange what they keep in the store after their start.
    thread::sleep(Duration::from_secs(5));

    let stop = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(Mutex::new(BTreeMap::new()));
    let mut requesters = Vec::new();
    for gateway in &fleet.gateways {
        for key in keys {
            let requester = Requester {
                gateway: gateway.name.clone(),
                address: gateway.frontend,
                key,
                record: record.clone(),
                sent: sent.clone(),
                stop: stop.clone(),
            };
            requesters.push(thread::spawn(move || requester.run()));
        }
    }
    thread::sleep(Duration::from_millis(500));

    let store = fleet.store.clone();
    store.put("op/config", &plain_config(5, &keys, 1));
    record.line("operator: version 5 is acknowledged: an idle route more");
    thread::sleep(Duration::from_millis(300));

    let answers_before = store.answers();
    if is_disrupted {
        store.lose_next_answers("op/");
    }
    store.put("op/config", &plain_config(8, &[KEPT_KEY], 1));
    let acked_ms = record.line(format!(
        "operator: version 8 is acknowledged: {REVOKED_KEY} is taken away"
    ));
    thread::sleep(Duration::from_millis(400));
    store.answer_all();
    let calm_from_ms = record.line("store: answers all calls from now on");
    // Planned work: a server is emptied and taken away.
    let (leaving, entry) = (
        fleet.servers[2].id.clone(),
        fleet.servers[2].entry("draining", 2),
    );
    store.put(&entry.0, &entry.1);
    record.line(format!("{leaving}: draining"));
    thread::sleep(Duration::from_millis(4_000));
    store.remove(&entry.0);
    record.line(format!("{leaving}: its entry is removed"));
    thread::sleep(Duration::from_millis(8_000));
    stop.store(true, Ordering::Relaxed);
    for requester in requesters {
        let _ = requester.join();
    }
    let (answers, lost) = store.answers();
    record.line(format!(
        "store: lost {lost} of {} answers since version 8 was written",
        answers - answers_before.0
    ));
    for gateway in &mut fleet.gateways {
        if gateway.has_ended() {
            return Err(io::Error::other(format!("{} has ended", gateway.name)));
        }
        let logged = gateway.logged();
        for line in logged
            .lines()
            .filter(|line| line.contains("\"routes_in_force\""))
        {
            record.line(format!("log of {}: {line}", gateway.name));
        }
    }

    // Without a disruption, machines are in touch all the time. With one, the core is stable after
    // `contact_ms`, and machines are in touch when it has been stable for `contact_ms`.
    let in_touch_ms = match is_disrupted {
        true => calm_from_ms + 2 * CONTACT_MS,
        false => 0,
    };
    let judged_ms = in_touch_ms.max(acked_ms + CONFIG_APPLY_MS);
    let sent = sent.lock().unwrap();
    let mut broken = 0;
    for run in fleet.servers.iter().flat_map(|server| server.runs()) {
        let Some(request) = sent.get(&run.id) else {
            continue;
        };
        let id = &run.id;
        if request.key != REVOKED_KEY || request.at_ms < judged_ms {
            continue;
        }
        broken += 1;
        record.line(format!(
            "CONFIG: {id}, sent at {} ms to {} with {REVOKED_KEY}, ran on {} at {} ms, answered {}",
            request.at_ms, request.gateway, run.server, run.at_ms, request.status
        ));
    }
    let judged = sent
        .values()
        .filter(|request| request.at_ms >= judged_ms)
        .count();
    record.line(format!(
        "judged: requests sent from {judged_ms} ms on, {} ms after the acknowledgement: {judged}; \
         run with the key that was taken away: {broken}",
        judged_ms - acked_ms
    ));
    Ok(broken == 0)
}
