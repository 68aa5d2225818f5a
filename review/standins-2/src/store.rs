//! A stand-in of the platform's store: keys, watches and leases as PROTOCOL.md has them.

use crate::http::{parameter, Conn, Head};
use crate::json::{decode_base64, encode_base64, Json};
use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Debug, Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Change {
    key: String,
    revision: u64,
    at: Instant,
    /// `None` for a removal.
    item: Option<Item>,
}

#[derive(Default)]
struct Keys {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    leases: BTreeMap<u64, (Instant, u64)>,
    last_lease: u64,
    /// How old the answers to reads with `serializable` are.
    staleness: Duration,
    /// The prefix of the watches whose answers are lost.
    lost_watches: Option<String>,
    lost_answers: usize,
}

impl Keys {
    fn write(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(Change {
            key: key.to_owned(),
            revision,
            at: Instant::now(),
            item: Some(item),
        });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push(Change {
                key: key.to_owned(),
                revision: self.revision,
                at: Instant::now(),
                item: None,
            });
        }
    }

    /// Returns the items with a prefix, and the revision, as they were `staleness` ago.
    fn stale_items(&self, prefix: &str) -> (BTreeMap<String, Item>, u64) {
        let (mut items, mut revision) = (BTreeMap::new(), 0);
        let is_old = |change: &&Change| change.at.elapsed() >= self.staleness;
        for change in self.history.iter().take_while(is_old) {
            revision = change.revision;
            match &change.item {
                Some(item) => items.insert(change.key.clone(), item.clone()),
                None => items.remove(&change.key),
            };
        }
        items.retain(|key, _| key.starts_with(prefix));
        (items, revision)
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (until, _))| *until <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "\"key_file\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}",
        encode_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

#[derive(Clone)]
pub struct Store(Arc<(Mutex<Keys>, Condvar)>);

/// An address at which a store can be called until it is closed.
#[derive(Clone, Default)]
pub struct Door {
    is_closed: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Door {
    /// Refuses new channels from now on, and closes those that are open.
    pub fn close(&self, address: SocketAddr) {
        self.is_closed.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the listener, which ends.
        let _ = TcpStream::connect_timeout(&address, Duration::from_millis(200));
    }
}

impl Store {
    pub fn empty() -> Store {
        Store(Arc::default())
    }

    pub fn start(address: SocketAddr) -> io::Result<Store> {
        let store = Store::empty();
        store.listen(address)?;
        Ok(store)
    }

