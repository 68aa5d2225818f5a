//! A fleet on loopback: stand-ins run in this process, daemons as child processes.

mod config;
mod daemon_process;

pub(crate) use config::apply_intent_at;
pub use config::workspace_key;
pub use daemon_process::{DaemonProcess, is_ready};
pub(crate) use daemon_process::{daemon_program, fetch_metric, http_get};

use crate::error::BenchError;
use crate::relay::{ByteCount, LinkRelay};
use crate::scenario::{BenchArm, BenchScenario, PoolShape};
use crate::standin::{
    BoxEntry, EngineProfile, EngineStandIn, PlatformStandIn, RunTally, ServiceProfile,
    ServiceStandIn,
};
use daemon_process::{DaemonSettings, write_secrets};
use dockgate_platform::BoxState;
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tempfile::TempDir;

/// The stand-in server of an endpoint.
pub enum EndpointStandIn {
    /// A model engine.
    Engine(EngineStandIn),
    /// A service that is not a model engine.
    Service(ServiceStandIn),
}

impl EndpointStandIn {
    fn address(&self) -> SocketAddr {
        match self {
            Self::Engine(engine) => engine.address,
            Self::Service(service) => service.address,
        }
    }

    /// Simulates a crash of the endpoint.
    pub fn kill(&self) {
        match self {
            Self::Engine(engine) => engine.kill(),
            Self::Service(service) => service.kill(),
        }
    }
}

/// An endpoint of the fleet.
pub struct BenchEndpoint {
    /// Endpoint name.
    pub name: String,
    /// Name of the pool.
    pub pool: String,
    /// Failure domain.
    pub domain: String,
    /// Number of slots.
    pub slots: usize,
    /// Server that answers for the endpoint.
    pub standin: EndpointStandIn,
    /// Relays to the endpoint, by the failure domain that they serve.
    pub relays: HashMap<String, LinkRelay>,
}

/// A running fleet.
pub struct BenchFleet {
    /// Scenario that the fleet runs.
    pub scenario: BenchScenario,
    /// Stand-in of the platform service.
    pub platform: PlatformStandIn,
    /// Endpoints of all pools.
    pub endpoints: Vec<BenchEndpoint>,
    /// Run counts by pool.
    pub tallies: BTreeMap<String, Arc<RunTally>>,
    /// Daemons in the order of the scenario's boxes.
    pub daemons: Vec<DaemonProcess>,
    /// Relays between boxes, by source failure domain and destination box.
    pub peer_relays: HashMap<(String, String), LinkRelay>,
    /// Relays to the platform, by failure domain.
    pub platform_relays: HashMap<String, LinkRelay>,
    /// Bytes sent between boxes.
    pub peer_bytes: ByteCount,
    /// Bytes sent between boxes and the platform.
    pub platform_bytes: ByteCount,
    /// Temporary folder of settings, secrets and logs.
    pub folder: TempDir,
}

// Every box uses the same ports on a loopback address of its own.
const CALLER_PORT: u16 = 7_001;
const PEER_PORT: u16 = 7_002;
const OPERATOR_PORT: u16 = 7_003;
const METRICS_PORT: u16 = 7_004;
/// Longest time that a fleet may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of loopback subnets that fleets use.
const LOOPBACK_NETWORKS: u32 = 200;

