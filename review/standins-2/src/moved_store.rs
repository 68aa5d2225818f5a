//! The settings of the boxes change: the platform's store is at another address from then on. Later
//! the operator changes the configuration. Callers check that it is in force within its bound.

use crate::draw::number;
use crate::fleet::{wait_until_ready, GatewayBox, Network, Sheet, STORE_PORT};
use crate::http::Conn;
use crate::plain_server::PlainServer;
use crate::record::Record;
use crate::store::Store;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const ZONES: [&str; 4] = ["hall-a", "hall-b", "hall-c", "hall-d"];
/// Boxes that get SIGHUP; the files of the others change without a signal.
const SIGNALLED: usize = 2;
/// How long the store still answers at the address before.
const OVERLAP: Duration = Duration::from_secs(10);
/// From the end of the old address to the change of the configuration, over `contact_ms` (3,000).
const CALM: Duration = Duration::from_secs(6);
/// The bound of a configuration, `config_apply_ms`.
const APPLY: Duration = Duration::from_millis(2_000);
/// How long requests are sent after the bound.
const CHECK: Duration = Duration::from_secs(20);

/// Sends a request on a channel of its own and returns the status; 0 if there is no answer.
fn call(address: SocketAddr, path: &str, record: &Record) -> u16 {
    let id = format!("{:016x}", number());
    let exchange = || {
        let mut conn = Conn::open(address, Duration::from_secs(4))?;
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: portal.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: 3000\r\nAuthorization: Token key-1\r\n\r\n"
        );
        conn.write(request.as_bytes())?;
        let head = conn.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        conn.read_body(&head)?;
        Ok::<u16, io::Error>(head.status())
    };
    let status = exchange().unwrap_or(0);
    record.write(format!("caller: {id} GET {path} at {address}: {status}"));
    status
}

pub fn run(folder: &Path, record: &Record, trouble: bool) -> io::Result<bool> {
    let network = Network::claim()?;
    let (old, new) = (
        network.store(),
        SocketAddr::new(network.ip(200, 8).into(), STORE_PORT),
    );
    let store = Store::empty();
    let old_door = store.listen(old)?;
    store.put("op/config", &config(7, "first"));
    for (index, zone) in ZONES.iter().enumerate() {
        let id = format!("i-{index:04x}");
        let address = SocketAddr::new(network.ip(index as u8 + 1, 100).into(), 8080);
        PlainServer::start(&id, address, record)?;
        store.put(
            &format!("servers/{id}"),
            &format!(
                "{{\"service\":\"course-portal\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"capacity\":6,\"state\":\"ready\",\"warmup_left_ms\":0,\
                 \"sequence\":1}}"
            ),
        );
    }
    let mut boxes: Vec<GatewayBox> = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        let ip = network.ip(index as u8 + 1, 33);
        boxes.push(GatewayBox::new(folder, &format!("edge-{zone}-1"), zone, ip));
    }
    let mut sheet = Sheet {
        store: old,
        memory_mb: 260,
        seeds: boxes.iter().take(3).map(GatewayBox::state).collect(),
        grace_s: 8,
    };
    for gateway in &mut boxes {
        gateway.write_settings(&sheet, true)?;
        gateway.start()?;
    }
    wait_until_ready(&boxes, record)?;
    let first: Vec<u16> = boxes
        .iter()
        .map(|gateway| call(gateway.callers(), "/first/2f", record))
        .collect();
    if first.iter().any(|status| *status != 200) {
        return Err(io::Error::other(format!("not served before: {first:?}")));
    }
    thread::sleep(Duration::from_secs(4));
    if trouble {
        store.listen(new)?;
        sheet.store = new;
        for (index, gateway) in boxes.iter().enumerate() {
            gateway.write_settings(&sheet, false)?;
            if index < SIGNALLED {
                gateway.signal("HUP");
            }
            record.write(format!(
                "the settings of {} name the store {new}",
                gateway.name
            ));
        }
    }
    thread::sleep(OVERLAP);
    if trouble {
        old_door.close(old);
        record.write(format!("nothing answers at {old} any more"));
    }
    thread::sleep(CALM);
    store.put("op/config", &config(8, "second"));
    record.say("the store has acknowledged configuration 8: /second/ for /first/");
    thread::sleep(APPLY);
    let (mut sent, mut old_handling) = (0, 0);
    let until = Instant::now() + CHECK;
    while Instant::now() < until {
        for gateway in &boxes {
            for (path, by_old) in [("/second/2f", 404), ("/first/2f", 200)] {
                sent += 1;
                if call(gateway.callers(), path, record) == by_old {
                    old_handling += 1;
                    record.write(format!(
                        "RULE BROKEN: {} handles {path} as only configuration 7 allows",
                        gateway.name
                    ));
                }
            }
        }
        thread::sleep(Duration::from_millis(250));
    }
    record.say(format!(
        "{sent} requests sent over 2,000 ms after the ack; {old_handling} handled as only the \
         configuration before allows"
    ));
    Ok(old_handling == 0)
}

fn config(version: u64, path: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-{path}\",\"host\":\"portal.example\",\
         \"path_prefix\":\"/{path}/\",\"type\":\"idempotent\",\"timeout_ms\":1500,\
         \"target_latency_ms\":300,\"priority\":2,\"service\":\"course-portal\",\
         \"max_attempts\":2,\"public\":false}}],\"services\":[{{\"name\":\"course-portal\",\
         \"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\",\
         \"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tokens_per_s\":440000}},\
         \"tenants\":[{{\"name\":\"tenant-1\",\"api_keys\":[\"key-1\"],\"priority\":1}}]}}"
    )
}
