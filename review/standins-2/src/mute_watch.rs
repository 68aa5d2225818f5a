//! The answers to the watches of `op/` that tell of a configuration are lost, at one moment; reads
//! with `serializable` are seconds old all the time. The configuration takes a key away. Callers
//! go on sending requests with that key, and check that they are not run once it is to be in force.

use crate::draw::number;
use crate::fleet::{wait_until_ready, GatewayBox, Network, Sheet};
use crate::http::Conn;
use crate::plain_server::PlainServer;
use crate::record::Record;
use crate::store::Store;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// The zones of the machines, as many in each as on the site.
const ZONES: [(&str, u8); 3] = [("hall-dock", 3), ("hall-terminal", 3), ("hall-depot", 2)];
/// How old a read with `serializable` is; the site's largest figure is 5.5 s.
const STALENESS: Duration = Duration::from_millis(5_000);
/// How long answers to watches of `op/` are lost; the site's `platform_lost` takes 4.5 s.
const LOSS: Duration = Duration::from_millis(300);
/// From the last lost answer on, machines are in touch again after `contact_ms`.
const CONTACT: Duration = Duration::from_millis(3_000);
/// How long requests are sent after the configuration.
const LOAD: Duration = Duration::from_secs(12);
const PAUSE: Duration = Duration::from_millis(50);

/// Sends a request with a key on a channel of its own and returns the status; 0 if there is no
/// answer.
fn call(address: SocketAddr, key: &str, record: &Record) -> u16 {
    let id = format!("{:016x}", number());
    let exchange = || {
        let mut conn = Conn::open(address, Duration::from_secs(2))?;
        let request = format!(
            "POST /slots/2f HTTP/1.1\r\nHost: orders.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: 600\r\nAuthorization: Token {key}\r\nContent-Length: 4\r\n\r\nslot"
        );
        conn.write(request.as_bytes())?;
        let head = conn.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        conn.read_body(&head)?;
        Ok::<u16, io::Error>(head.status())
    };
    let status = exchange().unwrap_or(0);
    record.write(format!("caller: {id} with {key} at {address}: {status}"));
    status
}

/// What one box did with the key that was taken away.
#[derive(Default)]
struct Seen {
    judged: usize,
    run: usize,
    last_run_ms: u128,
}

/// Sends requests with the key that was taken away at `changed`, and judges those that are sent
/// later than `after` from then on.
fn send_to(address: SocketAddr, changed: Instant, after: Duration, record: &Record) -> Seen {
    let mut seen = Seen::default();
    while changed.elapsed() < LOAD {
        let sent = changed.elapsed();
        let status = call(address, "key-2", record);
        let is_judged = sent >= after;
        seen.judged += usize::from(is_judged);
        if status == 200 {
            seen.last_run_ms = sent.as_millis();
            seen.run += usize::from(is_judged);
        }
        if status == 200 && is_judged {
            let sent_ms = sent.as_millis();
            record.write(format!(
                "RULE BROKEN: {address} runs a request with key-2, sent {sent_ms} ms after the ack"
            ));
        }
        thread::sleep(PAUSE);
    }
    seen
}

pub fn run(folder: &Path, record: &Record, trouble: bool) -> io::Result<bool> {
    let network = Network::claim()?;
    let store = Store::start(network.store())?;
    store.set_staleness(STALENESS);
    store.put("op/config", &config(7, r#""key-1","key-2""#));
    let mut boxes: Vec<GatewayBox> = Vec::new();
    for (index, (zone, machines)) in ZONES.iter().enumerate() {
        let part = index as u8 + 1;
        let id = format!("i-{index:04x}");
        let address = SocketAddr::new(network.ip(part, 100).into(), 8080);
        PlainServer::start(&id, address, record)?;
        store.put(
            &format!("servers/{id}"),
            &format!(
                "{{\"service\":\"orders-app\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"capacity\":6,\"state\":\"ready\",\"warmup_left_ms\":0,\
                 \"sequence\":1}}"
            ),
        );
        for machine in 1..=*machines {
            let name = format!("edge-{zone}-{machine}");
            let ip = network.ip(part, 32 + machine);
            boxes.push(GatewayBox::new(folder, &name, zone, ip));
        }
    }
    let sheet = Sheet {
        store: network.store(),
        memory_mb: 260,
        seeds: [0, 3, 6].map(|seed: usize| boxes[seed].state()).to_vec(),
        grace_s: 8,
    };
    for gateway in &mut boxes {
        gateway.write_settings(&sheet, true)?;
        gateway.start()?;
    }
    wait_until_ready(&boxes, record)?;
    // Long enough for old reads to show what was written at the start.
    thread::sleep(STALENESS + CONTACT);
    for gateway in &boxes {
        let status = call(gateway.callers(), "key-2", record);
        if status != 200 {
            return Err(io::Error::other(format!("not served before: {status}")));
        }
    }
    if trouble {
        store.lose_watches(Some("op/"));
    }
    let changed = Instant::now();
    store.put("op/config", &config(8, r#""key-1""#));
    record.say("the store has acknowledged configuration 8, which takes key-2 away");
    let senders: Vec<_> = boxes
        .iter()
        .map(|gateway| {
            let (address, record) = (gateway.callers(), record.clone());
            thread::spawn(move || send_to(address, changed, LOSS + CONTACT, &record))
        })
        .collect();
    thread::sleep(LOSS);
    store.lose_watches(None);
    record.say(format!(
        "{} answers of the store were lost until {} ms after the ack",
        store.lost_answers(),
        changed.elapsed().as_millis()
    ));
    let (mut judged, mut run) = (0, 0);
    for (gateway, sender) in boxes.iter().zip(senders) {
        let seen = sender
            .join()
            .map_err(|_| io::Error::other("a caller ended"))?;
        judged += seen.judged;
        run += seen.run;
        record.say(format!(
            "{}: the last request with key-2 that was run was sent {} ms after the ack",
            gateway.name, seen.last_run_ms
        ));
    }
    record.say(format!(
        "{judged} requests with key-2 sent {} ms or more after the ack; {run} of them were run",
        (LOSS + CONTACT).as_millis()
    ));
    if judged < 100 {
        return Err(io::Error::other("too few requests to judge"));
    }
    Ok(run == 0)
}

fn config(version: u64, keys: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-slots\",\"host\":\"orders.example\",\
         \"path_prefix\":\"/slots/\",\"type\":\"non_idempotent\",\"timeout_ms\":600,\
         \"target_latency_ms\":100,\"priority\":2,\"service\":\"orders-app\",\
         \"max_attempts\":1,\"public\":false}}],\"services\":[{{\"name\":\"orders-app\",\
         \"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\",\
         \"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tokens_per_s\":440000}},\
         \"tenants\":[{{\"name\":\"tenant-1\",\"api_keys\":[{keys}],\"priority\":1}}]}}"
    )
}
