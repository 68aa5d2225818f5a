//! Settings of a gateway, read from an INI file that the platform generates from a template.

use crate::error::DaemonError;
use dockgate_core::gateway::{AdmissionRule, RetryRule};
use dockgate_core::{IniDocument, IniProblems, SectionReader};
use dockgate_platform::FleetConditions;
use serde::Serialize;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

const ADDRESS: &str = "an IP address and a port, such as 10.0.0.7:8000";
const NUMBER: &str = "a number of at least 0";
const SECONDS: &str = "a number of seconds from 0 to 86400";
const MAX_SECONDS: f64 = 86_400.0;
const AT_LEAST_ONE: &str = "a number of at least 1";
const PROCESSOR: &str = "a fraction of a core above 0";
const BYTES_PER_MB: f64 = (1 << 20) as f64;
const SECTION: &str = "gateway";
const SECTIONS: [&str; 5] = ["box", "listen", "platform", SECTION, "admission"];

/// The addresses that a gateway listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(crate) struct GatewayListen {
    /// Address for callers.
    pub(crate) callers: SocketAddr,
    /// Address for the platform's readiness probes.
    pub(crate) readiness: SocketAddr,
    /// Address for state requests of other boxes.
    pub(crate) state: SocketAddr,
    /// Address for datagrams of other boxes.
    pub(crate) peers: SocketAddr,
    /// Address for metrics scrapes.
    pub(crate) metrics: SocketAddr,
}

/// The settings of a gateway.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct GatewaySettings {
    /// Name of the box.
    pub(crate) name: String,
    /// Failure domain of the box.
    pub(crate) domain: String,
    /// CPU share of the box, in thousandths of a core.
    pub(crate) processor: u32,
    /// Memory of the box in MB, if it is limited.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) memory_mb: Option<f64>,
    /// Largest size of an answer that is read whole, in bytes.
    pub(crate) max_answer_bytes: usize,
    /// Addresses to listen on.
    pub(crate) listen: GatewayListen,
    /// Address of the platform's store.
    pub(crate) store: SocketAddr,
    /// State addresses of other boxes for the first contact.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Maximum number of file descriptors of the process.
    pub(crate) descriptors: usize,
    /// Time from the stop signal until the process is killed.
    pub(crate) stop_grace: Duration,
    /// Time for which a draining endpoint may still receive requests that are in flight.
    pub(crate) drain: Duration,
    /// Window over which fair shares are computed.
    pub(crate) share_window: Duration,
    /// Maximum number of boxes in the fleet, among which the slack of the retry budget is divided.
    pub(crate) boxes: u32,
    /// Retries per request, over the fleet.
    pub(crate) retry_ratio: f64,
    /// Window over which retries are counted.
    pub(crate) retry_window: Duration,
    /// Additional retries in each window, over the fleet.
    pub(crate) retry_slack: f64,
    /// Requests in one second to a cold endpoint, over its rate.
    pub(crate) warmup_overshoot: f64,
    /// Additional requests in one second to a cold endpoint.
    pub(crate) warmup_slack: f64,
    /// Whether the fleet starts for the first time, so that the store has lost nothing of it.
    pub(crate) first_start: bool,
    /// Rule by which engines admit prompts.
    #[serde(skip)]
    pub(crate) admission: AdmissionRule,
    /// The announced conditions of the fleet.
    #[serde(skip)]
    pub(crate) conditions: FleetConditions,
}

impl GatewaySettings {
    /// Returns the memory of the box in bytes, if it is limited.
    pub(crate) fn memory_bytes(&self) -> Option<u64> {
        self.memory_mb.map(|mb| (mb * BYTES_PER_MB) as u64)
    }

    /// Returns the retry budget of the fleet.
    pub(crate) const fn retry_rule(&self) -> RetryRule {
        RetryRule {
            ratio: self.retry_ratio,
            window_ms: self.retry_window.as_millis() as u64,
            slack: self.retry_slack,
            boxes: self.boxes,
        }
    }

    /// Loads the settings from a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or lists every invalid setting.
    pub(crate) fn load(path: &Path) -> Result<Self, DaemonError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|cause| DaemonError::File("read settings", name.clone(), cause))?;
        Ok(parse_settings(&name, &text)?)
    }
}

/// Returns whether a settings file has a gateway section; `false` if it cannot be read.
pub(crate) fn is_gateway_file(path: &Path) -> bool {
    std::fs::read_to_string(path).is_ok_and(|text| has_gateway_section(&text))
}

fn has_gateway_section(text: &str) -> bool {
    text.lines().any(|line| line.trim() == "[gateway]")
}

