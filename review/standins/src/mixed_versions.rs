//! A gateway that is killed as the first server of a new version has appeared, and streams that their
//! requesters take up at gateways that do not know that version yet.

use crate::fleet::{Fleet, REVIEW_SUMMARY, ServiceSpec, Zone, next_id, stream_config};
use crate::http::{MessageReader, connect};
use crate::record::Record;
use crate::server::{Behaviour, Server};
use std::collections::BTreeSet;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

const KEY: &str = "k7b2ex5wa5xwyhks8nbk";
const ZONES: [Zone; 1] = [Zone {
    name: "half-way-tree",
    machines: 6,
    servers: 2,
}];
const STREAMS: usize = 45;
const EVENTS: usize = 40;
/// The time budget of a requester.
const BUDGET: Duration = Duration::from_millis(6_000);
/// For how long all gateways have run in touch before: a stream can be taken up for twice the
/// timeout of its route.
const CALM_TIME: Duration = Duration::from_secs(17);
/// The time from the entry of the new server to the kill.
const KILL_AFTER: Duration = Duration::from_millis(100);
/// More streams than this may not hold events of two versions.
const MOST_MIXED: usize = 2;

/// A stream as its requester sees it.
struct Stream {
    id: String,
    text: String,
    taken_up: Option<String>,
}

struct Requester {
    first: SocketAddr,
    next: SocketAddr,
    next_name: String,
    begin: Arc<Barrier>,
    record: Record,
}

impl Requester {
    fn run(&self) -> io::Result<Stream> {
        let mut stream = Stream {
            id: next_id(),
            text: String::new(),
            taken_up: None,
        };
        let channel = connect(self.first, BUDGET)?;
        self.begin.wait();
        let started = Instant::now();
        let id = stream.id.clone();
        self.record.line(format!("sends {id}"));
        let read = read_stream(channel, &id, None, &id, BUDGET, &mut stream.text);
        let Err(error) = read else {
            return Ok(stream);
        };
        let events = stream.text.matches("\n\n").count();
        self.record
            .line(format!("gets {events} events for {id}, then: {error}"));
        if events == 0 {
            return Ok(stream);
        }
        // An event may have arrived in part.
        let whole = stream.text.rfind("\n\n").map_or(0, |end| end + 2);
        stream.text.truncate(whole);
        let again = next_id();
        let left = BUDGET.saturating_sub(started.elapsed());
        let name = &self.next_name;
        self.record.line(format!(
            "takes {id} up after event {events} as {again} at {name}"
        ));
        stream.taken_up = Some(again.clone());
        let channel = connect(self.next, left)?;
        let read = read_stream(channel, &again, Some(events), &id, left, &mut stream.text);
        if let Err(error) = read {
            self.record
                .line(format!("gets no further whole answer for {again}: {error}"));
        }
        Ok(stream)
    }
}

fn read_stream(
    mut channel: std::net::TcpStream,
    id: &str,
    after: Option<usize>,
    began: &str,
    left: Duration,
    text: &mut String,
) -> io::Result<()> {
    let taken_up = after.map_or(String::new(), |event| {
        format!("Last-Event-Id: {event}\r\nResumes: {began}\r\n")
    });
    let request = format!(
        "POST /review-summary/2f HTTP/1.1\r\nHost: ci.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {}\r\nAuthorization: Token {KEY}\r\nX-Model: m\r\n\
         X-Token-Usage: 100,40\r\nX-Prefix-Hash: {began}:100\r\n{taken_up}\
         Content-Length: 2\r\n\r\n{{}}",
        left.as_millis()
    );
    channel.write_all(request.as_bytes())?;
    let mut reader = MessageReader::new(channel);
    let head = reader
        .head()?
        .ok_or_else(|| io::Error::other("closed without an answer"))?;
    if head.status() != 200 {
        return Err(io::Error::other(format!("status {}", head.status())));
    }
    while let Some(chunk) = reader.chunk()? {
        text.push_str(&String::from_utf8_lossy(&chunk));
    }
    Ok(())
}

