//! A change of the configuration raises `max_header_bytes`. Callers that keep their channels send
//! longer heads once the change is to be in force, and check that these are not refused.

use crate::draw::{below, number};
use crate::fleet::{wait_until_ready, GatewayBox, Network, Sheet};
use crate::http::Conn;
use crate::plain_server::PlainServer;
use crate::record::Record;
use crate::store::Store;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const ZONES: [&str; 4] = ["hall-a", "hall-b", "hall-c", "hall-d"];
const CALLERS: usize = 48;
const FIRST_LIMIT: usize = 16_384;
const RAISED_LIMIT: usize = 32_768;
/// The bytes of one long header, so that a head is longer than the first limit and shorter than
/// the raised one.
const LONG_HEADER: usize = 20_000;
/// One request in so many has a long head.
const LONG_ONE_IN: u64 = 10;
/// From the start of the load to the change, over `contact_ms` (3,000).
const CALM: Duration = Duration::from_secs(5);
/// Over `config_apply_ms` (2,000).
const APPLY: Duration = Duration::from_millis(2_500);
const LOAD: Duration = Duration::from_secs(25);

#[derive(Default)]
struct Totals {
    sent: AtomicUsize,
    long: AtomicUsize,
    answered: AtomicUsize,
    denied: AtomicUsize,
    others: AtomicUsize,
}

fn add(counter: &AtomicUsize) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Sends a request on a channel and returns its id, the status and whether the channel stays open.
fn call(conn: &mut Conn, is_long: bool) -> io::Result<(String, u16, bool)> {
    let id = format!("{:016x}", number());
    let long = match is_long {
        true => format!("X-Caller-Note: {}\r\n", "n".repeat(LONG_HEADER)),
        false => String::new(),
    };
    let request = format!(
        "GET /courses/2f HTTP/1.1\r\nHost: portal.example\r\nX-Request-Id: {id}\r\n{long}\
         X-Deadline-Ms: 3000\r\nAuthorization: Token key-1\r\n\r\n"
    );
    conn.write(request.as_bytes())?;
    let head = conn.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    conn.read_body(&head)?;
    let is_open = head
        .get("connection")
        .is_none_or(|value| !value.eq_ignore_ascii_case("close"));
    Ok((id, head.status(), is_open))
}

fn send(
    address: SocketAddr,
    until: Instant,
    is_raised: &AtomicBool,
    totals: &Totals,
    record: &Record,
) {
    let mut kept: Option<Conn> = None;
    let mut uses = 0;
    while Instant::now() < until {
        let mut conn = match kept.take() {
            Some(conn) => conn,
            None => match Conn::open(address, Duration::from_secs(4)) {
                Ok(conn) => {
                    uses = 0;
                    conn
                }
                Err(_) => continue,
            },
        };
        let is_long = is_raised.load(Ordering::SeqCst) && below(LONG_ONE_IN) == 0;
        add(&totals.sent);
        if is_long {
            add(&totals.long);
        }
        match call(&mut conn, is_long) {
            Ok((id, status, is_open)) => {
                let length = if is_long { "long" } else { "short" };
                record.write(format!(
                    "caller: {id}, {length} head, channel used {uses} times: {status}"
                ));
                match status {
                    200 => add(&totals.answered),
                    400..=499 if !matches!(status, 408 | 421 | 429) => {
                        add(&totals.denied);
                        record.write(format!("DENIED: {id} gets {status}"));
                    }
                    _ => add(&totals.others),
                }
                uses += 1;
                kept = Some(conn).filter(|_| is_open && status < 400);
            }
            Err(error) => {
                add(&totals.others);
                record.write(format!("caller: no answer: {error}"));
            }
        }
        thread::sleep(Duration::from_millis(100 + below(200)));
    }
}

pub fn run(folder: &Path, record: &Record, trouble: bool) -> io::Result<bool> {
    let network = Network::claim()?;
    let store = Store::start(network.store())?;
    let first_limit = if trouble { FIRST_LIMIT } else { RAISED_LIMIT };
    store.put("op/config", &config(7, first_limit));
    let mut boxes: Vec<GatewayBox> = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        let id = format!("i-{index:04x}");
        let address = SocketAddr::new(network.ip(index as u8 + 1, 100).into(), 8080);
        PlainServer::start(&id, address, record)?;
        store.put(
            &format!("servers/{id}"),
            &format!(
                "{{\"service\":\"course-portal\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"capacity\":24,\"state\":\"ready\",\"warmup_left_ms\":0,\
                 \"sequence\":1}}"
            ),
        );
        let ip = network.ip(index as u8 + 1, 33);
        boxes.push(GatewayBox::new(folder, &format!("edge-{zone}-1"), zone, ip));
    }
    let sheet = Sheet {
        store: network.store(),
        memory_mb: 260,
        seeds: boxes.iter().take(3).map(GatewayBox::state).collect(),
        grace_s: 8,
    };
    for gateway in &mut boxes {
        gateway.write_settings(&sheet, true)?;
        gateway.start()?;
    }
    wait_until_ready(&boxes, record)?;
    let totals = Arc::new(Totals::default());
    let is_raised = Arc::new(AtomicBool::new(false));
    let until = Instant::now() + LOAD;
    let callers: Vec<_> = (0..CALLERS)
        .map(|index| {
            let address = boxes[index % boxes.len()].callers();
            let (totals, is_raised, record) = (totals.clone(), is_raised.clone(), record.clone());
            thread::spawn(move || send(address, until, &is_raised, &totals, &record))
        })
        .collect();
    thread::sleep(CALM);
    store.put("op/config", &config(8, RAISED_LIMIT));
    record.say(format!(
        "the store has acknowledged configuration 8: max_header_bytes {first_limit} before, \
         {RAISED_LIMIT} now"
    ));
    thread::sleep(APPLY);
    is_raised.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
    let (sent, denied) = (count(&totals.sent), count(&totals.denied));
    let allowed = 5 + sent / 500;
    record.say(format!(
        "{sent} requests sent, {} of them with a long head; {} answered with 200, {denied} ended with \
         a 4xx, {} otherwise; {allowed} may end with a 4xx",
        count(&totals.long),
        count(&totals.answered),
        count(&totals.others),
    ));
    if count(&totals.long) < 50 {
        return Err(io::Error::other("too few long heads to judge"));
    }
    Ok(denied <= allowed)
}

fn config(version: u64, max_header_bytes: usize) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-courses\",\"host\":\"portal.example\",\
         \"path_prefix\":\"/courses/\",\"type\":\"idempotent\",\"timeout_ms\":1500,\
         \"target_latency_ms\":300,\"priority\":2,\"service\":\"course-portal\",\
         \"max_attempts\":2,\"public\":false}}],\"services\":[{{\"name\":\"course-portal\",\
         \"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\",\
         \"tls\":false}}],\"limits\":{{\"max_header_bytes\":{max_header_bytes},\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\
         \"tokens_per_s\":440000}},\"tenants\":[{{\"name\":\"tenant-1\",\
         \"api_keys\":[\"key-1\"],\"priority\":1}}]}}"
    )
}
