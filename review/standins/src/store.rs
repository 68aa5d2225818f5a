//! A stand-in for the platform's store: linearizable, with revisions, watches and transactions.

use crate::http::{Message, MessageReader};
use crate::json::Json;
use crate::record::Record;
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The number of entries in a page of a listing.
const PAGE: usize = 500;
/// How long the store keeps the history of changes, as `history_s` of the settings says.
const HISTORY: Duration = Duration::from_secs(20);
/// How long an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Debug, Clone)]
struct Item {
    /// The value in base64.
    encoded: Arc<str>,
    revision: u64,
    created: u64,
}

#[derive(Debug, Clone)]
struct Change {
    key: String,
    revision: u64,
    /// `None` if the key was removed.
    item: Option<Item>,
    at: Instant,
}

#[derive(Default)]
struct Content {
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    /// The newest change that the history no longer has.
    forgotten: u64,
    revision: u64,
    /// How long each answer takes.
    delay: Duration,
    /// Loses the answers to the waiting watches of this prefix with the next change of its keys.
    lost_prefix: Option<String>,
    answers: u64,
    lost: u64,
}

impl Content {
    fn put(&mut self, key: &str, value: &[u8]) {
        self.forget();
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            encoded: encode_base64(value).into(),
            revision: self.revision,
            created,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(Change {
            key: key.to_owned(),
            revision: self.revision,
            item: Some(item),
            at: Instant::now(),
        });
    }

    /// Forgets the changes that are older than the history of the store.
    fn forget(&mut self) {
        let old = self
            .history
            .iter()
            .take_while(|change| change.at.elapsed() > HISTORY);
        if let Some(newest) = old.last().map(|change| change.revision) {
            self.forgotten = newest;
            self.history.retain(|change| change.revision > newest);
        }
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push(Change {
                key: key.to_owned(),
                revision: self.revision,
                item: None,
                at: Instant::now(),
            });
        }
    }
}

struct Shared {
    content: Mutex<Content>,
    changed: Condvar,
    record: Record,
}

