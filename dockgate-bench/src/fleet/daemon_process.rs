//! A daemon as a child process.

use crate::error::BenchError;
use crate::standin::BoxEntry;
use jsonrpsee::http_client::{HeaderMap, HeaderValue, HttpClient, HttpClientBuilder};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fmt::Write as _;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Operator token of bench fleets.
pub(super) const OPERATOR_TOKEN: &str = "bench-operator-token";
const FLEET_SECRET: &str = "bench-fleet-secret-0";
const OPERATOR_TOKEN_FILE: &str = "operator.token";
const FLEET_SECRET_FILE: &str = "fleet.secret";
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Settings with which a daemon is started.
#[derive(Debug, Clone)]
pub(super) struct DaemonSettings {
    pub(super) name: String,
    pub(super) domain: String,
    pub(super) callers: SocketAddr,
    pub(super) peers: SocketAddr,
    pub(super) operators: SocketAddr,
    pub(super) metrics: SocketAddr,
    pub(super) platform: SocketAddr,
    pub(super) schedule: Vec<(String, String)>,
}

/// A daemon process, killed on drop.
pub struct DaemonProcess {
    settings: DaemonSettings,
    settings_path: PathBuf,
    child: Option<Child>,
}

/// Writes the secret files that the daemons read.
pub(super) fn write_secrets(folder: &Path) -> Result<(), BenchError> {
    for (file, secret) in [
        (FLEET_SECRET_FILE, FLEET_SECRET),
        (OPERATOR_TOKEN_FILE, OPERATOR_TOKEN),
    ] {
        write_file(&folder.join(file), secret)?;
    }
    Ok(())
}

fn write_file(path: &Path, text: &str) -> Result<(), BenchError> {
    let written = std::fs::write(path, text);
    written.map_err(|cause| BenchError::Io("write", path.display().to_string(), cause))
}

/// Creates a client of an operator listener.
pub(super) fn operator_client(address: SocketAddr, token: &str) -> Result<HttpClient, BenchError> {
    let mut headers = HeaderMap::new();
    if let Ok(bearer) = HeaderValue::from_str(&format!("Bearer {token}")) {
        headers.insert("authorization", bearer);
    }
    HttpClientBuilder::default()
        .set_headers(headers)
        .max_request_size(64 << 20)
        .max_response_size(64 << 20)
        .build(format!("http://{address}"))
        .map_err(|error| {
            BenchError::Daemon(
                "create a client for",
                address.to_string(),
                error.to_string(),
            )
        })
}

/// Returns the path of the daemon's program: in the folder of this program, or in its parent if
/// this is a test.
pub(crate) fn daemon_program() -> Result<PathBuf, BenchError> {
    let current_exe = std::env::current_exe()
        .map_err(|cause| BenchError::Io("find", "this program".to_owned(), cause))?;
    let found = current_exe
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join("dockgate"))
        .find(|path| path.is_file());
    found.ok_or_else(|| {
        let cause = "not built; run `cargo build --package dockgate`".to_owned();
        BenchError::Daemon("find", "dockgate".to_owned(), cause)
    })
}

impl DaemonProcess {
    /// Starts a daemon whose settings and log files are in `folder`.
    pub(super) fn start(
        settings: DaemonSettings,
        boxes: &[BoxEntry],
        folder: &Path,
    ) -> Result<Self, BenchError> {
        let settings_path = folder.join(format!("{}.ini", settings.name));
        write_file(&settings_path, &settings.to_ini(boxes, folder))?;
        let mut daemon = Self {
            settings,
            settings_path,
            child: None,
        };
        daemon.restart()?;
        Ok(daemon)
    }

    /// Starts a new process with the same settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn restart(&mut self) -> Result<(), BenchError> {
        let log = self.log_path();
        let failed = |cause| BenchError::Io("start", self.settings.name.clone(), cause);
        let file = File::options().create(true).append(true).open(&log);
        let file = file.map_err(failed)?;
        let errors = file.try_clone().map_err(failed)?;
        let child = Command::new(daemon_program()?)
            .arg("--settings")
            .arg(&self.settings_path)
            .stdin(Stdio::null())
            .stdout(file)
            .stderr(errors)
            .spawn()
            .map_err(failed)?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns the name of the box.
    pub fn name(&self) -> &str {
        &self.settings.name
    }

    /// Returns the failure domain of the box.
    pub fn domain(&self) -> &str {
        &self.settings.domain
    }

    /// Returns the address of the caller listener.
    pub const fn caller_address(&self) -> SocketAddr {
        self.settings.callers
    }

    /// Returns the address of the operator listener.
    pub const fn operator_address(&self) -> SocketAddr {
        self.settings.operators
    }

    /// Returns the path of the log file.
    pub fn log_path(&self) -> PathBuf {
        self.settings_path.with_extension("log")
    }

