//! Requesters that read slowly while a gateway is stopped in order.

use crate::fleet::{CREW_QUESTION, Fleet, ServiceSpec, Zone, next_id, stream_config};
use crate::http::MessageReader;
use crate::record::Record;
use crate::server::{Behaviour, event};
use crate::small_window::connect_with_buffer;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

const ZONES: [Zone; 1] = [Zone {
    name: "quito-a",
    machines: 2,
    servers: 3,
}];
const KEY: &str = "k7b2ex5wa5xwyhks8nbk";
const GRACE: Duration = Duration::from_secs(8);
/// The time budget of a requester.
const BUDGET: Duration = Duration::from_secs(4);
const EVENTS: usize = 20;
const EVENT_BYTES: usize = 300;
/// The receive buffer of a requester, about the window of its connection.
const WINDOW_BYTES: i32 = 2_048;
/// How long a slow requester does not read after the first event.
const PAUSE: Duration = Duration::from_millis(3_500);
const REQUESTERS: usize = 8;

/// The outcome of one stream, as its requester saw it.
struct Outcome {
    id: String,
    gateway: String,
    events: usize,
    /// Why the channel ended, if the answer is not complete.
    problem: Option<String>,
}

struct Requester {
    gateway: String,
    address: SocketAddr,
    pause: Duration,
    record: Record,
}

impl Requester {
    fn run(&self) -> Outcome {
        let id = next_id();
        let mut text = String::new();
        let read = self.read_stream(&id, &mut text);
        let events = text.matches("\n\n").count();
        let expected: String = (1..=EVENTS)
            .map(|number| event(number, "v1", EVENT_BYTES))
            .collect();
        let problem = match read {
            Ok(()) if text == expected => None,
            Ok(()) => Some("ended as complete with other events".to_owned()),
            Err(error) => Some(error.to_string()),
        };
        self.record.line(match &problem {
            None => format!("gets the whole answer to {id}: {events} events"),
            Some(problem) => format!("gets {events} of {EVENTS} events for {id}, then: {problem}"),
        });
        Outcome {
            id,
            gateway: self.gateway.clone(),
            events,
            problem,
        }
    }

    fn read_stream(&self, id: &str, text: &mut String) -> io::Result<()> {
        let started = Instant::now();
        let mut stream = connect_with_buffer(self.address, WINDOW_BYTES)?;
        stream.set_read_timeout(Some(BUDGET))?;
        let body = "{}";
        let request = format!(
            "POST /crew-question/2f HTTP/1.1\r\nHost: ci.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: {}\r\nAuthorization: Token {KEY}\r\nX-Model: m\r\n\
             X-Token-Usage: 2368,80\r\nX-Prefix-Hash: 5c1e07a2:568,{id}:1800\r\n\
             Content-Length: {}\r\n\r\n{body}",
            BUDGET.as_millis(),
            body.len()
        );
        self.record.line(format!("sends {id} to {}", self.gateway));
        stream.write_all(request.as_bytes())?;
        let mut reader = MessageReader::new(stream);
        let head = reader
            .head()?
            .ok_or_else(|| io::Error::other("closed without an answer"))?;
        if head.status() != 200 {
            return Err(io::Error::other(format!("status {}", head.status())));
        }
        let mut paused = false;
        while let Some(chunk) = reader.chunk()? {
            text.push_str(&String::from_utf8_lossy(&chunk));
            if !std::mem::replace(&mut paused, true) {
                thread::sleep(self.pause);
            }
            if started.elapsed() > BUDGET {
                return Err(io::Error::other("the time budget has passed"));
            }
        }
        Ok(())
    }
}

/// Plays the case; returns whether the rule held.
pub fn play(record: &Record, is_disrupted: bool) -> io::Result<bool> {
    let service = ServiceSpec {
        name: "brief-llm",
        capacity: 64,
        behaviour: Behaviour::Stream {
            events: EVENTS,
            bytes: EVENT_BYTES,
            interval: Duration::from_millis(10),
        },
    };
    let mut fleet = Fleet::start(
        &ZONES,
        service,
        &stream_config(3, &[KEY], &CREW_QUESTION),
        record,
    )?;
    thread::sleep(Duration::from_secs(4));
    let pause = match is_disrupted {
        true => PAUSE,
        false => Duration::ZERO,
    };
    let mut requesters = Vec::new();
    for gateway in &fleet.gateways {
        for _ in 0..REQUESTERS {
            let requester = Requester {
                gateway: gateway.name.clone(),
                address: gateway.frontend,
                pause,
                record: record.clone(),
            };
            requesters.push(thread::spawn(move || requester.run()));
        }
    }
    thread::sleep(Duration::from_millis(100));
    let stopped = fleet.gateways[0].name.clone();
    fleet.gateways[0].signal("TERM")?;
    let stopped_ms = record.line(format!("platform: SIGTERM to {stopped}"));

    let until = Instant::now() + GRACE;
    while Instant::now() < until && !fleet.gateways[0].has_ended() {
        thread::sleep(Duration::from_millis(20));
    }
    match fleet.gateways[0].has_ended() {
        true => record.line(format!("{stopped} has ended by itself")),
        false => record.line(format!("{stopped} still runs at the end of its grace")),
    };
    let outcomes: Vec<Outcome> = requesters
        .into_iter()
        .filter_map(|requester| requester.join().ok())
        .collect();
    let mut broken = 0;
    for outcome in &outcomes {
        let Outcome {
            id,
            gateway,
            events,
            problem: Some(problem),
        } = outcome
        else {
            continue;
        };
        let has_run = fleet
            .servers
            .iter()
            .any(|server| server.runs().iter().any(|run| run.id == *id));
        let is_answered = fleet.servers.iter().any(|server| server.has_answered(id));
        let is_lost = *gateway == stopped && has_run && is_answered;
        broken += usize::from(is_lost);
        let rule = if is_lost { "LOST" } else { "not judged" };
        record.line(format!(
            "{rule}: {id} at {gateway}: the server answered whole: {is_answered}; the requester \
             got {events} of {EVENTS} events, then: {problem}"
        ));
    }
    record.line(format!(
        "judged: {REQUESTERS} requests at {stopped}, sent less than 1 s before its SIGTERM at \
         {stopped_ms} ms: {broken} without a complete answer"
    ));
    Ok(broken == 0)
}
