//! Periodic log of the usage of workspaces with refused prompts.

use super::events::{GatewayEvent, log_gateway};
use super::gateway_state::GatewayState;
use crate::clock::now_ms;
use dockgate_core::gateway::{ShareAllotment, ShareSource, TallyRow};
use serde::Serialize;

/// Interval of the log, in milliseconds.
pub(super) const REPORT_INTERVAL_MS: u64 = 1_000;

/// Outcomes of the prompts of one workspace at this box, and its standing relative to its share.
#[derive(Debug, Serialize)]
pub(super) struct WorkspaceReport {
    #[serde(flatten)]
    counters: TallyRow,
    /// Share ratio of the contending workspaces.
    times: f64,
    /// Service admitted at this box over the fair share.
    taken: f64,
    /// This box's part of the workspace's rates, while it contends.
    #[serde(flatten)]
    allotment: Option<ShareAllotment>,
}

/// Logs the workspaces with prompts refused since the last call, if any.
pub(super) fn log_shares(state: &GatewayState) {
    let now = now_ms();
    let rows: Vec<WorkspaceReport> = state.with(|view| {
        let rows = view.tally.take_refused().into_iter();
        let rows = rows.map(|counters| {
            let level = view.shares.level(counters.key, 0, now);
            let allotment = view.shares.allotment(counters.key);
            WorkspaceReport {
                counters,
                times: level.share_ratio(),
                taken: level.fair_ratio(),
                allotment,
            }
        });
        rows.collect()
    });
    if rows.is_empty() {
        return;
    }
    let source = state.with(|view| view.shares.source(now));
    log_gateway(&GatewayEvent::Shares {
        told_ms: match source {
            ShareSource::Reported(age_ms) => Some(age_ms),
            ShareSource::Computed => None,
        },
        workspaces: &rows,
    });
}

#[cfg(test)]
mod tests;
