//! A fleet on loopback: stand-ins in this process, daemons as processes of their own.

mod config;
mod daemon;

pub(crate) use config::change_at;
pub use config::workspace_key;
pub use daemon::{DaemonProcess, is_ready};
pub(crate) use daemon::{daemon_program, fetch, metric_at};

use crate::error::BenchError;
use crate::relay::{ByteCount, LinkRelay};
use crate::scenario::{BenchArm, BenchScenario, PoolShape};
use crate::standin::{
    BoxEntry, EngineProfile, EngineStandIn, PlatformStandIn, RunTally, ServiceProfile,
    ServiceStandIn,
};
use daemon::{DaemonPlan, secrets};
use dockgate_platform::BoxState;
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use tempfile::TempDir;

/// An endpoint's stand-in.
pub enum EndpointStandIn {
    /// A model engine.
    Engine(EngineStandIn),
    /// A plain service.
    Service(ServiceStandIn),
}

impl EndpointStandIn {
    fn address(&self) -> SocketAddr {
        match self {
            Self::Engine(engine) => engine.address,
            Self::Service(service) => service.address,
        }
    }

    /// Dies.
    pub fn kill(&self) {
        match self {
            Self::Engine(engine) => engine.kill(),
            Self::Service(service) => service.kill(),
        }
    }
}

/// One endpoint of the fleet.
pub struct BenchEndpoint {
    /// Its name.
    pub name: String,
    /// Its pool.
    pub pool: String,
    /// Its failure domain.
    pub domain: String,
    /// Its slots.
    pub slots: usize,
    /// The stand-in.
    pub standin: EndpointStandIn,
    /// Relays from the other domains.
    pub relays: HashMap<String, LinkRelay>,
}

/// A running fleet.
pub struct BenchFleet {
    /// The scenario it was made for.
    pub scenario: BenchScenario,
    /// The platform.
    pub platform: PlatformStandIn,
    /// The endpoints.
    pub endpoints: Vec<BenchEndpoint>,
    /// Counts of each pool.
    pub tallies: BTreeMap<String, Arc<RunTally>>,
    /// The daemons.
    pub daemons: Vec<DaemonProcess>,
    /// Relays between boxes, by the domain they come from and the box they go to.
    pub links: HashMap<(String, String), LinkRelay>,
    /// Relays to the platform, by domain.
    pub platform_links: HashMap<String, LinkRelay>,
    /// Bytes between boxes.
    pub peer_bytes: ByteCount,
    /// Bytes between boxes and the platform.
    pub platform_bytes: ByteCount,
    /// Where settings, secrets and logs stand.
    pub folder: TempDir,
}

/// Ports of a box, the same on each box's own loopback address.
const CALLERS: u16 = 7_001;
const PEERS: u16 = 7_002;
const OPERATORS: u16 = 7_003;
const METRICS: u16 = 7_004;
/// How long a fleet may take to get ready.
const READY: Duration = Duration::from_secs(20);

/// Returns a loopback network of this run's own, so that runs beside each other do not meet.
fn run_network() -> u8 {
    static NEXT: AtomicU8 = AtomicU8::new(0);
    let offset = NEXT.fetch_add(1, Ordering::Relaxed);
    let base = (std::process::id() % 200) as u8;
    20 + (base.wrapping_add(offset.wrapping_mul(7))) % 200
}

