//! Decides whether this box follows the store, and probes it to know whether it is heard.

use super::events::{GatewayEvent, log_gateway};
use super::gateway_metrics::GATEWAY_METRICS;
use super::gateway_state::GatewayState;
use super::membership::send_beat;
use super::quarantine_store;
use crate::clock::{now_ms, timeout, wakings};
use dockgate_core::gateway::{ProbeChange, ProbeTiming, StoreRevision};
use dockgate_platform::{PlatformClient, QUARANTINE_KEY_PREFIX};
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

/// How often a box probes what its part is.
const LOOK: Duration = Duration::from_millis(100);
/// The same for a box that has no configuration yet: it serves nobody until it has.
const FIRST_LOOK: Duration = Duration::from_millis(25);
/// How long after an answer a box that would follow the store in place of others probes it again, in
/// milliseconds; drawn anew each time, so that a store that is away is not probed by all boxes at once.
const STAND_BY_MS: Range<u64> = 700..1_300;

/// The part of a box in hearing what changes in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct StoreRole {
    /// Whether it follows the store.
    pub(super) follows: bool,
    /// Whether it probes the store to know whether it is heard.
    pub(super) probes: bool,
}

/// Looks again and again what this box's part is, until the process ends.
pub(super) async fn keep_role(state: Arc<GatewayState>) {
    loop {
        state.decide_role();
        let look = match state.table().config().version {
            0 => FIRST_LOOK,
            _ => LOOK,
        };
        tokio::time::sleep(look).await;
    }
}

/// Probes the store while this box's part asks for it, until the process ends.
pub(super) async fn keep_probing(state: Arc<GatewayState>) {
    let client = state.store_client();
    let mut roles = state.store_roles();
    let mut wakings = wakings();
    loop {
        if !roles.borrow().probes {
            state.pause_probes();
            // The state that sends it lives as long as this task.
            let _ = roles.wait_for(|role| role.probes).await;
        }
        let rule = ProbeTiming::within(state.settings().drain.as_millis() as u64);
        tokio::select! {
            () = probe_once(&state, &client, rule) => {}
            // Its connection is as old as the time away: the next one says how it stands.
            _ = wakings.changed() => continue,
        }
        let wait_ms = match state.is_first_watcher() || state.follows_store() {
            true => rule.interval_ms,
            false => rand::random_range(STAND_BY_MS),
        };
        // Over at once where the box was suspended: the channel lives as long as the process.
        let _ = timeout(Duration::from_millis(wait_ms), wakings.changed()).await;
    }
}

/// Probes the store once, and says at once to the other boxes what is new by it.
async fn probe_once(state: &Arc<GatewayState>, client: &PlatformClient, rule: ProbeTiming) {
    const STEP: &str = "probe";
    let sent_ms = now_ms();
    let patience = Duration::from_millis(rule.timeout_ms);
    let answer = client.probe(QUARANTINE_KEY_PREFIX, patience).await;
    let outcome = if answer.is_ok() { "answered" } else { "failed" };
    let counter = &GATEWAY_METRICS.store_calls;
    counter.with_label_values(&[STEP, outcome]).inc();
    let answer = answer.as_ref();
    let revision = answer.ok().and_then(|listing| {
        let era = state.note_era(listing.era, STEP)?;
        Some(StoreRevision::new(era, listing.revision))
    });
    let news = state.note_probe(revision, sent_ms);
    if let (Some(ProbeChange::Down), Err(error)) = (news, answer) {
        log_gateway(&GatewayEvent::StoreLost {
            step: STEP,
            problem: error.to_string(),
        });
    }
    if news.is_some() {
        send_beat(state);
        state.decide_role();
    }
    if let Ok(listing) = answer {
        let writes = state.is_first_watcher() || state.follows_store();
        quarantine_store::sync(state, client, listing, writes);
    }
}
