//! Gateway processes on loopback addresses, started with the command and the template of the
//! deploy file.

use crate::http::Conn;
use crate::record::Record;
use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

pub const CALLERS_PORT: u16 = 8783;
const READINESS_PORT: u16 = 8780;
const STATE_PORT: u16 = 8785;
const PEERS_PORT: u16 = 7400;
const METRICS_PORT: u16 = 9464;
pub const STORE_PORT: u16 = 8781;

/// The processes that were started and have not been ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started, and this one, if the case takes too long.
pub fn end_after(time: Duration) {
    thread::spawn(move || {
        thread::sleep(time);
        eprintln!("the case took too long");
        for id in STARTED.lock().unwrap().iter() {
            send_signal("KILL", *id);
        }
        std::process::exit(2);
    });
}

/// Sends a signal with the `kill` that each shell has.
fn send_signal(name: &str, id: u32) {
    let command = format!("kill -{name} {id}");
    let _ = Command::new("sh").arg("-c").arg(command).status();
}

/// A loopback network that nobody else uses, for as long as this value lives.
pub struct Network {
    number: u8,
    _claim: TcpListener,
}

impl Network {
    pub fn claim() -> io::Result<Network> {
        let first = std::process::id() % 150;
        for offset in 0..150 {
            let number = 60 + ((first + offset) % 150) as u8;
            if let Ok(claim) = TcpListener::bind((Ipv4Addr::new(127, number, 0, 1), 7099)) {
                return Ok(Network {
                    number,
                    _claim: claim,
                });
            }
        }
        Err(io::Error::other("no loopback network is free"))
    }

    pub fn ip(&self, zone: u8, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.number, zone, host)
    }

    pub fn store(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip(200, 7)), STORE_PORT)
    }
}

/// What the settings of all boxes have in common.
#[derive(Clone)]
pub struct Sheet {
    pub store: SocketAddr,
    pub memory_mb: u32,
    pub seeds: Vec<SocketAddr>,
    pub grace_s: u32,
}

pub struct GatewayBox {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl GatewayBox {
    pub fn new(folder: &Path, name: &str, zone: &str, ip: Ipv4Addr) -> GatewayBox {
        GatewayBox {
            name: name.to_owned(),
            zone: zone.to_owned(),
            ip,
            settings: folder.join(format!("{name}.ini")),
            log: folder.join(format!("{name}.log")),
            child: None,
        }
    }

    pub fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), port)
    }

    pub fn callers(&self) -> SocketAddr {
        self.address(CALLERS_PORT)
    }

    pub fn state(&self) -> SocketAddr {
        self.address(STATE_PORT)
    }

    /// Fills in the template `deploy/dockgate.ini`.
    pub fn write_settings(&self, sheet: &Sheet, first_start: bool) -> io::Result<()> {
        let seeds = sheet.seeds.iter().map(SocketAddr::to_string);
        let seeds = seeds.collect::<Vec<String>>().join(",");
        let ip = self.ip;
        let mut text = format!(
            "[box]\nname = {}\ndomain = {}\nprocessor = 0.25\nmemory_mb = {}\n\
             [listen]\ncallers = {ip}:{CALLERS_PORT}\nreadiness = {ip}:{READINESS_PORT}\n\
             state = {ip}:{STATE_PORT}\npeers = {ip}:{PEERS_PORT}\nmetrics = {ip}:{METRICS_PORT}\n\
             [platform]\nstore = {}\n[gateway]\nseeds = {seeds}\n\
             conditions = base,drain,config,cost,retry,recover,engine,stream,tenants,platform\n\
             descriptors = 4100\nstop_grace_s = {}\ndrain_ms = 2000\nshare_window_s = 4\n\
             retry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 56\n",
            self.name, self.zone, sheet.memory_mb, sheet.store, sheet.grace_s
        );
        if first_start {
            text.push_str("first_start = true\n");
        }
        fs::write(&self.settings, text)
    }

    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/dockgate")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        STARTED.lock().unwrap().push(child.id());
        self.child = Some(child);
        Ok(())
    }

    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal to the process, by its name as `kill` takes it.
    pub fn signal(&self, name: &str) {
        if self.child.is_some() {
            send_signal(name, self.id());
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    pub fn is_ready(&self) -> bool {
        let address = self.address(READINESS_PORT);
        let Ok(mut conn) = Conn::open(address, Duration::from_secs(1)) else {
            return false;
        };
        let asked = conn.write(b"GET /-/readyz HTTP/1.1\r\nHost: box\r\n\r\n");
        asked.is_ok() && matches!(conn.read_head(), Ok(Some(head)) if head.status() == 200)
    }
}

impl Drop for GatewayBox {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all boxes are ready.
pub fn wait_until_ready(boxes: &[GatewayBox], record: &Record) -> io::Result<()> {
    let until = Instant::now() + Duration::from_secs(15);
    while !boxes.iter().all(GatewayBox::is_ready) {
        if Instant::now() > until {
            return Err(io::Error::other("the boxes are not ready after 15 s"));
        }
        thread::sleep(Duration::from_millis(50));
    }
    record.write("all boxes are ready");
    Ok(())
}