impl BenchFleet {
    /// Starts everything and waits until every box is ready.
    ///
    /// # Errors
    ///
    /// Returns what could not be started.
    pub async fn start(scenario: BenchScenario, arm: &BenchArm) -> Result<Self, BenchError> {
        let folder = tempfile::tempdir()
            .map_err(|cause| BenchError::Io("make", "a folder".to_owned(), cause))?;
        let mut fleet = Self {
            platform: PlatformStandIn::start().await?,
            scenario,
            endpoints: Vec::new(),
            tallies: BTreeMap::new(),
            daemons: Vec::new(),
            links: HashMap::new(),
            platform_links: HashMap::new(),
            peer_bytes: ByteCount::default(),
            platform_bytes: ByteCount::default(),
            folder,
        };
        fleet.start_endpoints().await?;
        fleet.start_platform_links().await?;
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
                let rule = EngineProfile::new(pool.slots, rate);
                EndpointStandIn::Engine(EngineStandIn::start(rule, tally).await?)
            }
            false => {
                let rule = ServiceProfile {
                    slots: pool.slots,
                    processing_time: Duration::from_millis(20),
                };
                EndpointStandIn::Service(ServiceStandIn::start(rule, tally).await?)
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

    async fn start_platform_links(&mut self) -> Result<(), BenchError> {
        for domain in self.scenario.fleet.domains.clone() {
            let count = self.platform_bytes.clone();
            let relay = LinkRelay::start(self.platform.address, Duration::ZERO, count).await?;
            self.platform_links.insert(domain, relay);
        }
        Ok(())
    }

    async fn start_daemons(&mut self, arm: &BenchArm) -> Result<(), BenchError> {
        secrets(self.folder.path())?;
        let network = run_network();
        let mut entries = Vec::new();
        let mut plans = Vec::new();
        for (index, (name, domain)) in self.scenario.boxes().into_iter().enumerate() {
            let number = index as u16 + 1;
            let ip = Ipv4Addr::new(127, network, (number >> 8) as u8, number as u8);
            let at = |port| SocketAddr::new(IpAddr::V4(ip), port);
            let entry = self.link_box(&name, &domain, at(PEERS)).await?;
            entries.push(entry);
            let mut schedule = self.scenario.fleet.schedule.clone();
            schedule.push(("order".to_owned(), arm.order.clone()));
            schedule.extend(arm.schedule.iter().cloned());
            let plan = DaemonPlan {
                callers: at(CALLERS),
                peers: at(PEERS),
                operators: at(OPERATORS),
                metrics: at(METRICS),
                platform: self.platform_links[&domain].address,
                name,
                domain,
                schedule,
            };
            plans.push(plan);
        }
        for plan in plans {
            let process = DaemonProcess::start(plan, &entries, self.folder.path())?;
            self.daemons.push(process);
        }
        self.platform.set_boxes(&entries);
        Ok(())
    }

    /// Puts relays in front of a box's peer door, one for each domain.
    async fn link_box(
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
            self.links.insert((from, name.to_owned()), relay);
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
            daemon.wait_for("livez", READY).await?;
        }
        Ok(())
    }

    /// Waits until every box is ready and has a link to every other.
    pub(crate) async fn wait_until_ready(&self) -> Result<(), BenchError> {
        for daemon in &self.daemons {
            daemon.wait_for("readyz", READY).await?;
            daemon.wait_for_links(self.daemons.len() - 1, READY).await?;
        }
        Ok(())
    }

    /// Returns a box's daemon.
    pub fn daemon(&self, name: &str) -> Option<&DaemonProcess> {
        self.daemons.iter().find(|daemon| daemon.name() == name)
    }

    /// Cuts or heals everything between a domain and the others.
    pub fn set_domain_cut(&self, domain: &str, cut: bool) {
        let home: HashMap<&str, &str> = self
            .daemons
            .iter()
            .map(|daemon| (daemon.name(), daemon.domain()))
            .collect();
        for ((from, to), relay) in &self.links {
            let to = home.get(to.as_str()).copied().unwrap_or_default();
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

    /// Stops every daemon, in order where it can be.
    pub async fn stop(&mut self) {
        for daemon in &self.daemons {
            daemon.terminate();
        }
        let stopped = self
            .daemons
            .iter_mut()
            .map(|daemon| daemon.wait_or_kill(Duration::from_secs(5)));
        futures::future::join_all(stopped).await;
    }

    /// Returns the folder in which settings and logs stand.
    pub fn path(&self) -> PathBuf {
        self.folder.path().to_path_buf()
    }
}