/// Parses the text of a settings file.
///
/// # Errors
///
/// Returns every invalid setting.
pub(super) fn parse_settings(file: &str, text: &str) -> Result<GatewaySettings, IniProblems> {
    let mut document = IniDocument::parse(file, text)?;
    let mut sections = document.take_sections();
    for section in &sections {
        if !SECTIONS.contains(&section.kind.as_str()) || !section.name.is_empty() {
            let allowed = SECTIONS.join("], [");
            document.report(
                section.line,
                format!("unknown section; allowed: [{allowed}]"),
            );
        }
    }
    let mut take = |kind: &str| {
        let found = sections.iter().position(|section| section.kind == kind);
        found.map_or_else(
            || SectionReader::empty(file, kind),
            |index| sections.remove(index),
        )
    };
    let [
        mut identity,
        mut listen,
        mut platform,
        mut gateway,
        mut admission,
    ] = SECTIONS.map(&mut take);
    let settings = read_gateway(&mut identity, &mut listen, &mut platform, &mut gateway);
    let admission_rule = read_admission(&mut admission);
    for section in [identity, listen, platform, gateway, admission] {
        document.close_section(section);
    }
    document.finish()?;
    // `finish` has already reported missing required keys.
    let settings = settings.ok_or_else(|| IniProblems::Invalid(Vec::new()))?;
    Ok(GatewaySettings {
        admission: admission_rule,
        ..settings
    })
}

fn take_seconds(section: &mut SectionReader, key: &str, default: f64) -> Duration {
    let seconds = section.take_checked(key, default, SECONDS, |value| {
        (0.0..=MAX_SECONDS).contains(value)
    });
    Duration::from_secs_f64(seconds)
}

fn read_gateway(
    identity: &mut SectionReader,
    listen: &mut SectionReader,
    platform: &mut SectionReader,
    gateway: &mut SectionReader,
) -> Option<GatewaySettings> {
    let name = identity.take_required("name", "the box's name");
    let domain = identity.take_required("domain", "the box's failure domain");
    let processor = identity.take_checked("processor", 1.0, PROCESSOR, |fraction| *fraction > 0.0);
    let memory_mb =
        identity.take_checked("memory_mb", f64::INFINITY, AT_LEAST_ONE, |mb| *mb >= 1.0);
    let max_answer_mb = gateway.take_checked("max_answer_mb", 16.0, AT_LEAST_ONE, |mb| *mb >= 1.0);
    let mut take_address = |key: &str| listen.take_required::<SocketAddr>(key, ADDRESS);
    let callers = take_address("callers");
    let readiness = take_address("readiness");
    let state = take_address("state");
    let peers = take_address("peers");
    let metrics = take_address("metrics");
    let store = platform.take_required("store", ADDRESS);
    let seeds = gateway.take_list("seeds");
    let descriptors = gateway.take_checked("descriptors", 4_096, "at least 300", |n| *n >= 300);
    // Defaults for files written by hand; the platform's template sets every key.
    let stop_grace = take_seconds(gateway, "stop_grace_s", 8.0);
    let drain_ms = gateway.take_checked("drain_ms", 2_000, "at least 500", |ms| *ms >= 500);
    let share_window = take_seconds(gateway, "share_window_s", 4.0);
    let boxes = gateway.take_checked("boxes", 12, "at least 1", |boxes| *boxes > 0);
    let retry_ratio = gateway.take_checked("retry_ratio", 0.2, NUMBER, |value| *value >= 0.0);
    let retry_window = take_seconds(gateway, "retry_window_s", 10.0);
    let retry_slack = gateway.take_checked("retry_slack", 50.0, NUMBER, |value| *value >= 0.0);
    let warmup_overshoot =
        gateway.take_checked("warmup_overshoot", 1.0, AT_LEAST_ONE, |value| *value >= 1.0);
    let warmup_slack = gateway.take_checked("warmup_slack", 0.0, NUMBER, |value| *value >= 0.0);
    let first_start = gateway.take_checked("first_start", false, "true or false", |_| true);
    let conditions = gateway.take_list("conditions");
    Some(GatewaySettings {
        name: name?,
        domain: domain?,
        processor: (processor * 1_000.0) as u32,
        memory_mb: Some(memory_mb).filter(|mb| mb.is_finite()),
        max_answer_bytes: (max_answer_mb * BYTES_PER_MB) as usize,
        listen: GatewayListen {
            callers: callers?,
            readiness: readiness?,
            state: state?,
            peers: peers?,
            metrics: metrics?,
        },
        store: store?,
        // An invalid seed does not prevent the start, since there are others.
        seeds: seeds.iter().filter_map(|seed| seed.parse().ok()).collect(),
        descriptors,
        stop_grace,
        drain: Duration::from_millis(drain_ms),
        share_window,
        boxes,
        retry_ratio,
        retry_window,
        retry_slack,
        warmup_overshoot,
        warmup_slack,
        first_start,
        admission: AdmissionRule::default(),
        conditions: FleetConditions::decode(conditions.iter().map(String::as_str)),
    })
}

fn read_admission(section: &mut SectionReader) -> AdmissionRule {
    const FRACTION: &str = "a fraction from 0 to 2";
    let default = AdmissionRule::default();
    let mut fraction = |key: &str, default: f64| {
        section.take_checked(key, default, FRACTION, |value| (0.0..=2.0).contains(value))
    };
    AdmissionRule {
        objective_fraction: fraction("most_part", default.objective_fraction),
        beyond_share_fraction: fraction("beyond_share_part", default.beyond_share_fraction),
        own_prefill_weight: fraction("own_read_part", default.own_prefill_weight),
        long_prompt_fraction: fraction("long_part", default.long_prompt_fraction),
        memory_fraction: fraction("memory_part", default.memory_fraction),
    }
}

#[cfg(test)]
mod tests;
