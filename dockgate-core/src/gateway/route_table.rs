//! The routes, services and workspaces of a configuration, indexed for lookups.

use super::warmup_limit::WarmupLimit;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Identifies one lifetime of an endpoint by a hash of its id and start time, so that every box
/// derives the same key.
///
/// An endpoint may restart under the same id and loses its state by that. All state that boxes keep
/// about an endpoint uses this key, so that it does not carry over to the next lifetime.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(transparent)]
pub struct EndpointId(pub u64);

impl EndpointId {
    /// Derives the key of an endpoint that reports no start time.
    pub fn from_name(id: &str) -> Self {
        Self::of_lifetime(id, None)
    }

    /// Derives the key of the lifetime of an endpoint that started at `started_ms`, in Unix
    /// milliseconds.
    pub fn of_lifetime(id: &str, started_ms: Option<u64>) -> Self {
        let name = EndpointName::new(id).0;
        Self(match started_ms {
            Some(started_ms) => xxh3_64_with_seed(&started_ms.to_le_bytes(), name),
            None => name,
        })
    }
}

/// Identifies an endpoint over all its lifetimes by a hash of its id; the store has one record for
/// it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(transparent)]
pub struct EndpointName(pub u64);

impl EndpointName {
    /// Derives the key from an endpoint's id.
    pub fn new(id: &str) -> Self {
        Self(xxh3_64(id.as_bytes()))
    }
}

impl fmt::Display for EndpointId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Whether an endpoint accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// It accepts new requests.
    Ready,
    /// It finishes its running requests and accepts no new ones.
    Draining,
    /// Its record was overwritten by an invalid one: it gets no new requests until it writes its
    /// own record again.
    Unusable,
}

/// The record in which an endpoint describes itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Its id, which stays the same over restarts.
    pub id: String,
    /// When this lifetime started, in Unix milliseconds by the endpoint's clock; `None` if it is
    /// not reported.
    #[serde(default, rename = "born_ms")]
    pub started_ms: Option<u64>,
    /// The service that it belongs to.
    pub service: String,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// The number of requests that it processes at once.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: EndpointState,
    /// The remaining warm-up time, during which it is slow, in milliseconds.
    pub warmup_ms: u64,
    /// The version of its software; empty if the reporting box does not know it.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub version: String,
}

impl EndpointRecord {
    /// Returns the key of this lifetime.
    pub fn key(&self) -> EndpointId {
        EndpointId::of_lifetime(&self.id, self.started_ms)
    }

    /// Returns the key of its id.
    pub fn name(&self) -> EndpointName {
        EndpointName::new(&self.id)
    }
}

/// How an answer is forwarded to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerForm {
    /// As one body, which is checked completely first.
    Whole,
    /// As a stream of numbered events, each forwarded on arrival.
    Stream {
        /// Whether another endpoint may continue after the last event.
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

/// A route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSpec {
    /// The name, for logs.
    pub name: String,
    /// The host that requests must name.
    pub host: String,
    /// The path prefix, which begins and ends with a slash.
    pub prefix: String,
    /// The services that receive the requests.
    pub services: Vec<ServiceWeight>,
    /// Whether a request may be executed more than once.
    pub repeatable: bool,
    /// How answers are forwarded.
    pub form: AnswerForm,
    /// The maximum number of endpoints that one request may be sent to.
    pub attempts: u32,
    /// The time limit of a request.
    pub timeout: Duration,
    /// The target time for an answer, or for the first event of a stream.
    pub objective: Duration,
    /// The target for the longest pause between the events of a stream.
    pub pause: Duration,
    /// The priority of requests; 0 is served first.
    pub priority: u8,
    /// Whether requests need no key.
    pub public: bool,
}

impl RouteSpec {
    /// Returns whether a request that may have been executed may be sent again.
    pub const fn may_repeat(&self) -> bool {
        match self.form {
            AnswerForm::Whole => self.repeatable,
            AnswerForm::Stream { resumable } => resumable,
        }
    }

