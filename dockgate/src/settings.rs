//! Settings of the daemon: an INI file, overridden by environment and flags.

use crate::error::DaemonError;
use crate::members::MemberBox;
use clap::Parser;
use dockgate_core::{
    BoxKey, IniDocument, IniProblem, IniProblems, OrderMode, OrderPolicy, PausePolicy,
    SectionReader,
};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

const ADDRESS: &str = "an IP address and a port, such as 10.0.0.7:8000 (names are not looked up)";

/// Command line of the daemon.
#[derive(Debug, Clone, Parser)]
#[command(version, about = "The daemon of a fleet of request routers")]
pub(crate) struct DaemonArgs {
    /// Path of the settings file.
    #[arg(long, env = "DOCKGATE_SETTINGS", default_value = "dockgate.ini")]
    settings: PathBuf,
    /// Checks the settings and exits.
    #[arg(long)]
    pub(crate) check: bool,
    /// Overrides `name` of `[box]`.
    #[arg(long, env = "DOCKGATE_NAME")]
    name: Option<String>,
    /// Overrides `domain` of `[box]`.
    #[arg(long, env = "DOCKGATE_DOMAIN")]
    domain: Option<String>,
    /// Overrides `callers` of `[listen]`.
    #[arg(long, env = "DOCKGATE_CALLERS")]
    callers: Option<SocketAddr>,
    /// Overrides `peers` of `[listen]`.
    #[arg(long, env = "DOCKGATE_PEERS")]
    peers: Option<SocketAddr>,
    /// Overrides `operators` of `[listen]`.
    #[arg(long, env = "DOCKGATE_OPERATORS")]
    operators: Option<SocketAddr>,
    /// Overrides `metrics` of `[listen]`.
    #[arg(long, env = "DOCKGATE_METRICS")]
    metrics: Option<SocketAddr>,
    /// Overrides `address` of `[platform]`.
    #[arg(long, env = "DOCKGATE_PLATFORM")]
    platform: Option<SocketAddr>,
}

/// The settings of one daemon.
#[derive(Debug, Clone)]
pub(crate) struct DaemonSettings {
    /// The name of the box.
    pub(crate) name: String,
    /// Its failure domain.
    pub(crate) domain: String,
    /// Addresses that the daemon listens on.
    pub(crate) listen: ListenSettings,
    /// Connection to the platform.
    pub(crate) platform: PlatformSettings,
    /// Peers to use until the platform's list of boxes has been read.
    pub(crate) seeds: Vec<MemberBox>,
    /// Secrets, read from files.
    pub(crate) secrets: SecretSettings,
    /// Limits for callers and endpoints.
    pub(crate) limits: LimitSettings,
    /// Scheduling of slots.
    pub(crate) schedule: ScheduleSettings,
}

/// The addresses of the listeners.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ListenSettings {
    /// For callers.
    pub(crate) callers: SocketAddr,
    /// For peers.
    pub(crate) peers: SocketAddr,
    /// For operators.
    pub(crate) operators: SocketAddr,
    /// For metrics.
    pub(crate) metrics: SocketAddr,
}

/// Connection to the platform.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlatformSettings {
    /// Its address.
    pub(crate) address: SocketAddr,
    /// Timeout of a call.
    pub(crate) timeout: Duration,
    /// How long a watch waits for a change.
    pub(crate) watch: Duration,
}

/// Secrets that authenticate peers and operators.
#[derive(Clone, Default)]
pub(crate) struct SecretSettings {
    /// Shared by the fleet's daemons.
    pub(crate) fleet: String,
    /// Bearer token of operators.
    pub(crate) operator: String,
}

impl std::fmt::Debug for SecretSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SecretSettings(..)")
    }
}

