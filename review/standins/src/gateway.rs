//! Starts the gateway with the command of the deploy file and settings from its template.

use crate::http::call;
use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The template and the program of the deploy file, from the root of the repository.
const TEMPLATE: &str = "deploy/dockgate.ini";
const PROGRAM: &str = "target/release/dockgate";

/// A machine of a small deployment.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub ip: String,
}

/// The ports of all machines of a case.
#[derive(Clone, Copy)]
pub struct Ports {
    frontend: u16,
    readiness: u16,
    control: u16,
    peers: u16,
}

impl Ports {
    /// Finds ports that are free at all addresses.
    pub fn find(ips: &[String]) -> io::Result<Self> {
        let is_free = |port: u16| {
            ips.iter()
                .all(|ip| TcpListener::bind((ip.as_str(), port)).is_ok())
        };
        let mut ports =
            (21_000 + (std::process::id() as u16 % 200) * 50..61_000).filter(|port| is_free(*port));
        let mut next = || ports.next().ok_or_else(|| io::Error::other("no free port"));
        Ok(Self {
            frontend: next()?,
            readiness: next()?,
            control: next()?,
            peers: next()?,
        })
    }
}

/// A gateway process; killed on drop.
pub struct Gateway {
    pub name: String,
    pub frontend: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Gateway {
    /// Writes the settings of a machine and starts its process.
    pub fn start(
        machine: &Machine,
        all: &[Machine],
        ports: Ports,
        store: SocketAddr,
        folder: &Path,
    ) -> io::Result<Self> {
        let Machine { name, zone, ip } = machine;
        let seeds: Vec<String> = all
            .iter()
            .take(3)
            .map(|seed| format!("{}:{}", seed.ip, ports.control))
            .collect();
        let fields = [
            ("node_name", name.clone()),
            ("zone", zone.clone()),
            ("ip", ip.clone()),
            ("limits.cpu_quota", "0.25".to_owned()),
            ("limits.memory_mb", "110".to_owned()),
            ("limits.max_fds", "4100".to_owned()),
            ("listen.frontend", format!("{ip}:{}", ports.frontend)),
            ("listen.readiness", format!("{ip}:{}", ports.readiness)),
            ("listen.control_plane", format!("{ip}:{}", ports.control)),
            ("ephemeral_ports.0", ports.peers.to_string()),
            ("platform.address", store.to_string()),
            ("seeds", seeds.join(",")),
            (
                "contracts",
                "base,drain,config,cost,retry,recover,engine,stream,tenants,platform".to_owned(),
            ),
            ("bounds.grace_s", "8".to_owned()),
            ("bounds.drain_ms", "2000".to_owned()),
            ("bounds.quota_window_s", "4".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.retry_window_s", "10".to_owned()),
            ("bounds.budget_slack", "52".to_owned()),
        ];
        let settings = folder.join(format!("{name}.ini"));
        fs::write(&settings, fill(&fs::read_to_string(TEMPLATE)?, &fields))?;
        let mut gateway = Self {
            name: name.clone(),
            frontend: format!("{ip}:{}", ports.frontend)
                .parse()
                .map_err(io::Error::other)?,
            readiness: format!("{ip}:{}", ports.readiness)
                .parse()
                .map_err(io::Error::other)?,
            settings,
            log: folder.join(format!("{name}.log")),
            child: None,
        };
        gateway.spawn()?;
        Ok(gateway)
    }

    /// Starts the process.
    pub fn spawn(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(PROGRAM)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends the process a signal, named as `kill` does.
    pub fn signal(&self, signal: &str) -> io::Result<()> {
        let child = self
            .child
            .as_ref()
            .ok_or_else(|| io::Error::other("no process"))?;
        let kill = format!("kill -{signal} {}", child.id());
        let status = Command::new("sh").args(["-c", &kill]).status()?;
        match status.success() {
            true => Ok(()),
            false => Err(io::Error::other("the signal was not sent")),
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Returns whether its readiness check answers 200.
    pub fn is_ready(&self) -> bool {
        let request = b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n";
        let answer = call(self.readiness, request, Duration::from_millis(500));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until the process is ready.
    pub fn wait_until_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            if Instant::now() > until {
                return Err(io::Error::other(format!("{} is not ready", self.name)));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Returns what the process has logged.
    pub fn logged(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Fills the gaps of a template; sections of fields that are not given are left out.
fn fill(template: &str, fields: &[(&str, String)]) -> String {
    let mut text = String::new();
    let mut skipped: Option<String> = None;
    for line in template.lines() {
        let section = line
            .strip_prefix("{{#")
            .and_then(|line| line.strip_suffix("}}"));
        match (section, &skipped) {
            (Some(name), None) if !fields.iter().any(|(known, _)| *known == name) => {
                skipped = Some(format!("{{{{/{name}}}}}"));
            }
            (_, Some(end)) if line == end => skipped = None,
            (Some(_), _) | (_, Some(_)) => {}
            (None, None) if line.starts_with("{{/") => {}
            (None, None) => {
                let filled = fields.iter().fold(line.to_owned(), |line, (name, value)| {
                    line.replace(&format!("{{{{{name}}}}}"), value)
                });
                text.push_str(&filled);
                text.push('\n');
            }
        }
    }
    text
}
