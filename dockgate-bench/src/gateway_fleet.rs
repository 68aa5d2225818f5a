//! Gateways as real processes on loopback, with stand-ins of the platform and of endpoints.

use crate::error::BenchError;
use crate::fleet::{daemon_program, fetch};
use crate::standin::{PeerStandIn, PlatformStandIn, RoutedStandIn, StoreListener};
use dockgate_proto::{QuarantineAnswer, QuarantineRequest, StateAnswer, methods};
use jsonrpsee::core::client::ClientT;
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::rpc_params;
use nix::sys::signal::{Signal, kill};
use nix::sys::stat::Mode;
use nix::unistd::{Pid, mkfifo};
use std::fs::File;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tempfile::TempDir;

const CALLERS: u16 = 7_101;
const READINESS: u16 = 7_102;
const STATE: u16 = 7_103;
const PEERS: u16 = 7_104;
const METRICS: u16 = 7_105;
/// How long something may take that is waited for.
const PATIENCE: Duration = Duration::from_secs(20);
/// How often it is looked at.
const LOOK: Duration = Duration::from_millis(20);

/// The keys that callers of a small fleet use.
pub const KEYS: &str = r#""k1","k2""#;

/// Where a fleet claims its loopback network.
const CLAIM: u16 = 7_100;

/// A loopback network of a fleet's own, so that fleets beside each other do not meet, be they of this
/// process or of another.
struct FleetNetwork {
    number: u8,
    /// Held for as long as the fleet lives.
    _claim: TcpListener,
}

impl FleetNetwork {
    /// Claims a network that no other fleet has.
    fn claim() -> Result<Self, BenchError> {
        const NUMBERS: std::ops::Range<u8> = 20..220;
        let first = rand::random_range(NUMBERS);
        let numbers = (first..NUMBERS.end).chain(NUMBERS.start..first);
        let claimed = numbers.filter_map(|number| {
            let claim = TcpListener::bind((Ipv4Addr::new(127, number, 0, 1), CLAIM)).ok()?;
            Some(Self {
                number,
                _claim: claim,
            })
        });
        claimed.into_iter().next().ok_or_else(|| {
            let cause = std::io::Error::other("all are in use");
            BenchError::Io("claim", "a loopback network".to_owned(), cause)
        })
    }
}

/// What tells one box of a fleet from the others when it is started.
#[derive(Debug, Clone)]
pub struct BoxSpec {
    /// Its failure domain.
    pub domain: String,
    /// The program that it runs.
    pub program: PathBuf,
}

