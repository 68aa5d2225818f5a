//! Says what workspaces asked for and were given here, and which sums decided.

use super::events::{GatewayEvent, log_gateway};
use super::gateway_state::GatewayState;
use crate::clock::now_ms;
use dockgate_core::gateway::{ShareSource, TallyRow};
use serde::Serialize;

/// How often what workspaces got is logged, in milliseconds.
pub(super) const SIGHT_MS: u64 = 1_000;

/// What became of the prompts of one workspace here, and how much of its share it has had.
#[derive(Debug, Serialize)]
pub(super) struct WorkspaceSight {
    #[serde(flatten)]
    sums: TallyRow,
    times: f64,
    taken: f64,
}

/// Logs what the workspaces got of which something was refused since the last line.
pub(super) fn log_shares(state: &GatewayState) {
    let now = now_ms();
    let rows: Vec<WorkspaceSight> = state.with(|beliefs| {
        let rows = beliefs.tally.take_refused().into_iter();
        let rows = rows.map(|sums| {
            let level = beliefs.shares.level(sums.key, 0, now);
            WorkspaceSight {
                sums,
                times: level.times(),
                taken: level.taken_part(),
            }
        });
        rows.collect()
    });
    if rows.is_empty() {
        return;
    }
    let source = state.with(|beliefs| beliefs.shares.source(now));
    log_gateway(&GatewayEvent::Shares {
        told_ms: match source {
            ShareSource::Told(age_ms) => Some(age_ms),
            ShareSource::Counted => None,
        },
        workspaces: &rows,
    });
}

#[cfg(test)]
mod tests;