/// Returns the second octet of a loopback subnet for a fleet. It depends on the process id and
/// changes with each call, so that concurrent fleets don't share addresses.
fn next_loopback_network() -> u8 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loopback_network(std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Returns the second octet of the subnet of the fleet with an index in a process.
///
/// Two fleets of a process share a subnet only if their indexes are [`LOOPBACK_NETWORKS`] apart.
/// Arithmetic on `u8` would wrap and give two concurrent fleets the same addresses, so that the
/// daemons of one would receive the configuration of the other.
const fn loopback_network(process: u32, index: u32) -> u8 {
    const FIRST: u32 = 20;
    /// Coprime with the number of subnets, so that every subnet is used once before any is reused.
    const STRIDE: u32 = 7;
    let index = index % LOOPBACK_NETWORKS;
    let offset = (process % LOOPBACK_NETWORKS + index * STRIDE) % LOOPBACK_NETWORKS;
    (FIRST + offset) as u8
}

impl BenchFleet {
    /// Starts stand-ins, relays and daemons, and waits until every box is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a part cannot be started or configured, or a box does not become ready.
    pub async fn start(scenario: BenchScenario, arm: &BenchArm) -> Result<Self, BenchError> {
        let folder = tempfile::tempdir()
            .map_err(|cause| BenchError::Io("make", "a temporary folder".to_owned(), cause))?;
        let mut fleet = Self {
            platform: PlatformStandIn::start().await?,
            scenario,
            endpoints: Vec::new(),
            tallies: BTreeMap::new(),
            daemons: Vec::new(),
            peer_relays: HashMap::new(),
            platform_relays: HashMap::new(),
            peer_bytes: ByteCount::default(),
            platform_bytes: ByteCount::default(),
            folder,
        };
        fleet.start_endpoints().await?;
        fleet.start_platform_relays().await?;
        fleet.start_daemons(arm).await?;
        fleet.wait_until_listening().await?;
        fleet.configure().await?;
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    async fn start_endpoints(&mut self) -> Result<(), BenchError> {
        for pool in self.scenario.pools.clone() {
            let tally = Arc::new(RunTally::default());
            self.tallies.insert(pool.name.clone(), tally.clone());
            for number in 0..pool.endpoints {
                let endpoint = self.start_endpoint(&pool, number, tally.clone()).await?;
                self.endpoints.push(endpoint);
            }
        }
        Ok(())
    }

    async fn start_endpoint(
        &self,
        pool: &PoolShape,
        number: usize,
        tally: Arc<RunTally>,
    ) -> Result<BenchEndpoint, BenchError> {
        let domains = &self.scenario.fleet.domains;
        let domain = pool.domain.clone();
        let domain = domain.unwrap_or_else(|| domains[number % domains.len()].clone());
        let standin = match pool.engine {
            true => {
                let slow = pool.slow_every > 0 && number.is_multiple_of(pool.slow_every);
                let rate = pool.tokens_per_second * if slow { 0.5 } else { 1.0 };
                let profile = EngineProfile::new(pool.slots, rate);
                EndpointStandIn::Engine(EngineStandIn::start(profile, tally).await?)
            }
            false => {
                let profile = ServiceProfile {
                    slots: pool.slots,
                    processing_time: Duration::from_millis(20),
                };
                EndpointStandIn::Service(ServiceStandIn::start(profile, tally).await?)
            }
        };
        let mut relays = HashMap::new();
        for from in domains.iter().filter(|from| **from != domain) {
            let delay = self.scenario.fleet.delay;
            let relay = LinkRelay::start(standin.address(), delay, ByteCount::default()).await?;
            relays.insert(from.clone(), relay);
        }
        Ok(BenchEndpoint {
            name: format!("{}-{number}", pool.name),
            pool: pool.name.clone(),
            domain,
            slots: pool.slots,
            standin,
            relays,
        })
    }

    async fn start_platform_relays(&mut self) -> Result<(), BenchError> {
        for domain in self.scenario.fleet.domains.clone() {
            let count = self.platform_bytes.clone();
            let relay = LinkRelay::start(self.platform.address, Duration::ZERO, count).await?;
            self.platform_relays.insert(domain, relay);
        }
        Ok(())
    }

    async fn start_daemons(&mut self, arm: &BenchArm) -> Result<(), BenchError> {
        write_secrets(self.folder.path())?;
        let network = next_loopback_network();
        let mut entries = Vec::new();
        let mut all_settings = Vec::new();
        for (index, (name, domain)) in self.scenario.boxes().into_iter().enumerate() {
            let number = index as u16 + 1;
            let ip = Ipv4Addr::new(127, network, (number >> 8) as u8, number as u8);
            let box_address = |port| SocketAddr::new(IpAddr::V4(ip), port);
            let entry = self
                .start_peer_relays(&name, &domain, box_address(PEER_PORT))
                .await?;
            entries.push(entry);
            let mut schedule = self.scenario.fleet.schedule.clone();
            schedule.push(("order".to_owned(), arm.order.clone()));
            schedule.extend(arm.schedule.iter().cloned());
            let settings = DaemonSettings {
                callers: box_address(CALLER_PORT),
                peers: box_address(PEER_PORT),
                operators: box_address(OPERATOR_PORT),
                metrics: box_address(METRICS_PORT),
                platform: self.platform_relays[&domain].address,
                name,
                domain,
                schedule,
            };
            all_settings.push(settings);
        }
        for settings in all_settings {
            let process = DaemonProcess::start(settings, &entries, self.folder.path())?;
            self.daemons.push(process);
        }
        self.platform.set_boxes(&entries);
        Ok(())
    }

    /// Starts a relay to a box's peer listener for each failure domain.
    async fn start_peer_relays(
        &mut self,
        name: &str,
        domain: &str,
        address: SocketAddr,
    ) -> Result<BoxEntry, BenchError> {
        let mut peer_addresses = HashMap::new();
        for from in self.scenario.fleet.domains.clone() {
            let delay = match from == domain {
                true => Duration::ZERO,
                false => self.scenario.fleet.delay,
            };
            let relay = LinkRelay::start(address, delay, self.peer_bytes.clone()).await?;
            peer_addresses.insert(from.clone(), relay.address);
            self.peer_relays.insert((from, name.to_owned()), relay);
        }
        Ok(BoxEntry {
            name: name.to_owned(),
            domain: domain.to_owned(),
            peer_addresses,
            state: BoxState::Live,
        })
    }

    async fn wait_until_listening(&self) -> Result<(), BenchError> {
        for daemon in &self.daemons {
            daemon.wait_for_ok("livez", READY_TIMEOUT).await?;
        }
        Ok(())
    }

    /// Waits until every box is ready and has an open link to every other box.
    pub(crate) async fn wait_until_ready(&self) -> Result<(), BenchError> {
        for daemon in &self.daemons {
            daemon.wait_for_ok("readyz", READY_TIMEOUT).await?;
            daemon
                .wait_for_links(self.daemons.len() - 1, READY_TIMEOUT)
                .await?;
        }
        Ok(())
    }

    /// Returns the daemon of a box.
    pub fn daemon(&self, name: &str) -> Option<&DaemonProcess> {
        self.daemons.iter().find(|daemon| daemon.name() == name)
    }

    /// Cuts or restores all relays between a failure domain and the others.
    pub fn set_domain_cut(&self, domain: &str, cut: bool) {
        let box_domains: HashMap<&str, &str> = self
            .daemons
            .iter()
            .map(|daemon| (daemon.name(), daemon.domain()))
            .collect();
        for ((from, to), relay) in &self.peer_relays {
            let to = box_domains.get(to.as_str()).copied().unwrap_or_default();
            if (from == domain) != (to == domain) {
                relay.set_cut(cut);
            }
        }
        for endpoint in &self.endpoints {
            for (from, relay) in &endpoint.relays {
                if from == domain || endpoint.domain == domain {
                    relay.set_cut(cut);
                }
            }
        }
    }

    /// Stops every daemon, and kills those that do not exit in time.
    pub async fn stop(&mut self) {
        for daemon in &self.daemons {
            daemon.terminate();
        }
        let exits = self
            .daemons
            .iter_mut()
            .map(|daemon| daemon.wait_or_kill(Duration::from_secs(5)));
        futures::future::join_all(exits).await;
    }

    /// Returns the folder of settings, secrets and logs.
    pub fn path(&self) -> PathBuf {
        self.folder.path().to_path_buf()
    }
}

#[cfg(test)]
mod tests;