/// One gateway.
pub struct GatewayProcess {
    program: PathBuf,
    ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl GatewayProcess {
    const fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), port)
    }

    /// Returns its address, which all its ports share.
    pub const fn ip(&self) -> Ipv4Addr {
        self.ip
    }

    /// Returns the program that it runs.
    pub fn program(&self) -> &Path {
        &self.program
    }

    /// Sets the program that it runs from its next start on.
    pub fn set_program(&mut self, program: &Path) {
        self.program = program.to_owned();
    }

    /// Returns where it takes callers.
    pub const fn callers(&self) -> SocketAddr {
        self.at(CALLERS)
    }

    /// Starts it anew, with no memory.
    ///
    /// # Errors
    ///
    /// Returns an error where it cannot be started.
    pub fn restart(&mut self) -> Result<(), BenchError> {
        let failed = |cause| BenchError::Io("start", self.settings.display().to_string(), cause);
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .map_err(failed)?;
        let errors = log.try_clone().map_err(failed)?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .env("DOCKGATE_AWAY_FILE", self.away_file())
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(failed)?;
        self.child = Some(child);
        Ok(())
    }

    /// Starts it anew, and sends it a signal while it waits for the first byte of its settings.
    ///
    /// # Errors
    ///
    /// Returns an error where it cannot be started.
    pub fn restart_with_signal(&mut self, signal: Signal) -> Result<(), BenchError> {
        let settings = self.settings.clone();
        let failed = |cause| BenchError::Io("hold", settings.display().to_string(), cause);
        let kept = settings.with_extension("kept");
        std::fs::rename(&settings, &kept).map_err(failed)?;
        let text = std::fs::read(&kept).map_err(failed)?;
        mkfifo(&settings, Mode::S_IRUSR | Mode::S_IWUSR).map_err(|cause| failed(cause.into()))?;
        self.restart()?;
        // Opens when the process reads; a signal is dealt with before the read goes on.
        let mut pipe = File::options()
            .write(true)
            .open(&settings)
            .map_err(failed)?;
        self.signal(signal);
        std::fs::rename(&kept, &settings).map_err(failed)?;
        pipe.write_all(&text).map_err(failed)
    }

    fn away_file(&self) -> PathBuf {
        self.settings.with_extension("away")
    }

    /// Lets it seem to have been suspended for so long, all in all: its clock that counts a suspension is put
    /// forward, its steady one and its timers are not. Builds for tests alone listen to this.
    ///
    /// # Errors
    ///
    /// Returns an error where the file that says so cannot be written.
    pub fn simulate_suspension(&self, time: Duration) -> Result<(), BenchError> {
        // Written beside and moved, so that it is never read half.
        let file = self.away_file();
        let written = file.with_extension("away-new");
        write(&written, &time.as_millis().to_string())?;
        std::fs::rename(&written, &file)
            .map_err(|cause| BenchError::Io("rename", file.display().to_string(), cause))
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // One that has ended is not there to be signalled.
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Tells whether its program listens for a signal yet: before its first instruction nothing can.
    pub fn handles_signal(&self, signal: Signal) -> bool {
        let child = self.child.as_ref();
        child.is_some_and(|child| handles_signal(child.id(), signal))
    }

    /// Kills it.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Tells whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Returns what it has logged.
    pub fn logged(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Tells whether it says that it is ready.
    pub async fn is_ready(&self) -> bool {
        let answer = fetch(self.at(READINESS), "-/readyz").await;
        answer.is_some_and(|answer| answer.starts_with("HTTP/1.1 200"))
    }

    /// Asks it for the requests in quarantine, after one was released where that is wanted.
    ///
    /// # Errors
    ///
    /// Returns what it says where it refuses, or that it does not answer.
    pub async fn quarantine(&self, release: Option<String>) -> Result<QuarantineAnswer, String> {
        let client = HttpClientBuilder::default().build(format!("http://{}", self.at(STATE)));
        let client = client.map_err(|error| error.to_string())?;
        let request = QuarantineRequest { release };
        let answer = client.request(methods::QUARANTINE, rpc_params![request]);
        answer.await.map_err(|error| error.to_string())
    }

    /// Returns what it counts.
    pub async fn metrics(&self) -> String {
        fetch(self.at(METRICS), "metrics").await.unwrap_or_default()
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Tells whether a process listens for a signal.
pub fn handles_signal(process: u32, signal: Signal) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"));
    let status = status.unwrap_or_default();
    let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
    let caught = caught.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
    caught.is_some_and(|mask| mask & (1 << (signal as u64 - 1)) != 0)
}

/// Waits until something holds.
///
/// # Panics
///
/// Panics, naming what was waited for, where it does not hold in time.
pub async fn wait_until<F: AsyncFnMut() -> bool>(what: &str, mut holds: F) {
    let started = Instant::now();
    while !holds().await {
        assert!(started.elapsed() < PATIENCE, "waited in vain: {what}");
        tokio::time::sleep(LOOK).await;
    }
}

/// Makes a configuration. Routes: `/once/` may run once, `/again/` may be repeated, `/live/` streams and may be resumed,
/// `/draft/` streams and may not.
#[must_use]
pub fn route_config(version: u64, keys: &str) -> String {
    let route = |name: &str, kind: &str, service: &str, more: &str| {
        format!(
            r#"{{"name":"{name}","host":"h.example","path_prefix":"/{name}/","type":"{kind}",
            "service":"{service}","timeout_ms":4000,"target_latency_ms":500,"priority":1{more}}}"#
        )
    };
    let routes = [
        route("once", "non_idempotent", "plain", r#","max_attempts":1"#),
        route("again", "idempotent", "plain", r#","max_attempts":2"#),
        route(
            "live",
            "streaming",
            "model",
            r#","max_attempts":2,"resumable":true"#,
        ),
        route(
            "draft",
            "streaming",
            "model",
            r#","max_attempts":1,"resumable":false"#,
        ),
    ]
    .join(",");
    format!(
        r#"{{"version":{version},"routes":[{routes}],
        "services":[{{"name":"plain","max_connections":100}},
          {{"name":"model","max_connections":100,
            "engine":{{"capacity":8,"kv_capacity_tokens":100000}}}}],
        "limits":{{"max_body_bytes":10000}},
        "tenants":[{{"name":"captions","api_keys":[{keys}]}}]}}"#
    )
}