/// Limits for callers and endpoints.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LimitSettings {
    /// Maximum number of concurrent connections of callers.
    pub(crate) connections: usize,
    /// Maximum size of a request body, in bytes.
    pub(crate) body_bytes: usize,
    /// Maximum size of the headers of a request, in bytes.
    pub(crate) header_bytes: usize,
    /// How long a caller may take to send its headers.
    pub(crate) header_timeout: Duration,
    /// How long a caller may take to send its body.
    pub(crate) body_timeout: Duration,
    /// How long a request waits for a slot if the caller sets no deadline.
    pub(crate) queue_timeout: Duration,
    /// How long connecting to an endpoint may take.
    pub(crate) connect_timeout: Duration,
    /// How long an endpoint may send nothing before or during a response.
    pub(crate) answer_timeout: Duration,
    /// Maximum number of attempts for one request.
    pub(crate) attempts: u32,
    /// How long a stopping daemon still responds, so that the load balancer notices.
    pub(crate) stop_grace: Duration,
    /// How long a stopping daemon waits for requests in flight.
    pub(crate) stop_timeout: Duration,
}

/// Scheduling of slots.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ScheduleSettings {
    /// How workspaces are ordered.
    pub(crate) mode: OrderMode,
    /// Parameters of the order.
    pub(crate) order: OrderPolicy,
    /// When streams are paused.
    pub(crate) pause: PausePolicy,
    /// Age advantage of requests from entries in the failure domain of the scheduler.
    pub(crate) locality: Duration,
    /// Interval of the reports to other schedulers.
    pub(crate) report_every: Duration,
    /// How long a grant is valid without a message from its entry.
    pub(crate) grant_ttl: Duration,
    /// Interval of the cost reports of a running request.
    pub(crate) progress_every: Duration,
    /// How long a scheduler waits for adopted grants before it grants slots of a new endpoint.
    pub(crate) adopt: Duration,
    /// How long a request waits on its first scheduler before it is sent to more.
    pub(crate) widen: Duration,
    /// The number of schedulers that it is sent to after that.
    pub(crate) width: usize,
    /// How long a link may be closed before its box counts as dead.
    pub(crate) suspect: Duration,
    /// Timeout of a call to a peer.
    pub(crate) peer_timeout: Duration,
}

impl DaemonArgs {
    /// Returns the path of the settings file.
    pub(crate) fn settings(&self) -> &std::path::Path {
        &self.settings
    }

    /// Reads and checks the settings.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be read, or all problems in the settings.
    pub(crate) fn load(&self) -> Result<DaemonSettings, DaemonError> {
        let path = self.settings.display().to_string();
        let text = std::fs::read_to_string(&self.settings)
            .map_err(|cause| DaemonError::File("read settings", path.clone(), cause))?;
        let mut settings = parse_settings(&path, &text, self)?;
        settings.secrets = read_secrets(&path, &text)?;
        Ok(settings)
    }
}

fn read_secrets(path: &str, text: &str) -> Result<SecretSettings, DaemonError> {
    const MIN_SECRET_LEN: usize = 16;
    let mut document = IniDocument::parse(path, text)?;
    let mut secrets = SecretSettings::default();
    let mut problems = Vec::new();
    for mut section in document.take_sections() {
        if section.kind != "secrets" {
            continue;
        }
        for (key, secret) in [
            ("fleet_file", &mut secrets.fleet),
            ("operator_file", &mut secrets.operator),
        ] {
            let line = section.line_of(key);
            let file = section.take_text(key).unwrap_or_default();
            *secret = std::fs::read_to_string(&file)
                .map_err(|cause| DaemonError::File("read secret", file.clone(), cause))?
                .trim()
                .to_owned();
            if secret.len() < MIN_SECRET_LEN {
                problems.push(IniProblem {
                    file: path.to_owned(),
                    line,
                    message: format!("{file} must hold at least {MIN_SECRET_LEN} characters"),
                });
            }
        }
    }
    match problems.is_empty() {
        true => Ok(secrets),
        false => Err(IniProblems::Invalid(problems).into()),
    }
}

/// Kind of the sections that describe seed peers.
const SEED_SECTION: &str = "seed";
/// The other sections of a settings file.
const SECTIONS: [&str; 6] = ["box", "listen", "platform", "secrets", "limits", "schedule"];

