//! Routes, services and workspaces of one accepted configuration, indexed for look-ups.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Names one lifetime of an endpoint: a hash of its id and of when it started, so that every box
/// derives the same key.
///
/// An endpoint may start again under its id, and holds and knows nothing of before then. All that
/// boxes believe of an endpoint is kept under this key, so that nothing of one lifetime is taken
/// for the next one's.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(transparent)]
pub struct EndpointId(pub u64);

impl EndpointId {
    /// Derives the key of an endpoint that does not say when it started.
    pub fn from_name(id: &str) -> Self {
        Self::of_lifetime(id, None)
    }

    /// Derives the key of the lifetime of an endpoint that started at `born_ms`, in Unix
    /// milliseconds.
    pub fn of_lifetime(id: &str, born_ms: Option<u64>) -> Self {
        let name = EndpointName::new(id).0;
        Self(match born_ms {
            Some(born_ms) => xxh3_64_with_seed(&born_ms.to_le_bytes(), name),
            None => name,
        })
    }
}

/// Names an endpoint over all its lifetimes: a hash of its id, under which the store has one
/// record.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(transparent)]
pub struct EndpointName(pub u64);

impl EndpointName {
    /// Derives the key of an id.
    pub fn new(id: &str) -> Self {
        Self(xxh3_64(id.as_bytes()))
    }
}

impl fmt::Display for EndpointId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// It takes new work.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// Its record was overwritten by one that names no endpoint to use: it takes nothing new until
    /// it has written its own again.
    Unusable,
}

/// What an endpoint says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Its id, under which it may start again.
    pub id: String,
    /// When this lifetime of it started, in Unix milliseconds by its own clock; none where it does
    /// not say.
    #[serde(default)]
    pub born_ms: Option<u64>,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// How many requests it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// For how much longer it is slow after its start, in milliseconds.
    pub warmup_ms: u64,
}

impl EndpointRecord {
    /// Returns the key of this lifetime.
    pub fn key(&self) -> EndpointId {
        EndpointId::of_lifetime(&self.id, self.born_ms)
    }

    /// Returns the key of its id.
    pub fn name(&self) -> EndpointName {
        EndpointName::new(&self.id)
    }
}

/// How an answer is passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerForm {
    /// As one body, checked before any of it is passed on.
    Whole,
    /// As a stream of numbered events, each passed on as it arrives.
    Stream {
        /// Whether another endpoint may go on after the last event.
        resumable: bool,
    },
}

/// A service and the weight with which a route chooses it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceWeight {
    /// The service.
    pub service: String,
    /// Its weight among the services of the route.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSpec {
    /// The name, for logs.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// What the path begins with; begins and ends with a slash.
    pub prefix: String,
    /// The services that requests go to.
    pub services: Vec<ServiceWeight>,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// How answers are passed on.
    pub form: AnswerForm,
    /// The most endpoints that one request may be sent to.
    pub attempts: u32,
    /// How long a request may be held.
    pub timeout: Duration,
    /// Within which time an answer, or the first event of a stream, is in time.
    pub objective: Duration,
    /// The longest pause between the events of a stream that is in time.
    pub pause: Duration,
    /// The rank among requests; 0 is served first.
    pub priority: u8,
    /// Whether a request needs no key.
    pub public: bool,
}

impl RouteSpec {
    /// Tells whether a request that may have run may be sent again.
    pub const fn may_repeat(&self) -> bool {
        match self.form {
            AnswerForm::Whole => self.repeatable,
            AnswerForm::Stream { resumable } => resumable,
        }
    }

    /// Picks the service for a request by its id, by weight.
    pub fn service_for(&self, request: &str) -> Option<&str> {
        let total: u64 = self
            .services
            .iter()
            .map(|choice| u64::from(choice.weight))
            .sum();
        let mut point = xxh3_64(request.as_bytes()) % total.max(1);
        let found = self.services.iter().find(|choice| {
            let weight = u64::from(choice.weight);
            let hit = point < weight;
            point = point.saturating_sub(weight);
            hit
        });
        let found = found.or_else(|| self.services.first());
        found.map(|choice| choice.service.as_str())
    }
}

/// What a model engine can hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests at once.
    pub slots: u32,
    /// Tokens of memory, for running requests and cached prompts together.
    pub memory: u64,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// The name.
    pub name: String,
    /// Connections that one of its endpoints accepts from all boxes together.
    pub connections: usize,
    /// What its engines hold, where it is served by model engines.
    pub engine: Option<EngineSpec>,
}

