//! Requesters with a key that is kept and one that is taken away, and the rule on configurations.

use crate::fleet::{Fleet, ServiceSpec, Zone, next_id, request};
use crate::http::call;
use crate::record::Record;
use crate::server::Behaviour;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// `config_apply_ms` and `contact_ms` of the site.
const CONFIG_APPLY_MS: u64 = 2_000;
pub const CONTACT_MS: u64 = 3_000;
/// The pause between two requests of a requester.
const PAUSE: Duration = Duration::from_millis(100);

/// The key that is kept, and the one that is taken away.
pub const KEYS: [&str; 2] = ["k7b2ex5wa5xwyhks8nbk", "asnmgkcuyj8pjbvk9m68"];

/// The zones of the site.
pub const ZONES: [Zone; 3] = [
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

/// Returns the plain service of the site.
pub fn service() -> ServiceSpec {
    ServiceSpec {
        name: "pipeline-api",
        capacity: 6,
        behaviour: Behaviour::Whole {
            work: Duration::from_millis(15),
            bytes: 800,
        },
    }
}

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
            let (key, gateway) = (self.key, &self.gateway);
            let at_ms = self
                .record
                .line(format!("sends {id} with {key} to {gateway}"));
            let answer = call(self.address, text.as_bytes(), Duration::from_millis(1_500));
            let status = answer.as_ref().map_or(0, |answer| answer.status());
            self.record.line(format!("gets {status} for {id}"));
            let sent = Sent {
                at_ms,
                gateway: gateway.clone(),
                key,
                status,
            };
            self.sent.lock().unwrap().insert(id, sent);
            thread::sleep(PAUSE);
        }
    }
}

/// Requesters with each of the keys at each gateway.
pub struct Requesters {
    threads: Vec<JoinHandle<()>>,
    sent: Arc<Mutex<BTreeMap<String, Sent>>>,
    stop: Arc<AtomicBool>,
}

impl Requesters {
    pub fn start(fleet: &Fleet, record: &Record) -> Self {
        let (sent, stop) = (Arc::default(), Arc::default());
        let mut threads = Vec::new();
        for gateway in &fleet.gateways {
            for key in KEYS {
                let requester = Requester {
                    gateway: gateway.name.clone(),
                    address: gateway.frontend,
                    key,
                    record: record.clone(),
                    sent: Arc::clone(&sent),
                    stop: Arc::clone(&stop),
                };
                threads.push(thread::spawn(move || requester.run()));
            }
        }
        Self {
            threads,
            sent,
            stop,
        }
    }

    fn stop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for requester in self.threads.drain(..) {
            let _ = requester.join();
        }
    }
}

/// The times by which requests are judged.
pub struct Judgement {
    /// When the version without the second key was acknowledged.
    pub acked_ms: u64,
    /// When the disruption of the store ended, if there was one.
    pub calm_from_ms: Option<u64>,
}

/// Ends the requesters and judges their requests; returns whether the rule held.
pub fn judge(
    mut fleet: Fleet,
    mut requesters: Requesters,
    times: &Judgement,
    record: &Record,
) -> io::Result<bool> {
    requesters.stop();
    for gateway in &mut fleet.gateways {
        if gateway.has_ended() {
            return Err(io::Error::other(format!("{} has ended", gateway.name)));
        }
        let logged = gateway.logged();
        let lines = logged.lines();
        for line in lines.filter(|line| line.contains("\"routes_in_force\"")) {
            record.line(format!("log of {}: {line}", gateway.name));
        }
    }
    // Without a disruption, machines are in touch all the time. With one, the core is stable after
    // `contact_ms`, and machines are in touch when it has been stable for `contact_ms`.
    let in_touch_ms = times
        .calm_from_ms
        .map_or(0, |calm_ms| calm_ms + 2 * CONTACT_MS);
    let judged_ms = in_touch_ms.max(times.acked_ms + CONFIG_APPLY_MS);
    let sent = requesters.sent.lock().unwrap();
    let [_, revoked] = KEYS;
    let mut broken = 0;
    for run in fleet.servers.iter().flat_map(|server| server.runs()) {
        let id = &run.id;
        let Some(request) = sent.get(id).filter(|sent| sent.key == revoked) else {
            continue;
        };
        if request.at_ms < judged_ms {
            continue;
        }
        broken += 1;
        record.line(format!(
            "CONFIG: {id}, sent at {} ms to {} with {revoked}, ran on {} at {} ms, answered {}",
            request.at_ms, request.gateway, run.server, run.at_ms, request.status
        ));
    }
    let judged = sent.values().filter(|request| request.at_ms >= judged_ms);
    record.line(format!(
        "judged: {} requests sent from {judged_ms} ms on, {} ms after the acknowledgement; run with \
         the key that was taken away: {broken}",
        judged.count(),
        judged_ms - times.acked_ms
    ));
    Ok(broken == 0)
}
