//! Tracks a follower's contact with the platform's store.

use super::events::{GatewayEvent, log_gateway};
use super::gateway_metrics::GATEWAY_METRICS;
use crate::checked_watch::CheckResult;
use crate::clock::now_ms;
use dockgate_core::gateway::StoreRevision;
use dockgate_platform::PlatformError;
use std::time::Duration;

/// The time after an outage of the store within which running endpoints rewrite their records; an
/// endpoint whose record is still missing then is gone.
const REWRITE_WINDOW: Duration = Duration::from_secs(2);
/// The shortest outage in which records can lapse, in milliseconds. After a shorter one, a missing
/// record means that its endpoint left. A record lapses after three missed reports, at least 1.2 s
/// apart, and the first may have been due when the outage began.
const MIN_LAPSE_OUTAGE_MS: u64 = 2_000;
/// How much shorter than the drain time a missing record is kept: its endpoint may have left just
/// as the store recovered, and requests on their way to it must still arrive within the drain time.
const RETENTION_MARGIN: Duration = Duration::from_millis(400);

/// The contact with the store for one key prefix.
pub(super) struct StoreContact {
    /// The key prefix.
    pub(super) prefix: &'static str,
    /// How long missing records are kept after an outage of the store.
    retention: Duration,
    lost_ms: Option<u64>,
    recovered_ms: Option<u64>,
    /// The era of the known endpoints or of the last listing.
    era: Option<u64>,
    /// Whether the box had not listed the keys when the store answered after the last outage, so
    /// that it has not seen which records were removed in it.
    lacks_history: bool,
    /// Whether the keys were listed since this box began to follow them.
    has_listed: bool,
}

impl StoreContact {
    pub(super) fn new(prefix: &'static str, drain: Duration) -> Self {
        Self {
            prefix,
            retention: drain.saturating_sub(RETENTION_MARGIN).min(REWRITE_WINDOW),
            lost_ms: None,
            recovered_ms: None,
            era: None,
            lacks_history: false,
            has_listed: false,
        }
    }

    /// Records that this box starts following the store. `proof_age_ms` is the time since the store
    /// last answered a box of the domain, in milliseconds, and `known_era` the era of the known
    /// endpoints; both `None` if unknown.
    pub(super) fn start_following(&mut self, proof_age_ms: Option<u64>, known_era: Option<u64>) {
        self.lost_ms = None;
        self.era = known_era;
        self.lacks_history = true;
        self.has_listed = false;
        if proof_age_ms.is_none_or(|age| age >= MIN_LAPSE_OUTAGE_MS) {
            self.recovered_ms = Some(now_ms());
        }
    }

    /// Records a failed call.
    pub(super) fn record_failure(&mut self, error: &PlatformError) {
        self.count_call("failed");
        if self.lost_ms.is_none() {
            self.lost_ms = Some(now_ms());
            let problem = error.to_string();
            log_gateway(&GatewayEvent::StoreLost {
                step: self.prefix,
                problem,
            });
        }
    }

    fn count_call(&self, outcome: &str) {
        GATEWAY_METRICS
            .store_calls
            .with_label_values(&[self.prefix, outcome])
            .inc();
    }

    /// Records an answered call.
    pub(super) fn record_answer(&mut self) {
        self.count_call("answered");
        if let Some(lost_ms) = self.lost_ms {
            self.record_recovery(now_ms() - lost_ms);
        }
    }

    /// Records the result of checking the watch, which has delivered changes up to `since`.
    pub(super) fn record_check(&self, result: CheckResult, since: StoreRevision) {
        let text = match result {
            CheckResult::Current => "current",
            CheckResult::Missed { .. } => "missed",
            CheckResult::Failed => "failed",
        };
        GATEWAY_METRICS
            .store_watch_checks
            .with_label_values(&[self.prefix, text])
            .inc();
        if let CheckResult::Missed { latest, behind_ms } = result {
            log_gateway(&GatewayEvent::StoreWatchMute {
                what: self.prefix,
                since: since.number,
                latest: latest.number,
                behind_ms,
            });
        }
    }

    /// Records the era of a listing. A store that was restored from an older copy lacks records,
    /// which endpoints rewrite just as after an outage.
    pub(super) fn record_era(&mut self, era: u64) {
        self.has_listed = true;
        let has_changed = self.era.replace(era).is_some_and(|before| before != era);
        if has_changed {
            self.recovered_ms = Some(now_ms());
        }
    }

    /// Records that this box was suspended while the store was not: endpoints without records have
    /// left.
    pub(super) const fn record_resume(&mut self) {
        self.lost_ms = None;
        self.recovered_ms = None;
    }

    /// Records that the store answers again after an outage of `away_ms`.
    pub(super) fn record_recovery(&mut self, away_ms: u64) {
        self.lost_ms = None;
        self.lacks_history = !self.has_listed;
        if away_ms >= MIN_LAPSE_OUTAGE_MS {
            self.recovered_ms = Some(now_ms());
        }
        log_gateway(&GatewayEvent::StoreBack {
            step: self.prefix,
            away_ms,
        });
    }

    /// Returns whether missing records are kept that other boxes may have seen being removed.
    pub(super) fn keeps_removed_records(&self) -> bool {
        self.lacks_history && self.kept_until_ms().is_some()
    }

    /// Returns until when missing records are kept; `None` if there was no recent outage.
    pub(super) fn kept_until_ms(&self) -> Option<u64> {
        let until = self.recovered_ms? + self.retention.as_millis() as u64;
        (now_ms() < until).then_some(until)
    }
}

#[cfg(test)]
mod tests;