/// A workspace and the keys that its callers may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceKeys {
    /// The name.
    pub name: String,
    /// Its keys.
    pub keys: Vec<String>,
    /// Its rank, which replaces that of the route.
    pub priority: Option<u8>,
}

/// Limits on what callers may send, and on what the endpoints make.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct GatewayLimits {
    /// The largest head of a request, in bytes.
    pub head_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// How long a head may take to arrive.
    pub head_timeout: Duration,
    /// How long a connection may rest between requests.
    pub idle_timeout: Duration,
    /// What all endpoints make together, in service units a second; 0 where nothing is stated.
    pub units_per_s: f64,
}

impl Default for GatewayLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
            units_per_s: 0.0,
        }
    }
}

/// One accepted configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteConfig {
    /// The version; rises with every change.
    pub version: u64,
    /// The routes.
    pub routes: Vec<RouteSpec>,
    /// The services.
    pub services: Vec<ServiceSpec>,
    /// The workspaces; without any, no request needs a key.
    pub workspaces: Vec<WorkspaceKeys>,
    /// The limits.
    pub limits: GatewayLimits,
}

/// Names a route in the table that found it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteKey(usize);

/// Names a service in the table that found it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceKey(usize);

/// Names a workspace in the table that found it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkspaceRef(usize);

/// A configuration indexed for look-ups.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    config: RouteConfig,
    /// The shortest objective among the routes of each service.
    tightest: Vec<Option<Duration>>,
    hosts: HashMap<String, Vec<usize>>,
    services: HashMap<String, usize>,
    keys: HashMap<String, usize>,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(config: RouteConfig) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            hosts
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .push(index);
        }
        for routes in hosts.values_mut() {
            // The first match is then the longest.
            routes.sort_by_key(|index| std::cmp::Reverse(config.routes[*index].prefix.len()));
        }
        let tightest = config.services.iter();
        let tightest = tightest.map(|service| tightest_of(&config.routes, &service.name));
        let tightest = tightest.collect();
        let services = config.services.iter().enumerate();
        let services = services
            .map(|(index, service)| (service.name.clone(), index))
            .collect();
        let workspaces = config.workspaces.iter().enumerate();
        let keys = workspaces
            .flat_map(|(index, workspace)| {
                workspace.keys.iter().map(move |key| (key.clone(), index))
            })
            .collect();
        Self {
            config,
            tightest,
            hosts,
            services,
            keys,
        }
    }

    /// Returns the configuration.
    pub const fn config(&self) -> &RouteConfig {
        &self.config
    }

    /// Finds the route of a host and path; a port behind the host is ignored.
    pub fn find_route(&self, host: &str, path: &str) -> Option<RouteKey> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(&name.to_ascii_lowercase())?;
        let fits = |index: &&usize| path.starts_with(&self.config.routes[**index].prefix);
        routes.iter().find(fits).map(|index| RouteKey(*index))
    }

    /// Returns a route.
    pub fn route(&self, key: RouteKey) -> &RouteSpec {
        &self.config.routes[key.0]
    }

    /// Finds a service.
    pub fn find_service(&self, name: &str) -> Option<ServiceKey> {
        self.services.get(name).map(|index| ServiceKey(*index))
    }

    /// Returns a service.
    pub fn service(&self, key: ServiceKey) -> &ServiceSpec {
        &self.config.services[key.0]
    }

    /// Returns the shortest objective among the routes of a service, where any leads there.
    pub fn tightest_objective(&self, key: ServiceKey) -> Option<Duration> {
        self.tightest[key.0]
    }

    /// Tells whether requests need a key, unless their route is public.
    pub fn needs_key(&self) -> bool {
        !self.config.workspaces.is_empty()
    }

    /// Finds the workspace that holds a key.
    pub fn find_workspace(&self, key: &str) -> Option<WorkspaceRef> {
        self.keys.get(key).map(|index| WorkspaceRef(*index))
    }

    /// Returns a workspace.
    pub fn workspace(&self, key: WorkspaceRef) -> &WorkspaceKeys {
        &self.config.workspaces[key.0]
    }
}

fn tightest_of(routes: &[RouteSpec], service: &str) -> Option<Duration> {
    let leads_there = |route: &&RouteSpec| {
        let choices = route.services.iter();
        choices
            .map(|choice| &choice.service)
            .any(|name| name == service)
    };
    let routes = routes.iter().filter(leads_there);
    routes.map(|route| route.objective).min()
}

#[cfg(test)]
mod tests;