    /// Returns the process id, or `None` if the process was killed or has exited.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid().and_then(|pid| i32::try_from(pid).ok()) {
            // Fails only if the process has already exited.
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }

    /// Asks the daemon to shut down gracefully (SIGTERM).
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Suspends the process (SIGSTOP).
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes a suspended process (SIGCONT).
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Kills the process and waits for it.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        let exit_status = self.child.as_mut().map(Child::try_wait);
        match exit_status {
            Some(Ok(Some(_))) => {
                self.child = None;
                true
            }
            None => true,
            _ => false,
        }
    }

    /// Waits for the process to exit and kills it after `timeout`; returns whether it exited.
    pub async fn wait_or_kill(&mut self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if self.has_exited() {
                return true;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.kill();
        false
    }

    /// Waits until `GET /PATH` at the caller listener returns status 200.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not do so within `timeout`.
    pub async fn wait_for_ok(&self, path: &str, timeout: Duration) -> Result<(), BenchError> {
        let ready = async |daemon: &Self| returns_ok(daemon.settings.callers, path).await;
        self.wait_until(path, timeout, ready).await
    }

    /// Waits until the daemon has exactly `links` open links.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not within `timeout`.
    pub async fn wait_for_links(&self, links: usize, timeout: Duration) -> Result<(), BenchError> {
        let linked =
            async |daemon: &Self| daemon.metric("dockgate_open_links").await == Some(links as f64);
        self.wait_until("links", timeout, linked).await
    }

    async fn wait_until(
        &self,
        what: &str,
        timeout: Duration,
        condition: impl AsyncFn(&Self) -> bool,
    ) -> Result<(), BenchError> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if condition(self).await {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let cause = format!("{what} not reached within {timeout:?}");
        Err(BenchError::Daemon(
            "wait for",
            self.settings.name.clone(),
            cause,
        ))
    }

    fn read_proc_file(&self, file: &str) -> String {
        let path = self.pid().map(|pid| format!("/proc/{pid}/{file}"));
        path.and_then(|path| std::fs::read_to_string(path).ok())
            .unwrap_or_default()
    }

    /// Returns the CPU time used by the process, in seconds, or zero if it is unknown.
    pub fn cpu_seconds(&self) -> f64 {
        /// Clock ticks per second (`USER_HZ`).
        const TICKS_PER_SECOND: f64 = 100.0;
        let text = self.read_proc_file("stat");
        // The command name may contain spaces, so fields are counted after its closing parenthesis.
        let fields = text.rsplit(')').next().unwrap_or_default();
        let times = fields.split_whitespace().skip(11).take(2);
        times
            .filter_map(|ticks| ticks.parse::<f64>().ok())
            .sum::<f64>()
            / TICKS_PER_SECOND
    }

    /// Returns the resident memory of the process, in megabytes, or zero if it is unknown.
    pub fn memory_mb(&self) -> f64 {
        let text = self.read_proc_file("status");
        let line = text.lines().find(|line| line.starts_with("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
        kilobytes.unwrap_or(0.0) / 1_024.0
    }

    /// Returns the address of the metrics listener.
    pub(crate) const fn metrics_address(&self) -> SocketAddr {
        self.settings.metrics
    }

    /// Returns the sum of a metric over all its label sets, or `None` if it is not exported.
    pub async fn metric(&self, name: &str) -> Option<f64> {
        fetch_metric(self.settings.metrics, name).await
    }
}

/// Fetches a metric and returns the sum over all its label sets.
pub(crate) async fn fetch_metric(address: SocketAddr, name: &str) -> Option<f64> {
    let text = http_get(address, "metrics").await?;
    let mut found = None;
    for line in text.lines() {
        let Some((key, value)) = line.rsplit_once(' ') else {
            continue;
        };
        let metric_name = key.split('{').next().unwrap_or(key);
        if let (true, Ok(value)) = (metric_name == name, value.parse::<f64>()) {
            found = Some(found.unwrap_or(0.0) + value);
        }
    }
    found
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

impl DaemonSettings {
    fn to_ini(&self, boxes: &[BoxEntry], folder: &Path) -> String {
        let mut text = format!(
            "[box]\nname = {}\ndomain = {}\n\n[listen]\ncallers = {}\npeers = {}\n\
             operators = {}\nmetrics = {}\n\n[platform]\naddress = {}\n\n\
             [secrets]\nfleet_file = {}\noperator_file = {}\n\n[limits]\nstop_grace_ms = 500\n\n\
             [schedule]\n",
            self.name,
            self.domain,
            self.callers,
            self.peers,
            self.operators,
            self.metrics,
            self.platform,
            folder.join(FLEET_SECRET_FILE).display(),
            folder.join(OPERATOR_TOKEN_FILE).display(),
        );
        for (key, value) in &self.schedule {
            // Writing to a `String` cannot fail.
            let _ = writeln!(text, "{key} = {value}");
        }
        for peer in boxes.iter().filter(|peer| peer.name != self.name) {
            if let Some(address) = peer.peer_addresses.get(&self.domain) {
                let _ = writeln!(
                    text,
                    "[seed {}]\ndomain = {}\naddress = {address}",
                    peer.name, peer.domain
                );
            }
        }
        text
    }
}

async fn returns_ok(address: SocketAddr, path: &str) -> bool {
    let response = http_get(address, path).await;
    response.is_some_and(|response| response.starts_with("HTTP/1.1 200"))
}

/// Returns whether the readiness probe of a box succeeds.
pub async fn is_ready(caller_address: SocketAddr) -> bool {
    returns_ok(caller_address, "readyz").await
}

/// Sends a GET request and returns the whole response, including its head, as text.
pub(crate) async fn http_get(address: SocketAddr, path: &str) -> Option<String> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let request = format!("GET /{path} HTTP/1.1\r\nhost: bench\r\nconnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut response = String::new();
        stream.read_to_string(&mut response).await.ok()?;
        Some(response)
    };
    tokio::time::timeout(Duration::from_secs(2), exchange)
        .await
        .ok()
        .flatten()
}