fn parse_settings(
    file: &str,
    text: &str,
    args: &DaemonArgs,
) -> Result<DaemonSettings, IniProblems> {
    let mut document = IniDocument::parse(file, text)?;
    let mut sections = document.take_sections();
    let (mut seeds, mut others): (Vec<_>, Vec<_>) = std::mem::take(&mut sections)
        .into_iter()
        .partition(|section| section.kind == SEED_SECTION && !section.name.is_empty());
    std::mem::swap(&mut sections, &mut others);
    for section in &sections {
        if !SECTIONS.contains(&section.kind.as_str()) || !section.name.is_empty() {
            let allowed = SECTIONS.join("], [");
            let message = format!("unknown section; allowed: [{allowed}], [{SEED_SECTION} NAME]");
            document.report(section.line, message);
        }
    }
    let members: Vec<MemberBox> = seeds.iter_mut().filter_map(read_seed).collect();
    seeds
        .into_iter()
        .for_each(|seed| document.close_section(seed));
    let mut section = |kind: &str| -> SectionReader {
        let found = sections.iter().position(|section| section.kind == kind);
        found.map_or_else(
            || SectionReader::empty(file, kind),
            |index| sections.remove(index),
        )
    };
    let (mut identity, mut listen, mut platform) =
        (section("box"), section("listen"), section("platform"));
    let (mut secrets, mut limits, mut schedule) =
        (section("secrets"), section("limits"), section("schedule"));
    let settings = read_sections(
        args,
        &mut identity,
        &mut listen,
        &mut platform,
        &mut limits,
        &mut schedule,
    );
    for key in ["fleet_file", "operator_file"] {
        secrets.take_required::<String>(key, "the path of a file that holds the secret");
    }
    for section in [identity, listen, platform, secrets, limits, schedule] {
        document.close_section(section);
    }
    document.finish()?;
    // Missing required keys have been reported by `finish`.
    let mut settings = settings.ok_or_else(|| IniProblems::Invalid(Vec::new()))?;
    settings.seeds = members;
    Ok(settings)
}

/// Reads a section `[seed NAME]`, which describes a peer.
fn read_seed(section: &mut SectionReader) -> Option<MemberBox> {
    let domain = section.take_required("domain", "the box's failure domain");
    let address = section.take_required("address", ADDRESS);
    Some(MemberBox {
        key: BoxKey::from_name(&section.name),
        name: section.name.clone(),
        domain: domain?,
        address: address?,
        leaving: false,
    })
}

fn read_sections(
    args: &DaemonArgs,
    identity: &mut SectionReader,
    listen: &mut SectionReader,
    platform: &mut SectionReader,
    limits: &mut SectionReader,
    schedule: &mut SectionReader,
) -> Option<DaemonSettings> {
    let name = take_overridable(identity, "name", "the box's name", args.name.clone());
    let domain = take_overridable(
        identity,
        "domain",
        "the box's failure domain",
        args.domain.clone(),
    );
    let listen = read_listen(listen, args);
    let platform = read_platform(platform, args);
    let limits = read_limits(limits);
    let schedule = read_schedule(schedule);
    Some(DaemonSettings {
        name: name?,
        domain: domain?,
        listen: listen?,
        platform: platform?,
        seeds: Vec::new(),
        secrets: SecretSettings::default(),
        limits,
        schedule,
    })
}

fn take_overridable<T: std::str::FromStr>(
    section: &mut SectionReader,
    key: &str,
    allowed: &str,
    override_value: Option<T>,
) -> Option<T> {
    match override_value {
        Some(value) => {
            section.take_text(key);
            Some(value)
        }
        None => section.take_required(key, allowed),
    }
}

fn read_listen(section: &mut SectionReader, args: &DaemonArgs) -> Option<ListenSettings> {
    let callers = take_overridable(section, "callers", ADDRESS, args.callers);
    let peers = take_overridable(section, "peers", ADDRESS, args.peers);
    let operators = take_overridable(section, "operators", ADDRESS, args.operators);
    let metrics = take_overridable(section, "metrics", ADDRESS, args.metrics);
    Some(ListenSettings {
        callers: callers?,
        peers: peers?,
        operators: operators?,
        metrics: metrics?,
    })
}

/// Takes a duration in milliseconds from `min_ms` to `max_ms`.
fn take_ms(
    section: &mut SectionReader,
    key: &str,
    default: u64,
    min_ms: u64,
    max_ms: u64,
) -> Duration {
    let allowed = format!("milliseconds from {min_ms} to {max_ms}");
    let value = section.take_checked(key, default, &allowed, |value| {
        (min_ms..=max_ms).contains(value)
    });
    Duration::from_millis(value)
}

