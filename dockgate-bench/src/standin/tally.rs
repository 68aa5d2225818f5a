//! Counters of the stand-ins: runs, slots in use, and service per workspace.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Counts runs that start too late on an endpoint that leaves.
#[derive(Debug, Default)]
pub struct LateRunCounter {
    deadline: Mutex<Option<Instant>>,
    late: AtomicU64,
}

impl LateRunCounter {
    /// Sets the grace in which runs may still start, or `None` if the endpoint does not leave.
    pub fn set_leaving(&self, grace: Option<Duration>) {
        *locked(&self.deadline) = grace.map(|grace| Instant::now() + grace);
    }

    /// Records the start of a run.
    pub(super) fn start(&self) {
        if locked(&self.deadline).is_some_and(|deadline| Instant::now() > deadline) {
            self.late.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of runs that started too late.
    pub fn count(&self) -> u64 {
        self.late.load(Ordering::Relaxed)
    }
}

/// Counters shared by all stand-ins of one pool.
#[derive(Debug, Default)]
pub struct RunTally {
    slots: AtomicUsize,
    running: AtomicUsize,
    refused: AtomicU64,
    recomputed: AtomicU64,
    by_workspace: Mutex<HashMap<String, WorkspaceTally>>,
    /// Number of runs of each nonce.
    runs: Mutex<HashMap<String, u32>>,
}

#[derive(Debug, Clone, Copy, Default)]
struct WorkspaceTally {
    units: f64,
    running: usize,
}

/// The counters of one workspace at one point in time.
#[derive(Debug, Clone, PartialEq)]
pub struct TallySample {
    /// The workspace.
    pub workspace: String,
    /// Service units received so far.
    pub units: f64,
    /// Number of requests running now.
    pub running: usize,
}

fn locked<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl RunTally {
    /// Adds the slots of a stand-in, or removes them if the number is negative.
    pub fn add_slots(&self, slots: isize) {
        match usize::try_from(slots) {
            Ok(slots) => self.slots.fetch_add(slots, Ordering::Relaxed),
            Err(_) => self
                .slots
                .fetch_sub(slots.unsigned_abs(), Ordering::Relaxed),
        };
    }

    /// Records the start of a run.
    pub fn start(&self, workspace: &str, nonce: &str) {
        self.running.fetch_add(1, Ordering::Relaxed);
        let mut tallies = locked(&self.by_workspace);
        tallies.entry(workspace.to_owned()).or_default().running += 1;
        *locked(&self.runs).entry(nonce.to_owned()).or_default() += 1;
    }

    /// Records the end of a run.
    pub fn end(&self, workspace: &str) {
        self.running.fetch_sub(1, Ordering::Relaxed);
        if let Some(tally) = locked(&self.by_workspace).get_mut(workspace) {
            tally.running = tally.running.saturating_sub(1);
        }
    }

    /// Adds service units to a workspace.
    pub fn add_units(&self, workspace: &str, units: f64) {
        let mut tallies = locked(&self.by_workspace);
        tallies.entry(workspace.to_owned()).or_default().units += units;
    }

    /// Counts a refusal by a full stand-in.
    pub fn add_refusal(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    /// Adds tokens that were computed a second time.
    pub fn add_recomputed(&self, tokens: u64) {
        self.recomputed.fetch_add(tokens, Ordering::Relaxed);
    }

    /// Returns the number of slots of all stand-ins.
    pub fn slots(&self) -> usize {
        self.slots.load(Ordering::Relaxed)
    }

    /// Returns the number of requests running now.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// Returns the number of refusals by full stand-ins.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Returns the number of tokens that were computed a second time.
    pub fn recomputed(&self) -> u64 {
        self.recomputed.load(Ordering::Relaxed)
    }

    /// Returns the number of runs of a nonce.
    pub fn runs_of(&self, nonce: &str) -> u32 {
        locked(&self.runs).get(nonce).copied().unwrap_or(0)
    }

    /// Returns the counters of every workspace.
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
