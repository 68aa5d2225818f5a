//! The load of a workspace.

use dockgate_core::SectionReader;
use rand::RngExt;
use rand::rngs::StdRng;
use std::str::FromStr;

/// Process by which requests arrive.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ArrivalProcess {
    /// Closed loop: this number of callers, each with one request at a time.
    Closed(usize),
    /// Open loop: a Poisson process with this rate per second.
    Open(f64),
}

impl FromStr for ArrivalProcess {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text.split_once(':') {
            Some(("closed", callers)) => callers.parse().map(Self::Closed).map_err(drop),
            Some(("open", rate)) => match rate.parse() {
                Ok(rate) if rate > 0.0 => Ok(Self::Open(rate)),
                _ => Err(()),
            },
            _ => Err(()),
        }
    }
}

/// A weighted distribution of answer sizes, written as `SIZE*WEIGHT`, for example `30*99 3000*1`.
#[derive(Debug, Clone, PartialEq)]
pub struct SizeDistribution(Vec<(usize, u32)>);

impl FromStr for SizeDistribution {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let sizes: Option<Vec<(usize, u32)>> = text
            .split_whitespace()
            .map(|item| {
                let (size, weight) = item.split_once('*').unwrap_or((item, "1"));
                Some((size.parse().ok()?, weight.parse().ok()?))
            })
            .collect();
        match sizes {
            Some(sizes) if sizes.iter().any(|(_, weight)| *weight > 0) => Ok(Self(sizes)),
            _ => Err(()),
        }
    }
}

impl SizeDistribution {
    /// Returns the largest size.
    pub fn largest(&self) -> usize {
        self.0.iter().map(|(size, _)| *size).max().unwrap_or(0)
    }

    /// Draws a random size.
    pub fn draw(&self, rng: &mut StdRng) -> usize {
        let total: u32 = self.0.iter().map(|(_, weight)| weight).sum();
        let mut left = rng.random_range(0..total);
        for (size, weight) in &self.0 {
            match left.checked_sub(*weight) {
                Some(rest) => left = rest,
                None => return *size,
            }
        }
        self.0.last().map_or(1, |(size, _)| *size)
    }
}

/// The boxes to which a workspace sends its requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryBoxes {
    /// All boxes, evenly.
    All,
    /// The named boxes, evenly.
    Named(Vec<String>),
}

/// The load of one workspace on one pool.
#[derive(Debug, Clone)]
pub struct WorkspaceLoad {
    /// Name of the workspace.
    pub workspace: String,
    /// Fair share of the workspace.
    pub share: u32,
    /// Name of the pool.
    pub pool: String,
    /// How requests arrive.
    pub arrival: ArrivalProcess,
    /// Tokens per answer, or service time in milliseconds for a plain service.
    pub sizes: SizeDistribution,
    /// Approximate prompt size, in bytes.
    pub prompt: usize,
    /// Whether answers are streamed.
    pub stream: bool,
    /// Kind of the requests; such requests must not be retried.
    pub kind: Option<String>,
    /// Boxes that receive the requests.
    pub entries: EntryBoxes,
    /// Longest wait for a slot, in milliseconds; zero uses the daemon's default.
    pub deadline_ms: u64,
    /// Maximum queue length at one box.
    pub queue_limit: u32,
}

/// Reads a `[workspace NAME]` section into one load per `arrival.POOL` key.
pub(super) fn read_workspace_loads(section: &mut SectionReader) -> Vec<WorkspaceLoad> {
    let share = section.take("share", "a whole number").unwrap_or(1);
    let entries = section.take_list("entries");
    let entries = match entries.is_empty() {
        true => EntryBoxes::All,
        false => EntryBoxes::Named(entries),
    };
    let kind = section.take_text("kind");
    let stream = section.take_text("stream").as_deref() != Some("no");
    let prompt = section.take("prompt", "a number of bytes").unwrap_or(200);
    let deadline_ms = section.take("deadline_ms", "milliseconds").unwrap_or(0);
    let queue_limit = section
        .take("queue_limit", "a whole number")
        .unwrap_or(1_000);
    let allowed = "closed:CALLERS or open:REQUESTS_PER_SECOND";
    let mut arrivals = section.take_prefixed::<ArrivalProcess>("arrival.", allowed);
    if arrivals.is_empty() {
        // The fleet must know a workspace even if it sends no requests.
        arrivals.push((String::new(), ArrivalProcess::Closed(0)));
    }
    let loads = arrivals.into_iter().map(|(pool, arrival)| {
        let sizes = section.take(&format!("sizes.{pool}"), "sizes such as 30*99 3000*1");
        WorkspaceLoad {
            workspace: section.name.clone(),
            share,
            pool,
            arrival,
            sizes: sizes.unwrap_or(SizeDistribution(vec![(30, 1)])),
            prompt,
            stream,
            kind: kind.clone(),
            entries: entries.clone(),
            deadline_ms,
            queue_limit,
        }
    });
    loads.collect()
}

#[cfg(test)]
mod tests;
