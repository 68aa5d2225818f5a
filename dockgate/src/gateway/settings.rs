//! Settings of a gateway: an INI file that the platform fills from a template.

use crate::error::DaemonError;
use dockgate_core::gateway::{AdmissionRule, RetryRule};
use dockgate_core::{IniDocument, IniProblems, SectionReader};
use serde::Serialize;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

const ADDRESS: &str = "an IP number and a port, such as 10.0.0.7:8000";
const NUMBER: &str = "a number of at least 0";
const PROCESSOR: &str = "a part of a core above 0";
const SECTION: &str = "gateway";
const SECTIONS: [&str; 5] = ["box", "listen", "platform", SECTION, "admission"];

/// Where a gateway listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(crate) struct GatewayListen {
    /// For callers.
    pub(crate) callers: SocketAddr,
    /// For the platform's question whether this box is ready.
    pub(crate) readiness: SocketAddr,
    /// For other boxes that ask what this one knows.
    pub(crate) state: SocketAddr,
    /// For the datagrams of other boxes.
    pub(crate) peers: SocketAddr,
    /// For those who collect metrics.
    pub(crate) metrics: SocketAddr,
}

/// The settings of a gateway.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct GatewaySettings {
    /// The box's name.
    pub(crate) name: String,
    /// The box's failure domain.
    pub(crate) domain: String,
    /// Its part of a core, in thousandths.
    pub(crate) processor: u32,
    /// Where it listens.
    pub(crate) listen: GatewayListen,
    /// Where the platform's store is.
    pub(crate) store: SocketAddr,
    /// Where a few other boxes may be reached for state, for the first contact.
    pub(crate) seeds: Vec<SocketAddr>,
    /// The most descriptors that the process may use.
    pub(crate) descriptors: usize,
    /// How long the process has from the signal to stop until it is killed.
    pub(crate) stop_grace: Duration,
    /// How long an endpoint that drains may still get what is under way.
    pub(crate) drain: Duration,
    /// The window in which fair shares are counted.
    pub(crate) share_window: Duration,
    /// How many boxes the fleet may have, so that the slack of its budget is divided safely.
    pub(crate) boxes: u32,
    /// Further sends for each request, over the fleet.
    pub(crate) retry_ratio: f64,
    /// The window in which they are counted.
    pub(crate) retry_window: Duration,
    /// Further sends on top in each window, over the fleet.
    pub(crate) retry_slack: f64,
    /// How engines admit prompts.
    #[serde(skip)]
    pub(crate) admission: AdmissionRule,
}

impl GatewaySettings {
    /// Returns the fleet's budget for further sends.
    pub(crate) const fn retry_rule(&self) -> RetryRule {
        RetryRule {
            ratio: self.retry_ratio,
            window_ms: self.retry_window.as_millis() as u64,
            slack: self.retry_slack,
            boxes: self.boxes,
        }
    }

    /// Reads the settings of a file.
    ///
    /// # Errors
    ///
    /// Returns an error where the file cannot be read, or with every problem that it has.
    pub(crate) fn load(path: &Path) -> Result<Self, DaemonError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|cause| DaemonError::File("read settings", name.clone(), cause))?;
        Ok(parse_gateway(&name, &text)?)
    }
}

/// Tells whether a settings file is that of a gateway; one that cannot be read is not.
pub(crate) fn is_gateway(path: &Path) -> bool {
    std::fs::read_to_string(path).is_ok_and(|text| has_gateway(&text))
}

fn has_gateway(text: &str) -> bool {
    text.lines().any(|line| line.trim() == "[gateway]")
}

/// Reads the text of a settings file.
///
/// # Errors
///
/// Returns every problem that it has.
pub(super) fn parse_gateway(file: &str, text: &str) -> Result<GatewaySettings, IniProblems> {
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
    // A required key that is missing has been reported by now.
    let settings = settings.ok_or_else(|| IniProblems::Invalid(Vec::new()))?;
    Ok(GatewaySettings {
        admission: admission_rule,
        ..settings
    })
}

fn take_seconds(section: &mut SectionReader, key: &str, default: f64) -> Duration {
    let seconds = section.take_checked(key, default, NUMBER, |value| *value >= 0.0);
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
    let processor = identity.take_checked("processor", 1.0, PROCESSOR, |part| *part > 0.0);
    let mut address = |key: &str| listen.take_required::<SocketAddr>(key, ADDRESS);
    let callers = address("callers");
    let readiness = address("readiness");
    let state = address("state");
    let peers = address("peers");
    let metrics = address("metrics");
    let store = platform.take_required("store", ADDRESS);
    let seeds = gateway.take_list("seeds");
    let descriptors = gateway.take_checked("descriptors", 4_096, "at least 300", |n| *n >= 300);
    // Defaults for a file that is written by hand; the platform's template fills all of them.
    let stop_grace = take_seconds(gateway, "stop_grace_s", 8.0);
    let drain_ms = gateway.take_checked("drain_ms", 2_000, "at least 500", |ms| *ms >= 500);
    let share_window = take_seconds(gateway, "share_window_s", 4.0);
    let boxes = gateway.take_checked("boxes", 12, "at least 1", |boxes| *boxes > 0);
    let retry_ratio = gateway.take_checked("retry_ratio", 0.2, NUMBER, |value| *value >= 0.0);
    let retry_window = take_seconds(gateway, "retry_window_s", 10.0);
    let retry_slack = gateway.take_checked("retry_slack", 50.0, NUMBER, |value| *value >= 0.0);
    Some(GatewaySettings {
        name: name?,
        domain: domain?,
        processor: (processor * 1_000.0) as u32,
        listen: GatewayListen {
            callers: callers?,
            readiness: readiness?,
            state: state?,
            peers: peers?,
            metrics: metrics?,
        },
        store: store?,
        // A seed that cannot be read is no reason not to start: there are others.
        seeds: seeds.iter().filter_map(|seed| seed.parse().ok()).collect(),
        descriptors,
        stop_grace,
        drain: Duration::from_millis(drain_ms),
        share_window,
        boxes,
        retry_ratio,
        retry_window,
        retry_slack,
        admission: AdmissionRule::default(),
    })
}

fn read_admission(section: &mut SectionReader) -> AdmissionRule {
    const PART: &str = "a part from 0 to 2";
    let default = AdmissionRule::default();
    let mut part = |key: &str, default: f64| {
        section.take_checked(key, default, PART, |value| (0.0..=2.0).contains(value))
    };
    AdmissionRule {
        most_part: part("most_part", default.most_part),
        beyond_share_part: part("beyond_share_part", default.beyond_share_part),
        own_read_part: part("own_read_part", default.own_read_part),
        long_part: part("long_part", default.long_part),
        memory_part: part("memory_part", default.memory_part),
    }
}

#[cfg(test)]
mod tests;
