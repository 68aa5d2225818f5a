//! Scenario files: the fleet, its load and its faults.

mod workspace_load;

pub use workspace_load::{ArrivalProcess, EntryBoxes, SizeDistribution, WorkspaceLoad};

use crate::error::BenchError;
use dockgate_core::{IniDocument, SectionReader};
use std::path::Path;
use std::time::Duration;

/// A fleet with its load and its faults.
#[derive(Debug, Clone)]
pub struct BenchScenario {
    /// Scenario name: the file name without its extension.
    pub name: String,
    /// Boxes and network of the fleet.
    pub fleet: FleetShape,
    /// Pools of endpoints.
    pub pools: Vec<PoolShape>,
    /// Load of each workspace.
    pub workspaces: Vec<WorkspaceLoad>,
    /// Request kinds that must not be retried.
    pub non_repeatable_kinds: Vec<String>,
    /// Faults to inject.
    pub faults: Vec<FaultPlan>,
    /// Scheduling orders to compare; only `fair` if the file has none.
    pub arms: Vec<BenchArm>,
}

/// Boxes and network of a fleet.
#[derive(Debug, Clone, Default)]
pub struct FleetShape {
    /// Names of the failure domains.
    pub domains: Vec<String>,
    /// Number of boxes in each failure domain.
    pub boxes_per_domain: usize,
    /// One-way delay between boxes, and from boxes to endpoints, of different failure domains.
    pub delay: Duration,
    /// Whether the latency added by the daemons is probed.
    pub probe: bool,
    /// Configuration changes per second.
    pub changes_per_second: f64,
    /// Settings in the `[schedule]` section of every daemon.
    pub schedule: Vec<(String, String)>,
}

/// A pool whose endpoints are spread evenly over the failure domains.
#[derive(Debug, Clone)]
pub struct PoolShape {
    /// Pool name; for an engine pool also the name of its model.
    pub name: String,
    /// Whether the endpoints are model engines; otherwise they are plain services.
    pub engine: bool,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Slots of each endpoint.
    pub slots: usize,
    /// Tokens per second of a stream.
    pub tokens_per_second: f64,
    /// Every n-th endpoint runs at half speed; zero disables this.
    pub slow_every: usize,
    /// Failure domain of all endpoints; `None` spreads them over all failure domains.
    pub domain: Option<String>,
}

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// Kills a box, and restarts it at the end.
    Kill,
    /// Stops a box gracefully, and restarts it at the end.
    Stop,
    /// Suspends the process of a box.
    Pause,
    /// Partitions a failure domain from the others.
    Cut,
    /// Partitions a failure domain from the platform.
    CutPlatform,
    /// Makes the platform service unavailable.
    PlatformOutage,
    /// Makes the platform service execute calls without replying.
    LostReplies,
    /// Delays the replies of the platform service.
    PlatformSlow,
    /// Crashes an endpoint for the rest of the run.
    EngineDeath,
    /// Retires an endpoint, and adds it again at the end.
    Retire,
}

/// A fault and its schedule.
#[derive(Debug, Clone)]
pub struct FaultPlan {
    /// Start, counted from the end of the warm-up.
    pub at: Duration,
    /// Minimum duration.
    pub duration: Duration,
    /// Kind of fault.
    pub kind: FaultKind,
    /// Name of the affected box, failure domain or endpoint.
    pub target: String,
}

/// A scheduling order to compare.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BenchArm {
    /// Name of the arm.
    pub name: String,
    /// Value of `order` in the daemons' `[schedule]` section.
    pub order: String,
    /// Further settings in the `[schedule]` section.
    pub schedule: Vec<(String, String)>,
}

impl BenchScenario {
    /// Reads a scenario file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or lists every problem in it.
    pub fn load(path: &Path) -> Result<Self, BenchError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|cause| BenchError::Io("read", file.clone(), cause))?;
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        Self::parse(&name, &file, &text)
    }

    /// Parses the text of a scenario file.
    ///
    /// # Errors
    ///
    /// Returns an error that lists every problem in the text.
    pub fn parse(name: &str, file: &str, text: &str) -> Result<Self, BenchError> {
        const SECTIONS: &str =
            "[fleet], [pool NAME], [workspace NAME], [kind NAME], [fault N] and [arm NAME]";
        let mut document = IniDocument::parse(file, text)?;
        let mut scenario = Self {
            name: name.to_owned(),
            fleet: FleetShape::default(),
            pools: Vec::new(),
            workspaces: Vec::new(),
            non_repeatable_kinds: Vec::new(),
            faults: Vec::new(),
            arms: Vec::new(),
        };
        for mut section in document.take_sections() {
            match section.kind.as_str() {
                "fleet" => scenario.fleet = read_fleet(&mut section),
                "pool" => scenario.pools.push(read_pool(&mut section)),
                "workspace" => scenario
                    .workspaces
                    .extend(workspace_load::read_workspace_loads(&mut section)),
                "kind" => scenario.non_repeatable_kinds.push(section.name.clone()),
                "fault" => scenario.faults.extend(read_fault(&mut section)),
                "arm" => scenario.arms.push(read_arm(&mut section)),
                other => {
                    let message = format!("unknown section [{other}]; allowed: {SECTIONS}");
                    document.report(section.line, message);
                    continue;
                }
            }
            document.close_section(section);
        }
        document.finish()?;
        if scenario.arms.is_empty() {
            scenario.arms.push(BenchArm::fair());
        }
        Ok(scenario)
    }

    /// Returns the names of the boxes with their failure domains.
    pub fn boxes(&self) -> Vec<(String, String)> {
        let count = self.fleet.boxes_per_domain;
        let domains = self.fleet.domains.iter();
        domains
            .flat_map(|domain| {
                (1..=count).map(move |number| (format!("{domain}-{number}"), domain.clone()))
            })
            .collect()
    }
}