    /// Serves the same keys at one more address.
    pub fn listen(&self, address: SocketAddr) -> io::Result<Door> {
        let listener = TcpListener::bind(address)?;
        let (store, door) = (self.clone(), Door::default());
        let opened = door.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if door.is_closed.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(known) = stream.try_clone() {
                    door.open.lock().unwrap().push(known);
                }
                let store = store.clone();
                thread::spawn(move || store.serve(Conn::new(stream)));
            }
        });
        Ok(opened)
    }

    /// Writes a key, as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut keys = self.0 .0.lock().unwrap();
        keys.revision += 1;
        keys.write(key, value.as_bytes().to_vec(), 0);
        self.0 .1.notify_all();
        keys.revision
    }

    /// Sets how old the answers to reads with `serializable` are.
    pub fn set_staleness(&self, staleness: Duration) {
        self.0 .0.lock().unwrap().staleness = staleness;
    }

    /// Loses the answers to watches of a prefix from now on, or no more.
    pub fn lose_watches(&self, prefix: Option<&str>) {
        self.0 .0.lock().unwrap().lost_watches = prefix.map(str::to_owned);
    }

    pub fn lost_answers(&self) -> usize {
        self.0 .0.lock().unwrap().lost_answers
    }

    /// Returns whether the answer to a call is lost; an answer to a watch without news is not.
    fn loses(&self, head: &Head, answer: &str) -> bool {
        let mut keys = self.0 .0.lock().unwrap();
        let watched = parameter(head.target(), "path_prefix").unwrap_or_default();
        let is_lost = head.target().starts_with("/-/kv-watch")
            && keys.lost_watches.as_deref() == Some(&watched)
            && !answer.contains("\"events\":[]");
        keys.lost_answers += usize::from(is_lost);
        is_lost
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(head)) = conn.read_head() {
            let Ok(body) = conn.read_body(&head) else {
                return;
            };
            let (status, text) = self.answer(&head, &String::from_utf8_lossy(&body));
            if self.loses(&head, &text) {
                // Nothing more is said on this channel, which stays open.
                thread::sleep(Duration::from_secs(600));
                return;
            }
            let answer = format!(
                "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if conn.write(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let target = head.target();
        let path = target.split('?').next().unwrap_or("");
        let prefix = parameter(target, "path_prefix").unwrap_or_default();
        let since = parameter(target, "since_revision").unwrap_or_default();
        match (head.method(), path) {
            ("GET", "/-/kv-key") => {
                let key = parameter(target, "key_file").unwrap_or_default();
                let keys = self.0 .0.lock().unwrap();
                match keys.items.get(&key) {
                    Some(item) => {
                        let item = item_json(&key, item);
                        (200, format!("{{{item},\"timestamp\":{}}}", keys.revision))
                    }
                    None => (404, format!("{{\"timestamp\":{}}}", keys.revision)),
                }
            }
            ("GET", "/-/kv-range") => {
                let is_stale = parameter(target, "serializable").as_deref() == Some("1");
                self.range(&prefix, &since, is_stale)
            }
            ("GET", "/-/kv-watch") => {
                let wait = parameter(target, "wait_ms").and_then(|wait| wait.parse().ok());
                let wait = Duration::from_millis(wait.unwrap_or(0));
                self.watch(&prefix, since.parse().unwrap_or(0), wait)
            }
            ("POST", "/-/kv-txn") => self.transact(body),
            ("POST", "/-/kv-lease") => {
                let ttl_ms = Json::parse(body)
                    .and_then(|body| body.get("ttl_ms")?.number())
                    .unwrap_or(1_000)
                    .clamp(1_000, 600_000);
                let mut keys = self.0 .0.lock().unwrap();
                keys.last_lease += 1;
                let id = keys.last_lease;
                let until = Instant::now() + Duration::from_millis(ttl_ms);
                keys.leases.insert(id, (until, ttl_ms));
                (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl_ms}}}"))
            }
            (method, path) => {
                let id = path.rsplit('/').next().and_then(|id| id.parse().ok());
                let id: u64 = id.unwrap_or(0);
                let mut keys = self.0 .0.lock().unwrap();
                keys.expire_leases();
                let known = keys.leases.get(&id).copied();
                match known {
                    Some((_, ttl_ms)) if method == "POST" && path.starts_with("/-/kv-keep/") => {
                        let until = Instant::now() + Duration::from_millis(ttl_ms);
                        keys.leases.insert(id, (until, ttl_ms));
                        (200, format!("{{\"ttl_ms\":{ttl_ms}}}"))
                    }
                    Some(_) if method == "DELETE" && path.starts_with("/-/kv-lease-end/") => {
                        keys.end_lease(id);
                        self.0 .1.notify_all();
                        (200, "{}".to_owned())
                    }
                    _ => (404, "{}".to_owned()),
                }
            }
        }
    }

    fn range(&self, prefix: &str, after: &str, is_stale: bool) -> (u16, String) {
        const PAGE: usize = 500;
        let mut keys = self.0 .0.lock().unwrap();
        keys.expire_leases();
        let (items, revision) = match is_stale {
            true => keys.stale_items(prefix),
            false => (keys.items.clone(), keys.revision),
        };
        let found = items.iter();
        let found = found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let entries: Vec<String> = found
            .take(PAGE + 1)
            .map(|(key, item)| format!("{{{}}}", item_json(key, item)))
            .collect();
        let has_more = entries.len() > PAGE;
        let entries = entries[..entries.len().min(PAGE)].join(",");
        (
            200,
            format!("{{\"entries\":[{entries}],\"has_more\":{has_more},\"timestamp\":{revision}}}"),
        )
    }

    fn watch(&self, prefix: &str, since: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut keys = self.0 .0.lock().unwrap();
        loop {
            let changes = keys.history.iter();
            let changes =
                changes.filter(|change| change.revision > since && change.key.starts_with(prefix));
            let events: Vec<String> = changes
                .map(|change| match &change.item {
                    Some(item) => format!("{{{}}}", item_json(&change.key, item)),
                    None => format!(
                        "{{\"key_file\":\"{}\",\"revision\":{},\"deleted\":true}}",
                        change.key, change.revision
                    ),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = keys.revision.max(since);
                let events = events.join(",");
                return (
                    200,
                    format!("{{\"events\":[{events}],\"timestamp\":{revision}}}"),
                );
            }
            keys = self.0 .1.wait_timeout(keys, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(txn) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let none = Json::List(Vec::new());
        let list = |name: &str| txn.get(name).unwrap_or(&none).list().to_vec();
        let key_of = |row: &Json| row.get("key_file").and_then(Json::text).map(str::to_owned);
        let number_of = |row: &Json, name: &str| row.get(name).and_then(Json::number).unwrap_or(0);
        let mut keys = self.0 .0.lock().unwrap();
        keys.expire_leases();
        let conditions = list("expected_revision");
        let holds = conditions.iter().all(|row| {
            let item = key_of(row).and_then(|key| keys.items.get(&key).map(|item| item.revision));
            item.unwrap_or(0) == number_of(row, "revision")
        });
        if !holds {
            let current = conditions.iter().filter_map(key_of);
            let current = current.filter_map(|key| {
                let item = keys.items.get(&key)?;
                Some(format!("{{{}}}", item_json(&key, item)))
            });
            let current: Vec<String> = current.collect();
            return (412, format!("{{\"entries\":[{}]}}", current.join(",")));
        }
        let writes = list("write");
        let has_leases = writes.iter().all(|row| {
            let lease = number_of(row, "lease");
            lease == 0 || keys.leases.contains_key(&lease)
        });
        if !has_leases {
            return (404, "{}".to_owned());
        }
        keys.revision += 1;
        for row in &writes {
            let value = row.get("value").and_then(Json::text).unwrap_or("");
            if let Some(key) = key_of(row) {
                keys.write(&key, decode_base64(value), number_of(row, "lease"));
            }
        }
        for key in list("remove").iter().filter_map(Json::text) {
            keys.remove(key);
        }
        self.0 .1.notify_all();
        (200, format!("{{\"revision\":{}}}", keys.revision))
    }
}
