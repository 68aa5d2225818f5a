//! Scenarios: which fleet, which callers, which faults.

mod load;

pub use load::{Arrival, EntryChoice, SizeMix, WorkspaceLoad};

use crate::error::BenchError;
use dockgate_core::{IniDocument, SectionReader};
use std::path::Path;
use std::time::Duration;

/// A fleet, its callers and the faults that befall it.
#[derive(Debug, Clone)]
pub struct BenchScenario {
    /// The name: the file's, without its ending.
    pub name: String,
    /// The boxes.
    pub fleet: FleetShape,
    /// The pools.
    pub pools: Vec<PoolShape>,
    /// The workspaces and what they send.
    pub workspaces: Vec<WorkspaceLoad>,
    /// Kinds that may not be repeated.
    pub once_kinds: Vec<String>,
    /// The faults.
    pub faults: Vec<FaultPlan>,
    /// The orders to be compared; `fair` alone where there is none.
    pub arms: Vec<BenchArm>,
}

/// The boxes of a fleet.
#[derive(Debug, Clone, Default)]
pub struct FleetShape {
    /// The failure domains.
    pub domains: Vec<String>,
    /// Boxes in each.
    pub boxes_per_domain: usize,
    /// Delay between domains, and between callers and boxes, one way.
    pub delay: Duration,
    /// Whether the added latency is probed.
    pub probe: bool,
    /// Configuration changes that an operator makes a second.
    pub changes_per_second: f64,
    /// Settings handed to every daemon, as lines of `[schedule]`.
    pub schedule: Vec<(String, String)>,
}

/// A pool and its stand-ins, spread evenly over the domains.
#[derive(Debug, Clone)]
pub struct PoolShape {
    /// The name; of an engine pool also the model's.
    pub name: String,
    /// Whether it is of engines.
    pub engine: bool,
    /// How many endpoints.
    pub endpoints: usize,
    /// Slots of each.
    pub slots: usize,
    /// Tokens a second of a stream.
    pub tokens_per_second: f64,
    /// Every n-th endpoint is half as fast; zero for none.
    pub slow_every: usize,
    /// Only in this domain, if it is set.
    pub domain: Option<String>,
}

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// A box is killed, and started anew at the end.
    Kill,
    /// A box is stopped in order, and started anew at the end.
    Stop,
    /// A box is frozen.
    Pause,
    /// A domain is cut off from the other domains.
    Cut,
    /// A domain is cut off from the platform.
    CutPlatform,
    /// The platform's service is out.
    PlatformOutage,
    /// The platform's service loses replies.
    LostReplies,
    /// The platform's service is slow.
    PlatformSlow,
    /// An engine dies.
    EngineDeath,
    /// An endpoint is retired by an operator, and added again at the end.
    Retire,
}

/// One fault.
#[derive(Debug, Clone)]
pub struct FaultPlan {
    /// When it begins, after the warm-up.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What it is.
    pub kind: FaultKind,
    /// What it befalls: a box, a domain or an endpoint.
    pub target: String,
}

/// An order to be compared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BenchArm {
    /// Its name.
    pub name: String,
    /// The order of the daemons' `[schedule]`.
    pub order: String,
    /// Further lines of `[schedule]`.
    pub schedule: Vec<(String, String)>,
}

impl BenchScenario {
    /// Reads a scenario file.
    ///
    /// # Errors
    ///
    /// Returns every problem in it.
    pub fn load(path: &Path) -> Result<Self, BenchError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|cause| BenchError::Io("read", file.clone(), cause))?;
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        Self::parse(&name, &file, &text)
    }

    /// Parses a scenario.
    ///
    /// # Errors
    ///
    /// Returns every problem in it.
    pub fn parse(name: &str, file: &str, text: &str) -> Result<Self, BenchError> {
        const SECTIONS: &str =
            "[fleet], [pool NAME], [workspace NAME], [kind NAME], [fault N] and [arm NAME]";
        let mut document = IniDocument::parse(file, text)?;
        let mut scenario = Self {
            name: name.to_owned(),
            fleet: FleetShape::default(),
            pools: Vec::new(),
            workspaces: Vec::new(),
            once_kinds: Vec::new(),
            faults: Vec::new(),
            arms: Vec::new(),
        };
        for mut section in document.take_sections() {
            match section.kind.as_str() {
                "fleet" => scenario.fleet = read_fleet(&mut section),
                "pool" => scenario.pools.push(read_pool(&mut section)),
                "workspace" => scenario
                    .workspaces
                    .extend(load::read_workspaces(&mut section)),
                "kind" => scenario.once_kinds.push(section.name.clone()),
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

    /// Returns the names of the boxes with their domains.
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
    /// The order that is not a baseline.
    pub fn fair() -> Self {
        Self {
            name: "fair".to_owned(),
            order: "fair".to_owned(),
            schedule: Vec::new(),
        }
    }
}

/// Takes a number within a range.
fn take_number(
    section: &mut SectionReader,
    key: &str,
    default: f64,
    range: std::ops::RangeInclusive<f64>,
) -> f64 {
    let allowed = format!("a number from {} to {}", range.start(), range.end());
    section.take_checked(key, default, &allowed, |value| range.contains(value))
}

fn seconds(section: &mut SectionReader, key: &str, default: f64) -> Duration {
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
        at: seconds(section, "at", 1.0),
        lasts: seconds(section, "for", 1.0),
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
