//! Callers, which send requests, check the answers and record statistics.

mod answer_checker;
mod caller_client;
mod caller_stats;

pub use answer_checker::{AnswerChecker, AnswerVerdict};
pub use caller_client::{BoxView, CallerClient};
pub use caller_stats::{CallOutcome, CallerStats, OutstandingCall};

use crate::scenario::{ArrivalProcess, BenchScenario, EntryBoxes, WorkspaceLoad};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Delay before a closed-loop caller sends again after an unsuccessful request.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Starts the callers of every workspace; they run until the token is cancelled.
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
            ArrivalProcess::Closed(callers) => {
                for caller in 0..callers {
                    let rng = StdRng::seed_from_u64(seed + caller as u64);
                    let task = run_closed_loop(load.clone(), client.clone(), rng, stop.clone());
                    tasks.push(tokio::spawn(task));
                }
            }
            ArrivalProcess::Open(rate) => {
                let rng = StdRng::seed_from_u64(seed);
                let task = run_open_loop(load, rate, client.clone(), rng, stop.clone());
                tasks.push(tokio::spawn(task));
            }
        }
    }
    tasks
}

/// Sends requests one at a time.
async fn run_closed_loop(
    load: Arc<WorkspaceLoad>,
    client: Arc<CallerClient>,
    mut rng: StdRng,
    stop: CancellationToken,
) {
    while !stop.is_cancelled() {
        let call = draw_call(&load, &client, &mut rng);
        if client.call(&load, call).await != CallOutcome::Ok {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Sends requests with exponentially distributed gaps, without waiting for earlier ones.
async fn run_open_loop(
    load: Arc<WorkspaceLoad>,
    rate: f64,
    client: Arc<CallerClient>,
    mut rng: StdRng,
    stop: CancellationToken,
) {
    let mut due = tokio::time::Instant::now();
    let calls = tokio_util::task::TaskTracker::new();
    loop {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        due += Duration::from_secs_f64(-uniform.ln() / rate);
        tokio::select! {
            () = tokio::time::sleep_until(due) => {}
            () = stop.cancelled() => break,
        }
        let call = draw_call(&load, &client, &mut rng);
        let (load, client) = (load.clone(), client.clone());
        calls.spawn(async move { client.call(&load, call).await });
    }
    calls.close();
    calls.wait().await;
}

/// A request to send.
#[derive(Debug, Clone)]
pub struct CallSpec {
    /// Index of the box that receives the request.
    pub entry: usize,
    /// Tokens of the answer, or service time in milliseconds for a plain service.
    pub size: usize,
    /// Unique identifier of the request.
    pub nonce: String,
}

fn draw_call(load: &WorkspaceLoad, client: &CallerClient, rng: &mut StdRng) -> CallSpec {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    CallSpec {
        entry: choose_entry(&load.entries, client, rng),
        size: load.sizes.draw(rng),
        nonce: format!("n{number:x}"),
    }
}

/// Picks a random box among the ready ones of `choice`, among all ready ones if none of those is
/// ready, or among all boxes.
fn choose_entry(choice: &EntryBoxes, client: &CallerClient, rng: &mut StdRng) -> usize {
    let boxes = client.boxes();
    let chosen = |view: &BoxView| match choice {
        EntryBoxes::All => true,
        EntryBoxes::Named(names) => names.contains(&view.name),
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
        true => rng.random_range(0..boxes.len()),
        false => candidates[rng.random_range(0..candidates.len())],
    }
}
