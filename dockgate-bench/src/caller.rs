//! Callers: they send, check every byte of the answers, and count.

mod check;
mod client;
mod stats;

pub use check::{AnswerCheck, CheckVerdict};
pub use client::{BoxView, CallerClient};
pub use stats::{CallOutcome, CallerStats, OutstandingCall};

use crate::scenario::{Arrival, BenchScenario, EntryChoice, WorkspaceLoad};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// How long a refused caller waits before it comes again.
const BACK_OFF: Duration = Duration::from_millis(100);

/// Drives every workspace's callers until the token is cancelled.
pub fn start_callers(
    scenario: &BenchScenario,
    client: &Arc<CallerClient>,
    seed: u64,
    stop: &CancellationToken,
) -> Vec<tokio::task::JoinHandle<()>> {
    let mut tasks = Vec::new();
    for (index, load) in scenario.workspaces.iter().enumerate() {
        let load = Arc::new(load.clone());
        let seed = seed
            .wrapping_mul(1_000_003)
            .wrapping_add(index as u64 * 10_007);
        match load.arrival {
            Arrival::Closed(callers) => {
                for caller in 0..callers {
                    let random = StdRng::seed_from_u64(seed + caller as u64);
                    let task = closed_caller(load.clone(), client.clone(), random, stop.clone());
                    tasks.push(tokio::spawn(task));
                }
            }
            Arrival::Open(rate) => {
                let random = StdRng::seed_from_u64(seed);
                let task = open_callers(load, rate, client.clone(), random, stop.clone());
                tasks.push(tokio::spawn(task));
            }
        }
    }
    tasks
}

/// Sends one request after the other.
async fn closed_caller(
    load: Arc<WorkspaceLoad>,
    client: Arc<CallerClient>,
    mut random: StdRng,
    stop: CancellationToken,
) {
    while !stop.is_cancelled() {
        let call = draw_call(&load, &client, &mut random);
        if client.call(&load, call).await != CallOutcome::Ok {
            tokio::time::sleep(BACK_OFF).await;
        }
    }
}

/// Sends requests at random times, whatever becomes of the earlier ones.
async fn open_callers(
    load: Arc<WorkspaceLoad>,
    rate: f64,
    client: Arc<CallerClient>,
    mut random: StdRng,
    stop: CancellationToken,
) {
    let mut due = tokio::time::Instant::now();
    let calls = tokio_util::task::TaskTracker::new();
    loop {
        let unit: f64 = random.random_range(f64::EPSILON..1.0);
        due += Duration::from_secs_f64(-unit.ln() / rate);
        tokio::select! {
            () = tokio::time::sleep_until(due) => {}
            () = stop.cancelled() => break,
        }
        let call = draw_call(&load, &client, &mut random);
        let (load, client) = (load.clone(), client.clone());
        calls.spawn(async move { client.call(&load, call).await });
    }
    calls.close();
    calls.wait().await;
}

/// A request to be sent.
#[derive(Debug, Clone)]
pub struct DrawnCall {
    /// The box at which it enters.
    pub entry: usize,
    /// Tokens of the answer, or milliseconds of a plain service.
    pub size: usize,
    /// What tells it from every other.
    pub nonce: String,
}

fn draw_call(load: &WorkspaceLoad, client: &CallerClient, random: &mut StdRng) -> DrawnCall {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    DrawnCall {
        entry: draw_entry(&load.entries, client, random),
        size: load.sizes.draw(random),
        nonce: format!("n{number:x}"),
    }
}

/// Picks a ready box as the balancer would; any box where none is ready.
fn draw_entry(choice: &EntryChoice, client: &CallerClient, random: &mut StdRng) -> usize {
    let boxes = client.boxes();
    let chosen = |view: &BoxView| match choice {
        EntryChoice::All => true,
        EntryChoice::Named(names) => names.contains(&view.name),
    };
    let ready = |wanted: &dyn Fn(&BoxView) -> bool| -> Vec<usize> {
        let indexed = boxes.iter().enumerate();
        let ready = indexed.filter(|(_, view)| view.is_ready() && wanted(view));
        ready.map(|(index, _)| index).collect()
    };
    let mut candidates = ready(&chosen);
    if candidates.is_empty() {
        candidates = ready(&|_| true);
    }
    match candidates.is_empty() {
        true => random.random_range(0..boxes.len()),
        false => candidates[random.random_range(0..candidates.len())],
    }
}