fn take_count(
    section: &mut SectionReader,
    key: &str,
    default: usize,
    min_count: usize,
    max_count: usize,
) -> usize {
    let allowed = format!("a whole number from {min_count} to {max_count}");
    section.take_checked(key, default, &allowed, |value| {
        (min_count..=max_count).contains(value)
    })
}

fn read_platform(section: &mut SectionReader, args: &DaemonArgs) -> Option<PlatformSettings> {
    let address = take_overridable(section, "address", ADDRESS, args.platform);
    Some(PlatformSettings {
        timeout: take_ms(section, "timeout_ms", 2_000, 10, 60_000),
        watch: take_ms(section, "watch_ms", 20_000, 100, 300_000),
        address: address?,
    })
}

fn read_limits(section: &mut SectionReader) -> LimitSettings {
    LimitSettings {
        connections: take_count(section, "connections", 10_000, 1, 1_000_000),
        body_bytes: take_count(section, "body_bytes", 4 << 20, 1, 1 << 30),
        header_bytes: take_count(section, "header_bytes", 32 << 10, 8 << 10, 1 << 20),
        header_timeout: take_ms(section, "header_timeout_ms", 10_000, 10, 600_000),
        body_timeout: take_ms(section, "body_timeout_ms", 30_000, 10, 600_000),
        queue_timeout: take_ms(section, "queue_timeout_ms", 60_000, 1, 86_400_000),
        connect_timeout: take_ms(section, "connect_timeout_ms", 1_000, 1, 60_000),
        answer_timeout: take_ms(section, "answer_timeout_ms", 60_000, 10, 3_600_000),
        attempts: take_count(section, "attempts", 3, 1, 10) as u32,
        stop_grace: take_ms(section, "stop_grace_ms", 1_000, 0, 60_000),
        stop_timeout: take_ms(section, "stop_timeout_ms", 600_000, 0, 86_400_000),
    }
}

fn read_schedule(section: &mut SectionReader) -> ScheduleSettings {
    let line = section.line_of("order");
    let mode = match section.take_text("order").as_deref() {
        None | Some("fair") => OrderMode::Fair,
        Some("local") => OrderMode::Local,
        Some("fcfs") => OrderMode::Fcfs,
        Some(other) => {
            section.report(
                line,
                format!("order = {other}: must be fair, local or fcfs"),
            );
            OrderMode::Fair
        }
    };
    let horizon_s = section.take_checked(
        "horizon_s",
        3.0,
        "a number of seconds from 0 to 600",
        |horizon| (0.0..=600.0).contains(horizon),
    );
    let pause_gap_s = section.take_checked(
        "pause_gap_s",
        2.0,
        "a number of seconds from 0 to 600; 0 never pauses",
        |gap| (0.0..=600.0).contains(gap),
    );
    let pause_budget = section.take_checked(
        "pause_budget",
        0.03,
        "a part of all grants from 0 to 1",
        |part| (0.0..=1.0).contains(part),
    );
    ScheduleSettings {
        pause: PausePolicy {
            gap_s: pause_gap_s,
            min_run_ms: take_ms(section, "pause_after_ms", 2_000, 0, 600_000).as_millis() as u64,
            budget: pause_budget,
        },
        locality: take_ms(section, "locality_ms", 250, 0, 60_000),
        mode,
        order: OrderPolicy { horizon_s },
        report_every: take_ms(section, "report_every_ms", 1_000, 10, 60_000),
        grant_ttl: take_ms(section, "grant_ttl_ms", 5_000, 100, 600_000),
        progress_every: take_ms(section, "progress_every_ms", 500, 10, 60_000),
        adopt: take_ms(section, "adopt_ms", 300, 0, 60_000),
        widen: take_ms(section, "widen_ms", 5, 1, 10_000),
        width: take_count(section, "width", 16, 1, 10_000),
        suspect: take_ms(section, "suspect_ms", 1_000, 10, 60_000),
        peer_timeout: take_ms(section, "peer_timeout_ms", 1_000, 10, 60_000),
    }
}

#[cfg(test)]
mod tests;
