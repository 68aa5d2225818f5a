//! Fleets of gateway processes on loopback, with stand-ins for the platform and the endpoints.

mod fleet_operations;

use crate::error::BenchError;
use crate::fleet::{daemon_program, http_get};
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

const CALLERS_PORT: u16 = 7_101;
const READINESS_PORT: u16 = 7_102;
const STATE_PORT: u16 = 7_103;
const PEERS_PORT: u16 = 7_104;
const METRICS_PORT: u16 = 7_105;
/// Time after which a wait fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The API keys of the default configuration.
pub const KEYS: &str = r#""k1","k2""#;

/// The port that a fleet binds to claim its loopback network.
const CLAIM_PORT: u16 = 7_100;

/// A loopback network used by one fleet only, among all fleets of all processes.
struct FleetNetwork {
    number: u8,
    /// Keeps the network claimed until it is dropped.
    _claim: TcpListener,
}

impl FleetNetwork {
    /// Claims an unused network.
    fn claim() -> Result<Self, BenchError> {
        const NUMBERS: std::ops::Range<u8> = 20..220;
        let first = rand::random_range(NUMBERS);
        let numbers = (first..NUMBERS.end).chain(NUMBERS.start..first);
        let claims = numbers.filter_map(|number| {
            let claim = TcpListener::bind((Ipv4Addr::new(127, number, 0, 1), CLAIM_PORT)).ok()?;
            Some(Self {
                number,
                _claim: claim,
            })
        });
        claims.into_iter().next().ok_or_else(|| {
            let cause = std::io::Error::other("all are in use");
            BenchError::Io("claim", "a loopback network".to_owned(), cause)
        })
    }
}

/// The parameters of one box of a fleet.
#[derive(Debug, Clone)]
pub struct BoxSpec {
    /// Its failure domain.
    pub domain: String,
    /// Its daemon program.
    pub program: PathBuf,
}

/// A gateway process.
pub struct GatewayProcess {
    program: PathBuf,
    ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Whether its settings say that the fleet starts for the first time.
    is_first_start: bool,
}

/// The setting of a fleet that starts for the first time.
const FIRST_START: &str = "first_start = true\n";