/// Makes the same configuration with so many more routes, which nobody calls.
#[must_use]
pub fn large_config(version: u64, keys: &str, more: usize) -> String {
    let routes = (0..more).map(|number| {
        format!(
            r#"{{"name":"more-{number}","host":"more.example","path_prefix":"/more-{number}/",
            "type":"idempotent","service":"plain","timeout_ms":4000,"target_latency_ms":500,
            "priority":1,"max_attempts":1}},"#
        )
    });
    let routes: String = routes.collect();
    let config = route_config(version, keys);
    config.replacen("\"routes\":[", &format!("\"routes\":[{routes}"), 1)
}

/// Starts gateways and an endpoint of each of the `services`, with the usual routes, as version 3.
///
/// # Panics
///
/// Panics where something cannot be started.
pub async fn start_fleet(gateways: usize, services: &[&str]) -> GatewayFleet {
    let started = GatewayFleet::start(gateways, services, &route_config(3, KEYS)).await;
    started.expect("loopback has room for a fleet")
}

/// A fleet of gateways.
pub struct GatewayFleet {
    /// The platform's store.
    pub store: PlatformStandIn,
    /// Where each gateway reaches the store.
    pub store_listeners: Vec<StoreListener>,
    /// The gateways.
    pub gateways: Vec<GatewayProcess>,
    /// The endpoints, those of the start in failure domain `a`.
    pub endpoints: Vec<RoutedStandIn>,
    network: FleetNetwork,
    folder: TempDir,
}

impl GatewayFleet {
    /// Starts gateways and endpoints; `services` names the service of each endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error where something cannot be started.
    pub async fn start(
        gateways: usize,
        services: &[&str],
        config: &str,
    ) -> Result<Self, BenchError> {
        let plan = BoxSpec {
            domain: "a".to_owned(),
            program: daemon_program()?,
        };
        Self::start_boxes(&vec![plan; gateways], services, config).await
    }

    /// Starts a gateway by each plan, and endpoints; `services` names the service of each endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error where something cannot be started.
    pub async fn start_boxes(
        plans: &[BoxSpec],
        services: &[&str],
        config: &str,
    ) -> Result<Self, BenchError> {
        let folder = tempfile::tempdir()
            .map_err(|cause| BenchError::Io("make", "a folder".to_owned(), cause))?;
        let mut fleet = Self {
            store: PlatformStandIn::start().await?,
            store_listeners: Vec::new(),
            gateways: Vec::new(),
            endpoints: Vec::new(),
            network: FleetNetwork::claim()?,
            folder,
        };
        fleet
            .store
            .set(dockgate_platform::ROUTES, config.to_owned());
        for (index, service) in services.iter().enumerate() {
            fleet
                .add_endpoint(&format!("life-{index}"), service)
                .await?;
        }
        let network = fleet.network.number;
        let ips: Vec<Ipv4Addr> = (1..=plans.len() as u8)
            .map(|number| Ipv4Addr::new(127, network, 0, number))
            .collect();
        for (index, plan) in plans.iter().enumerate() {
            let door = fleet.store.open_listener().await?;
            let process = fleet.start_gateway(index, plan, &ips, door.address)?;
            fleet.store_listeners.push(door);
            fleet.gateways.push(process);
        }
        for gateway in &fleet.gateways {
            wait_until("a gateway is ready", async || gateway.is_ready().await).await;
            let count = services.len();
            wait_until("a gateway knows the endpoints", async || {
                gateway.logged().matches("endpoint_ready").count() >= count
                    || gateway.logged().contains(&format!("\"count\":{count},"))
            })
            .await;
        }
        Ok(fleet)
    }