/// Returns the indices of the gateways that read a version of the configuration from the store.
fn followers(fleet: &Fleet, version: u64) -> BTreeSet<usize> {
    let wanted = format!("\"version\":{version},\"source\":\"store\"");
    let gateways = fleet.gateways.iter().enumerate();
    let following = gateways.filter(|(_, gateway)| gateway.logged().contains(&wanted));
    following.map(|(index, _)| index).collect()
}

/// Plays the case; returns whether the rule held.
pub fn play(record: &Record, is_disrupted: bool) -> io::Result<bool> {
    let behaviour = Behaviour::Stream {
        events: EVENTS,
        bytes: 45,
        interval: Duration::from_millis(20),
    };
    let service = ServiceSpec {
        name: "brief-llm",
        capacity: 64,
        behaviour,
    };
    let config = |version| stream_config(version, &[KEY], &REVIEW_SUMMARY);
    let mut fleet = Fleet::start(&ZONES, service, &config(3), record)?;
    thread::sleep(CALM_TIME);
    fleet.store.put("op/config", &config(5));
    thread::sleep(Duration::from_millis(1_500));
    let following = followers(&fleet, 5);
    let Some(victim) = following.first().copied() else {
        return Err(io::Error::other("no gateway follows the store"));
    };
    let others = (0..fleet.gateways.len()).filter(|index| !following.contains(index));
    let others: Vec<usize> = others.collect();
    record.line(format!(
        "gateways that follow the store: {following:?}; killed: {victim}"
    ));

    let begin = Arc::new(Barrier::new(STREAMS + 1));
    let requesters = (0..STREAMS).map(|number| {
        let next = &fleet.gateways[others[number % others.len()]];
        let requester = Requester {
            first: fleet.gateways[victim].frontend,
            next: next.frontend,
            next_name: next.name.clone(),
            begin: begin.clone(),
            record: record.clone(),
        };
        thread::spawn(move || requester.run())
    });
    let requesters: Vec<_> = requesters.collect();
    thread::sleep(Duration::from_millis(300));
    let ip = format!("127.{}.0.200", fleet.network);
    let server = Server::start(
        "i-new",
        "v2",
        "brief-llm",
        ZONES[0].name,
        &ip,
        64,
        behaviour,
        record,
    )?;
    let (key, value) = server.entry("ready", 1);
    fleet.store.put(&key, &value);
    let started = Instant::now();
    record.line("i-new: ready, the first server of v2");
    thread::sleep(Duration::from_millis(10));
    begin.wait();
    thread::sleep(KILL_AFTER.saturating_sub(started.elapsed()));
    if is_disrupted {
        fleet.gateways[victim].kill();
        record.line(format!("SIGKILL to {}", fleet.gateways[victim].name));
    }
    let (mut mixed, mut taken_up, mut at_new) = (0, 0, 0);
    for requester in requesters {
        let Ok(Ok(stream)) = requester.join() else {
            continue;
        };
        taken_up += usize::from(stream.taken_up.is_some());
        let versions =
            ["v1", "v2"].map(|version| stream.text.contains(&format!("data: {version}")));
        at_new += usize::from(versions[1]);
        if versions == [true, true] {
            mixed += 1;
            let Stream { id, taken_up, .. } = &stream;
            let taken_up = taken_up.as_deref().unwrap_or("itself");
            record.line(format!(
                "ORDER: {id}, taken up as {taken_up}, has events of v1 and v2"
            ));
        }
    }
    for gateway in &fleet.gateways {
        let logged = gateway.logged();
        for line in logged.lines().filter(|line| line.contains("\"taken_up\"")) {
            record.line(format!("log of {}: {line}", gateway.name));
        }
    }
    record.line(format!(
        "judged: {STREAMS} streams, {at_new} of them with events of v2, {taken_up} taken up: {mixed} \
         hold events of two versions, {MOST_MIXED} allowed"
    ));
    Ok(mixed <= MOST_MIXED)
}