    /// Picks the service for a request id by weight; the same id always gets the same service.
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

/// The capacity of a model engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EngineSpec {
    /// The number of concurrent requests.
    pub slots: u32,
    /// The memory for running requests and cached prompts together, in tokens.
    pub memory: u64,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// The name.
    pub name: String,
    /// The number of connections that one endpoint accepts from all boxes together.
    pub connections: usize,
    /// The capacity of its engines, if it is served by model engines.
    pub engine: Option<EngineSpec>,
    /// What its endpoints bear while they warm up; `None` if they need no warm-up.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warmup: Option<WarmupLimit>,
}

/// A workspace and the keys of its callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceKeys {
    /// The name.
    pub name: String,
    /// Its keys.
    pub keys: Vec<String>,
    /// Its priority, which overrides that of the route.
    pub priority: Option<u8>,
}

/// Limits on requests, and the stated capacity of the endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct GatewayLimits {
    /// The maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The time limit for receiving a request head.
    pub head_timeout: Duration,
    /// The time limit for an idle connection between requests.
    pub idle_timeout: Duration,
    /// The total capacity of all endpoints, in service units per second; 0 if it is not stated.
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

/// An accepted configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteConfig {
    /// The version, which increases with every change.
    pub version: u64,
    /// The routes.
    pub routes: Vec<RouteSpec>,
    /// The services.
    pub services: Vec<ServiceSpec>,
    /// The workspaces; if there are none, no request needs a key.
    pub workspaces: Vec<WorkspaceKeys>,
    /// The limits.
    pub limits: GatewayLimits,
}

/// The index of a route in its table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteKey(usize);

/// The index of a service in its table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceKey(usize);

/// The index of a workspace in its table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkspaceRef(usize);

/// A configuration indexed for lookups.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    config: RouteConfig,
    /// The shortest objective among the routes of each service.
    shortest_objectives: Vec<Option<Duration>>,
    hosts: HashMap<String, Vec<usize>>,
    services: HashMap<String, usize>,
    keys: HashMap<String, usize>,
}

impl RouteTable {
    /// Builds the index of a configuration.
    pub fn new(config: RouteConfig) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            hosts
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .push(index);
        }
        for routes in hosts.values_mut() {
            // The first match is the longest prefix.
            routes.sort_by_key(|index| std::cmp::Reverse(config.routes[*index].prefix.len()));
        }
        let shortest_objectives = config.services.iter();
        let shortest_objectives =
            shortest_objectives.map(|service| shortest_objective_of(&config.routes, &service.name));
        let shortest_objectives = shortest_objectives.collect();
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
            shortest_objectives,
            hosts,
            services,
            keys,
        }
    }

    /// Returns the configuration.
    pub const fn config(&self) -> &RouteConfig {
        &self.config
    }

    /// Finds the route for a host and path; a port in the host is ignored.
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

    /// Returns the shortest objective among the routes to a service; `None` without such a route.
    pub fn shortest_objective(&self, key: ServiceKey) -> Option<Duration> {
        self.shortest_objectives[key.0]
    }

    /// Returns whether requests need a key unless their route is public.
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

    /// Returns the priority of requests: that of the workspace if it has one, or else that of the
    /// route.
    pub fn priority(&self, route: RouteKey, workspace: Option<WorkspaceRef>) -> u8 {
        let own = workspace.and_then(|workspace| self.workspace(workspace).priority);
        own.unwrap_or(self.route(route).priority)
    }
}

fn shortest_objective_of(routes: &[RouteSpec], service: &str) -> Option<Duration> {
    let leads_to_service = |route: &&RouteSpec| {
        let choices = route.services.iter();
        choices
            .map(|choice| &choice.service)
            .any(|name| name == service)
    };
    let routes = routes.iter().filter(leads_to_service);
    routes.map(|route| route.objective).min()
}

#[cfg(test)]
mod tests;
