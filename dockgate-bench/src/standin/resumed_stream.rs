//! A stream that a caller receives with one request or more, at any boxes.

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Collected, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;
use tokio::net::TcpStream;

/// The sender of a connection that a caller keeps.
pub type KeptSender = SendRequest<Full<Bytes>>;

/// What a caller requests.
#[derive(Debug, Clone, Copy)]
pub struct StreamShape {
    /// The number of events of the whole stream.
    pub events: u64,
    /// The time limit of each request, in milliseconds.
    pub budget_ms: u64,
}

/// A stream as its caller received it.
#[derive(Debug)]
pub struct ResumedStream {
    shape: StreamShape,
    /// The shared part of its prompt; streams with different ones are spread over all endpoints.
    subject: u64,
    /// The ids of its requests.
    pub ids: Vec<String>,
    /// The number of requests that took it up.
    pub tries: usize,
    /// The number of those that brought further events.
    pub continued: usize,
    /// The number of its requests that were refused, by the text of the answer.
    pub refusals: BTreeMap<String, usize>,
    /// The versions whose events it holds.
    pub versions: BTreeSet<String>,
    /// When its first event was received.
    pub began_at: Option<Instant>,
    last_event: u64,
    is_gapless: bool,
    /// The id of the request that brought the first event.
    began: Option<String>,
}

impl ResumedStream {
    /// Creates a stream of which nothing is received yet.
    #[must_use]
    pub const fn new(shape: StreamShape, subject: u64) -> Self {
        Self {
            shape,
            subject,
            ids: Vec::new(),
            tries: 0,
            continued: 0,
            refusals: BTreeMap::new(),
            versions: BTreeSet::new(),
            began_at: None,
            last_event: 0,
            is_gapless: true,
            began: None,
        }
    }

    /// Returns the number of events that were received.
    #[must_use]
    pub const fn received(&self) -> u64 {
        self.last_event
    }

    /// Returns whether all events were received.
    #[must_use]
    pub const fn is_whole(&self) -> bool {
        self.last_event == self.shape.events
    }

    /// Lists what is wrong with the events.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let id = self.ids.first().map_or("", String::as_str);
        let problems = [
            (
                self.versions.len() > 1,
                format!("{id}: events of the versions {:?}", self.versions),
            ),
            (
                !self.is_gapless,
                format!("{id}: an event is missing or came twice"),
            ),
        ];
        let problems = problems.into_iter().filter(|(found, _)| *found);
        problems.map(|(_, problem)| problem).collect()
    }

    fn request(&self, id: &str) -> Request<Full<Bytes>> {
        let StreamShape { events, budget_ms } = self.shape;
        let mut builder = Request::builder()
            .method("POST")
            .uri("/live/x")
            .header("host", "h.example")
            .header("authorization", "Token k1")
            .header("x-request-id", id)
            .header("x-deadline-ms", budget_ms)
            .header("x-model", "m")
            .header("x-token-usage", format!("500,{events}"))
            .header("x-prefix-hash", format!("{:x}:500", self.subject));
        if let Some(began) = &self.began {
            builder = builder
                .header("last-event-id", self.last_event)
                .header("resumes", began);
        }
        let body = Full::new(Bytes::from_static(b"hello"));
        builder.body(body).expect("a request made of constants")
    }

    /// Receives the lines of complete events: their ids, and data that ends with a version.
    fn receive(&mut self, lines: &str, request: &str) {
        for line in lines.lines() {
            if let Some(event) = line.strip_prefix("id: ") {
                let event = event.parse().unwrap_or(0);
                self.is_gapless &= event == self.last_event + 1;
                self.last_event = event;
                self.began.get_or_insert_with(|| request.to_owned());
                self.began_at.get_or_insert_with(Instant::now);
            }
            if let Some((_, version)) = line.rsplit_once(" at ") {
                self.versions.insert(version.to_owned());
            }
        }
    }

    /// Sends one request and reads up to `leave_after` events of its answer. The events that were
    /// read stay received if this is cancelled.
    pub async fn attempt(&mut self, id: String, gateway: SocketAddr, leave_after: u64) {
        self.attempt_on(&mut None, id, gateway, leave_after).await;
    }

    /// Sends one request on the connection in `kept`, or on a new one that is kept while it is open.
    pub async fn attempt_on(
        &mut self,
        kept: &mut Option<KeptSender>,
        id: String,
        gateway: SocketAddr,
        leave_after: u64,
    ) {
        self.ids.push(id.clone());
        let is_taken_up = self.began.is_some();
        self.tries += usize::from(is_taken_up);
        let (continued, before) = (self.continued, self.last_event);
        let open = kept.take().filter(|sender| !sender.is_closed());
        let sender = match open {
            Some(sender) => Some(sender),
            None => connect(gateway).await,
        };
        let Some(sender) = sender else {
            return self.refuse("no connection");
        };
        let answered = kept.insert(sender).send_request(self.request(&id)).await;
        let Ok(mut response) = answered else {
            return self.refuse("no answer");
        };
        if response.status() != StatusCode::OK {
            let body = response.into_body().collect().await;
            let body = body.map(Collected::to_bytes).unwrap_or_default();
            return self.refuse(String::from_utf8_lossy(&body).trim());
        }
        let until = before + leave_after;
        let mut pending = String::new();
        while self.last_event < until {
            let Some(Ok(frame)) = response.frame().await else {
                return;
            };
            let text = frame.data_ref().map(|data| String::from_utf8_lossy(data));
            pending.push_str(&text.unwrap_or_default());
            let Some(end) = pending.rfind("\n\n") else {
                continue;
            };
            let rest = pending.split_off(end + 2);
            let events = std::mem::replace(&mut pending, rest);
            self.receive(&events, &id);
            self.continued = continued + usize::from(is_taken_up && self.last_event > before);
        }
    }

    fn refuse(&mut self, reason: &str) {
        *self.refusals.entry(reason.to_owned()).or_default() += 1;
    }
}

async fn connect(gateway: SocketAddr) -> Option<KeptSender> {
    let stream = TcpStream::connect(gateway).await.ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}