impl GatewayProcess {
    const fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), port)
    }

    /// Returns its IP address.
    pub const fn ip(&self) -> Ipv4Addr {
        self.ip
    }

    /// Returns its daemon program.
    pub fn program(&self) -> &Path {
        &self.program
    }

    /// Sets the daemon program for its next start.
    pub fn set_program(&mut self, program: &Path) {
        self.program = program.to_owned();
    }

    /// Returns the address of the caller listener.
    pub const fn caller_address(&self) -> SocketAddr {
        self.at(CALLERS_PORT)
    }

    /// Starts a new process with the same settings, but for those of a first start.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be started.
    pub fn restart(&mut self) -> Result<(), BenchError> {
        self.end_first_start()?;
        self.start()
    }

    /// Removes the setting of the first start, as the platform does before any later one.
    fn end_first_start(&mut self) -> Result<(), BenchError> {
        match std::mem::take(&mut self.is_first_start) {
            true => self.edit_settings(|settings| settings.replace(FIRST_START, "")),
            false => Ok(()),
        }
    }

    fn start(&mut self) -> Result<(), BenchError> {
        let io_error = |cause| BenchError::Io("start", self.settings.display().to_string(), cause);
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .map_err(io_error)?;
        let errors = log.try_clone().map_err(io_error)?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .env("DOCKGATE_AWAY_FILE", self.suspension_file())
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(io_error)?;
        self.child = Some(child);
        Ok(())
    }

    /// Adds a line to the `[gateway]` section of its settings, which are read on SIGHUP.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn add_setting(&self, line: &str) -> Result<(), BenchError> {
        let io_error = |cause| BenchError::Io("write", self.settings.display().to_string(), cause);
        let file = File::options().append(true).open(&self.settings);
        writeln!(file.map_err(io_error)?, "{line}").map_err(io_error)
    }

    /// Starts a new process and sends it a signal before it can read its settings.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be started.
    pub fn restart_with_signal(&mut self, signal: Signal) -> Result<(), BenchError> {
        self.end_first_start()?;
        let settings = self.settings.clone();
        let io_error = |cause| BenchError::Io("hold", settings.display().to_string(), cause);
        let hidden = settings.with_extension("kept");
        std::fs::rename(&settings, &hidden).map_err(io_error)?;
        let text = std::fs::read(&hidden).map_err(io_error)?;
        mkfifo(&settings, Mode::S_IRUSR | Mode::S_IWUSR).map_err(|cause| io_error(cause.into()))?;
        self.restart()?;
        // Opens once the process reads; the signal is handled before the read continues.
        let mut pipe = File::options()
            .write(true)
            .open(&settings)
            .map_err(io_error)?;
        self.signal(signal);
        std::fs::rename(&hidden, &settings).map_err(io_error)?;
        pipe.write_all(&text).map_err(io_error)
    }

    /// Replaces its settings by the result of `edit`, and starts it again.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings cannot be rewritten or the process cannot be started.
    pub fn restart_with_settings(
        &mut self,
        edit: impl FnOnce(&str) -> String,
    ) -> Result<(), BenchError> {
        self.edit_settings(edit)?;
        self.kill();
        self.restart()
    }

    /// Replaces its settings by the result of `edit`; it reads them on SIGHUP.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings cannot be rewritten.
    pub fn edit_settings(&self, edit: impl FnOnce(&str) -> String) -> Result<(), BenchError> {
        let path = self.settings.display().to_string();
        let text = std::fs::read_to_string(&self.settings)
            .map_err(|cause| BenchError::Io("read", path, cause))?;
        // Renamed into place, so that it is never read partially.
        let written = self.settings.with_extension("ini-new");
        write(&written, &edit(&text))?;
        std::fs::rename(&written, &self.settings)
            .map_err(|cause| BenchError::Io("rename", self.settings.display().to_string(), cause))
    }

    /// Returns a size of its process in kB, as `/proc/PID/status` names it; 0 if it does not run.
    pub fn memory_kb(&self, field: &str) -> u64 {
        let process = self.child.as_ref().map_or(0, Child::id);
        let status = std::fs::read_to_string(format!("/proc/{process}/status"));
        let status = status.unwrap_or_default();
        let mut values = status.lines().filter_map(|line| line.strip_prefix(field));
        let value = values.find_map(|value| value.strip_prefix(':'));
        let value = value.and_then(|value| value.trim().strip_suffix(" kB"));
        value.and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    fn suspension_file(&self) -> PathBuf {
        self.settings.with_extension("away")
    }

    /// Sets the total time for which it appears to have been suspended.
    ///
    /// The clock that counts suspensions is advanced; the monotonic clock and timers are not. Only
    /// debug builds support this.
    ///
    /// # Errors
    ///
    /// Returns an error if the file with the total cannot be written.
    pub fn simulate_suspension(&self, time: Duration) -> Result<(), BenchError> {
        // Renamed into place, so that it is never read partially.
        let file = self.suspension_file();
        let written = file.with_extension("away-new");
        write(&written, &time.as_millis().to_string())?;
        std::fs::rename(&written, &file)
            .map_err(|cause| BenchError::Io("rename", file.display().to_string(), cause))
    }

    /// Sends it a signal, if it runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // The process may have exited.
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Returns whether its process has installed a handler for a signal.
    pub fn handles_signal(&self, signal: Signal) -> bool {
        let child = self.child.as_ref();
        child.is_some_and(|child| handles_signal(child.id(), signal))
    }

    /// Kills its process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether its process has exited.
    pub fn has_exited(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Returns its log so far.
    pub fn logged(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns whether its readiness check succeeds.
    pub async fn is_ready(&self) -> bool {
        let answer = http_get(self.at(READINESS_PORT), "-/readyz").await;
        answer.is_some_and(|answer| answer.starts_with("HTTP/1.1 200"))
    }

    /// Releases a request from quarantine, if one is named, and returns the requests in quarantine.
    ///
    /// # Errors
    ///
    /// Returns the text of the error if it refuses or does not answer.
    pub async fn quarantine(&self, release: Option<String>) -> Result<QuarantineAnswer, String> {
        let client = HttpClientBuilder::default().build(format!("http://{}", self.at(STATE_PORT)));
        let client = client.map_err(|error| error.to_string())?;
        let request = QuarantineRequest { release };
        let answer = client.request(methods::QUARANTINE, rpc_params![request]);
        answer.await.map_err(|error| error.to_string())
    }

    /// Returns its metrics, or an empty text if it does not answer.
    pub async fn metrics(&self) -> String {
        http_get(self.at(METRICS_PORT), "metrics")
            .await
            .unwrap_or_default()
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns whether a process has installed a handler for a signal.
pub fn handles_signal(process: u32, signal: Signal) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"));
    let status = status.unwrap_or_default();
    let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
    let caught = caught.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
    caught.is_some_and(|mask| mask & (1 << (signal as u64 - 1)) != 0)
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics with a description of the condition if it does not hold in time.
pub async fn wait_until<F: AsyncFnMut() -> bool>(what: &str, mut holds: F) {
    let started = Instant::now();
    while !holds().await {
        assert!(started.elapsed() < WAIT_TIMEOUT, "timed out: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns a configuration.
///
/// Its routes: `/once/` is not idempotent, `/again/` is idempotent, `/live/` is a resumable stream,
/// and `/draft/` is a stream that cannot be resumed.
#[must_use]
pub fn route_config(version: u64, keys: &str) -> String {
    let route = |name: &str, kind: &str, service: &str, extra: &str| {
        format!(
            r#"{{"name":"{name}","host":"h.example","path_prefix":"/{name}/","type":"{kind}",
            "service":"{service}","timeout_ms":4000,"target_latency_ms":500,"priority":1{extra}}}"#
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

/// Returns the same configuration with `extra_routes` unused routes.
#[must_use]
pub fn large_config(version: u64, keys: &str, extra_routes: usize) -> String {
    let routes = (0..extra_routes).map(|number| {
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

/// Starts gateways and one endpoint per entry of `services`, with version 3 of the default
/// configuration.
///
/// # Panics
///
/// Panics if something cannot be started.
pub async fn start_fleet(gateways: usize, services: &[&str]) -> GatewayFleet {
    let started = GatewayFleet::start(gateways, services, &route_config(3, KEYS)).await;
    started.expect("a fleet starts on loopback")
}

/// A fleet of gateways.
pub struct GatewayFleet {
    /// The stand-in for the platform.
    pub store: PlatformStandIn,
    /// The store listener of each gateway.
    pub store_listeners: Vec<StoreListener>,
    /// The gateways.
    pub gateways: Vec<GatewayProcess>,
    /// The endpoints; the initial ones are in failure domain `a`.
    pub endpoints: Vec<RoutedStandIn>,
    network: FleetNetwork,
    folder: TempDir,
}

impl GatewayFleet {
    /// Starts gateways in failure domain `a`, and one endpoint per entry of `services`.
    ///
    /// # Errors
    ///
    /// Returns an error if something cannot be started.
    pub async fn start(
        gateways: usize,
        services: &[&str],
        config: &str,
    ) -> Result<Self, BenchError> {
        Self::start_in(&vec!["a"; gateways], services, config).await
    }

    /// Starts one gateway in each of the failure domains, and one endpoint per entry of `services`.
    ///
    /// # Errors
    ///
    /// Returns an error if something cannot be started.
    pub async fn start_in(
        domains: &[&str],
        services: &[&str],
        config: &str,
    ) -> Result<Self, BenchError> {
        let program = daemon_program()?;
        let specs = domains.iter().map(|domain| BoxSpec {
            domain: (*domain).to_owned(),
            program: program.clone(),
        });
        Self::start_boxes(&specs.collect::<Vec<_>>(), services, config).await
    }

    /// Starts one gateway per spec, and one endpoint per entry of `services`.
    ///
    /// # Errors
    ///
    /// Returns an error if something cannot be started.
    pub async fn start_boxes(
        specs: &[BoxSpec],
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
            .set(dockgate_platform::ROUTES_KEY, config.to_owned());
        for (index, service) in services.iter().enumerate() {
            fleet
                .add_endpoint(&format!("life-{index}"), service)
                .await?;
        }
        let network = fleet.network.number;
        let ips: Vec<Ipv4Addr> = (1..=specs.len() as u8)
            .map(|number| Ipv4Addr::new(127, network, 0, number))
            .collect();
        for (index, spec) in specs.iter().enumerate() {
            let listener = fleet.store.open_listener().await?;
            let process = fleet.start_gateway(index, spec, &ips, listener.address)?;
            fleet.store_listeners.push(listener);
            fleet.gateways.push(process);
        }
        for gateway in &fleet.gateways {
            wait_until("a gateway is ready", async || gateway.is_ready().await).await;
            let count = services.len();
            wait_until("a gateway lists the endpoints", async || {
                gateway.logged().matches("endpoint_ready").count() >= count
                    || gateway.logged().contains(&format!("\"count\":{count},"))
            })
            .await;
        }
        Ok(fleet)
    }

    /// Starts an endpoint of a service in failure domain `a`.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn add_endpoint(&mut self, id: &str, service: &str) -> Result<(), BenchError> {
        self.add_endpoint_in("a", id, service).await
    }

    /// Starts an endpoint of a service in a failure domain.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn add_endpoint_in(
        &mut self,
        domain: &str,
        id: &str,
        service: &str,
    ) -> Result<(), BenchError> {
        let endpoint = RoutedStandIn::start(id, service).await?;
        self.add_started(domain, endpoint);
        Ok(())
    }

    /// Starts an endpoint of a service with a software version in failure domain `a`.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn add_endpoint_of_version(
        &mut self,
        version: &str,
        id: &str,
        service: &str,
    ) -> Result<(), BenchError> {
        let mut endpoint = RoutedStandIn::start(id, service).await?;
        version.clone_into(&mut endpoint.version);
        self.add_started("a", endpoint);
        Ok(())
    }

    fn add_started(&mut self, domain: &str, endpoint: RoutedStandIn) {
        let (key, value) = endpoint.record(domain, "ready");
        self.store.set(&key, value);
        self.endpoints.push(endpoint);
    }

    /// Starts a stand-in for a box that announces the state in `answer` to the first gateway.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot listen.
    pub async fn start_peer(&self, answer: StateAnswer) -> Result<PeerStandIn, BenchError> {
        const HOST: u8 = 200;
        let ip = IpAddr::from([127, self.network.number, 0, HOST]);
        let own = SocketAddr::new(ip, PEERS_PORT);
        let to = self.gateways[0].at(PEERS_PORT);
        PeerStandIn::start(own, SocketAddr::new(ip, STATE_PORT), to, answer).await
    }

    fn start_gateway(
        &self,
        index: usize,
        spec: &BoxSpec,
        ips: &[Ipv4Addr],
        store: SocketAddr,
    ) -> Result<GatewayProcess, BenchError> {
        let (ip, domain) = (ips[index], &spec.domain);
        let seeds: Vec<String> = ips
            .iter()
            .map(|seed| format!("{seed}:{STATE_PORT}"))
            .collect();
        // Programs of earlier builds do not know the setting.
        let is_first_start = spec.program == daemon_program()?;
        let text = format!(
            "[box]\nname = box-{index}\ndomain = {domain}\n\n[listen]\ncallers = {ip}:{CALLERS_PORT}\n\
             readiness = {ip}:{READINESS_PORT}\nstate = {ip}:{STATE_PORT}\npeers = {ip}:{PEERS_PORT}\n\
             metrics = {ip}:{METRICS_PORT}\n\n[platform]\nstore = {store}\n\n[gateway]\nseeds = {}\n\
             stop_grace_s = 4\nboxes = {}\ndescriptors = 300\n{}",
            seeds.join(","),
            seeds.len(),
            if is_first_start { FIRST_START } else { "" },
        );
        let path = |ending: &str| self.folder.path().join(format!("box-{index}.{ending}"));
        let mut process = GatewayProcess {
            program: spec.program.clone(),
            ip,
            settings: path("ini"),
            log: path("log"),
            child: None,
            is_first_start,
        };
        write(&process.settings, &text)?;
        process.start()?;
        Ok(process)
    }

    /// Returns how often a request ran on all endpoints together.
    pub fn runs_of(&self, id: &str) -> usize {
        let runs = self.endpoints.iter().flat_map(RoutedStandIn::ran);
        runs.filter(|run| run.id == id).count()
    }
}

fn write(path: &Path, text: &str) -> Result<(), BenchError> {
    std::fs::write(path, text)
        .map_err(|cause| BenchError::Io("write", path.display().to_string(), cause))
}
