//! Updates this box's role in following the store, and probes the store.

use super::events::{GatewayEvent, log_gateway};
use super::gateway_metrics::GATEWAY_METRICS;
use super::gateway_state::GatewayState;
use super::membership::send_heartbeat;
use super::quarantine_store;
use crate::clock::{now_ms, subscribe_resumes, timeout};
use dockgate_core::gateway::{ProbeChange, ProbeTiming, StandbyTurn, StoreRevision};
use dockgate_platform::{PlatformClient, QUARANTINE_KEY_PREFIX, ReadConsistency};
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

/// How often the role is updated.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The same for a box without a configuration, which cannot serve requests yet.
const INITIAL_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// The interval between probes of a box that stands by to follow the store, in milliseconds;
/// random, so that boxes do not probe in step.
const STANDBY_INTERVAL_MS: Range<u64> = 700..1_300;

/// The role of a box in following the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct StoreRole {
    /// Whether the box follows the store.
    pub(super) follows: bool,
    /// Whether the box probes the store.
    pub(super) probes: bool,
}

/// Updates the role of this box periodically until the process ends.
pub(super) async fn update_role_periodically(state: Arc<GatewayState>) {
    loop {
        state.update_role();
        let interval = match state.table().config().version {
            0 => INITIAL_POLL_INTERVAL,
            _ => POLL_INTERVAL,
        };
        tokio::time::sleep(interval).await;
    }
}

/// Probes the store while the role requires it, until the process ends.
pub(super) async fn run_probes(state: Arc<GatewayState>) {
    let client = state.store_client();
    let mut roles = state.store_roles();
    let mut resumes = subscribe_resumes();
    loop {
        if !roles.borrow().probes {
            state.pause_probes();
            // The sender outlives this task.
            let _ = roles.wait_for(|role| role.probes).await;
        }
        if let StandbyTurn::WaitMs(wait_ms) = state.standby_turn(rand::random()) {
            let wait_ms = wait_ms.min(STANDBY_INTERVAL_MS.start);
            // A change of the role or a resume ends the wait early; the channels are never closed.
            let _ = timeout(Duration::from_millis(wait_ms), async {
                tokio::select! {
                    _ = roles.changed() => {}
                    _ = resumes.changed() => {}
                }
            })
            .await;
            continue;
        }
        let timing = ProbeTiming::within(state.settings().drain.as_millis() as u64);
        tokio::select! {
            () = probe_once(&state, &client, timing) => {}
            // The connection may be dead after a suspension; the next probe shows the actual state.
            _ = resumes.changed() => continue,
        }
        let wait_ms = match state.is_primary_watcher() || state.follows_store() {
            true => timing.interval_ms,
            false => rand::random_range(STANDBY_INTERVAL_MS),
        };
        // A resume ends the wait early; the channel is never closed.
        let _ = timeout(Duration::from_millis(wait_ms), resumes.changed()).await;
    }
}

/// Probes the store once. The box of its domain that reads the current state tells the others what it
/// finds. Sends a heartbeat at once if the access to the store has changed.
async fn probe_once(state: &Arc<GatewayState>, client: &PlatformClient, timing: ProbeTiming) {
    let sent_ms = now_ms();
    let (step, consistency) = match state.reads_current_revision(timing, sent_ms) {
        true => ("current_probe", ReadConsistency::Linearizable),
        false => ("probe", ReadConsistency::Serializable),
    };
    let probe_timeout = Duration::from_millis(timing.timeout_ms);
    let answer = client
        .probe(QUARANTINE_KEY_PREFIX, consistency, probe_timeout)
        .await;
    let outcome = if answer.is_ok() { "answered" } else { "failed" };
    let counter = &GATEWAY_METRICS.store_calls;
    counter.with_label_values(&[step, outcome]).inc();
    let answer = answer.as_ref();
    let revision = answer.ok().and_then(|listing| {
        let era = state.record_era(listing.era, "probe")?;
        Some(StoreRevision::new(era, listing.revision))
    });
    let change = state.record_probe(revision, sent_ms);
    if let (Some(ProbeChange::Down), Err(error)) = (change, answer) {
        log_gateway(&GatewayEvent::StoreLost {
            step: "probe",
            problem: error.to_string(),
        });
    }
    if change.is_some() {
        send_heartbeat(state);
        state.update_role();
    }
    if let Ok(listing) = answer {
        let writes = state.is_primary_watcher() || state.follows_store();
        quarantine_store::sync(state, client, listing, writes);
    }
}