    /// Adds an endpoint to a service.
    ///
    /// # Errors
    ///
    /// Returns an error where no port is free.
    pub async fn add_endpoint(&mut self, id: &str, service: &str) -> Result<(), BenchError> {
        self.add_endpoint_in("a", id, service).await
    }

    /// Adds an endpoint in a failure domain to a service.
    ///
    /// # Errors
    ///
    /// Returns an error where no port is free.
    pub async fn add_endpoint_in(
        &mut self,
        domain: &str,
        id: &str,
        service: &str,
    ) -> Result<(), BenchError> {
        let endpoint = RoutedStandIn::start(id, service).await?;
        let (key, value) = endpoint.record(domain, "ready");
        self.store.set(&key, value);
        self.endpoints.push(endpoint);
        Ok(())
    }

    /// Starts a box beside the first gateway, to which it says that it knows what is in `answer`.
    ///
    /// # Errors
    ///
    /// Returns an error where it cannot listen.
    pub async fn start_peer(&self, answer: StateAnswer) -> Result<PeerStandIn, BenchError> {
        const HOST: u8 = 200;
        let ip = IpAddr::from([127, self.network.number, 0, HOST]);
        let own = SocketAddr::new(ip, PEERS);
        let to = self.gateways[0].at(PEERS);
        PeerStandIn::start(own, SocketAddr::new(ip, STATE), to, answer).await
    }

    fn start_gateway(
        &self,
        index: usize,
        plan: &BoxSpec,
        ips: &[Ipv4Addr],
        store: SocketAddr,
    ) -> Result<GatewayProcess, BenchError> {
        let (ip, domain) = (ips[index], &plan.domain);
        let seeds: Vec<String> = ips.iter().map(|seed| format!("{seed}:{STATE}")).collect();
        let text = format!(
            "[box]\nname = box-{index}\ndomain = {domain}\n\n[listen]\ncallers = {ip}:{CALLERS}\n\
             readiness = {ip}:{READINESS}\nstate = {ip}:{STATE}\npeers = {ip}:{PEERS}\n\
             metrics = {ip}:{METRICS}\n\n[platform]\nstore = {store}\n\n[gateway]\nseeds = {}\n\
             stop_grace_s = 4\nboxes = {}\ndescriptors = 300\n",
            seeds.join(","),
            seeds.len(),
        );
        let path = |ending: &str| self.folder.path().join(format!("box-{index}.{ending}"));
        let mut process = GatewayProcess {
            program: plan.program.clone(),
            ip,
            settings: path("ini"),
            log: path("log"),
            child: None,
        };
        write(&process.settings, &text)?;
        process.restart()?;
        Ok(process)
    }

    /// Returns how often a request ran, over all endpoints.
    pub fn runs_of(&self, id: &str) -> usize {
        let runs = self.endpoints.iter().flat_map(RoutedStandIn::ran);
        runs.filter(|run| run.id == id).count()
    }
}

fn write(path: &Path, text: &str) -> Result<(), BenchError> {
    std::fs::write(path, text)
        .map_err(|cause| BenchError::Io("write", path.display().to_string(), cause))
}
