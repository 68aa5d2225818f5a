//! A small deployment on loopback: a store, servers and gateways.

use crate::gateway::{Gateway, Machine, Ports};
use crate::record::Record;
use crate::server::{Behaviour, Server};
use crate::store::Store;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

/// A folder for settings and logs; removed on drop.
pub struct Folder(PathBuf);

impl Folder {
    pub fn create() -> io::Result<Self> {
        let name = format!("dockgate-review-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A zone with the number of its machines and servers.
#[derive(Clone, Copy)]
pub struct Zone {
    pub name: &'static str,
    pub machines: usize,
    pub servers: usize,
}

/// A service and how its servers answer.
#[derive(Clone, Copy)]
pub struct ServiceSpec {
    pub name: &'static str,
    pub capacity: u32,
    pub behaviour: Behaviour,
}

/// A running deployment.
pub struct Fleet {
    pub gateways: Vec<Gateway>,
    pub servers: Vec<Server>,
    pub store: Store,
    /// The number of the loopback network.
    pub network: u32,
    _folder: Folder,
}

impl Fleet {
    /// Starts a store with a configuration, the servers of one service, and the gateways.
    pub fn start(
        zones: &[Zone],
        service: ServiceSpec,
        config: &str,
        record: &Record,
    ) -> io::Result<Self> {
        let network = 20 + std::process::id() % 200;
        let ip = |host: usize| format!("127.{network}.0.{host}");
        let store = Store::start(&ip(250), record)?;
        store.put("op/config", config);
        let ServiceSpec {
            name,
            capacity,
            behaviour,
        } = service;
        let mut servers = Vec::new();
        let mut machines = Vec::new();
        for zone in zones {
            for _ in 0..zone.servers {
                let number = servers.len() + 1;
                let (id, ip) = (format!("i-{number}"), ip(100 + number));
                let server =
                    Server::start(&id, "v1", name, zone.name, &ip, capacity, behaviour, record)?;
                let (key, value) = server.entry("ready", 1);
                store.put(&key, &value);
                servers.push(server);
            }
            for number in 1..=zone.machines {
                machines.push(Machine {
                    name: format!("edge-{}-{number}", zone.name),
                    zone: zone.name.to_owned(),
                    ip: ip(machines.len() + 1),
                });
            }
        }
        let ips: Vec<String> = machines.iter().map(|machine| machine.ip.clone()).collect();
        let ports = Ports::find(&ips)?;
        let folder = Folder::create()?;
        let started = machines
            .iter()
            .map(|machine| Gateway::start(machine, &machines, ports, store.address, folder.path()));
        let gateways = started.collect::<io::Result<Vec<Gateway>>>()?;
        for gateway in &gateways {
            gateway.wait_until_ready()?;
            record.line(format!("{} is ready", gateway.name));
        }
        Ok(Self {
            gateways,
            servers,
            store,
            network,
            _folder: folder,
        })
    }
}

/// Returns a configuration with a plain service: a route that may not be repeated, one that may, and
/// idle routes.
pub fn plain_config(version: u64, keys: &[&str], idle_routes: usize) -> String {
    let route = |name: &str, kind: &str, timeout_ms: u64| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"ci.example\",\"path_prefix\":\"/{name}/\",\
             \"type\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":100,\
             \"priority\":2,\"service\":\"pipeline-api\",\"max_attempts\":1,\"public\":false}}"
        )
    };
    let mut routes = vec![
        route("build-status", "non_idempotent", 15_000),
        route("artifact-lookup", "idempotent", 15_000),
    ];
    routes.extend(
        (0..idle_routes).map(|number| route(&format!("idle-{number}"), "idempotent", 1_500)),
    );
    let service = "{\"name\":\"pipeline-api\",\"health_path\":\"/healthz\",\
                   \"max_connections\":96,\"protocol\":\"h1\",\"tls\":false}";
    whole_config(version, &routes.join(","), service, keys)
}

/// A route of streams.
pub struct StreamRoute {
    pub name: &'static str,
    pub timeout_ms: u64,
    pub attempts: u32,
    pub resumable: bool,
}

/// `crew-question` of the site pistas-ec-grown.
pub const CREW_QUESTION: StreamRoute = StreamRoute {
    name: "crew-question",
    timeout_ms: 4_000,
    attempts: 1,
    resumable: false,
};

/// `review-summary` of the site kcbu-dockgate.
pub const REVIEW_SUMMARY: StreamRoute = StreamRoute {
    name: "review-summary",
    timeout_ms: 6_000,
    attempts: 2,
    resumable: true,
};

/// Returns a configuration with a service of engines and a route of streams.
pub fn stream_config(version: u64, keys: &[&str], route: &StreamRoute) -> String {
    let StreamRoute {
        name,
        timeout_ms,
        attempts,
        resumable,
    } = route;
    let route = format!(
        "{{\"name\":\"{name}\",\"host\":\"ci.example\",\"path_prefix\":\"/{name}/\",\
         \"type\":\"streaming\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":600,\
         \"target_gap_ms\":500,\"priority\":1,\"service\":\"brief-llm\",\
         \"max_attempts\":{attempts},\"public\":false,\"sticky\":true,\
         \"resumable\":{resumable}}}"
    );
    let service = "{\"name\":\"brief-llm\",\"health_path\":\"/healthz\",\
                   \"max_connections\":680,\"protocol\":\"h1\",\"tls\":false,\
                   \"engine\":{\"capacity\":64,\"kv_capacity_tokens\":222979,\
                   \"models\":[{\"name\":\"m\"}]}}";
    whole_config(version, &route, service, keys)
}

fn whole_config(version: u64, routes: &str, service: &str, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{service}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tokens_per_s\":390000}},\
         \"tenants\":[{{\"name\":\"water-board\",\"api_keys\":[{}],\"priority\":1}}]}}",
        keys.join(",")
    )
}

/// Returns a request id that was not used before.
pub fn next_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!(
        "{:08x}{:08x}",
        std::process::id(),
        NEXT.fetch_add(1, Ordering::Relaxed)
    )
}

/// Returns a request on a route with a key.
pub fn request(
    method: &str,
    route: &str,
    id: &str,
    key: &str,
    deadline_ms: u64,
    body: &str,
) -> String {
    let length = body.len();
    format!(
        "{method} /{route}/2f HTTP/1.1\r\nHost: ci.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {key}\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
}
