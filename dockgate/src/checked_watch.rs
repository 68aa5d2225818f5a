//! Watches the platform's store, and checks a watch that may have stopped delivering changes.

use crate::clock::now_ms;
use dockgate_core::gateway::{StoreRevision, WatchCheck};
use dockgate_platform::{PlatformClient, PlatformError, StoreChanges, WatchOutcome};
use std::pin::pin;
use std::time::Duration;
use tokio::sync::watch;

/// The result of checking a watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CheckResult {
    /// The watch has missed nothing.
    Current,
    /// The watch has not delivered changes that the store has had for a while.
    Missed {
        /// The store's revision that caused the check.
        latest: StoreRevision,
        /// How long the watch was known to lag, in milliseconds.
        behind_ms: u64,
    },
    /// The check was not answered.
    Failed,
}

/// A watch of the keys with a common prefix.
///
/// While it waits, it compares what it has delivered with the store's revision, which other calls
/// report. If that stays ahead, another call asks for changes without waiting.
pub(crate) struct CheckedWatch {
    client: PlatformClient,
    prefix: &'static str,
    /// How long the watch waits for changes.
    wait: Duration,
    /// The store's latest revision, sent again whenever the store answers.
    latest: watch::Receiver<StoreRevision>,
    check: WatchCheck,
    /// Whether the last call failed, so that the next one must not wait.
    has_failed: bool,
}

impl CheckedWatch {
    /// Creates a watch that waits for up to `wait`. `latest` receives the store's latest revision
    /// whenever the store answers a call.
    pub(crate) fn new(
        client: PlatformClient,
        prefix: &'static str,
        wait: Duration,
        latest: watch::Receiver<StoreRevision>,
    ) -> Self {
        Self {
            client,
            prefix,
            wait,
            latest,
            check: WatchCheck::default(),
            has_failed: false,
        }
    }

    /// Waits for changes after `since`, and passes the results of checks to `record_check`. The
    /// first call after a failed one does not wait, so that it shows whether the store answers
    /// again.
    ///
    /// An era of 0 in `since` stands for any.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer the watch, or a check.
    pub(crate) async fn next(
        &mut self,
        since: StoreRevision,
        mut record_check: impl FnMut(CheckResult),
    ) -> Result<WatchOutcome, PlatformError> {
        let outcome = match self.has_failed {
            true => self.read_changes(since).await,
            false => self.wait_for_changes(since, &mut record_check).await,
        };
        self.has_failed = outcome.is_err();
        outcome
    }

    async fn read_changes(&self, since: StoreRevision) -> Result<WatchOutcome, PlatformError> {
        self.client
            .watch(self.prefix, since.number, Duration::ZERO)
            .await
    }

    async fn wait_for_changes(
        &mut self,
        since: StoreRevision,
        record_check: &mut impl FnMut(CheckResult),
    ) -> Result<WatchOutcome, PlatformError> {
        let client = self.client.clone();
        let mut pending = pin!(client.watch(self.prefix, since.number, self.wait));
        loop {
            let due_in = self.check.due_in_ms(now_ms()).map(Duration::from_millis);
            tokio::select! {
                outcome = &mut pending => return outcome,
                Ok(()) = self.latest.changed() => {}
                () = tokio::time::sleep(due_in.unwrap_or_default()), if due_in.is_some() => {}
            }
            let latest = *self.latest.borrow_and_update();
            if !self.check.is_due(latest, since, now_ms()) {
                continue;
            }
            let checked = tokio::select! {
                outcome = &mut pending => return outcome,
                checked = self.read_changes(since) => checked,
            };
            match checked {
                Ok(WatchOutcome::Changes(changes)) if has_no_news(&changes, since, latest) => {
                    record_check(CheckResult::Current);
                    self.check.confirm(latest);
                }
                Ok(outcome) => {
                    let behind_ms = self.check.behind_ms(now_ms());
                    record_check(CheckResult::Missed { latest, behind_ms });
                    return Ok(outcome);
                }
                Err(error) => {
                    record_check(CheckResult::Failed);
                    return Err(error);
                }
            }
        }
    }
}

/// Returns whether an answer shows that no watched key has changed from `since` up to `latest`.
fn has_no_news(changes: &StoreChanges, since: StoreRevision, latest: StoreRevision) -> bool {
    let is_same_era = changes.era.is_none_or(|era| era == since.era) && latest.era == since.era;
    changes.events.is_empty() && (since.era == 0 || is_same_era)
}

#[cfg(test)]
mod tests;