impl BenchArm {
    /// Returns the arm with fair scheduling, which baselines are compared to.
    pub fn fair() -> Self {
        Self {
            name: "fair".to_owned(),
            order: "fair".to_owned(),
            schedule: Vec::new(),
        }
    }
}

/// Takes a number, and reports a problem if it lies outside `range`.
fn take_number(
    section: &mut SectionReader,
    key: &str,
    default: f64,
    range: std::ops::RangeInclusive<f64>,
) -> f64 {
    let allowed = format!("a number from {} to {}", range.start(), range.end());
    section.take_checked(key, default, &allowed, |value| range.contains(value))
}

fn take_seconds(section: &mut SectionReader, key: &str, default: f64) -> Duration {
    Duration::from_secs_f64(take_number(section, key, default, 0.0..=86_400.0))
}

fn read_fleet(section: &mut SectionReader) -> FleetShape {
    FleetShape {
        domains: section.take_list("domains"),
        boxes_per_domain: take_number(section, "boxes_per_domain", 2.0, 1.0..=100.0) as usize,
        delay: Duration::from_secs_f64(
            take_number(section, "delay_ms", 1.0, 0.0..=1_000.0) / 1_000.0,
        ),
        changes_per_second: take_number(section, "changes_per_second", 0.0, 0.0..=100.0),
        probe: section.take_text("probe").as_deref() == Some("yes"),
        schedule: section.take_prefixed("schedule.", "a setting of [schedule]"),
    }
}

fn read_pool(section: &mut SectionReader) -> PoolShape {
    let kind: Option<String> = section.take_required("kind", "engine or service");
    PoolShape {
        name: section.name.clone(),
        engine: kind.as_deref() == Some("engine"),
        endpoints: take_number(section, "endpoints", 1.0, 1.0..=5_000.0) as usize,
        slots: take_number(section, "slots", 16.0, 1.0..=4_096.0) as usize,
        tokens_per_second: take_number(section, "tokens_per_second", 30.0, 0.1..=100_000.0),
        slow_every: take_number(section, "slow_every", 0.0, 0.0..=1_000.0) as usize,
        domain: section.take_text("domain"),
    }
}

fn read_fault(section: &mut SectionReader) -> Option<FaultPlan> {
    let line = section.line_of("kind");
    let kind: Option<String> = section.take_required("kind", "a kind of fault");
    let kind = match kind.as_deref() {
        Some("kill") => Some(FaultKind::Kill),
        Some("stop") => Some(FaultKind::Stop),
        Some("pause") => Some(FaultKind::Pause),
        Some("cut") => Some(FaultKind::Cut),
        Some("cut_platform") => Some(FaultKind::CutPlatform),
        Some("platform_outage") => Some(FaultKind::PlatformOutage),
        Some("lost_replies") => Some(FaultKind::LostReplies),
        Some("platform_slow") => Some(FaultKind::PlatformSlow),
        Some("engine_death") => Some(FaultKind::EngineDeath),
        Some("retire") => Some(FaultKind::Retire),
        Some(other) => {
            section.report(
                line,
                format!(
                    "kind = {other}: must be kill, stop, pause, cut, cut_platform, \
                     platform_outage, lost_replies, platform_slow, engine_death or retire"
                ),
            );
            None
        }
        None => None,
    };
    Some(FaultPlan {
        at: take_seconds(section, "at", 1.0),
        duration: take_seconds(section, "for", 1.0),
        target: section.take_text("target").unwrap_or_default(),
        kind: kind?,
    })
}

fn read_arm(section: &mut SectionReader) -> BenchArm {
    BenchArm {
        name: section.name.clone(),
        order: section
            .take_text("order")
            .unwrap_or_else(|| "fair".to_owned()),
        schedule: section.take_prefixed("schedule.", "a setting of [schedule]"),
    }
}

#[cfg(test)]
mod tests;
