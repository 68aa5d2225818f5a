//! What the stand-ins saw: runs, slots in use, and service given to each workspace.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Counts runs that a leaving endpoint starts too late.
#[derive(Debug, Default)]
pub struct LateRunCounter {
    until: Mutex<Option<Instant>>,
    late: AtomicU64,
}

impl LateRunCounter {
    /// Notes that the endpoint leaves, with the grace in which runs may still start.
    pub fn set(&self, grace: Option<Duration>) {
        *locked(&self.until) = grace.map(|grace| Instant::now() + grace);
    }

    /// Notes the start of a run.
    pub(super) fn start(&self) {
        if locked(&self.until).is_some_and(|until| Instant::now() > until) {
            self.late.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns how many runs started too late.
    pub fn late(&self) -> u64 {
        self.late.load(Ordering::Relaxed)
    }
}

/// Counts over all stand-ins of one pool.
#[derive(Debug, Default)]
pub struct RunTally {
    slots: AtomicUsize,
    running: AtomicUsize,
    refused: AtomicU64,
    recomputed: AtomicU64,
    by_workspace: Mutex<HashMap<String, WorkspaceTally>>,
    /// How often each nonce was started.
    runs: Mutex<HashMap<String, u32>>,
}

#[derive(Debug, Clone, Copy, Default)]
struct WorkspaceTally {
    units: f64,
    running: usize,
}

/// The counts of one workspace at one moment.
#[derive(Debug, Clone, PartialEq)]
pub struct TallySample {
    /// The workspace.
    pub workspace: String,
    /// Service units given so far.
    pub units: f64,
    /// Requests running now.
    pub running: usize,
}

fn locked<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl RunTally {
    /// Adds the slots of a stand-in, or takes them off with a negative number.
    pub fn add_slots(&self, slots: isize) {
        match usize::try_from(slots) {
            Ok(slots) => self.slots.fetch_add(slots, Ordering::Relaxed),
            Err(_) => self
                .slots
                .fetch_sub(slots.unsigned_abs(), Ordering::Relaxed),
        };
    }

    /// Notes the start of a run.
    pub fn start(&self, workspace: &str, nonce: &str) {
        self.running.fetch_add(1, Ordering::Relaxed);
        let mut tallies = locked(&self.by_workspace);
        tallies.entry(workspace.to_owned()).or_default().running += 1;
        *locked(&self.runs).entry(nonce.to_owned()).or_default() += 1;
    }

    /// Notes the end of a run.
    pub fn end(&self, workspace: &str) {
        self.running.fetch_sub(1, Ordering::Relaxed);
        if let Some(tally) = locked(&self.by_workspace).get_mut(workspace) {
            tally.running = tally.running.saturating_sub(1);
        }
    }

    /// Notes service given.
    pub fn give(&self, workspace: &str, units: f64) {
        let mut tallies = locked(&self.by_workspace);
        tallies.entry(workspace.to_owned()).or_default().units += units;
    }

    /// Notes a refusal by a full stand-in.
    pub fn refuse(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes tokens that were computed a second time.
    pub fn recompute(&self, tokens: u64) {
        self.recomputed.fetch_add(tokens, Ordering::Relaxed);
    }

    /// Returns the slots of all stand-ins.
    pub fn slots(&self) -> usize {
        self.slots.load(Ordering::Relaxed)
    }

    /// Returns the requests running now.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// Returns how often a full stand-in refused.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Returns how many tokens were computed a second time.
    pub fn recomputed(&self) -> u64 {
        self.recomputed.load(Ordering::Relaxed)
    }

    /// Returns how often a nonce was started.
    pub fn runs_of(&self, nonce: &str) -> u32 {
        locked(&self.runs).get(nonce).copied().unwrap_or(0)
    }

    /// Returns every workspace's counts.
    pub fn sample(&self) -> Vec<TallySample> {
        locked(&self.by_workspace)
            .iter()
            .map(|(workspace, tally)| TallySample {
                workspace: workspace.clone(),
                units: tally.units,
                running: tally.running,
            })
            .collect()
    }
}