/// The store on a loopback address.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    pub fn start(ip: &str, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self {
            address: listener.local_addr()?,
            shared: Arc::new(Shared {
                content: Mutex::default(),
                changed: Condvar::new(),
                record: record.clone(),
            }),
        };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a key as the operator or a server; returns its revision, which is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut content = self.shared.content.lock().unwrap();
        content.put(key, value.as_bytes());
        self.shared.changed.notify_all();
        content.revision
    }

    pub fn remove(&self, key: &str) {
        let mut content = self.shared.content.lock().unwrap();
        content.remove(key);
        self.shared.changed.notify_all();
    }

    /// Loses the answers to the watches of a prefix that wait now, when the next change of one of
    /// its keys is due there. Nothing more is said on their channels.
    pub fn lose_next_answers(&self, prefix: &str) {
        self.shared.content.lock().unwrap().lost_prefix = Some(prefix.to_owned());
    }

    /// Answers all calls from now on.
    pub fn answer_all(&self) {
        self.shared.content.lock().unwrap().lost_prefix = None;
    }

    /// Sets by how many times its answers take longer than usual.
    pub fn slow_down(&self, factor: u32) {
        self.shared.content.lock().unwrap().delay = ANSWER_TIME * factor;
    }

    /// Returns the number of answers so far, and how many were lost.
    pub fn answers(&self) -> (u64, u64) {
        let content = self.shared.content.lock().unwrap();
        (content.answers, content.lost)
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let (mut reader, mut stream) = (MessageReader::new(reading), stream);
        while let Ok(Some(request)) = reader.message() {
            let Some((status, body)) = self.handle(&request) else {
                // Once an answer is lost, nothing more is said on its channel.
                while let Ok(Some(_)) = reader.message() {}
                return;
            };
            let delay = self.shared.content.lock().unwrap().delay;
            thread::sleep(delay.max(ANSWER_TIME));
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> Option<(u16, String)> {
        let target = request.first.get(1).cloned().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let text = |name: &str| query.get(name).copied().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or_default();
        let answer = match path {
            "/-/kv-key" => Some(self.key(text("key_file"))),
            "/-/kv-range" => Some(self.range(text("path_prefix"), text("since_revision"))),
            "/-/kv-watch" => self.watch(
                text("path_prefix"),
                number("since_revision"),
                Duration::from_millis(number("wait_ms").min(30_000)),
            ),
            "/-/kv-txn" => Some(self.transact(&request.body)),
            _ => Some((404, "{}".to_owned())),
        };
        let mut content = self.shared.content.lock().unwrap();
        content.answers += 1;
        content.lost += u64::from(answer.is_none());
        answer
    }

    fn key(&self, key: &str) -> (u16, String) {
        let content = self.shared.content.lock().unwrap();
        match content.items.get(key) {
            Some(item) => {
                let fields = item_fields(key, item);
                (
                    200,
                    format!("{{{fields},\"timestamp\":{}}}", content.revision),
                )
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let content = self.shared.content.lock().unwrap();
        let items = content.items.iter();
        let mut items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let page: Vec<String> = items
            .by_ref()
            .take(PAGE)
            .map(|(key, item)| format!("{{{}}}", item_fields(key, item)))
            .collect();
        let has_more = items.next().is_some();
        let (entries, revision) = (page.join(","), content.revision);
        let body =
            format!("{{\"entries\":[{entries}],\"has_more\":{has_more},\"timestamp\":{revision}}}");
        (200, body)
    }

    /// Waits for changes; returns `None` if the answer is lost.
    fn watch(&self, prefix: &str, since: u64, wait: Duration) -> Option<(u16, String)> {
        let until = Instant::now() + wait;
        let mut content = self.shared.content.lock().unwrap();
        loop {
            content.forget();
            if since < content.forgotten {
                return Some((410, "{}".to_owned()));
            }
            let changes = content.history.iter();
            let changes: Vec<String> = changes
                .filter(|change| change.revision > since && change.key.starts_with(prefix))
                .map(change_text)
                .collect();
            if !changes.is_empty() && content.lost_prefix.as_deref() == Some(prefix) {
                drop(content);
                self.shared.record.line(format!(
                    "store: the answer to a watch of {prefix} since {since} is lost"
                ));
                return None;
            }
            let left = until.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                let (events, revision) = (changes.join(","), content.revision);
                return Some((
                    200,
                    format!("{{\"events\":[{events}],\"timestamp\":{revision}}}"),
                ));
            }
            content = self.shared.changed.wait_timeout(content, left).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(txn) = Json::parse(&String::from_utf8_lossy(body)) else {
            return (400, "{}".to_owned());
        };
        let list = |name: &str| txn.get(name).map(Json::list).unwrap_or_default();
        let mut content = self.shared.content.lock().unwrap();
        let key_of = |row: &Json| {
            let key = row.get("key_file").and_then(Json::text);
            key.unwrap_or_default().to_owned()
        };
        let is_met = list("expected_revision").iter().all(|row| {
            let known = content.items.get(&key_of(row));
            let expected = row.get("revision").and_then(Json::number).unwrap_or(0.0);
            known.map_or(0, |item| item.revision) == expected as u64
        });
        if !is_met {
            return (412, "{\"entries\":[]}".to_owned());
        }
        for row in list("write") {
            let value = row.get("value").and_then(Json::text).unwrap_or_default();
            content.put(&key_of(row), &decode_base64(value));
        }
        for key in list("remove") {
            content.remove(key.text().unwrap_or_default());
        }
        self.shared.changed.notify_all();
        (200, format!("{{\"revision\":{}}}", content.revision))
    }
}

fn item_fields(key: &str, item: &Item) -> String {
    let value = &item.encoded;
    let (revision, created) = (item.revision, item.created);
    format!(
        "\"key_file\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
         \"created\":{created},\"lease\":0"
    )
}

fn change_text(change: &Change) -> String {
    match &change.item {
        Some(item) => format!("{{{}}}", item_fields(&change.key, item)),
        None => format!(
            "{{\"key_file\":\"{}\",\"revision\":{},\"deleted\":true}}",
            change.key, change.revision
        ),
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let padded = [
            group[0],
            *group.get(1).unwrap_or(&0),
            *group.get(2).unwrap_or(&0),
        ];
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for place in 0..4 {
            let index = (bits >> (18 - 6 * place)) & 63;
            text.push(match place <= group.len() {
                true => char::from(ALPHABET[index as usize]),
                false => '=',
            });
        }
    }
    text
}

fn decode_base64(text: &str) -> Vec<u8> {
    let digits = text
        .bytes()
        .filter_map(|byte| ALPHABET.iter().position(|known| *known == byte));
    let digits: Vec<usize> = digits.collect();
    let mut bytes = Vec::new();
    for group in digits.chunks(4) {
        let bits = group.iter().fold(0, |bits, digit| bits << 6 | digit) << (6 * (4 - group.len()));
        let decoded = [(bits >> 16) as u8, (bits >> 8) as u8, bits as u8];
        bytes.extend(&decoded[..group.len().saturating_sub(1)]);
    }
    bytes
}
